"""The project's own rig: fleets and their failures in simulated time, checkers of the rules, comparisons.

`days` (what happens, drawn by seed), `pods` (servers), `fleet` (the emulator that plays a day with any policy), `rules`
(checkers that share no code with what they check), `policies` (to compare with), `numbers` (scores, intervals, Erlang's
formulas). Installed as its own set of libraries (requirements-laboratory.txt); the sidecar never loads it.
"""

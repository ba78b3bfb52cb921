"""Simulation of fleets and their failures, checkers of the rules, and comparisons of policies.

`scenarios` and `large_fleet_scenarios` say what happens on a day (drawn by seed), `servers` and
`shared_services` are what instances meet, `simulator` plays a day with any policy, `invariants`
checks the rules and shares no code with what it checks, `baseline_policies` and `earlier_versions`
are what the present policy is compared with, `experiments`, `statistics`, `recording` and `report`
measure and show the results. Installed as its own set of libraries (requirements-laboratory.txt);
the sidecar never loads it.
"""

"""The load tool: sends at its own times whatever the answers do, and says so when it can't.

plan: what is sent when, what a stretch showed, which rate comes next (pure). tally: latencies in HDR histograms.
driver: one stretch over sockets. speakers: the protocols, one class each. run: a stretch or a ramp as a program."""

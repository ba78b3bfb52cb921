"""Real processes of the program against stand-ins, each play drawn whole from the number of its seed.

`plan` draws what happens, `stand_ins` are the endpoints, discovery and the platform, `clients` what clients do,
`sidecar` starts, signals and ends the processes, `ledger` keeps what was seen from outside, `checks` judges that by the
users' pages, `player` plays a plan, `planted` holds faults that the checks have to find. `python -m tests.soak` runs
many seeds; `orders` draws long orders for the stepped rig beside it.
"""

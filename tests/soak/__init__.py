"""Soak test: runs real sidecar processes under random plans and checks what their peers see.

Each plan is drawn from a seed. The modules:

- `plan` draws clients, endpoints, faults and signals.
- `stand_ins` has the endpoints, discovery and the release platform; `clients` has the clients.
- `sidecar` starts, signals and ends the sidecar processes.
- `player` runs a plan, and `ledger` records what is seen from outside.
- `checks` compares these records with the specification.
- `planted` has faults to inject, which the checks must find.
- `rounds` looks for leaks of memory and descriptors in one process.
- `orders` draws long orders of events for the stepped rig.
- `campaign` is the command line, `python -m tests.soak`, which runs many seeds.
"""

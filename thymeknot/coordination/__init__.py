"""The feature `fleet` of an operator's file: drains that the fleet agrees on by Raft.

- `settings`: what an operator sets.
- `feature`: everything together, started with the sidecar.
- `raft_member`: this instance's own Raft node.
- `cluster_clock`: advances the replicated time while that node leads.
- `incarnation`: numbers the starts.
- `drain_agent`: carries out drains on the sidecar.
- `blocking_client`: serves the command line and the tests.
"""

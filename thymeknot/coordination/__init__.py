"""The feature `fleet` of the operator file: drains that are coordinated across the fleet by Raft.

- `settings`: the settings and their validation.
- `feature`: assembles the feature, which starts with the sidecar.
- `raft_member`: this instance's own Raft node.
- `cluster_clock`: advances the replicated time while that node leads.
- `incarnation`: numbers the starts of the instance.
- `drain_agent`: carries out drains on the sidecar.
- `blocking_client`: a client without an event loop, for the command line and for tests.
"""

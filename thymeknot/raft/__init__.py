"""A replicated log (Raft): a node without input or output, its storage, and a model checker.

`node` decides, split by concern; `node_interface` says what goes in and out of it. `peer_server`
and `storage` carry out what it asks for; `client` and `peer_channel` are the way to other nodes.
"""

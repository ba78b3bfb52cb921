"""Raft consensus: a node that performs no I/O, its storage, its networking and a model checker.

`node` holds the protocol logic, split by concern; `node_interface` defines its input events and
output effects. `peer_server` and `storage` carry out the effects; `client` and `peer_channel`
connect to other nodes.
"""

"""Gossip between instances: SWIM-style membership and shared evidence about endpoints.

All modules except `udp_transport` are free of input and output. By layer:

- `settings` (operator settings), `keyring` (keys), `keys` (the command that creates a key file);
- `codec` (datagrams), `replay_window`, `rate_limits`;
- `membership` (which peers are alive), `dissemination_queue` (items to pass on), `own_experience`,
  `credibility` and `suspicion` (which endpoints are suspected);
- `context` and `outbox` (state shared by the parts of a node), `prober`, `peer_hints`,
  `item_exchange` and `receiver` (the parts), `node` (all parts combined, without a network);
- `udp_transport` (the socket and the connection to the proxy).
"""

"""Gossip among instances: who lives, and what others saw of an endpoint.

Apart from the socket all of it is pure. By layer:

- `settings` (what an operator sets), `keyring` (keys), `keys` (a command that makes one);
- `codec` (datagrams), `replay_window`, `rate_limits`;
- `membership` (who lives), `dissemination_queue` (what is passed on), `own_experience`,
  `credibility` and `suspicion` (what is believed of endpoints);
- `context` and `outbox` (what the parts of a node share), `prober`, `peer_hints`, `item_exchange`
  and `receiver` (its parts), `node` (all of these as one, still without a network);
- `udp_transport` (the socket, and the way to and from the proxy).
"""

"""Talk among instances: who lives, and what others saw of a pod. Pure cores, and one datagram endpoint.

`terms` (what an operator sets), `identity` (keys and the ring), `codec` (datagrams), `windows` (replays), `budget`
(ceilings), `membership` (who lives), `rumours` (what is passed on), `hearsay` (what is believed), `node` (all of
these as one, still without a network), `endpoint` (the socket, and the way to and from the sidecar), `keys` (a
command).
"""

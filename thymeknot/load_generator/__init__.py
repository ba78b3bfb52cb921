"""The load tool: sends requests at planned times whatever the answers do.

It reports its own delay, so that it is never taken for the server's.

- `schedule`: which request is sent when.
- `codecs`: the protocols, one class each.
- `driver`: sends one stretch over sockets.
- `latency_histogram`: latencies and outcomes of a stretch.
- `verdict`: whether a stretch met the goal.
- `ramp`: which rate comes next.
- `run`: a stretch or a ramp of them as a program.
"""

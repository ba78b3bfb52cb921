"""An open-loop load generator: sends requests at scheduled times, however late the responses are.

It measures its own delay, so that this is not mistaken for latency of the server. A run sends
requests at one average rate for a fixed duration.

- `schedule`: the requests of a run and their times.
- `codecs`: encodes and decodes the protocols, one class each.
- `driver`: sends the requests of a run over sockets.
- `latency_histogram`: latencies and outcomes of a run.
- `verdict`: whether a run met its goal.
- `ramp`: searches for the highest rate that meets the goal.
- `run`: executes one run, or the runs of a ramp, in an event loop.
"""

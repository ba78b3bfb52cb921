"""The feature `fleet` of an operator's file: a sidecar that goes out by agreed permits alone, and a keeper beside it.

`terms` (what an operator sets), `feature` (all of it together, begun with the sidecar), `seat` (the holder of turns on
the real sidecar), `asking` (a blocking client, for the command line and tests)."""

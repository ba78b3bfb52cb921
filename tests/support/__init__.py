"""Stand-ins, rigs and helpers that several tests share."""

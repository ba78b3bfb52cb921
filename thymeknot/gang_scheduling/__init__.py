"""Gangs of workers placed by rack, all or none. Pure: no I/O, no clock, no chance of its own.

`jobs` is what is wanted, `places` where it can stand, `score` what a placement is worth and why, `search` finds one,
and `state` is the machine that the agreed log is applied to. Search runs beside the log: it proposes, the
machine disposes.
"""

"""The line protocol of the external simulator.

`codec` translates its lines, and `host` runs decision engines on standard input and output.
"""

"""The line protocol of the users' simulator.

The modules translate its lines, and host instances on standard input and output.
"""

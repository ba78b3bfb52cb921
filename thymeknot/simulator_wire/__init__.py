"""The line protocol of the users' simulator: its lines, and a host of instances on standard input and output."""

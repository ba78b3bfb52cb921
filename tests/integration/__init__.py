"""Integration tests with real sockets, real processes and random orders of events."""

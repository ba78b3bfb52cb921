"""The decision engine: pure modules without I/O, and the constants that they use."""

"""Unit tests of the command line."""

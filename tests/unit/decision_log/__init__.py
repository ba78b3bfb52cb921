"""Unit tests of the decision log."""

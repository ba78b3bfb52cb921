"""Tests, by the package that they test."""

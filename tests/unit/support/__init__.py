"""Tests of tests.support."""

"""Tests of thymeknot.protocol."""

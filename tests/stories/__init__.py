"""Acceptance stories over a simulated fleet in memory; `steps` implements their steps."""

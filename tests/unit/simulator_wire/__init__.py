"""Tests of thymeknot.simulator_wire."""

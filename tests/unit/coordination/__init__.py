"""Tests of thymeknot.coordination."""

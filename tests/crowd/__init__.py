"""Crowds of bad clients against a real process, with its memory and its usual clients watched.

`python -m tests.crowd` plays them by hand and prints a table; `tests/processes/test_client_crowds.py`
plays them shortly in CI.
"""

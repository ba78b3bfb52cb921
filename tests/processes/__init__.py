"""Tests with several processes of the program, a relay on each path, and an external checker."""

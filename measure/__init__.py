"""Measurements of the program's parts, run by `make measure-NAME`; the program imports none."""

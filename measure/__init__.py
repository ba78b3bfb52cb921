"""Measurements of the project's own, each started by `make measure-NAME`; none runs in the program."""

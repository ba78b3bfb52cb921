"""Polling of a shared service that accepts a limited rate of calls from all its callers.

The modules decide how often one caller polls, and whether a list that it received is accepted. They
perform no input or output.
"""

"""Polling a shared service that takes a limited number of calls from all of its callers.

The modules decide how often one caller asks, and whether a list that it was given is believed. They
are pure: no input or output.
"""

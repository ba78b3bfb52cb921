"""Stored bytes and digests that every later version has to read and to write again; see generate.py."""

"""The decision engine's interface: settings and events (input), actions (output), and their enums.

Times are integers in tenths of a millisecond (see `clock`). Identifiers are opaque strings, which
the engine returns unchanged.
"""

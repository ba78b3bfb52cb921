"""What goes into and comes out of the decision engine: settings, events, actions and their codes.

Times are whole tenths of a millisecond (see `clock`). Identifiers are strings that are passed back
exactly as they came.
"""

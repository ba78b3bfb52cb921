"""State of the decision engine and the proxy; no policy is implemented here.

All modules are free of I/O except connection_pool, which opens and closes connections.
"""

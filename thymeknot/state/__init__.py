"""State that the decision engine and the proxy keep; nothing here decides.

The modules are pure but for connection_pool, which opens and closes connections.
"""

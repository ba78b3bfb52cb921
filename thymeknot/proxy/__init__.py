"""Between the network and the decision engine: connections, requests and attempts in flight."""

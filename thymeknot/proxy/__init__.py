"""Connects the network to the decision engine: connections, requests and attempts."""

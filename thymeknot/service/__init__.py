"""Configuration, logs, start and stop."""

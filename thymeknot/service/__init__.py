"""Configuration, logging, start and shutdown."""

"""All decisions: pure modules without input or output, with their constants."""

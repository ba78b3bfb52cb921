"""What is spoken: pure incremental parsers and writers, and the Twisted protocols that stand on them."""

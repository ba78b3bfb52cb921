"""What several keepers agree on: a replicated log without input or output, a store of it, and an explorer."""

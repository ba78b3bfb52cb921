"""The load tool: sends at its own times whatever the answers do, and says so when it can't."""

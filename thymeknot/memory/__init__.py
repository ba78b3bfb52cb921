"""What is kept in memory: numbered slots, deadlines in one order, connections to pods, what was written to a trial."""

"""What is kept in memory: windows of counts, requests, endpoints, connections, timers and the random source."""

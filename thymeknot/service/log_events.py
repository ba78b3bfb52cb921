"""Declares all log events and their levels."""

from logging import ERROR, INFO, WARNING
from typing import Final

LEVELS: Final[dict[str, int]] = {
    # Start, stop and configuration.
    "ready": INFO,
    "stopping": INFO,
    "stopped": INFO,
    "feature started": INFO,
    "address in use": WARNING,
    "configuration reloaded": INFO,
    "configuration rejected": WARNING,
    "operator file reloaded": INFO,
    "operator file rejected": WARNING,
    # Decisions.
    "note": INFO,
    "vote": INFO,
    "request overdue": ERROR,
    "fault": ERROR,
    "action not supported": WARNING,
    "requests rejected": INFO,
    "resource usage": INFO,
    # The network.
    "accepting paused": WARNING,
    "no descriptor for an endpoint": WARNING,
    "late response discarded": INFO,
    "stream ended": WARNING,
    "stream silent": WARNING,
    "endpoint list not fetched": WARNING,
    # Gossip.
    "gossip": INFO,
    "gossip dropped": WARNING,
    "peer state changed": INFO,
    "endpoint suspected": INFO,
    "equivocation detected": ERROR,
    # Coordination.
    "raft role": INFO,
    "raft node stepped down": WARNING,
    "raft storage failed": ERROR,
    "message rejected": WARNING,
    "declaration rejected": ERROR,
    "drain started": INFO,
    "drained": INFO,
    "drain ended": INFO,
    "listener not reopened": ERROR,
    # The decision log.
    "decision log opened": INFO,
    "decision log set aside": WARNING,
    "decision log in memory": WARNING,
}

CURRENT_NAMES: Final[dict[str, str]] = {
    "switched on": "feature started",
    "configuration taken up": "configuration reloaded",
    "configuration kept": "configuration rejected",
    "operator file taken up": "operator file reloaded",
    "operator file kept": "operator file rejected",
    "overdue": "request overdue",
    "not spoken here": "action not supported",
    "turned away": "requests rejected",
    "clients held off": "accepting paused",
    "no descriptor for a pod": "no descriptor for an endpoint",
    "unheard answer": "late response discarded",
    "list not fetched": "endpoint list not fetched",
    "peer": "peer state changed",
    "doubt": "endpoint suspected",
    "two tongues": "equivocation detected",
    "keeper": "raft role",
    "keeper stood down": "raft node stepped down",
    "keeper's disk": "raft storage failed",
    "letter refused": "message rejected",
    "not declared": "declaration rejected",
    "drain": "drain started",
    "back": "drain ended",
    "can't come back": "listener not reopened",
    "record": "decision log opened",
    "record set aside": "decision log set aside",
    "record in memory": "decision log in memory",
}
"""Current event names by the names that versions up to 0.1.0 logged, for reading old logs."""

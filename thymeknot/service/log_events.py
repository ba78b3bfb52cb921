"""All events that are logged, with their levels: the one place where they are declared."""

from logging import ERROR, INFO, WARNING

LEVELS = {
    # life
    "ready": INFO,
    "stopping": INFO,
    "stopped": INFO,
    "switched on": INFO,
    "address in use": WARNING,
    "configuration taken up": INFO,
    "configuration kept": WARNING,
    "operator file taken up": INFO,
    "operator file kept": WARNING,
    # decisions
    "note": INFO,
    "vote": INFO,
    "overdue": ERROR,
    "fault": ERROR,
    "not spoken here": WARNING,
    "turned away": INFO,
    # the network
    "clients held off": WARNING,
    "no descriptor for a pod": WARNING,
    "unheard answer": INFO,
    "stream ended": WARNING,
    "stream silent": WARNING,
    "list not fetched": WARNING,
    # gossip
    "gossip": INFO,
    "gossip dropped": WARNING,
    "peer": INFO,
    "doubt": INFO,
    "two tongues": ERROR,
    # the fleet
    "keeper": INFO,
    "keeper stood down": WARNING,
    "keeper's disk": ERROR,
    "letter refused": WARNING,
    "not declared": ERROR,
    "drain": INFO,
    "drained": INFO,
    "back": INFO,
    "can't come back": ERROR,
    # the record of decisions
    "record": INFO,
    "record set aside": WARNING,
    "record in memory": WARNING,
}

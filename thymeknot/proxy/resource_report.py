"""Reports memory, connections and long turns of the process, in one log line every few seconds."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Final

from ..policy.memory_budget import BYTES_PER_MEGABYTE, ClientMemory, MemoryBudget
from ..protocol.client import ClientConnection
from ..protocol.close_reason import CloseReason
from ..service.turn_times import TurnTimes

STATUS_PATH: Final = "/proc/self/status"
MEMORY_FIELDS: Final = {"VmRSS": "resident_mb", "RssAnon": "anonymous_mb", "VmHWM": "peak_mb"}
"""Fields of the kernel's status file, in kB, with their keys in the log line."""
KB_PER_MB: Final = 1024


class ConnectionCounters:
    """Counts what happened to clients' connections since the last report.

    Attributes:
        closed: Closed connections by reason.
        events: Other events by name.
    """

    def __init__(self) -> None:
        self.closed: Counter[CloseReason] = Counter()
        self.events: Counter[str] = Counter()

    def reset(self) -> None:
        """Begins a new interval."""
        self.closed.clear()
        self.events.clear()


def process_memory() -> dict[str, float]:
    """Returns the memory of this process in MB by key; empty if the kernel does not tell it."""
    memory = {}
    try:
        with open(STATUS_PATH, encoding="ascii") as status:
            for line in status:
                name, _, value = line.partition(":")
                if name in MEMORY_FIELDS:
                    memory[MEMORY_FIELDS[name]] = round(int(value.split()[0]) / KB_PER_MB, 1)
    except (OSError, ValueError, IndexError):
        return {}
    return memory


def connection_states(clients: Iterable[ClientConnection]) -> dict[str, int]:
    """Returns the numbers of open connections by state; a connection may be in several."""
    states: Counter[str] = Counter()
    for client in clients:
        states["open"] += 1
        states["awaiting response"] += bool(client.pending_responses)
        states["partial command"] += client.parser.has_partial_command()
        states["reading paused"] += not client.reading
        states["client not reading"] += client.write_blocked
        states["closing"] += client.closing
    return {state: count for state, count in states.items() if count}


def _describe_budget(budget: MemoryBudget) -> dict[str, Any]:
    largest = max(budget.held.values(), default=0)
    return {
        "mb": round(budget.used / BYTES_PER_MEGABYTE, 2),
        "limit_mb": round(budget.limit / BYTES_PER_MEGABYTE, 2),
        "holders": len(budget.held),
        "largest_kb": largest // KB_PER_MB,
    }


def describe_held_memory(memory: ClientMemory) -> dict[str, dict[str, Any]]:
    """Returns what peers make the process hold, by kind."""
    return {
        "open_requests": _describe_budget(memory.open_requests),
        "partial_commands": _describe_budget(memory.partial_commands),
        "responses": _describe_budget(memory.responses),
        "partial_responses": _describe_budget(memory.partial_responses),
    }


class ResourceReport:
    """Logs the use of memory and connections while there are clients.

    Attributes:
        log: Called with the event and its fields.
        counters: What happened to clients' connections since the last line.
        turn_times: The longest turns of the event loop since the last line.
    """

    def __init__(
        self, log: Callable[..., None], memory: ClientMemory, turn_times: TurnTimes
    ) -> None:
        self.counters = ConnectionCounters()
        self.log = log
        self.turn_times = turn_times
        self._memory = memory

    def flush(self, clients: Iterable[ClientConnection], endpoint_connections: int) -> None:
        """Logs a line, unless there are no clients and nothing has happened."""
        states = connection_states(clients)
        counters = self.counters
        if not states and not counters.closed and not counters.events:
            return
        self.log(
            "resource usage",
            **process_memory(),
            held=describe_held_memory(self._memory),
            clients=states,
            endpoint_connections=endpoint_connections,
            closed={reason.value: count for reason, count in counters.closed.items()},
            events=dict(counters.events),
            longest_turns_ms=self.turn_times.take(),
        )
        counters.reset()

"""Clients of a simulated cluster, which check that reads are linearizable."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from .log import RAFT_PART
from .node_interface import (
    CommandCompleted,
    CommandProposed,
    ReadReady,
    ReadRequested,
    RequestRejected,
)
from .simulated_cluster import InvariantError, SimulatedCluster
from .simulated_host import Host
from .state_machine import Command

CLIENT_COUNT = 3
MAX_PENDING_CALLS = 4096
"""Maximum number of calls without an outcome that are remembered; the oldest are dropped."""


class _CommandCall(NamedTuple):
    """A pending command of a client."""

    origin: str
    incarnation: int
    number: int


class _ReadCall(NamedTuple):
    """A pending read, and the number of writes that were acknowledged before it was sent."""

    acknowledged: int


class _OperatorCall(NamedTuple):
    """A pending command of an operator."""


_Call = _CommandCall | _ReadCall | _OperatorCall


@dataclass
class _ClientState:
    """The session of a client, and its command until it is acknowledged."""

    incarnation: int = 0
    number: int = 0
    command: Command | None = None


class SimulatedClients:
    """Simulated writers, a reader and operators.

    Attributes:
        acknowledged: Number of writes that are known to be in the register.
        writes: Number of acknowledged commands.
        reads: Number of answered reads.
        on_acknowledged: Called when a command is acknowledged.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.acknowledged = 0
        self.writes = 0
        self.reads = 0
        self.on_acknowledged: Callable[[], object] = lambda: None
        self._cluster = cluster
        self._random = cluster.random
        self._pending_calls: dict[int, _Call] = {}  # by token
        self._last_token = 0
        self._clients = {f"client{number}": _ClientState() for number in range(CLIENT_COUNT)}
        cluster.observer = self
        for name in self._clients:
            cluster.schedule(self._random.draw() * 500, self._send_write, name)
        cluster.schedule(self._random.draw() * 500, self._send_read)

    def _send_write(self, name: str) -> None:
        """Sends a command; repeats it with the same sequence number until it is acknowledged."""
        client = self._clients[name]
        self._cluster.schedule(20 + self._random.draw() * 200, self._send_write, name)
        if client.command is None:
            client.number += 1
            command_id = f"{name}.{client.incarnation}.{client.number}"
            client.command = {"part": "register", "id": command_id}
        host = self._likely_leader()
        token = self._new_token(_CommandCall(name, client.incarnation, client.number))
        event = CommandProposed(token, name, client.incarnation, client.number, client.command)
        self._cluster.handle_event(host, event)

    def _send_read(self) -> None:
        self._cluster.schedule(20 + self._random.draw() * 150, self._send_read)
        host = self._likely_leader()
        token = self._new_token(_ReadCall(self.acknowledged))
        self._cluster.handle_event(host, ReadRequested(token))

    def _likely_leader(self) -> Host:
        """Returns a host that considers itself leader, or sometimes a random host."""
        cluster = self._cluster
        leading = [host for host in cluster.hosts.values() if host.is_leader()]
        if leading and self._random.draw() < 0.9:
            return leading[cluster.random_below(len(leading))]
        return cluster.random_host()

    def send_operator_command(self, leader: Host, command: dict[str, Any]) -> None:
        """Sends an operator's Raft command, such as a membership change, to the leader."""
        self._last_token += 1
        token = self._new_token(_OperatorCall())
        origin = f"operator{token}"
        event = CommandProposed(token, origin, 0, 1, {"part": RAFT_PART, **command})
        self._cluster.handle_event(leader, event)

    def _new_token(self, call: _Call) -> int:
        self._last_token += 1
        if len(self._pending_calls) > MAX_PENDING_CALLS:
            self._pending_calls.pop(next(iter(self._pending_calls)))
        self._pending_calls[self._last_token] = call
        return self._last_token

    # Outcomes.

    def _take_pending_call(self, token: object) -> _Call | None:
        return self._pending_calls.pop(token, None) if isinstance(token, int) else None

    def command_completed(self, host: Host, effect: CommandCompleted) -> None:
        """Handles the reply to a command."""
        call = self._take_pending_call(effect.token)
        reply = effect.reply
        if not isinstance(call, _CommandCall) or reply is None or "place" not in reply:
            return
        client = self._clients[call.origin]
        self.acknowledged = max(self.acknowledged, reply["place"])
        self.on_acknowledged()
        if (client.incarnation, client.number) == (call.incarnation, call.number):
            self.writes += 1
            client.command = None
            if self._random.draw() < 0.02:
                client.incarnation += 1
                client.number = 0

    def read_ready(self, host: Host, effect: ReadReady) -> None:
        """Checks that a read sees at least the writes acknowledged before it was sent."""
        call = self._take_pending_call(effect.token)
        if not isinstance(call, _ReadCall):
            return
        self.reads += 1
        seen = len(host.register.write_ids)
        if seen < call.acknowledged:
            raise InvariantError(
                f"a read from {host.name} saw {seen} writes, but {call.acknowledged} were "
                "acknowledged before the read was sent"
            )

    def request_rejected(self, host: Host, effect: RequestRejected) -> None:
        """Forgets a rejected call."""
        self._take_pending_call(effect.token)

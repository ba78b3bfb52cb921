"""Clients of a simulated cluster, and what they may rely on."""

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
MAX_CALLS = 4096
"""Calls without an outcome that are remembered."""


class _CommandCall(NamedTuple):
    """A client's command that is out."""

    origin: str
    incarnation: int
    number: int


class _ReadCall(NamedTuple):
    """A read that is out, and the writes that were acknowledged before it."""

    acknowledged: int


class _OperatorCall(NamedTuple):
    """An operator's command that is out."""


_Call = _CommandCall | _ReadCall | _OperatorCall


@dataclass
class _ClientState:
    """A client's session, and its command until that is acknowledged."""

    incarnation: int = 0
    number: int = 0
    command: Command | None = None


class SimulatedClients:
    """Writers, a reader and operators.

    Attributes:
        acknowledged: writes that are known to be in the register.
        writes: commands that were acknowledged.
        reads: reads that were answered.
        on_acknowledged: called when a command is acknowledged.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.acknowledged = 0
        self.writes = 0
        self.reads = 0
        self.on_acknowledged: Callable[[], object] = lambda: None
        self._cluster = cluster
        self._random = cluster.random
        self._calls: dict[int, _Call] = {}  # by token
        self._tokens = 0
        self._clients = {f"client{number}": _ClientState() for number in range(CLIENT_COUNT)}
        cluster.observer = self
        for name in self._clients:
            cluster.schedule(self._random.draw() * 500, self._write, name)
        cluster.schedule(self._random.draw() * 500, self._read)

    def _write(self, name: str) -> None:
        """Sends one command at a time; after an unknown outcome the same number again."""
        client = self._clients[name]
        self._cluster.schedule(20 + self._random.draw() * 200, self._write, name)
        if client.command is None:
            client.number += 1
            command_id = f"{name}.{client.incarnation}.{client.number}"
            client.command = {"part": "register", "id": command_id}
        host = self._likely_leader()
        token = self._new_token(_CommandCall(name, client.incarnation, client.number))
        event = CommandProposed(token, name, client.incarnation, client.number, client.command)
        self._cluster.tell(host, event)

    def _read(self) -> None:
        self._cluster.schedule(20 + self._random.draw() * 150, self._read)
        host = self._likely_leader()
        token = self._new_token(_ReadCall(self.acknowledged))
        self._cluster.tell(host, ReadRequested(token))

    def _likely_leader(self) -> Host:
        cluster = self._cluster
        leading = [host for host in cluster.hosts.values() if host.leads()]
        if leading and self._random.draw() < 0.9:
            return leading[cluster.draw_below(len(leading))]
        return cluster.any_host()

    def operate(self, leader: Host, command: dict[str, Any]) -> None:
        """An operator sends the nodes a command."""
        self._tokens += 1
        token = self._new_token(_OperatorCall())
        origin = f"operator{token}"
        event = CommandProposed(token, origin, 0, 1, {"part": RAFT_PART, **command})
        self._cluster.tell(leader, event)

    def _new_token(self, call: _Call) -> int:
        self._tokens += 1
        if len(self._calls) > MAX_CALLS:
            self._calls.pop(next(iter(self._calls)))
        self._calls[self._tokens] = call
        return self._tokens

    # Answers.

    def _take_call(self, token: object) -> _Call | None:
        return self._calls.pop(token, None) if isinstance(token, int) else None

    def completed(self, host: Host, effect: CommandCompleted) -> None:
        """Takes the reply to a command."""
        call = self._take_call(effect.token)
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
        """A read must see at least what was acknowledged before it was asked."""
        call = self._take_call(effect.token)
        if not isinstance(call, _ReadCall):
            return
        self.reads += 1
        seen = len(host.register.write_ids)
        if seen < call.acknowledged:
            raise InvariantError(
                f"{host.name} read {seen} writes of {call.acknowledged} that were "
                "acknowledged before it was asked"
            )

    def rejected(self, host: Host, effect: RequestRejected) -> None:
        """A call has no outcome."""
        self._take_call(effect.token)

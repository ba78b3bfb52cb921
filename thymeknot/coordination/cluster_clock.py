"""Advances the replicated time while this instance's node leads, and submits its declaration."""

from typing import Any, Optional

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..raft.client import RaftClient
from ..raft.node import LEADER
from ..service import structured_log
from ..state.timer_queue import TimerQueue
from .raft_member import RaftMember
from .settings import DISRUPTION_PART

DECLARATION_INTERVAL: Ticks = TICKS_PER_SECOND
"""Minimum time between two proposals of the declaration, so that one has time to be applied."""

TICK_TIMEOUT_INTERVALS = 4
"""Timeout of a proposed tick, in tick intervals: a late tick is worth less than the next one."""


class ClusterClock:
    """Proposes a tick at each interval while the node leads, with at most one tick pending."""

    def __init__(
        self,
        *,
        timers: TimerQueue,
        client: RaftClient,
        member: RaftMember,
        interval: Ticks,
        epoch: int,
        declaration: list[dict[str, Any]],
    ) -> None:
        """Starts the clock.

        Args:
            timers: The timer queue of the sidecar.
            client: A client of the cluster that only this clock uses.
            member: This instance's Raft node.
            interval: Ticks between two proposed ticks.
            epoch: The epoch of the declaration.
            declaration: The commands of the declaration, in order.
        """
        self.timers = timers
        self.client = client
        self.member = member
        self.interval = interval
        self.epoch = epoch
        self.declaration = declaration
        self.timer: Optional[int] = None
        self.tick_pending = False
        self.last_declared_at: Ticks = 0
        self._tick()

    def _tick(self) -> None:
        self.timer = self.timers.add(self.timers.clock() + self.interval, self._tick)
        if self.member.server.raft_node.role != LEADER:
            self.last_declared_at = 0
            return
        if self.tick_pending:
            return
        self._propose_declaration()
        self.tick_pending = True
        tick = {"part": DISRUPTION_PART, "do": "tick"}
        self.client.propose(tick, self.interval * TICK_TIMEOUT_INTERVALS).addCallback(
            self._handle_tick_reply
        )

    def _propose_declaration(self) -> None:
        """Proposes the declaration if the one in the state machine has a lower epoch."""
        now = self.timers.clock()
        if self.member.machine.epoch >= self.epoch:
            return
        if now - self.last_declared_at < DECLARATION_INTERVAL:
            return
        self.last_declared_at = now
        for command in self.declaration:
            self.client.propose(command).addCallback(self._handle_declaration_reply)

    def _handle_declaration_reply(self, reply: dict[str, Any]) -> None:
        if "refused" in reply:
            structured_log.log("declaration rejected", why=reply["refused"])

    def _handle_tick_reply(self, _: dict[str, Any]) -> None:
        self.tick_pending = False

    def close(self) -> None:
        """Stops the ticks and closes the client."""
        self.client.close()
        self.timers.cancel(self.timer)

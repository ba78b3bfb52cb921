"""Several real nodes in one process, with simulated clocks, disks and a simulated network.

The nodes run the production code: faults reach a node as its usual events, or affect the network,
clocks and disks around it. Invariants are checked after each step, here and in `simulated_clients`.
"""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Any, NamedTuple, Protocol, TypeVar

import msgspec

from ..interface.clock import Ticks
from .errors import RaftError
from .messages import Message, TimeoutNow
from .node import RaftNode
from .node_interface import (
    CommandCompleted,
    Effect,
    EntryApplied,
    Event,
    MessageReceived,
    Persist,
    ReadReady,
    RecordsStored,
    RequestRejected,
    Send,
    SetTimer,
    SteppedDown,
    TimerDue,
)
from .records import Record, Recovered, replay_records
from .settings import RaftSettings
from .simulated_host import Host, Register

HOST_NAMES = "abcde"
MIN_HOSTS = 4
"""One more than the minimum number of founders, so that there is a host to add to the cluster."""
FIRST_NEW_INCARNATION = 101
"""First incarnation of disks that were not created with the cluster."""
MAX_BUFFERED_MESSAGES = 64
"""Maximum number of messages that wait for a stalled node, as in a socket's receive buffer."""

Item = TypeVar("Item")


class InvariantError(RaftError):
    """An invariant is violated; the text says which."""


class Random(Protocol):
    """A seeded source of random numbers."""

    def draw(self) -> float:
        """Returns a number in [0, 1)."""

    def pick(self, weights: list[float]) -> int:
        """Returns an index of `weights` with a probability in proportion to its weight."""


class Conditions(NamedTuple):
    """Conditions of a run, which its seed determines.

    Attributes:
        loss_share: Share of messages that are lost.
        duplication_share: Share of messages that are delivered twice.
        delayed_share: Share of messages that get an extra delay.
        max_extra_delay: Maximum extra delay of a message.
        max_sync_delay: Maximum duration of a disk sync.
        promotion_share: Probability that an operator promotes a learner where one can be promoted.
        single_entries: Whether each message carries at most one entry.
        fault_weights: Relative frequency of each kind of fault, in the order of `Fault`.
        mean_fault_interval: Mean interval between two faults.
        founder_count: Number of nodes in the initial configuration.
    """

    loss_share: float
    duplication_share: float
    delayed_share: float
    max_extra_delay: Ticks
    max_sync_delay: float
    promotion_share: float
    single_entries: bool
    fault_weights: list[float]
    mean_fault_interval: float
    founder_count: int


class Observer(Protocol):
    """Receives the outcomes of commands and reads."""

    def command_completed(self, host: Host, effect: CommandCompleted) -> None:
        """Called when a command has completed with a reply."""

    def read_ready(self, host: Host, effect: ReadReady) -> None:
        """Called when a read may be served from the register."""

    def request_rejected(self, host: Host, effect: RequestRejected) -> None:
        """Called when a command or read was rejected."""


class SimulatedCluster:
    """The hosts of a cluster, simulated time and the network between the hosts.

    Args:
        random: Random source of the run.
        conditions: Conditions of the run.
        settings: Settings of all nodes.
        node_class: Class of all nodes.
        records_after_crash: Returns the records that a disk holds after a crash, given those that
            it held before.
    """

    def __init__(
        self,
        random: Random,
        conditions: Conditions,
        *,
        settings: RaftSettings,
        node_class: type[RaftNode],
        records_after_crash: Callable[[list[Record]], list[Record]],
    ) -> None:
        self.random = random
        self.settings = settings
        self.now: Ticks = 0
        self.event_count = 0  # number of events that nodes handled
        self.leaders: dict[int, str] = {}  # by term
        self.blocked_links: set[tuple[str, str]] = set()  # pairs of sender and receiver
        self.observer: Observer | None = None
        self.on_new_leader: Callable[[Host], object] = lambda _: None
        self.on_timeout_now: Callable[[str, str, Message], object] = lambda *_: None
        self._conditions = conditions
        self._node_class = node_class
        self._records_after_crash = records_after_crash
        self._queue: list[tuple[Ticks, int, Callable[..., object], tuple[Any, ...]]] = []
        self._sequence = 0  # orders calls that are due at the same time
        self._next_incarnation = FIRST_NEW_INCARNATION
        self._committed: dict[int, tuple[Ticks, bytes]] = {}  # by index: agreed time, command
        self._effect_handlers: dict[type[Effect], Callable[[Host, Any], None]] = {
            Send: self._send,
            Persist: self._persist,
            SetTimer: self._set_timer,
            CommandCompleted: self._command_completed,
            ReadReady: self._read_ready,
            RequestRejected: self._request_rejected,
            EntryApplied: self._entry_applied,
            SteppedDown: lambda _host, _effect: None,
        }
        self.founders = HOST_NAMES[: conditions.founder_count]
        names = HOST_NAMES[: max(MIN_HOSTS, conditions.founder_count)]
        self.hosts = {name: self._new_host(name) for name in names}
        for host in self.hosts.values():
            self.start_node(host)

    def _new_host(self, name: str) -> Host:
        incarnation = 0 if name in self.founders else self.new_incarnation()
        rate = 1 + (self.random.draw() * 2 - 1) * self.settings.clock_drift
        return Host(name, incarnation, rate, int(self.random.draw() * 10**6))

    def new_incarnation(self) -> int:
        """Returns a disk incarnation that was not used before."""
        incarnation = self._next_incarnation
        self._next_incarnation += 1
        return incarnation

    def random_below(self, limit: int) -> int:
        """Returns a random integer in [0, limit)."""
        return int(self.random.draw() * limit)

    def choose(self, items: Iterable[Item]) -> Item | None:
        """Returns a random item, or None if there are no items."""
        choices = list(items)
        return choices[self.random_below(len(choices))] if choices else None

    def random_host(self) -> Host:
        """Returns a random host."""
        return list(self.hosts.values())[self.random_below(len(self.hosts))]

    # Time.

    def schedule(self, delay: float, call: Callable[..., object], *arguments: Any) -> None:
        """Schedules a call after a delay in simulated time."""
        self._sequence += 1
        at = self.now + max(0, int(delay))
        heappush(self._queue, (at, self._sequence, call, arguments))

    def clock(self, host: Host) -> Ticks:
        """Returns the current time of a host's clock."""
        return int(host.clock_offset + self.now * host.clock_rate)

    def run(self, events: int) -> None:
        """Runs until nodes have handled `events` more events."""
        target_count = self.event_count + events
        while self.event_count < target_count and self._queue:
            self._run_next()

    def run_for(self, duration: Ticks, done: Callable[[], bool]) -> None:
        """Runs for a duration of simulated time, or until `done` returns true."""
        end_time = self.now + duration
        while self._queue and self._queue[0][0] <= end_time and not done():
            self._run_next()

    def _run_next(self) -> None:
        self.now, _, call, arguments = heappop(self._queue)
        call(*arguments)

    # Nodes.

    def start_node(self, host: Host) -> None:
        """Starts the node of a host from the records on its disk."""
        host.generation += 1
        disk = host.disk
        recovered = Recovered(disk.incarnation)
        if disk.records:
            recovered = replay_records(disk.records, disk.incarnation)
        host.register = Register()
        host.timer_at = None
        host.delayed_events = []
        host.node = self._node_class(
            host.name,
            self.founders if disk.incarnation == 0 else None,
            self.settings,
            self.random,
            recovered,
            host.register,
            self.clock(host),
        )
        self.handle_event(host, TimerDue())

    def handle_event(self, host: Host, event: Event) -> None:
        """Passes an event to a node; while the host stalls, the event is delayed."""
        if host.node is None:
            return
        if host.stalled_until > self.now:
            self._delay_event(host, event)
            return
        self.event_count += 1
        for effect in host.node.handle(self.clock(host), event):
            self._effect_handlers[type(effect)](host, effect)
        self._check_leader(host)

    def _delay_event(self, host: Host, event: Event) -> None:
        host.delayed_events.append(event)
        messages = [
            delayed for delayed in host.delayed_events if isinstance(delayed, MessageReceived)
        ]
        if len(messages) > MAX_BUFFERED_MESSAGES:  # events of the disk are never lost
            host.delayed_events.remove(messages[0])

    def resume(self, host: Host) -> None:
        """Ends the stall of a host: its node handles the delayed events in random order.

        In half of the cases client and disk events come before all messages.
        """
        waiting_events = host.delayed_events
        host.delayed_events = []
        if self.random.draw() < 0.5:
            for event in [
                waiting for waiting in waiting_events if not isinstance(waiting, MessageReceived)
            ]:
                waiting_events.remove(event)
                self.handle_event(host, event)
        while waiting_events:
            self.handle_event(host, waiting_events.pop(self.random_below(len(waiting_events))))

    def crash(self, host: Host, loses_tail: bool) -> None:
        """Crashes a host, which restarts after a random time.

        Args:
            host: The host.
            loses_tail: Whether records that were not synced are lost, from a random one on.
        """
        if host.node is None:
            return
        disk = host.disk
        if loses_tail:
            kept_count = disk.synced
            if self.random.draw() < 0.5:
                kept_count += self.random_below(len(disk.records) - disk.synced + 1)
            del disk.records[kept_count:]
        disk.records = self._records_after_crash(disk.records)
        disk.synced = len(disk.records)
        host.node = None
        host.stalled_until = 0
        host.generation += 1
        self.schedule(20 + self.random.draw() ** 2 * 2_000, self._restart, host)

    def _restart(self, host: Host) -> None:
        if host.node is None:
            self.start_node(host)

    # Effects.

    def _send(self, host: Host, effect: Send) -> None:
        peer, message = effect
        if isinstance(message, TimeoutNow):
            self.on_timeout_now(host.name, peer, message)
        conditions = self._conditions
        if (
            (host.name, peer) in self.blocked_links
            or self.random.draw() < conditions.loss_share
            or peer not in self.hosts
        ):
            return
        for _ in range(2 if self.random.draw() < conditions.duplication_share else 1):
            extra_delay = (
                conditions.max_extra_delay if self.random.draw() < conditions.delayed_share else 0
            )
            delay = 1 + self.random.draw() * 20 + self.random.draw() * extra_delay
            self.schedule(delay, self.deliver, host.name, peer, message)

    def deliver(self, sender: str, peer: str, message: Message) -> None:
        """Delivers a message, unless the link is blocked."""
        if (sender, peer) not in self.blocked_links:
            self.handle_event(self.hosts[peer], MessageReceived(sender, message))

    def _persist(self, host: Host, effect: Persist) -> None:
        host.disk.records.extend(effect.records)
        delay = 1 + self.random.draw() * self._conditions.max_sync_delay
        count = len(host.disk.records)
        self.schedule(delay, self._sync_completed, host, host.generation, count, effect.serial)

    def _sync_completed(self, host: Host, generation: int, count: int, serial: int) -> None:
        if host.generation == generation and host.node is not None:
            host.disk.synced = max(host.disk.synced, count)
            self.handle_event(host, RecordsStored(serial))

    def _set_timer(self, host: Host, effect: SetTimer) -> None:
        host.timer_at = effect.at
        delay = (effect.at - self.clock(host)) / host.clock_rate + 1
        self.schedule(delay, self._timer_expired, host, host.generation, effect.at)

    def _timer_expired(self, host: Host, generation: int, at: Ticks) -> None:
        if host.generation != generation or host.timer_at != at:
            return
        if host.stalled_until > self.now:
            delay = host.stalled_until - self.now + 1
            self.schedule(delay, self._timer_expired, host, generation, at)
        else:
            self.handle_event(host, TimerDue())

    def _command_completed(self, host: Host, effect: CommandCompleted) -> None:
        if self.observer:
            self.observer.command_completed(host, effect)

    def _read_ready(self, host: Host, effect: ReadReady) -> None:
        if self.observer:
            self.observer.read_ready(host, effect)

    def _request_rejected(self, host: Host, effect: RequestRejected) -> None:
        if self.observer:
            self.observer.request_rejected(host, effect)

    # Invariants.

    def _entry_applied(self, host: Host, effect: EntryApplied) -> None:
        """Checks the invariants of applied entries.

        All nodes apply the same entry at an index, agreed time never decreases, and each command
        is applied once.
        """
        index = effect.log_index
        content = (effect.at, msgspec.msgpack.encode(effect.command))
        if self._committed.setdefault(index, content) != content:
            raise InvariantError(
                f"{host.name} applied a different entry at index {index} than an earlier node"
            )
        previous = self._committed.get(index - 1)
        if previous and previous[0] > effect.at:
            raise InvariantError(f"agreed time decreases at index {index}")
        command = effect.command
        if command.get("part") == "register" and host.register.apply_counts[command["id"]] > 1:
            raise InvariantError(f"{command['id']} was applied twice")

    def _check_leader(self, host: Host) -> None:
        """Checks that a term has at most one leader."""
        node = host.node
        if node is None or not host.is_leader():
            return
        is_new = node.term not in self.leaders
        known_leader = self.leaders.setdefault(node.term, host.name)
        if known_leader != host.name:
            raise InvariantError(
                f"{host.name} and {known_leader} are both leaders in term {node.term}"
            )
        if is_new:
            self.on_new_leader(host)

    def end_network_faults(self) -> None:
        """Heals the network: from now on messages are not lost, duplicated or delayed."""
        self.blocked_links = set()
        self._conditions = self._conditions._replace(
            loss_share=0.0, duplication_share=0.0, delayed_share=0.0
        )

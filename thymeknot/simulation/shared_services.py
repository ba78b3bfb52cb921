"""Shared services of a simulated fleet: rate-limited discovery and connections to servers.

The module does no I/O. Times are in ticks (tenths of a millisecond).
"""

from collections import deque
from collections.abc import Callable
from inspect import signature
from typing import Any, NamedTuple, Protocol

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..polling.adaptive_interval import AdaptiveInterval, CallResult

# Calls that have waited longer than this in the queue are rejected.
MAX_CALL_WAIT: Ticks = 2 * TICKS_PER_SECOND
# Maximum queue length, in seconds of answers at the service's rate.
MAX_QUEUE_SECONDS = 2.2
# Time until a caller learns that the queue is full.
QUEUE_FULL_DELAY: Ticks = 500
# Idle connections are closed after this time.
IDLE_TIMEOUT: Ticks = 15 * TICKS_PER_SECOND
# An instance without a watch stream whose request for a list was refused repeats it after a random
# time between once and twice this delay.
LIST_RETRY_DELAY: Ticks = TICKS_PER_SECOND

RandomDraw = Callable[[], float]
"""Returns a random number between 0 and 1."""
Schedule = Callable[..., None]
"""`schedule(moment, call, *arguments)` calls `call(*arguments)` at the given moment."""


class PollInterval(Protocol):
    """The waits between the calls of one instance to discovery.

    The attribute `makes_two_initial_calls` is optional: if true, the instance makes two calls at
    its start.
    """

    draw: RandomDraw

    def initial_wait(self, callers: int) -> Ticks:
        """Returns the wait before the first call if `callers` start at once."""

    def record(self, result: CallResult, age: Ticks = 0, lasted: Ticks = 0) -> Ticks:
        """Returns the wait before the next call, given the result of the last one.

        Args:
            result: The result of the last call.
            age: How long ago a call was made that has delivered data.
            lasted: How long a call took that has delivered none.
        """


class OriginalPollInterval:
    """The poll interval of git revisions up to 9db9198: short, with a second call at the start."""

    makes_two_initial_calls = True

    def __init__(self, draw: RandomDraw) -> None:
        self.draw = draw

    def initial_wait(self, callers: int) -> Ticks:
        """Returns the wait before the first call."""
        return 0

    def record(self, result: CallResult, age: Ticks = 0, lasted: Ticks = 0) -> Ticks:
        """Returns the wait before the next call, regardless of the last result."""
        return 2_000 + int(self.draw() * 6_000)


class PollIntervalAdapter:
    """Adapts the poll interval of an earlier git revision to `PollInterval`.

    It does not count how long a call took. Before c2fb222 its methods were `first` and `ended`.
    """

    def __init__(self, interval: Any) -> None:
        self._initial_wait = getattr(interval, "first", None) or interval.initial_wait
        self._record = getattr(interval, "ended", None) or interval.record
        self.draw: RandomDraw = interval.draw

    def initial_wait(self, callers: int) -> Ticks:
        """Returns the wait before the first call if `callers` start at once."""
        wait: Ticks = self._initial_wait(callers)
        return wait

    def record(self, result: CallResult, age: Ticks = 0, lasted: Ticks = 0) -> Ticks:
        """Returns the wait before the next call, given the result of the last one."""
        wait: Ticks = self._record(result, age)
        return wait


class Service:
    """Answers a limited number of calls per second, in order of arrival.

    A call is rejected if the queue is full or if it has waited too long. The latter takes as much
    of the service's time as an answer.

    Attributes:
        call_count: Number of calls.
        rejected_count: Number of rejected calls.
    """

    def __init__(self, rate: float, schedule_at: Schedule, now: Callable[[], Ticks]) -> None:
        """Starts the service.

        Args:
            rate: Answers per second.
            schedule_at: Schedules a call.
            now: Returns the current time.
        """
        self.answer_interval = int(TICKS_PER_SECOND / rate)
        self.queue_limit = int(rate * MAX_QUEUE_SECONDS)
        self.schedule_at = schedule_at
        self.now = now
        self.queue: deque[tuple[Ticks, Callable[[bool], None]]] = deque()
        self.call_count = 0
        self.rejected_count = 0
        self.schedule_at(self.now() + self.answer_interval, self._answer_next)

    def call(self, callback: Callable[[bool], None]) -> None:
        """Makes a call; `callback` gets True once it is answered, or False once it is rejected."""
        self.call_count += 1
        if len(self.queue) >= self.queue_limit:
            self.rejected_count += 1
            self.schedule_at(self.now() + QUEUE_FULL_DELAY, callback, False)
        else:
            self.queue.append((self.now(), callback))

    def _answer_next(self) -> None:
        self.schedule_at(self.now() + self.answer_interval, self._answer_next)
        if self.queue:
            queued_at, callback = self.queue.popleft()
            in_time = self.now() <= queued_at + MAX_CALL_WAIT
            self.rejected_count += not in_time
            callback(in_time)


class Poller(NamedTuple):
    """One incarnation of an instance that polls for endpoint lists."""

    instance: int
    incarnation: int
    """Number of the instance's start."""
    poll_interval: PollInterval


class Discovery(Service):
    """The discovery service, from which instances request endpoint lists and watch streams.

    Attributes:
        watch_streams: Incarnation of each instance with an established watch stream, by instance.
    """

    def __init__(
        self,
        rate: float,
        schedule_at: Schedule,
        now: Callable[[], Ticks],
        deliver: Callable[[int, int, bool], bool],
    ) -> None:
        """Starts the service.

        Args:
            rate: Answers per second.
            schedule_at: Schedules a call.
            now: Returns the current time.
            deliver: `deliver(instance, incarnation, deliver)` returns whether this incarnation is
                still running, and delivers the list to it if `deliver` is true.
        """
        super().__init__(rate, schedule_at, now)
        self.deliver = deliver
        self.watch_streams: dict[int, int] = {}

    def start_polling(
        self, instance: int, incarnation: int, poll_interval: PollInterval, callers: int
    ) -> None:
        """Starts to request the list and a watch stream for an instance.

        Args:
            instance: Number of the instance.
            incarnation: Number of this start of the instance.
            poll_interval: The instance's poll interval.
            callers: How many instances may start at once.
        """
        self.watch_streams.pop(instance, None)
        poller = Poller(instance, incarnation, poll_interval)
        self.schedule_at(
            self.now() + poll_interval.initial_wait(callers), self._request_list, poller, True
        )
        if getattr(poll_interval, "makes_two_initial_calls", False):
            self.schedule_at(self.now(), self._request_list, poller, False)

    def _request_list(self, poller: Poller, watch: bool) -> None:
        requested_at = self.now()

        def handle_result(answered: bool) -> None:
            if answered and watch:
                self.watch_streams[poller.instance] = poller.incarnation
            if answered:
                self.deliver(poller.instance, poller.incarnation, True)
            elif watch or self.watch_streams.get(poller.instance) != poller.incarnation:
                lasted = self.now() - requested_at
                wait = self._wait_after_refusal(poller.poll_interval, watch, lasted)
                self.schedule_at(self.now() + wait, self._request_list, poller, watch)

        # An instance that has stopped since then makes no call.
        if self.deliver(poller.instance, poller.incarnation, False):
            self.call(handle_result)

    @staticmethod
    def _wait_after_refusal(poll_interval: PollInterval, watch: bool, lasted: Ticks) -> Ticks:
        if watch:
            return poll_interval.record(CallResult.REFUSED, lasted=lasted)
        return LIST_RETRY_DELAY + int(poll_interval.draw() * LIST_RETRY_DELAY)


ConnectionKey = tuple[int, int, str]
"""Identifies connections by instance, incarnation and address of the server."""


class Connections:
    """The connections of all instances to all servers.

    Attributes:
        max_per_server: Maximum number of connections per server; 0 for no limit.
        idle_since: When each idle connection became idle, by key.
        open_counts: Number of open connections, by server.
        opened_count: Number of connections opened.
        refused_count: Number of connections refused because of the limit.
    """

    def __init__(self, max_per_server: int) -> None:
        self.max_per_server = max_per_server
        self.idle_since: dict[ConnectionKey, list[Ticks]] = {}
        self.open_counts: dict[str, int] = {}
        self.opened_count = 0
        self.refused_count = 0

    def acquire(self, now: Ticks, key: ConnectionKey, pod: str) -> bool:
        """Takes an idle connection or opens a new one; returns False if the limit is reached."""
        idle = self.idle_since.setdefault(key, [])
        while idle:
            if now <= idle.pop() + IDLE_TIMEOUT:
                return True
            self.open_counts[pod] -= 1
        if (
            self.max_per_server
            and self.open_counts.get(pod, 0) >= self.max_per_server
            and not self._close_expired(now, pod)
        ):
            self.refused_count += 1
            return False
        self.open_counts[pod] = self.open_counts.get(pod, 0) + 1
        self.opened_count += 1
        return True

    def _close_expired(self, now: Ticks, pod: str) -> bool:
        """Closes expired idle connections of a server; returns whether there were any."""
        count_before = self.open_counts[pod]
        for (_, _, server), idle in self.idle_since.items():
            if server == pod:
                self.open_counts[pod] -= sum(now > at + IDLE_TIMEOUT for at in idle)
                idle[:] = [at for at in idle if now <= at + IDLE_TIMEOUT]
        return self.open_counts[pod] < count_before

    def release(self, now: Ticks, key: ConnectionKey, pod: str, reusable: bool) -> None:
        """Returns a connection after an attempt: it becomes idle if reusable, else it is closed."""
        if reusable and key in self.idle_since:
            self.idle_since[key].append(now)
        else:
            self.open_counts[pod] -= 1

    def close_idle(self, predicate: Callable[[ConnectionKey], bool]) -> None:
        """Closes the idle connections of all keys for which `predicate` returns true."""
        for key in [key for key in self.idle_since if predicate(key)]:
            self.open_counts[key[2]] -= len(self.idle_since.pop(key))


def poll_interval_of(policy: Any, draw: RandomDraw) -> PollInterval:
    """Returns the policy's own poll interval, or the current one if it has none."""
    interval = getattr(policy, "poll_interval_type", AdaptiveInterval)(draw)
    record = getattr(interval, "record", None)
    if record is None or "lasted" not in signature(record).parameters:
        return PollIntervalAdapter(interval)
    current: PollInterval = interval
    return current

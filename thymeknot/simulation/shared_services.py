"""What a fleet shares beside its servers: a discovery of limited rate, and connections.

Pure; times are ticks (tenths of a millisecond).
"""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..polling.adaptive_interval import AdaptiveInterval, CallResult

# A call that has waited longer is rejected.
MAX_CALL_WAIT: Ticks = 2 * TICKS_PER_SECOND
# Calls that wait at most, in seconds of answers.
MAX_QUEUE_SECONDS = 2.2
# Until a caller learns that the queue is full.
QUEUE_FULL_DELAY: Ticks = 500
# A connection that stands idle is closed after this time.
IDLE_TIMEOUT: Ticks = 15 * TICKS_PER_SECOND
# A list that was refused to a caller without a watch is asked for again after this time at least,
# and twice this time at most.
LIST_RETRY_DELAY: Ticks = TICKS_PER_SECOND

RandomDraw = Callable[[], float]
"""Gives a random number from 0 to 1."""
Schedule = Callable[..., None]
"""schedule(moment, call, *arguments) calls back at a moment."""


class PollInterval(Protocol):
    """How often an instance asks; an earlier version's may ask twice at the start (`beside`)."""

    draw: RandomDraw

    def initial_wait(self, asking: int) -> Ticks:
        """The wait before the first call, where so many callers start at once."""

    def record(self, how: CallResult, age: Ticks = 0) -> Ticks:
        """The wait before the next call, after one that ended like this."""


class EarlierPace:
    """How lists were asked for up to revision 9db9198: soon again, with a second call beside."""

    beside = True

    def __init__(self, draw: RandomDraw) -> None:
        self.draw = draw

    def initial_wait(self, asking: int) -> Ticks:
        """The wait before the first call."""
        return 0

    def record(self, how: CallResult, age: Ticks = 0) -> Ticks:
        """The wait before the next call, whatever came of the last one."""
        return 2_000 + int(self.draw() * 6_000)


class Service:
    """Answers a limited number of calls a second, in turn.

    A call that finds the queue full, or has waited too long (which costs as much as an answer), is
    rejected.

    Attributes:
        calls: How many were made.
        refused: How many were rejected.
    """

    def __init__(self, rate: float, at: Schedule, now: Callable[[], Ticks]) -> None:
        """Starts the service.

        Args:
            rate: answers a second.
            at: schedules a call.
            now: the time.
        """
        self.answer_interval = int(TICKS_PER_SECOND / rate)
        self.queue_limit = int(rate * MAX_QUEUE_SECONDS)
        self.at = at
        self.now = now
        self.waiting: deque[tuple[Ticks, Callable[[bool], None]]] = deque()
        self.calls = 0
        self.refused = 0
        self.at(self.now() + self.answer_interval, self._next)

    def call(self, end: Callable[[bool], None]) -> None:
        """Makes a call; `end` is called once with whether it was answered."""
        self.calls += 1
        if len(self.waiting) >= self.queue_limit:
            self.refused += 1
            self.at(self.now() + QUEUE_FULL_DELAY, end, False)
        else:
            self.waiting.append((self.now(), end))

    def _next(self) -> None:
        self.at(self.now() + self.answer_interval, self._next)
        if self.waiting:
            since, end = self.waiting.popleft()
            good = self.now() <= since + MAX_CALL_WAIT
            self.refused += not good
            end(good)


class Poller(NamedTuple):
    """One life of an instance that asks for lists."""

    instance: int
    life: int
    """Counts the starts of the instance."""
    pace: PollInterval


class Discovery(Service):
    """Lists that are asked for.

    Attributes:
        standing: The life of each instance whose watch is established, by instance.
    """

    def __init__(
        self,
        rate: float,
        at: Schedule,
        now: Callable[[], Ticks],
        told: Callable[[int, int, bool], bool],
    ) -> None:
        """Starts the service.

        Args:
            rate: answers a second.
            at: schedules a call.
            now: the time.
            told: told(instance, life, complete) says whether this life of the instance is still
                there; it gets the list if `complete`.
        """
        super().__init__(rate, at, now)
        self.told = told
        self.standing: dict[int, int] = {}

    def begin(self, instance: int, life: int, pace: PollInterval, asking: int) -> None:
        """An instance starts: it asks for the list and the changes to it.

        Args:
            instance: its number.
            life: its life.
            pace: how often it asks.
            asking: how many instances may start at once.
        """
        self.standing.pop(instance, None)
        poller = Poller(instance, life, pace)
        self.at(self.now() + pace.initial_wait(asking), self._ask, poller, True)
        if getattr(pace, "beside", False):
            self.at(self.now(), self._ask, poller, False)

    def _ask(self, poller: Poller, watch: bool) -> None:
        def ended(good: bool) -> None:
            if good and watch:
                self.standing[poller.instance] = poller.life
            if good:
                self.told(poller.instance, poller.life, True)
            elif watch or self.standing.get(poller.instance) != poller.life:
                wait = self._wait_after_refusal(poller.pace, watch)
                self.at(self.now() + wait, self._ask, poller, watch)

        if self.told(poller.instance, poller.life, False):  # else it has died since
            self.call(ended)

    @staticmethod
    def _wait_after_refusal(pace: PollInterval, watch: bool) -> Ticks:
        if watch:
            return pace.record(CallResult.REFUSED)
        return LIST_RETRY_DELAY + int(pace.draw() * LIST_RETRY_DELAY)


ConnectionKey = tuple[int, int, str]
"""What a connection belongs to: the instance, its life and the name of the server."""


class Connections:
    """The connections of all instances to all servers.

    Attributes:
        most: How many a server holds at most; 0: as many as come.
        idle: Since when each idle connection of a key stands idle.
        held: How many each server holds.
        made: How many were made.
        refused: How many were refused for the limit.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.idle: dict[ConnectionKey, list[Ticks]] = {}
        self.held: dict[str, int] = {}
        self.made = 0
        self.refused = 0

    def take(self, now: Ticks, key: ConnectionKey, pod: str) -> bool:
        """Whether an attempt with this key gets one: an idle one, or a new one if allowed."""
        idle = self.idle.setdefault(key, [])
        while idle:
            if now <= idle.pop() + IDLE_TIMEOUT:
                return True
            self.held[pod] -= 1
        if self.most and self.held.get(pod, 0) >= self.most and not self._expire(now, pod):
            self.refused += 1
            return False
        self.held[pod] = self.held.get(pod, 0) + 1
        self.made += 1
        return True

    def _expire(self, now: Ticks, pod: str) -> bool:
        """Closes what has stood idle for too long at this server; whether there was any."""
        before = self.held[pod]
        for (_, _, server), idle in self.idle.items():
            if server == pod:
                self.held[pod] -= sum(now > at + IDLE_TIMEOUT for at in idle)
                idle[:] = [at for at in idle if now <= at + IDLE_TIMEOUT]
        return self.held[pod] < before

    def release(self, now: Ticks, key: ConnectionKey, pod: str, good: bool) -> None:
        """An attempt has ended: its connection stands idle if it is good, or is closed."""
        if good and key in self.idle:
            self.idle[key].append(now)
        else:
            self.held[pod] -= 1

    def close_idle(self, gone: Callable[[ConnectionKey], bool]) -> None:
        """Closes the idle connections of all lines that `gone` says are no more."""
        for key in [key for key in self.idle if gone(key)]:
            self.held[key[2]] -= len(self.idle.pop(key))


def poll_interval_of(policy: Any, draw: RandomDraw) -> PollInterval:
    """The interval at which instances of this policy ask: the policy's own, or the present one."""
    interval: PollInterval = getattr(policy, "pace", AdaptiveInterval)(draw)
    return interval

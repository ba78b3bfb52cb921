"""A client of the nodes: commands and reads, with retries.

A command whose outcome is unknown is retried under its own number, so that it counts once.
Retries are spread at random and drawn from a budget that all commands share: clients that lost
the nodes must not overload them when they come back.
"""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .message_codec import PROPOSE, READ
from .node_state import RandomSource
from .peer_channel import PeerChannel
from .state_machine import Command, Reply

ATTEMPT_TIMEOUT: Ticks = 6_000
"""For an answer to one attempt."""
REQUEST_TIMEOUT: Ticks = 30_000
"""For a command or read with all of its attempts, unless the caller says otherwise."""
MIN_BACKOFF: Ticks = 500
"""Of the wait before the next attempt, which doubles."""
MAX_BACKOFF: Ticks = 8_000
"""Where the wait stops growing."""
MAX_DOUBLINGS = 6
"""More would only be cut to MAX_BACKOFF."""
RETRY_BUDGET = 20
"""Retries at once."""
RETRIES_PER_SECOND = 5
"""By which the budget fills."""
MAX_QUEUED = 256
"""Commands that wait for their turn."""
REDIRECT_DELAY: Ticks = 100
"""Before the leader that a node names is asked."""
FAST_REDIRECTS = 4
"""Attempts until redirects are slowed down like failures: nodes may name one another."""


class Channel(Protocol):
    """The way to one node."""

    def send_request(self, kind: int, body: bytes) -> Deferred[dict[str, Any]] | None:
        """Sends a command or query; None where nothing can be sent now."""


class Timers(Protocol):
    """Calls made at their time."""

    clock: Callable[[], Ticks]

    def add(self, at: Ticks, call: Callable[..., Any], *arguments: Any) -> int:
        """Plans a call; gives its number."""

    def cancel(self, number: int) -> None:
        """Drops a call if it is still planned."""


class _Request:
    """A command or query and its attempts."""

    __slots__ = ("answer", "attempts", "body", "deadline", "done", "kind", "serial")

    def __init__(self, kind: int, body: dict[str, Any], deadline: Ticks) -> None:
        self.kind = kind
        self.body = body
        self.deadline = deadline
        self.answer: Deferred[Reply] = Deferred()
        self.attempts = 0
        self.serial = 0  # rises with each attempt and each failure: an older one is over
        self.done = False


class _Attempt(NamedTuple):
    """A request sent to one node."""

    request: _Request
    serial: int
    node: str


class RaftClient:
    """Sends commands, one at a time since a later number ends the earlier ones, and reads.

    Args:
        timers: of the process.
        channels: by node name.
        random_source: spreads the retries.
        origin: this identity's name, or that and "/" and a word.
        incarnation: a number that grows with each start of the process.
        encode: gives the bytes of a request's mapping.
    """

    def __init__(  # noqa: PLR0917  # other packages pass them by position
        self,
        timers: Timers,
        channels: Mapping[str, Channel],
        random_source: RandomSource,
        origin: str,
        incarnation: int,
        encode: Callable[[dict[str, Any]], bytes],
    ) -> None:
        self._timers = timers
        self._clock = timers.clock
        self._channels = channels
        self._random_source = random_source
        self._origin = origin
        self._incarnation = incarnation
        self._encode = encode
        self._number = 0  # of the last command
        self._names = sorted(channels)
        self._leader: str | None = None
        # Index of the node to ask while no leader is known.
        self.next_node = int(random_source.draw() * len(self._names))
        self._queue: deque[_Request] = deque()
        self._current: _Request | None = None  # the command that is out
        self._budget = float(RETRY_BUDGET)
        self._budget_filled_at = self._clock()
        self._closed = False

    def propose(self, command: Command, within: Ticks = REQUEST_TIMEOUT) -> Deferred[Reply]:
        """Sends a command.

        Returns:
            A Deferred of the reply; one with "unknown" where none came in time. Then it may have
            been carried out, or may be yet unless a later command of this client is.
        """
        request = _Request(PROPOSE, {"command": command}, self._clock() + within)
        if len(self._queue) >= MAX_QUEUED:
            self._end_unknown(request, f"{MAX_QUEUED} commands wait here already", MIN_BACKOFF)
        else:
            self._queue.append(request)
            self._send_next()
        return request.answer

    def read(self, query: dict[str, Any], within: Ticks = REQUEST_TIMEOUT) -> Deferred[Reply]:
        """Sends a query: as `propose`, but it changes nothing and waits for no other."""
        request = _Request(READ, {"query": query}, self._clock() + within)
        self._attempt(request)
        return request.answer

    def close(self) -> None:
        """Attempts nothing more."""
        self._closed = True

    def _send_next(self) -> None:
        """Sends the next command of the queue, unless one is out."""
        while self._queue and self._current is None:
            request = self._queue.popleft()
            if self._clock() >= request.deadline:
                self._time_out(request)
                continue
            self._number += 1
            request.body.update(
                origin=self._origin, incarnation=self._incarnation, number=self._number
            )
            self._current = request
            self._attempt(request)

    def _time_out(self, request: _Request) -> None:
        reason = "no keeper answered in time: the outcome is unknown"
        self._end_unknown(request, reason, MAX_BACKOFF)

    def _end_unknown(self, request: _Request, reason: str, retry_after: Ticks) -> None:
        reply = {"refused": reason, "by": [], "again": retry_after, "unknown": True}
        self._end(request, reply)

    def _end(self, request: _Request, reply: Reply) -> None:
        if request.done:
            return
        request.done = True
        if self._current is request:
            self._current = None
        request.answer.callback(reply)
        self._send_next()

    # Attempts.

    def _take_retry(self) -> bool:
        """Takes a retry from the budget, if it has one."""
        now = self._clock()
        elapsed = now - self._budget_filled_at
        filled = self._budget + elapsed * RETRIES_PER_SECOND / TICKS_PER_SECOND
        self._budget = min(RETRY_BUDGET, filled)
        self._budget_filled_at = now
        if self._budget < 1:
            return False
        self._budget -= 1
        return True

    def _attempt(self, request: _Request) -> None:
        if request.done or self._closed:
            return
        now = self._clock()
        if now >= request.deadline:
            self._time_out(request)
            return
        if request.attempts and not self._take_retry():
            self._retry_after(request, TICKS_PER_SECOND // RETRIES_PER_SECOND)
            return
        request.attempts += 1
        request.serial += 1
        name = self._names[self.next_node % len(self._names)]
        if self._leader is not None and self._leader in self._channels:
            name = self._leader
        answer = self._channels[name].send_request(request.kind, self._encode(request.body))
        if answer is None:
            self._try_another(request, name)
            return
        attempt = _Attempt(request, request.serial, name)
        timer = self._timers.add(
            min(now + ATTEMPT_TIMEOUT, request.deadline), self._attempt_timed_out, attempt
        )

        def failed(_: Failure) -> None:
            self._timers.cancel(timer)
            self._attempt_timed_out(attempt)

        def answered(told: dict[str, Any]) -> None:
            self._timers.cancel(timer)
            self._answered(told, attempt)

        answer.addCallbacks(answered, failed)
        answer.addErrback(failed)

    def _attempt_timed_out(self, attempt: _Attempt) -> None:
        if attempt.serial == attempt.request.serial:
            self._try_another(attempt.request, attempt.node)

    def _answered(self, told: dict[str, Any], attempt: _Attempt) -> None:
        """Takes an answer, be it to a former attempt: all have one number."""
        request, serial, name = attempt
        if request.done:
            return
        if "reply" in told:
            self._leader = name
            self._end(request, told["reply"])
        elif serial == request.serial:
            self._rejected(told, request, name)

    def _rejected(self, told: dict[str, Any], request: _Request, name: str) -> None:
        """A node didn't accept the request: it is final, or another is asked, or the same later."""
        retry_after = told.get("again")
        leader = told.get("leader")
        if retry_after is None and not told.get("unknown") and leader == name:
            self._end(request, {"refused": told.get("why", ""), "by": [], "again": 0})
        elif leader and leader != name:
            self._leader = leader
            slow = request.attempts >= FAST_REDIRECTS
            self._retry_after(request, self._backoff(request) if slow else REDIRECT_DELAY)
        else:
            self._try_another(request, name, min(retry_after or 0, MAX_BACKOFF))

    def _try_another(self, request: _Request, name: str, at_least: Ticks = 0) -> None:
        """That node is no help now: the next one is asked, after a while."""
        request.serial += 1
        if self._leader == name:
            self._leader = None
        self.next_node += 1
        self._retry_after(request, max(min(at_least, MIN_BACKOFF), self._backoff(request)))

    def _backoff(self, request: _Request) -> Ticks:
        longest = min(MAX_BACKOFF, MIN_BACKOFF << min(request.attempts, MAX_DOUBLINGS))
        return int(longest * (0.5 + self._random_source.draw()) / 2)

    def _retry_after(self, request: _Request, wait: Ticks) -> None:
        at = min(request.deadline, self._clock() + max(1, wait))
        self._timers.add(at, self._attempt, request)


__all__ = ["PeerChannel", "RaftClient"]

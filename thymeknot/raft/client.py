"""A client of the Raft cluster that sends commands and reads and retries them.

A command whose outcome is unknown is retried with the same sequence number, so that it is applied
once. Retries have random delays and take tokens from a retry budget that all requests share:
clients that lost the cluster must not overload it when it is reachable again.
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
"""Timeout of one attempt."""
REQUEST_TIMEOUT: Ticks = 30_000
"""Default timeout of a command or read with all of its attempts."""
MIN_BACKOFF: Ticks = 500
"""Initial backoff before the next attempt; it doubles with each attempt."""
MAX_BACKOFF: Ticks = 8_000
"""Upper limit of the backoff."""
MAX_DOUBLINGS = 6
"""Maximum number of times the backoff doubles; more would only be capped by MAX_BACKOFF."""
RETRY_BUDGET = 20
"""Capacity of the retry budget, and so the largest burst of retries."""
RETRIES_PER_SECOND = 5
"""Rate at which the retry budget refills."""
MAX_QUEUED = 256
"""Maximum number of commands that wait in the queue."""
REDIRECT_DELAY: Ticks = 100
"""Delay before the request is sent to the leader that a node named."""
FAST_REDIRECTS = 4
"""Number of attempts after which redirects back off like failures.

Nodes with outdated information may redirect to one another.
"""


class Channel(Protocol):
    """The channel to one node."""

    def send_request(self, kind: int, body: bytes) -> Deferred[dict[str, Any]] | None:
        """Sends a command or query; returns None if nothing can be sent now."""


class Timers(Protocol):
    """A queue of timers."""

    clock: Callable[[], Ticks]

    def add(self, at: Ticks, call: Callable[..., Any], *arguments: Any) -> int:
        """Schedules a call and returns its number."""

    def cancel(self, number: int) -> None:
        """Cancels a call if it is still scheduled."""


class _Request:
    """A command or query that is retried until it has an outcome or its deadline passes.

    Attributes:
        kind: PROPOSE or READ.
        body: The mapping that is encoded and sent.
        deadline: Time after which no further attempt is made.
        answer: Fires with the reply.
        attempts: Number of attempts.
        serial: Increases with each attempt and failure, so that a late timeout of an earlier
            attempt is ignored.
        done: Whether `answer` has fired.
    """

    __slots__ = ("answer", "attempts", "body", "deadline", "done", "kind", "serial")

    def __init__(self, kind: int, body: dict[str, Any], deadline: Ticks) -> None:
        self.kind = kind
        self.body = body
        self.deadline = deadline
        self.answer: Deferred[Reply] = Deferred()
        self.attempts = 0
        self.serial = 0
        self.done = False


class _Attempt(NamedTuple):
    """One attempt of a request; `serial` is the request's serial when it was made."""

    request: _Request
    serial: int
    node: str


class RaftClient:
    """Sends commands and reads to the cluster.

    Commands are sent one at a time, since a session rejects a sequence number below its last one.

    Args:
        timers: Timers of the process.
        channels: Channels to the nodes, by node name.
        random_source: Source of the jitter of retries.
        origin: Name of the client session: the name of the signing identity, optionally followed
            by "/" and a suffix.
        incarnation: Incarnation of the client session, which increases with each process start.
        encode: Encodes the body of a request.
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
        self._number = 0  # sequence number of the last command
        self._names = sorted(channels)
        self._leader: str | None = None
        # Index of the node that gets the next request while no leader is known.
        self.next_node = int(random_source.draw() * len(self._names))
        self._queue: deque[_Request] = deque()
        self._current: _Request | None = None  # the command that is being sent
        self._retry_budget = float(RETRY_BUDGET)
        self._budget_refilled_at = self._clock()
        self._closed = False

    def propose(self, command: Command, timeout: Ticks = REQUEST_TIMEOUT) -> Deferred[Reply]:
        """Sends a command.

        Args:
            command: The command.
            timeout: Maximum time for the command with all of its attempts.

        Returns:
            A Deferred of the reply. It has "unknown" set if none arrived in time: then the command
            may have been applied, and may still be until a later command of this client is.
        """
        request = _Request(PROPOSE, {"command": command}, self._clock() + timeout)
        if len(self._queue) >= MAX_QUEUED:
            self._complete_unknown(
                request,
                f"the queue of this client holds its maximum of {MAX_QUEUED} commands",
                MIN_BACKOFF,
            )
        else:
            self._queue.append(request)
            self._send_next_command()
        return request.answer

    def read(self, query: dict[str, Any], timeout: Ticks = REQUEST_TIMEOUT) -> Deferred[Reply]:
        """Sends a query, like `propose`, but reads change no state and are not queued."""
        request = _Request(READ, {"query": query}, self._clock() + timeout)
        self._attempt(request)
        return request.answer

    def close(self) -> None:
        """Stops all further attempts."""
        self._closed = True

    def _send_next_command(self) -> None:
        """Sends the next command of the queue, unless one is being sent."""
        while self._queue and self._current is None:
            request = self._queue.popleft()
            if self._clock() >= request.deadline:
                self._complete_timed_out(request)
                continue
            self._number += 1
            request.body.update(
                origin=self._origin, incarnation=self._incarnation, number=self._number
            )
            self._current = request
            self._attempt(request)

    def _complete_timed_out(self, request: _Request) -> None:
        reason = "no keeper answered before the deadline; the outcome is unknown"
        self._complete_unknown(request, reason, MAX_BACKOFF)

    def _complete_unknown(self, request: _Request, reason: str, retry_after: Ticks) -> None:
        reply = {"refused": reason, "by": [], "again": retry_after, "unknown": True}
        self._complete(request, reply)

    def _complete(self, request: _Request, reply: Reply) -> None:
        if request.done:
            return
        request.done = True
        if self._current is request:
            self._current = None
        request.answer.callback(reply)
        self._send_next_command()

    # Attempts.

    def _take_retry_token(self) -> bool:
        """Takes a token from the retry budget; returns False if it has none."""
        now = self._clock()
        elapsed = now - self._budget_refilled_at
        refilled = self._retry_budget + elapsed * RETRIES_PER_SECOND / TICKS_PER_SECOND
        self._retry_budget = min(RETRY_BUDGET, refilled)
        self._budget_refilled_at = now
        if self._retry_budget < 1:
            return False
        self._retry_budget -= 1
        return True

    def _attempt(self, request: _Request) -> None:
        if request.done or self._closed:
            return
        now = self._clock()
        if now >= request.deadline:
            self._complete_timed_out(request)
            return
        if request.attempts and not self._take_retry_token():
            self._schedule_attempt(request, TICKS_PER_SECOND // RETRIES_PER_SECOND)
            return
        request.attempts += 1
        request.serial += 1
        name = self._names[self.next_node % len(self._names)]
        if self._leader is not None and self._leader in self._channels:
            name = self._leader
        answer = self._channels[name].send_request(request.kind, self._encode(request.body))
        if answer is None:
            self._try_next_node(request, name)
            return
        attempt = _Attempt(request, request.serial, name)
        timer = self._timers.add(
            min(now + ATTEMPT_TIMEOUT, request.deadline), self._attempt_timed_out, attempt
        )

        def attempt_failed(_: Failure) -> None:
            self._timers.cancel(timer)
            self._attempt_timed_out(attempt)

        def response_received(response: dict[str, Any]) -> None:
            self._timers.cancel(timer)
            self._handle_response(response, attempt)

        answer.addCallbacks(response_received, attempt_failed)
        answer.addErrback(attempt_failed)

    def _attempt_timed_out(self, attempt: _Attempt) -> None:
        if attempt.serial == attempt.request.serial:
            self._try_next_node(attempt.request, attempt.node)

    def _handle_response(self, response: dict[str, Any], attempt: _Attempt) -> None:
        """Handles a response.

        A reply to an earlier attempt counts too: all attempts have the same sequence number.
        """
        request, serial, name = attempt
        if request.done:
            return
        if "reply" in response:
            self._leader = name
            self._complete(request, response["reply"])
        elif serial == request.serial:
            self._handle_rejection(response, request, name)

    def _handle_rejection(self, response: dict[str, Any], request: _Request, name: str) -> None:
        """Handles a rejection: it is final, or the leader is tried next, or another node later."""
        retry_after = response.get("again")
        leader = response.get("leader")
        if retry_after is None and not response.get("unknown") and leader == name:
            self._complete(request, {"refused": response.get("why", ""), "by": [], "again": 0})
        elif leader and leader != name:
            self._leader = leader
            back_off = request.attempts >= FAST_REDIRECTS
            self._schedule_attempt(request, self._backoff(request) if back_off else REDIRECT_DELAY)
        else:
            self._try_next_node(request, name, min(retry_after or 0, MAX_BACKOFF))

    def _try_next_node(self, request: _Request, name: str, min_delay: Ticks = 0) -> None:
        """Tries the next node after a backoff of at least `min_delay`, up to MIN_BACKOFF."""
        request.serial += 1
        if self._leader == name:
            self._leader = None
        self.next_node += 1
        self._schedule_attempt(request, max(min(min_delay, MIN_BACKOFF), self._backoff(request)))

    def _backoff(self, request: _Request) -> Ticks:
        """Returns a random delay between a quarter and three quarters of the exponential limit."""
        max_delay = min(MAX_BACKOFF, MIN_BACKOFF << min(request.attempts, MAX_DOUBLINGS))
        return int(max_delay * (0.5 + self._random_source.draw()) / 2)

    def _schedule_attempt(self, request: _Request, delay: Ticks) -> None:
        at = min(request.deadline, self._clock() + max(1, delay))
        self._timers.add(at, self._attempt, request)


__all__ = ["PeerChannel", "RaftClient"]

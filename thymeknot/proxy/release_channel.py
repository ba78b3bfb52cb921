"""The release state of the newest build, from the platform's stream and vote responses."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..interface.actions import CastVote
from ..interface.clock import Ticks
from ..interface.enums import Outcome, ReleasePhase
from ..interface.events import ReleaseUpdate
from ..policy.sequential_test import Symptom
from ..protocol import deployer, http
from ..protocol.http_calls import Reply
from ..protocol.watch_stream import WatchStream
from ..protocol.write_progress import BrokenConnection
from ..service import structured_log
from ..state.random_source import LinearCongruentialGenerator
from .endpoint_updates import Address, StreamReader

if TYPE_CHECKING:
    from .proxy import Proxy


LOGGED_DIGITS = 2
"""Decimal places of the evidence in the log line of a vote."""


def _cap(update: ReleaseUpdate) -> float:
    assert update.cap is not None  # an update whose outcome is DONE has all fields
    return update.cap


def _age(update: ReleaseUpdate) -> Ticks:
    assert update.age is not None  # an update whose outcome is DONE has all fields
    return update.age


def traffic_share(update: ReleaseUpdate) -> float:
    """Returns the largest share of requests that may go to the newest build."""
    if update.phase == ReleasePhase.ON_TRIAL:
        return _cap(update)
    return 1.0 if update.phase == ReleasePhase.RELEASED else 0.0


def _rounded(values: Mapping[Symptom, float]) -> dict[str, float]:
    return {str(name): round(value, LOGGED_DIGITS) for name, value in values.items()}


class ReleaseChannel:
    """Casts votes and keeps the latest release update.

    Attributes:
        proxy: Receives the updates.
        latest: The latest update; None before the first one.
        platform: The HTTP client of the release platform.
        stream: The platform's stream of updates.
    """

    def __init__(self, proxy: "Proxy", random_source: LinearCongruentialGenerator) -> None:
        self.proxy = proxy
        self.latest: ReleaseUpdate | None = None
        self._latest_at: Ticks = 0
        self.platform = proxy.caller(proxy.start.platform)
        self.stream = WatchStream(
            self.platform,
            random_source,
            deployer.SILENCE_TIMEOUT,
            lambda: deployer.stream_request(self.platform.host),
            self._stream_reader,
            structured_log.log_rate_limited,
            deployer.FIRST_DATA_TIMEOUT,
        )

    def start(self) -> None:
        """Subscribes to the platform."""
        self.stream.start()

    def change_address(self, address: Address) -> None:
        """Switches to another platform address; calls in progress finish at the previous one."""
        if address != self.platform.address:
            self.platform = self.proxy.caller(address)
            self.stream.move(self.platform)

    def apply(self, update: ReleaseUpdate) -> None:
        """Stores an update before the engine handles it.

        A lower cap or another phase also applies to attempts that still wait for a connection.
        """
        if update.outcome != Outcome.DONE:
            return
        previous = self.latest
        self.latest = update
        self._latest_at = self.proxy.clock()
        if (
            previous
            and previous.build == update.build
            and (_cap(update) < _cap(previous) or update.phase != previous.phase)
        ):
            self.proxy.withdraw_unwritten(lambda endpoint, _: endpoint.build >= update.build)

    def _stream_reader(self) -> StreamReader:
        events = http.EventStream()

        def read(content: memoryview) -> bool:
            for event, data in events.feed(content):
                # A malformed event ends the stream, which is then reopened.
                parsed = deployer.read_event(event, data)
                if parsed is not None and (
                    isinstance(parsed, ReleaseUpdate)
                    or parsed.request_class in self.proxy.settings.request_classes
                ):
                    self.proxy.handle_events(parsed)
            return b"\n" in bytes(content)  # at least one complete line

        return read

    def _reconciled(self, update: ReleaseUpdate, sent_at: Ticks) -> ReleaseUpdate:
        """Returns the release state after the response to a vote that was cast at `asked`.

        It is the state in the response, unless the stream has since reported a newer one. If it is
        unclear which is newer, the one with the smaller traffic share applies until the next
        response or event.
        """
        current = self.latest
        if update.outcome != Outcome.DONE or current is None:
            return update
        older = update.build < current.build
        if update.build == current.build and sent_at - _age(update) <= self._latest_at - _age(
            current
        ):
            older = traffic_share(update) > traffic_share(current)
        return current._replace(answers_vote=True) if older else update

    def cast_vote(self, action: CastVote) -> None:
        """Sends a vote, and reports the response or the timeout to the engine."""
        sent_at = self.proxy.clock()
        evidence = self.proxy.engine.vote_evidence()

        def on_response(result: Reply | BrokenConnection) -> None:
            update = self._reconciled(deployer.read_vote_reply(action.build, result), sent_at)
            structured_log.log(
                "vote",
                build=action.build,
                stage=action.stage,
                verdict=action.verdict,
                outcome=update.outcome,
                attempts=evidence.attempts,
                failed=evidence.failed,
                excluded=evidence.excluded,
                judged=evidence.judged,
                sums=_rounded(evidence.sums),
                bounds=_rounded(evidence.bounds),
                null_rates=_rounded(evidence.null_rates),
                all_slow=round(evidence.all_slow, LOGGED_DIGITS),
            )
            self.proxy.handle_events(update)

        vote = self.platform.call(
            deployer.vote_request(self.platform.host, action), self.proxy.settings.vote_timeout
        )
        vote.addCallback(on_response)

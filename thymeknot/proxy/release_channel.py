"""The release state of the newest build, from the platform's stream and its vote responses."""

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
    """Casts votes and holds the latest release update.

    Attributes:
        proxy: Receives the updates.
        latest: The latest update; None before the first one.
        platform: The HTTP client of the release platform.
        stream: The platform's stream of updates.
    """

    def __init__(self, proxy: "Proxy", chance: LinearCongruentialGenerator) -> None:
        self.proxy = proxy
        self.latest: ReleaseUpdate | None = None
        self._latest_at: Ticks = 0
        self.platform = proxy.caller(proxy.start.platform)
        self.stream = WatchStream(
            self.platform,
            chance,
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
        """Switches to this address; calls in progress finish at the previous one."""
        if address != self.platform.address:
            self.platform = self.proxy.caller(address)
            self.stream.move(self.platform)

    def apply(self, update: ReleaseUpdate) -> None:
        """Stores an update before the engine handles it.

        A lower cap or another phase also applies to attempts that still wait for a connection.
        """
        if update.outcome != Outcome.DONE:
            return
        old = self.latest
        self.latest = update
        self._latest_at = self.proxy.clock()
        if (
            old
            and old.build == update.build
            and (_cap(update) < _cap(old) or update.phase != old.phase)
        ):
            self.proxy.withdraw_unwritten(lambda endpoint, _: endpoint.build >= update.build)

    def _stream_reader(self) -> StreamReader:
        events = http.EventStream()

        def read(content: memoryview) -> bool:
            for event, data in events.feed(content):
                # A malformed event ends the stream, which is then reopened.
                told = deployer.read_event(event, data)
                if told is not None and (
                    isinstance(told, ReleaseUpdate)
                    or told.request_class in self.proxy.settings.request_classes
                ):
                    self.proxy.handle_events(told)
            return b"\n" in bytes(content)  # at least one complete line

        return read

    def _reconciled(self, update: ReleaseUpdate, asked: Ticks) -> ReleaseUpdate:
        """Returns the release state after the response to a vote that was cast at `asked`.

        It is the state in the response, unless the stream has since reported a newer one. If it is
        unclear which is newer, the one with the smaller traffic share is used until the next
        response or event.
        """
        held = self.latest
        if update.outcome != Outcome.DONE or held is None:
            return update
        older = update.build < held.build
        if update.build == held.build and asked - _age(update) <= self._latest_at - _age(held):
            older = traffic_share(update) > traffic_share(held)
        return held._replace(answers_vote=True) if older else update

    def cast_vote(self, action: CastVote) -> None:
        """Sends a vote; the engine is told of the response or of the timeout."""
        asked = self.proxy.clock()
        evidence = self.proxy.engine.vote_evidence()

        def answered(end: Reply | BrokenConnection) -> None:
            update = self._reconciled(deployer.read_vote_reply(action.build, end), asked)
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
        vote.addCallback(answered)

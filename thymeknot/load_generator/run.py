"""One stretch, or a ramp of them, as a program: runs the event loop and gives the results."""

import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Optional, TypedDict

from twisted.python.failure import Failure

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .codecs import CODECS
from .driver import Driver, DriverSettings
from .latency_histogram import LoadStatistics, Outcome
from .ramp import Ramp, RampState
from .schedule import RequestClass, schedule_requests
from .verdict import Goal, RunSummary, Verdict, judge

NANOSECONDS_PER_TICK = 100_000

OWN_DELAY_PERCENTILE = 99
"""Of the load tool's own delay, which the verdict is about."""


class Plan(TypedDict):
    """What is sent, as the command line gives it.

    Keys:
        seed: Of the random numbers; each stretch of a ramp adds one.
        rate: Requests a second, unless a ramp sets it.
        seconds: The length of a stretch.
        lanes: The request classes.
        keys: The number of different keys.
    """

    seed: int
    rate: float
    seconds: int
    lanes: Sequence[RequestClass]
    keys: int


class RunResult(NamedTuple):
    """One stretch.

    Attributes:
        rate: Requests a second.
        verdict: Whether it met the goal.
        reason: The reason in words.
        statistics: Its latencies and outcomes.
    """

    rate: float
    verdict: Verdict
    reason: str
    statistics: LoadStatistics


def monotonic_ticks() -> Ticks:
    """A monotonic clock."""
    return time.monotonic_ns() // NANOSECONDS_PER_TICK


class _Run:
    """The stretches of one call, one after another; the event loop stops after the last."""

    def __init__(
        self,
        reactor: Any,
        settings: DriverSettings,
        plan: Plan,
        goal: Goal,
        *,
        notify: Callable[[str], None],
        ramp: Optional[Ramp],
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.plan = plan
        self.goal = goal
        self.notify = notify
        self.ramp = ramp
        self.results: list[RunResult] = []

    def begin(self) -> None:
        """Starts the next stretch."""
        rate = self.ramp.rate if self.ramp else self.plan["rate"]
        span = self.plan["seconds"] * TICKS_PER_SECOND
        requests = schedule_requests(
            self.plan["seed"] + len(self.results),
            rate,
            span,
            self.plan["lanes"],
            keys=self.plan["keys"],
        )
        driver = Driver(self.reactor, monotonic_ticks, self.settings)
        driver.run(requests, span).addCallback(self._ended, rate).addErrback(self._failed)

    def _ended(self, statistics: LoadStatistics, rate: float) -> None:
        stretch = _summarize(statistics, rate, self.goal)
        verdict, reason = judge(stretch, self.goal)
        self.results.append(RunResult(rate, verdict, reason, statistics))
        self.notify(f"{rate:8.0f}/s  {verdict:9}  {reason}  (done {stretch.done} of {stretch.due})")
        if self.ramp:
            self.ramp.record(verdict, reason)
        if self.ramp and self.ramp.state != RampState.OVER:
            self.begin()
        else:
            self.reactor.stop()

    def _failed(self, failure: Failure) -> None:
        failure.printTraceback()  # type: ignore[no-untyped-call]  # twisted's
        self.reactor.stop()


def _summarize(statistics: LoadStatistics, rate: float, goal: Goal) -> RunSummary:
    done = statistics.outcomes[Outcome.DONE]
    latency = statistics.all.get_value_at_percentile(100 * goal.quantile) if done else 0
    return RunSummary(
        rate=rate,
        latency=latency,
        done=done,
        ended=sum(statistics.outcomes.values()),
        late=statistics.late.get_value_at_percentile(OWN_DELAY_PERCENTILE),
        due=statistics.due,
    )


def run_load(  # noqa: PLR0917  # the command line gives all of them by position
    host: str,
    port: int,
    plan: Plan,
    goal: Goal,
    notify: Callable[[str], None],
    max_connections: int = 64,
    patience: Ticks = 2 * TICKS_PER_SECOND,
    protocol: str = "resp2",
    ramp: Optional[Ramp] = None,
) -> list[RunResult]:
    """Runs one stretch, or as many as a ramp takes, and the event loop until they are over.

    Args:
        host: The server's address.
        port: The server's port.
        plan: What is sent.
        goal: What a stretch has to meet.
        notify: Takes a line about each stretch.
        max_connections: Connections at most.
        patience: How long a client waits.
        protocol: A key of CODECS.
        ramp: Sets the rates, or None for the plan's own.
    """
    from twisted.internet import reactor  # noqa: PLC0415  # importing it installs the event loop

    loop: Any = reactor
    loop.seconds = time.monotonic
    settings = DriverSettings(host, port, CODECS[protocol], max_connections, patience)
    run = _Run(loop, settings, plan, goal, notify=notify, ramp=ramp)
    loop.callWhenRunning(run.begin)
    loop.run(installSignalHandlers=True)
    return run.results

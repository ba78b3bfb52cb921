"""Executes one run, or the runs of a ramp, in the event loop and returns the results."""

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
from .verdict import Goal, RunSummary, Verdict, evaluate

NANOSECONDS_PER_TICK = 100_000

OWN_DELAY_PERCENTILE = 99
"""Percentile of the load generator's own delay that the verdict uses."""


class Plan(TypedDict):
    """Parameters of the requests, from the command line.

    Keys:
        seed: Seed of the random numbers; each further run of a ramp adds one.
        rate: Requests per second; ignored with a ramp.
        seconds: Duration of a run.
        lanes: The request classes.
        keys: Number of different keys.
    """

    seed: int
    rate: float
    seconds: int
    lanes: Sequence[RequestClass]
    keys: int


class RunResult(NamedTuple):
    """Result of one run.

    Attributes:
        rate: Requests per second.
        verdict: Whether it met the goal.
        reason: Reason for the verdict, as text.
        statistics: Latencies and outcomes.
    """

    rate: float
    verdict: Verdict
    reason: str
    statistics: LoadStatistics


def monotonic_ticks() -> Ticks:
    """Returns the time of a monotonic clock in ticks."""
    return time.monotonic_ns() // NANOSECONDS_PER_TICK


class _RunSequence:
    """The consecutive runs of one call; the event loop stops after the last one."""

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

    def start_next(self) -> None:
        """Starts the next run."""
        rate = self.ramp.rate if self.ramp else self.plan["rate"]
        duration = self.plan["seconds"] * TICKS_PER_SECOND
        requests = schedule_requests(
            self.plan["seed"] + len(self.results),
            rate,
            duration,
            self.plan["lanes"],
            key_count=self.plan["keys"],
        )
        driver = Driver(self.reactor, monotonic_ticks, self.settings)
        driver.run(requests, duration).addCallback(self._run_ended, rate).addErrback(
            self._run_failed
        )

    def _run_ended(self, statistics: LoadStatistics, rate: float) -> None:
        summary = _summarize(statistics, rate, self.goal)
        verdict, reason = evaluate(summary, self.goal)
        self.results.append(RunResult(rate, verdict, reason, statistics))
        self.notify(f"{rate:8.0f}/s  {verdict:9}  {reason}  (done {summary.done} of {summary.due})")
        if self.ramp:
            self.ramp.record(verdict, reason)
        if self.ramp and self.ramp.state != RampState.FINISHED:
            self.start_next()
        else:
            self.reactor.stop()

    def _run_failed(self, failure: Failure) -> None:
        failure.printTraceback()  # type: ignore[no-untyped-call]  # untyped in Twisted
        self.reactor.stop()


def _summarize(statistics: LoadStatistics, rate: float, goal: Goal) -> RunSummary:
    done = statistics.outcomes[Outcome.DONE]
    latency = statistics.corrected_all.get_value_at_percentile(100 * goal.quantile) if done else 0
    return RunSummary(
        rate=rate,
        latency=latency,
        done=done,
        ended=sum(statistics.outcomes.values()),
        own_delay=statistics.own_delay.get_value_at_percentile(OWN_DELAY_PERCENTILE),
        due=statistics.due_count,
    )


def run_load(  # noqa: PLR0917  # the `load` command passes all of them by position
    host: str,
    port: int,
    plan: Plan,
    goal: Goal,
    notify: Callable[[str], None],
    max_connections: int = 64,
    client_timeout: Ticks = 2 * TICKS_PER_SECOND,
    protocol: str = "resp2",
    ramp: Optional[Ramp] = None,
) -> list[RunResult]:
    """Executes one run, or the runs that a ramp needs, and returns when the event loop has stopped.

    Args:
        host: Host of the server.
        port: Port of the server.
        plan: Parameters of the requests.
        goal: What a run has to meet.
        notify: Called with a line of text about each run.
        max_connections: Maximum number of connections.
        client_timeout: How long a client waits, from when its request is due.
        protocol: A key of CODECS.
        ramp: Determines the rates; None for a single run at the plan's rate.
    """
    from twisted.internet import reactor  # noqa: PLC0415  # the import installs the event loop

    loop: Any = reactor
    loop.seconds = time.monotonic
    settings = DriverSettings(host, port, CODECS[protocol], max_connections, client_timeout)
    sequence = _RunSequence(loop, settings, plan, goal, notify=notify, ramp=ramp)
    loop.callWhenRunning(sequence.start_next)
    loop.run(installSignalHandlers=True)
    return sequence.results

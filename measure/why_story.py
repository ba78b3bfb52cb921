"""Explains two situations of simulated sidecars from the decision log alone.

A good build that is rolled back, and requests that are deferred just after a sidecar's restart. Run
with `python -m measure.why_story --seed n`.
"""

import argparse
import collections
import random
import sys

from measure.shop import SHOP_SETTINGS
from measure.world import World
from tests.support.decisions import REQUEST_CLASSES
from thymeknot.decision_log.entry_filter import EntryFilter
from thymeknot.decision_log.explanations import explain_entry
from thymeknot.decision_log.recorder import Recorder
from thymeknot.decision_log.settings import DecisionLogSettings
from thymeknot.decision_log.slot_file import SlotFile
from thymeknot.interface.actions import CastVote, Fail, Reject, SendAttempt, SetTimer
from thymeknot.interface.enums import EndpointCondition, Outcome, ReleasePhase, UpdateKind
from thymeknot.interface.events import (
    AttemptEnded,
    Endpoint,
    EndpointUpdate,
    ReleaseUpdate,
    RequestReceived,
    TimerFired,
)
from thymeknot.interface.reasons import Reason as R
from thymeknot.policy.engine import DecisionEngine
from thymeknot.state.random_source import LinearCongruentialGenerator

SECOND = 10_000
ENGINE_SETTINGS = SHOP_SETTINGS._replace(
    request_classes={name: REQUEST_CLASSES[name] for name in ("read", "pay")},
    instances=3,
    guarded_stages=0,
)
DECISION_LOG_SETTINGS = DecisionLogSettings(8, None, "", 0.4, 0.3, 60 * SECOND, 200)


class Sidecar:
    """A simulated sidecar: a decision engine with a decision log and a steady rate of requests.

    Attributes:
        world: Its event queue; it has no gossip nodes.
        random_source: Random numbers of the requests.
        rate: Requests per second.
        failure_rates: Share of attempts that fail, by the address of a faulty endpoint.
        latency_scale: Scale of the gamma distribution of latencies, whose shape is 4.
        recorder: Recorder of the decision log.
        engine: The decision engine.
        phase: Phase of the release updates that follow a vote.
        outage: When the endpoints of the new build start and stop failing, and the share of their
            attempts that fail.
    """

    def __init__(self, seed, rate, endpoints, failure_rates, release_update, latency_scale=150):
        self.world, self.random_source = World([], seed), random.Random(seed)
        self.rate, self.failure_rates, self.latency_scale = rate, failure_rates, latency_scale
        self.recorder = Recorder(
            DECISION_LOG_SETTINGS,
            ENGINE_SETTINGS.request_classes,
            SlotFile(10_000),
            epoch=0,
            clock=lambda: self.world.now,
            random_source=LinearCongruentialGenerator(seed),
        )
        self.engine = DecisionEngine(
            ENGINE_SETTINGS, seed, self.world.now, self.recorder.record_reason
        )
        self.handle_event(EndpointUpdate(UpdateKind.CACHED, tuple(endpoints)))
        self.handle_event(release_update)
        self.receive_request()

    def handle_event(self, event):
        """Passes an event to the engine and executes its actions."""
        for action in list(self.engine.handle(self.world.now, [event])):
            if type(action) is SetTimer:
                self.world.schedule(action.at, self.handle_event, TimerFired(action.token))
            elif type(action) is SendAttempt:
                attempt_number = len(self.engine.requests.open[action.id].attempts) - 1
                latency = int(self.random_source.gammavariate(4, self.latency_scale))
                self.world.schedule(
                    self.world.now + latency, self.end_attempt, action, attempt_number, latency
                )
            elif type(action) is CastVote:
                self.handle_event(
                    ReleaseUpdate(
                        action.build, action.stage, self.phase, True, Outcome.DONE, 0.5, 0
                    )
                )
            elif type(action) in (Reject, Fail):
                self.recorder.request_finished(action.id)

    phase, outage = ReleasePhase.ON_TRIAL, (0, 0, 0.0)

    def receive_request(self):
        """Receives a request and schedules the next one."""
        name, request_class = (
            f"{self.random_source.getrandbits(48):012x}",
            "pay" if self.random_source.random() < 0.2 else "read",
        )
        self.recorder.request_received(name, name, "t", request_class, False)
        self.handle_event(
            RequestReceived(name, request_class, "t", name, 3 * SECOND, None, False, False)
        )
        self.world.schedule(
            self.world.now + max(1, int(self.random_source.expovariate(self.rate) * SECOND)),
            self.receive_request,
        )

    def end_attempt(self, action, attempt_number, latency):
        """Ends an attempt, with success or an error."""
        start, end, failure_rate = self.outage
        affected = start <= self.world.now < end and action.endpoint.startswith("new")
        failed = self.random_source.random() < (
            failure_rate if affected else self.failure_rates.get(action.endpoint, 0.001)
        )
        if not failed:
            self.recorder.request_answered(action.id, R.DONE)
        self.handle_event(
            AttemptEnded(
                action.id,
                Outcome.ERROR if failed else Outcome.DONE,
                not failed,
                latency,
                action.endpoint,
                attempt_number,
                None,
            )
        )
        if not failed:
            self.recorder.request_finished(action.id)


def make_endpoints(prefix, count, build, started=0):
    """Returns ready endpoints whose addresses have this prefix."""
    return [
        Endpoint(f"{prefix}-{index}", "a", 1.0, 0, EndpointCondition.READY, started, "m", build)
        for index in range(count)
    ]


def simulate_rollback(seed):
    """Simulates a good build on trial whose endpoints fail for half a second.

    Returns:
        The log entries of the votes that the sidecar cast, oldest first, and the number of failed
        attempts by endpoint according to the log.
    """
    sidecar = Sidecar(
        seed,
        40,
        make_endpoints("old", 12, 1) + make_endpoints("new", 8, 2),
        {},
        ReleaseUpdate(2, 2, ReleasePhase.ON_TRIAL, False, Outcome.DONE, 0.5, 0),
    )
    sidecar.outage = sidecar.world.now + 6 * SECOND, sidecar.world.now + 13 * SECOND // 2, 0.6
    sidecar.world.run(12 * SECOND)
    recorder = sidecar.recorder
    recorder.flush(sidecar.world.now, 0)
    votes = [match for match in recorder.find(EntryFilter(reason=int(R.VOTED))) if match]
    failures = collections.Counter(
        note[2]
        for entry in recorder.find(EntryFilter(reason=int(R.ENDED)))
        if entry
        for note in entry.notes
        if note[0] == R.ENDED and note[4] == "error"
    )
    return list(reversed(votes)), failures


def simulate_restart(seed):
    """Simulates a sidecar that restarts just after a release, when all endpoints are cold.

    Returns:
        The log entries of the deferred requests, the number of notes by reason why they were
        deferred, and the tallies of the log.
    """
    now = 1000 * SECOND
    sidecar = Sidecar(
        seed,
        60,
        make_endpoints("new", 4, 2, now - SECOND),
        {},
        ReleaseUpdate(2, 2, ReleasePhase.RELEASED, False, Outcome.DONE, 1.0, 0),
        400,
    )
    sidecar.phase = ReleasePhase.RELEASED
    sidecar.world.run(6 * SECOND)
    recorder = sidecar.recorder
    recorder.flush(sidecar.world.now, 0)
    deferred = [match for match in recorder.find(EntryFilter(reason=int(R.DEFERRED))) if match]
    reasons = collections.Counter(
        R(note[0]).name
        for entry in deferred
        for note in entry.notes
        if note[0] not in (R.POSITION, R.DEFERRED, R.SENT, R.ENDED)
    )
    return deferred, reasons, recorder.tally_report()


def main(arguments):
    """Runs both simulations and prints the explanations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(arguments).seed
    votes, failures = simulate_rollback(seed)
    print("A good build, of whose machines deliveries fail for half a second:")
    for entry in votes:
        print("\n".join(explain_entry(entry)))
    print("failed deliveries by pod:", dict(sorted(failures.items())))
    deferred, reasons, tallies = simulate_restart(seed)
    print(f"Just after a restart with all pods cold: {len(deferred)} deferred, for", dict(reasons))
    for entry in deferred[-1:] + deferred[:1]:
        print("\n".join(explain_entry(entry)))
    print(tallies["ends"])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Two of the standing's riddles on own stand-ins, told from the record alone: a good build that goes back, and what is
deferred just after a sidecar's restart. Simulated. python -m measure.why_story --seed n"""

import argparse
import collections
import random
import sys

from measure.shop import SHOP
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
TERMS = SHOP._replace(
    request_classes={name: REQUEST_CLASSES[name] for name in ("read", "pay")},
    instances=3,
    guarded_stages=0,
)
WHY = DecisionLogSettings(8, None, "", 0.4, 0.3, 60 * SECOND, 200)


class Sidecar:
    """One sidecar's decisions with a record, at so many transactions a second; ill: {pod: share that fails}."""

    def __init__(self, seed, rate, pods, ill, news, pace=150):
        self.world, self.chance = World([], seed), random.Random(seed)
        self.rate, self.ill, self.pace = rate, ill, pace
        self.record = Recorder(
            WHY,
            TERMS.request_classes,
            SlotFile(10_000),
            epoch=0,
            clock=lambda: self.world.now,
            random_source=LinearCongruentialGenerator(seed),
        )
        self.balancer = DecisionEngine(TERMS, seed, self.world.now, self.record.record_reason)
        self.tell(EndpointUpdate(UpdateKind.CACHED, tuple(pods)))
        self.tell(news)
        self.arrive()

    def tell(self, event):
        for action in list(self.balancer.handle(self.world.now, [event])):
            if type(action) is SetTimer:
                self.world.at(action.at, self.tell, TimerFired(action.token))
            elif type(action) is SendAttempt:
                number = len(self.balancer.requests.open[action.id].attempts) - 1
                took = int(self.chance.gammavariate(4, self.pace))
                self.world.at(self.world.now + took, self.ended, action, number, took)
            elif type(action) is CastVote:
                self.tell(
                    ReleaseUpdate(
                        action.build, action.stage, self.phase, True, Outcome.DONE, 0.5, 0
                    )
                )
            elif type(action) in (Reject, Fail):
                self.record.request_finished(action.id)

    phase, swarm = ReleasePhase.ON_TRIAL, (0, 0, 0.0)

    def arrive(self):
        name, lane = (
            f"{self.chance.getrandbits(48):012x}",
            "pay" if self.chance.random() < 0.2 else "read",
        )
        self.record.request_received(name, name, "t", lane, False)
        self.tell(RequestReceived(name, lane, "t", name, 3 * SECOND, None, False, False))
        self.world.at(
            self.world.now + max(1, int(self.chance.expovariate(self.rate) * SECOND)), self.arrive
        )

    def ended(self, action, number, took):
        first, last, share = self.swarm
        hit = first <= self.world.now < last and action.endpoint.startswith("new")
        failed = self.chance.random() < (share if hit else self.ill.get(action.endpoint, 0.001))
        if not failed:
            self.record.request_answered(action.id, R.DONE)
        self.tell(
            AttemptEnded(
                action.id,
                Outcome.ERROR if failed else Outcome.DONE,
                not failed,
                took,
                action.endpoint,
                number,
                None,
            )
        )
        if not failed:
            self.record.request_finished(action.id)


def pods(prefix, count, build, started=0):
    return [
        Endpoint(f"{prefix}-{at}", "a", 1.0, 0, EndpointCondition.READY, started, "m", build)
        for at in range(count)
    ]


def went_back(seed):
    """A good build whose machines are behind something that fails for half a second: the votes that a sidecar cast, and
    what the record holds of the build's failures."""
    sidecar = Sidecar(
        seed,
        40,
        pods("old", 12, 1) + pods("new", 8, 2),
        {},
        ReleaseUpdate(2, 2, ReleasePhase.ON_TRIAL, False, Outcome.DONE, 0.5, 0),
    )
    sidecar.swarm = sidecar.world.now + 6 * SECOND, sidecar.world.now + 13 * SECOND // 2, 0.6
    sidecar.world.run(12 * SECOND)
    record = sidecar.record
    record.flush(sidecar.world.now, 0)
    votes = [one for one in record.find(EntryFilter(reason=int(R.VOTED))) if one]
    failures = collections.Counter(
        note[2]
        for entry in record.find(EntryFilter(reason=int(R.ENDED)))
        if entry
        for note in entry.notes
        if note[0] == R.ENDED and note[4] == "error"
    )
    return list(reversed(votes)), failures


def after_restart(seed):
    """All pods cold just after a release, at a sidecar that has just restarted: why transactions were deferred."""
    now = 1000 * SECOND
    sidecar = Sidecar(
        seed,
        60,
        pods("new", 4, 2, now - SECOND),
        {},
        ReleaseUpdate(2, 2, ReleasePhase.RELEASED, False, Outcome.DONE, 1.0, 0),
        400,
    )
    sidecar.phase = ReleasePhase.RELEASED
    sidecar.world.run(6 * SECOND)
    record = sidecar.record
    record.flush(sidecar.world.now, 0)
    deferred = [one for one in record.find(EntryFilter(reason=int(R.DEFERRED))) if one]
    why = collections.Counter(
        R(note[0]).name
        for entry in deferred
        for note in entry.notes
        if note[0] not in (R.POSITION, R.DEFERRED, R.SENT, R.ENDED)
    )
    return deferred, why, record.tally_report()


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(arguments).seed
    votes, failures = went_back(seed)
    print("A good build, of whose machines deliveries fail for half a second:")
    for entry in votes:
        print("\n".join(explain_entry(entry)))
    print("failed deliveries by pod:", dict(sorted(failures.items())))
    deferred, why, tally = after_restart(seed)
    print(f"Just after a restart with all pods cold: {len(deferred)} deferred, for", dict(why))
    for entry in deferred[-1:] + deferred[:1]:
        print("\n".join(explain_entry(entry)))
    print(tally["ends"])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""A known mix of transactions: each is brought about by a state built for it, and what explains it is known from that.
Every reason of the table occurs. Figures from it are simulated."""

from tests.support.decisions import (
    ENGINE_SETTINGS,
    REQUEST_CLASSES,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_release_update,
    make_request,
)
from thymeknot.decision_log.entry_filter import EntryFilter
from thymeknot.decision_log.recorder import Recorder
from thymeknot.decision_log.settings import DecisionLogSettings
from thymeknot.decision_log.slot_file import SlotFile
from thymeknot.interface.actions import SendAttempt
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import EndpointCondition, Outcome, Verdict
from thymeknot.interface.events import ClientDisconnected, SuspicionReported, TimerFired
from thymeknot.interface.reasons import Reason as R
from thymeknot.policy.engine import DecisionEngine
from thymeknot.state.random_source import LinearCongruentialGenerator

NOW = 1000 * TICKS_PER_SECOND
DECISION_LOG_SETTINGS = DecisionLogSettings(8, None, "", 0.4, 0.2, 15 * 60 * TICKS_PER_SECOND, 200)
LOW, HIGH = "k-9", "a"  # placed by the ramp that the case sets: 0 is above no key, 1 below none


class Case:
    """A balancer in a state of its own with a record that listens; ids and what each must be explained by."""

    def __init__(self, *pods, told=None, bare=False, record=None, **changes):
        self.now = NOW
        self.balancer = (
            DecisionEngine(ENGINE_SETTINGS, 7, NOW)
            if bare
            else make_engine(*pods, release_update=told, **changes)
        )
        self.record = record or Recorder(
            DECISION_LOG_SETTINGS,
            REQUEST_CLASSES,
            SlotFile(10_000),
            epoch=0,
            clock=lambda: self.now,
            random_source=LinearCongruentialGenerator(3),
        )
        self.record.clock = lambda: self.now
        self.balancer.context.reason_callback = self.record.record_reason
        self.expected = {}

    def take(self, name, lane="read", key=None, left=3 * TICKS_PER_SECOND, tenant="t"):
        self.record.request_received(name, key, tenant, lane, False)
        return self.balancer.handle(self.now, [make_request(name, lane, key, left)])

    def end(self, name, outcome=Outcome.ERROR, address="old-1", number=0, latency=100):
        if outcome == Outcome.DONE:
            self.record.request_answered(name, R.DONE)
        return self.balancer.handle(
            self.now,
            [make_attempt_ended(name, outcome, address, number, outcome == Outcome.DONE, latency)],
        )

    def expect(self, name, end, *reasons):
        self.expected[name] = end, {*reasons, *((end,) if end else ())}
        self.record.request_finished(name)

    def right(self):
        """How many are explained by just what was expected, how many there are, and the wrong ones."""
        self.record.flush(self.now + TICKS_PER_SECOND)
        wrong = []
        for name, (end, reasons) in self.expected.items():
            found = list(self.record.find_by_name(name))
            if (
                not found
                or found[-1].final_reason != (end or 0)
                or {note[0] for note in found[-1].notes} != set(reasons)
            ):
                wrong.append(
                    (
                        name,
                        end,
                        sorted(R(one).name for one in reasons),
                        sorted(R(note[0]).name for one in found for note in one.notes),
                    )
                )
        return len(self.expected) - len(wrong), len(self.expected), wrong


def sent_to(actions):
    return [action.endpoint for action in actions if isinstance(action, SendAttempt)][-1]


def usual(case, name, **more):
    where = sent_to(case.take(name, **more))
    case.end(name, Outcome.DONE, where)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION)


def by_position(case, name):
    case.balancer.split.fraction, case.balancer.split.fraction_updated_at = 1.0, NOW + 10**9
    usual(case, name, key=LOW)


def staying(case, name):
    case.balancer.split.pinned_keys = {name}
    where = sent_to(case.take(name, key=name))
    case.end(name, Outcome.DONE, where)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.STAYS)


def astray(case, name):
    case.balancer.split.fraction, case.balancer.split.failing_keys = 1.0, {name}
    where = sent_to(case.take(name, key=name))
    case.end(name, Outcome.DONE, where)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION, R.ASTRAY)


def guarded(case, name):
    case.balancer.split.fraction = 1.0
    where = sent_to(case.take(name, "pay", key=HIGH))
    case.end(name, Outcome.DONE, where)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION, R.GUARDED)


def exposed(case, name):
    case.balancer.split.fraction = 1.0
    where = sent_to(case.take(name, key=HIGH))
    case.end(name, Outcome.DONE, where)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION, R.EXPOSURE)


def closed(case, name):
    case.balancer.split.pinned_keys = {name}
    case.take(name, key=name)
    case.expect(name, R.DEFERRED, R.STAYS, R.CLOSED)


def unreachable(case, name):
    case.balancer.context.endpoints["old-1"].ejected_until = NOW + TICKS_PER_SECOND
    where = sent_to(case.take(name))
    case.end(name, Outcome.DONE, where)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.UNREACHABLE, R.POSITION)


def doubted(case, name):
    case.balancer.handle(NOW, [SuspicionReported("old-1", 1, 0, NOW + TICKS_PER_SECOND)])
    where = sent_to(case.take(name))
    case.end(name, Outcome.DONE, where)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.DOUBTED, R.POSITION)


def again(case, name):
    where = sent_to(case.take(name))
    case.balancer.requests.retry_budget.tokens = 2.0
    other = sent_to(case.end(name, Outcome.ERROR, where))
    case.end(name, Outcome.DONE, other, 1)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.USED, R.POSITION)


def cold(case, name):
    case.take(name)
    case.expect(name, R.DEFERRED, R.COLD, R.NO_POD, R.POSITION)


def outside(case, name):
    where = sent_to(case.take(name, "zoned"))
    case.balancer.context.endpoints[where].listed = case.balancer.context.endpoints[
        where
    ].listed._replace(zone="a")
    case.balancer.requests.retry_budget.tokens = 2.0
    del case.balancer.context.endpoints[where]
    case.balancer.selection.group_by_build()
    case.end(name, Outcome.ERROR, where)
    case.expect(name, R.ABANDONED, R.SENT, R.ENDED, R.OUTSIDE, R.NO_POD, R.POSITION)


def no_pod(case, name):
    case.take(name)
    case.expect(name, R.DEFERRED, R.NO_POD, R.POSITION)


def over_limit(case, name):
    case.take(name)
    case.expect(name, R.DEFERRED, R.OVER_LIMIT)


def pressed_by(balancer):
    """Answers of now that took a hundred times their goal."""
    balancer.admission.response_counts.add(balancer.context.now)
    balancer.admission.relative_latencies.add(balancer.context.now, 100.0)


def by_lot(case, name):
    actions = case.take(name)
    if any(
        isinstance(action, SendAttempt) for action in actions
    ):  # one in ten is let in all the same
        case.end(name, Outcome.DONE, sent_to(actions))
        case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION)
    else:
        case.expect(name, R.DEFERRED, R.BY_LOT)
    pressed_by(case.balancer)


def no_news(case, name):
    case.take(name)
    case.expect(name, R.DEFERRED, R.NO_NEWS)


def most(case, name):
    where = sent_to(case.take(name))
    case.balancer.requests.retry_budget.tokens = 2.0
    case.end(name, Outcome.ERROR, where)
    case.expect(name, R.DEFERRED, R.SENT, R.ENDED, R.MOST_DELIVERIES, R.POSITION)


def too_late(case, name):
    where = sent_to(case.take(name))
    case.now += 2 * TICKS_PER_SECOND
    case.end(name, Outcome.ERROR, where, latency=2 * TICKS_PER_SECOND)
    case.expect(name, R.DEFERRED, R.SENT, R.ENDED, R.TIME_OVER, R.POSITION)
    case.now -= 2 * TICKS_PER_SECOND


def no_budget(case, name):
    where = sent_to(case.take(name))
    case.balancer.requests.retry_budget.tokens = 0.0
    case.end(name, Outcome.ERROR, where)
    case.expect(name, R.DEFERRED, R.SENT, R.ENDED, R.NO_BUDGET, R.POSITION)


def may_have_run(case, name):
    where = sent_to(case.take(name, "pay"))
    case.balancer.requests.retry_budget.tokens = 2.0
    case.end(name, Outcome.RESET, where)
    case.expect(name, R.ABANDONED, R.SENT, R.ENDED, R.MAY_HAVE_RUN, R.POSITION)


def went_away(case, name):
    case.take(name)
    case.record.request_answered(name, R.LEFT)
    case.balancer.handle(case.now, [ClientDisconnected(name)])
    case.expect(name, R.LEFT, R.SENT, R.POSITION)


def second_copy(case, name):
    balancer_ = case.balancer
    balancer_.requests.hedging.budget.tokens = 2.0
    where = sent_to(case.take(name))
    token = next(token for token, one in balancer_.requests.hedging.timers.items() if one == name)
    case.now += TICKS_PER_SECOND // 2
    other = sent_to(balancer_.handle(case.now, [TimerFired(token)]))
    case.end(name, Outcome.DONE, other, 1)
    case.end(name, Outcome.TIMED_OUT, where, 0)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.SECOND_COPY, R.USED, R.POSITION)
    case.now -= TICKS_PER_SECOND // 2


OLD = make_endpoint("old-1"), make_endpoint("old-2")
TRIAL = OLD + (make_endpoint("new-1", 2),)
# What makes the state, what is done to each transaction; "each": every transaction has a state of its own.
CASES = {
    "as usual": (lambda **more: Case(*OLD, **more), usual, True),
    "position": (
        lambda **more: Case(
            *TRIAL, told=make_release_update(2, cap=1.0), exposure_allowance=1000.0, **more
        ),
        by_position,
        True,
    ),
    "stays": (
        lambda **more: Case(
            *TRIAL, told=make_release_update(2, cap=1.0), exposure_allowance=1000.0, **more
        ),
        staying,
        True,
    ),
    "astray": (
        lambda **more: Case(
            *TRIAL, told=make_release_update(2, cap=1.0), exposure_allowance=1000.0, **more
        ),
        astray,
        True,
    ),
    "guarded": (
        lambda **more: Case(
            *TRIAL, told=make_release_update(0, cap=1.0), exposure_allowance=1000.0, **more
        ),
        guarded,
        True,
    ),
    "exposed": (
        lambda **more: Case(
            *TRIAL, told=make_release_update(2, cap=0.01), exposure_allowance=0.0, **more
        ),
        exposed,
        True,
    ),
    "closed": (
        lambda **more: Case(*TRIAL, told=make_release_update(2, cap=0.0), **more),
        closed,
        True,
    ),
    "unreachable": (lambda **more: Case(*OLD, **more), unreachable, True),
    "doubted": (lambda **more: Case(*OLD, **more), doubted, True),
    "again": (lambda **more: Case(*OLD, **more), again, True),
    "cold": (
        lambda **more: Case(
            make_endpoint("c-1", started=NOW - 1),
            make_endpoint("c-2", started=NOW - 1),
            instances=10**6,
            **more,
        ),
        cold,
        True,
    ),
    "outside": (
        lambda **more: Case(
            make_endpoint("z-1", zone="a"),
            make_endpoint("z-2", zone="b")._replace(size=1e-6),
            **more,
        ),
        outside,
        True,
    ),
    "no pod": (
        lambda **more: Case(make_endpoint("old-1", condition=EndpointCondition.DRAINING), **more),
        no_pod,
        True,
    ),
    "no news": (lambda **more: Case(bare=True, **more), no_news, True),
    "most": (lambda **more: Case(*OLD, max_attempts=1, **more), most, True),
    "too late": (lambda **more: Case(*OLD, **more), too_late, True),
    "no budget": (lambda **more: Case(*OLD, **more), no_budget, True),
    "may have run": (lambda **more: Case(*OLD, **more), may_have_run, True),
    "went away": (lambda **more: Case(*OLD, **more), went_away, True),
    "second copy": (lambda **more: Case(*OLD, **more), second_copy, True),
}


def filled(**more):
    """A sidecar with as much open as its limit lets in."""
    case = Case(*OLD, **more)
    for at in range(60):
        case.take(f"fill-{at}")
    return case


def pressed(**more):
    case = Case(*OLD, **more)
    pressed_by(case.balancer)
    return case


def voting():
    """A bad build on trial, and the votes that the record holds of it."""
    case = Case(*TRIAL, told=make_release_update(2, cap=1.0), exposure_allowance=1000.0)
    for _ in range(40):
        case.balancer.sequential_test.add("failed", True)
    case.balancer.handle(NOW + TICKS_PER_SECOND, [TimerFired(0)])
    return [entry for entry in case.record.find(EntryFilter(reason=int(R.VOTED))) if entry]


def run_case_mix(count):
    """(right, all, reasons met, wrong) over so many transactions of each case."""
    right = total = 0
    met, wrong = set(), []
    for name, (make, act, _) in CASES.items():
        record = Recorder(
            DECISION_LOG_SETTINGS,
            REQUEST_CLASSES,
            SlotFile(10_000),
            epoch=0,
            clock=lambda: NOW,
            random_source=LinearCongruentialGenerator(3),
        )
        # of what goes as usual all is kept here
        record.settings = DECISION_LOG_SETTINGS._replace(span=1)
        for at in range(count):
            case = make(record=record)
            act(case, f"{name}-{at}")
            good, all_, bad = case.right()
            right, total, wrong = right + good, total + all_, wrong + bad
            met |= {reason for _, reasons in case.expected.values() for reason in reasons}
    for make, act in ((filled, over_limit), (pressed, by_lot)):
        case = make()
        case.record.settings = DECISION_LOG_SETTINGS._replace(span=1)
        for at in range(count):
            act(case, f"{act.__name__}-{at}")
        good, all_, bad = case.right()
        right, total, wrong = right + good, total + all_, wrong + bad
        met |= {reason for _, reasons in case.expected.values() for reason in reasons}
    votes = voting()
    right, total = right + bool(votes and votes[0].notes[0][4] == Verdict.ABORT), total + 1
    met |= {R.VOTED} if votes else set()
    return right, total, met, wrong

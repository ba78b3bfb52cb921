"""Cases with known explanations, to check the decision log.

Each case builds a state of the decision engine and sends a request to it, so that the reasons for
its decisions are known. Together the cases cover every reason. Figures from them are simulated.
"""

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
# The ramp that a case sets decides their side: at 0 no key is below the ramp, at 1 every key is.
LOWER_KEY, HIGHER_KEY = "k-9", "a"


class Case:
    """A decision engine in a state of its own, with a decision log.

    Attributes:
        now: Current time, in ticks.
        engine: The decision engine.
        recorder: Recorder of the decision log.
        expected: Final reason and set of all reasons that are expected, by request id.
    """

    def __init__(
        self,
        *endpoints,
        release_update=None,
        without_release_update=False,
        recorder=None,
        **changes,
    ):
        self.now = NOW
        self.engine = (
            DecisionEngine(ENGINE_SETTINGS, 7, NOW)
            if without_release_update
            else make_engine(*endpoints, release_update=release_update, **changes)
        )
        self.recorder = recorder or Recorder(
            DECISION_LOG_SETTINGS,
            REQUEST_CLASSES,
            SlotFile(10_000),
            epoch=0,
            clock=lambda: self.now,
            random_source=LinearCongruentialGenerator(3),
        )
        self.recorder.clock = lambda: self.now
        self.engine.context.reason_callback = self.recorder.record_reason
        self.expected = {}

    def receive(
        self, name, request_class="read", key=None, time_left=3 * TICKS_PER_SECOND, tenant="t"
    ):
        """Receives a request; returns the actions of the engine."""
        self.recorder.request_received(name, key, tenant, request_class, False)
        return self.engine.handle(self.now, [make_request(name, request_class, key, time_left)])

    def end_attempt(
        self, name, outcome=Outcome.ERROR, address="old-1", attempt_number=0, latency=100
    ):
        """Ends an attempt; returns the actions of the engine."""
        if outcome == Outcome.DONE:
            self.recorder.request_answered(name, R.DONE)
        return self.engine.handle(
            self.now,
            [
                make_attempt_ended(
                    name, outcome, address, attempt_number, outcome == Outcome.DONE, latency
                )
            ],
        )

    def expect(self, name, final_reason, *reasons):
        """Finishes a request and notes the reasons that must explain it."""
        self.expected[name] = final_reason, {*reasons, *((final_reason,) if final_reason else ())}
        self.recorder.request_finished(name)

    def check(self):
        """Compares the explanations with the expected reasons.

        Returns:
            The number of requests with exactly the expected reasons, the number of all requests,
            and the wrong ones, each as (id, final reason, expected reasons, recorded reasons).
        """
        self.recorder.flush(self.now + TICKS_PER_SECOND)
        wrong = []
        for name, (final_reason, reasons) in self.expected.items():
            entries = list(self.recorder.find_by_name(name))
            if (
                not entries
                or entries[-1].final_reason != (final_reason or 0)
                or {note[0] for note in entries[-1].notes} != set(reasons)
            ):
                wrong.append(
                    (
                        name,
                        final_reason,
                        sorted(R(reason).name for reason in reasons),
                        sorted(R(note[0]).name for entry in entries for note in entry.notes),
                    )
                )
        return len(self.expected) - len(wrong), len(self.expected), wrong


def sent_to(actions):
    """Returns the endpoint of the last attempt that the actions send."""
    return [action.endpoint for action in actions if isinstance(action, SendAttempt)][-1]


def serve_ordinary_request(case, name, **options):
    """A request succeeds at the first attempt."""
    endpoint = sent_to(case.receive(name, **options))
    case.end_attempt(name, Outcome.DONE, endpoint)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION)


def split_by_position(case, name):
    """The position of its key assigns a request to the newest build."""
    case.engine.split.fraction, case.engine.split.fraction_updated_at = 1.0, NOW + 10**9
    serve_ordinary_request(case, name, key=LOWER_KEY)


def keep_sticky_key(case, name):
    """The key of a request is sticky to the newest build."""
    case.engine.sticky_keys.pinned_keys = {name}
    endpoint = sent_to(case.receive(name, key=name))
    case.end_attempt(name, Outcome.DONE, endpoint)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.STAYS)


def keep_failing_key_off_trial(case, name):
    """The key of a request has failed on the build on trial, so an earlier build serves it."""
    case.engine.split.fraction, case.engine.split.failing_keys = 1.0, {name}
    endpoint = sent_to(case.receive(name, key=name))
    case.end_attempt(name, Outcome.DONE, endpoint)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION, R.ASTRAY)


def hit_guarded_stage(case, name):
    """A non-idempotent request comes in a guarded stage."""
    case.engine.split.fraction = 1.0
    endpoint = sent_to(case.receive(name, "pay", key=HIGHER_KEY))
    case.end_attempt(name, Outcome.DONE, endpoint)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION, R.GUARDED)


def exhaust_exposure_budget(case, name):
    """The exposure budget of the build on trial is exhausted."""
    case.engine.split.fraction = 1.0
    endpoint = sent_to(case.receive(name, key=HIGHER_KEY))
    case.end_attempt(name, Outcome.DONE, endpoint)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION, R.EXPOSURE)


def hit_closed_trial(case, name):
    """The key of a request is sticky to a build on trial that accepts no requests."""
    case.engine.sticky_keys.pinned_keys = {name}
    case.receive(name, key=name)
    case.expect(name, R.DEFERRED, R.STAYS, R.CLOSED)


def skip_ejected_endpoint(case, name):
    """One endpoint is ejected; the other serves the request."""
    case.engine.context.endpoints["old-1"].ejected_until = NOW + TICKS_PER_SECOND
    endpoint = sent_to(case.receive(name))
    case.end_attempt(name, Outcome.DONE, endpoint)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.UNREACHABLE, R.POSITION)


def skip_suspected_endpoint(case, name):
    """Peers suspect one endpoint; the other serves the request."""
    case.engine.handle(NOW, [SuspicionReported("old-1", 1, 0, NOW + TICKS_PER_SECOND)])
    endpoint = sent_to(case.receive(name))
    case.end_attempt(name, Outcome.DONE, endpoint)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.DOUBTED, R.POSITION)


def retry_elsewhere(case, name):
    """An attempt fails, and a retry at another endpoint succeeds."""
    endpoint = sent_to(case.receive(name))
    case.engine.requests.retry_budget.tokens = 2.0
    second_endpoint = sent_to(case.end_attempt(name, Outcome.ERROR, endpoint))
    case.end_attempt(name, Outcome.DONE, second_endpoint, 1)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.USED, R.POSITION)


def find_only_cold_endpoints(case, name):
    """All endpoints are warming up and at capacity."""
    case.receive(name)
    case.expect(name, R.DEFERRED, R.COLD, R.NO_POD, R.POSITION)


def find_no_deduplicating_endpoint(case, name):
    """An attempt fails, and the other endpoint, in another zone, would not deduplicate a retry."""
    endpoint = sent_to(case.receive(name, "zoned"))
    case.engine.context.endpoints[endpoint].listed = case.engine.context.endpoints[
        endpoint
    ].listed._replace(zone="a")
    case.engine.requests.retry_budget.tokens = 2.0
    del case.engine.context.endpoints[endpoint]
    case.engine.selection.group_by_build()
    case.end_attempt(name, Outcome.ERROR, endpoint)
    case.expect(name, R.ABANDONED, R.SENT, R.ENDED, R.OUTSIDE, R.NO_POD, R.POSITION)


def find_no_endpoint(case, name):
    """No endpoint is ready."""
    case.receive(name)
    case.expect(name, R.DEFERRED, R.NO_POD, R.POSITION)


def over_limit(case, name):
    """More requests are in flight than can be served in time."""
    case.receive(name)
    case.expect(name, R.DEFERRED, R.OVER_LIMIT)


def add_slow_response(engine):
    """Adds a response that took a hundred times its latency objective."""
    engine.admission.response_counts.add(engine.context.now)
    engine.admission.relative_latencies.add(engine.context.now, 100.0)


def by_lot(case, name):
    """Random load shedding rejects the request, or admits it."""
    actions = case.receive(name)
    # One request in ten is admitted nevertheless.
    if any(isinstance(action, SendAttempt) for action in actions):
        case.end_attempt(name, Outcome.DONE, sent_to(actions))
        case.expect(name, R.DONE, R.SENT, R.ENDED, R.POSITION)
    else:
        case.expect(name, R.DEFERRED, R.BY_LOT)
    add_slow_response(case.engine)


def lack_release_update(case, name):
    """No release update has been received yet."""
    case.receive(name)
    case.expect(name, R.DEFERRED, R.NO_NEWS)


def reach_max_attempts(case, name):
    """An attempt fails, and the maximum number of attempts is one."""
    endpoint = sent_to(case.receive(name))
    case.engine.requests.retry_budget.tokens = 2.0
    case.end_attempt(name, Outcome.ERROR, endpoint)
    case.expect(name, R.DEFERRED, R.SENT, R.ENDED, R.MOST_DELIVERIES, R.POSITION)


def run_out_of_time(case, name):
    """An attempt fails when too little time is left for a retry."""
    endpoint = sent_to(case.receive(name))
    case.now += 2 * TICKS_PER_SECOND
    case.end_attempt(name, Outcome.ERROR, endpoint, latency=2 * TICKS_PER_SECOND)
    case.expect(name, R.DEFERRED, R.SENT, R.ENDED, R.TIME_OVER, R.POSITION)
    case.now -= 2 * TICKS_PER_SECOND


def exhaust_retry_budget(case, name):
    """An attempt fails when the retry budget is exhausted."""
    endpoint = sent_to(case.receive(name))
    case.engine.requests.retry_budget.tokens = 0.0
    case.end_attempt(name, Outcome.ERROR, endpoint)
    case.expect(name, R.DEFERRED, R.SENT, R.ENDED, R.NO_BUDGET, R.POSITION)


def leave_attempt_unresolved(case, name):
    """The connection of a non-idempotent attempt is reset, so a retry might execute it twice."""
    endpoint = sent_to(case.receive(name, "pay"))
    case.engine.requests.retry_budget.tokens = 2.0
    case.end_attempt(name, Outcome.RESET, endpoint)
    case.expect(name, R.ABANDONED, R.SENT, R.ENDED, R.MAY_HAVE_RUN, R.POSITION)


def disconnect_client(case, name):
    """The client disconnects while an attempt is in flight."""
    case.receive(name)
    case.recorder.request_answered(name, R.LEFT)
    case.engine.handle(case.now, [ClientDisconnected(name)])
    case.expect(name, R.LEFT, R.SENT, R.POSITION)


def send_hedged_request(case, name):
    """An attempt is slow, and a hedged request succeeds first."""
    engine = case.engine
    engine.requests.hedging.budget.tokens = 2.0
    endpoint = sent_to(case.receive(name))
    token = next(
        token for token, request_id in engine.requests.hedging.timers.items() if request_id == name
    )
    case.now += TICKS_PER_SECOND // 2
    second_endpoint = sent_to(engine.handle(case.now, [TimerFired(token)]))
    case.end_attempt(name, Outcome.DONE, second_endpoint, 1)
    case.end_attempt(name, Outcome.TIMED_OUT, endpoint, 0)
    case.expect(name, R.DONE, R.SENT, R.ENDED, R.SECOND_COPY, R.USED, R.POSITION, R.STAYS)
    case.now -= TICKS_PER_SECOND // 2


OLD_ENDPOINTS = make_endpoint("old-1"), make_endpoint("old-2")
TRIAL_ENDPOINTS = OLD_ENDPOINTS + (make_endpoint("new-1", 2),)
# By case name, which is part of the request ids: a function that makes the state, a function that
# runs a request in it, and whether each request has a state of its own.
CASES = {
    "as usual": (lambda **options: Case(*OLD_ENDPOINTS, **options), serve_ordinary_request, True),
    "position": (
        lambda **options: Case(
            *TRIAL_ENDPOINTS,
            release_update=make_release_update(2, cap=1.0),
            exposure_allowance=1000.0,
            **options,
        ),
        split_by_position,
        True,
    ),
    "stays": (
        lambda **options: Case(
            *TRIAL_ENDPOINTS,
            release_update=make_release_update(2, cap=1.0),
            exposure_allowance=1000.0,
            **options,
        ),
        keep_sticky_key,
        True,
    ),
    "astray": (
        lambda **options: Case(
            *TRIAL_ENDPOINTS,
            release_update=make_release_update(2, cap=1.0),
            exposure_allowance=1000.0,
            **options,
        ),
        keep_failing_key_off_trial,
        True,
    ),
    "guarded": (
        lambda **options: Case(
            *TRIAL_ENDPOINTS,
            release_update=make_release_update(0, cap=1.0),
            exposure_allowance=1000.0,
            **options,
        ),
        hit_guarded_stage,
        True,
    ),
    "exposed": (
        lambda **options: Case(
            *TRIAL_ENDPOINTS,
            release_update=make_release_update(2, cap=0.01),
            exposure_allowance=0.0,
            **options,
        ),
        exhaust_exposure_budget,
        True,
    ),
    "closed": (
        lambda **options: Case(
            *TRIAL_ENDPOINTS, release_update=make_release_update(2, cap=0.0), **options
        ),
        hit_closed_trial,
        True,
    ),
    "unreachable": (lambda **options: Case(*OLD_ENDPOINTS, **options), skip_ejected_endpoint, True),
    "doubted": (lambda **options: Case(*OLD_ENDPOINTS, **options), skip_suspected_endpoint, True),
    "again": (lambda **options: Case(*OLD_ENDPOINTS, **options), retry_elsewhere, True),
    "cold": (
        lambda **options: Case(
            make_endpoint("c-1", started=NOW - 1),
            make_endpoint("c-2", started=NOW - 1),
            instances=10**6,
            **options,
        ),
        find_only_cold_endpoints,
        True,
    ),
    "outside": (
        lambda **options: Case(
            make_endpoint("z-1", zone="a"),
            make_endpoint("z-2", zone="b")._replace(size=1e-6),
            **options,
        ),
        find_no_deduplicating_endpoint,
        True,
    ),
    "no pod": (
        lambda **options: Case(
            make_endpoint("old-1", condition=EndpointCondition.DRAINING), **options
        ),
        find_no_endpoint,
        True,
    ),
    "no news": (
        lambda **options: Case(without_release_update=True, **options),
        lack_release_update,
        True,
    ),
    "most": (
        lambda **options: Case(*OLD_ENDPOINTS, max_attempts=1, **options),
        reach_max_attempts,
        True,
    ),
    "too late": (lambda **options: Case(*OLD_ENDPOINTS, **options), run_out_of_time, True),
    "no budget": (lambda **options: Case(*OLD_ENDPOINTS, **options), exhaust_retry_budget, True),
    "may have run": (
        lambda **options: Case(*OLD_ENDPOINTS, **options),
        leave_attempt_unresolved,
        True,
    ),
    "went away": (lambda **options: Case(*OLD_ENDPOINTS, **options), disconnect_client, True),
    "second copy": (lambda **options: Case(*OLD_ENDPOINTS, **options), send_hedged_request, True),
}


def make_full_sidecar(**options):
    """Returns a case with as many requests in flight as its limit admits."""
    case = Case(*OLD_ENDPOINTS, **options)
    for index in range(60):
        case.receive(f"fill-{index}")
    return case


def make_overloaded_sidecar(**options):
    """Returns a case whose last response was slow."""
    case = Case(*OLD_ENDPOINTS, **options)
    add_slow_response(case.engine)
    return case


def cast_votes():
    """Lets a faulty build on trial fail; returns the log entries of the votes on it."""
    case = Case(
        *TRIAL_ENDPOINTS, release_update=make_release_update(2, cap=1.0), exposure_allowance=1000.0
    )
    for _ in range(40):
        case.engine.sequential_test.add("failed", True)
    case.engine.handle(NOW + TICKS_PER_SECOND, [TimerFired(0)])
    return [entry for entry in case.recorder.find(EntryFilter(reason=int(R.VOTED))) if entry]


def run_case_mix(count):
    """Runs every case.

    The two cases of load shedding share one state for all their requests.

    Args:
        count: Number of requests of each case.

    Returns:
        The number of requests with exactly the expected reasons, the number of all requests, the
        set of expected reasons, and the wrong requests (see `Case.check`).
    """
    explained = total = 0
    reasons_met, wrong = set(), []
    for name, (make_case, run_request, _) in CASES.items():
        recorder = Recorder(
            DECISION_LOG_SETTINGS,
            REQUEST_CLASSES,
            SlotFile(10_000),
            epoch=0,
            clock=lambda: NOW,
            random_source=LinearCongruentialGenerator(3),
        )
        # Keeps all ordinary requests instead of a sample.
        recorder.settings = DECISION_LOG_SETTINGS._replace(span=1)
        for index in range(count):
            case = make_case(recorder=recorder)
            run_request(case, f"{name}-{index}")
            explained_of_case, total_of_case, wrong_of_case = case.check()
            explained, total, wrong = (
                explained + explained_of_case,
                total + total_of_case,
                wrong + wrong_of_case,
            )
            reasons_met |= {reason for _, reasons in case.expected.values() for reason in reasons}
    for make_case, run_request in (
        (make_full_sidecar, over_limit),
        (make_overloaded_sidecar, by_lot),
    ):
        case = make_case()
        case.recorder.settings = DECISION_LOG_SETTINGS._replace(span=1)
        for index in range(count):
            run_request(case, f"{run_request.__name__}-{index}")
        explained_of_case, total_of_case, wrong_of_case = case.check()
        explained, total, wrong = (
            explained + explained_of_case,
            total + total_of_case,
            wrong + wrong_of_case,
        )
        reasons_met |= {reason for _, reasons in case.expected.values() for reason in reasons}
    votes = cast_votes()
    explained, total = explained + bool(votes and votes[0].notes[0][4] == Verdict.ABORT), total + 1
    reasons_met |= {R.VOTED} if votes else set()
    return explained, total, reasons_met, wrong

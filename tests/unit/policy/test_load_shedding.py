"""Load shedding: few outcomes shed no load, an actual overload does, and shedding ends by itself.

The cases are those that are hard in a large fleet, where each instance sees little traffic; the longer ones run in the
simulator.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.decisions import (
    ENGINE_SETTINGS,
    NOW,
    REQUEST_CLASSES,
    action_types,
    make_attempt_ended,
    make_endpoint,
    make_release_update,
    make_request,
)
from tests.support.decisions import make_engine as make_policy_engine
from thymeknot.interface.actions import CastVote, Reject
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import Outcome, ReleasePhase, Verdict
from thymeknot.interface.reasons import Reason
from thymeknot.policy.load_shedding import LoadShedder
from thymeknot.simulation import large_fleet_scenarios
from thymeknot.simulation.earlier_versions import load_version
from thymeknot.simulation.experiments import simulate_large_fleet_day
from thymeknot.simulation.simulator import Simulator, current_engine
from thymeknot.state.random_source import LinearCongruentialGenerator

READ, LARGE_FLEET = REQUEST_CLASSES["read"], ENGINE_SETTINGS._replace(instances=200)
# Bounds of the fraction of requests that is admitted.
ALL, SOME, HALF, NONE = (1.0, 1.0), (0.6, 0.999), (0.05, 0.6), (0.0, 0.0)


class OpenRequest:
    """An open request whose attempt was sent this many ticks ago."""

    def __init__(self, ago):
        self.request_class = READ
        self.attempts = [type("Attempt", (), {"sent_at": NOW - ago, "in_flight": True})]


def record_outcomes(shedder, outcomes):
    """Records outcomes in a load shedder and returns it.

    Args:
        shedder: the load shedder.
        outcomes: tuples of age in ticks, outcome, latency and count.
    """
    for ago, outcome, latency, count in outcomes:
        for _ in range(count):
            shedder.record_outcome(
                NOW - ago, READ, make_attempt_ended(outcome=outcome, latency=latency), 1.0
            )
            if outcome == Outcome.DONE:
                shedder.record_latency(NOW - ago, READ, latency)
    return shedder


FAST_RESPONSES = (0, Outcome.DONE, 1_500, 8)
# Outcomes, ages of open attempts, seconds since the first traffic, and bounds of the fraction of requests admitted.
CASES = {
    "one request per second, one of them slow": (
        [
            *((at * TICKS_PER_SECOND, Outcome.DONE, 1_800, 1) for at in range(10, 0, -1)),
            (0, Outcome.DONE, 4_500, 1),
        ],
        (),
        20,
        ALL,
    ),
    "one request per second and slow responses": (
        [(TICKS_PER_SECOND, Outcome.DONE, 9_000, 1), (0, Outcome.DONE, 9_000, 1)],
        (),
        20,
        SOME,
    ),
    "five open requests where the mean is one": (
        [FAST_RESPONSES, (TICKS_PER_SECOND, *FAST_RESPONSES[1:])],
        [0] * 5,
        20,
        ALL,
    ),
    "forty open requests where the mean is one": (
        [FAST_RESPONSES, (TICKS_PER_SECOND, *FAST_RESPONSES[1:])],
        [0] * 40,
        20,
        NONE,
    ),
    "a burst right after a restart": ([], [0] * 50, 0.5, ALL),
    "a third of the endpoints time out": (
        [FAST_RESPONSES, (0, Outcome.TIMED_OUT, TICKS_PER_SECOND, 4)],
        [5_000] * 2,
        20,
        ALL,
    ),
    "draining endpoints reject": ([FAST_RESPONSES, (0, Outcome.REJECTED, 50, 4)], (), 20, ALL),
    "a few endpoints refuse connections": (
        [FAST_RESPONSES, (0, Outcome.CONNECT_FAILED, 2_500, 4)],
        (),
        20,
        ALL,
    ),
    "most endpoints refuse connections": (
        [FAST_RESPONSES, (0, Outcome.CONNECT_FAILED, 2_500, 30)],
        (),
        20,
        HALF,
    ),
    "most endpoints reject": ([FAST_RESPONSES, (0, Outcome.REJECTED, 50, 30)], (), 20, HALF),
    "client timeouts shorter than the latency objective": (
        [(0, Outcome.TIMED_OUT, TICKS_PER_SECOND // 3, 30)],
        (),
        20,
        ALL,
    ),
    "an overload at the same traffic": ([(0, Outcome.DONE, 9_000, 10)], (), 20, HALF),
    "no responses, before any timeout": ([(0, Outcome.DONE, 3_000, 2)], [6_000] * 6, 20, NONE),
    "slow responses and rejections now": (
        [(0, Outcome.DONE, 15_000, 30), (0, Outcome.REJECTED, 50, 30)],
        (),
        20,
        HALF,
    ),
    "slow responses and rejections three seconds ago, nothing since": (
        [
            (3 * TICKS_PER_SECOND, Outcome.DONE, 15_000, 30),
            (3 * TICKS_PER_SECOND, Outcome.REJECTED, 50, 30),
        ],
        (),
        20,
        ALL,
    ),
    "an overload that lasts a minute": (
        [(at * TICKS_PER_SECOND // 10, Outcome.DONE, 9_000, 1) for at in range(600, -1, -1)],
        (),
        60,
        (0.05, 0.95),
    ),
    "an extreme overload": ([(0, Outcome.DONE, 400_000, 500)], (), 20, (0.08, 0.5)),
}


class AdmissionTest(unittest.TestCase):
    def test_admitted_fraction_of_each_case(self):
        for name, (outcomes, open_ages, traffic_age, (least, most)) in CASES.items():
            shedder, random_source = (
                record_outcomes(LoadShedder(LARGE_FLEET), outcomes),
                LinearCongruentialGenerator(5),
            )
            open_requests, traffic_age = (
                [OpenRequest(ago) for ago in open_ages],
                int(traffic_age * TICKS_PER_SECOND),
            )
            admitted = (
                sum(
                    shedder.rejection(
                        NOW,
                        READ,
                        open_requests,
                        traffic_age,
                        recent_requests=10,
                        draw=random_source.draw,
                    )
                    is None
                    for _ in range(400)
                )
                / 400
            )
            with self.subTest(name):
                self.assertTrue(least <= admitted <= most, admitted)

    def test_high_traffic_sheds_nothing_at_random_and_small_fleets_have_no_margin(self):
        high_traffic = record_outcomes(LoadShedder(LARGE_FLEET), [(0, Outcome.DONE, 9_000, 100)])
        self.assertIsNone(
            high_traffic.rejection(
                NOW, READ, (), 20 * TICKS_PER_SECOND, recent_requests=500, draw=lambda: 1.0
            )
        )
        small_fleet, large_fleet = (
            record_outcomes(
                LoadShedder(ENGINE_SETTINGS._replace(instances=count)), [FAST_RESPONSES]
            )
            for count in (3, 200)
        )
        open_requests = [OpenRequest(0)] * 20
        self.assertEqual(
            small_fleet.concurrency_limit(NOW, READ, 20 * TICKS_PER_SECOND),
            small_fleet.rejection(
                NOW, READ, open_requests, 20 * TICKS_PER_SECOND, recent_requests=10, draw=None
            )[2],
        )
        self.assertLess(
            large_fleet.concurrency_limit(NOW, READ, 20 * TICKS_PER_SECOND),
            large_fleet.rejection(
                NOW, READ, open_requests, 20 * TICKS_PER_SECOND, recent_requests=10, draw=None
            )[2],
        )

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.just(0),
                st.sampled_from(
                    [Outcome.DONE, Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED]
                ),
                st.integers(1, 60_000),
                st.just(1),
            ),
            max_size=40,
        )
    )
    def test_pressure_expires_and_skipped_open_requests_do_not_change_it(self, outcomes):
        shedder, open_requests = (
            record_outcomes(LoadShedder(LARGE_FLEET), outcomes),
            [OpenRequest(9_000)] * 7,
        )
        expected = record_outcomes(
            LoadShedder(LARGE_FLEET), [*outcomes, (0, Outcome.REJECTED, 50, 7)]
        )  # counts the seven open requests in any case
        self.assertAlmostEqual(shedder.pressure(NOW, open_requests), expected.pressure(NOW, ()))
        self.assertLessEqual(shedder.pressure(NOW + 3 * TICKS_PER_SECOND, ()), 1.0)


class DecisionEngineTest(unittest.TestCase):
    def test_slow_build_on_trial_sheds_no_load(self):
        for phase, overloaded in (
            (ReleasePhase.ON_TRIAL, False),
            (ReleasePhase.RELEASED, True),
        ):  # a released build is the only one
            engine = make_policy_engine(
                make_endpoint("old-1"),
                make_endpoint("new-1", 2),
                release_update=make_release_update(cap=1.0),
                instances=200,
            )
            engine.handle(NOW, [make_release_update(phase=phase, cap=1.0)])
            for at in range(30):
                engine.requests.record_outcome(
                    type("Request", (), {"request_class": READ, "key": f"k{at}"}),
                    engine.context.endpoints["new-1"],
                    make_attempt_ended(
                        f"t{at}", Outcome.DONE, "new-1", closed=True, latency=20_000
                    ),
                )
            self.assertEqual(engine.admission.pressure(NOW, ()) > 1.0, overloaded)

    def test_shed_request_has_a_reason_and_a_retry_after(self):
        reasons, engine = [], make_policy_engine(instances=200)
        engine.context.reason_callback = lambda name, reason, *operands: reasons.append(reason)
        record_outcomes(engine.admission, [(0, Outcome.DONE, 400_000, 500)])
        rejections = [
            action
            for at in range(20)
            for action in engine.handle(NOW, [make_request(f"t{at}")])
            if type(action) is Reject
        ]
        self.assertTrue(rejections and all(action.retry_after > 0 for action in rejections))
        self.assertIn(Reason.BY_LOT, reasons)

    def test_promote_vote_is_withdrawn_on_trial_only(self):
        for phase, votes in ((ReleasePhase.ON_TRIAL, 1), (ReleasePhase.RELEASED, 0)):
            engine = make_policy_engine(release_update=make_release_update(4, cap=1.0))
            (
                engine.voting.vote,
                engine.voting.vote_cast_at,
                engine.voting.next_check_at,
                engine.context.release,
            ) = (
                CastVote(2, 4, Verdict.PROMOTE),
                NOW,
                NOW,
                make_release_update(4, phase, 1.0),
            )
            engine.sequential_test.evidence_ratio, engine.context.actions = 0.7, []
            engine.voting.cast()
            self.assertEqual(action_types(engine.context.actions).count(CastVote), votes, phase)

    def test_failures_of_one_moment_abstain_and_those_of_several_abort(self):
        new_endpoints = [make_endpoint(f"new-{at}", 2) for at in range(8)]
        for moments, verdict in ((1, Verdict.ABSTAIN), (3, Verdict.ABORT)):
            engine = make_policy_engine(
                *(make_endpoint(f"old-{at}") for at in range(12)),
                *new_endpoints,
                release_update=make_release_update(cap=1.0),
            )
            engine.baseline.outcomes.add(NOW, 40)  # the earlier build has no failures
            for second in range(moments):
                engine.context.now = NOW + second * TICKS_PER_SECOND
                for at in range(5):  # each at another endpoint and with another key
                    request = type("Request", (), {"request_class": READ, "key": f"k{second}-{at}"})
                    engine.evidence.add_outcome(
                        request, engine.context.endpoints[f"new-{at}"], Outcome.ERROR, 100
                    )
            self.assertEqual(engine.voting.verdict(), verdict, moments)


class SimulatedFleetTest(unittest.TestCase):
    """Small simulated scenarios; `make measure-fleet` gives figures with confidence intervals."""

    SIZE = {"instances": 30, "pods": 18, "seconds": 20, "load": 0.45}

    def simulate(self, kind, policy=current_engine, seed=2, **more):
        scenario, (_, end) = large_fleet_scenarios.draw_standard_day(
            seed, kind, **{**self.SIZE, **more}
        )
        return Simulator(scenario, policy).run(), end

    def test_sheds_less_needlessly_than_the_earlier_version(self):
        earlier_version = load_version("91b8f20")
        (current, _), (earlier, _) = (
            self.simulate("calm", policy, good=False)
            for policy in (current_engine, earlier_version)
        )
        self.assertLess(current.results.rejection_ratios()[1], 0.05)
        self.assertGreater(
            earlier.results.rejection_ratios()[1], 2 * current.results.rejection_ratios()[1]
        )
        (current, end), (earlier, _) = (
            self.simulate("overload", policy, good=False)
            for policy in (current_engine, earlier_version)
        )
        self.assertGreater(current.results.rejection_ratios(8, 14)[0], 0.1)
        self.assertGreater(
            current.results.earnings_ratio(), earlier.results.earnings_ratio() - 0.05
        )
        self.assertLessEqual(current.results.recovery_seconds(end), 5)

    def test_good_build_advances_while_seven_in_ten_instances_restart(self):
        current, _ = self.simulate("herd", good=True, seconds=25)
        kills = [fault for fault in current.day.faults if fault.kind == "kill"]
        self.assertEqual([len(fault.targets) for fault in kills], [21])
        self.assertNotIn(
            current.platform.state.phase, (ReleasePhase.ROLLING_BACK, ReleasePhase.WITHDRAWN)
        )
        self.assertGreaterEqual(current.platform.state.stage, 2)
        self.assertTrue(0 < current.results.outdated_earnings < current.results.possible_earnings)
        self.assertLess(current.results.rejection_ratios()[1], 0.1)
        accepted = current.results.vote_calls["asked"] - current.results.vote_calls["full"]
        self.assertLessEqual(
            accepted,
            current.day.settings.votes_per_second * (2 + current.now / TICKS_PER_SECOND) + 1,
        )
        self.assertEqual(current.checker.violated_rules(), [])

    def test_bad_build_is_not_kept_if_all_instances_have_little_traffic(self):
        results = [
            simulate_large_fleet_day(
                ("now", "calm", seed, {**self.SIZE, "good": False, "seconds": 30})
            )
            for seed in (2, 4)
        ]
        self.assertEqual([result["bad_kept"] for result in results], [False, False])

    def test_loss_of_a_zone_does_not_shed_load_elsewhere(self):
        current, _ = self.simulate("zone", good=False)
        self.assertLess(current.results.rejection_ratios()[1], 0.2)
        self.assertGreater(current.results.earnings_ratio(), 0.7)

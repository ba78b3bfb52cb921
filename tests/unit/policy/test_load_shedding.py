"""Admission: few outcomes do not bind, a true overload does, and what binds lapses by itself. The hard cases of a fleet
where each instance sees little, each caused here; the longer ones are days of the laboratory."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as some

from tests.support.decisions import LANES, NOW, TERMS, ended, kinds, news, pod, taken
from tests.support.decisions import balancer as made_of
from thymeknot.interface.actions import CastVote, Reject
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import Outcome, ReleasePhase, Verdict
from thymeknot.interface.reasons import Reason
from thymeknot.policy.load_shedding import LoadShedder
from thymeknot.simulation import large_fleet_scenarios
from thymeknot.simulation.earlier_versions import load_version
from thymeknot.simulation.experiments import crowd_played
from thymeknot.simulation.simulator import Simulator, current_engine
from thymeknot.state.random_source import LinearCongruentialGenerator

READ, MANY = LANES["read"], TERMS._replace(instances=200)
ALL, SOME, HALF, NONE = (1.0, 1.0), (0.6, 0.999), (0.05, 0.6), (0.0, 0.0)


class Open:
    """One in hand whose delivery went out so long ago."""

    def __init__(self, ago):
        self.request_class = READ
        self.attempts = [type("Attempt", (), {"sent_at": NOW - ago, "in_flight": True})]


def fed(made, outcomes):
    """outcomes: (how long ago, outcome, latency, how many)."""
    for ago, outcome, latency, count in outcomes:
        for _ in range(count):
            made.record_outcome(NOW - ago, READ, ended(outcome=outcome, latency=latency), 1.0)
            if outcome == Outcome.DONE:
                made.record_latency(NOW - ago, READ, latency)
    return made


QUICK = (0, Outcome.DONE, 1_500, 8)
# What an instance of a crowd met: outcomes, what waits in hand, for how long it has had traffic -> what share it takes.
CASES = {
    "one request a second, one of them slow": (
        [
            *((at * TICKS_PER_SECOND, Outcome.DONE, 1_800, 1) for at in range(10, 0, -1)),
            (0, Outcome.DONE, 4_500, 1),
        ],
        (),
        20,
        ALL,
    ),
    "one request a second and slow answers": (
        [(TICKS_PER_SECOND, Outcome.DONE, 9_000, 1), (0, Outcome.DONE, 9_000, 1)],
        (),
        20,
        SOME,
    ),
    "five open where one is the mean": ([QUICK, (TICKS_PER_SECOND, *QUICK[1:])], [0] * 5, 20, ALL),
    "forty open where one is the mean": (
        [QUICK, (TICKS_PER_SECOND, *QUICK[1:])],
        [0] * 40,
        20,
        NONE,
    ),
    "restarted into a burst with nothing known": ([], [0] * 50, 0.5, ALL),
    "a third of the pods silent": (
        [QUICK, (0, Outcome.TIMED_OUT, TICKS_PER_SECOND, 4)],
        [5_000] * 2,
        20,
        ALL,
    ),
    "pods that drain say they are full": ([QUICK, (0, Outcome.REJECTED, 50, 4)], (), 20, ALL),
    "connections refused at a few pods": (
        [QUICK, (0, Outcome.CONNECT_FAILED, 2_500, 4)],
        (),
        20,
        ALL,
    ),
    "connections refused everywhere": (
        [QUICK, (0, Outcome.CONNECT_FAILED, 2_500, 30)],
        (),
        20,
        HALF,
    ),
    "queues full everywhere": ([QUICK, (0, Outcome.REJECTED, 50, 30)], (), 20, HALF),
    "a patience shorter than the goal": (
        [(0, Outcome.TIMED_OUT, TICKS_PER_SECOND // 3, 30)],
        (),
        20,
        ALL,
    ),
    "a true overload at the same traffic": ([(0, Outcome.DONE, 9_000, 10)], (), 20, HALF),
    "silence, before its time-outs come": ([(0, Outcome.DONE, 3_000, 2)], [6_000] * 6, 20, NONE),
    "a storm, now": ([(0, Outcome.DONE, 15_000, 30), (0, Outcome.REJECTED, 50, 30)], (), 20, HALF),
    "a storm three seconds ago and no answer since": (
        [
            (3 * TICKS_PER_SECOND, Outcome.DONE, 15_000, 30),
            (3 * TICKS_PER_SECOND, Outcome.REJECTED, 50, 30),
        ],
        (),
        20,
        ALL,
    ),
    "an overload of a minute": (
        [(at * TICKS_PER_SECOND // 10, Outcome.DONE, 9_000, 1) for at in range(600, -1, -1)],
        (),
        60,
        (0.05, 0.95),
    ),
    "the worst there is": ([(0, Outcome.DONE, 400_000, 500)], (), 20, (0.08, 0.5)),
}


class Cases(unittest.TestCase):
    def test_each_takes_its_share(self):
        for name, (outcomes, waiting, since, (least, most)) in CASES.items():
            made, chance = fed(LoadShedder(MANY), outcomes), LinearCongruentialGenerator(5)
            held, since = [Open(ago) for ago in waiting], int(since * TICKS_PER_SECOND)
            share = (
                sum(
                    made.rejection(NOW, READ, held, since, recent=10, draw=chance.draw) is None
                    for _ in range(400)
                )
                / 400
            )
            with self.subTest(name):
                self.assertTrue(least <= share <= most, share)

    def test_the_loud_draw_no_lots_and_few_sidecars_leave_nothing_to_chance(self):
        loud = fed(LoadShedder(MANY), [(0, Outcome.DONE, 9_000, 100)])
        self.assertIsNone(
            loud.rejection(NOW, READ, (), 20 * TICKS_PER_SECOND, recent=500, draw=lambda: 1.0)
        )
        few, many = (
            fed(LoadShedder(TERMS._replace(instances=count)), [QUICK]) for count in (3, 200)
        )
        held = [Open(0)] * 20
        self.assertEqual(
            few.concurrency_limit(NOW, READ, 20 * TICKS_PER_SECOND),
            few.rejection(NOW, READ, held, 20 * TICKS_PER_SECOND, recent=10, draw=None)[2],
        )
        self.assertLess(
            many.concurrency_limit(NOW, READ, 20 * TICKS_PER_SECOND),
            many.rejection(NOW, READ, held, 20 * TICKS_PER_SECOND, recent=10, draw=None)[2],
        )

    @settings(max_examples=60, deadline=None)
    @given(
        some.lists(
            some.tuples(
                some.just(0),
                some.sampled_from(
                    [Outcome.DONE, Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED]
                ),
                some.integers(1, 60_000),
                some.just(1),
            ),
            max_size=40,
        )
    )
    def test_all_lapses_and_what_can_not_tip_the_bound_is_not_looked_at(self, outcomes):
        made, held = fed(LoadShedder(MANY), outcomes), [Open(9_000)] * 7
        plain = fed(
            LoadShedder(MANY), [*outcomes, (0, Outcome.REJECTED, 50, 7)]
        )  # the seven counted in any case
        self.assertAlmostEqual(made.pressure(NOW, held), plain.pressure(NOW, ()))
        self.assertLessEqual(made.pressure(NOW + 3 * TICKS_PER_SECOND, ()), 1.0)


class InTheDecisions(unittest.TestCase):
    def test_a_build_that_is_slow_on_trial_sheds_nothing(self):
        for phase, queues in (
            (ReleasePhase.ON_TRIAL, False),
            (ReleasePhase.RELEASED, True),
        ):  # released, it is what there is
            made = made_of(pod("old-1"), pod("new-1", 2), told=news(cap=1.0), instances=200)
            made.handle(NOW, [news(phase=phase, cap=1.0)])
            for at in range(30):
                made.requests.learn(
                    type("Tx", (), {"request_class": READ, "key": f"k{at}"}),
                    made.context.endpoints["new-1"],
                    ended(f"t{at}", Outcome.DONE, "new-1", closed=True, latency=20_000),
                )
            self.assertEqual(made.admission.pressure(NOW, ()) > 1.0, queues)

    def test_turned_away_with_its_reason_and_the_time_to_come_back(self):
        told, made = [], made_of(instances=200)
        made.context.reason_callback = lambda name, reason, *operands: told.append(reason)
        fed(made.admission, [(0, Outcome.DONE, 400_000, 500)])
        deferred = [
            one
            for at in range(20)
            for one in made.handle(NOW, [taken(f"t{at}")])
            if type(one) is Reject
        ]
        self.assertTrue(deferred and all(one.retry_after > 0 for one in deferred))
        self.assertIn(Reason.BY_LOT, told)

    def test_on_is_withdrawn_while_on_trial_and_not_once_released(self):
        for phase, votes in ((ReleasePhase.ON_TRIAL, 1), (ReleasePhase.RELEASED, 0)):
            made = made_of(told=news(4, cap=1.0))
            (
                made.voting.vote,
                made.voting.vote_cast_at,
                made.voting.next_check_at,
                made.context.release,
            ) = (
                CastVote(2, 4, Verdict.PROMOTE),
                NOW,
                NOW,
                news(4, phase, 1.0),
            )
            made.sequential_test.evidence_ratio, made.context.actions = 0.7, []
            made.voting.cast()
            self.assertEqual(kinds(made.context.actions).count(CastVote), votes, phase)

    def test_failures_of_one_moment_hold_a_good_build_and_those_of_two_send_a_bad_one_back(self):
        new = [pod(f"new-{at}", 2) for at in range(8)]
        for moments, verdict in ((1, Verdict.ABSTAIN), (3, Verdict.ABORT)):
            made = made_of(*(pod(f"old-{at}") for at in range(12)), *new, told=news(cap=1.0))
            made.baseline.outcomes.add(NOW, 40)  # the earlier build goes on without a fault
            for second in range(moments):
                made.context.now = NOW + second * TICKS_PER_SECOND
                for at in range(5):  # each at another pod and with another key
                    tx = type("Tx", (), {"request_class": READ, "key": f"k{second}-{at}"})
                    made.evidence.add_outcome(
                        tx, made.context.endpoints[f"new-{at}"], Outcome.ERROR, 100
                    )
            self.assertEqual(made.voting.verdict(), verdict, moments)


class Days(unittest.TestCase):
    """Small days of the laboratory; figures with intervals: make measure-fleet."""

    SIZE = {"instances": 30, "pods": 18, "seconds": 20, "load": 0.45}

    def played(self, kind, policy=current_engine, seed=2, **more):
        day, (_, end) = large_fleet_scenarios.drawn(seed, kind, **{**self.SIZE, **more})
        return Simulator(day, policy).play(), end

    def test_before_and_now(self):
        was = load_version("91b8f20")
        (now, _), (before, _) = (
            self.played("calm", one, good=False) for one in (current_engine, was)
        )
        self.assertLess(now.results.needless()[1], 0.05)
        self.assertGreater(before.results.needless()[1], 2 * now.results.needless()[1])
        (now, end), (before, _) = (
            self.played("overload", one, good=False) for one in (current_engine, was)
        )
        self.assertGreater(now.results.needless(8, 14)[0], 0.1)
        self.assertGreater(now.results.service(), before.results.service() - 0.05)
        self.assertLessEqual(now.results.recovered(end), 5)

    def test_seven_in_ten_restart_at_once_and_a_good_build_moves_on(self):
        now, _ = self.played("herd", good=True, seconds=25)
        killed = [one for one in now.day.faults if one.kind == "kill"]
        self.assertEqual([len(one.what) for one in killed], [21])
        self.assertNotIn(
            now.platform.state.phase, (ReleasePhase.ROLLING_BACK, ReleasePhase.WITHDRAWN)
        )
        self.assertGreaterEqual(now.platform.state.stage, 2)
        self.assertTrue(0 < now.results.behind < now.results.asked)
        self.assertLess(now.results.needless()[1], 0.1)
        accepted = now.results.votes_asked["asked"] - now.results.votes_asked["full"]
        self.assertLessEqual(
            accepted, now.day.terms.votes_per_second * (2 + now.now / TICKS_PER_SECOND) + 1
        )
        self.assertEqual(now.checker.rules_broken(), [])

    def test_a_bad_build_seen_by_quiet_instances_alone_is_not_kept(self):
        found = [
            crowd_played(("now", "calm", seed, {**self.SIZE, "good": False, "seconds": 30}))
            for seed in (2, 4)
        ]
        self.assertEqual([one["bad_kept"] for one in found], [False, False])

    def test_a_zone_that_is_lost_does_not_shut_the_rest(self):
        now, _ = self.played("zone", good=False)
        self.assertLess(now.results.needless()[1], 0.2)
        self.assertGreater(now.results.service(), 0.7)

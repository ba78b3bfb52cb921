"""Hundreds of quiet sidecars: sums of small parts, drawn pods, thin evidence."""

import unittest

from tests.support.decisions import (
    NOW,
    TERMS,
    balancer,
    ended,
    kinds,
    news,
    pod,
    pressed,
    sent,
    taken,
)
from thymeknot.interface.actions import Reject, SendAttempt, SetTimer
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    UTILISATION,
    EndpointCondition,
    Outcome,
    ReleasePhase,
    UpdateKind,
    Verdict,
)
from thymeknot.interface.events import EndpointUpdate, FleetCounts, TimerFired
from thymeknot.policy.context import MAX_UPKEEP_INTERVAL
from thymeknot.policy.endpoint_selection import MIN_SUBSET_SIZE

OLD = [pod(f"old-{n}") for n in range(40)]


def drawing(seed, made):
    """One of many: it has yet to draw its pods, by a seed of its own."""
    made.context.rng.state = (seed + 1) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    for known in made.context.endpoints.values():
        known.subset_rank = None
    return made


class DrawnPods(unittest.TestCase):
    def test_a_quiet_instance_uses_few_and_exchanges_one(self):
        made = balancer(*OLD)
        before = {known.listed.address for known in made.context.subsets[True]}
        made.selection.next_exchange_at = made.context.now = NOW
        made.upkeep()
        after = {known.listed.address for known in made.context.subsets[True]}
        self.assertEqual((len(before), len(after)), (MIN_SUBSET_SIZE, MIN_SUBSET_SIZE))
        self.assertGreaterEqual(len(before & after), MIN_SUBSET_SIZE - 1)

    def test_an_instance_that_finds_pods_unreachable_uses_fewer(self):
        made = balancer(*OLD)
        made.context.arrivals.add(NOW, 30)
        for made.selection.connection_loss_rate, used in ((0.0, 30), (0.5, MIN_SUBSET_SIZE)):
            made.selection.draw_subset(True)
            self.assertEqual(len(made.context.subsets[True]), used)

    def test_pods_that_come_later_are_used_as_likely_as_those_in_use(self):
        """A stage of nine in ten, a way back, a zone that starts again: all at once the old ones would take it all."""
        early = [pod(f"new-{n}", 2) for n in range(27)]
        for late in (
            [pod(f"new-{n}", 2, NOW) for n in range(27, 108)],  # the next stage's
            [one._replace(started=NOW) for one in early[:20]],
        ):  # the same, started again
            part, whole = 0, 0
            for seed in range(60):
                made = drawing(
                    seed,
                    balancer(
                        *OLD, *early, told=news(phase=ReleasePhase.RELEASED, cap=1.0), instances=216
                    ),
                )
                made.context.arrivals.add(NOW, 20)
                made.selection.draw_subset(True)
                made.handle(NOW, [EndpointUpdate(UpdateKind.DELTA, tuple(late))])
                part += sum(known.listed in late for known in made.context.subsets[True])
                whole += len(made.context.subsets[True])
            right = len(late) / len({one.address for one in (*early, *late)})
            self.assertAlmostEqual(part / whole, right, delta=0.06)

    def test_hundreds_do_not_meet_at_the_largest(self):
        pods = [one._replace(size=1.2 if n < 4 else 1.0) for n, one in enumerate(OLD)]
        met = set()
        for seed in range(60):
            made = drawing(seed, balancer(*pods, instances=400))
            made.selection.draw_subset(True)
            met.update(sent(made.handle(NOW, [taken()])))
        self.assertGreater(len(met), 8)

    def test_when_all_drawn_ones_are_gone_others_are_drawn(self):
        made = balancer(*OLD)
        gone = tuple(
            known.listed._replace(condition=EndpointCondition.GONE)
            for known in made.context.subsets[True]
        )
        made.handle(NOW, [EndpointUpdate(UpdateKind.DELTA, gone)])
        self.assertNotIn(sent(made.handle(NOW, [taken()]))[0], {one.address for one in gone})
        made.handle(
            NOW,
            [
                EndpointUpdate(
                    UpdateKind.DELTA,
                    tuple(one._replace(condition=EndpointCondition.DRAINING) for one in OLD),
                )
            ],
        )
        self.assertEqual(kinds(made.handle(NOW, [taken("t2")])), [Reject])

    def test_when_all_drawn_ones_are_unreachable_others_are_drawn(self):
        made = balancer(*OLD)
        ill = {known.listed.address for known in made.context.subsets[True]}
        for known in made.context.subsets[True]:
            known.ejected_until = NOW + TICKS_PER_SECOND
        self.assertNotIn(sent(made.handle(NOW, [taken()]))[0], ill)

    def test_a_build_with_one_pod_is_used_also_when_it_drains_nothing_is(self):
        made = balancer(*OLD, pod("new-1", 2), told=news(cap=1.0))
        made.split.fraction = 1.0
        self.assertEqual(sent(made.handle(NOW, [taken(key="k")])), ["new-1"])
        made.handle(
            NOW,
            [
                ended(outcome=Outcome.DONE, address="new-1", closed=True),
                EndpointUpdate(
                    UpdateKind.DELTA, (pod("new-1", 2, condition=EndpointCondition.DRAINING),)
                ),
            ],
        )
        self.assertEqual(kinds(made.handle(NOW, [taken("t2", key="k")])), [Reject])

    def test_pods_that_answer_at_once_are_drawn_by_lot_too(self):
        made = balancer(*OLD, instances=400)
        for known in made.context.endpoints.values():
            known.relative_latency = 0.0
        self.assertEqual(kinds(made.handle(NOW, [taken()])), [SendAttempt, SetTimer])

    def test_after_a_restart_the_remembered_list_serves_until_a_whole_one_comes(self):
        made = balancer(*OLD)
        self.assertEqual(len(sent(made.handle(NOW, [taken()]))), 1)
        made.handle(NOW, [EndpointUpdate(UpdateKind.FULL, (pod("other"),))])
        self.assertEqual(sent(made.handle(NOW, [taken("t2")])), ["other"])

    def test_an_absurd_load_report_is_none(self):
        made = balancer(load_metrics=(UTILISATION,))
        address = sent(made.handle(NOW, [taken()]))[0]
        made.handle(
            NOW, [ended(outcome=Outcome.DONE, address=address)._replace(load=(float("nan"),))]
        )
        self.assertEqual(made.context.endpoints[address].load, 0.0)


class SlownessOfAll(unittest.TestCase):
    """Of a crowd each sees three transactions a second: the platform's counts are the same for all."""

    def record_period(self, made, mean, failed=0, many=80, trial=20):
        made.context.now += 2 * TICKS_PER_SECOND
        rows = [
            FleetCounts(1, "read", many - trial, failed, mean, 5_000),
            FleetCounts(2, "read", trial, 0, mean, 5_000),
        ]
        made.handle(made.context.now, [row for row in rows if row.attempts])
        made.handle(made.context.now + MAX_UPKEEP_INTERVAL, [TimerFired(0)])
        return made.voting.verdict()

    def fleet(self, phase=ReleasePhase.ON_TRIAL):
        made = balancer(
            *OLD, *[pod(f"new-{n}", 2) for n in range(40)], instances=216, votes_to_revert=54
        )
        for _ in range(4):
            self.record_period(made, 2_200, 2, trial=0)
        made.handle(made.context.now, [news(phase=ReleasePhase.ON_TRIAL)])
        if phase == ReleasePhase.RELEASED:
            made.handle(made.context.now, [news(4, phase, 1.0)])
        made.baseline.earlier_endpoints, made.split.fraction, made.voting.offset = 40, 0.4, 0
        return made

    def test_a_build_that_slows_all_is_held_at_once_and_goes_back_after_a_while(self):
        for phase, waits in (
            (ReleasePhase.ON_TRIAL, Verdict.ABSTAIN),
            (ReleasePhase.RELEASED, Verdict.ABSTAIN),
        ):
            made = self.fleet(phase)
            self.assertEqual(self.record_period(made, 3_600, 6), waits, phase)
            self.assertIsNotNone(made.slowdown.since)
            votes = [self.record_period(made, 4_400, 8) for _ in range(3)]
            self.assertEqual(votes[-1], Verdict.ABORT, phase)

    def test_what_else_makes_all_slower_does_not_send_a_build_back(self):
        for name, mean, failed, many in (
            ("a little slower", 2_700, 3, 80),
            ("a burst", 3_900, 5, 130),
            ("failures of a tenth", 2_200, 8, 80),
        ):
            made = self.fleet()
            votes = {self.record_period(made, mean, failed, many) for _ in range(5)}
            self.assertNotIn(Verdict.ABORT, votes, name)

    def test_a_released_build_is_not_sent_back_for_the_machines_that_have_left(self):
        made = self.fleet(ReleasePhase.RELEASED)
        self.assertNotIn(
            Verdict.ABORT, [self.record_period(made, 3_050, 4, 80, 80) for _ in range(6)]
        )

    def test_slowness_that_passes_leaves_no_trace(self):
        made = self.fleet()
        self.record_period(made, 4_400, 8)
        made.slow_start.capacity, made.split.fraction, before = {True: 40.0, False: 40.0}, 0.3, 0.3
        made.raise_split()
        self.assertEqual(
            made.split.fraction, before
        )  # what slows all in step with the trial's traffic gets no more of it
        self.assertNotIn(Verdict.ABORT, [self.record_period(made, 2_300) for _ in range(4)])
        self.assertIsNone(made.slowdown.since)
        made.raise_split()
        self.assertGreater(made.split.fraction, before)


class LastStage(unittest.TestCase):
    """What slows all in step with its traffic shows in the platform's counts of the last stage, or too late."""

    def vote(self, stage, counted, **terms):
        """That of an instance whose trial has its last stage's pods since NOW. counted: when the last period ended."""
        terms = {
            "instances": 216,
            "votes_to_revert": 54,
            "vote_lifetime": 60 * TICKS_PER_SECOND,
            **terms,
        }
        made = balancer(
            *OLD, *[pod(f"new-{n}", 2, NOW) for n in range(40)], told=news(stage), **terms
        )
        made.voting.offset, made.sequential_test.clear_since, made.baseline.earlier_endpoints = (
            0,
            NOW - 60 * TICKS_PER_SECOND,
            40,
        )
        for until in range(NOW - 8 * TICKS_PER_SECOND, counted + 1, 2 * TICKS_PER_SECOND):
            made.fleet.usual.record_period(until)
        made.context.now = NOW + TERMS.warmup_duration + TICKS_PER_SECOND
        return made.voting.verdict()

    def test_a_crowd_waits_for_the_counts_of_warm_pods_before_it_lets_the_earlier_ones_go(self):
        warm = NOW + TERMS.warmup_duration
        for what, stage, counted, wanted, terms in (
            ("counted before they were warm", 4, warm - TICKS_PER_SECOND, Verdict.ABSTAIN, {}),
            ("counted when they were warm", 4, warm, Verdict.PROMOTE, {}),
            ("an earlier stage", 3, warm - TICKS_PER_SECOND, Verdict.PROMOTE, {}),
            (
                "few sidecars, who see enough each",
                4,
                warm - TICKS_PER_SECOND,
                Verdict.PROMOTE,
                {"instances": 20},
            ),
            (
                "a platform that has told of one period alone",
                4,
                NOW - 8 * TICKS_PER_SECOND,
                Verdict.PROMOTE,
                {},
            ),
            (
                "a platform that tells nothing any more",
                4,
                NOW - 2 * TICKS_PER_SECOND,
                Verdict.PROMOTE,
                {},
            ),
        ):
            self.assertEqual(self.vote(stage, counted, **terms), wanted, what)

    def test_a_period_that_was_missed_makes_the_others_no_longer(self):
        made = balancer()
        for until, period in ((2, 0), (4, 2), (8, 2), (8, 2), (10, 2)):
            made.fleet.usual.record_period(until * TICKS_PER_SECOND)
            self.assertEqual(made.fleet.usual.period, period * TICKS_PER_SECOND)

    def test_a_stage_beyond_the_waves_counts_as_the_last(self):
        self.assertEqual(self.vote(9, NOW + TERMS.warmup_duration), Verdict.PROMOTE)


class ManyColdPods(unittest.TestCase):
    """A stage brings most of the trial's pods at once; what they get at first is next to nothing."""

    def test_the_ramp_of_a_crowd_waits_for_pods_that_are_cold(self):
        warm, cold = (
            [pod(f"new-{n}", 2) for n in range(9)],
            [pod(f"new-{n}", 2, NOW) for n in range(9, 27)],
        )
        for balancers, least, most in (
            (216, 0.18, 0.2),
            (2, 0.24, 0.28),
        ):  # of 40 and nine, that is 0.18
            made = balancer(*OLD, *warm, *cold, told=news(cap=1.0), instances=balancers)
            made.slow_start.update_capacity()
            made.split.fraction_updated_at = NOW - 9 * TICKS_PER_SECOND
            made.raise_split()
            self.assertTrue(least <= made.split.fraction <= most, (balancers, made.split.fraction))

    def test_counts_of_the_pods_that_were_there_stand_when_many_more_have_come(self):
        for late in (0, 81):
            made = balancer(
                *OLD,
                *[pod(f"new-{n}", 2) for n in range(27)],
                *[pod(f"late-{n}", 2, NOW - 8_000) for n in range(late)],
                told=news(),
                instances=216,
                votes_to_revert=54,
            )
            made.fleet.rows = [
                FleetCounts(1, "read", 95, 1, 2_000, 7_000),
                FleetCounts(2, "read", 23, 9, 3_800, 7_000),
            ]
            made.fleet.weigh()
            self.assertGreater(
                made.sequential_test.evidence_ratio, 0.5, late
            )  # nothing moves on, and the next such period sends it back


class ThinEvidence(unittest.TestCase):
    def tally(self, made, bad, late=1000, times=1):
        for _ in range(times):
            made.handle(
                made.context.now,
                [FleetCounts(1, "read", 99, 0, 999, 0), FleetCounts(2, "read", 40, bad, late, 0)],
            )
            made.context.now += 2 * TICKS_PER_SECOND
            made.upkeep()

    def test_tallies_send_a_failing_build_back_but_one_period_does_not(self):
        made = balancer(told=news(), instances=400, votes_to_revert=100)
        self.tally(made, 15)
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)
        self.tally(made, 15)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_tallies_send_a_slow_build_back_and_not_a_good_one(self):
        for latency, back in ((3000, True), (1100, False)):
            made = balancer(told=news(), instances=400, votes_to_revert=100)
            self.tally(made, 0, latency, times=3)
            self.assertEqual(made.voting.verdict() == Verdict.ABORT, back)

    def test_a_way_on_which_all_is_lost_does_not_turn_the_evidence_round(self):
        made = balancer(told=news(), instances=400, votes_to_revert=100)
        made.handle(
            NOW, [news(phase=ReleasePhase.RELEASED, cap=1.0)]
        )  # the earlier build is counted no more
        made.selection.connection_loss_rate = 0.99
        made.handle(NOW, [FleetCounts(2, "read", 40, 40, 1_000, 0)])
        made.fleet.weigh()
        self.assertGreater(made.sequential_test.sums["failed"], 0)

    def test_tallies_of_cold_pods_prove_nothing(self):
        made = balancer(pod("old-1"), pod("new-1", 2, started=NOW), told=news())
        made.handle(
            NOW, [FleetCounts(1, "read", 100, 0, 1000, 0), FleetCounts(2, "read", 40, 20, 5000, 0)]
        )
        made.fleet.weigh()
        self.assertLessEqual(max(made.sequential_test.sums.values()), 0)

    def test_what_speaks_against_a_build_outlasts_the_stage(self):
        made = balancer(told=news(stage=1))
        made.sequential_test.sums = {"failed": 1.5, "slow": 1.5}
        made.handle(NOW, [news(stage=2)])
        self.assertEqual(made.sequential_test.sums, {"failed": 1.5, "slow": 0.0})

    def test_more_that_must_err_together_may_err_more(self):
        one, many = balancer(instances=540), balancer(instances=540, votes_to_revert=43)
        self.assertGreater(
            one.sequential_test.abort_bounds["failed"],
            2 * many.sequential_test.abort_bounds["failed"],
        )

    def test_one_recent_failure_of_the_earlier_build_tells_a_storm(self):
        made = balancer(told=news())
        made.baseline.outcomes.add(NOW, 1)
        made.baseline.failed.add(NOW, 1)
        made.baseline.compare()
        self.assertEqual(made.sequential_test.null_rates["failed"], 0.5)


class SmallParts(unittest.TestCase):
    def test_votes_for_on_are_spread_over_the_calls(self):
        # 400 at 100 a second: 200 at once, 200 in two seconds; never before half of the time after a start.
        for calls, begin, span, at_once in (
            (100.0, -1.0, 2, 25),
            (20.0, -4 / 3, 18, 5),
        ):  # of 8/3 s
            due = []
            for seed in range(50):
                made = balancer(instances=400, votes_per_second=calls)
                made.context.rng.state = seed << 40
                made.handle(NOW, [news()])
                due.append(made.voting.offset / TICKS_PER_SECOND)
            self.assertAlmostEqual(min(due), begin)
            self.assertTrue(0.8 * span < max(due) - min(due) <= span, due)
            self.assertTrue(abs(sum(one == min(due) for one in due) - at_once) <= 5, due)

    def test_savings_of_hundreds_are_small(self):
        self.assertLess(balancer(instances=400).requests.hedging.budget.tokens, 1)

    def test_slow_answers_defer_by_chance_where_there_is_too_little_open_to_count(self):
        made = balancer(*OLD, instances=400)
        pressed(made, 1.0)
        deferred = sum(kinds(made.handle(NOW, [taken(str(n))])) == [Reject] for n in range(40))
        self.assertTrue(20 < deferred < 40)

    def test_upkeep_follows_the_traffic(self):
        made = balancer()
        made.context.arrivals.add(NOW, 500)
        made.upkeep()
        self.assertLess(made.upkeep_interval, MAX_UPKEEP_INTERVAL)

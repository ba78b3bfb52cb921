"""The summary of rejections, and the effects of the simulator's injected faults."""

import unittest

from tests.support.decisions import (
    NOW,
    make_attempt_ended,
    make_endpoint,
    make_request,
)
from tests.support.decisions import make_engine as make_policy_engine
from thymeknot.interface.actions import CancelAttempt, CastVote, Fail, SendAttempt
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import Outcome, ReleasePhase, Verdict
from thymeknot.interface.events import AttemptEnded, EndpointUpdate, RequestReceived
from thymeknot.interface.reasons import Reason as R
from thymeknot.service.rejection_summary import LOG_INTERVAL, RejectionSummary
from thymeknot.simulation import large_fleet_scenarios
from thymeknot.simulation.scenarios import Fault
from thymeknot.simulation.simulated_platform import ReleaseState
from thymeknot.simulation.simulator import Simulator, current_engine


class RejectionSummaryTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.summary = RejectionSummary(lambda event, **fields: self.lines.append((event, fields)))
        self.summary.flush(NOW)

    def told(self, *reasons):
        for reason in reasons:
            self.summary.record("t", reason)

    def test_final_responses_are_counted_by_cause(self):
        self.told(R.POSITION, R.SENT, R.ENDED, R.DONE)
        self.assertEqual(
            (self.summary.flush(NOW), self.lines), (NOW + LOG_INTERVAL, [])
        )  # nothing turned away is no line
        for reasons in (
            (R.OVER_LIMIT, R.DEFERRED),
            (R.OVER_LIMIT, R.DEFERRED),
            (R.POSITION, R.SENT, R.ENDED, R.TIME_OVER, R.ABANDONED),
            (R.POSITION, R.COLD, R.NO_POD, R.VOTED, R.DEFERRED),
            (R.DOUBTED, R.NO_POD, R.DEFERRED),
        ):
            self.told(*reasons)
        self.summary.record("another", R.BY_LOT)
        self.told(R.DEFERRED)  # not by what decided another transaction
        self.summary.flush(NOW + LOG_INTERVAL, pressure=0.5)
        self.assertEqual(
            self.lines,
            [
                (
                    "requests rejected",
                    {
                        "seconds": 5.0,
                        "deferred": {
                            "OVER_LIMIT": 2,
                            "NO_POD/COLD": 1,
                            "NO_POD/DOUBTED": 1,
                            "NOTHING": 1,
                        },
                        "abandoned": {"TIME_OVER": 1},
                        "pressure": 0.5,
                    },
                )
            ],
        )
        self.summary.flush(NOW + 2 * LOG_INTERVAL)
        self.assertEqual(len(self.lines), 1)

    def test_counters_are_bounded_by_the_number_of_reasons(self):
        for first in R:
            for reason in R:
                self.told(first, reason, R.DEFERRED, first, reason, R.ABANDONED)
        self.assertLess(len(self.summary.counts), 3 * len(R))

    def test_reasons_are_passed_to_the_next_listener(self):
        heard = []
        self.summary.next_listener = lambda *told: heard.append(told)
        self.summary.record("t", R.DEFERRED, 50)
        self.assertEqual(heard, [("t", R.DEFERRED, 50)])

    def test_engine_reports_the_cause_of_a_rejection(self):
        made = make_policy_engine(make_endpoint("a"), max_attempts=1)
        made.context.reason_callback = self.summary.record
        made.handle(NOW, [make_request()])
        made.handle(NOW, [make_attempt_ended(outcome=Outcome.REJECTED, address="a")])
        self.summary.flush(NOW + LOG_INTERVAL)
        self.assertEqual(self.lines[0][1]["deferred"], {"MOST_DELIVERIES": 1})


class SimulatedFaultsTest(unittest.TestCase):
    """What a fault does to what reaches pods and instances, seen from outside the decisions."""

    def made(self, kind, seed=3):
        day, (begin, _) = large_fleet_scenarios.drawn(seed, kind, 9, 6, 20, load=0.3, good=True)
        return Simulator(day._replace(offers=()), current_engine), begin

    def test_lost_zone_is_silent_and_restarts_cold(self):
        fleet, _ = self.made("zone")
        fleet.now = 8 * TICKS_PER_SECOND
        fleet.servers.lose_zone("b")
        lost = [one for one in fleet.servers.pods.values() if one.zone == "b"]
        self.assertTrue(lost and all(one.silent for one in lost))
        fleet.now = 13 * TICKS_PER_SECOND
        fleet.servers.restore_zone("b")
        back = [fleet.servers.pods[one.name] for one in lost]
        self.assertTrue(
            all(one.started == fleet.now and one.warmth(fleet.now) < 0.5 for one in back)
        )
        self.assertFalse(any(one.silent for one in back))

    def test_partitioned_zone_reaches_only_itself_and_not_the_platform(self):
        fleet, _ = self.made("split")
        fleet.cut_zones = {"b"}
        inside, outside = 1, 0
        reached = {
            one.zone: (fleet._reaches(inside, one), fleet._reaches(outside, one))
            for one in fleet.servers.pods.values()
        }
        self.assertEqual(reached, {"a": (False, True), "b": (True, False), "c": (False, True)})
        self.assertEqual(
            (fleet.is_off_platform(inside), fleet.is_off_platform(outside)), (True, False)
        )
        fleet._calls.clear()
        fleet._faults._zone_cut(Fault("cut", 0, 1, (1,), 0.0), False)
        told = sorted(
            arguments[0] for _, _, call, arguments in fleet._calls if call == fleet.platform.told
        )
        self.assertEqual(
            (fleet.cut_zones, told), (set(), list(range(9)))
        )  # what was missed is told again

    def test_work_delayed_by_a_pause_resumes_after_it(self):
        fleet, _ = self.made("herd")
        some = next(iter(fleet.servers.pods.values()))
        some.paused = 5 * TICKS_PER_SECOND
        fleet.now = TICKS_PER_SECOND
        fleet._served(some, None)
        self.assertEqual(fleet._calls[0][0], 5 * TICKS_PER_SECOND + 1)
        self.assertFalse(some.fits(TICKS_PER_SECOND, TICKS_PER_SECOND))

    def test_platform_rejects_votes_above_its_rate(self):
        fleet, _ = self.made("calm")
        fleet.day = fleet.day._replace(terms=fleet.day.terms._replace(votes_per_second=2.0))
        fleet.platform.state = ReleaseState(2, 0, ReleasePhase.ON_TRIAL, 0.08)
        fleet.platform._calls = 4.0
        for instance in range(9):
            fleet._vote(instance, fleet.lives[instance], CastVote(2, 0, Verdict.PROMOTE))
        self.assertEqual(fleet.results.votes_asked["full"], 5)
        told = [
            arguments[2]
            for _, _, call, arguments in fleet._calls
            if call == fleet.platform._told_vote
        ]
        self.assertEqual((told.count(Outcome.DONE), told.count(Outcome.REJECTED)), (4, 5))
        fleet.now = fleet.platform._calls_at = TICKS_PER_SECOND
        fleet.now = 2 * TICKS_PER_SECOND
        fleet._vote(0, fleet.lives[0], CastVote(2, 1, Verdict.PROMOTE))  # for another stage
        self.assertEqual(
            (fleet.results.votes_asked["full"], fleet.results.votes_asked["moot"]), (5, 1)
        )
        self.assertIn(
            Outcome.NOT_SENT,
            [
                arguments[2]
                for _, _, call, arguments in fleet._calls
                if call == fleet.platform._told_vote
            ],
        )

    def test_cancelled_attempt_ends_while_its_work_continues(self):
        told = []

        class Recalls:
            def __init__(self, terms, seed, now):
                self.pods = []

            def handle(self, now, events):
                told.extend(events)
                actions = []
                for event in events:
                    if type(event) is EndpointUpdate:
                        self.pods = event.endpoints
                    elif type(event) is RequestReceived:
                        actions += [
                            SendAttempt(event.id, self.pods[0].address, event.time_left),
                            CancelAttempt(event.id, 0),
                        ]
                    elif type(event) is AttemptEnded and not event.closed:
                        actions.append(Fail(event.id))
                return actions

        fleet, _ = self.made("calm")
        Simulator(fleet.day._replace(faults=()), Recalls).play()
        ends = [event.outcome for event in told if type(event) is AttemptEnded]
        self.assertEqual(
            (set(ends), len(ends)),
            ({Outcome.CANCELLED}, sum(type(one) is RequestReceived for one in told)),
        )

    def test_scenarios_of_each_kind_keep_the_invariants(self):
        for kind in large_fleet_scenarios.KINDS:
            day, _ = large_fleet_scenarios.drawn(2, kind, 12, 9, 15, load=0.4)
            self.assertEqual(Simulator(day, current_engine).play().checker.broken, [], kind)

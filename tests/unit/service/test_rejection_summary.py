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

    def record(self, *reasons):
        for reason in reasons:
            self.summary.record("t", reason)

    def test_final_responses_are_counted_by_cause(self):
        self.record(R.POSITION, R.SENT, R.ENDED, R.DONE)
        self.assertEqual(
            (self.summary.flush(NOW), self.lines), (NOW + LOG_INTERVAL, [])
        )  # no line if nothing was rejected
        for reasons in (
            (R.OVER_LIMIT, R.DEFERRED),
            (R.OVER_LIMIT, R.DEFERRED),
            (R.POSITION, R.SENT, R.ENDED, R.TIME_OVER, R.ABANDONED),
            (R.POSITION, R.COLD, R.NO_POD, R.VOTED, R.DEFERRED),
            (R.DOUBTED, R.NO_POD, R.DEFERRED),
        ):
            self.record(*reasons)
        self.summary.record("another", R.BY_LOT)
        self.record(R.DEFERRED)  # not counted with the reason of another request
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
                self.record(first, reason, R.DEFERRED, first, reason, R.ABANDONED)
        self.assertLess(len(self.summary.counts), 3 * len(R))

    def test_reasons_are_passed_to_the_next_listener(self):
        passed_on = []
        self.summary.next_listener = lambda *arguments: passed_on.append(arguments)
        self.summary.record("t", R.DEFERRED, 50)
        self.assertEqual(passed_on, [("t", R.DEFERRED, 50)])

    def test_engine_reports_the_cause_of_a_rejection(self):
        engine = make_policy_engine(make_endpoint("a"), max_attempts=1)
        engine.context.reason_callback = self.summary.record
        engine.handle(NOW, [make_request()])
        engine.handle(NOW, [make_attempt_ended(outcome=Outcome.REJECTED, address="a")])
        self.summary.flush(NOW + LOG_INTERVAL)
        self.assertEqual(self.lines[0][1]["deferred"], {"MOST_DELIVERIES": 1})


class SimulatedFaultsTest(unittest.TestCase):
    """Effects of injected faults on endpoints and instances, apart from the decisions."""

    def simulator_with_fault(self, kind, seed=3):
        day, (begin, _) = large_fleet_scenarios.draw_standard_day(
            seed, kind, 9, 6, 20, load=0.3, good=True
        )
        return Simulator(day._replace(offers=()), current_engine), begin

    def test_lost_zone_is_silent_and_restarts_cold(self):
        simulator, _ = self.simulator_with_fault("zone")
        simulator.now = 8 * TICKS_PER_SECOND
        simulator.servers.lose_zone("b")
        lost = [endpoint for endpoint in simulator.servers.pods.values() if endpoint.zone == "b"]
        self.assertTrue(lost and all(endpoint.unresponsive for endpoint in lost))
        simulator.now = 13 * TICKS_PER_SECOND
        simulator.servers.restore_zone("b")
        restarted = [simulator.servers.pods[endpoint.name] for endpoint in lost]
        self.assertTrue(
            all(
                endpoint.started == simulator.now
                and endpoint.capacity_fraction(simulator.now) < 0.5
                for endpoint in restarted
            )
        )
        self.assertFalse(any(endpoint.unresponsive for endpoint in restarted))

    def test_partitioned_zone_reaches_only_itself_and_not_the_platform(self):
        simulator, _ = self.simulator_with_fault("split")
        simulator.partitioned_zones = {"b"}
        inside, outside = 1, 0
        reached = {
            endpoint.zone: (
                simulator._reaches(inside, endpoint),
                simulator._reaches(outside, endpoint),
            )
            for endpoint in simulator.servers.pods.values()
        }
        self.assertEqual(reached, {"a": (False, True), "b": (True, False), "c": (False, True)})
        self.assertEqual(
            (
                simulator.is_cut_off(inside),
                simulator.is_cut_off(outside),
            ),
            (True, False),
        )
        simulator._scheduled_calls.clear()
        simulator._faults._zone_cut(Fault("cut", 0, 1, (1,), 0.0), False)
        notified = sorted(
            arguments[0]
            for _, _, call, arguments in simulator._scheduled_calls
            if call == simulator.platform.deliver_update
        )
        self.assertEqual(
            (simulator.partitioned_zones, notified), (set(), list(range(9)))
        )  # missed events are sent again

    def test_work_delayed_by_a_pause_resumes_after_it(self):
        simulator, _ = self.simulator_with_fault("herd")
        endpoint = next(iter(simulator.servers.pods.values()))
        endpoint.paused_until = 5 * TICKS_PER_SECOND
        simulator.now = TICKS_PER_SECOND
        simulator._finish_job(endpoint, None)
        self.assertEqual(simulator._scheduled_calls[0][0], 5 * TICKS_PER_SECOND + 1)
        self.assertFalse(endpoint.can_start_within(TICKS_PER_SECOND, TICKS_PER_SECOND))

    def test_platform_rejects_votes_above_its_rate(self):
        simulator, _ = self.simulator_with_fault("calm")
        simulator.day = simulator.day._replace(
            settings=simulator.day.settings._replace(votes_per_second=2.0)
        )
        simulator.platform.state = ReleaseState(2, 0, ReleasePhase.ON_TRIAL, 0.08)
        simulator.platform._vote_tokens = 4.0
        for instance in range(9):
            simulator._vote(
                instance, simulator.incarnations[instance], CastVote(2, 0, Verdict.PROMOTE)
            )
        self.assertEqual(simulator.results.vote_calls["full"], 5)
        notified = [
            arguments[2]
            for _, _, call, arguments in simulator._scheduled_calls
            if call == simulator.platform._deliver_vote_outcome
        ]
        self.assertEqual((notified.count(Outcome.DONE), notified.count(Outcome.REJECTED)), (4, 5))
        simulator.now = simulator.platform._tokens_updated_at = TICKS_PER_SECOND
        simulator.now = 2 * TICKS_PER_SECOND
        simulator._vote(
            0, simulator.incarnations[0], CastVote(2, 1, Verdict.PROMOTE)
        )  # for another stage
        self.assertEqual(
            (simulator.results.vote_calls["full"], simulator.results.vote_calls["moot"]), (5, 1)
        )
        self.assertIn(
            Outcome.NOT_SENT,
            [
                arguments[2]
                for _, _, call, arguments in simulator._scheduled_calls
                if call == simulator.platform._deliver_vote_outcome
            ],
        )

    def test_cancelled_attempt_ends_while_its_work_continues(self):
        notified = []

        class CancellingEngine:
            def __init__(self, engine_settings, seed, now):
                self.pods = []

            def handle(self, now, events):
                notified.extend(events)
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

        simulator, _ = self.simulator_with_fault("calm")
        Simulator(simulator.day._replace(faults=()), CancellingEngine).run()
        ends = [event.outcome for event in notified if type(event) is AttemptEnded]
        self.assertEqual(
            (set(ends), len(ends)),
            ({Outcome.CANCELLED}, sum(type(handled) is RequestReceived for handled in notified)),
        )

    def test_scenarios_of_each_kind_keep_the_invariants(self):
        for kind in large_fleet_scenarios.STANDARD_KINDS:
            day, _ = large_fleet_scenarios.draw_standard_day(2, kind, 12, 9, 15, load=0.4)
            self.assertEqual(Simulator(day, current_engine).run().checker.violations, [], kind)

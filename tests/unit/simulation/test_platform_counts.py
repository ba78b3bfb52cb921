"""Small days of the mass kinds: counts match the attempts, and good builds are released."""

import unittest

from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import Outcome
from thymeknot.interface.events import AttemptEnded, FleetCounts
from thymeknot.simulation.experiments import simulate_large_fleet_day, summarize_mass_pairs
from thymeknot.simulation.large_fleet_scenarios import MASS_KINDS, draw_mass_day
from thymeknot.simulation.scenarios import Fault
from thymeknot.simulation.simulated_platform import REFUSED_CALLS
from thymeknot.simulation.simulator import Simulator, current_engine

SIZE, PERIOD = {"instances": 24, "pods": 18}, 2 * TICKS_PER_SECOND


class CountingSimulator(Simulator):
    """Records the ended attempts and the platform's counts.

    Attributes:
        ended_by_period: Number of ended attempts, number of failed ones and total latency of the
            successful ones, by period, of all instances.
        counts_by_instance: Time and event of each delivery of counts, by instance.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.ended_by_period, self.counts_by_instance = {}, {}

    def deliver_event(self, instance, event):
        if type(event) is AttemptEnded and event.outcome not in (
            Outcome.NOT_SENT,
            Outcome.CANCELLED,
        ):
            totals = self.ended_by_period.setdefault(self.now // PERIOD, [0, 0, 0])
            totals[0] += 1
            totals[1] += event.outcome != Outcome.DONE
            totals[2] += event.latency * (event.outcome == Outcome.DONE)
        if type(event) is FleetCounts:
            self.counts_by_instance.setdefault(instance, []).append((self.now, event))
        super().deliver_event(instance, event)


class PlatformCounts(unittest.TestCase):
    def test_counts_equal_the_ended_attempts(self):
        day, _ = draw_mass_day(4, "join-mass", **SIZE, seconds=12)
        call_outage = Fault("calls", 5 * TICKS_PER_SECOND, 7 * TICKS_PER_SECOND, (), REFUSED_CALLS)
        simulator = CountingSimulator(
            day._replace(counted_ratio=1.0, faults=(*day.faults, call_outage)), current_engine
        ).run()
        for instance in (0, 23):
            received = {}
            for now, counts in simulator.counts_by_instance[instance]:
                self.assertTrue(5_000 < counts.age < 6_500, counts)
                self.assertEqual((now - counts.age) % PERIOD, 0)
                totals = received.setdefault((now - counts.age) // PERIOD - 1, [0, 0, 0])
                totals[0] += counts.attempts
                totals[1] += counts.failed
                totals[2] += counts.latency * (counts.attempts - counts.failed)
            # The counts of period 2 were due while calls failed.
            self.assertEqual(sorted(received), [0, 1, 3, 4, 5])
            for period, (attempts, failed, total_latency) in received.items():
                self.assertEqual([attempts, failed], simulator.ended_by_period[period][:2])
                # Mean latencies are rounded to whole ticks.
                self.assertLess(abs(total_latency - simulator.ended_by_period[period][2]), attempts)
        self.assertGreater(
            sum(period_totals[1] for period_totals in simulator.ended_by_period.values()), 0
        )

    def test_counts_are_a_sample_and_absent_without_a_period(self):
        day, _ = draw_mass_day(4, **SIZE, seconds=12)
        for tally_every in (PERIOD, 0):
            simulator = CountingSimulator(
                day._replace(counts_interval=tally_every), current_engine
            ).run()
            counted = sum(counts.attempts for _, counts in simulator.counts_by_instance.get(0, ()))
            ended = sum(totals[0] for totals in simulator.ended_by_period.values())
            self.assertTrue(
                0.05 * ended < counted < 0.15 * ended if tally_every else not counted,
                (counted, ended),
            )

    def test_good_build_is_released_and_earlier_servers_leave(self):
        day, _ = draw_mass_day(5, **SIZE, seconds=32, good=True)
        simulator = Simulator(day._replace(offers=day.offers[:1]), current_engine).run()
        self.assertEqual(simulator.results.released, [2])
        self.assertEqual(simulator.checker.violated_rules(), [], simulator.checker.violations[:3])
        stage_times = [
            now
            for now, _, event in simulator.results.rollout_events
            if event in ("stage", "released")
        ]
        self.assertTrue(
            all(
                next_time - now >= 3.25 * TICKS_PER_SECOND
                for now, next_time in zip(stage_times, stage_times[1:])
            ),
            stage_times,
        )
        self.assertFalse([name for name in simulator.servers.pods if name.endswith("-1")])

    def test_same_seed_gives_the_same_result(self):
        for kind in MASS_KINDS:
            first, second = (
                simulate_large_fleet_day(
                    ("now", kind, 3, {"instances": 16, "pods": 12, "seconds": 12})
                )
                for _ in range(2)
            )
            self.assertEqual(first, second)
            summary = summarize_mass_pairs([(first, second)])
            self.assertEqual(summary[kind]["service"]["gap"], 0)
            self.assertEqual(summary["all"]["harm_to_back_s"] is None, first["bad"] == 0)


if __name__ == "__main__":
    unittest.main()

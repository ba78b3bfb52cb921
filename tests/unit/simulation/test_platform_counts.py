"""The laboratory's mass days, small: the platform's counts are those of the attempts, and good builds pass."""

import unittest

from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import Outcome
from thymeknot.interface.events import AttemptEnded, FleetCounts
from thymeknot.simulation.experiments import crowd_played, mass_compared
from thymeknot.simulation.large_fleet_scenarios import MASS, mass
from thymeknot.simulation.scenarios import Fault
from thymeknot.simulation.simulated_platform import REFUSED_CALLS
from thymeknot.simulation.simulator import Simulator, current_engine

SIZE, PERIOD = {"instances": 24, "pods": 18}, 2 * TICKS_PER_SECOND


class Noted(Simulator):
    """Keeps what is told: the attempts' ends of all, the tallies of each."""

    def __init__(self, *given):
        super().__init__(*given)
        self.ended, self.tallies = {}, {}

    def deliver_event(self, instance, event):
        if type(event) is AttemptEnded and event.outcome not in (
            Outcome.NOT_SENT,
            Outcome.CANCELLED,
        ):
            some = self.ended.setdefault(self.now // PERIOD, [0, 0, 0])
            some[0] += 1
            some[1] += event.outcome != Outcome.DONE
            some[2] += event.latency * (event.outcome == Outcome.DONE)
        if type(event) is FleetCounts:
            self.tallies.setdefault(instance, []).append((self.now, event))
        super().deliver_event(instance, event)


class MassDays(unittest.TestCase):
    def test_tallies_add_up_with_what_ended(self):
        day, _ = mass(4, "join-mass", **SIZE, seconds=12)
        down = Fault("calls", 5 * TICKS_PER_SECOND, 7 * TICKS_PER_SECOND, (), REFUSED_CALLS)
        fleet = Noted(
            day._replace(tally_share=1.0, faults=(*day.faults, down)), current_engine
        ).run()
        for instance in (0, 23):
            counted = {}
            for at, row in fleet.tallies[instance]:
                self.assertTrue(5_000 < row.age < 6_500, row)
                self.assertEqual((at - row.age) % PERIOD, 0)
                some = counted.setdefault((at - row.age) // PERIOD - 1, [0, 0, 0])
                some[0] += row.attempts
                some[1] += row.failed
                some[2] += row.latency * (row.attempts - row.failed)
            self.assertEqual(
                sorted(counted), [0, 1, 3, 4, 5]
            )  # the third's was due while calls were down
            for period, (deliveries, failed, took) in counted.items():
                self.assertEqual([deliveries, failed], fleet.ended[period][:2])
                self.assertLess(
                    abs(took - fleet.ended[period][2]), deliveries
                )  # means are whole numbers
        self.assertGreater(sum(one[1] for one in fleet.ended.values()), 0)

    def test_a_part_is_sampled_and_other_days_have_none(self):
        day, _ = mass(4, **SIZE, seconds=12)
        for every in (PERIOD, 0):
            fleet = Noted(day._replace(tally_every=every), current_engine).run()
            told = sum(row.attempts for _, row in fleet.tallies.get(0, ()))
            seen = sum(one[0] for one in fleet.ended.values())
            self.assertTrue(0.05 * seen < told < 0.15 * seen if every else not told, (told, seen))

    def test_a_good_build_is_released_and_the_earlier_machines_leave_later(self):
        day, _ = mass(5, **SIZE, seconds=32, good=True)
        fleet = Simulator(day._replace(offers=day.offers[:1]), current_engine).run()
        self.assertEqual(fleet.results.released, [2])
        self.assertEqual(fleet.checker.violated_rules(), [], fleet.checker.violations[:3])
        stages = [
            at for at, _, what in fleet.results.rollout_events if what in ("stage", "released")
        ]
        self.assertTrue(
            all(later - at >= 3.25 * TICKS_PER_SECOND for at, later in zip(stages, stages[1:])),
            stages,
        )
        self.assertFalse([name for name in fleet.servers.pods if name.endswith("-1")])

    def test_the_same_seed_gives_the_same_result(self):
        for kind in MASS:
            one, two = (
                crowd_played(("now", kind, 3, {"instances": 16, "pods": 12, "seconds": 12}))
                for _ in range(2)
            )
            self.assertEqual(one, two)
            told = mass_compared([(one, two)])
            self.assertEqual(told[kind]["service"]["gap"], 0)
            self.assertEqual(told["all"]["harm_to_back_s"] is None, one["bad"] == 0)


if __name__ == "__main__":
    unittest.main()

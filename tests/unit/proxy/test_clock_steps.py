"""Steps of the wall clock: the age of an endpoint is a span of real time."""

import unittest
from unittest import mock

from tests.unit.proxy.test_proxy import Network, endpoint_entry
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.protocol import discovery
from thymeknot.state.start_times import StartTimes

HOUR = 3600 * TICKS_PER_SECOND
EPOCH = 10 * HOUR
TICKS_PER_MILLISECOND = 10


class ClockStepTest(unittest.TestCase):
    def setUp(self):
        self.network = Network(endpoint_entry("s-1"))
        self.step = 0  # of the wall clock, in ticks
        proxy = self.network.proxy
        proxy.endpoints.start_times.epoch = EPOCH
        proxy.endpoints.start_times.current_epoch = lambda: EPOCH + self.step
        self.settings = proxy.engine.context.settings

    def wall_ms(self):
        return (EPOCH + self.network.proxy.clock() + self.step) / TICKS_PER_MILLISECOND

    def tell(self, version, *entries, full=True):
        listing = discovery.read_list(
            {"version": version, "full": full, "servers": list(entries)}, EPOCH
        )
        self.network.proxy.endpoints.apply(listing, "discovery")

    def warmup(self, name):
        context = self.network.proxy.engine.context
        return context.endpoints[name].warmup_fraction(self.network.proxy.clock(), self.settings)

    # Guards against a cold endpoint that counts as warm, or as cold for an hour, after a step.
    def test_endpoint_that_starts_after_a_step_is_cold_and_warms_in_its_time(self):
        for step in (HOUR, -HOUR, 2 * TICKS_PER_SECOND, -2 * TICKS_PER_SECOND):
            with self.subTest(step=step):
                self.setUp()
                self.step = step
                self.tell(
                    8, endpoint_entry("s-1"), endpoint_entry("s-2", started_ms=self.wall_ms())
                )
                initial = self.settings.warmup_initial_fraction
                self.assertAlmostEqual(self.warmup("s-2"), initial, delta=0.01)
                self.network.reactor.advance(self.settings.warmup_duration / TICKS_PER_SECOND)
                self.assertEqual(self.warmup("s-2"), 1.0)

    def test_endpoint_that_started_before_a_step_and_is_seen_after_it_keeps_its_age(self):
        for step in (HOUR, -HOUR):
            self.setUp()
            entry = endpoint_entry("s-2", started_ms=self.wall_ms())
            self.network.reactor.advance(1)
            self.step = step
            self.tell(8, endpoint_entry("s-1"), entry)
            started = self.network.proxy.listed_endpoints["s-2"].started
            self.assertEqual(self.network.proxy.clock() - started, TICKS_PER_SECOND)

    def test_endpoint_that_was_seen_before_a_step_is_the_same_process_after_it(self):
        for step in (HOUR, -HOUR):
            self.setUp()
            entry = endpoint_entry("s-2", started_ms=self.wall_ms())
            self.tell(8, endpoint_entry("s-1"), entry)
            self.network.reactor.advance(1)
            state = self.network.proxy.engine.context.endpoints["s-2"]
            self.step = step
            self.tell(9, endpoint_entry("s-1"), entry)
            self.assertIs(self.network.proxy.engine.context.endpoints["s-2"], state)
            self.tell(10, {**entry, "weight": 2.0}, full=False)
            self.assertIs(self.network.proxy.engine.context.endpoints["s-2"], state)

    def test_small_differences_are_no_step(self):
        self.step = 50
        self.tell(8, endpoint_entry("s-2", started_ms=self.wall_ms()))
        started = self.network.proxy.listed_endpoints["s-2"].started
        self.assertEqual(started, self.network.proxy.clock() + 50)

    def test_starts_of_endpoints_that_left_are_forgotten(self):
        for version in range(8, 40):
            name = f"s-{version}"
            self.tell(version, endpoint_entry(name, started_ms=self.wall_ms()))
        self.assertEqual(len(self.network.proxy.endpoints.start_times._corrected), 1)

    def test_process_reads_the_present_difference_of_the_clocks(self):
        from thymeknot.service import lifecycle

        with mock.patch.object(lifecycle.time, "time_ns", lambda: 5 * 10**18):
            expected = 5 * 10**18 // lifecycle.TICK_NANOSECONDS - lifecycle.clock()
            self.assertAlmostEqual(lifecycle.current_epoch(), expected, delta=10_000)
        self.assertEqual(StartTimes(0, lambda: 0, lambda: 0).correct(()), ())


if __name__ == "__main__":
    unittest.main()

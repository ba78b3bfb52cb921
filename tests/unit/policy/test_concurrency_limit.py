"""How many requests may be open."""

import unittest

from tests.support.decisions import LANES, NOW, balancer
from thymeknot.interface.clock import TICKS_PER_SECOND


class ConcurrencyLimitTest(unittest.TestCase):
    def test_a_new_instance_does_not_take_silence_for_overload(self):
        made = balancer()
        made.context.first_traffic_at = NOW - TICKS_PER_SECOND // 2
        self.assertGreater(
            made.admission.concurrency_limit(
                NOW,
                made.context.settings.request_classes["read"],
                NOW - made.context.first_traffic_at,
            ),
            100,
        )

    def test_beyond_the_limit_the_cheapest_lane_is_deferred_first(self):
        made = balancer()
        for lane in ("read", "pay"):
            made.admission.record_latency(NOW, LANES[lane], 100)
        self.assertLess(
            *(
                made.admission.concurrency_limit(NOW, LANES[lane], 5 * TICKS_PER_SECOND)
                for lane in ("read", "pay")
            )
        )

"""The concurrency limit of open requests."""

import unittest

from tests.support.decisions import NOW, REQUEST_CLASSES, make_engine
from thymeknot.interface.clock import TICKS_PER_SECOND


class ConcurrencyLimitTest(unittest.TestCase):
    def test_lack_of_responses_at_start_does_not_limit_a_new_instance(self):
        engine = make_engine()
        engine.context.first_traffic_at = NOW - TICKS_PER_SECOND // 2
        self.assertGreater(
            engine.admission.concurrency_limit(
                NOW,
                engine.context.settings.request_classes["read"],
                NOW - engine.context.first_traffic_at,
            ),
            100,
        )

    def test_class_with_lowest_priority_weight_has_the_lowest_limit(self):
        engine = make_engine()
        for request_class in ("read", "pay"):
            engine.admission.record_latency(NOW, REQUEST_CLASSES[request_class], 100)
        self.assertLess(
            *(
                engine.admission.concurrency_limit(
                    NOW, REQUEST_CLASSES[request_class], 5 * TICKS_PER_SECOND
                )
                for request_class in ("read", "pay")
            )
        )

"""The windows in which requests are counted."""

import unittest
from unittest import mock

from tests.support.decisions import NOW, balancer, news, taken
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.state import sliding_window
from thymeknot.state.sliding_window import SlidingWindow, get_or_create_window
from thymeknot.state.trial_exposure import TrialExposure


class RequestWindowsTest(unittest.TestCase):
    def test_a_ring_forgets_in_time(self):
        ring = SlidingWindow(TICKS_PER_SECOND, 10)
        ring.add(NOW, 3)
        self.assertEqual(ring.total(NOW + TICKS_PER_SECOND), 3)
        self.assertEqual(ring.total(NOW + TICKS_PER_SECOND, exclude_oldest=True), 0)
        self.assertEqual(ring.total(NOW + 2 * TICKS_PER_SECOND), 0)

    def test_rings_are_made_once_for_each_key_and_not_with_every_transaction(self):
        with mock.patch.object(sliding_window, "SlidingWindow", wraps=SlidingWindow) as made:
            rings = {}
            kept = [
                get_or_create_window(rings, key, TICKS_PER_SECOND, 10)
                for key in ("read", "buy", "read", False, False)
            ]
        self.assertEqual((made.call_count, len(rings)), (3, 3))
        self.assertTrue(kept[0] is kept[2] is not kept[1] and kept[3] is kept[4])

    def test_a_transaction_like_those_before_it_makes_no_ring(self):
        made, told = balancer(told=news()), news()
        exposure = TrialExposure(made.context.settings)

        def one(name):
            made.handle(NOW, [taken(name)])
            exposure.count_received(NOW, "read")
            exposure.count_written(NOW, told, told.build, "read")
            exposure.allows(NOW, told, told.build, "read")

        one("first")
        with mock.patch.object(
            SlidingWindow, "__init__", autospec=True, side_effect=SlidingWindow.__init__
        ) as rings:
            one("next")
        self.assertEqual(rings.call_count, 0)

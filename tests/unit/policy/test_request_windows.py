"""Sliding windows that count requests."""

import unittest
from unittest import mock

from tests.support.decisions import NOW, make_engine, make_release_update, make_request
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.state import sliding_window
from thymeknot.state.sliding_window import SlidingWindow, get_or_create_window
from thymeknot.state.trial_exposure import TrialExposure


class RequestWindowsTest(unittest.TestCase):
    def test_amounts_expire_after_the_span(self):
        window = SlidingWindow(TICKS_PER_SECOND, 10)
        window.add(NOW, 3)
        self.assertEqual(window.total(NOW + TICKS_PER_SECOND), 3)
        self.assertEqual(window.total(NOW + TICKS_PER_SECOND, exclude_oldest=True), 0)
        self.assertEqual(window.total(NOW + 2 * TICKS_PER_SECOND), 0)

    def test_get_or_create_window_constructs_one_window_per_key(self):
        with mock.patch.object(sliding_window, "SlidingWindow", wraps=SlidingWindow) as constructor:
            windows = {}
            kept = [
                get_or_create_window(windows, key, TICKS_PER_SECOND, 10)
                for key in ("read", "buy", "read", False, False)
            ]
        self.assertEqual((constructor.call_count, len(windows)), (3, 3))
        self.assertTrue(kept[0] is kept[2] is not kept[1] and kept[3] is kept[4])

    def test_repeated_requests_construct_no_further_windows(self):
        engine, release = make_engine(release_update=make_release_update()), make_release_update()
        exposure = TrialExposure(engine.context.settings)

        def send_request(name):
            engine.handle(NOW, [make_request(name)])
            exposure.count_received(NOW, "read")
            exposure.count_written(NOW, release, release.build, "read")
            exposure.allows(NOW, release, release.build, "read")

        send_request("first")
        with mock.patch.object(
            SlidingWindow, "__init__", autospec=True, side_effect=SlidingWindow.__init__
        ) as constructor:
            send_request("next")
        self.assertEqual(constructor.call_count, 0)

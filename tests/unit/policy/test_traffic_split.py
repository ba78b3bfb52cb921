"""The fraction of the keys that the newest build serves."""

import unittest

from tests.support.decisions import (
    NOW,
    attempted_endpoints,
    make_engine,
    make_release_update,
    make_request,
)
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.state.key_hash import key_position


class TrafficSplitTest(unittest.TestCase):
    def test_key_position_is_fnv_1a(self):
        self.assertEqual(key_position(""), 2166136261 / 4294967295)
        self.assertEqual(key_position("a"), 0xE40C292C / 4294967295)

    def test_the_fraction_rises_to_its_target_and_never_falls(self):
        engine = make_engine(release_update=make_release_update(cap=0.25))
        engine.split.fraction_updated_at = NOW - TICKS_PER_SECOND
        engine.raise_split()
        self.assertAlmostEqual(engine.split.fraction, 0.1)
        engine.context.now += 9 * TICKS_PER_SECOND
        engine.raise_split()
        self.assertAlmostEqual(engine.split.fraction, 0.2)
        engine.context.endpoints.pop("new-1")
        engine.raise_split()
        self.assertAlmostEqual(engine.split.fraction, 0.2)

    def test_keys_below_the_fraction_go_to_the_newest_build(self):
        engine = make_engine(release_update=make_release_update(cap=1.0))
        engine.split.fraction = 0.5
        for key in ("k1", "k2", "k3", "k4", "k5", "k6"):
            went = attempted_endpoints(engine.handle(NOW, [make_request(key, key=key)]))[0]
            self.assertEqual(went == "new-1", key_position(key) < 0.5, key)

    def test_failing_and_hot_keys_go_to_the_earlier_build(self):
        engine = make_engine(release_update=make_release_update(cap=1.0))
        engine.split.fraction = 1.0
        engine.split.failing_keys.add("bad")
        engine.split.recent_keys["hot"] = 50
        self.assertIn(
            attempted_endpoints(engine.handle(NOW, [make_request("t1", key="bad")]))[0],
            ("old-1", "old-2"),
        )
        self.assertIn(
            attempted_endpoints(engine.handle(NOW, [make_request("t2", key="hot")]))[0],
            ("old-1", "old-2"),
        )

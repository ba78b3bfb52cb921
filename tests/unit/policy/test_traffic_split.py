"""Which keys go to the newest build."""

import unittest

from tests.support.decisions import NOW, balancer, news, sent, taken
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.state.key_hash import key_position


class TrafficSplitTest(unittest.TestCase):
    def test_position_is_fnv_1a(self):
        self.assertEqual(key_position(""), 2166136261 / 4294967295)
        self.assertEqual(key_position("a"), 0xE40C292C / 4294967295)

    def test_the_ramp_climbs_to_its_target_and_never_falls(self):
        made = balancer(told=news(cap=0.25))
        made.split.fraction_updated_at = NOW - TICKS_PER_SECOND
        made.raise_split()
        self.assertAlmostEqual(made.split.fraction, 0.1)
        made.context.now += 9 * TICKS_PER_SECOND
        made.raise_split()
        self.assertAlmostEqual(made.split.fraction, 0.2)
        made.context.endpoints.pop("new-1")
        made.raise_split()
        self.assertAlmostEqual(made.split.fraction, 0.2)

    def test_keys_below_the_ramp_go_to_the_trial(self):
        made = balancer(told=news(cap=1.0))
        made.split.fraction = 0.5
        for key in ("k1", "k2", "k3", "k4", "k5", "k6"):
            went = sent(made.handle(NOW, [taken(key, key=key)]))[0]
            self.assertEqual(went == "new-1", key_position(key) < 0.5, key)

    def test_a_failing_key_and_a_hot_one_leave_the_trial(self):
        made = balancer(told=news(cap=1.0))
        made.split.fraction = 1.0
        made.split.failing_keys.add("bad")
        made.split.recent_keys["hot"] = 50
        self.assertIn(sent(made.handle(NOW, [taken("t1", key="bad")]))[0], ("old-1", "old-2"))
        self.assertIn(sent(made.handle(NOW, [taken("t2", key="hot")]))[0], ("old-1", "old-2"))

"""Why work is turned away, in sums; and the laboratory's days of a fleet, whose faults must do what they say."""

import unittest

from thymeknot import interface as i
from thymeknot.laboratory import crowds
from thymeknot.laboratory.fleet import Fleet, balancer
from thymeknot.reasons import Reason as R
from thymeknot.service.refusals import EVERY, Refusals

from .helpers import NOW, SECOND, ended, pod, taken
from .helpers import balancer as made_of


class Sums(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.refusals = Refusals(lambda event, **fields: self.lines.append((event, fields)))
        self.refusals.due(NOW)

    def told(self, *reasons):
        for reason in reasons:
            self.refusals.hear("t", reason)

    def test_nothing_turned_away_is_no_line(self):
        self.told(R.POSITION, R.SENT, R.ENDED, R.DONE)
        self.assertEqual((self.refusals.due(NOW), self.lines), (NOW + EVERY, []))

    def test_each_final_answer_counts_under_what_decided_it(self):
        self.told(R.OVER_LIMIT, R.DEFERRED)
        self.told(R.OVER_LIMIT, R.DEFERRED)
        self.told(R.POSITION, R.SENT, R.ENDED, R.TIME_OVER, R.ABANDONED)
        self.told(R.POSITION, R.COLD, R.NO_POD, R.VOTED, R.DEFERRED)
        self.refusals.due(NOW + EVERY, pressure=0.5)
        self.assertEqual(self.lines, [("turned away", {
            "seconds": 5.0, "deferred": {"OVER_LIMIT": 2, "NO_POD/COLD": 1}, "abandoned": {"TIME_OVER": 1},
            "pressure": 0.5})])
        self.refusals.due(NOW + 2 * EVERY)
        self.assertEqual(len(self.lines), 1)

    def test_what_is_kept_is_bounded_by_the_reasons(self):
        for first in R:
            for reason in R:
                self.told(first, reason, R.DEFERRED, first, reason, R.ABANDONED)
        self.assertLess(len(self.refusals.counts), 3 * len(R))

    def test_the_record_hears_it_too(self):
        heard = []
        self.refusals.then = lambda *told: heard.append(told)
        self.refusals.hear("t", R.DEFERRED, 50)
        self.assertEqual(heard, [("t", R.DEFERRED, 50)])

    def test_the_decisions_name_what_turned_it_away(self):
        made = made_of(pod("a"), max_deliveries=1)
        made.say = self.refusals.hear
        made.handle(NOW, [taken()])
        made.handle(NOW, [ended(outcome=i.FULL, address="a")])
        self.refusals.due(NOW + EVERY)
        self.assertEqual(self.lines[0][1]["deferred"], {"MOST_DELIVERIES": 1})


class Faults(unittest.TestCase):
    """What a fault does to what reaches pods and instances, seen from outside the decisions."""

    def made(self, kind, seed=3):
        day, (begin, _) = crowds.drawn(seed, kind, 9, 6, 20, 0.3, good=True)
        return Fleet(day._replace(offers=()), balancer), begin

    def test_the_same_seed_is_the_same_day(self):
        self.assertEqual(repr(crowds.drawn(5, "zone", 20, 12)), repr(crowds.drawn(5, "zone", 20, 12)))
        self.assertNotEqual(repr(crowds.drawn(5, "zone", 20, 12)), repr(crowds.drawn(6, "zone", 20, 12)))

    def test_a_lost_zone_says_nothing_and_comes_back_cold(self):
        fleet, _ = self.made("zone")
        fleet.now = 8 * SECOND
        fleet._zone("b", True)
        lost = [one for one in fleet.pods.values() if one.zone == "b"]
        self.assertTrue(lost and all(one.silent for one in lost))
        fleet.now = 13 * SECOND
        fleet._zone("b", False)
        back = [fleet.pods[one.name] for one in lost]
        self.assertTrue(all(one.started == fleet.now and one.warmth(fleet.now) < 0.5 for one in back))
        self.assertFalse(any(one.silent for one in back))

    def test_a_zone_that_is_cut_off_reaches_itself_alone_and_no_platform(self):
        fleet, _ = self.made("split")
        fleet.cuts = {"b"}
        inside, outside = 1, 0
        reached = {one.zone: (fleet._reached(inside, one), fleet._reached(outside, one)) for one in fleet.pods.values()}
        self.assertEqual(reached, {"a": (False, True), "b": (True, False), "c": (False, True)})
        self.assertEqual((fleet._off(inside), fleet._off(outside)), (True, False))

    def test_what_a_pause_holds_up_is_done_after_it(self):
        fleet, _ = self.made("herd")
        some = next(iter(fleet.pods.values()))
        some.paused = 5 * SECOND
        fleet.now = SECOND
        fleet._served(some, None)
        self.assertEqual(fleet.heap[0][0], 5 * SECOND + 1)
        self.assertFalse(some.fits(SECOND, SECOND))

    def test_the_platform_turns_votes_away_beyond_its_calls(self):
        fleet, _ = self.made("calm")
        fleet.day = fleet.day._replace(terms=fleet.day.terms._replace(votes_per_s=2.0))
        fleet.news, fleet.calls = [2, 0, i.ON_TRIAL, 0.08], 4.0
        for instance in range(9):
            fleet._vote(instance, fleet.turns[instance], i.Vote(2, 0, i.ON))
        self.assertEqual(fleet.votes_asked["full"], 5)
        fleet.now = fleet.calls_at = SECOND
        fleet.now = 2 * SECOND
        fleet._vote(0, fleet.turns[0], i.Vote(2, 0, i.ON))
        self.assertEqual(fleet.votes_asked["full"], 5)

    def test_days_of_each_kind_keep_the_rules(self):
        for kind in crowds.KINDS:
            day, _ = crowds.drawn(2, kind, 12, 9, 15, 0.4)
            self.assertEqual(Fleet(day, balancer).play().checker.broken, [], kind)

"""How often one of many asks again, and the laboratory's service that is asked."""

import heapq
import unittest

from hypothesis import given
from hypothesis import strategies as st

from thymeknot.asking.pace import AGAIN, FRESH, LONGEST, LOST, REFUSED, SPREAD_MOST, STEADY, STOOD, Pace
from thymeknot.laboratory.agents import IDLE, Connections, Discovery, EarlierPace
from thymeknot.laboratory.crowds import VAST, vast
from thymeknot.laboratory.experiments import crowd_played
from thymeknot.records import Chance


class Waits(unittest.TestCase):
    def test_a_refusal_makes_it_rarer_and_what_stands_makes_it_usual(self):
        pace = Pace(lambda: 0.5)
        waits = [pace.ended(REFUSED) for _ in range(6)]
        self.assertEqual(waits, [20_000, 40_000, 60_000, 60_000, 60_000, 60_000])
        self.assertEqual((pace.ended(LOST), pace.refusals), (60_000, 6))
        self.assertEqual((pace.ended(STOOD), pace.state, pace.refusals), (5_000, FRESH, 0))

    def test_a_cut_link_is_tried_as_usual_and_what_stood_long_was_not_refused(self):
        pace = Pace(lambda: 0.5)
        self.assertEqual([pace.ended(LOST) for _ in range(5)], [5_000] * 5)
        self.assertEqual((pace.ended(REFUSED, STEADY), pace.state), (5_000, FRESH))
        self.assertEqual(pace.ended(REFUSED, STEADY - 1), 20_000)

    @given(st.lists(st.tuples(st.sampled_from((REFUSED, LOST, STOOD)), st.integers(0, 10 * STEADY)), max_size=60),
           st.integers(1, 2 ** 60), st.integers(1, 10_000))
    def test_it_is_asked_again_within_bounds_whatever_comes(self, ends, seed, asking):
        pace = Pace(Chance(seed).draw)
        self.assertTrue(0 <= pace.first(asking) <= SPREAD_MOST)
        for how, age in ends:
            self.assertTrue(AGAIN[0] <= pace.ended(how, age) <= LONGEST)


class Agents(unittest.TestCase):
    def served(self, pace, seconds, count=40, rate=8):
        """How many of these have a list after so long, and the calls made."""
        heap, now, booked = [], [0], [0]

        def at(moment, call, *arguments):
            booked[0] += 1
            heapq.heappush(heap, (moment, booked[0], call, arguments))
        have = set()

        def told(instance, turn, whole):
            if whole:
                have.add(instance)
            return True
        service = Discovery(rate, at, lambda: now[0], told)
        for instance in range(count):
            service.begin(instance, 1, pace(Chance(instance + 1 << 33).draw), count)
        while heap and heap[0][0] <= seconds * 10_000:
            now[0], _, call, arguments = heapq.heappop(heap)
            call(*arguments)
        return len(service.standing), service.calls

    def test_all_have_a_list_where_each_asks_less_often(self):
        have, calls = self.served(Pace, 20)
        before, more = self.served(EarlierPace, 20)
        self.assertEqual(have, 40)
        self.assertLess(calls, 160)
        self.assertLess(before, 40)
        self.assertGreater(more, 5 * calls)

    def test_connections_are_used_again_refused_and_expire(self):
        some, line, other = Connections(1), (0, 1, "p"), (1, 1, "p")
        self.assertTrue(some.take(0, line, "p"))
        self.assertFalse(some.take(0, other, "p"))
        some.give(10, line, "p", True)
        self.assertTrue(some.take(20, line, "p"))
        some.give(30, line, "p", True)
        self.assertFalse(some.take(40, other, "p"))
        self.assertTrue(some.take(40 + IDLE, other, "p"))
        some.give(50 + IDLE, other, "p", False)
        self.assertEqual((some.made, some.refused, some.held["p"]), (2, 2, 0))
        self.assertTrue(some.take(60 + IDLE, line, "p"))
        some.drop(lambda line: line[0] == 0)
        some.give(70 + IDLE, line, "p", True)  # what its process held is gone with it
        self.assertEqual(some.held["p"], 0)


class VastDays(unittest.TestCase):
    def test_the_same_seed_gives_the_same_day_and_result(self):
        size = {"instances": 9, "pods": 9, "seconds": 14}
        for kind in VAST:
            self.assertEqual(vast(3, kind, **size), vast(3, kind, **size))
            one, two = (crowd_played(("now", kind, 3, size)) for _ in range(2))
            self.assertEqual(one, two)
            self.assertEqual(one["rules_broken"], [])
            self.assertGreater(one["service"], 0.5)
            self.assertGreater(one["handshakes_per_transaction"], 0)
        self.assertGreater(crowd_played(("now", VAST[0], 3, size))["lists_per_instance"], 0.9)


if __name__ == "__main__":
    unittest.main()

"""The soak in short: a few plays of real processes, some planted faults, and orders of other seeds.

The long run is started by hand: make soak SEEDS=1-50.
"""

import unittest
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from tests.soak import campaign, orders
from tests.soak.checks import Checks
from tests.soak.ledger import Ledger, Request
from tests.soak.plan import CROWD_EACH, Early, Ending, Feature, Habit, Trouble, drawn

SEEDS = (1, 2, 4, 5, 6)
PLANTED = ("an answer that is dropped", "keys that do not stay", "an end that never comes")
ORDERS = (1, 2)  # seeds
LISTS = 60  # of orders a seed
JOBS = 3


class Soak(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.pool = ProcessPoolExecutor(JOBS, mp_context=get_context("spawn"))
        cls.addClassCleanup(cls.pool.shutdown)

    def test_plays(self):
        for seed, plan, seen, text in self.pool.map(campaign.play_seed, SEEDS):
            with self.subTest(seed=seed):
                print(f"soak {seed}: {plan}; {seen}")
                self.assertEqual(text, "", f"\n{text}")

    def test_planted_faults_are_found(self):
        for name, seeds, found in self.pool.map(campaign.play_planted, PLANTED):
            with self.subTest(name, seeds=seeds):
                self.assertIsNotNone(found)

    def test_orders_of_other_seeds(self):
        for seed, found in zip(ORDERS, self.pool.map(orders.failing, ORDERS, [LISTS] * 2)):
            with self.subTest(seed=seed):
                self.assertIsNone(found)


class Plans(unittest.TestCase):
    def test_a_seed_draws_the_same_play_again_and_others_draw_others(self):
        plans = [drawn(seed) for seed in range(1, 51)]
        self.assertEqual(plans, [drawn(seed) for seed in range(1, 51)])
        self.assertEqual(len({str(plan) for plan in plans}), 50)

    def test_fifty_seeds_draw_everything(self):
        plans = [drawn(seed) for seed in range(1, 51)]
        self.assertEqual({plan.feature for plan in plans}, set(Feature))
        self.assertEqual({plan.early for plan in plans}, set(Early))
        self.assertEqual({plan.ending for plan in plans}, set(Ending))
        self.assertEqual({plan.instances for plan in plans}, {1, 2, 3})
        clients = [client for plan in plans for client in plan.clients]
        self.assertEqual({client.habit for client in clients}, set(Habit))
        troubles = {(whose, what) for plan in plans for _, whose, what in plan.troubles}
        self.assertEqual(
            troubles, {(whose, what) for whose in ("discovery", "platform") for what in Trouble}
        )
        self.assertEqual(
            [bool(plan.crowd) for plan in plans], [seed % CROWD_EACH == 0 for seed in range(1, 51)]
        )

    def test_an_answer_is_due_no_sooner_than_those_before_it_and_no_later(self):
        """Two are read only once an earlier one has its answer; the last of them has less time than the one before."""

        def sent(deadline, **more):
            return Request("r", 0, "read", "k", "", deadline, 0.0, 0, due_after=3.0, **more)

        first = sent(3.0, answers=[(1.5, b"$1\r\na\r\n")])
        long = sent(3.0, follows=first, released_by=first)
        short = sent(0.3, follows=long, released_by=first)
        self.assertEqual([one.due() for one in (first, long, short)], [3.0, 4.5, 3.0])
        self.assertEqual([one.answer_due() for one in (first, long, short)], [3.0, 4.5, 4.5])
        first.answers = []
        self.assertEqual(short.answer_due(), float("inf"))

    def test_a_play_in_which_nothing_was_seen_breaks_nothing(self):
        self.assertEqual(Checks(drawn(1), Ledger(lambda: 0.0)).run(), [])


if __name__ == "__main__":
    unittest.main()

"""Short soak test: real processes under random plans, injected faults and event orders.

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
INJECTED_FAULTS = ("an answer that is dropped", "keys that do not stay", "an end that never comes")
ORDER_SEEDS = (1, 2)
LISTS_PER_SEED = 60  # lists of events drawn for each seed
WORKER_PROCESSES = 3


class SoakTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.pool = ProcessPoolExecutor(WORKER_PROCESSES, mp_context=get_context("spawn"))
        cls.addClassCleanup(cls.pool.shutdown)

    def test_plans_of_several_seeds(self):
        for seed, plan, seen, failures in self.pool.map(campaign.play_seed, SEEDS):
            with self.subTest(seed=seed):
                print(f"soak {seed}: {plan}; {seen}")
                self.assertEqual(failures, "", f"\n{failures}")

    def test_injected_faults_are_found(self):
        for name, seeds, found in self.pool.map(campaign.play_planted, INJECTED_FAULTS):
            with self.subTest(name, seeds=seeds):
                self.assertIsNotNone(found)

    def test_event_orders_of_other_seeds(self):
        for seed, found in zip(
            ORDER_SEEDS, self.pool.map(orders.failing, ORDER_SEEDS, [LISTS_PER_SEED] * 2)
        ):
            with self.subTest(seed=seed):
                self.assertIsNone(found)


class PlanTest(unittest.TestCase):
    def test_plans_are_reproducible_and_differ_between_seeds(self):
        plans = [drawn(seed) for seed in range(1, 51)]
        self.assertEqual(plans, [drawn(seed) for seed in range(1, 51)])
        self.assertEqual(len({str(plan) for plan in plans}), 50)

    def test_fifty_seeds_cover_all_values(self):
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

    def test_answer_is_due_with_the_answers_before_it(self):
        """Two requests are read only after an earlier answer; the last has the shortest deadline."""

        def sent(deadline, **options):
            return Request("r", 0, "read", "k", "", deadline, 0.0, 0, due_after=3.0, **options)

        first = sent(3.0, answers=[(1.5, b"$1\r\na\r\n")])
        long = sent(3.0, follows=first, released_by=first)
        short = sent(0.3, follows=long, released_by=first)
        self.assertEqual([request.due() for request in (first, long, short)], [3.0, 4.5, 3.0])
        self.assertEqual(
            [request.answer_due() for request in (first, long, short)], [3.0, 4.5, 4.5]
        )
        first.answers = []
        self.assertEqual(short.answer_due(), float("inf"))

    def test_empty_ledger_has_no_violations(self):
        self.assertEqual(Checks(drawn(1), Ledger(lambda: 0.0)).run(), [])


if __name__ == "__main__":
    unittest.main()

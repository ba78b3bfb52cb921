"""Short soak test: real processes under random plans, injected faults and event orders.

The long run is started by hand: make soak SEEDS=1-50.
"""

import unittest
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from tests.soak import campaign, orders
from tests.soak.checks import Checks
from tests.soak.ledger import Observations, Request
from tests.soak.plan import (
    BURST_SEED_INTERVAL,
    CROWD_KINDS,
    MEMORY_LIMITS_MB,
    ClientBehaviour,
    EarlySignal,
    Feature,
    PeerFault,
    Shutdown,
    draw_plan,
)
from tests.soak.returns import run_returns

SEEDS = (1, 2, 4, 5, 6)
INJECTED_FAULTS = (
    "dropped response",
    "keys not sticky",
    "shutdown that never ends",
    "handshakes dropped at the close",
    "each connection waits by its own timers",
)
ORDER_SEEDS = (1, 2)
LISTS_PER_SEED = 60  # lists of events drawn for each seed
WORKER_PROCESSES = 3
RETURNS_SECONDS = 4.0


class SoakTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.pool = ProcessPoolExecutor(WORKER_PROCESSES, mp_context=get_context("spawn"))
        cls.addClassCleanup(cls.pool.shutdown)

    def test_plans_of_several_seeds(self):
        for seed, plan, seen, failures in self.pool.map(campaign.run_seed, SEEDS):
            with self.subTest(seed=seed):
                print(f"soak {seed}: {plan}; {seen}")
                self.assertEqual(failures, "", f"\n{failures}")

    def test_injected_faults_are_found(self):
        for name, seeds, found in self.pool.map(campaign.run_injected_fault, INJECTED_FAULTS):
            with self.subTest(name, seeds=seeds):
                self.assertIsNotNone(found)

    def test_event_orders_of_other_seeds(self):
        for seed, found in zip(
            ORDER_SEEDS,
            self.pool.map(orders.find_failing_orders, ORDER_SEEDS, [LISTS_PER_SEED] * 2),
        ):
            with self.subTest(seed=seed):
                self.assertIsNone(found)


class ReturnsTest(unittest.TestCase):
    def test_no_connection_is_reset_by_drains_in_series(self):
        """Guards against a reset of a client whose connect() succeeded as the listener closed."""
        result = run_returns(RETURNS_SECONDS)
        self.assertEqual(result.lost, [])
        self.assertGreater(result.drains, 20)
        self.assertGreater(result.answered, 500)

    def test_injected_fault_is_found(self):
        # The fault also drops what a client sends again, so one may wait in vain; with a wait as long
        # as the play all of them did at times, and none was there to be reset.
        result = run_returns(
            RETURNS_SECONDS, "handshakes dropped at the close", RETURNS_SECONDS / 8
        )
        self.assertNotEqual(result.resets(), [])


class PlanTest(unittest.TestCase):
    def test_plans_are_reproducible_and_differ_between_seeds(self):
        plans = [draw_plan(seed) for seed in range(1, 51)]
        self.assertEqual(plans, [draw_plan(seed) for seed in range(1, 51)])
        self.assertEqual(len({str(plan) for plan in plans}), 50)

    def test_fifty_seeds_cover_all_values(self):
        plans = [draw_plan(seed) for seed in range(1, 51)]
        self.assertEqual({plan.feature for plan in plans}, set(Feature))
        self.assertEqual({plan.early_signal for plan in plans}, set(EarlySignal))
        self.assertEqual({plan.shutdown for plan in plans}, set(Shutdown))
        self.assertEqual({plan.instance_count for plan in plans}, {1, 2, 3})
        self.assertEqual({plan.crowd_kind for plan in plans}, {None, *CROWD_KINDS})
        self.assertEqual({plan.memory_mb for plan in plans}, set(MEMORY_LIMITS_MB))
        killed = [plan for plan in plans if plan.shutdown == Shutdown.KILL_AND_RESTART]
        self.assertEqual({plan.second_kill for plan in killed}, {True, False})
        self.assertTrue(all(plan.racing_clients for plan in plans))
        half_command_times = [at for plan in plans for at in plan.half_command_times]
        self.assertTrue(min(half_command_times) < 0.3 and max(half_command_times) > 2.3)
        clients = [client for plan in plans for client in plan.clients]
        self.assertEqual({client.behaviour for client in clients}, set(ClientBehaviour))
        peer_faults = {(peer, fault) for plan in plans for _, peer, fault in plan.peer_faults}
        self.assertEqual(
            peer_faults,
            {(peer, fault) for peer in ("discovery", "platform") for fault in PeerFault},
        )
        self.assertEqual(
            [bool(plan.burst_size) for plan in plans],
            [seed % BURST_SEED_INTERVAL == 0 for seed in range(1, 51)],
        )

    def test_answer_is_due_with_the_answers_before_it(self):
        """Two requests are read only after an earlier answer; the last has the shortest deadline."""

        def sent(deadline, **options):
            return Request(
                "r", 0, "read", "k", "", deadline, 0.0, 0, pipeline_deadline_at=3.0, **options
            )

        first = sent(3.0, responses=[(1.5, b"$1\r\na\r\n")])
        long = sent(3.0, previous=first, read_after=first)
        short = sent(0.3, previous=long, read_after=first)
        self.assertEqual(
            [request.deadline_at() for request in (first, long, short)], [3.0, 4.5, 3.0]
        )
        self.assertEqual(
            [request.response_deadline_at() for request in (first, long, short)], [3.0, 4.5, 4.5]
        )
        first.responses = []
        self.assertEqual(short.response_deadline_at(), float("inf"))

    def test_empty_ledger_has_no_violations(self):
        self.assertEqual(Checks(draw_plan(1), Observations(lambda: 0.0)).run(), [])


if __name__ == "__main__":
    unittest.main()

"""The memory of open requests is bounded, and shared among those who hold it."""

import unittest

from thymeknot.policy.memory_budget import (
    BYTES_PER_MEGABYTE,
    REQUEST_OVERHEAD_BYTES,
    MemoryBudget,
)

SIZE = 64 * 1024 - REQUEST_OVERHEAD_BYTES


def fill(budget, owners, size=SIZE):
    """Opens requests for the owners in turn, until none is allowed."""
    opened = True
    while opened:
        opened = False
        for owner in owners:
            if budget.allows(owner, size):
                budget.charge(owner, size)
                opened = True


class MemoryBudgetTest(unittest.TestCase):
    def test_owners_share_the_budget_and_leave_a_part_free(self):
        for count in (1, 2, 7, 24):
            budget = MemoryBudget(64)
            fill(budget, range(count))
            share = budget.limit / (count + 1)
            for owner in range(count):
                self.assertAlmostEqual(budget.held[owner], share, delta=2 * 64 * 1024)
            self.assertLessEqual(budget.used, budget.limit)
            self.assertTrue(budget.allows("another", 1024))

    def test_many_owners_never_exceed_the_budget(self):
        budget = MemoryBudget(16)
        fill(budget, range(5_000))
        self.assertLessEqual(budget.used, budget.limit)

    def test_budget_follows_the_memory_limit(self):
        budget = MemoryBudget(64)
        self.assertEqual(budget.limit, 8 * BYTES_PER_MEGABYTE)
        fill(budget, ["a"])
        budget.set_memory_limit(1)
        self.assertFalse(budget.allows("b", 0))
        budget.set_memory_limit(64)
        self.assertTrue(budget.allows("b", 0))

    def test_released_requests_leave_nothing(self):
        budget = MemoryBudget(64)
        for size in (0, 1, 1000):
            budget.charge("a", size)
        for size in (1000, 0, 1):
            budget.release("a", size)
        self.assertEqual((budget.used, budget.held), (0, {}))


if __name__ == "__main__":
    unittest.main()

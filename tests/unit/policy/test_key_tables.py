"""Tables that are keyed by what clients choose are bounded in number and in size."""

import sys
import unittest

from tests.support.decisions import NOW, make_engine, make_release_update, make_request
from thymeknot.interface.events import LateResponseSeen
from thymeknot.policy.sticky_keys import MAX_REMEMBERED_KEYS
from thymeknot.policy.traffic_split import MAX_RECENT_KEYS
from thymeknot.state.key_hash import MAX_TABLE_KEY_LENGTH, table_key

LONG = "k" * 60_000


class TableKeyTest(unittest.TestCase):
    def test_short_names_stand_for_themselves_and_long_ones_take_little(self):
        self.assertEqual(table_key("x" * MAX_TABLE_KEY_LENGTH), "x" * MAX_TABLE_KEY_LENGTH)
        names = {table_key(f"{LONG}{number}") for number in range(2_000)}
        self.assertEqual(len(names), 2_000)
        self.assertLess(max(map(sys.getsizeof, names)), 200)
        self.assertEqual({table_key(name) for name in names}, names)


class KeyTablesTest(unittest.TestCase):
    # Guards against memory that grows without end under ever new, long keys.
    def test_tables_are_bounded_in_number_and_in_bytes(self):
        engine = make_engine(release_update=make_release_update(cap=1.0))
        for number in range(MAX_RECENT_KEYS + 2_000):
            engine.split.count_key(f"{number}{LONG}")
        build = engine.context.release.build
        for number in range(MAX_REMEMBERED_KEYS + 10):
            engine.sticky_keys.pin(LateResponseSeen(f"{number}{LONG}", build))
        for table in (engine.split.recent_keys, engine.sticky_keys.pinned_keys):
            self.assertLessEqual(len(table), 10_000)
            self.assertLess(sum(map(sys.getsizeof, table)), 10_000 * 200)

    def test_hot_key_is_found_among_ever_new_keys(self):
        engine = make_engine(release_update=make_release_update(cap=1.0))
        for number in range(3 * MAX_RECENT_KEYS):
            engine.split.count_key(f"new-{number}")
            if number % 10 == 0:
                engine.split.count_key(LONG)
        self.assertTrue(engine.split._is_hot(table_key(LONG)))

    def test_long_key_stays_with_the_build_that_answered_it(self):
        engine = make_engine(release_update=make_release_update(cap=1.0))
        engine.sticky_keys.pin(LateResponseSeen(LONG, engine.context.release.build))
        self.assertTrue(engine.key_must_stay(LONG))
        self.assertFalse(engine.key_must_stay(LONG + "x"))
        engine.handle(NOW, [make_request("01", key=LONG)])
        self.assertEqual(
            [len(key) < 100 for _, key in engine.sticky_keys.attempts_in_flight], [True]
        )


if __name__ == "__main__":
    unittest.main()

"""The in-memory log, compared with a plain list of entries."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from thymeknot.raft.log import Log, initial_snapshot
from thymeknot.raft.records import Entry, Snapshot


class LogTests(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.sampled_from(("append", "truncate", "compact")), st.integers(1, 6)),
            max_size=30,
        )
    )
    def test_log_matches_a_list_after_random_operations(self, steps):
        log, expected, compacted_index = Log(initial_snapshot("a")), [], 0
        for term, (operation, count) in enumerate(steps, 1):
            if operation == "append":
                for _ in range(count):
                    expected.append(Entry(len(expected) + 1, term, term, "o", 1, 1, {"part": "x"}))
                    log.append(expected[-1])
            elif operation == "truncate" and log.last_index - count >= compacted_index:
                log.truncate(log.last_index - count + 1)
                del expected[len(expected) - count :]
            elif operation == "compact" and log.last_index > compacted_index:
                compacted_index = min(log.last_index, compacted_index + count)
                last_entry = expected[compacted_index - 1]
                log.compact(
                    Snapshot(
                        compacted_index,
                        last_entry.term,
                        last_entry.at,
                        log.members_at(compacted_index),
                        b"x",
                    ),
                    2,
                )
            self.assertEqual(log.entries, expected[log.base_index :])
            self.assertEqual(
                (log.last_index, log.term(log.last_index)),
                (len(expected), expected[-1].term if expected else 0),
            )


if __name__ == "__main__":
    unittest.main()

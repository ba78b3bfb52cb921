"""The log in memory, against a plain list."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from thymeknot.raft.log import Log, initial_snapshot
from thymeknot.raft.records import Entry, Snapshot


class LogTests(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.sampled_from(("append", "cut", "compact")), st.integers(1, 6)), max_size=30
        )
    )
    def test_log_against_a_list(self, steps):
        log, plain, done = Log(initial_snapshot("a")), [], 0
        for term, (what, some) in enumerate(steps, 1):
            if what == "append":
                for _ in range(some):
                    plain.append(Entry(len(plain) + 1, term, term, "o", 1, 1, {"part": "x"}))
                    log.append(plain[-1])
            elif what == "cut" and log.last_index - some >= done:
                log.truncate(log.last_index - some + 1)
                del plain[len(plain) - some :]
            elif what == "compact" and log.last_index > done:
                done = min(log.last_index, done + some)
                last = plain[done - 1]
                log.compact(Snapshot(done, last.term, last.at, log.members_at(done), b"x"), 2)
            self.assertEqual(log.entries, plain[log.base_index :])
            self.assertEqual(
                (log.last_index, log.term(log.last_index)),
                (len(plain), plain[-1].term if plain else 0),
            )


if __name__ == "__main__":
    unittest.main()

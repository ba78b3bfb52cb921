"""The log that keepers agree on: the core's tables, its store's faults, sessions, and what the explorer finds."""

import errno
import os
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from thymeknot.raft import messages as say
from thymeknot.raft.log import Log, founded
from thymeknot.raft.messages import (
    Append,
    Ask,
    Members,
    Received,
    Recovered,
    Send,
    Stored,
    TimerDue,
    Vote,
)
from thymeknot.raft.model_checker import BROKEN, FOCUS, Register, explore, search
from thymeknot.raft.node import LEADER, LEARNER, STEPS, STOPPED, RaftNode
from thymeknot.raft.settings import RaftSettings, faulty
from thymeknot.raft.state_machine import Parts, Sessions
from thymeknot.raft.storage import DamagedStorageError, Files, RaftStorage
from thymeknot.state.random_source import LinearCongruentialGenerator

TERMS = RaftSettings(snapshot_after=10, keep=2, chunk=64, most_waiting=4, leased_reads=True)
LEAST = TERMS.election.least


def sent(effects, kind=None):
    return [
        (one.peer, one.message)
        for one in effects
        if type(one) is Send and (not kind or type(one.message) is kind)
    ]


def of(effects, kind):
    return [one for one in effects if type(one) is kind]


class Fleet:
    """Keepers whose messages and disks do at once what they are asked, but for those in `gone`."""

    def __init__(self, names="abc", terms=TERMS, more=""):
        self.now, self.gone, self.told = 0, set(), []
        self.all = {
            name: RaftNode(
                name,
                names,
                terms,
                LinearCongruentialGenerator(at),
                Recovered(0 if name in names else 7),
                Register(),
                0,
            )
            for at, name in enumerate(names + more)
        }

    def tell(self, name, event):
        waiting = [(name, event)]
        effects = []
        while waiting:
            name, event = waiting.pop(0)
            for one in self.all[name].handle(self.now, event):
                effects.append(one)
                if type(one) is say.Persist:
                    waiting.append((name, Stored(one.upto)))
                elif (
                    type(one) is Send and not {name, one.peer} & self.gone and one.peer in self.all
                ):
                    waiting.append((one.peer, Received(name, one.message)))
        self.told += effects
        return effects

    def pass_time(self, span, step=100):
        for _ in range(span // step):
            self.now += step
            for name in sorted(self.all.keys() - self.gone):
                self.tell(name, TimerDue())

    def lead(self, name="a"):
        self.pass_time(LEAST)
        self.all[name].due = self.now
        self.tell(name, TimerDue())
        assert self.all[name].role == LEADER
        return self.all[name]

    def propose(self, name, number, token="t", /, **command):
        command = command or {"part": "register", "id": number}
        return self.tell(name, say.Proposed(token, "client", 1, number, command))


class Core(unittest.TestCase):
    def test_table(self):
        for (role, what), (following, effect) in STEPS.items():
            self.assertTrue(
                effect is None or callable(getattr(RaftNode, "_" + effect)), (role, what)
            )
            self.assertTrue(role != STOPPED or following == STOPPED)

    def test_terms(self):
        self.assertIsNone(faulty(RaftSettings()))
        self.assertIn("lease", faulty(RaftSettings(lease=2_950)))
        self.assertIn("heartbeat", faulty(RaftSettings(heartbeat=1_000)))

    def test_agrees_and_reads(self):
        fleet = Fleet()
        fleet.lead()
        effects = fleet.propose("a", 1)
        self.assertEqual(of(effects, say.Answered), [say.Answered("t", {"ok": True, "place": 1})])
        fleet.pass_time(600)
        self.assertEqual([one.machine.order for one in fleet.all.values()], [[1]] * 3)
        self.assertEqual(
            of(fleet.tell("a", say.ReadAsked("r")), say.ReadReady), [say.ReadReady("r", 2)]
        )
        self.assertEqual(
            of(fleet.propose("b", 2), say.Refused), [say.Refused("t", "does not lead", 0, "a")]
        )

    def test_one_keeper_alone_starts_again(self):
        fleet = Fleet("a")
        fleet.lead()
        fleet.propose("a", 1)
        self.assertEqual(
            of(fleet.tell("a", say.ReadAsked("r")), say.ReadReady), [say.ReadReady("r", 2)]
        )
        kept = fleet.all["a"]
        stored = Recovered(0, kept.term, kept.vote, None, tuple(kept.log.entries))
        fleet.all["a"] = RaftNode(
            "a", "a", TERMS, LinearCongruentialGenerator(2), stored, Register(), fleet.now
        )
        fleet.lead()
        self.assertEqual((fleet.all["a"].machine.order, fleet.all["a"].term), ([1], 2))

    def test_repeated_number_gets_the_same_reply(self):
        fleet = Fleet()
        fleet.lead()
        first, again = (of(fleet.propose("a", 1), say.Answered) for _ in range(2))
        self.assertEqual(first, again)
        self.assertEqual(fleet.all["a"].machine.order, [1])

    def test_votes_only_once_stored(self):
        keeper = RaftNode(
            "b", "abc", TERMS, LinearCongruentialGenerator(1), Recovered(0), Register(), 0
        )
        effects = keeper.handle(LEAST, Received("a", Ask(1, 0, 0, False, 0, 0, False)))
        self.assertEqual(sent(effects), [])
        upto = of(effects, say.Persist)[-1].upto
        self.assertEqual(
            sent(keeper.handle(LEAST + 1, Stored(upto))), [("a", Vote(1, 0, False, True))]
        )
        effects = keeper.handle(LEAST + 2, Received("c", Ask(1, 0, 0, False, 0, 0, False)))
        self.assertEqual(sent(effects), [("c", Vote(1, 0, False, False))])

    def test_votes_under_its_own_life_only(self):
        keeper = RaftNode(
            "b", "abc", TERMS, LinearCongruentialGenerator(1), Recovered(5), Register(), 0
        )
        self.assertEqual(keeper.role, LEARNER)
        effects = keeper.handle(LEAST, Received("a", Ask(1, 0, 0, True, 0, 0, False)))
        self.assertEqual(sent(effects, Vote)[0][1].granted, False)

    def test_who_hears_a_leader_is_not_disturbed(self):
        fleet = Fleet()
        fleet.lead()
        term = fleet.all["b"].term
        fleet.tell("b", Received("c", Ask(term + 5, 0, 0, False, 99, 99, False)))
        self.assertEqual((fleet.all["b"].term, fleet.all["a"].role), (term, LEADER))

    def test_disk_failed(self):
        fleet = Fleet()
        fleet.lead()
        effects = fleet.tell("b", say.DiskFailed("full"))
        self.assertEqual(of(effects, say.StoodDown), [say.StoodDown("disk: full")])
        for message in (Ask(99, 0, 0, False, 99, 99, True), Append(99, 0, 0, 0, (), 0, 1)):
            self.assertEqual(fleet.all["b"].handle(fleet.now + 9_000, Received("a", message)), [])

    def test_stood_still(self):
        fleet = Fleet()
        fleet.lead()
        fleet.now += TERMS.lease + 1
        effects = fleet.tell("a", say.ReadAsked("r"))
        self.assertEqual(type(effects[0]), say.StoodDown)
        self.assertEqual((of(effects, say.ReadReady), len(of(effects, say.Refused))), ([], 1))

    def test_leader_without_majority_steps_down(self):
        fleet = Fleet()
        fleet.lead()
        fleet.gone = {"b", "c"}
        fleet.propose("a", 1)
        fleet.pass_time(LEAST + 1_000)
        self.assertNotEqual(fleet.all["a"].role, LEADER)
        self.assertTrue(
            any(one.reason.startswith("unknown") for one in of(fleet.told, say.Refused))
        )

    def test_bounded(self):
        fleet = Fleet()
        fleet.lead()
        fleet.gone = {"b", "c"}
        refused = [
            one for number in range(1, 9) for one in of(fleet.propose("a", number), say.Refused)
        ]
        self.assertEqual(len(refused), 8 - TERMS.most_waiting)
        self.assertGreater(refused[0].again, 0)
        self.assertIsNone(
            of(fleet.propose("a", 9, part="x", much="x" * 70_000), say.Refused)[0].again
        )

    def test_learner_by_snapshot_then_voter_and_transfer(self):
        fleet = Fleet(more="d")
        leader = fleet.lead()
        for number in range(1, 30):
            fleet.propose("a", number)
        self.assertGreater(leader.log.base, 0)
        self.assertIn(
            "no learner",
            of(fleet.propose("a", 30, part="keepers", do="promote", name="d"), say.Refused)[
                0
            ].reason,
        )
        fleet.propose("a", 31, part="keepers", do="add", name="d", life=7)
        self.assertEqual(fleet.all["d"].role, LEARNER)
        fleet.pass_time(600)
        self.assertEqual(fleet.all["d"].machine.order, leader.machine.order)
        fleet.propose("a", 32, part="keepers", do="promote", name="d")
        self.assertEqual(leader.log.members, Members({"a": 0, "b": 0, "c": 0, "d": 7}, {}))
        fleet.propose("a", 33, part="keepers", do="transfer", name="d")
        self.assertEqual((fleet.all["d"].role, leader.leader), (LEADER, "d"))
        fleet.propose("d", 34, part="keepers", do="remove", name="d")
        self.assertNotEqual(fleet.all["d"].role, LEADER)

    def test_agreed_time_goes_on_across_leaders(self):
        fleet = Fleet()
        fleet.lead()
        fleet.pass_time(5_000)
        fleet.propose("a", 1)
        before = fleet.all["a"].log.last_at
        self.assertGreaterEqual(before, 5_000)
        fleet.gone = {"a"}
        fleet.lead("b")
        fleet.propose("b", 2)
        self.assertGreaterEqual(fleet.all["b"].log.last_at, before)

    def test_messages_as_bytes(self):
        message = Append(3, 0, 1, 1, (say.Entry(2, 3, 4, "o", 1, 1, {"part": "x"}),), 1, 9)
        self.assertEqual(say.from_bytes(say.to_bytes(message)), message)
        for bad in (b"", b"\x92\x63\x90", b"\x92\x00\x91\xa1x", os.urandom(40)):
            self.assertIsInstance(say.from_bytes(bad), str)


class Machines(unittest.TestCase):
    def setUp(self):
        self.sessions = Sessions(Parts({"register": Register()}), 2)

    def do(self, origin, incarnation, number):
        command = {"part": "register", "id": f"{origin}{incarnation}{number}"}
        return self.sessions.apply(
            0, origin, incarnation, number, lambda at: self.sessions.machine.apply(at, command)
        )

    def test_once(self):
        self.assertEqual(self.do("a", 1, 5), self.do("a", 1, 5))
        self.assertIn("later number", self.do("a", 1, 4)["refused"])
        self.assertEqual(self.do("a", 2, 1)["place"], 2)
        self.assertIn("older incarnation", self.do("a", 1, 6)["refused"])

    def test_bounded_and_kept(self):
        for origin in "abc":
            self.do(origin, 1, 1)
        self.assertEqual(list(self.sessions.origins), ["b", "c"])
        other = Sessions(Parts({"register": Register()}), 2)
        other.load(self.sessions.image())
        self.assertEqual(other.image(), self.sessions.image())
        self.assertIn("no part", Parts({}).apply(0, {"part": [1]})["refused"])

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.sampled_from(("append", "cut", "compact")), st.integers(1, 6)), max_size=30
        )
    )
    def test_log_against_a_list(self, steps):
        log, plain, done = Log(founded("a")), [], 0
        for term, (what, some) in enumerate(steps, 1):
            if what == "append":
                for _ in range(some):
                    plain.append(say.Entry(len(plain) + 1, term, term, "o", 1, 1, {"part": "x"}))
                    log.append(plain[-1])
            elif what == "cut" and log.last - some >= done:
                log.cut(log.last - some + 1)
                del plain[len(plain) - some :]
            elif what == "compact" and log.last > done:
                done = min(log.last, done + some)
                last = plain[done - 1]
                log.compact(say.Snapshot(done, last.term, last.at, log.members_at(done), b"x"), 2)
            self.assertEqual(log.entries, plain[log.base :])
            self.assertEqual(
                (log.last, log.term(log.last)), (len(plain), plain[-1].term if plain else 0)
            )


class Faulty(Files):
    """full: writes fail once so many bytes were written. short: a write takes so many at most."""

    def __init__(self, full=None, short=None):
        self.full, self.short, self.written = full, short, 0

    def write(self, file, content):
        if self.full is not None and self.written + len(content) > self.full:
            raise OSError(errno.ENOSPC, "no space left on device")
        self.written += len(content)
        return os.write(file, content[: self.short])


class Disks(unittest.TestCase):
    def setUp(self):
        self.place = tempfile.TemporaryDirectory()
        self.addCleanup(self.place.cleanup)
        self.folder, self.second = self.place.name + "/log", self.place.name + "/second/lineage"
        self.lives = 10

    def fresh(self):
        self.lives += 1
        return self.lives

    def open(self, found=False, **more):
        store = RaftStorage(self.folder, self.second, self.fresh, **more)
        opened = store.open(found)
        self.addCleanup(store.close)
        return store, opened

    def entries(self, *indices, term=1):
        return [
            say.Entry(index, term, index, "o", 1, index, {"part": "x", "n": index})
            for index in indices
        ]

    def segment(self):
        return next(
            f"{self.folder}/{name}" for name in os.listdir(self.folder) if name.endswith(".seg")
        )

    def filled(self):
        store, _ = self.open(True)
        self.assertIsNone(store.persist([say.Voted(1, "a"), *self.entries(1, 2, 3)]))
        self.assertIsNone(store.persist([say.Cut(3), *self.entries(3, 4, term=2)]))
        return store

    def test_comes_back(self):
        store = self.filled()
        for _ in range(2):
            store.close()
            store, opened = self.open()
            self.assertEqual(
                opened,
                (
                    Recovered(0, 1, "a", None, (*self.entries(1, 2), *self.entries(3, 4, term=2))),
                    (),
                ),
            )

    def test_snapshot(self):
        store = self.filled()
        snapshot = say.Snapshot(3, 2, 3, Members({"a": 0}, {}), b"x" * 3_000_000)
        self.assertIsNone(store.persist([snapshot, *self.entries(5, term=2)]))
        store.close()
        _, opened = self.open()
        self.assertEqual(opened.recovered.snapshot.content, snapshot.content)
        self.assertEqual([one.index for one in opened.recovered.entries], [4, 5])
        self.assertEqual(len(os.listdir(self.folder)), 2)

    def test_torn_tail_is_cut_and_said(self):
        self.filled().close()
        for tail in (b"\0\0\0\x30abcd", bytes(500)):
            with open(self.segment(), "ab") as file:
                file.write(tail)
            store, opened = self.open()
            store.close()
            self.assertIn("broke off", opened.said[0])
            self.assertEqual(len(opened.recovered.entries), 4)

    def test_damage_in_the_middle_is_refused(self):
        self.filled().close()
        path = self.segment()
        with open(path, "r+b") as file:
            file.seek(40)
            byte = file.read(1)
            file.seek(40)
            file.write(bytes([byte[0] ^ 1]))
        with self.assertRaisesRegex(DamagedStorageError, "damage at byte"):
            self.open()

    def test_full_disk_is_a_value_and_stays(self):
        files = Faulty(short=7)
        store, _ = self.open(True, files=files)
        self.assertIsNone(store.persist(self.entries(1)))
        files.full = files.written + 10
        self.assertIn("no space", store.persist(self.entries(2)).reason)
        files.full = None
        self.assertIn("no space", store.persist(self.entries(3)).reason)
        store.close()
        small, opened = self.open(most=1_000)
        self.assertEqual([one.index for one in opened.recovered.entries], [1])
        self.assertIn("may take", small.persist(self.entries(*range(2, 90))).reason)

    def test_old_copy_or_lost_disk_comes_back_under_another_life(self):
        store = self.filled()
        with open(self.segment(), "rb") as file:
            old = file.read()
        store.persist([say.Voted(7, "b")])
        store.close()
        path = self.segment()
        with open(path, "wb") as file:
            file.write(old)
        store, opened = self.open()
        self.assertEqual((opened.recovered.life, opened.recovered.entries), (11, ()))
        self.assertIn("newcomer", opened.said[0])
        store.close()
        os.rename(self.folder, self.folder + ".away")
        store, opened = self.open()
        self.assertEqual(opened.recovered.life, 12)
        store.close()
        os.unlink(self.second)
        with self.assertRaisesRegex(DamagedStorageError, "used before"):
            self.open(True)
        self.assertEqual(self.open()[1].recovered.life, 13)


class Explored(unittest.TestCase):
    def test_nothing_found(self):
        states = 0
        for seed in range(24):
            report = explore(seed, 1_500)
            self.assertEqual((report.counterexamples, report.standstill), ((), None))
            states += report.states
        for focus in sorted(set(FOCUS.values())):
            report = explore(1, 1_500, focus=focus)
            self.assertEqual((report.counterexamples, report.standstill), ((), None), focus)
        self.assertGreater(states, 24 * 1_500)

    def test_each_broken_variant_is_found(self):
        for variant in BROKEN:
            with self.subTest(variant):
                self.assertIsNotNone(search(variant, range(60), 1_500)[1])

    def test_same_seed_same_run(self):
        self.assertEqual(explore(5, 800), explore(5, 800))


if __name__ == "__main__":
    unittest.main()

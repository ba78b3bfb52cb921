"""Gangs: the table of their life, two schedulers and their deaths, drains and losses, fairness, and the search."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as some

from measure.gangs import play
from thymeknot.gang_scheduling import (
    jobs,
    placement_score,
    placement_search,
    state_machine,
    worker_replacement,
)
from thymeknot.gang_scheduling.commands import CommandRejectedError
from thymeknot.gang_scheduling.gang_state import STATES_WITH_SLOTS, TRANSITIONS, GangState
from thymeknot.gang_scheduling.topology import MachineSpec, Topology
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.state.random_source import LinearCongruentialGenerator

SECOND = TICKS_PER_SECOND
quick = settings(derandomize=True, deadline=None, max_examples=60)


class Fleet:
    """A machine of the state with `racks` racks of `hosts` machines of `slots` slots, and a clock."""

    def __init__(self, racks=2, hosts=2, slots=4, kind=state_machine.GangStateMachine, terms=None):
        self.machine, self.at = kind(terms), SECOND
        for at in range(racks):
            self.ok(
                "stand",
                rack=f"r{at}",
                zone=f"z{at // 2}",
                cluster="c",
                bandwidth=10**9,
                machines={f"r{at}m{one}": {"slots": slots} for one in range(hosts)},
            )

    def do(self, what, **fields):
        return self.machine.apply(self.at, {"part": "gangs", "do": what, **fields})

    def ok(self, what, **fields):
        reply = self.do(what, **fields)
        assert reply.get("ok"), reply
        return reply

    def offer(self, name, workers=4, **more):
        return self.do(
            "offer",
            gang=name,
            job={
                "workers": workers,
                "pattern": "ring",
                "bytes": 10**6,
                "target": SECOND,
                "publisher": "p",
                "checkpoint": 60 * SECOND,
                **more,
            },
        )

    def plan(self, name):
        return placement_search.find_placement(
            self.machine.topology_with_traffic(), self.life(name).gang, self.at
        )

    def hold(self, name, plan=None):
        plan = plan or self.plan(name)
        return self.do("hold", gang=name, places=plan.placement, versions=plan.versions)

    def run(self, name, **more):
        if name not in self.machine.state.gangs:
            self.offer(name, **more)
        fence = self.hold(name)["fence"]
        self.ok("bind", gang=name, fence=fence)
        self.ok("start", gang=name, fence=fence)
        return fence

    def life(self, name):
        return self.machine.state.gangs[name]

    def state(self, name):
        return (
            self.life(name).state
            if name in self.machine.state.gangs
            else self.machine.state.ended.get(name)
        )

    def on(self, name):
        return sorted(self.life(name).placement)

    def later(self, seconds):
        self.at += int(seconds * SECOND)
        self.ok("tick")

    def broken(self):
        """What must never be, counted from the image alone."""
        image, used, found = self.machine.image(), {}, []
        for name, life in image["gangs"].items():
            placed = sum(life["places"].values())
            for machine, many in life["places"].items():
                used[machine] = used.get(machine, 0) + many
            whole = life["state"] in ("held", "bound", "running", "moving")
            if placed and life["state"] == "offered" or whole and placed != life["gang"]["workers"]:
                found.append(f"{name} half placed")
            if (
                life["state"] in ("held", "bound", "hurt", "moving")
                and life["lease"] <= image["at"]
            ):
                found.append(f"{name} past its lease")
        for rack in image["places"]["racks"].values():
            for machine, host in rack["hosts"].items():
                if used.get(machine, 0) > host["slots"] or host["free"] != host["slots"] - used.get(
                    machine, 0
                ):
                    found.append(f"{machine} has slots twice")
        return found


class Life(unittest.TestCase):
    def test_every_pair_of_the_table_and_no_other(self):
        states = [GangState.OFFERED, *STATES_WITH_SLOTS]
        inputs = sorted({what for _, what in TRANSITIONS})
        for now, what in itertools.product(states, inputs):
            fleet = Fleet()
            fleet.run("g")
            life = fleet.life("g")
            life.state = now
            more = {"removed": {fleet.on("g")[0]: 1}} if what in ("lost", "taken") else {}
            if what.startswith("mend") or what == "hold":
                more = {"placement": dict(life.placement)}
            if what == "hold":
                fleet.machine.lifecycle.set_placement(life, {})
            try:
                fleet.machine.lifecycle.transition("g", what, **more)
                self.assertEqual(life.state, TRANSITIONS[now, what][0], (now, what))
            except CommandRejectedError as refusal:
                self.assertNotIn((now, what), TRANSITIONS)
                self.assertIn("does not go with that", refusal.reply["refused"])
                self.assertEqual(life.state, now)

    def test_a_whole_life(self):
        fleet = Fleet()
        fence = fleet.run("g")
        self.assertEqual(fleet.ok("checkpoint", gang="g", fence=fence)["next"], "go on")
        self.assertIn("fence", fleet.do("done", gang="g", fence=fence + 1)["refused"])
        fleet.ok("done", gang="g", fence=fence)
        self.assertEqual(fleet.state("g"), "done")
        self.assertIn("new name", fleet.offer("g")["refused"])
        self.assertEqual(fleet.broken(), [])

    def test_all_or_none(self):
        fleet = Fleet()
        fleet.offer("g")
        self.assertIn(
            "All or none",
            fleet.do("hold", gang="g", places={"r0m0": 3}, versions={"r0": 1})["refused"],
        )
        self.assertIn(
            "No version",
            fleet.do("hold", gang="g", places={"r0m0": 4}, versions={"r1": 1})["refused"],
        )
        self.assertIn("have room for 16", fleet.offer("h", workers=17)["refused"])

    def test_image_and_load_go_on_alike(self):
        one, other = Fleet(), Fleet()
        one.run("g", needs={})
        one.offer("h")
        other.machine.load(one.machine.image())
        for fleet in (one, other):
            fleet.at = 2 * SECOND
            fleet.hold("h")
            fleet.later(20)
        self.assertEqual(one.machine.image(), other.machine.image())

    plain = some.recursive(
        some.none() | some.booleans() | some.integers() | some.floats() | some.text(max_size=5),
        lambda inner: (
            some.lists(inner, max_size=3)
            | some.dictionaries(some.text(max_size=6), inner, max_size=3)
        ),
        max_leaves=6,
    )

    @quick
    @given(
        some.sampled_from(
            "stand uplink share planned offer hold bind start checkpoint done mend withdraw preempt "
            "lost back drain_asked tick nonsense".split()
        ),
        some.dictionaries(
            some.sampled_from("gang job fence versions places machine name kind by drain".split()),
            plain,
            max_size=4,
        ),
        plain,
    )
    def test_nonsense_is_refused_with_a_sentence_and_changes_nothing(self, what, fields, other):
        fleet = Fleet()
        for command in ({"part": "gangs", "do": what, **fields}, other):
            before = fleet.machine.image()
            reply = fleet.machine.apply(fleet.at, command)
            self.assertTrue(
                reply.get("ok") and what == "tick" or reply["refused"].endswith("."), reply
            )
            after = fleet.machine.image()
            before.pop("counted"), after.pop("counted")
            self.assertEqual(before, after)

    def test_jobs_that_mean_nothing(self):
        fleet = Fleet()
        for more, says in (
            ({"pattern": "star"}, "none of"),
            ({"pattern": "matrix"}, "needs a matrix"),
            ({"matrix": [[1]]}, "alone"),
            ({"pattern": "matrix", "matrix": [[1], [1]]}, "square"),
            ({"pattern": "matrix", "matrix": [[1] * 3] * 3}, "evenly"),
            ({"spare": 4}, "spare"),
            ({"workers": 1}, "`int` >= 2"),
            ({"workers": 513}, "<= 512"),
            ({"bytes": 1.5}, "float"),
        ):
            self.assertIn(says, fleet.offer("g", **more)["refused"])


class Unread(state_machine.GangStateMachine):
    """Broken: versions are not read, and room is taken for granted with them, as a scheduler that trusts its score."""

    def _check_capacity(self, life, places, versions):
        pass


class Lasting(state_machine.GangStateMachine):
    """Broken: leases are not read."""

    def _expire_leases(self):
        pass


class Schedulers(unittest.TestCase):
    def two(self, kind=state_machine.GangStateMachine):
        """Two schedulers score one rack at once, and both commit."""
        fleet = Fleet(racks=1, hosts=1, kind=kind)
        fleet.offer("g")
        fleet.offer("h")
        mine, yours = fleet.plan("g"), fleet.plan("h")
        return fleet, fleet.hold("g", mine), fleet.hold("h", yours)

    def test_two_schedulers_and_one_rack(self):
        fleet, first, second = self.two()
        self.assertTrue(first["ok"])
        self.assertEqual(second["by"], ["r0"])
        self.assertIn("scored at", second["refused"])
        self.assertEqual(fleet.broken(), [])

    def test_a_version_that_changed_elsewhere_in_the_rack_counts_too(self):
        fleet = Fleet(racks=1)
        fleet.offer("g")
        plan = fleet.plan("g")
        fleet.ok("planned", machines=["r0m1"], at=99)
        self.assertIn("scored at", fleet.hold("g", plan)["refused"])

    def test_unread_versions_are_found(self):
        self.assertIn("r0m0 has slots twice", self.two(Unread)[0].broken())

    def dies(self, kind=state_machine.GangStateMachine):
        """The scheduler dies between hold and bind."""
        fleet = Fleet(racks=1, hosts=1, kind=kind)
        fleet.offer("g")
        fence = fleet.hold("g")["fence"]
        fleet.later(10)
        return fleet, fence

    def test_a_scheduler_that_dies_between_hold_and_bind(self):
        fleet, fence = self.dies()
        self.assertEqual((fleet.state("g"), fleet.broken()), ("offered", []))
        self.assertIn(
            "offered", fleet.do("bind", gang="g", fence=fence)["refused"]
        )  # it wakes up again
        fleet.later(2)
        self.assertNotEqual(fleet.hold("g")["fence"], fence)

    def test_unread_leases_are_found(self):
        self.assertIn("g past its lease", self.dies(Lasting)[0].broken())

    def test_random_plays_keep_the_rules_and_find_the_broken_variants(self):
        for kind, what in (
            (state_machine.GangStateMachine, None),
            (Unread, "slots_twice"),
            (Lasting, "half_placed"),
        ):
            sums = play(3, 600, kind)
            for name in ("slots_twice", "half_placed"):
                if kind is state_machine.GangStateMachine or name == what:
                    self.assertEqual(sums[name] > 0, name == what, (kind, name))

    def test_tries_end_and_are_spread(self):
        fleet, waits = Fleet(racks=4), []
        for name in ("g", "h"):
            fleet.offer(name)
        while fleet.state("g") == "offered":
            for name in ("g", "h"):
                self.assertTrue(fleet.hold(name)["ok"])
            fleet.later(10)
            if fleet.state("g") == "offered":
                waits.append([fleet.life(name).backoff_until - fleet.at for name in ("g", "h")])
                self.assertIn("backs off", fleet.hold("g")["refused"])
                fleet.later(60)
        self.assertEqual(len(waits), 7)
        self.assertTrue(all(mine != yours for mine, yours in waits))
        self.assertIn("8 leases", fleet.state("g"))


class Losses(unittest.TestCase):
    def test_a_lost_worker_is_mended_in_place_under_a_new_fence(self):
        fleet = Fleet()
        old = fleet.run("g")
        fleet.ok("lost", kind="worker", name=fleet.on("g")[0], gang="g")
        life = fleet.life("g")
        plan, way = worker_replacement.replace_failed_workers(
            fleet.machine.topology_with_traffic(), life.gang, fleet.at, life.placement, 0
        )
        reply = fleet.ok("mend", gang="g", fence=old, places=plan.placement, versions=plan.versions)
        self.assertEqual((way, reply["way"], fleet.state("g")), ("in place", "in place", "bound"))
        self.assertIn("fence", fleet.do("start", gang="g", fence=old)["refused"])
        fleet.ok("start", gang="g", fence=reply["fence"])
        self.assertEqual(fleet.broken(), [])

    def test_a_gang_is_moved_whole_where_in_place_would_tear_it_apart(self):
        fleet = Fleet(racks=4, hosts=1, slots=8)
        fence = fleet.run("g", workers=8, bytes=10**9)
        home = fleet.on("g")[0]
        fleet.ok("lost", kind="worker", name=home, gang="g")
        life = fleet.life("g")
        places = fleet.machine.topology_with_traffic()
        places.host(home).draining_for = "another"  # nobody new there
        places.mark_changed(home)
        plan, way = worker_replacement.replace_failed_workers(
            places, life.gang, fleet.at, life.placement, 0
        )
        self.assertEqual((way, len(plan.placement)), ("whole", 1))
        fleet.ok("mend", gang="g", fence=fence, places=plan.placement, versions=plan.versions)
        self.assertEqual((fleet.state("g"), fleet.broken()), ("moving", []))

    def test_a_loss_frees_what_is_held_whole(self):
        for upto in ("held", "bound"):
            fleet = Fleet()
            fleet.offer("g")
            fence = fleet.hold("g")["fence"]
            if upto == "bound":
                fleet.ok("bind", gang="g", fence=fence)
            fleet.ok("lost", kind="machine", name=fleet.on("g")[0])
            self.assertEqual((fleet.state("g"), fleet.on("g"), fleet.broken()), ("offered", [], []))

    def test_an_unmended_gang_holds_nothing_past_its_lease(self):
        fleet = Fleet()
        fleet.run("g", workers=8)
        fleet.ok("lost", kind="worker", name=fleet.on("g")[0], gang="g")
        fleet.later(60)
        self.assertEqual((fleet.state("g"), fleet.on("g"), fleet.broken()), ("offered", [], []))

    def test_a_drain_waits_for_the_checkpoint_and_nobody_new_comes(self):
        fleet = Fleet(racks=1)
        fence = fleet.run("g")
        machine = fleet.on("g")[0]
        fleet.later(1)
        reply = fleet.do("drain_asked", machine=machine, drain="d")
        self.assertEqual((reply["by"], reply["again"]), (["g"], 59 * SECOND))
        self.assertEqual(fleet.machine.state.topology.host(machine).capacity(()), 0)
        self.assertIn("drain d's", fleet.do("drain_asked", machine=machine, drain="e")["refused"])
        fleet.later(30)
        said = fleet.ok("checkpoint", gang="g", fence=fence)
        self.assertEqual((said["next"], fleet.state("g")), ("mend", "hurt"))
        fleet.ok("drain_asked", machine=machine, drain="d")
        plan, _ = worker_replacement.replace_failed_workers(
            fleet.machine.topology_with_traffic(),
            fleet.life("g").gang,
            fleet.at,
            fleet.life("g").placement,
            0,
        )
        self.assertNotIn(machine, plan.placement)
        self.assertEqual(fleet.broken(), [])

    def test_a_drain_takes_a_unit_of_the_budget_at_once_and_no_second(self):
        fleet = Fleet(racks=2, hosts=4, slots=1)
        fleet.run("g", workers=4, spare=1)
        fleet.later(1)
        first, fence = fleet.on("g")[0], fleet.life("g").fence
        self.assertEqual(
            fleet.ok("drain_asked", machine=first, drain="d", unit=True)["gangs"], ["g"]
        )
        life = fleet.life("g")
        plan, _ = worker_replacement.replace_failed_workers(
            fleet.machine.topology_with_traffic(), life.gang, fleet.at, life.placement, 0
        )
        fence = fleet.ok(
            "mend", gang="g", fence=fence, places=plan.placement, versions=plan.versions
        )["fence"]
        second = fleet.on("g")[0]
        self.assertIn(
            "until its checkpoint",
            fleet.do("drain_asked", machine=second, drain="d", unit=True)["refused"],
        )
        fleet.ok("start", gang="g", fence=fence)
        fleet.later(1)
        self.assertEqual(
            fleet.ok("drain_asked", machine=second, drain="d", unit=True)["gangs"], ["g"]
        )
        self.assertEqual(fleet.life("g").state, "hurt")

    def test_a_rack_is_lost_under_a_gang_while_it_drains(self):
        fleet = Fleet(racks=3)
        fleet.run("g", workers=16)
        fleet.later(1)
        self.assertIn("refused", fleet.do("drain_asked", machine="r0m0", drain="d"))
        self.assertEqual(fleet.ok("lost", kind="rack", name="r0")["gangs"], ["g"])
        self.assertEqual((fleet.state("g"), fleet.broken()), ("hurt", []))
        fleet.ok("drain_asked", machine="r0m0", drain="d")
        life = fleet.life("g")
        plan, way = worker_replacement.replace_failed_workers(
            fleet.machine.topology_with_traffic(), life.gang, fleet.at, life.placement, 0
        )
        self.assertEqual(
            (way, {machine[:2] for machine in plan.placement}), ("in place", {"r1", "r2"})
        )
        fleet.ok("mend", gang="g", fence=life.fence, places=plan.placement, versions=plan.versions)


class Fairness(unittest.TestCase):
    def test_preemption_waits_for_the_checkpoint_and_is_bounded(self):
        fleet, fence = Fleet(racks=1, hosts=1), None
        for turn in range(2):
            fence = fleet.run("low", priority=1)
            fleet.offer(f"high{turn}", priority=50)
            until = fleet.ok("preempt", gang="low", by=f"high{turn}")["until"]
            self.assertEqual(until, fleet.at + 120 * SECOND)
            self.assertEqual(fleet.state("low"), "running")
            self.assertEqual(fleet.ok("checkpoint", gang="low", fence=fence)["next"], "yield")
            self.assertEqual(fleet.machine.queue()[0], f"high{turn}")
            fence = fleet.run(f"high{turn}")
            fleet.ok("done", gang=f"high{turn}", fence=fence)
        fleet.run("low")
        fleet.offer("again", priority=90)
        self.assertIn(
            "as often as one has to", fleet.do("preempt", gang="low", by="again")["refused"]
        )

    def test_a_gang_that_owes_its_checkpoint_is_not_safe_from_everybody(self):
        fleet = Fleet(racks=1, hosts=1)
        fleet.run("low", priority=1)
        fleet.offer("high", priority=50)
        fleet.ok("preempt", gang="low", by="high")
        fleet.later(119)
        self.assertEqual(fleet.state("low"), "running")
        fleet.later(1)
        self.assertEqual((fleet.state("low"), fleet.on("low")), ("offered", []))

    def test_whom_room_was_made_for_is_gone(self):
        fleet = Fleet(racks=1, hosts=1)
        fence = fleet.run("low", priority=1)
        fleet.offer("high", priority=50)
        fleet.ok("preempt", gang="low", by="high")
        fleet.ok("withdraw", gang="high")
        self.assertEqual(fleet.ok("checkpoint", gang="low", fence=fence)["next"], "go on")

    def test_equal_priority_waits_for_its_age(self):
        fleet = Fleet(racks=1, hosts=1)
        fleet.run("first")
        fleet.offer("second")
        self.assertEqual(fleet.do("preempt", gang="first", by="second")["again"], 60 * SECOND)
        fleet.later(60)
        fleet.ok("preempt", gang="first", by="second")

    def test_no_starvation_of_a_large_gang_among_small_ones_of_higher_priority(self):
        fleet, chance = Fleet(racks=2, hosts=2), LinearCongruentialGenerator(5)
        fleet.offer("large", workers=16, priority=0)
        ends = {}
        for number in range(400):
            fleet.later(10)
            for name in [name for name, end in ends.items() if end <= fleet.at]:
                fleet.ok("done", gang=name, fence=fleet.life(name).fence)
                del ends[name]
            fleet.offer(f"s{number}", workers=2, priority=20)
            for name in fleet.machine.queue():
                plan = fleet.plan(name)
                if plan and fleet.hold(name, plan).get("ok"):
                    if name == "large":
                        return self.assertGreater(
                            fleet.at, 1000 * SECOND
                        )  # not before its age outweighs priority
                    fence = fleet.life(name).fence
                    fleet.ok("bind", gang=name, fence=fence)
                    fleet.ok("start", gang=name, fence=fence)
                    ends[name] = fleet.at + int((60 + 60 * chance.draw()) * SECOND)
        self.fail("the large gang never ran")

    def test_shares_are_borrowed_and_given_back(self):
        fleet = Fleet(racks=1, hosts=4)
        for publisher in ("p", "q"):
            fleet.ok("share", publisher=publisher, thousandths=500)
        self.assertIn("1100", fleet.do("share", publisher="r", thousandths=100)["refused"])
        fleet.run("p1", workers=8)
        fence = fleet.run("p2", workers=8, priority=90)  # borrowed: nobody else waits
        fleet.offer("q1", workers=8, publisher="q", priority=0)
        fleet.offer("p3", workers=4, priority=99)
        fleet.ok("preempt", gang="p2", by="q1")  # whatever the priorities
        self.assertEqual(fleet.ok("checkpoint", gang="p2", fence=fence)["next"], "yield")
        self.assertIn("q1 is due", fleet.hold("p3")["refused"])
        fleet.run("q1")
        self.assertEqual(fleet.broken(), [])


def places_of(racks, hosts=2, slots=4, chance=None):
    places = Topology(uplinks={"zone/c/z0": 3 * 10**9, "zone/c/z1": 10**9})
    for at in range(racks):
        places.add_rack(
            f"r{at}",
            f"z{at % 2}",
            "c",
            10**9,
            {f"r{at}m{one}": MachineSpec(slots) for one in range(hosts)},
        )
        for machine in places.racks[f"r{at}"].hosts if chance else ():
            places.reserve({machine: int(chance.draw() * (slots + 1))}, ())
        if chance:
            places.link_traffic[f"rack/r{at}"] = chance.draw() * 10**9
            places.host(f"r{at}m0").planned_removal = int(chance.draw() * 2)
    return places


def gang_of(workers, pattern="ring", much=10**8):
    matrix = [[0, much], [much // 3, much // 7]] if pattern == "matrix" else []
    return jobs.Gang(workers, pattern, much, 10 * SECOND, "p", SECOND, matrix=matrix)


class Search(unittest.TestCase):
    @quick
    @given(
        some.sampled_from(list(jobs.CROSSING_BYTES_BY_PATTERN)), some.integers(1, 8), some.data()
    )
    def test_crossing_bytes_are_those_of_the_pairs(self, pattern, half, data):
        gang = gang_of(2 * half, pattern)
        low = data.draw(some.integers(0, gang.workers))
        high = data.draw(some.integers(low, gang.workers))
        out = back = 0
        for one, other, much in pairs(gang):
            out += much * (low <= one < high) * (not low <= other < high)
            back += much * (low <= other < high) * (not low <= one < high)
        self.assertAlmostEqual(
            gang.crossing_bytes(low, high) / max(1, out, back), max(out, back) / max(1, out, back)
        )

    @quick
    @given(
        some.sampled_from(list(jobs.CROSSING_BYTES_BY_PATTERN)),
        some.integers(1, 4),
        some.integers(2, 4),
        some.integers(0, 2**30),
    )
    def test_exact_is_the_best_of_all_and_fast_is_near(self, pattern, half, racks, seed):
        places, gang = (
            places_of(racks, chance=LinearCongruentialGenerator(seed)),
            gang_of(2 * half, pattern),
        )
        scorer = placement_score.Scorer(places, gang, 0)
        every = [
            {at: many for at, many in enumerate(counts) if many}
            for counts in itertools.product(
                *(range(min(room, gang.workers) + 1) for room in scorer.capacity)
            )
            if sum(counts) == gang.workers
        ]
        best = min(map(scorer.total, every), default=None)
        found = placement_search.exact_search(scorer)
        self.assertEqual(found is None, best is None)
        if found:
            self.assertAlmostEqual(scorer.total(found), best)
            self.assertLessEqual(
                scorer.total(placement_search.heuristic_search(scorer)), 1.3 * best + 0.05
            )

    def test_the_score_explains_itself(self):
        plan = placement_search.find_placement(places_of(4, hosts=1), gang_of(12, "all"), 0)
        terms = plan.score.terms.values()
        self.assertAlmostEqual(plan.score.total, sum(term.value * term.weight for term in terms))
        self.assertRegex(
            plan.score.explanation(),
            r"A step takes 0.\d+ s of 10.000 s over the uplink .* takes \d+% of it.",
        )
        self.assertEqual(sum(plan.placement.values()), 12)

    def test_plans_and_others_traffic_turn_a_gang_away(self):
        places = places_of(2)
        home = next(iter(placement_search.find_placement(places, gang_of(8), 0).versions))
        for machine in places.racks[home].hosts:
            places.host(machine).planned_removal = 5
        self.assertNotIn(home, placement_search.find_placement(places, gang_of(8), 0).versions)
        busy = places_of(4, hosts=1)
        placement_score.add_traffic(busy, gang_of(8, much=10**10), {"r0": 4, "r2": 4})
        self.assertEqual(
            sorted(placement_search.find_placement(busy, gang_of(8), 0).versions), ["r1", "r3"]
        )

    def test_baselines_place_all_or_nothing(self):
        scorer = placement_score.Scorer(places_of(4), gang_of(20), 0)
        for how in (
            placement_search.first_fit,
            placement_search.random_fit(LinearCongruentialGenerator(1)),
            placement_search.pack_fullest_first,
            placement_search.spread_evenly,
        ):
            self.assertEqual(sum(how(scorer).values()), 20)
            self.assertIsNone(how(placement_score.Scorer(places_of(2), gang_of(20), 0)))


def pairs(gang):
    """(from, to, bytes) of all pairs that talk, written down anew from what the patterns mean."""
    last, size = gang.workers - 1, gang.workers // max(1, len(gang.matrix))
    for one, other in itertools.permutations(range(gang.workers), 2):
        much = {
            "ring": gang.bytes * (other == (one + 1) % gang.workers),
            "all": gang.bytes / last,
            "pipeline": gang.bytes * (abs(one - other) == 1),
            "matrix": 0,
            "tree": gang.bytes
            * (
                jobs.tree_parents(gang.workers)[one] == other
                or jobs.tree_parents(gang.workers)[other] == one
            ),
        }[gang.pattern]
        if gang.matrix:
            here, there = one // size, other // size
            much = gang.matrix[here][there] / (size - (here == there))
        if much:
            yield one, other, much


if __name__ == "__main__":
    unittest.main()

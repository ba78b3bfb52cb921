"""The disruption state machine: budgets, permits, halts, rollbacks, malformed commands; broken variants that are found."""

import json
import random
import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from thymeknot.disruption import scheduler
from thymeknot.disruption.agent import DisruptionAgent
from thymeknot.disruption.command_reader import COMMAND_FIELDS
from thymeknot.disruption.fleet import Fleet
from thymeknot.disruption.permits import (
    PERMIT_TRANSITIONS,
    PermitInput,
    PermitRequest,
    PermitState,
    Unit,
)
from thymeknot.disruption.simulated_fleet import SimulatedFleet
from thymeknot.disruption.simulated_layout import make_layout
from thymeknot.disruption.state_machine import DisruptionStateMachine
from thymeknot.disruption.targets import DisruptionSettings
from thymeknot.interface.clock import TICKS_PER_SECOND

NAMES = [f"u{number}" for number in range(8)]
BUDGETS = [{"name": "racks", "each": "rack", "most": 1}, {"name": "all", "least": 5}]


def made(terms=None, machine=DisruptionStateMachine, ready=NAMES):
    one = machine()
    units = {
        name: {"kind": "pod", "rack": f"r{number // 2}", "zone": "z"}
        for number, name in enumerate(NAMES)
    }
    assert "ok" in one.apply(
        0, {"do": "declare", "epoch": 1, "units": units, "budgets": BUDGETS, "terms": terms or {}}
    )
    see(one, 1, ready)
    return one


def see(one, at, names, status="ready", build="old", start=0):
    return one.apply(
        at, {"do": "seen", "as_of": at, "units": {name: [status, start, build] for name in names}}
    )


def ask(one, at, name, plan="ann", **more):
    return one.apply(at, {"do": "ask", "unit": name, "plan": plan, "epoch": 1, **more})


def begin(one, at, reply, **more):
    order = reply["order"]
    return one.apply(
        at,
        {
            "do": "begin",
            "unit": reply["unit"],
            "fence": order["fence"],
            "epoch": order["epoch"],
            "start": 0,
            **more,
        },
    )


class Budgets(unittest.TestCase):
    def test_an_impossible_budget_is_refused_by_its_name(self):
        for budget, word in (
            ({"name": "b", "most": 0}, "nobody could ever go out"),
            ({"name": "b", "least": 8}, "8"),
            ({"name": "b", "share": 0.1}, "0.1 of 8"),
            ({"name": "b", "share": 10}, "fraction"),
            ({"name": "b", "where": {"zone": "elsewhere"}, "most": 1}, "chooses no unit"),
            ({"name": "b", "most": 1, "least": 1}, "exactly one"),
            ({"name": "b", "each": "x", "most": 1}, "each"),
        ):
            reply = made().apply(2, {"do": "declare", "epoch": 2, "budgets": [budget]})
            self.assertIn("budget b", reply["refused"])
            self.assertIn(word, reply["refused"])

    def test_nested_budgets_hold_together_and_are_named(self):
        one = made()
        self.assertEqual(ask(one, 2, "u0")["state"], "granted")
        reply = ask(one, 2, "u1")
        self.assertEqual((reply["state"], reply["by"]), ("asked", ["racks/r0", "u0"]))
        self.assertIn("u0 (granted)", reply["waits"])
        self.assertEqual(
            [ask(one, 2, name)["state"] for name in ("u2", "u4", "u6")],
            ["granted", "granted", "asked"],
        )
        self.assertIn("budget all", ask(one, 2, "u7", queue=False)["refused"])

    def test_unknown_cold_silent_and_gone_count_as_out(self):
        one = made(ready=NAMES[:6])
        see(one, 2, ["u6"], "cold")
        self.assertEqual(ask(one, 3, "u0")["state"], "granted")
        self.assertIn("u6 (cold), u7 (unknown)", ask(one, 3, "u2")["waits"])

    def test_a_lapsed_permit_frees_its_room_only_when_the_holder_is_seen_since(self):
        one = made()
        ask(one, 2, "u0")
        see(one, 50_000, NAMES)
        see(one, 100_000, NAMES)
        self.assertEqual(one.apply(100_001, {"do": "status", "unit": "u0"})["state"], "granted")
        one.apply(100_003, {"do": "tick"})
        self.assertEqual(ask(one, 100_003, "u1")["by"], ["racks/r0", "u0"])
        one.apply(
            100_010, {"do": "seen", "as_of": 100_002, "units": {"u0": ["ready", 0, ""]}}
        )  # an old look
        self.assertEqual(ask(one, 100_010, "u1")["state"], "asked")
        see(one, 100_011, ["u0"])
        self.assertEqual(ask(one, 100_011, "u1")["state"], "granted")


class Permits(unittest.TestCase):
    def test_begin_reads_fence_epoch_start_time_and_halts(self):
        one = made()
        reply = ask(one, 2, "u0")
        for more, word in (
            ({"fence": 9}, "newest is 1"),
            ({"epoch": 0}, "epoch 0"),
            ({"start": 7}, "another start"),
        ):
            self.assertIn(word, begin(one, 3, reply, **more)["refused"])
        self.assertIn("ok", begin(one, 3, reply))
        self.assertIn("ok", begin(one, 4, reply), "said twice")
        other = ask(one, 5, "u2")
        halt = one.apply(6, {"do": "halt", "by": "ann", "why": "smoke", "where": {}})
        self.assertIn("no permit", begin(one, 7, other)["refused"])
        self.assertIn("halt 1 by ann of all: smoke", ask(one, 7, "u2")["waits"])
        see(one, 8, NAMES)
        one.apply(9, {"do": "resume", "halt": halt["halt"]})
        self.assertIn("newest is 3", begin(one, 10, other)["refused"])

    def test_a_newer_epoch_ends_what_the_older_was_granted(self):
        one = made()
        reply = ask(one, 2, "u0", "moves")
        self.assertIn("ok", one.apply(3, {"do": "ask", "unit": "u4", "plan": "moves", "epoch": 2}))
        self.assertIn("no permit", begin(one, 4, reply)["refused"])
        self.assertIn("epoch 1 of moves is over", ask(one, 5, "u0", "moves")["refused"])

    def test_who_crashed_since_the_grant_is_counted_at_the_begin(self):
        one = made()
        reply = ask(one, 2, "u0")
        see(one, 3, ["u1"], "gone")
        self.assertIn("u1 (gone)", begin(one, 4, reply)["refused"])

    def test_age_wins_over_urgency_and_room_is_kept_for_who_waits(self):
        one = made({"patience": 10, "step": 50, "silent": 600_000})
        ask(one, 2, "u0"), ask(one, 2, "u2")
        begin(one, 2, ask(one, 2, "u0")), begin(one, 2, ask(one, 2, "u2"))
        ask(one, 3, "u1")  # waits for u0's rack; all has one place left
        self.assertEqual(ask(one, 20, "u4", urgency=0)["state"], "asked")
        self.assertIn("kept", one.apply(20, {"do": "status", "unit": "u4"})["waits"])
        one.apply(21, {"do": "cancel", "unit": "u0"})
        see(one, 22, ["u0"])
        self.assertEqual(
            [one.apply(23, {"do": "status", "unit": name})["state"] for name in ("u1", "u4")],
            ["granted", "granted"],
        )


class Nonsense(unittest.TestCase):
    def test_every_bad_command_gets_a_sentence_and_changes_nothing(self):
        one = made()
        before = json.dumps(one.image())
        deep = []
        for _ in range(20):
            deep = [deep]
        for command in (
            None,
            [],
            7,
            {},
            {"do": "fly"},
            {"do": []},
            {"do": "ask"},
            {"do": "ask", "unit": "u0"},
            {"do": "tick", "more": 1},
            {"do": "tick", "part": "gangs"},
            {"do": "tick", 7: 7},
            {"do": "ask", "unit": "nobody", "plan": "p", "epoch": 1},
            {"do": "ask", "unit": "u0", "plan": "release:x", "epoch": 1},
            {"do": "ask", "unit": "u0", "plan": "p", "epoch": -1},
            {"do": "ask", "unit": "u0", "plan": "p", "epoch": True},
            {"do": "ask", "unit": "u" * 129, "plan": "p", "epoch": 1},
            {"do": "seen", "as_of": 10**9, "units": {}},
            {"do": "seen", "as_of": 0, "units": deep},
            {"do": "seen", "as_of": 0, "units": {"u0": object()}},
            {"do": "halt", "by": "a", "why": "b"},
            {"do": "halt", "by": "a", "why": "b", "where": {"x": 1}},
            {"do": "halt", "by": "a", "why": "b" * 70_000, "where": {}},
            {"do": "resume", "halt": 4},
            {"do": "back"},
            {"do": "back", "release": "r"},
            {"do": "vote", "release": "r", "epoch": 1, "wave": 0, "verdict": "on"},
            {
                "do": "release",
                "release": "r",
                "epoch": 1,
                "where": {},
                "build": "b",
                "earlier": "b",
                "waves": [1],
            },
            {"do": "declare", "epoch": 0},
            {"do": "declare", "epoch": 2, "units": {"x": {"kind": "cat"}}},
            {"do": "declare", "epoch": 2, "terms": {"bound": 0}},
            {"do": "declare", "epoch": 2, "gone": ["u9"]},
        ):
            reply = one.apply(1, command)
            self.assertGreater(len(reply.get("refused", "").split()), 2, command)
        self.assertEqual(json.dumps(one.image()), before)

    def test_a_command_of_any_shape_never_raises(self):
        chance = random.Random(5)
        values = [
            "u0",
            "u1",
            "r",
            "p",
            "",
            0,
            1,
            2,
            -1,
            1.5,
            True,
            None,
            [],
            {},
            [1],
            [0.5, 1],
            {"u0": ["ready", 0, ""]},
            {"zone": "z"},
            "on",
            "back",
            {"x": []},
            ["u0"],
            [[]],
            {"u0": {"kind": "pod"}},
            [BUDGETS[0]],
        ]
        one = made()
        for at in range(6_000):
            do = chance.choice([*COMMAND_FIELDS]).value
            command = {
                "do": do,
                **{
                    field: chance.choice(values)
                    for field in COMMAND_FIELDS[do]
                    if chance.random() < 0.9
                },
            }
            reply = one.apply(at, command)
            self.assertTrue(("ok" in reply) != ("refused" in reply))

    def test_an_image_taken_up_goes_on_the_same(self):
        world = SimulatedFleet(3, *make_layout(3, 2, 4))
        world.run(8)
        world.submit(
            do="release",
            release="r",
            epoch=1,
            where={},
            build="new",
            earlier="old",
            waves=[1],
            gate=False,
        )
        world.run(12)
        world.crash("unit-003")
        world.run(5)
        one, other = world.service.machine, DisruptionStateMachine()
        other.load(json.loads(json.dumps(one.image())))
        apply, same = one.apply, []

        def both(at, command):
            reply = apply(at, command)
            same.append(reply == other.apply(at, command))
            return reply

        one.apply = both
        world.run(20)
        self.assertTrue(all(same) and len(same) > 500)
        self.assertEqual(one.image(), other.image())


class HolderAlone(unittest.TestCase):
    def order(self, holder, now, **more):
        """It beats at `now` and is told at once to begin; gives the tokens of what it asked."""
        token = next(facts[0] for what, *facts in holder.advance_time(now) if what == "propose")
        order = {
            "do": "begin",
            "fence": 1,
            "plan": "p",
            "epoch": 1,
            "left": 100_000,
            "build": "",
            **more,
        }
        return [
            facts[0]
            for what, *facts in holder.receive_reply(
                now, token, {"ok": True, "at": 5, "orders": {"u": order}}
            )
            if what == "propose" and facts[1]["do"] == "begin"
        ]

    def test_a_yes_counts_within_the_bound_alone(self):
        for late, drains in ((19_000, True), (19_900, False), (50_000, False)):
            holder = DisruptionAgent("u", 0, "old")
            (token,) = self.order(holder, 100)
            effects = holder.receive_reply(100 + late, token, {"ok": True, "at": 6})
            self.assertEqual(any(what == "drain" for what, *_ in effects), drains, late)
            self.assertEqual(holder.state, "draining" if drains else "in")

    def test_old_fences_and_epochs_are_not_begun_again(self):
        holder = DisruptionAgent("u", 0, "old")
        (token,) = self.order(holder, 100, fence=4, epoch=3)
        holder.receive_reply(101, token, {"refused": "halted", "by": [], "again": 0, "at": 6})
        self.assertEqual(self.order(holder, 10_000, fence=4, epoch=3), [])
        self.assertEqual(self.order(holder, 20_000, fence=5, epoch=2), [])
        self.assertEqual(len(self.order(holder, 30_000, fence=5, epoch=3)), 1)

    def test_alone_it_begins_nothing_and_comes_back(self):
        holder = DisruptionAgent("u", 0, "old")
        (token,) = self.order(holder, 0)
        holder.receive_reply(10, token, {"ok": True, "at": 6})
        holder.finish_drain(20)
        self.assertTrue(holder.is_frozen(90_000))
        self.assertIn(("return", "new"), holder.finish_disruption(90_000, "new"))
        self.assertIn(("serve",), holder.finish_return(95_000, "new"))
        self.assertEqual(holder.state, "in")


class Search(RuleBasedStateMachine):
    """A model beside it that knows only what was said yes to and what was crashed: whoever went and is not back is out,
    and so is who crashed longer ago than anybody may not know it."""

    machine = DisruptionStateMachine

    def __init__(self):
        super().__init__()
        self.one, self.at, self.start = (
            made({"permit": 20_000}, self.machine),
            10,
            dict.fromkeys(NAMES, 0),
        )
        self.went, self.dead, self.orders, self.used, self.halt = {}, set(), {}, set(), None

    def do(self, **command):
        reply = self.one.apply(self.at, command)
        assert ("ok" in reply) != ("refused" in reply)
        return reply

    def look(self, names):
        told = {
            name: [
                "gone" if name in self.dead else "out" if name in self.went else "ready",
                self.start[name],
                "",
            ]
            for name in names
        }
        self.orders.update(
            {
                name: (order["fence"], order["epoch"])
                for name, order in self.do(do="seen", as_of=self.at, units=told)["orders"].items()
                if order["do"] == "begin"
            }
        )

    @rule(wait=st.sampled_from([1, 500, 9_000, 21_000]))
    def passes(self, wait):
        self.at += wait
        self.do(do="tick")

    @rule(names=st.lists(st.sampled_from(NAMES), min_size=1, unique=True))
    def seen(self, names):
        self.at += 1
        self.look(names)

    @rule()
    def all_seen(self):
        self.at += 1
        self.look(NAMES)

    @rule(
        name=st.sampled_from(NAMES), plan=st.sampled_from(["ann", "bob"]), urgency=st.integers(0, 9)
    )
    def asks(self, name, plan, urgency):
        reply = self.do(do="ask", unit=name, plan=plan, epoch=1, urgency=urgency)
        if reply.get("state") == "granted":
            self.orders[name] = reply["order"]["fence"], reply["order"]["epoch"]

    @precondition(lambda self: self.orders)
    @rule(data=st.data())
    def begins(self, data):
        """By an order it got at any time: the machine has to know which are over."""
        name = data.draw(st.sampled_from(sorted(self.orders)))
        fence, epoch = self.orders[name]
        if name in self.dead or name in self.went:
            return
        reply = self.do(do="begin", unit=name, fence=fence, epoch=epoch, start=self.start[name])
        if "ok" in reply:
            assert fence not in self.used, "A2: a permit was used twice"
            assert self.halt is None, "A3: a begin was granted under a halt"
            self.used.add(fence)
            self.went[name] = fence
            known = set(self.went) | {one for one in self.dead if self.start.get("told " + one)}
            rack = NAMES.index(name) // 2 * 2
            assert len(known & set(NAMES[rack : rack + 2])) <= 1, "A1: a rack lost two"
            assert len(known) <= 3, "A1: fewer than five are ready"

    @precondition(lambda self: self.went)
    @rule(data=st.data())
    def returns(self, data):
        name = data.draw(st.sampled_from(sorted(self.went)))
        self.do(do="return", unit=name, fence=self.went.pop(name))

    @rule(name=st.sampled_from(NAMES))
    def crashes(self, name):
        """And is seen to be gone."""
        self.at += 1
        self.dead.add(name)
        self.went.pop(name, None)
        self.look([name])
        self.start["told " + name] = True

    @precondition(lambda self: self.dead)
    @rule(data=st.data())
    def restarts(self, data):
        name = data.draw(st.sampled_from(sorted(self.dead)))
        self.dead.discard(name)
        self.start[name] += 1
        self.at += 1
        self.start.pop("told " + name)
        self.look([name])

    @rule()
    def halts(self):
        self.halt = self.halt or self.do(do="halt", by="ann", why="smoke", where={})["halt"]

    @precondition(lambda self: self.halt)
    @rule()
    def resumes(self):
        self.do(do="resume", halt=self.halt)
        self.halt = None

    @rule(name=st.sampled_from(NAMES))
    def cancels(self, name):
        self.do(do="cancel", unit=name)

    def teardown(self):
        other = DisruptionStateMachine()
        other.load(self.one.image())
        assert other.image() == self.one.image()


def search(machine=DisruptionStateMachine, examples=60):
    kind = type("Search", (Search,), {"machine": machine})
    run_state_machine_as_test(
        kind,
        settings=settings(
            max_examples=examples,
            stateful_step_count=30,
            derandomize=True,
            deadline=None,
            database=None,
            print_blob=False,
            phases=[Phase.generate],
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


class Changed:
    """A module's or class' attribute replaced for a while."""

    def __init__(self, owner, name, value):
        self.owner, self.name, self.value = owner, name, value

    def __enter__(self):
        self.was = getattr(self.owner, self.name)
        setattr(self.owner, self.name, self.value)

    def __exit__(self, *_):
        setattr(self.owner, self.name, self.was)


class NoFence(DisruptionStateMachine):
    """Takes any permit of a unit that was ever granted."""

    def _begin(self, command):
        one = self.fleet.get_unit(command.unit)
        if one.state == PermitState.IN_SERVICE and command.fence <= one.fencing_token:
            one.state = PermitState.GRANTED
        one.request = one.request or PermitRequest(0, 0, "x", command.epoch)
        return super()._begin(command._replace(fence=one.fencing_token))


class Broken(unittest.TestCase):
    """Each of these has to be found, by the search or by the checker that looks from outside at who serves."""

    def test_the_search_finds_nothing_in_the_real_one(self):
        search()

    def test_fencing_unread(self):
        with self.assertRaises(AssertionError):
            search(NoFence, 300)

    def test_lapsed_permits_freed(self):
        with Changed(Fleet, "_end_permit", lambda self, unit: setattr(unit, "request", None)):
            self.assertIn("A1", self.lapse(None))

    def test_halt_told_to_reachable_ones_only(self):
        """Stops those who hear it, and goes on saying yes to the others."""

        class Told(DisruptionStateMachine):
            def _halt(self, command):
                self.reachable = {
                    name
                    for name, unit in self.fleet.units.items()
                    if unit.ready_at + TICKS_PER_SECOND > self.fleet.at
                }
                return super()._halt(command)

            def explain_hold(self, unit):
                if unit.name not in getattr(self, "reachable", ()):
                    return None
                return super().explain_hold(unit)

        self.assertIn("A3", self.halted(Told))
        self.assertEqual(self.halted(DisruptionStateMachine), "")

    def test_holders_without_a_bound(self):
        with Changed(DisruptionAgent, "local_bound", lambda self: 10**9):
            self.assertIn("A2", self.halted(DisruptionStateMachine, slow=True))
        self.assertEqual(self.halted(DisruptionStateMachine, slow=True), "")

    def test_a_way_back_outside_the_budgets(self):
        def loose(fleet, explain_hold, grant_permits=scheduler.grant_permits):
            for unit in [one for one in fleet.requesting.values() if one.request.rollback]:
                fleet.transition(unit, PermitInput.GRANTED)
            grant_permits(fleet, explain_hold)

        def unasked(self, unit, find_exceeded=Fleet.find_exceeded_budget):
            return None if unit.request.rollback else find_exceeded(self, unit)

        with Changed(scheduler, "grant_permits", loose):
            self.assertEqual(self.back(), "", "the begin is checked by itself")
        with (
            Changed(scheduler, "grant_permits", loose),
            Changed(Fleet, "find_exceeded_budget", unasked),
        ):
            self.assertIn("A1", self.back())
        self.assertEqual(self.back(), "")

    def test_silence_taken_for_death(self):
        """Of a dead one it is known that its going takes nothing away; of all that are silent after a blackout not."""

        def dark():
            world = SimulatedFleet(9, *make_layout(3, 2, 5))
            world.run(8)
            for name in sorted(world.units):
                world.submit(do="ask", unit=name, plan="ann", epoch=1)
            world.service.fail()
            world.run(20)
            world.service.restart()
            return " ".join(world.run(10).checker.violations)

        with Changed(
            Unit,
            "is_reported_unavailable",
            lambda self, at, silent: not self.is_reported_ready(at, silent),
        ):
            self.assertIn("A1", dark())
        self.assertEqual(dark(), "")

    def test_evidence_without_a_date(self):
        def undated(self, unit, as_of, *told, record_report=Fleet.record_report):
            record_report(self, unit, self.at, *told)

        one = made()
        with Changed(Fleet, "record_report", undated):
            self.assertEqual(self.old_look(one), "granted")
        self.assertEqual(self.old_look(made()), "asked")

    def old_look(self, one):
        """A look at u0 from before its permit lapsed comes after that."""
        ask(one, 2, "u0")
        one.apply(100_003, {"do": "tick"})
        one.apply(
            100_010,
            {
                "do": "seen",
                "as_of": 90_000,
                "units": {"u0": ["ready", 0, ""], "u1": ["ready", 0, ""]},
            },
        )
        see(one, 100_011, NAMES[1:])
        return ask(one, 100_012, "u1")["state"]

    def lapse(self, machine):
        """u0 is granted and says nothing; its room is given to u1 when its permit lapses."""
        one = made()
        ask(one, 2, "u0")
        see(one, 50_000, NAMES)
        see(one, 99_999, NAMES)
        one.apply(100_003, {"do": "tick"})
        return "A1" if ask(one, 100_004, "u1")["state"] == "granted" else ""

    def halted(self, machine, slow=False):
        world = SimulatedFleet(
            5,
            *make_layout(3, 2, 5),
            make_machine=machine,
            settings=DisruptionSettings(permit=200_000, silent=200_000),
        )
        world.run(8)
        names = sorted(world.units)
        for name in names:
            world.units[name].suspended_until = (
                world.now + 9 * TICKS_PER_SECOND if name in names[::2] else 0
            )
        for name in names:
            world.submit(do="ask", unit=name, plan="ann", epoch=1)
        carry = world.deliver
        if slow:  # a yes that is long on its way
            world.deliver = lambda sender, to, call: world.schedule(
                4 * TICKS_PER_SECOND if sender == "keepers" else 0, lambda: carry(sender, to, call)
            )
        world.run(2)
        if not slow:
            halt = world.submit(do="halt", by="ann", why="smoke", where={})
            world.checker.record_halt(halt["halt"], world.now, set(names))
        world.run(30)
        return " ".join(world.checker.violations)

    def back(self):
        world = SimulatedFleet(6, *make_layout(3, 2, 5))
        world.run(8)
        world.submit(
            do="release",
            release="r",
            epoch=1,
            where={},
            build="new",
            earlier="old",
            waves=[1],
            gate=False,
        )
        world.run_until(lambda: len(world.list_with_build("new")) > 20)
        world.submit(do="back", release="r")
        world.run(40)
        return " ".join(world.checker.violations)


class Table(unittest.TestCase):
    def test_nothing_leads_out_but_a_begin(self):
        self.assertEqual(
            [key for key, (state, _) in PERMIT_TRANSITIONS.items() if state == "draining"],
            [("granted", "began")],
        )


if __name__ == "__main__":
    unittest.main()

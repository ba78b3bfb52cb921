"""Steps of the stories.

The checker is `thymeknot.disruption.invariant_checker`, which observes which units serve.
"""

from pytest import fixture
from pytest_bdd import given, parsers, scenarios, then, when

from thymeknot.disruption.simulated_fleet import SimulatedFleet
from thymeknot.disruption.simulated_layout import make_layout
from thymeknot.interface.clock import TICKS_PER_SECOND

scenarios("drains.feature", "releases.feature", "halts.feature")


@fixture
def story():
    return {"votes": False, "reply": None, "outs": []}


@given(
    parsers.parse("a fleet of {many:d} units in {zones:d} zones on a lossy network"),
    target_fixture="world",
)
def create_fleet(many, zones):
    world = SimulatedFleet(many + zones, *make_layout(zones, 4, many // zones // 4))
    assert world.declare_reply["ok"]
    return world.run(8)


def units_with_label(world, label, value):
    return sorted(name for name, unit in world.units.items() if unit.labels.get(label) == value)


def request_drain(world, operator, name):
    reply = world.submit(do="ask", unit=name, plan=operator, epoch=1)
    assert "at" in reply
    return reply


def start_release(world, waves, name="spring", build="new", **options):
    return world.submit(
        do="release",
        release=name,
        epoch=1,
        where={},
        build=build,
        earlier="old",
        waves=waves,
        **options,
    )


def release_state(world, name="spring"):
    return world.submit(do="status")["releases"][name]


# Drain requests.


@when(
    parsers.parse("{who} requests drains of all units of {label} {value} starting with the {end}")
)
def request_all(world, who, label, value, end):
    for name in sorted(units_with_label(world, label, value), reverse=end == "last"):
        request_drain(world, who, name)


@when(parsers.re(r"(?P<who>\w+) requests a drain of (?P<name>unit-\d+)"))
def request_unit(world, who, name):
    request_drain(world, who, name)


@when(parsers.parse("{name} is partitioned while it requests a drain"))
def partition_while_requesting(world, name):
    request_drain(world, "ann", name)
    world.partition([name])


@when(parsers.parse("{name} is suspended for {seconds:d} seconds as soon as its drain is granted"))
def suspend_on_grant(world, name, seconds):
    assert world.submit(do="status", unit=name)["state"] == "granted"
    world.suspend(name, seconds)


@when(parsers.parse("the path from the keepers to {name} fails as soon as its drain is granted"))
def partition_on_grant(world, name):
    while world.units[name].agent.state != "confirming":
        world.run(0.001)
    world.partition([name], "from")


@when(parsers.re(r"(?P<name>unit-\d+) begins its drain, and (?P<rest>.*)"))
def interrupt_drain(world, name, rest):
    assert world.run_until(lambda: world.units[name].agent.state == "draining", 30)
    if "crashes" in rest:
        world.crash(name, 5)
    else:
        assert world.submit(do="cancel", unit=name)["ok"]


@when(
    parsers.re(
        r"for (?P<seconds>\d+) seconds other units of zone (?P<zone>\w+) drain and return in turn"
    )
)
def keep_zone_busy(world, story, seconds, zone):
    """The other units request a drain as soon as they are back, with the highest urgency."""
    names = [name for name in units_with_label(world, "zone", zone) if name != "unit-000"]

    def request_next():
        for name in names:
            if world.units[name].agent.state == "out":
                world.perform(
                    world.units[name],
                    world.units[name].agent.finish_disruption(world.read_clock(world.units[name])),
                )
            elif world.units[name].agent.state == "in":
                world.submit(do="ask", unit=name, plan="crowd", epoch=1, urgency=0)
        world.schedule(TICKS_PER_SECOND, request_next)

    request_next()
    story["busy"] = int(seconds)


@when("ann requests a drain of unit-000 after the first 30 seconds")
def request_after_delay(world):
    world.run(30)
    request_drain(world, "ann", "unit-000")


# Events in the fleet.


@when(parsers.parse("{seconds:d} seconds pass"))
def advance_time(world, seconds):
    world.run(seconds)


@when(parsers.parse("{many:d} units of zone {zone} crash"))
def crash_units(world, many, zone):
    for name in units_with_label(world, "zone", zone)[-many:]:
        world.crash(name)


@when(parsers.parse("{many:d} units of zone {zone} crash for {seconds:d} seconds"))
def crash_units_temporarily(world, many, zone, seconds):
    for name in units_with_label(world, "zone", zone)[-many:]:
        world.crash(name, seconds)


@when(parsers.parse("{many:d} units crash for {seconds:d} seconds during the release"))
def crash_units_at_intervals(world, many, seconds):
    for number, name in enumerate(sorted(world.units)[:: len(world.units) // many][:many]):
        world.schedule(
            (10 + 15 * number) * TICKS_PER_SECOND, lambda name=name: world.crash(name, seconds)
        )


@when(
    parsers.parse(
        "all units with the new build crash for {seconds:d} seconds and never finish their warm-up"
    )
)
def crash_new_build(world, seconds):
    world.failing_build = "new"
    for name in world.list_with_build("new"):
        world.crash(name, seconds)


@when("the network heals")
def heal_network(world):
    world.heal()


@when("a third of the units is partitioned")
def partition_a_third(world):
    world.partition(sorted(world.units)[::3])


@when(parsers.parse("every reply takes {seconds:d} seconds"))
def delay_replies(world, seconds):
    deliver = world.deliver
    world.deliver = lambda sender, to, call: (
        world.schedule(seconds * TICKS_PER_SECOND, lambda: deliver(sender, to, call))
        if sender == "keepers"
        else deliver(sender, to, call)
    )


@when("all keepers fail")
def stop_keepers(world):
    world.service.fail()


@when("the keepers restart")
def restart_keepers(world):
    world.service.restart()


@when("units that are out return on their own")
def return_automatically(world):
    def return_units():
        for unit in world.units.values():
            if unit.is_alive and unit.agent.state == "out":
                world.perform(unit, unit.agent.finish_disruption(world.read_clock(unit)))
            if (
                record := world.service.machine.fleet.units[unit.name]
            ).state == "asked" and world.service.is_up:
                world.submit(do="cancel", unit=record.name)
        world.schedule(TICKS_PER_SECOND, return_units)

    return_units()


# Releases and halts.


@when(parsers.re(r"a release in waves of (?P<waves>[\d., and]+) begins"))
def begin_release(world, waves):
    shares = [float(part) for part in waves.replace("and", ",").replace(" ", "").split(",") if part]
    reply = start_release(world, [1 if part == 1 else part for part in shares])
    assert reply["ok"], reply


@when("the decision module approves each completed wave")
def vote_forward(world, story):
    story["ends"] = None

    def vote():
        release = world.service.machine.releases.by_name["spring"]
        updated = len([name for name in release.members if world.units[name].build == "new"])
        assert updated <= release.waves[release.wave], (
            "more units than the wave allows have the new build"
        )
        if release.state == "going" and updated >= release.waves[release.wave]:
            world.submit(do="vote", release="spring", epoch=1, wave=release.wave, verdict="on")
        world.schedule(TICKS_PER_SECOND, vote)

    vote()


@when("the operator resumes every halt caused by crashes")
def resume_crash_halts(world):
    def resume():
        for number, halt in list(world.service.machine.halts.by_number.items()):
            if halt.cause == "crashes":
                world.submit(do="resume", halt=number)
        world.schedule(5 * TICKS_PER_SECOND, resume)

    resume()


@when("the decision module votes for a rollback")
def vote_rollback(world, story):
    release = release_state(world)
    assert release["home"] > 0
    reply = world.submit(do="vote", release="spring", epoch=1, wave=release["wave"], verdict="back")
    assert reply["state"] == "backing", reply
    world.rolled_back = set(world.units)


@when("the operator requests a rollback")
def request_rollback(world):
    reply = world.submit(do="back", release="spring")
    assert reply.get("ok"), reply
    world.rolled_back = set(world.units)


@when("a vote for an unfinished wave arrives")
def vote_early(world, story):
    story["reply"] = world.submit(do="vote", release="spring", epoch=1, wave=1, verdict="on")


@when("one unit that is out will report a lost disk")
def set_return_fault(world, story):
    name = next(
        name for name, unit in world.units.items() if unit.agent.state in ("draining", "out")
    )
    world.units[name].return_fault, story["lame"] = "its disk is gone", name


@when("another release of the same units is requested")
def request_conflicting_release(world, story):
    story["reply"] = start_release(world, [1], "summer", "newer")


@when("another release of the same units is requested that waits")
def request_waiting_release(world, story):
    assert start_release(world, [1], "summer", "newer", wait=True)["state"] == "waiting"


@when("the operator halts the fleet")
def halt_fleet(world, story):
    for number in list(world.checker.halts):
        world.checker.record_resume(number)
    reply = world.submit(do="halt", by="operator", why="elevated error rate", where={})
    assert reply["ok"] and reply["bound"] == world.checker.bound
    world.checker.record_halt(reply["halt"], world.now, set(world.units))
    world.rolled_back, story["halted"] = set(), world.now


@when("request class pay misses its objective in zone z0")
def halt_request_class(world):
    reply = world.submit(
        do="halt",
        by="class pay",
        why="9 of 10 in time, 95 of 100 required",
        cause="class",
        where={"zone": "z0", "lane": "pay"},
    )
    world.checker.record_halt(reply["halt"], world.now, set(units_with_label(world, "zone", "z0")))


# Checks.


@then("no invariant was violated")
def assert_no_violation(world):
    assert world.checker.violations == []


@then(parsers.parse("{many:d} units of {label} {value} are out"))
def assert_units_out(world, many, label, value):
    assert (
        len(
            [
                name
                for name in units_with_label(world, label, value)
                if not world.units[name].is_serving
            ]
        )
        == many
    )


@then(parsers.parse("at most {many:d} unit of {label} {value} is out or partitioned"))
def assert_max_units_out(world, many, label, value):
    cut = {name for pair in world.partitions for name in pair}
    assert (
        len(
            [
                name
                for name in units_with_label(world, label, value)
                if not world.units[name].is_serving or name in cut
            ]
        )
        <= many
    )


@then("each waiting request names a budget and the units that block it")
def assert_waiting_units_know_budget(world):
    waiting = [
        entry for entry in world.submit(do="status")["away"].values() if entry["state"] == "asked"
    ]
    replies = [
        world.submit(do="status", unit=name)
        for name, unit in world.service.machine.fleet.requesting.items()
    ]
    assert replies and len(waiting) == len(replies)
    for reply in replies:
        assert "budget" in reply["waits"] and any(
            name.startswith("unit-") for name in reply["by"]
        ), reply


@then("the waiting request names the halt")
def assert_waiting_units_know_halt(world):
    assert "class pay" in world.submit(do="status", unit="unit-000")["waits"]


@then(parsers.re(r"(?P<name>unit-\d+) serves"))
def assert_unit_serves(world, name):
    assert world.units[name].is_serving


@then(parsers.re(r"(?P<name>unit-\d+) is out"))
def assert_unit_out(world, name):
    assert not world.units[name].is_serving


@then("every unit serves")
def assert_all_serve(world):
    assert world.run_until(lambda: len(world.list_serving()) == len(world.units), 60)


@then("no unit holds a permit")
def assert_no_permits(world):
    assert world.run_until(lambda: not world.service.machine.fleet.permitted, 30)


@then("the keepers know which units are out")
def assert_keepers_know_units_out(world):
    assert world.run_until(
        lambda: world.submit(do="status")["out"] == len(world.units) - len(world.list_serving()), 30
    )


@then(parsers.parse("no live unit of zone {zone} is out"))
def assert_no_live_unit_out(world, zone):
    assert [
        name
        for name in units_with_label(world, "zone", zone)
        if world.units[name].is_alive and not world.units[name].is_serving
    ] == []


@then(parsers.parse("unit-000 goes out within {seconds:d} seconds"))
def assert_unit_was_out(world, seconds):
    assert world.run_until(
        lambda: any(name == "unit-000" for _, name in world.checker.disruptions), seconds
    )


@then(parsers.parse("the release is finished within {seconds:d} seconds"))
def assert_release_done(world, seconds):
    assert world.run_until(lambda: release_state(world)["state"] == "done", seconds), release_state(
        world
    )


@then(parsers.parse("the rollback is finished within {seconds:d} seconds"))
def assert_rollback_finished(world, seconds):
    assert world.run_until(lambda: release_state(world)["state"] == "backed", seconds), (
        release_state(world)
    )


@then("the rollback stops short and names that unit and its disk")
def assert_rollback_incomplete(world, story):
    assert world.run_until(lambda: release_state(world)["state"] == "left", 200), release_state(
        world
    )
    assert release_state(world)["aside"] == {story["lame"]: "its disk is gone"}


@then("all other units have the old build")
def assert_others_have_old_build(world, story):
    assert {unit.build for name, unit in world.units.items() if name != story["lame"]} == {"old"}


@then(parsers.parse("every unit has the {build} build"))
def assert_all_have_build(world, build):
    assert len(world.list_with_build(build)) == len(world.units)


@then(parsers.parse("{many:d} units have the new build"))
def assert_units_have_new_build(world, many):
    assert len(world.list_with_build("new")) == many


@then("it is rejected with an explanation")
def assert_rejected(story):
    assert len(story["reply"]["refused"].split()) > 4 and "spring" in story["reply"]["refused"]


@then(parsers.parse("the other release is running within {seconds:d} seconds"))
def assert_other_release_running(world, seconds):
    assert world.run_until(lambda: release_state(world, "summer")["state"] == "going", seconds)


@then("the release is held")
def assert_release_held(world):
    assert release_state(world)["state"] == "held"


@then("no unit goes out after the bound")
def assert_no_disruption_after_bound(world, story):
    assert [
        one for one in world.checker.disruptions if one[0] > story["halted"] + world.checker.bound
    ] == []


@then("a halt names a budget and the units that exceeded it")
def assert_halt_names_budget(world):
    halts = world.submit(do="status")["halts"].values()
    assert any("budget" in halt and "unit-" in halt for halt in halts), halts


@then("no halt is active")
def assert_no_halt(world):
    assert world.submit(do="status")["halts"] == {}

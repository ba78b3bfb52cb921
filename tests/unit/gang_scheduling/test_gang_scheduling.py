"""Tests of gang scheduling.

They cover the transition table, concurrent and crashing schedulers, losses and drains, queue order
and preemption, and the placement search.
"""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from measure.gangs import simulate_schedulers
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
property_settings = settings(derandomize=True, deadline=None, max_examples=60)


class ClusterFixture:
    """A gang scheduling state machine with a small cluster and a clock.

    The cluster has `racks` racks of `hosts` machines of `slots` slots each.
    """

    def __init__(
        self,
        racks=2,
        hosts=2,
        slots=4,
        state_machine_class=state_machine.GangStateMachine,
        gang_settings=None,
    ):
        self.state_machine, self.now = state_machine_class(gang_settings), SECOND
        for rack in range(racks):
            self.apply_accepted(
                "stand",
                rack=f"r{rack}",
                zone=f"z{rack // 2}",
                cluster="c",
                bandwidth=10**9,
                machines={f"r{rack}m{host}": {"slots": slots} for host in range(hosts)},
            )

    def apply(self, command_tag, **fields):
        return self.state_machine.apply(self.now, {"part": "gangs", "do": command_tag, **fields})

    def apply_accepted(self, command_tag, **fields):
        reply = self.apply(command_tag, **fields)
        assert reply.get("ok"), reply
        return reply

    def offer(self, name, workers=4, **job_fields):
        return self.apply(
            "offer",
            gang=name,
            job={
                "workers": workers,
                "pattern": "ring",
                "bytes": 10**6,
                "target": SECOND,
                "publisher": "p",
                "checkpoint": 60 * SECOND,
                **job_fields,
            },
        )

    def find_plan(self, name):
        return placement_search.find_placement(
            self.state_machine.topology_with_traffic(), self.record(name).gang, self.now
        )

    def reserve(self, name, plan=None):
        plan = plan or self.find_plan(name)
        return self.apply("hold", gang=name, places=plan.placement, versions=plan.versions)

    def start_gang(self, name, **job_fields):
        if name not in self.state_machine.state.gangs:
            self.offer(name, **job_fields)
        fence = self.reserve(name)["fence"]
        self.apply_accepted("bind", gang=name, fence=fence)
        self.apply_accepted("start", gang=name, fence=fence)
        return fence

    def record(self, name):
        return self.state_machine.state.gangs[name]

    def state_of(self, name):
        return (
            self.record(name).state
            if name in self.state_machine.state.gangs
            else self.state_machine.state.ended.get(name)
        )

    def machines_of(self, name):
        return sorted(self.record(name).placement)

    def advance(self, seconds):
        self.now += int(seconds * SECOND)
        self.apply_accepted("tick")

    def invariant_violations(self):
        """Returns violated invariants, derived from the state machine's image only."""
        image, used, violations = self.state_machine.image(), {}, []
        for name, record in image["gangs"].items():
            placed = sum(record["places"].values())
            for machine, count in record["places"].items():
                used[machine] = used.get(machine, 0) + count
            must_be_complete = record["state"] in ("held", "bound", "running", "moving")
            if (
                placed
                and record["state"] == "offered"
                or must_be_complete
                and placed != record["gang"]["workers"]
            ):
                violations.append(f"{name} half placed")
            if (
                record["state"] in ("held", "bound", "hurt", "moving")
                and record["lease"] <= image["at"]
            ):
                violations.append(f"{name} past its lease")
        for rack in image["places"]["racks"].values():
            for machine, host in rack["hosts"].items():
                if used.get(machine, 0) > host["slots"] or host["free"] != host["slots"] - used.get(
                    machine, 0
                ):
                    violations.append(f"{machine} has slots twice")
        return violations


class LifecycleTest(unittest.TestCase):
    def test_transitions_match_the_table(self):
        states = [GangState.OFFERED, *STATES_WITH_SLOTS]
        inputs = sorted({gang_input for _, gang_input in TRANSITIONS})
        for state, gang_input in itertools.product(states, inputs):
            cluster = ClusterFixture()
            cluster.start_gang("g")
            record = cluster.record("g")
            record.state = state
            details = (
                {"removed": {cluster.machines_of("g")[0]: 1}}
                if gang_input in ("lost", "taken")
                else {}
            )
            if gang_input.startswith("mend") or gang_input == "hold":
                details = {"placement": dict(record.placement)}
            if gang_input == "hold":
                cluster.state_machine.lifecycle.set_placement(record, {})
            try:
                cluster.state_machine.lifecycle.transition("g", gang_input, **details)
                self.assertEqual(
                    record.state, TRANSITIONS[state, gang_input][0], (state, gang_input)
                )
            except CommandRejectedError as rejection:
                self.assertNotIn((state, gang_input), TRANSITIONS)
                self.assertIn("does not go with that", rejection.reply["refused"])
                self.assertEqual(record.state, state)

    def test_gang_runs_to_completion(self):
        cluster = ClusterFixture()
        fence = cluster.start_gang("g")
        self.assertEqual(
            cluster.apply_accepted("checkpoint", gang="g", fence=fence)["next"], "go on"
        )
        self.assertIn("fence", cluster.apply("done", gang="g", fence=fence + 1)["refused"])
        cluster.apply_accepted("done", gang="g", fence=fence)
        self.assertEqual(cluster.state_of("g"), "done")
        self.assertIn("new name", cluster.offer("g")["refused"])
        self.assertEqual(cluster.invariant_violations(), [])

    def test_reservation_covers_all_workers_or_none(self):
        cluster = ClusterFixture()
        cluster.offer("g")
        self.assertIn(
            "All or none",
            cluster.apply("hold", gang="g", places={"r0m0": 3}, versions={"r0": 1})["refused"],
        )
        self.assertIn(
            "No version",
            cluster.apply("hold", gang="g", places={"r0m0": 4}, versions={"r1": 1})["refused"],
        )
        self.assertIn("have room for 16", cluster.offer("h", workers=17)["refused"])

    def test_loaded_state_machine_continues_like_the_original(self):
        original, loaded = ClusterFixture(), ClusterFixture()
        original.start_gang("g", needs={})
        original.offer("h")
        loaded.state_machine.load(original.state_machine.image())
        for cluster in (original, loaded):
            cluster.now = 2 * SECOND
            cluster.reserve("h")
            cluster.advance(20)
        self.assertEqual(original.state_machine.image(), loaded.state_machine.image())

    plain_values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3)
        ),
        max_leaves=6,
    )

    @property_settings
    @given(
        st.sampled_from(
            "stand uplink share planned offer hold bind start checkpoint done mend withdraw preempt "
            "lost back drain_asked tick nonsense".split()
        ),
        st.dictionaries(
            st.sampled_from("gang job fence versions places machine name kind by drain".split()),
            plain_values,
            max_size=4,
        ),
        plain_values,
    )
    def test_malformed_commands_are_rejected_without_effect(self, command_tag, fields, other_value):
        cluster = ClusterFixture()
        for command in ({"part": "gangs", "do": command_tag, **fields}, other_value):
            before = cluster.state_machine.image()
            reply = cluster.state_machine.apply(cluster.now, command)
            self.assertTrue(
                reply.get("ok") and command_tag == "tick" or reply["refused"].endswith("."), reply
            )
            after = cluster.state_machine.image()
            before.pop("counted"), after.pop("counted")
            self.assertEqual(before, after)

    def test_invalid_jobs_are_rejected(self):
        cluster = ClusterFixture()
        for job_fields, expected_text in (
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
            self.assertIn(expected_text, cluster.offer("g", **job_fields)["refused"])


class IgnoresVersions(state_machine.GangStateMachine):
    """Faulty variant: accepts a placement without checking rack versions and free capacity."""

    def _check_capacity(self, record, placement, versions):
        pass


class IgnoresLeases(state_machine.GangStateMachine):
    """Faulty variant: never expires leases."""

    def _expire_leases(self):
        pass


class ConcurrentSchedulersTest(unittest.TestCase):
    def reserve_concurrently(self, state_machine_class=state_machine.GangStateMachine):
        """Lets two schedulers score the same rack before either of them reserves slots."""
        cluster = ClusterFixture(racks=1, hosts=1, state_machine_class=state_machine_class)
        cluster.offer("g")
        cluster.offer("h")
        first_plan, second_plan = cluster.find_plan("g"), cluster.find_plan("h")
        return cluster, cluster.reserve("g", first_plan), cluster.reserve("h", second_plan)

    def test_second_of_two_concurrent_reservations_is_rejected(self):
        cluster, first, second = self.reserve_concurrently()
        self.assertTrue(first["ok"])
        self.assertEqual(second["by"], ["r0"])
        self.assertIn("scored at", second["refused"])
        self.assertEqual(cluster.invariant_violations(), [])

    def test_change_of_another_machine_in_the_rack_invalidates_a_plan(self):
        cluster = ClusterFixture(racks=1)
        cluster.offer("g")
        plan = cluster.find_plan("g")
        cluster.apply_accepted("planned", machines=["r0m1"], at=99)
        self.assertIn("scored at", cluster.reserve("g", plan)["refused"])

    def test_invariants_detect_ignored_versions(self):
        self.assertIn(
            "r0m0 has slots twice",
            self.reserve_concurrently(IgnoresVersions)[0].invariant_violations(),
        )

    def let_reservation_expire(self, state_machine_class=state_machine.GangStateMachine):
        """Lets a lease expire, as when a scheduler crashes between reservation and bind."""
        cluster = ClusterFixture(racks=1, hosts=1, state_machine_class=state_machine_class)
        cluster.offer("g")
        fence = cluster.reserve("g")["fence"]
        cluster.advance(10)
        return cluster, fence

    def test_scheduler_crash_between_reservation_and_bind(self):
        cluster, fence = self.let_reservation_expire()
        self.assertEqual((cluster.state_of("g"), cluster.invariant_violations()), ("offered", []))
        self.assertIn(
            "offered", cluster.apply("bind", gang="g", fence=fence)["refused"]
        )  # the scheduler resumes after its lease has expired
        cluster.advance(2)
        self.assertNotEqual(cluster.reserve("g")["fence"], fence)

    def test_invariants_detect_ignored_leases(self):
        self.assertIn(
            "g past its lease", self.let_reservation_expire(IgnoresLeases)[0].invariant_violations()
        )

    def test_random_schedules_hold_invariants_and_expose_faulty_variants(self):
        for state_machine_class, expected_violation in (
            (state_machine.GangStateMachine, None),
            (IgnoresVersions, "slots_twice"),
            (IgnoresLeases, "half_placed"),
        ):
            counts = simulate_schedulers(3, 600, state_machine_class)
            for name in ("slots_twice", "half_placed"):
                if (
                    state_machine_class is state_machine.GangStateMachine
                    or name == expected_violation
                ):
                    self.assertEqual(
                        counts[name] > 0, name == expected_violation, (state_machine_class, name)
                    )

    def test_retries_are_limited_and_have_jitter(self):
        cluster, backoffs = ClusterFixture(racks=4), []
        for name in ("g", "h"):
            cluster.offer(name)
        while cluster.state_of("g") == "offered":
            for name in ("g", "h"):
                self.assertTrue(cluster.reserve(name)["ok"])
            cluster.advance(10)
            if cluster.state_of("g") == "offered":
                backoffs.append(
                    [cluster.record(name).backoff_until - cluster.now for name in ("g", "h")]
                )
                self.assertIn("backs off", cluster.reserve("g")["refused"])
                cluster.advance(60)
        self.assertEqual(len(backoffs), 7)
        self.assertTrue(all(first != second for first, second in backoffs))
        self.assertIn("8 leases", cluster.state_of("g"))


class LossAndDrainTest(unittest.TestCase):
    def test_lost_worker_is_replaced_in_place_under_a_new_fencing_token(self):
        cluster = ClusterFixture()
        old_fence = cluster.start_gang("g")
        cluster.apply_accepted("lost", kind="worker", name=cluster.machines_of("g")[0], gang="g")
        record = cluster.record("g")
        plan, method = worker_replacement.replace_failed_workers(
            cluster.state_machine.topology_with_traffic(),
            record.gang,
            cluster.now,
            record.placement,
            0,
        )
        reply = cluster.apply_accepted(
            "mend", gang="g", fence=old_fence, places=plan.placement, versions=plan.versions
        )
        self.assertEqual(
            (method, reply["way"], cluster.state_of("g")), ("in place", "in place", "bound")
        )
        self.assertIn("fence", cluster.apply("start", gang="g", fence=old_fence)["refused"])
        cluster.apply_accepted("start", gang="g", fence=reply["fence"])
        self.assertEqual(cluster.invariant_violations(), [])

    def test_whole_gang_moves_if_replacement_in_place_would_split_it(self):
        cluster = ClusterFixture(racks=4, hosts=1, slots=8)
        fence = cluster.start_gang("g", workers=8, bytes=10**9)
        machine = cluster.machines_of("g")[0]
        cluster.apply_accepted("lost", kind="worker", name=machine, gang="g")
        record = cluster.record("g")
        topology = cluster.state_machine.topology_with_traffic()
        topology.host(machine).draining_for = "another"  # no new workers fit there
        topology.mark_changed(machine)
        plan, method = worker_replacement.replace_failed_workers(
            topology, record.gang, cluster.now, record.placement, 0
        )
        self.assertEqual((method, len(plan.placement)), ("whole", 1))
        cluster.apply_accepted(
            "mend", gang="g", fence=fence, places=plan.placement, versions=plan.versions
        )
        self.assertEqual((cluster.state_of("g"), cluster.invariant_violations()), ("moving", []))

    def test_loss_releases_the_whole_reservation(self):
        for last_state in ("held", "bound"):
            cluster = ClusterFixture()
            cluster.offer("g")
            fence = cluster.reserve("g")["fence"]
            if last_state == "bound":
                cluster.apply_accepted("bind", gang="g", fence=fence)
            cluster.apply_accepted("lost", kind="machine", name=cluster.machines_of("g")[0])
            self.assertEqual(
                (cluster.state_of("g"), cluster.machines_of("g"), cluster.invariant_violations()),
                ("offered", [], []),
            )

    def test_degraded_gang_releases_its_slots_when_the_lease_expires(self):
        cluster = ClusterFixture()
        cluster.start_gang("g", workers=8)
        cluster.apply_accepted("lost", kind="worker", name=cluster.machines_of("g")[0], gang="g")
        cluster.advance(60)
        self.assertEqual(
            (cluster.state_of("g"), cluster.machines_of("g"), cluster.invariant_violations()),
            ("offered", [], []),
        )

    def test_drain_waits_for_the_checkpoint_and_blocks_new_workers(self):
        cluster = ClusterFixture(racks=1)
        fence = cluster.start_gang("g")
        machine = cluster.machines_of("g")[0]
        cluster.advance(1)
        reply = cluster.apply("drain_asked", machine=machine, drain="d")
        self.assertEqual((reply["by"], reply["again"]), (["g"], 59 * SECOND))
        self.assertEqual(cluster.state_machine.state.topology.host(machine).capacity(()), 0)
        self.assertIn(
            "drain d's", cluster.apply("drain_asked", machine=machine, drain="e")["refused"]
        )
        cluster.advance(30)
        checkpoint_reply = cluster.apply_accepted("checkpoint", gang="g", fence=fence)
        self.assertEqual((checkpoint_reply["next"], cluster.state_of("g")), ("mend", "hurt"))
        cluster.apply_accepted("drain_asked", machine=machine, drain="d")
        plan, _ = worker_replacement.replace_failed_workers(
            cluster.state_machine.topology_with_traffic(),
            cluster.record("g").gang,
            cluster.now,
            cluster.record("g").placement,
            0,
        )
        self.assertNotIn(machine, plan.placement)
        self.assertEqual(cluster.invariant_violations(), [])

    def test_drain_within_the_budget_is_immediate_only_once(self):
        cluster = ClusterFixture(racks=2, hosts=4, slots=1)
        cluster.start_gang("g", workers=4, spare=1)
        cluster.advance(1)
        first, fence = cluster.machines_of("g")[0], cluster.record("g").fence
        self.assertEqual(
            cluster.apply_accepted("drain_asked", machine=first, drain="d", unit=True)["gangs"],
            ["g"],
        )
        record = cluster.record("g")
        plan, _ = worker_replacement.replace_failed_workers(
            cluster.state_machine.topology_with_traffic(),
            record.gang,
            cluster.now,
            record.placement,
            0,
        )
        fence = cluster.apply_accepted(
            "mend", gang="g", fence=fence, places=plan.placement, versions=plan.versions
        )["fence"]
        second = cluster.machines_of("g")[0]
        self.assertIn(
            "until its checkpoint",
            cluster.apply("drain_asked", machine=second, drain="d", unit=True)["refused"],
        )
        cluster.apply_accepted("start", gang="g", fence=fence)
        cluster.advance(1)
        self.assertEqual(
            cluster.apply_accepted("drain_asked", machine=second, drain="d", unit=True)["gangs"],
            ["g"],
        )
        self.assertEqual(cluster.record("g").state, "hurt")

    def test_rack_is_lost_during_a_drain(self):
        cluster = ClusterFixture(racks=3)
        cluster.start_gang("g", workers=16)
        cluster.advance(1)
        self.assertIn("refused", cluster.apply("drain_asked", machine="r0m0", drain="d"))
        self.assertEqual(cluster.apply_accepted("lost", kind="rack", name="r0")["gangs"], ["g"])
        self.assertEqual((cluster.state_of("g"), cluster.invariant_violations()), ("hurt", []))
        cluster.apply_accepted("drain_asked", machine="r0m0", drain="d")
        record = cluster.record("g")
        plan, method = worker_replacement.replace_failed_workers(
            cluster.state_machine.topology_with_traffic(),
            record.gang,
            cluster.now,
            record.placement,
            0,
        )
        self.assertEqual(
            (method, {machine[:2] for machine in plan.placement}), ("in place", {"r1", "r2"})
        )
        cluster.apply_accepted(
            "mend", gang="g", fence=record.fence, places=plan.placement, versions=plan.versions
        )


class FairnessTest(unittest.TestCase):
    def test_preemption_waits_for_the_checkpoint_and_is_limited(self):
        cluster, fence = ClusterFixture(racks=1, hosts=1), None
        for round_number in range(2):
            fence = cluster.start_gang("low", priority=1)
            cluster.offer(f"high{round_number}", priority=50)
            until = cluster.apply_accepted("preempt", gang="low", by=f"high{round_number}")["until"]
            self.assertEqual(until, cluster.now + 120 * SECOND)
            self.assertEqual(cluster.state_of("low"), "running")
            self.assertEqual(
                cluster.apply_accepted("checkpoint", gang="low", fence=fence)["next"], "yield"
            )
            self.assertEqual(cluster.state_machine.queue()[0], f"high{round_number}")
            fence = cluster.start_gang(f"high{round_number}")
            cluster.apply_accepted("done", gang=f"high{round_number}", fence=fence)
        cluster.start_gang("low")
        cluster.offer("again", priority=90)
        self.assertIn(
            "as often as one has to", cluster.apply("preempt", gang="low", by="again")["refused"]
        )

    def test_gang_with_an_overdue_checkpoint_is_preempted(self):
        cluster = ClusterFixture(racks=1, hosts=1)
        cluster.start_gang("low", priority=1)
        cluster.offer("high", priority=50)
        cluster.apply_accepted("preempt", gang="low", by="high")
        cluster.advance(119)
        self.assertEqual(cluster.state_of("low"), "running")
        cluster.advance(1)
        self.assertEqual((cluster.state_of("low"), cluster.machines_of("low")), ("offered", []))

    def test_preemption_is_cancelled_if_the_beneficiary_is_withdrawn(self):
        cluster = ClusterFixture(racks=1, hosts=1)
        fence = cluster.start_gang("low", priority=1)
        cluster.offer("high", priority=50)
        cluster.apply_accepted("preempt", gang="low", by="high")
        cluster.apply_accepted("withdraw", gang="high")
        self.assertEqual(
            cluster.apply_accepted("checkpoint", gang="low", fence=fence)["next"], "go on"
        )

    def test_equal_priority_preempts_only_after_aging(self):
        cluster = ClusterFixture(racks=1, hosts=1)
        cluster.start_gang("first")
        cluster.offer("second")
        self.assertEqual(cluster.apply("preempt", gang="first", by="second")["again"], 60 * SECOND)
        cluster.advance(60)
        cluster.apply_accepted("preempt", gang="first", by="second")

    def test_large_gang_is_not_starved_by_small_gangs_of_higher_priority(self):
        cluster, random_source = ClusterFixture(racks=2, hosts=2), LinearCongruentialGenerator(5)
        cluster.offer("large", workers=16, priority=0)
        end_times = {}
        for number in range(400):
            cluster.advance(10)
            for name in [name for name, end in end_times.items() if end <= cluster.now]:
                cluster.apply_accepted("done", gang=name, fence=cluster.record(name).fence)
                del end_times[name]
            cluster.offer(f"s{number}", workers=2, priority=20)
            for name in cluster.state_machine.queue():
                plan = cluster.find_plan(name)
                if plan and cluster.reserve(name, plan).get("ok"):
                    if name == "large":
                        return self.assertGreater(
                            cluster.now, 1000 * SECOND
                        )  # not before its waiting time outweighs the others' priority
                    fence = cluster.record(name).fence
                    cluster.apply_accepted("bind", gang=name, fence=fence)
                    cluster.apply_accepted("start", gang=name, fence=fence)
                    end_times[name] = cluster.now + int((60 + 60 * random_source.draw()) * SECOND)
        self.fail("the large gang was never scheduled")

    def test_shares_are_borrowed_and_returned(self):
        cluster = ClusterFixture(racks=1, hosts=4)
        for publisher in ("p", "q"):
            cluster.apply_accepted("share", publisher=publisher, thousandths=500)
        self.assertIn("1100", cluster.apply("share", publisher="r", thousandths=100)["refused"])
        cluster.start_gang("p1", workers=8)
        fence = cluster.start_gang(
            "p2", workers=8, priority=90
        )  # borrows from q, as no other gang is queued
        cluster.offer("q1", workers=8, publisher="q", priority=0)
        cluster.offer("p3", workers=4, priority=99)
        cluster.apply_accepted(
            "preempt", gang="p2", by="q1"
        )  # allowed in spite of the priorities, because p2 borrows
        self.assertEqual(
            cluster.apply_accepted("checkpoint", gang="p2", fence=fence)["next"], "yield"
        )
        self.assertIn("q1 is due", cluster.reserve("p3")["refused"])
        cluster.start_gang("q1")
        self.assertEqual(cluster.invariant_violations(), [])


def make_topology(racks, hosts_per_rack=2, slots=4, random_source=None):
    topology = Topology(uplinks={"zone/c/z0": 3 * 10**9, "zone/c/z1": 10**9})
    for rack in range(racks):
        topology.add_rack(
            f"r{rack}",
            f"z{rack % 2}",
            "c",
            10**9,
            {f"r{rack}m{host}": MachineSpec(slots) for host in range(hosts_per_rack)},
        )
        for machine in topology.racks[f"r{rack}"].hosts if random_source else ():
            topology.reserve({machine: int(random_source.draw() * (slots + 1))}, ())
        if random_source:
            topology.link_traffic[f"rack/r{rack}"] = random_source.draw() * 10**9
            topology.host(f"r{rack}m0").planned_removal = int(random_source.draw() * 2)
    return topology


def make_gang(workers, pattern="ring", volume=10**8):
    matrix = [[0, volume], [volume // 3, volume // 7]] if pattern == "matrix" else []
    return jobs.Gang(workers, pattern, volume, 10 * SECOND, "p", SECOND, matrix=matrix)


class SearchTest(unittest.TestCase):
    @property_settings
    @given(st.sampled_from(list(jobs.CROSSING_BYTES_BY_PATTERN)), st.integers(1, 8), st.data())
    def test_crossing_bytes_match_the_sum_over_pairs(self, pattern, half_workers, data):
        gang = make_gang(2 * half_workers, pattern)
        low = data.draw(st.integers(0, gang.workers))
        high = data.draw(st.integers(low, gang.workers))
        sent = received = 0
        for sender, receiver, volume in traffic_pairs(gang):
            sent += volume * (low <= sender < high) * (not low <= receiver < high)
            received += volume * (low <= receiver < high) * (not low <= sender < high)
        self.assertAlmostEqual(
            gang.crossing_bytes(low, high) / max(1, sent, received),
            max(sent, received) / max(1, sent, received),
        )

    @property_settings
    @given(
        st.sampled_from(list(jobs.CROSSING_BYTES_BY_PATTERN)),
        st.integers(1, 4),
        st.integers(2, 4),
        st.integers(0, 2**30),
    )
    def test_exact_search_is_optimal_and_heuristic_is_close(
        self, pattern, half_workers, racks, seed
    ):
        topology, gang = (
            make_topology(racks, random_source=LinearCongruentialGenerator(seed)),
            make_gang(2 * half_workers, pattern),
        )
        scorer = placement_score.Scorer(topology, gang, 0)
        all_placements = [
            {index: count for index, count in enumerate(counts) if count}
            for counts in itertools.product(
                *(range(min(capacity, gang.workers) + 1) for capacity in scorer.capacity)
            )
            if sum(counts) == gang.workers
        ]
        best = min(map(scorer.total, all_placements), default=None)
        found = placement_search.exact_search(scorer)
        self.assertEqual(found is None, best is None)
        if found:
            self.assertAlmostEqual(scorer.total(found), best)
            self.assertLessEqual(
                scorer.total(placement_search.heuristic_search(scorer)), 1.3 * best + 0.05
            )

    def test_score_explanation(self):
        plan = placement_search.find_placement(
            make_topology(4, hosts_per_rack=1), make_gang(12, "all"), 0
        )
        terms = plan.score.terms.values()
        self.assertAlmostEqual(plan.score.total, sum(term.value * term.weight for term in terms))
        self.assertRegex(
            plan.score.explanation(),
            r"A step takes 0.\d+ s of 10.000 s over the uplink .* takes \d+% of it.",
        )
        self.assertEqual(sum(plan.placement.values()), 12)

    def test_planned_removals_and_traffic_of_others_are_avoided(self):
        topology = make_topology(2)
        first_choice = next(
            iter(placement_search.find_placement(topology, make_gang(8), 0).versions)
        )
        for machine in topology.racks[first_choice].hosts:
            topology.host(machine).planned_removal = 5
        self.assertNotIn(
            first_choice, placement_search.find_placement(topology, make_gang(8), 0).versions
        )
        loaded = make_topology(4, hosts_per_rack=1)
        placement_score.add_traffic(loaded, make_gang(8, volume=10**10), {"r0": 4, "r2": 4})
        self.assertEqual(
            sorted(placement_search.find_placement(loaded, make_gang(8), 0).versions), ["r1", "r3"]
        )

    def test_baselines_place_all_workers_or_none(self):
        scorer = placement_score.Scorer(make_topology(4), make_gang(20), 0)
        for search in (
            placement_search.first_fit,
            placement_search.random_fit(LinearCongruentialGenerator(1)),
            placement_search.pack_fullest_first,
            placement_search.spread_evenly,
        ):
            self.assertEqual(sum(search(scorer).values()), 20)
            self.assertIsNone(search(placement_score.Scorer(make_topology(2), make_gang(20), 0)))


def traffic_pairs(gang):
    """Yields (sender, receiver, bytes per step) of all pairs of workers that exchange data.

    This implementation is independent of `Gang.crossing_bytes`.
    """
    peers, size = gang.workers - 1, gang.workers // max(1, len(gang.matrix))
    for sender, receiver in itertools.permutations(range(gang.workers), 2):
        volume = {
            "ring": gang.bytes * (receiver == (sender + 1) % gang.workers),
            "all": gang.bytes / peers,
            "pipeline": gang.bytes * (abs(sender - receiver) == 1),
            "matrix": 0,
            "tree": gang.bytes
            * (
                jobs.tree_parents(gang.workers)[sender] == receiver
                or jobs.tree_parents(gang.workers)[receiver] == sender
            ),
        }[gang.pattern]
        if gang.matrix:
            sender_part, receiver_part = sender // size, receiver // size
            volume = gang.matrix[sender_part][receiver_part] / (
                size - (sender_part == receiver_part)
            )
        if volume:
            yield sender, receiver, volume


if __name__ == "__main__":
    unittest.main()

"""Tests of gossip in simulated time: membership, suspicions, hostile peers and rate limits."""

import unittest

from measure.hostile import Liar, make_endpoint_keys
from measure.world import HEARSAY, SECOND, TERMS, World
from thymeknot.gossip.rate_limits import SendLimits, SendPurpose, TokenBucket, VerificationLimits
from thymeknot.gossip.settings import VerificationLimitSettings

ENDPOINTS = make_endpoint_keys(8)


def start_world(count=5, seed=3, **options):
    world = World([f"n{index}" for index in range(count)], seed, **options)
    world.begin()
    for instance in world.live():
        instance.node.suspicions.set_endpoints(ENDPOINTS)
    return world


def converged_world(count=5, seed=3, **options):
    world = start_world(count, seed, **options)
    world.run(20 * SECOND)
    return world


def take_suspicions(world):
    suspicions = [
        (instance.name, suspicion)
        for instance in world.live()
        for suspicion in instance.node.changed_suspicions
    ]
    for instance in world.live():
        instance.node.changed_suspicions = []
    return [
        (name, suspicion.endpoint.id)
        for name, suspicion in suspicions
        if suspicion.until > world.now
    ]


def record_attempts(world, name, endpoint, tried, failed):
    node = world.instances[name].node
    for number in range(tried):
        node.suspicions.record_attempt(world.instances[name].clock(), endpoint, number < failed)


def add_liar(world, name="n4", endpoints=ENDPOINTS):
    """Makes an instance hostile; returns a function that sends one round of lies."""
    liar = Liar(world.instances[name].node, endpoints)
    instance = world.instances[name]
    world.taps.append(
        lambda source, address, content: (
            address == instance.address and liar.record_datagram(content)
        )
    )

    def send_lies():
        liar.lies(instance.clock())
        instance.flush()

    return send_lies


class Membership(unittest.TestCase):
    def assert_all_alive(self, world, excluded=()):
        for name in world.instances:
            if name not in excluded:
                self.assertEqual(set(world.states(name)), {"alive"}, name)

    def test_dead_instance_is_detected_and_rejoins_under_its_name(self):
        world = converged_world(8)
        self.assert_all_alive(world)
        before = world.instances["n0"].node.members.all["n5"].start
        world.instances["n5"].kill()
        world.run(30 * SECOND)
        self.assertEqual(set(world.states("n5")), {"dead"})
        world.instances["n5"].begin([world.instances["n1"].address])
        world.run(10 * SECOND)
        self.assert_all_alive(world)
        self.assertNotEqual(world.instances["n0"].node.members.all["n5"].start, before)

    def test_simultaneous_restart_of_all_instances(self):
        world = converged_world()
        seeds = [world.instances["n0"].address]
        for instance in world.instances.values():
            instance.kill()
            instance.begin(seeds)
        world.run(15 * SECOND)
        self.assert_all_alive(world)

    def test_no_instance_is_declared_dead_by_loss_duplication_and_reordering(self):
        world = converged_world(8, loss=0.3, copies=0.2, delay=(2, 900))
        declared_dead = []
        world.run(
            120 * SECOND,
            lambda: declared_dead.extend(
                name for name in world.instances if "dead" in world.states(name)
            ),
        )
        self.assertEqual(declared_dead, [])

    def test_network_partition_and_recovery(self):
        world = converged_world(6)
        for name in ("n0", "n1", "n2"):
            world.side[world.instances[name].address] = 1
        world.run(40 * SECOND)
        self.assertEqual(world.states("n0"), ["alive"] * 2 + ["dead"] * 3)
        world.side.clear()
        world.run(90 * SECOND)
        self.assert_all_alive(world)

    def test_fleet_converges_before_the_second_hint_request(self):
        """The first hint request was due when no peer was live yet and was skipped. All instances then waited 5 s for the
        next one, and a fleet on a good network took 8 s to converge."""
        world = start_world(5)
        world.run(4 * SECOND)
        self.assert_all_alive(world)

    def test_halves_started_during_a_partition_find_each_other_by_seeds(self):
        """Each half has one of the two seeds, and the network between them is down while all start. Instances probed
        seeds only while they had no live member, so the halves never found each other. Lost first pings had the same
        effect by chance (9 fleets of 400 at 20% loss, simulated)."""
        world = World([f"n{index}" for index in range(6)], 3)
        for name in ("n0", "n2", "n4"):
            world.side[world.instances[name].address] = 1
        world.begin()
        world.run(10 * SECOND)
        self.assertEqual(world.states("n0"), ["unproved", "alive", "unproved", "alive", "unproved"])
        world.side.clear()
        world.run(20 * SECOND)
        self.assert_all_alive(world)

    def test_clock_differences_of_five_seconds_have_no_effect(self):
        world = World([f"n{index}" for index in range(5)], 3)
        for index, instance in enumerate(world.instances.values()):
            instance.ahead = index * 5 * SECOND
        world.begin()
        for instance in world.live():
            instance.node.suspicions.set_endpoints(ENDPOINTS)
        world.run(20 * SECOND)
        self.assert_all_alive(world)
        for name in ("n1", "n2", "n3", "n4"):
            record_attempts(world, name, "s-3", 8, 7)
        world.run(5 * SECOND)
        self.assertIn(
            "n0",
            [
                instance.name
                for instance in world.live()
                for suspicion in instance.node.changed_suspicions
            ],
        )

    def test_stalled_instance_refutes_suspicion_and_recovers_from_death(self):
        world = converged_world()
        world.instances["n2"].stall(2 * SECOND)
        world.run(3 * SECOND)
        self.assertNotIn("dead", world.states("n2"))
        world.run(5 * SECOND)
        self.assert_all_alive(world)
        # After a stall that is long enough to be declared dead, it becomes alive again.
        world.instances["n2"].stall(30 * SECOND)
        world.run(29 * SECOND)
        self.assertIn("dead", world.states("n2"))
        world.run(20 * SECOND)
        self.assert_all_alive(world)
        self.assertEqual(
            {instance.state for instance in world.instances["n2"].node.members.all.values()},
            {"alive"},
        )

    def test_leave_is_announced_and_a_peer_takes_over_an_address(self):
        world = converged_world()
        world.instances["n3"].node.leave(world.instances["n3"].clock())
        world.instances["n3"].flush()
        world.run(3 * SECOND)
        self.assertEqual(set(world.states("n3")), {"left"})
        world.instances["n3"].kill()
        former, successor = world.instances["n1"], world.instances["n3"]
        former.kill()
        successor.address, world.by_address[former.address] = former.address, successor
        successor.begin([world.instances["n0"].address])
        world.run(8 * SECOND)
        self.assertEqual(set(world.states("n3")), {"alive"})
        self.assertEqual(
            {world.instances[name].node.members.all["n1"].state for name in ("n0", "n2", "n4")},
            {"dead"},
        )


class HostilePeers(unittest.TestCase):
    def test_hostile_peer_causes_no_suspicion_of_endpoint_or_dead_member(self):
        world = converged_world()
        send_lies, violations = add_liar(world), []

        def run_hostile_round():
            send_lies()
            for name in ("n0", "n1", "n2", "n3"):
                record_attempts(world, name, "s-1", 1, 0)
                violations.extend(
                    state for state in world.states(name) if state in ("dead", "left")
                )
            violations.extend(take_suspicions(world))

        world.run(90 * SECOND, run_hostile_round)
        self.assertEqual(violations, [])
        self.assertLess(
            world.instances["n0"].node.suspicions.credibility.credit_of("n4"), 0.05
        )  # equivocation was detected
        for kind in ("sender", "signature", "form", "recipient", "version"):
            self.assertTrue(any(instance.node.dropped[kind] for instance in world.live()), kind)

    def test_false_evidence_of_three_in_five_causes_a_suspicion(self):
        """Shows that the previous tests depend on the number of witnesses: false evidence does have an effect."""
        world = converged_world()
        for name in ("n2", "n3", "n4"):
            record_attempts(world, name, "s-1", 20, 20)
        suspicions = []
        world.run(6 * SECOND, lambda: suspicions.extend(take_suspicions(world)))
        self.assertIn(("n0", "s-1"), suspicions)

    def test_failing_endpoint_is_suspected_despite_a_liar_until_it_recovers(self):
        world = converged_world(6)
        send_lies, suspicions = add_liar(world, "n5"), []

        def traffic():
            send_lies()
            for name in ("n1", "n2", "n3", "n4"):
                record_attempts(world, name, "s-6", 4, 3)
                record_attempts(world, name, "s-2", 4, 0)
            suspicions.extend(take_suspicions(world))

        world.run(10 * SECOND, traffic)
        self.assertIn(("n0", "s-6"), suspicions)
        self.assertEqual({endpoint for _, endpoint in suspicions}, {"s-6"})
        world.run(30 * SECOND)
        take_suspicions(world)
        suspicions.clear()
        world.run(10 * SECOND, lambda: suspicions.extend(take_suspicions(world)))
        self.assertEqual(suspicions, [])

    def test_own_fresh_attempts_outweigh_evidence_and_lower_credibility(self):
        world, suspicions = converged_world(), []

        def traffic():
            for name in ("n1", "n2", "n3", "n4"):
                record_attempts(world, name, "s-6", 6, 6)
            record_attempts(world, "n0", "s-6", 8, 0)
            suspicions.extend(take_suspicions(world))

        world.run(6 * SECOND, traffic)
        self.assertNotIn(("n0", "s-6"), suspicions)
        self.assertLess(world.instances["n0"].node.suspicions.credibility.credit_of("n1"), 0.2)

    def test_peers_in_one_group_count_as_one_witness(self):
        world = converged_world(6, groups={"n2": "rack", "n3": "rack", "n4": "rack", "n5": "rack"})
        for name in ("n2", "n3", "n4", "n5"):
            record_attempts(world, name, "s-1", 20, 20)
        world.run(6 * SECOND)
        self.assertNotIn(("n0", "s-1"), take_suspicions(world))

    def test_suspected_share_is_limited_and_zero_if_all_endpoints_fail_alike(self):
        world = converged_world(6)
        for name in ("n1", "n2", "n3", "n4", "n5"):
            for endpoint in ("s-0", "s-1", "s-2", "s-3", "s-4"):
                record_attempts(world, name, endpoint, 6, 6)
            for endpoint in ("s-5", "s-6", "s-7"):
                record_attempts(world, name, endpoint, 60, 0)
        world.run(5 * SECOND)
        self.assertEqual(
            len([suspicion for suspicion in take_suspicions(world) if suspicion[0] == "n0"]),
            int(len(ENDPOINTS) * HEARSAY.most_share),
        )
        world = converged_world(6)
        for name in ("n1", "n2", "n3", "n4", "n5"):
            for endpoint in ENDPOINTS:
                record_attempts(world, name, endpoint.id, 6, 4)
        world.run(5 * SECOND)
        self.assertEqual(take_suspicions(world), [])

    def test_restarted_endpoint_is_a_different_endpoint(self):
        world = converged_world(6)
        restarted = [
            endpoint._replace(started=777) if endpoint.id == "s-6" else endpoint
            for endpoint in ENDPOINTS
        ]
        world.instances["n0"].node.suspicions.set_endpoints(restarted)
        for name in ("n1", "n2", "n3", "n4"):
            record_attempts(world, name, "s-6", 8, 8)
        world.run(5 * SECOND)
        self.assertNotIn("n0", [name for name, _ in take_suspicions(world)])

    def test_evidence_of_a_revoked_key_is_discarded(self):
        world = converged_world()
        for name in ("n2", "n3", "n4"):
            record_attempts(world, name, "s-1", 10, 10)
        world.run(3 * SECOND)
        node = world.instances["n0"].node
        origins = {origin for records in node.suspicions.evidence.values() for origin in records}
        self.assertEqual(origins, {"n2", "n3", "n4"})
        world.ring.revoked = {"n4"}
        node.set_keyring(world.ring, world.instances["n0"].clock())
        self.assertEqual(
            {origin for records in node.suspicions.evidence.values() for origin in records},
            {"n2", "n3"},
        )
        self.assertNotIn("n4", node.members.all)
        take_suspicions(world)
        world.run(2 * SECOND)
        ended = [suspicion for suspicion in node.changed_suspicions if suspicion.until <= world.now]
        self.assertTrue(
            ended
        )  # the evidence is no longer sufficient, so the suspicion is withdrawn

    def test_datagrams_replayed_after_a_restart_have_no_effect(self):
        world, captured_live = converged_world(), []
        victim = world.instances["n0"]
        world.taps.append(
            lambda source, address, content: (
                address == victim.address and captured_live.append((source, content))
            )
        )
        for name in ("n1", "n2", "n3", "n4"):
            record_attempts(world, name, "s-1", 10, 10)
        world.run(3 * SECOND)
        others = [world.instances[name] for name in ("n1", "n2", "n3", "n4")]
        for other in others:
            other.kill()
        victim.kill()
        victim.begin([])
        victim.node.suspicions.set_endpoints(ENDPOINTS)
        captured = list(captured_live)
        world.run(
            30 * SECOND, lambda: [victim.received(source, content) for source, content in captured]
        )
        self.assertEqual(
            {instance.state for instance in victim.node.members.all.values()}, {"unproved"}
        )
        self.assertEqual(victim.node.suspicions.evidence, {})
        self.assertEqual(victim.node.changed_suspicions, [])


class RateLimits(unittest.TestCase):
    def test_outgoing_rate_stays_within_limits_under_attack(self):
        world, sent_by_source = converged_world(loss=0.1), {}
        world.taps.append(
            lambda source, address, content: sent_by_source.setdefault(source, []).append(
                (world.now, len(content))
            )
        )
        send_lies = add_liar(world)
        world.run(30 * SECOND, lambda: [send_lies() for _ in range(10)], SECOND // 10)
        for name in ("n0", "n1", "n2", "n3"):
            own_datagrams = sent_by_source[world.instances[name].address]
            for index, (second_start, _) in enumerate(own_datagrams):
                within = [
                    size
                    for moment, size in own_datagrams[index : index + 200]
                    if moment < second_start + SECOND
                ]
                self.assertLessEqual(len(within), TERMS.ceiling.datagrams + 1)
                self.assertLessEqual(sum(within), TERMS.ceiling.bytes)
            self.assertLess(
                world.instances[name].node.limits.verified, 50 * TERMS.verifications.total
            )

    def test_answer_to_unvalidated_address_is_not_longer_than_the_request(self):
        world, sizes = start_world(3), {}
        amplified = []

        def tap(source, address, content):
            known = world.by_address[source].node.context.by_address
            if address in known and world.by_address[address].node:
                return
            if (address, source) in sizes and len(content) > sizes[address, source]:
                amplified.append((len(content), sizes[address, source]))
            sizes[source, address] = len(content)

        world.taps.append(tap)
        victim = world.instances["n0"]
        world.run(SECOND // 2)
        # Captured pings sent from an unvalidated address: no more bytes than in the pings come back.
        self.assertEqual(amplified, [])
        pings = []
        world.taps.append(
            lambda source, address, content: address == victim.address and pings.append(content)
        )
        world.instances["n1"].kill()
        world.instances["n1"].begin([victim.address])
        world.run(2 * SECOND)
        stranger, received_back = ("10.9.9.9", 99), []
        world.taps.append(
            lambda source, address, content: address == stranger and received_back.append(content)
        )
        world.run(30 * SECOND)
        for content in pings[:50]:
            victim.received(stranger, content)
        self.assertLessEqual(sum(map(len, received_back)), sum(map(len, pings[:50])))

    def test_flood_does_not_use_up_verifications_of_validated_peers(self):
        now = 0
        limits = VerificationLimits(VerificationLimitSettings(100, 50, 16), 7, now)
        limits.set_validated_addresses([("10.0.0.1", 1)])
        flooded = sum(
            limits.bucket_for(("10.0.0.9", 9)).take(tick) for tick in range(0, 10 * SECOND, 10)
        )
        self.assertLessEqual(
            flooded, 13
        )  # the burst of a shared bucket and ten seconds at its rate
        self.assertTrue(limits.bucket_for(("10.0.0.1", 1)).take(10 * SECOND))
        admitted = sum(
            limits.bucket_for(("10.0.0.9", port)).take(10 * SECOND) for port in range(64)
        )
        self.assertGreaterEqual(admitted, 14)  # the other shared buckets are not affected

    def test_updates_leave_a_reserve_for_answers(self):
        limits = SendLimits(TERMS.ceiling, 0)
        while limits.try_send(0, 400, SendPurpose.UPDATES):
            pass
        self.assertTrue(limits.try_send(0, 400, SendPurpose.ANSWER))
        bucket = TokenBucket(10, 5, 0)
        self.assertEqual(sum(bucket.take(tick) for tick in range(0, 10 * SECOND, 100)), 5 + 99)

    def test_tables_stay_bounded_with_an_origin_that_floods(self):
        world = converged_world()
        many_endpoints = make_endpoint_keys(400)
        for instance in world.live():
            instance.node.suspicions.set_endpoints(many_endpoints)
        send_lies = add_liar(world, endpoints=many_endpoints)
        world.run(20 * SECOND, send_lies)
        for name in ("n0", "n1", "n2", "n3"):
            node = world.instances[name].node
            self.assertLessEqual(node.queue.count_by_origin.get("n4", 0), 32)
            self.assertLessEqual(
                sum("n4" in records for records in node.suspicions.evidence.values()), 16
            )
            self.assertLessEqual(len(node.items.pending), 256)
            self.assertLessEqual(len(node.prober.probes), 32)
            self.assertTrue(
                all(
                    len(instance.digests) <= 64 and len(instance.suspecting_groups) <= 16
                    for instance in node.members.all.values()
                )
            )


if __name__ == "__main__":
    unittest.main()

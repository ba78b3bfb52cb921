"""Gossip among instances in simulated time: who lives, what is believed, what a liar can do."""

import unittest

from measure.hostile import Liar, pods_of
from measure.world import HEARSAY, SECOND, TERMS, World
from thymeknot.gossip.rate_limits import SendLimits, SendPurpose, TokenBucket, VerificationLimits
from thymeknot.gossip.settings import VerificationLimitSettings

PODS = pods_of(8)


def world(count=5, seed=3, **more):
    made = World([f"n{at}" for at in range(count)], seed, **more)
    made.begin()
    for one in made.live():
        one.node.suspicions.set_endpoints(PODS)
    return made


def settled(count=5, seed=3, **more):
    made = world(count, seed, **more)
    made.run(20 * SECOND)
    return made


def doubts(made):
    found = [(one.name, doubt) for one in made.live() for doubt in one.node.changed_suspicions]
    for one in made.live():
        one.node.changed_suspicions = []
    return [(name, doubt.endpoint.id) for name, doubt in found if doubt.until > made.now]


def deliver(made, name, pod, tried, failed):
    node = made.instances[name].node
    for number in range(tried):
        node.suspicions.record_attempt(made.instances[name].clock(), pod, number < failed)


def with_liar(made, name="n4", pods=PODS):
    """Has an instance lie once a second, and overhear what it gets."""
    liar = Liar(made.instances[name].node, pods)
    instance = made.instances[name]
    made.taps.append(
        lambda source, address, content: address == instance.address and liar.overheard(content)
    )

    def lie():
        liar.lies(instance.clock())
        instance.flush()

    return lie


class Lives(unittest.TestCase):
    def all_alive(self, made, but=()):
        for name in made.instances:
            if name not in but:
                self.assertEqual(set(made.states(name)), {"alive"}, name)

    def test_all_meet_by_two_seeds_and_a_dead_one_is_buried_and_comes_back_under_its_name(self):
        made = settled(8)
        self.all_alive(made)
        before = made.instances["n0"].node.members.all["n5"].start
        made.instances["n5"].kill()
        made.run(30 * SECOND)
        self.assertEqual(set(made.states("n5")), {"dead"})
        made.instances["n5"].begin([made.instances["n1"].address])
        made.run(10 * SECOND)
        self.all_alive(made)
        self.assertNotEqual(made.instances["n0"].node.members.all["n5"].start, before)

    def test_all_restart_at_once(self):
        made = settled()
        seeds = [made.instances["n0"].address]
        for one in made.instances.values():
            one.kill()
            one.begin(seeds)
        made.run(15 * SECOND)
        self.all_alive(made)

    def test_loss_copies_and_disorder_bury_nobody(self):
        made = settled(8, loss=0.3, copies=0.2, delay=(2, 900))
        buried = []
        made.run(
            120 * SECOND,
            lambda: buried.extend(name for name in made.instances if "dead" in made.states(name)),
        )
        self.assertEqual(buried, [])

    def test_half_cut_off_then_healed(self):
        made = settled(6)
        for name in ("n0", "n1", "n2"):
            made.side[made.instances[name].address] = 1
        made.run(40 * SECOND)
        self.assertEqual(made.states("n0"), ["alive"] * 2 + ["dead"] * 3)
        made.side.clear()
        made.run(90 * SECOND)
        self.all_alive(made)

    def test_a_fleet_meets_before_the_second_question_for_hints(self):
        """An instance asks for hints each 5 s. The first question fell into its first moment, when nobody lived that
        could be asked, so that all waited for the second: a fleet on a good network met after 8 s."""
        made = world(5)
        made.run(4 * SECOND)
        self.all_alive(made)

    def test_halves_that_start_without_each_other_meet_by_the_seeds(self):
        """Each half has one of the two seeds, and the network between them is down while all start. Both halves have
        living members then, and an instance asked its seeds only while it had none: the halves never met. Where first
        pings are lost, the same came by chance: 9 fleets of 400 at 20% loss, simulated."""
        made = World([f"n{at}" for at in range(6)], 3)
        for name in ("n0", "n2", "n4"):
            made.side[made.instances[name].address] = 1
        made.begin()
        made.run(10 * SECOND)
        self.assertEqual(made.states("n0"), ["unproved", "alive", "unproved", "alive", "unproved"])
        made.side.clear()
        made.run(20 * SECOND)
        self.all_alive(made)

    def test_clocks_five_seconds_apart_change_nothing(self):
        made = World([f"n{at}" for at in range(5)], 3)
        for at, one in enumerate(made.instances.values()):
            one.ahead = at * 5 * SECOND
        made.begin()
        for one in made.live():
            one.node.suspicions.set_endpoints(PODS)
        made.run(20 * SECOND)
        self.all_alive(made)
        for name in ("n1", "n2", "n3", "n4"):
            deliver(made, name, "s-3", 8, 7)
        made.run(5 * SECOND)
        self.assertIn(
            "n0", [one.name for one in made.live() for doubt in one.node.changed_suspicions]
        )

    def test_one_that_stalls_doubts_itself_first_and_refutes(self):
        made = settled()
        made.instances["n2"].stall(2 * SECOND)
        made.run(3 * SECOND)
        self.assertNotIn("dead", made.states("n2"))
        made.run(5 * SECOND)
        self.all_alive(made)
        # Stalled for so long that it is declared dead, it is alive again soon after it is back.
        made.instances["n2"].stall(30 * SECOND)
        made.run(29 * SECOND)
        self.assertIn("dead", made.states("n2"))
        made.run(20 * SECOND)
        self.all_alive(made)
        self.assertEqual(
            {one.state for one in made.instances["n2"].node.members.all.values()}, {"alive"}
        )

    def test_one_that_leaves_is_gone_at_once_and_another_name_at_an_address_takes_it(self):
        made = settled()
        made.instances["n3"].node.leave(made.instances["n3"].clock())
        made.instances["n3"].flush()
        made.run(3 * SECOND)
        self.assertEqual(set(made.states("n3")), {"left"})
        made.instances["n3"].kill()
        old, new = made.instances["n1"], made.instances["n3"]
        old.kill()
        new.address, made.by_address[old.address] = old.address, new
        new.begin([made.instances["n0"].address])
        made.run(8 * SECOND)
        self.assertEqual(set(made.states("n3")), {"alive"})
        self.assertEqual(
            {made.instances[name].node.members.all["n1"].state for name in ("n0", "n2", "n4")},
            {"dead"},
        )


class Liars(unittest.TestCase):
    def test_a_hostile_peer_moves_no_healthy_pod_and_buries_nobody(self):
        made = settled()
        lie, wrong = with_liar(made), []

        def round_of_lies():
            lie()
            for name in ("n0", "n1", "n2", "n3"):
                deliver(made, name, "s-1", 1, 0)
                wrong.extend(state for state in made.states(name) if state in ("dead", "left"))
            wrong.extend(doubts(made))

        made.run(90 * SECOND, round_of_lies)
        self.assertEqual(wrong, [])
        self.assertLess(
            made.instances["n0"].node.suspicions.credibility.of("n4"), 0.05
        )  # two tongues were heard
        for kind in ("sender", "signature", "form", "recipient", "version"):
            self.assertTrue(any(one.node.dropped[kind] for one in made.live()), kind)

    def test_the_same_lies_by_three_of_five_would_be_believed(self):
        """What the one above shows rests on the number of witnesses and not on lies being without effect."""
        made = settled()
        for name in ("n2", "n3", "n4"):
            deliver(made, name, "s-1", 20, 20)
        found = []
        made.run(6 * SECOND, lambda: found.extend(doubts(made)))
        self.assertIn(("n0", "s-1"), found)

    def test_a_true_failing_pod_is_believed_beside_a_liar_and_lapses_when_it_is_well(self):
        made = settled(6)
        lie, found = with_liar(made, "n5"), []

        def traffic():
            lie()
            for name in ("n1", "n2", "n3", "n4"):
                deliver(made, name, "s-6", 4, 3)
                deliver(made, name, "s-2", 4, 0)
            found.extend(doubts(made))

        made.run(10 * SECOND, traffic)
        self.assertIn(("n0", "s-6"), found)
        self.assertEqual({pod for _, pod in found}, {"s-6"})
        made.run(30 * SECOND)
        doubts(made)
        found.clear()
        made.run(10 * SECOND, lambda: found.extend(doubts(made)))
        self.assertEqual(found, [])

    def test_own_fresh_experience_beats_hearsay_and_costs_the_others_their_credit(self):
        made, found = settled(), []

        def traffic():
            for name in ("n1", "n2", "n3", "n4"):
                deliver(made, name, "s-6", 6, 6)
            deliver(made, "n0", "s-6", 8, 0)
            found.extend(doubts(made))

        made.run(6 * SECOND, traffic)
        self.assertNotIn(("n0", "s-6"), found)
        self.assertLess(made.instances["n0"].node.suspicions.credibility.of("n1"), 0.2)

    def test_names_of_one_group_are_one_witness(self):
        made = settled(6, groups={"n2": "rack", "n3": "rack", "n4": "rack", "n5": "rack"})
        for name in ("n2", "n3", "n4", "n5"):
            deliver(made, name, "s-1", 20, 20)
        made.run(6 * SECOND)
        self.assertNotIn(("n0", "s-1"), doubts(made))

    def test_a_share_of_a_builds_pods_at_most_and_none_where_all_fail_alike(self):
        made = settled(6)
        for name in ("n1", "n2", "n3", "n4", "n5"):
            for pod in ("s-0", "s-1", "s-2", "s-3", "s-4"):
                deliver(made, name, pod, 6, 6)
            for pod in ("s-5", "s-6", "s-7"):
                deliver(made, name, pod, 60, 0)
        made.run(5 * SECOND)
        self.assertEqual(
            len([one for one in doubts(made) if one[0] == "n0"]),
            int(len(PODS) * HEARSAY.most_share),
        )
        made = settled(6)
        for name in ("n1", "n2", "n3", "n4", "n5"):
            for pod in PODS:
                deliver(made, name, pod.id, 6, 4)
        made.run(5 * SECOND)
        self.assertEqual(doubts(made), [])

    def test_one_that_came_back_is_another_pod(self):
        made = settled(6)
        back = [pod._replace(started=777) if pod.id == "s-6" else pod for pod in PODS]
        made.instances["n0"].node.suspicions.set_endpoints(back)
        for name in ("n1", "n2", "n3", "n4"):
            deliver(made, name, "s-6", 8, 8)
        made.run(5 * SECOND)
        self.assertNotIn("n0", [name for name, _ in doubts(made)])

    def test_what_a_revoked_key_said_is_forgotten(self):
        made = settled()
        for name in ("n2", "n3", "n4"):
            deliver(made, name, "s-1", 10, 10)
        made.run(3 * SECOND)
        node = made.instances["n0"].node
        claimed = {origin for words in node.suspicions.evidence.values() for origin in words}
        self.assertEqual(claimed, {"n2", "n3", "n4"})
        made.ring.revoked = {"n4"}
        node.rekey(made.ring, made.instances["n0"].clock())
        self.assertEqual(
            {origin for words in node.suspicions.evidence.values() for origin in words},
            {"n2", "n3"},
        )
        self.assertNotIn("n4", node.members.all)
        doubts(made)
        made.run(2 * SECOND)
        ended = [doubt for doubt in node.changed_suspicions if doubt.until <= made.now]
        self.assertTrue(ended)  # the doubt's ground is gone, so it is taken back

    def test_datagrams_sent_again_after_the_victims_restart_count_for_nothing(self):
        made, heard = settled(), []
        victim = made.instances["n0"]
        made.taps.append(
            lambda source, address, content: (
                address == victim.address and heard.append((source, content))
            )
        )
        for name in ("n1", "n2", "n3", "n4"):
            deliver(made, name, "s-1", 10, 10)
        made.run(3 * SECOND)
        others = [made.instances[name] for name in ("n1", "n2", "n3", "n4")]
        for other in others:
            other.kill()
        victim.kill()
        victim.begin([])
        victim.node.suspicions.set_endpoints(PODS)
        captured = list(heard)
        made.run(
            30 * SECOND, lambda: [victim.received(source, content) for source, content in captured]
        )
        self.assertEqual({one.state for one in victim.node.members.all.values()}, {"unproved"})
        self.assertEqual(victim.node.suspicions.evidence, {})
        self.assertEqual(victim.node.changed_suspicions, [])


class Ceilings(unittest.TestCase):
    def test_no_second_sends_more_than_the_ceiling_whatever_comes_in(self):
        made, times = settled(loss=0.1), {}
        made.taps.append(
            lambda source, address, content: times.setdefault(source, []).append(
                (made.now, len(content))
            )
        )
        lie = with_liar(made)
        made.run(30 * SECOND, lambda: [lie() for _ in range(10)], SECOND // 10)
        for name in ("n0", "n1", "n2", "n3"):
            mine = times[made.instances[name].address]
            for at, (begin, _) in enumerate(mine):
                within = [size for moment, size in mine[at : at + 200] if moment < begin + SECOND]
                self.assertLessEqual(len(within), TERMS.ceiling.datagrams + 1)
                self.assertLessEqual(sum(within), TERMS.ceiling.bytes)
            self.assertLess(
                made.instances[name].node.limits.verified, 50 * TERMS.verifications.total
            )

    def test_an_answer_to_the_unproved_is_no_longer_than_what_it_answers(self):
        made, sizes = world(3), {}
        shorter = []

        def tap(source, address, content):
            known = made.by_address[source].node.context.by_address
            if address in known and made.by_address[address].node:
                return
            if (address, source) in sizes and len(content) > sizes[address, source]:
                shorter.append((len(content), sizes[address, source]))
            sizes[source, address] = len(content)

        made.taps.append(tap)
        victim = made.instances["n0"]
        made.run(SECOND // 2)
        # A captured ping from an address that proved nothing: only as much comes back, and only there.
        self.assertEqual(shorter, [])
        pings = []
        made.taps.append(
            lambda source, address, content: address == victim.address and pings.append(content)
        )
        made.instances["n1"].kill()
        made.instances["n1"].begin([victim.address])
        made.run(2 * SECOND)
        stranger, back = ("10.9.9.9", 99), []
        made.taps.append(
            lambda source, address, content: address == stranger and back.append(content)
        )
        made.run(30 * SECOND)
        for content in pings[:50]:
            victim.received(stranger, content)
        self.assertLessEqual(sum(map(len, back)), sum(map(len, pings[:50])))

    def test_a_flood_from_elsewhere_leaves_answers_and_peers_their_part(self):
        now = 0
        checking = VerificationLimits(VerificationLimitSettings(100, 50, 16), 7, now)
        checking.set_validated_addresses([("10.0.0.1", 1)])
        flooded = sum(
            checking.bucket_of(("10.0.0.9", 9)).take(at) for at in range(0, 10 * SECOND, 10)
        )
        self.assertLessEqual(flooded, 13)  # its lane's burst and ten seconds of a sixteenth
        self.assertTrue(checking.bucket_of(("10.0.0.1", 1)).take(10 * SECOND))
        free = sum(checking.bucket_of(("10.0.0.9", port)).take(10 * SECOND) for port in range(64))
        self.assertGreaterEqual(free, 14)  # other lanes were left alone

    def test_rumours_wait_before_answers_do(self):
        sending = SendLimits(TERMS.ceiling, 0)
        while sending.may(0, 400, SendPurpose.UPDATES):
            pass
        self.assertTrue(sending.may(0, 400, SendPurpose.ANSWER))
        bucket = TokenBucket(10, 5, 0)
        self.assertEqual(sum(bucket.take(at) for at in range(0, 10 * SECOND, 100)), 5 + 99)

    def test_a_loud_origin_crowds_out_itself_and_tables_stay_bounded(self):
        made = settled()
        many = pods_of(400)
        for one in made.live():
            one.node.suspicions.set_endpoints(many)
        lie = with_liar(made, pods=many)
        made.run(20 * SECOND, lie)
        for name in ("n0", "n1", "n2", "n3"):
            node = made.instances[name].node
            self.assertLessEqual(node.queue.count_by_origin.get("n4", 0), 32)
            self.assertLessEqual(
                sum("n4" in words for words in node.suspicions.evidence.values()), 16
            )
            self.assertLessEqual(len(node.items.waiting), 256)
            self.assertLessEqual(len(node.prober.probes), 32)
            self.assertTrue(
                all(
                    len(one.digests) <= 64 and len(one.suspecters) <= 16
                    for one in node.members.all.values()
                )
            )


if __name__ == "__main__":
    unittest.main()

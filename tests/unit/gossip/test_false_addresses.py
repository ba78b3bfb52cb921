"""Gossip among instances while liars tell false addresses of them, in simulated time."""

import unittest

from measure.world import SECOND, TERMS, World
from thymeknot.gossip.address_candidates import AddressCandidates
from thymeknot.gossip.codec import Frame, Hints, seal_frame
from thymeknot.state.random_source import LinearCongruentialGenerator

HONEST_SEEDS = 1  # instances that all others know from the start, beside the liars
SEED_DELAY = 3 * SECOND  # until the honest seed takes part, so that the liars are heard first
HONEST = "n0", "n1", "n2", "n3", "n4"
LIE_INTERVAL = SECOND // 10
MEETING_TIME = 60 * SECOND
STALL_STEP = SECOND // 2
PERIOD = SECOND
FALSE_ADDRESSES = tuple((f"10.255.255.{number}", 9) for number in range(1, 5))


class FalseHints:
    """Sends false addresses of all instances to all, in the name of a validated instance.

    Attributes:
        instance: The instance in whose name it sends.
        rotating: Whether it tells another address in each round.
    """

    def __init__(self, instance, names, *, rotating):
        self.instance, self.names, self.rotating, self.rounds = instance, names, rotating, 0

    def send(self):
        node, now = self.instance.node, self.instance.clock()
        self.rounds += 1
        address = FALSE_ADDRESSES[self.rounds % 4 if self.rotating else 0]
        for peer in [member for member in node.members.live if member.address]:
            node.local.number += 1
            hints = Hints(False, [(name, *address) for name in self.names if name != peer.name])
            frame = Frame(
                node.local.name,
                peer.name,
                node.local.start,
                node.local.number,
                now - node.local.started_at,
                hints,
                [],
            )
            node.outbox.datagrams.append((peer.address, seal_frame(frame, node.local.identity)))
        self.instance.flush()


def pairs_apart(world):
    """Returns the pairs of honest instances of which the first has not met the second."""
    return [
        (name, other)
        for name in HONEST
        for other in HONEST
        if name != other and not world.instances[name].node.members.all[other].is_live()
    ]


def play(seed, liar_count, *, rotating, loss=0.0, stalls=False):
    """Returns the pairs of honest instances that are apart after the meeting time."""
    liars = tuple(f"z{number}" for number in range(liar_count))
    names = (*HONEST[:HONEST_SEEDS], *liars, *HONEST[HONEST_SEEDS:])
    world = World(names, seed, loss=loss)
    hearsay = TERMS.hearsay._replace(liars=liar_count)
    for instance in world.instances.values():
        instance.settings = TERMS._replace(hearsay=hearsay)
    draw = LinearCongruentialGenerator(seed).draw
    world.begin(HONEST_SEEDS + liar_count)
    world.instances[HONEST[0]].stall(SEED_DELAY)
    senders = [FalseHints(world.instances[name], HONEST, rotating=rotating) for name in liars]

    def observe():
        for sender in senders:
            sender.send()
        if stalls and int(world.now / LIE_INTERVAL) % 5 == 0:
            for name in HONEST:
                if draw() < 0.2:
                    world.instances[name].stall(SECOND)

    world.run(MEETING_TIME, observe, LIE_INTERVAL)
    return pairs_apart(world)


class FalseAddressTest(unittest.TestCase):
    def test_honest_instances_meet_despite_liars(self):
        """Guards against a false address that is told first and kept for ever."""
        for liar_count in (1, 2, 3):
            for rotating in (False, True):
                for loss, stalls in ((0.0, False), (0.1, False), (0.0, True), (0.1, True)):
                    for seed in (1, 2):
                        case = liar_count, rotating, loss, stalls, seed
                        apart = play(seed, liar_count, rotating=rotating, loss=loss, stalls=stalls)
                        self.assertEqual(apart, [], case)


class AddressCandidatesTest(unittest.TestCase):
    def test_group_that_tells_again_holds_one_place(self):
        """Guards against a table that grows with what a liar sends."""
        candidates = AddressCandidates()
        self.assertTrue(candidates.add("liar", FALSE_ADDRESSES[0], 3))
        for number in range(1000):
            self.assertFalse(candidates.add("liar", ("10.0.0.1", number), 3))
        self.assertTrue(candidates.add("honest", ("10.0.0.2", 1), 3))
        probed = {candidates.take_next(0, PERIOD) for _ in range(9)}
        self.assertEqual(probed, {("10.0.0.1", 999), ("10.0.0.2", 1), None})

    def test_place_of_an_unprobed_address_is_kept(self):
        """Guards against liars that push out a true address before it is probed."""
        candidates = AddressCandidates()
        candidates.add("honest", ("10.0.0.2", 1), 2)
        candidates.add("liar-1", FALSE_ADDRESSES[0], 2)
        self.assertFalse(candidates.add("liar-2", FALSE_ADDRESSES[1], 2))
        self.assertEqual(candidates.take_next(0, PERIOD), ("10.0.0.2", 1))
        self.assertEqual(candidates.take_next(0, PERIOD), FALSE_ADDRESSES[0])
        # Both were probed in vain, so a further group may take a place.
        self.assertTrue(candidates.add("liar-2", FALSE_ADDRESSES[1], 2))

    def test_probes_of_one_address_become_rarer_and_do_not_delay_another(self):
        """Guards against a false address whose failures slow down the probes of the true one."""
        candidates = AddressCandidates()
        candidates.add("liar", FALSE_ADDRESSES[0], 3)
        probe_times = [
            now // PERIOD
            for now in range(0, 100 * PERIOD, PERIOD)
            if candidates.take_next(now, PERIOD)
        ]
        self.assertEqual(probe_times, [0, 2, 6, 14, 30, 62])
        candidates.add("honest", ("10.0.0.2", 1), 3)
        self.assertEqual(candidates.take_next(100 * PERIOD, PERIOD), ("10.0.0.2", 1))


if __name__ == "__main__":
    unittest.main()

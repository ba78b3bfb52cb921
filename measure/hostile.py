"""A hostile peer with a valid key, as a stand-in for a compromised instance.

It takes part in gossip like any other instance, so that the others consider it alive, and also
attacks in every way it can. It is used in simulated time and, over a socket, on loopback.
"""

from thymeknot.gossip import codec
from thymeknot.gossip.codec import Alive, Evidence, Frame, Hints, Item, Left, Push, Suspect
from thymeknot.gossip.own_experience import EndpointKey

MAX_RECORDED_DATAGRAMS = 200  # observed datagrams that are replayed later


class Liar:
    """Wraps a gossip node; each call of `lies` adds a round of attacks to the node's outbox.

    Attributes:
        node: The node that takes part in gossip.
        endpoints: Keys of the endpoints whose failures it claims.
        recorded_datagrams: Datagrams to replay.
        round: Number of rounds so far.
        spoil: Whether it also sends datagrams that are forged, corrupted or replayed.
    """

    def __init__(self, node, endpoints, spoil=True):
        self.node, self.endpoints, self.recorded_datagrams, self.round, self.spoil = (
            node,
            endpoints,
            [],
            0,
            spoil,
        )

    def record_datagram(self, datagram):
        """Keeps a datagram to replay it later, up to `MAX_RECORDED_DATAGRAMS`."""
        if len(self.recorded_datagrams) < MAX_RECORDED_DATAGRAMS:
            self.recorded_datagrams.append(datagram)

    def _seal_item(self, now, body, name=None, start=None, number=None):
        """Returns an item signed with its own key, by default in its own name with a new number."""
        node = self.node
        if number is None:
            node.local.number += 1
            number = node.local.number
        item = Item(
            name or node.local.name,
            node.local.start if start is None else start,
            number,
            now - node.local.started_at,
            body,
        )
        return codec.seal_item(item, node.local.identity)

    def _seal_frame(self, now, recipient, body, items, name=None, start=None):
        """Returns a datagram signed with its own key, by default with its own name as sender."""
        node = self.node
        node.local.number += 1
        frame = Frame(
            name or node.local.name,
            recipient,
            node.local.start if start is None else start,
            node.local.number,
            now - node.local.started_at,
            body,
            items,
        )
        return codec.seal_frame(frame, node.local.identity)

    def lies(self, now):
        """Adds one round of attacks on every live peer to the node's outbox.

        Args:
            now: The node's time in ticks.
        """
        self.round += 1
        peers = [member for member in self.node.members.live if member.address]
        items = []
        for victim in peers:
            items.append(
                self._seal_item(
                    now, Suspect(victim.name, victim.start, victim.incarnation + self.round % 3)
                )
            )
            # In the name of another instance, but signed with its own key.
            items.append(self._seal_item(now, Left(), victim.name, victim.start))
            items.append(
                self._seal_item(now, Alive(*victim.address, 1 << 40), victim.name, victim.start)
            )
        # The same outdated claims in each round, signed again so that they look recent.
        reissued_evidence = [
            self._seal_item(now, Evidence(*endpoint, 50, 50)) for endpoint in self.endpoints
        ]
        sequence_numbers = []
        for _ in self.endpoints:
            self.node.local.number += 1
            sequence_numbers.append(self.node.local.number)
        for index, peer in enumerate(peers):
            reports_failures = index % 2 == self.round % 2
            # Equivocation: items with the same number, but different content for different peers.
            equivocations = (
                [
                    self._seal_item(
                        now,
                        Evidence(*endpoint, 40, 40 if reports_failures else 0),
                        number=sequence_number,
                    )
                    for endpoint, sequence_number in zip(self.endpoints, sequence_numbers)
                ]
                if self.round % 4 == 0
                else []
            )
            all_items = (
                items
                + reissued_evidence
                + equivocations
                + [self._seal_item(now, Evidence(f"pod-{self.round}", "", 1, 0, 9, 9))]
            )
            for first in range(0, len(all_items), 6):
                self.node.outbox.datagrams.append(
                    (
                        peer.address,
                        self._seal_frame(now, peer.name, Push(), all_items[first : first + 6]),
                    )
                )
            false_hints = [
                (
                    member.name,
                    "10.255.255.1" if member.address[0].startswith("10.") else "127.0.0.1",
                    9,
                )
                for member in peers
            ][:20]
            self.node.outbox.datagrams.append(
                (peer.address, self._seal_frame(now, peer.name, Hints(False, false_hints), []))
            )
            if not self.spoil:
                continue
            impersonated = peers[(index + 1) % len(peers)]
            forged = self._seal_frame(
                now, peer.name, Push(), items[:3], impersonated.name, impersonated.start
            )
            self.node.outbox.datagrams.append((peer.address, forged))
            own_frame = self._seal_frame(now, peer.name, Push(), items[:3])
            self.node.outbox.datagrams.append(
                (peer.address, own_frame[:-1] + bytes((own_frame[-1] ^ 1,)))
            )
            self.node.outbox.datagrams.append((peer.address, bytes(range(200)) * 3))
            self.node.outbox.datagrams.append((peer.address, own_frame[:30] + bytes(range(100))))
            for datagram in self.recorded_datagrams[self.round % 7 :: 7][:4]:
                self.node.outbox.datagrams.append((peer.address, datagram))


def make_endpoint_keys(count, build=1):
    """Returns keys of endpoints `s-0`, `s-1`, ... without addresses and start times."""
    return [EndpointKey(f"s-{index}", "", build, 0) for index in range(count)]

"""A peer with a valid key that does harm in every way it can: stand-in for a captured instance. It takes part like any
other (so that it is believed to live) and lies besides. Used in simulated time and, over a socket, on loopback.
"""

from thymeknot.gossip import codec
from thymeknot.gossip.codec import Alive, Evidence, Frame, Hints, Item, Left, Push, Suspect
from thymeknot.gossip.own_experience import EndpointKey

KEPT = 200  # datagrams it heard, to be sent again


class Liar:
    """Wraps a node. pods: those it speaks ill of. Each call of `lies` puts a round of them into its outbox."""

    def __init__(self, node, pods, spoil=True):
        self.node, self.pods, self.heard, self.round, self.spoil = node, pods, [], 0, spoil
        self.stale = None

    def record_datagram(self, content):
        if len(self.heard) < KEPT:
            self.heard.append(content)

    def _item(self, now, body, name=None, start=None, number=None):
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

    def _frame(self, now, to, body, items, name=None, start=None):
        node = self.node
        node.local.number += 1
        frame = Frame(
            name or node.local.name,
            to,
            node.local.start if start is None else start,
            node.local.number,
            now - node.local.started_at,
            body,
            items,
        )
        return codec.seal_frame(frame, node.local.identity)

    def lies(self, now):
        """One round, to every live peer."""
        self.round += 1
        peers = [one for one in self.node.members.live if one.address]
        items = []
        for victim in peers:
            items.append(
                self._item(
                    now, Suspect(victim.name, victim.start, victim.incarnation + self.round % 3)
                )
            )
            items.append(
                self._item(now, Left(), victim.name, victim.start)
            )  # another's name, its own key
            items.append(
                self._item(now, Alive(*victim.address, 1 << 40), victim.name, victim.start)
            )
        stale = [
            self._item(now, Evidence(*pod, 50, 50)) for pod in self.pods
        ]  # old news, ever signed anew
        numbers = []
        for _ in self.pods:
            self.node.local.number += 1
            numbers.append(self.node.local.number)
        for at, peer in enumerate(peers):
            ill = at % 2 == self.round % 2
            # Two tongues: the same number says one thing here and another there.
            tongues = (
                [
                    self._item(now, Evidence(*pod, 40, 40 if ill else 0), number=number)
                    for pod, number in zip(self.pods, numbers)
                ]
                if self.round % 4 == 0
                else []
            )
            everything = (
                items
                + stale
                + tongues
                + [self._item(now, Evidence(f"pod-{self.round}", "", 1, 0, 9, 9))]
            )
            for begin in range(0, len(everything), 6):
                self.node.outbox.datagrams.append(
                    (
                        peer.address,
                        self._frame(now, peer.name, Push(), everything[begin : begin + 6]),
                    )
                )
            false = [
                (one.name, "10.255.255.1" if one.address[0].startswith("10.") else "127.0.0.1", 9)
                for one in peers
            ][:20]
            self.node.outbox.datagrams.append(
                (peer.address, self._frame(now, peer.name, Hints(False, false), []))
            )
            if not self.spoil:
                continue
            other = peers[(at + 1) % len(peers)]
            forged = self._frame(now, peer.name, Push(), items[:3], other.name, other.start)
            self.node.outbox.datagrams.append((peer.address, forged))
            mine = self._frame(now, peer.name, Push(), items[:3])
            self.node.outbox.datagrams.append((peer.address, mine[:-1] + bytes((mine[-1] ^ 1,))))
            self.node.outbox.datagrams.append((peer.address, bytes(range(200)) * 3))
            self.node.outbox.datagrams.append((peer.address, mine[:30] + bytes(range(100))))
            for content in self.heard[self.round % 7 :: 7][:4]:
                self.node.outbox.datagrams.append((peer.address, content))


def make_endpoint_keys(count, build=1):
    return [EndpointKey(f"s-{at}", "", build, 0) for at in range(count)]

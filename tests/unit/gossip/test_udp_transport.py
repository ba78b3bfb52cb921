"""The gossip feature: how it follows the proxy's endpoints."""

import unittest
from unittest import mock

from measure.world import TERMS
from tests.golden.generate import make_identity
from tests.unit.proxy.test_proxy import Network, endpoint_entry
from thymeknot.gossip import udp_transport
from thymeknot.gossip.keyring import AllowedNetworks, Keyring
from thymeknot.gossip.settings import Peer, PeerKey

LISTED, CHANGES = 50, 40


class EndpointsOfGossipTest(unittest.TestCase):
    def setUp(self):
        identity = make_identity("a")
        peer = Peer("a", None, (PeerKey(identity.public_key_text(), None),))
        credentials = udp_transport.Credentials(
            identity, Keyring([peer]), AllowedNetworks(("127.0.0.0/8",))
        )
        settings = TERMS._replace(name="a", listen="127.0.0.1:0", announce="127.0.0.1:7946")
        self.network = Network(*(endpoint_entry(f"s-{number}") for number in range(LISTED)))
        proxy = self.network.proxy
        with mock.patch.object(udp_transport, "load_credentials", return_value=credentials):
            proxy.gossip = udp_transport.GossipFeature(proxy, settings, "")
        self.addCleanup(proxy.gossip.close)

    def advance(self, seconds):
        for _ in range(round(seconds * 100)):
            self.network.reactor.advance(0.01)
            self.network.reactor.advance(0)

    # Guards against a scan of all endpoints at each of hundreds of changes.
    def test_many_changes_are_passed_to_the_node_at_once(self):
        network = self.network
        suspicions = network.proxy.gossip.node.suspicions
        self.assertEqual(len(suspicions._observed), LISTED)
        with mock.patch.object(
            suspicions, "set_endpoints", wraps=suspicions.set_endpoints
        ) as passed:
            for number in range(CHANGES):
                network.update_endpoints(endpoint_entry(f"s-{number}", state="Gone"))
            self.assertEqual(passed.call_count, 0)
            self.advance(0.2)
            self.assertEqual(passed.call_count, 1)
            self.assertEqual(len(suspicions._observed), LISTED - CHANGES)
            self.advance(1)
            self.assertEqual(passed.call_count, 1)


if __name__ == "__main__":
    unittest.main()

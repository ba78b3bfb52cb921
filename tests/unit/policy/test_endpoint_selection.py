"""Which endpoint of a build is used."""

import unittest

from tests.support.stand_ins import NOW, balancer, pod, sent, taken


class EndpointSelectionTest(unittest.TestCase):
    def test_pods_of_a_build_take_turns(self):
        made = balancer(pod("a"), pod("b"), pod("c"))
        self.assertEqual(
            {sent(made.handle(NOW, [taken(str(n))]))[0] for n in range(3)}, {"a", "b", "c"}
        )

    def test_a_pod_fast_at_failing_is_passed_over(self):
        made = balancer(pod("a"), pod("b"))
        made.context.endpoints["a"].failure_rate = 0.9
        self.assertEqual({sent(made.handle(NOW, [taken(str(n))]))[0] for n in range(2)}, {"b"})

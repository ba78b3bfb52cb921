"""Which endpoint of a build is used."""

import unittest

from tests.support.decisions import NOW, balancer, ended, pod, sent, taken
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import Outcome
from thymeknot.interface.events import TimerFired
from thymeknot.policy.engine import UPKEEP_TOKEN


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

    def chosen_in_ten_minutes(self, **known):
        """The pods that an instance chooses, one request a second, of which it knows this of the first."""
        made = balancer(pod("a"), pod("b"), instances=1)
        for name, value in known.items():
            self.assertTrue(hasattr(made.context.endpoints["a"], name))
            setattr(made.context.endpoints["a"], name, value)
        chosen = set()
        for second in range(600):
            now = NOW + second * TICKS_PER_SECOND
            (address,) = sent(made.handle(now, [taken(str(second)), TimerFired(UPKEEP_TOKEN)]))
            chosen.add(address)
            made.handle(now + 1, [ended(str(second), Outcome.DONE, address, closed=True)])
        return chosen

    def test_a_pod_that_failed_is_tried_again_while_others_stand_idle(self):
        """Failures were forgotten by outcomes alone, and by time only where no connection came up. A pod that answered
        with errors for a while costs up to nine times what the others cost, so an instance with little traffic, whose
        other pods stand idle at each request, never found out that it was well again: not once in ten minutes here."""
        self.assertEqual(self.chosen_in_ten_minutes(failure_rate=0.9), {"a", "b"})

    def test_a_pod_that_was_slow_is_tried_again_while_others_stand_idle(self):
        """The same with response times: a pod once found four times as slow as usual costs four times what the others
        cost, and only a response of its own would have told that it was as quick as they were by then."""
        self.assertEqual(self.chosen_in_ten_minutes(relative_latency=4.0), {"a", "b"})

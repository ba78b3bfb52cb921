"""Selection of an endpoint within a build."""

import unittest

from tests.support.decisions import (
    NOW,
    attempted_endpoints,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_request,
)
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import Outcome
from thymeknot.interface.events import TimerFired
from thymeknot.policy.engine import UPKEEP_TOKEN


class EndpointSelectionTest(unittest.TestCase):
    def test_endpoints_of_a_build_take_turns(self):
        engine = make_engine(make_endpoint("a"), make_endpoint("b"), make_endpoint("c"))
        self.assertEqual(
            {attempted_endpoints(engine.handle(NOW, [make_request(str(n))]))[0] for n in range(3)},
            {"a", "b", "c"},
        )

    def test_endpoint_with_a_high_failure_rate_is_skipped(self):
        engine = make_engine(make_endpoint("a"), make_endpoint("b"))
        engine.context.endpoints["a"].failure_rate = 0.9
        self.assertEqual(
            {attempted_endpoints(engine.handle(NOW, [make_request(str(n))]))[0] for n in range(2)},
            {"b"},
        )

    def chosen_in_ten_minutes(self, **initial_state):
        """Returns the endpoints chosen for one request per second; endpoint "a" starts with this state."""
        engine = make_engine(make_endpoint("a"), make_endpoint("b"), instances=1)
        for name, value in initial_state.items():
            self.assertTrue(hasattr(engine.context.endpoints["a"], name))
            setattr(engine.context.endpoints["a"], name, value)
        chosen = set()
        for second in range(600):
            now = NOW + second * TICKS_PER_SECOND
            (address,) = attempted_endpoints(
                engine.handle(now, [make_request(str(second)), TimerFired(UPKEEP_TOKEN)])
            )
            chosen.add(address)
            engine.handle(
                now + 1, [make_attempt_ended(str(second), Outcome.DONE, address, closed=True)]
            )
        return chosen

    def test_endpoint_that_failed_is_retried_while_others_are_idle(self):
        """Without decay over time, only outcomes lower a failure rate.

        An endpoint that returned errors costs up to nine times as much as the others. An instance with little
        traffic, whose other endpoints are idle at each request, then never noticed that it had recovered: not once
        in the ten minutes of this test.
        """
        self.assertEqual(self.chosen_in_ten_minutes(failure_rate=0.9), {"a", "b"})

    def test_endpoint_that_was_slow_is_retried_while_others_are_idle(self):
        """The same for response times: an endpoint measured at four times the usual latency costs four times as much.

        Without decay over time, only a response of its own would show that it is as fast as the others again.
        """
        self.assertEqual(self.chosen_in_ten_minutes(relative_latency=4.0), {"a", "b"})

"""The life cycle of a request."""

import unittest

from tests.support.decisions import NOW, balancer, ended


class RequestLifecycleTest(unittest.TestCase):
    def test_attempt_end_of_an_unknown_request_is_ignored(self):
        self.assertEqual(balancer().handle(NOW, [ended("unknown")]), [])

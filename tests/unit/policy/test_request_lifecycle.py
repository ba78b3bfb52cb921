"""The life cycle of a request."""

import unittest

from tests.support.decisions import NOW, make_attempt_ended, make_engine


class RequestLifecycleTest(unittest.TestCase):
    def test_attempt_end_of_an_unknown_request_is_ignored(self):
        self.assertEqual(make_engine().handle(NOW, [make_attempt_ended("unknown")]), [])

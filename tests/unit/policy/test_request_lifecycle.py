"""A request's life."""

import unittest

from tests.support.decisions import NOW, balancer, ended


class RequestLifecycleTest(unittest.TestCase):
    def test_an_end_without_its_transaction_is_passed_over(self):
        self.assertEqual(balancer().handle(NOW, [ended("unheard-of")]), [])

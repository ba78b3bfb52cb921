"""Groups of the ready endpoints by build, which changes update without a scan of all endpoints."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.decisions import NOW, make_endpoint, make_engine, make_release_update
from thymeknot.interface.enums import EndpointCondition, UpdateKind
from thymeknot.interface.events import EndpointUpdate

ENTRY = st.builds(
    lambda number, build, started, condition, size, zone: make_endpoint(
        f"s-{number}", build, NOW if started else 0
    )._replace(condition=condition, size=size, zone=zone),
    st.integers(0, 11),
    st.integers(1, 3),
    st.booleans(),
    st.sampled_from(EndpointCondition),
    st.sampled_from((0.3, 1.0, 1.7)),
    st.sampled_from("abc"),
)


class ReferenceGroups:
    """Groups and ranks of the endpoints, computed anew from all of them after each update."""

    def __init__(self, random_source):
        self.random_source = random_source
        self.listed = {}  # by address, in the order of the first listing
        self.ranks = {}  # by address and process; an endpoint that is not ready keeps its rank

    def apply(self, endpoints):
        for endpoint in endpoints:
            former = self.listed.get(endpoint.address)
            if endpoint.condition == EndpointCondition.GONE:
                self.listed.pop(endpoint.address, None)
                self.ranks.pop(endpoint.address, None)
                continue
            if former and (former.started, former.build) != (endpoint.started, endpoint.build):
                self.ranks.pop(endpoint.address)
            self.listed[endpoint.address] = endpoint
            self.ranks.setdefault(endpoint.address, None)
        for newest in (True, False):
            group = self.group(newest)
            known = [
                self.ranks[one.address] for one in group if self.ranks[one.address] is not None
            ]
            lowest = int(min(known, default=0))
            for one in group:
                if self.ranks[one.address] is None:
                    self.ranks[one.address] = lowest + self.random_source.draw()

    def group(self, newest):
        return [
            endpoint
            for endpoint in self.listed.values()
            if endpoint.condition == EndpointCondition.READY
            and endpoint.build <= 2
            and (endpoint.build == 2) == newest
        ]

    def ranked(self, newest):
        return sorted(self.group(newest), key=lambda one: self.ranks[one.address])


class EndpointGroupsTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.lists(ENTRY, min_size=1, max_size=5), min_size=1, max_size=12))
    def test_changes_have_the_same_result_as_grouping_all_endpoints(self, updates):
        engine = make_engine(make_endpoint("s-0"), release_update=make_release_update())
        context = engine.context
        reference = ReferenceGroups(type(context.rng)(0))
        reference.listed = {name: state.listed for name, state in context.endpoints.items()}
        reference.ranks = {name: state.subset_rank for name, state in context.endpoints.items()}
        for update in updates:
            reference.random_source.state = context.rng.state
            engine.selection.update(EndpointUpdate(UpdateKind.DELTA, tuple(update)))
            reference.apply(update)
            self.assertEqual(reference.random_source.state, context.rng.state)
            for newest in (True, False):
                states = context.by_build[newest]
                self.assertEqual([state.listed for state in states], reference.group(newest))
                subset = [state.listed for state in context.subsets[newest]]
                self.assertEqual(subset, reference.ranked(newest)[: len(subset)])
                self.assertTrue(all(state.on_newest_build is newest for state in states))
            zones = Counter(endpoint.zone for endpoint in reference.group(True))
            self.assertEqual(context.zones, len(zones))
            capacity = dict(engine.slow_start.capacity)
            engine.slow_start.update_capacity()
            self.assertEqual(engine.slow_start.capacity, capacity)


if __name__ == "__main__":
    unittest.main()

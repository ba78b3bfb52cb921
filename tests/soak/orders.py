"""Orders for the stepped rig, drawn by other seeds and in longer lists than those of the integration test."""

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.integration import test_event_orders as short
from tests.support.order_rig import minimize, play

STALL = short.order("stall_process", st.sampled_from((20, 60, 150)))  # the page allows for 0.15 s
LONGER = st.lists(
    st.one_of(short.ORDERS, short.ORDERS, short.ORDERS, STALL),
    min_size=40,
    max_size=120,
)


def find_failing_orders(number, examples):
    """The smallest orders found that show a fault, and the fault; None if no list of this seed shows one."""
    found = []

    @settings(
        database=None,
        deadline=None,
        max_examples=examples,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    @seed(number)
    @given(LONGER)
    def run(drawn):
        if found:
            return
        try:
            play(*short.STARTS, *drawn)
        except Exception as error:
            found.append((drawn, error))

    run()
    if not found:
        return None
    drawn, error = found[0]
    return minimize(short.STARTS, drawn, error), repr(error)

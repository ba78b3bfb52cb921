"""Random orders of events for `tests.support.order_rig`.

They are drawn from other seeds than those of `tests.integration.test_event_orders` and are longer.
"""

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.integration import test_event_orders as short
from tests.support.order_rig import minimize, play

# The specification allows for stalls of up to 150 ms.
STALL = short.order("stall_process", st.sampled_from((20, 60, 150)))
LONG_ORDERS = st.lists(
    st.one_of(short.ORDERS, short.ORDERS, short.ORDERS, STALL),
    min_size=40,
    max_size=120,
)


def find_failing_orders(number, examples):
    """Draws lists of orders from a seed until one shows a fault.

    Args:
        number: The seed.
        examples: How many lists to draw.

    Returns:
        The list, reduced to the orders needed, and the fault; None if no list shows one.
    """
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
    @given(LONG_ORDERS)
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

"""Rule 2: a request that may have run is repeated only where the repeat has no second effect."""

from ..interface.clock import Ticks
from ..interface.enums import DeduplicationScope, Idempotency
from ..interface.events import Endpoint
from ..state.request_state import RequestState


def may_repeat(request: RequestState, now: Ticks, by_client: bool) -> bool:
    """Whether the request may be sent again now.

    Args:
        request: the request.
        now: the moment.
        by_client: whether the client may repeat it anywhere, after a rejection; else the instance
            sends it again itself and picks the endpoint.
    """
    first = request.first_possible_run()
    request_class = request.request_class
    return (
        first is None
        or request_class.idempotency == Idempotency.IDEMPOTENT
        or (
            request_class.idempotency == Idempotency.KEYED
            and now < first.sent_at + request_class.deduplication_window
            and (request_class.deduplication_scope == DeduplicationScope.ALL or not by_client)
        )
    )


def deduplicates_retry(request: RequestState, endpoint: Endpoint) -> bool:
    """Whether this endpoint would drop the repeat of what may have run; True if nothing did."""
    first = request.first_possible_run()
    scope = request.request_class.deduplication_scope
    if (
        first is None
        or request.request_class.idempotency == Idempotency.IDEMPOTENT
        or scope == DeduplicationScope.ALL
    ):
        return True
    return endpoint.zone == first.endpoint.zone and (
        scope != DeduplicationScope.CELL or endpoint.cell == first.endpoint.cell
    )

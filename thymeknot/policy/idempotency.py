"""Rule 2: a request that may have run is retried only if the retry cannot take effect twice."""

from ..interface.clock import Ticks
from ..interface.enums import DeduplicationScope, Idempotency
from ..interface.events import Endpoint
from ..state.request_state import RequestState


def may_repeat(request: RequestState, now: Ticks, by_client: bool) -> bool:
    """Returns whether the request may be sent again.

    Args:
        request: The request.
        now: The current time.
        by_client: True if the client would retry it after a rejection, at any endpoint; False if
            this instance retries it and selects the endpoint.
    """
    first_run = request.first_possible_run()
    request_class = request.request_class
    return (
        first_run is None
        or request_class.idempotency == Idempotency.IDEMPOTENT
        or (
            request_class.idempotency == Idempotency.KEYED
            and now < first_run.sent_at + request_class.deduplication_window
            and (request_class.deduplication_scope == DeduplicationScope.ALL or not by_client)
        )
    )


def deduplicates_retry(request: RequestState, endpoint: Endpoint) -> bool:
    """Returns whether a retry at this endpoint is safe: deduplicated there, or nothing has run."""
    first_run = request.first_possible_run()
    scope = request.request_class.deduplication_scope
    if (
        first_run is None
        or request.request_class.idempotency == Idempotency.IDEMPOTENT
        or scope == DeduplicationScope.ALL
    ):
        return True
    return endpoint.zone == first_run.endpoint.zone and (
        scope != DeduplicationScope.CELL or endpoint.cell == first_run.endpoint.cell
    )

"""What an instance remembers of the endpoints that are listed."""

from collections.abc import Collection, Iterable

from ..interface.clock import Ticks
from ..interface.enums import EndpointCondition, UpdateKind
from ..interface.events import Endpoint, EndpointUpdate
from ..interface.settings import Settings
from .random_source import LinearCongruentialGenerator
from .sliding_window import SlidingWindow

ATTEMPT_WINDOW_BUCKETS = 15  # of the overload window, in which recent attempts are counted


class EndpointState:
    """An endpoint as this instance knows it.

    Attributes:
        listed: as discovery lists it.
        in_flight: attempts of this instance that have not ended.
        relative_latency: a moving mean of the response time, in times of its request class's mean.
        failure_rate: a moving mean of the attempts that failed.
        outcome_at: when an outcome came, or the lack of any was counted, last.
        load: the utilisation that it reported last.
        recent_attempts: attempts of this instance in the overload window.
        last_response_at: when it last responded well.
        ejected_until: until then it is used last, as it could not be connected to.
        ejection_time: how long it was ejected last; 0 after a good response.
        suspected_until: until then it is used last, as peers saw it fail.
        random_share: number of an overload window, and the random part of this instance's share
            of the endpoint's warm-up capacity in it, from 0 to 1.
        subset_rank: its rank in the subset of endpoints in use; None before it is drawn.
        on_newest_build: True, or False for an earlier build; None if it is not ready to serve.
    """

    def __init__(self, listed: Endpoint, overload_window: Ticks) -> None:
        self.listed = listed
        self.in_flight = 0
        self.relative_latency = 1.0
        self.failure_rate = 0.0
        self.last_outcome_at: Ticks = 0
        self.load = 0.0
        self.recent_attempts = SlidingWindow(overload_window, ATTEMPT_WINDOW_BUCKETS)
        self.last_response_at: Ticks = 0
        self.ejected_until: Ticks = 0
        self.ejection_duration: Ticks = 0
        self.suspected_until: Ticks = 0
        self.random_share: tuple[int, float] = (-1, 0.0)
        self.subset_rank: float | None = None
        self.on_newest_build: bool | None = None

    def warmup_fraction(self, now: Ticks, settings: Settings) -> float:
        """The part of its capacity that it has at least: it gains no slower than evenly.

        Never 0: costs are divided by it, and an endpoint that starts at no capacity may be asked
        for at the moment of its start, or before by a clock that is behind.
        """
        started = self.listed.started
        if not started:  # most are: every request asks for a dozen of these
            return 1.0
        age = max(1, now - started)
        if age >= settings.warmup_duration:
            return 1.0
        return (
            settings.warmup_initial_fraction
            + (1 - settings.warmup_initial_fraction) * age / settings.warmup_duration
        )


def apply_update(
    endpoints: dict[str, EndpointState], update: EndpointUpdate, overload_window: Ticks
) -> dict[str, EndpointState]:
    """The endpoints by address after an update.

    A full list names all of them. An endpoint that was restarted or replaced is a new one.
    """
    if update.kind != UpdateKind.DELTA:
        listed_addresses = {listed.address for listed in update.endpoints}
        endpoints = {
            address: state for address, state in endpoints.items() if address in listed_addresses
        }
    for listed in update.endpoints:
        state = endpoints.get(listed.address)
        if listed.condition == EndpointCondition.GONE:
            endpoints.pop(listed.address, None)
        elif state and (state.listed.started, state.listed.build) == (
            listed.started,
            listed.build,
        ):
            state.listed = listed
        else:
            endpoints[listed.address] = EndpointState(listed, overload_window)
    return endpoints


def order_by_subset_rank(
    endpoints: Iterable[EndpointState],
    demoted: Collection[EndpointState],
    random_source: LinearCongruentialGenerator,
) -> list[EndpointState]:
    """The endpoints in the order of their ranks; a new one's is as likely as any.

    Args:
        endpoints: the endpoints to order.
        demoted: those of them that go last.
        random_source: draws the ranks of new endpoints.
    """
    lowest_rank = int(
        min((state.subset_rank for state in endpoints if state.subset_rank is not None), default=0)
    )
    ranked = []
    for state in endpoints:
        rank = state.subset_rank
        state.subset_rank = (
            lowest_rank + random_source.draw() if rank is None else rank + (state in demoted)
        )
        ranked.append((state.subset_rank, state))
    return [state for _, state in sorted(ranked, key=lambda pair: pair[0])]


def age_at_fraction(fraction: float, settings: Settings, max_age: Ticks) -> float:
    """How old an endpoint is when it has this part of its capacity, at the latest.

    Args:
        fraction: the part of the capacity, from 0 to 1.
        settings: tell the warm-up's duration and where it begins.
        max_age: the result, in ticks, if the age is more.
    """
    return min(
        max_age,
        settings.warmup_duration
        * max(0.0, fraction - settings.warmup_initial_fraction)
        / max(1e-9, 1 - settings.warmup_initial_fraction),
    )

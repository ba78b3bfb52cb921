"""Watches, fetches and validates the endpoint list for the decision engine."""

from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from ..interface.actions import FetchEndpoints, SubscribeToEndpoints
from ..interface.clock import Ticks
from ..interface.enums import EndpointCondition, UpdateKind
from ..interface.events import Endpoint, EndpointUpdate
from ..polling.adaptive_interval import dedicated_service_limits, shared_service_limits
from ..polling.snapshot_validation import SnapshotValidator
from ..protocol import discovery
from ..protocol.http_calls import MAX_REASON_LENGTH, HttpCaller, Reply
from ..protocol.watch_stream import WatchStream
from ..protocol.write_progress import BrokenConnection
from ..service import structured_log
from ..state.random_source import LinearCongruentialGenerator
from ..state.start_times import StartTimes

if TYPE_CHECKING:
    from .proxy import Proxy

Address = tuple[str, int]
"""Host and port."""

StreamReader = Callable[[memoryview], bool]
"""Reads a chunk of a stream; returns whether it completes a line, so that the stream is alive."""


def notifying_reader(read: StreamReader, on_data: Callable[[], None]) -> StreamReader:
    """Returns a reader that calls on_data() after each chunk that completes a line."""

    def read_and_notify(content: memoryview) -> bool:
        alive = read(content)
        if alive:  # otherwise only part of a line has arrived
            on_data()
        return alive

    return read_and_notify


def _process(endpoint: Endpoint) -> tuple[Ticks, int]:
    """Returns what tells the processes of an endpoint apart: when it started, and its build."""
    return endpoint.started, endpoint.build


class EndpointUpdates:
    """Maintains the endpoint list.

    Attributes:
        proxy: Receives the updates, and closes connections that they make obsolete.
        start_times: Converts the start times of endpoints.
        listed_endpoints: Each listed endpoint by its name.
        addresses: The address of each listed endpoint, by its name.
        version: The version of the list.
        discovery: The HTTP client of the discovery service.
        watch: The stream of updates, pushed by the agent on the same machine or polled.
    """

    def __init__(
        self,
        proxy: "Proxy",
        random_source: LinearCongruentialGenerator,
        start_times: StartTimes,
    ) -> None:
        settings = proxy.settings
        lists_polled = settings.lists_polled
        self._limits = (
            shared_service_limits(settings.poll_within)
            if lists_polled
            else dedicated_service_limits(settings.drain_grace)
        )
        self.proxy = proxy
        self.start_times = start_times
        self.listed_endpoints: dict[str, Endpoint] = {}
        self.addresses: dict[str, str] = {}
        self.version: int = proxy.start.known.version
        self._source: Address | None = None  # the address that sent the latest list
        self._validator = SnapshotValidator()
        self.discovery = self._caller(proxy.start.discovery)
        self.watch = WatchStream(
            self.discovery,
            random_source,
            discovery.SILENCE_TIMEOUT,
            lambda: discovery.watch_request(self.discovery.host, self._version_to_request_from()),
            self._watch_reader,
            structured_log.log_rate_limited,
            discovery.FIRST_DATA_TIMEOUTS[lists_polled],
            dedicated=not lists_polled,
            limits=self._limits,
        )

    def _caller(self, address: Address) -> HttpCaller:
        configured = self.proxy.connection_limits.connect_timeout
        return self.proxy.caller(address, self._limits.connect_timeout(configured))

    def notify_on_data(self, on_data: Callable[[], None]) -> None:
        """Calls on_data() whenever the watch stream has received data.

        Lists in the data have been applied by then; an empty line means that no list is newer.
        """
        self.watch.make_reader = lambda: notifying_reader(self._watch_reader(), on_data)

    def start(self) -> None:
        """Starts the watch.

        If lists are polled, all instances call one service, so the first calls of a fleet that
        starts at once are spread out.
        """
        settings = self.proxy.settings
        if settings.lists_polled:
            self.watch.start_spread(settings.instances)
        else:
            self.watch.start()

    def change_address(self, address: Address) -> None:
        """Switches to another discovery address; calls in progress finish at the previous one."""
        if address != self.discovery.address:
            self.discovery = self._caller(address)
            self.watch.move(self.discovery)

    def apply(self, listing: discovery.EndpointListing, source: Address) -> None:
        """Applies a list received from an address.

        Raises:
            StaleSnapshotError: The list was rejected; the known list is kept.
        """
        update = listing.update._replace(
            endpoints=self.start_times.correct(listing.update.endpoints)
        )
        is_snapshot = update.kind != UpdateKind.DELTA
        rejection = self._validator.validate(
            source, listing.version, is_snapshot, len(update.endpoints), len(self.listed_endpoints)
        )
        if rejection:
            raise discovery.StaleSnapshotError(*rejection)
        self.version = listing.version
        self._source = source
        proxy = self.proxy
        # The engine handles the update before the ends of the attempts that it withdraws.
        proxy.pending_events.append(update)
        if is_snapshot:
            self._apply_snapshot(update.endpoints, listing.addresses)
        else:
            self._apply_delta(update.endpoints, listing.addresses)
        if proxy.gossip is not None:
            proxy.gossip.on_endpoints_changed()
        proxy.handle_events()

    def _apply_snapshot(self, endpoints: tuple[Endpoint, ...], addresses: dict[str, str]) -> None:
        """Replaces the list, and ends connections and attempts that it makes obsolete.

        Args:
            endpoints: The new list.
            addresses: The addresses of the endpoints that have one, by name.
        """
        previous = self.listed_endpoints
        self.listed_endpoints = {}
        replaced = self._merge(endpoints, previous)
        self.addresses = {
            name: address
            for name, address in {**self.addresses, **addresses}.items()
            if name in self.listed_endpoints
        }
        self.start_times.forget_except(self.listed_endpoints)
        self._withdraw_obsolete(replaced)
        self.proxy.pools.close_all_except(
            {name: address for name, address in self.addresses.items() if name not in replaced}
        )

    def _apply_delta(self, endpoints: tuple[Endpoint, ...], addresses: dict[str, str]) -> None:
        """Applies changes, and ends connections and attempts that they make obsolete.

        The work grows with the number of changes, not with the length of the list.

        Args:
            endpoints: The changed entries, in order.
            addresses: The addresses of those that have one, by name.
        """
        replaced = self._merge(endpoints, self.listed_endpoints)
        changed = dict.fromkeys(endpoint.address for endpoint in endpoints)
        for name in changed:
            if name not in self.listed_endpoints:
                self.addresses.pop(name, None)
                self.start_times.forget(name)
            elif name in addresses:
                self.addresses[name] = addresses[name]
        pools = self.proxy.pools
        in_use = [name for name in changed if name in pools.by_pod]
        if in_use:
            self._withdraw_obsolete(replaced)
            for name in in_use:
                address = None if name in replaced else self.addresses.get(name)
                pools.close_unless_at(name, address)

    def _merge(self, endpoints: Iterable[Endpoint], previous: dict[str, Endpoint]) -> set[str]:
        """Merges endpoints into the list; returns the names of those whose process was replaced.

        Connections to the previous process cannot be used: it was another endpoint of that name. An
        endpoint that is told as gone and then as back counts as replaced, too.

        Args:
            endpoints: The entries of the update, in order.
            previous: The endpoints that the entries replace, by name.
        """
        listed = self.listed_endpoints
        replaced = set()
        for endpoint in endpoints:
            name = endpoint.address
            earlier = previous.get(name)
            gone = endpoint.condition == EndpointCondition.GONE
            if earlier and (gone or _process(earlier) != _process(endpoint)):
                replaced.add(name)
            if gone:
                listed.pop(name, None)
            else:
                listed[name] = endpoint
        return replaced

    def _withdraw_obsolete(self, replaced: set[str]) -> None:
        """Withdraws unwritten attempts to endpoints that left, drain, moved or were replaced."""
        self.proxy.withdraw_unwritten(
            lambda endpoint, address: (
                endpoint.address in replaced
                or not self.is_ready(endpoint)
                or self.addresses[endpoint.address] != address
            )
        )

    def is_ready(self, endpoint: Endpoint) -> bool:
        """Returns whether this process of the endpoint is still listed as ready."""
        listed = self.listed_endpoints.get(endpoint.address)
        return (
            listed is not None
            and listed.condition == EndpointCondition.READY
            and _process(listed) == _process(endpoint)
        )

    def _version_to_request_from(self) -> int:
        """Returns the version last received from the current address, or 0 for the full list."""
        return self.version if self._source == self.discovery.address else 0

    def _watch_reader(self) -> StreamReader:
        lists = discovery.ListParser()
        source = self.discovery.address

        def read(content: memoryview) -> bool:
            alive = False

            def listings() -> Iterator[discovery.EndpointListing]:
                nonlocal alive
                for document in lists.feed(content):
                    alive = True
                    if document is not None:
                        yield discovery.read_list(document, self.proxy.epoch)

            for listing in discovery.merge_deltas(listings()):
                self.apply(listing, source)
            return alive

        return read

    def subscribe(self, action: SubscribeToEndpoints) -> None:
        """Does nothing: the watch stream is always open, or polls at its adaptive interval."""

    def fetch(self, action: FetchEndpoints) -> None:
        """Fetches the full list once, and reports the list or the failure to the engine."""
        fetched = self.discovery.call(
            discovery.fetch_request(self.discovery.host), self.proxy.settings.vote_timeout
        )
        fetched.addCallback(self._fetched, self.discovery.address)

    def _fetched(self, result: Reply | BrokenConnection, source: Address) -> None:
        """Applies a list fetched from an address, if that is still the current one."""
        try:
            if source != self.discovery.address:
                raise discovery.UnreadableListError("fetched from a previous address")
            if not isinstance(result, Reply) or result.status != 200:
                raise discovery.UnreadableListError(
                    f"status {result.status}" if isinstance(result, Reply) else result.reason
                )
            self.apply(discovery.read_json(result.body, self.proxy.epoch), source)
        except Exception as error:  # the engine needs exactly one result of the fetch
            structured_log.log("endpoint list not fetched", error=str(error)[:MAX_REASON_LENGTH])
            self.proxy.handle_events(EndpointUpdate(UpdateKind.FETCH_FAILED, ()))

"""Collects the reasons of open requests, stores entries in the decision log and finds them.

The slots are divided into regions (see regions.py). In a full region, the oldest entry of the
tenant with the most entries is evicted. Ordinary requests of idempotent request classes are sampled
uniformly, at a rate that depends on the traffic. So in a region of N slots that receives r entries
per second, an entry is retained for at least N / r seconds, and for longer if its tenant has at
most its share of the slots.
"""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, Optional, Protocol

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.reasons import Reason
from ..interface.settings import RequestClass
from .entry_codec import MAX_NOTES, MAX_TEXT_LENGTH, SLOT_BYTES, Entry, pack_slot
from .entry_filter import EntryFilter
from .entry_index import EntryIndex
from .regions import ORDINARY, RATE_WINDOW, VOTES, Region, lay_out_regions
from .settings import DecisionLogSettings
from .slot_file import SlotFile, StoredEntry
from .tallies import REJECTION_REASONS, Tallies

RECORDING_DELAY: Final[Ticks] = TICKS_PER_SECOND // 20
"""From the end of a request to its entry: notes on its last attempt arrive shortly after."""
MAX_OPEN_REQUESTS: Final = 50_000
"""The maximum number of requests with notes at a time, to bound memory."""
# Used for every note: module globals are faster to look up than members of the enum.
SENT: Final = Reason.SENT
DONE: Final = Reason.DONE


class RandomSource(Protocol):
    """The random numbers that select the sample of ordinary requests."""

    def draw(self) -> float:
        """Returns a random number in [0, 1)."""


class OpenRequest:
    """A request that is not stored yet.

    Attributes:
        received_at: When it was received.
        key: Its key.
        tenant: Its tenant.
        request_class: The name of its request class.
        is_retry: Whether the client marked it as a retry.
        notes: The reasons so far, each with the elapsed time and the operands.
        final_reason: The reason of the final response, or 0 if there is none yet.
        attempts_sent: The number of attempts sent.
        finished_at: When it had its final response and no attempt in flight; None before.
        omitted_notes: The number of notes that were omitted for lack of space.
    """

    __slots__ = (
        "attempts_sent",
        "final_reason",
        "finished_at",
        "is_retry",
        "key",
        "notes",
        "omitted_notes",
        "received_at",
        "request_class",
        "tenant",
    )

    def __init__(
        self,
        received_at: Ticks,
        key: Optional[str],
        tenant: Optional[str],
        request_class: str,
        is_retry: bool,
    ) -> None:
        self.received_at = received_at
        self.key = key
        self.tenant = tenant
        self.request_class = request_class
        self.is_retry = is_retry
        # Tuples rather than lists: the garbage collector does not track tuples of numbers.
        self.notes: list[Any] = []
        self.final_reason = 0
        self.attempts_sent = 0
        self.finished_at: Optional[Ticks] = None
        self.omitted_notes = 0


class Recorder:
    """Collects the reasons of open requests and stores entries in a slot file.

    Attributes:
        settings: The settings of the decision log.
        request_classes: The request classes by name.
        slot_file: Stores the entries.
        epoch: Unix time minus the clock's time.
        clock: Returns the monotonic time, in ticks.
        random_source: Selects the sample of ordinary requests.
        regions: The regions by key.
        index: Finds entries by id, key and endpoint.
        tallies: Counts over all requests.
        watchers: Called with each entry when it is stored.
        recovered_entries: The number of entries of an earlier process.
        torn_slots: The number of slots that an earlier process left incomplete.
    """

    def __init__(
        self,
        settings: DecisionLogSettings,
        request_classes: Mapping[str, RequestClass],
        slot_file: SlotFile,
        *,
        epoch: Ticks,
        clock: Callable[[], Ticks],
        random_source: RandomSource,
    ) -> None:
        self.settings = settings
        self.request_classes = request_classes
        self.slot_file = slot_file
        self.epoch = epoch
        self.clock = clock
        self.random_source = random_source
        self.regions = {
            key: Region(key, extent.first_slot, extent.slots)
            for key, extent in lay_out_regions(settings, request_classes, slot_file.slots).items()
        }
        self.index = EntryIndex()
        self.tallies = Tallies()
        self.watchers: list[Callable[[Entry], object]] = []
        self.recovered_entries = 0
        self.torn_slots = 0
        self._open: dict[str, OpenRequest] = {}
        self._finished: deque[tuple[str, Ticks, OpenRequest]] = deque()
        """Finished requests with id and end time; plain tuples, as each request needs one."""
        self._last_number = 0
        self._reason_counts = self.tallies.reason_counts  # bound once: used for every note
        self._rate_measured_at = clock()
        self._sampling_rate = 1.0
        self._ordinary_count = 0  # since the sampling rate was last adjusted
        if slot_file.path:
            self._recover()

    def _recover(self) -> None:
        """Recovers the entries of an earlier process; torn slots count as empty.

        An entry is kept if its slot is still in the region for its request class.
        """
        contents = self.slot_file.read_all()
        stored = {stored_entry.slot: stored_entry for stored_entry in contents.entries}
        for region in self.regions.values():
            self._recover_region(region, stored)
        if contents.torn_slots:  # cleared, so that a torn slot is only reported once
            for slot in range(self.slot_file.slots):
                if slot not in stored:
                    self.slot_file.clear(slot)
        self.recovered_entries = len(self.index.slots)
        self.torn_slots = contents.torn_slots

    def _recover_region(self, region: Region, stored: Mapping[int, StoredEntry]) -> None:
        own_entries = {
            slot: stored_entry
            for slot, stored_entry in stored.items()
            if region.first_slot <= slot < region.first_slot + region.slots
            and self._region_for(stored_entry.entry) is region
        }
        if not own_entries:
            return
        # Slots are used in order until all have been used.
        region.used_slots = max(own_entries) - region.first_slot + 1
        used_slots = range(region.first_slot, region.first_slot + region.used_slots)
        for slot in sorted(
            used_slots, key=lambda slot: own_entries[slot].number if slot in own_entries else 0
        ):
            stored_entry = own_entries.get(slot)
            region.eviction.add(stored_entry.entry.tenant if stored_entry else None, slot)
            if stored_entry:
                self.index.add(slot, stored_entry.number, stored_entry.entry)
                self._last_number = max(self._last_number, stored_entry.number)

    # Called by the decision engine and the proxy.

    def request_received(
        self,
        request_id: str,
        key: Optional[str],
        tenant: Optional[str],
        request_class: str,
        is_retry: bool,
    ) -> None:
        """Opens a request; an open request with the same id is closed and stored first."""
        now = self.clock()
        if request_id in self._open:
            self._close_request(request_id)
        if self._finished and now - self._finished[0][1] >= RECORDING_DELAY:
            self.flush(now)
        if len(self._open) < MAX_OPEN_REQUESTS:
            self._open[request_id] = OpenRequest(now, key, tenant, request_class, is_retry)

    def record_reason(self, request_id: Optional[str], reason: Reason, *operands: Any) -> None:
        """Adds a reason to a request's notes; without a request, only votes are stored."""
        if request_id is None:
            if reason == Reason.VOTED:
                self._record_vote(*operands)
            return
        request = self._open.get(request_id)
        if request is None:
            return
        self._reason_counts[reason] += 1
        if reason == SENT:
            request.attempts_sent += 1
        elif reason in REJECTION_REASONS:
            request.final_reason = reason
        notes = request.notes
        if len(notes) >= MAX_NOTES:
            request.omitted_notes += 1
            del notes[MAX_NOTES // 2]
        notes.append((reason, self.clock() - request.received_at, *operands))

    def request_answered(self, request_id: str, reason: Reason) -> None:
        """Records the final response, unless the decision engine has given its reason already."""
        request = self._open.get(request_id)
        if request is not None and not request.final_reason:
            request.final_reason = reason
            self._reason_counts[reason] += 1
            request.notes.append((reason, self.clock() - request.received_at))

    def request_finished(self, request_id: str) -> None:
        """Called when the request has its response and no attempt is in flight any more."""
        now = self.clock()
        request = self._open.get(request_id)
        if request is not None and request.finished_at is None:
            request.finished_at = now
            self._finished.append((request_id, now, request))

    def flush(self, now: Ticks, minimum_age: Ticks = RECORDING_DELAY) -> None:
        """Stores the requests that finished at least `minimum_age` ago."""
        if now - self._rate_measured_at >= TICKS_PER_SECOND:
            self._adjust_sampling_rate(now)
        while self._finished and now - self._finished[0][1] >= minimum_age:
            request_id, _, request = self._finished.popleft()
            if self._open.get(request_id) is request:
                self._close_request(request_id)

    def _adjust_sampling_rate(self, now: Ticks) -> None:
        """Sets the sampling rate so that the slots of the region cover the configured span."""
        rate = self._ordinary_count * TICKS_PER_SECOND / (now - self._rate_measured_at)
        self._rate_measured_at = now
        self._ordinary_count = 0
        expected = rate * self.settings.span / TICKS_PER_SECOND
        self._sampling_rate = min(1.0, self.regions[ORDINARY].slots / max(1e-9, expected))

    def _record_vote(
        self, build: int, stage: int, verdict: int, evidence_ratio: float, outcome_count: int
    ) -> None:
        now = self.clock()
        voted = int(Reason.VOTED)
        entry = Entry(
            received_at=now + self.epoch,
            id=f"vote-{build}-{stage}",
            key=None,
            tenant=None,
            request_class=VOTES,
            is_retry=False,
            final_reason=voted,
            duration=0,
            notes=[[voted, 0, build, stage, int(verdict), float(evidence_ratio), outcome_count]],
        )
        self._store(self.regions[VOTES], entry, now)

    def _close_request(self, request_id: str) -> None:
        request = self._open.pop(request_id)
        now = self.clock()
        finished_at = request.finished_at
        duration = (finished_at if finished_at is not None else now) - request.received_at
        request_class = request.request_class
        settings = self.request_classes.get(request_class)
        self.tallies.add_request(
            request_class, request.final_reason, duration, settings is not None
        )
        if request.final_reason in REJECTION_REASONS:
            self.tallies.add_rejection(request.tenant, request.key)
        if (
            request.final_reason == DONE
            and request.attempts_sent <= 1
            and settings is not None
            and duration <= settings.latency_objective
            and (request_class, False) not in self.regions
        ):
            self._ordinary_count += 1
            if self.random_source.draw() >= self._sampling_rate:
                return
        entry = self._make_entry(request_id[:MAX_TEXT_LENGTH], request, duration)
        entry.key = entry.key and entry.key[:MAX_TEXT_LENGTH]
        entry.tenant = entry.tenant and entry.tenant[:MAX_TEXT_LENGTH]
        self._store(self._region_for(entry), entry, now)

    def _make_entry(self, request_id: str, request: OpenRequest, duration: Ticks) -> Entry:
        return Entry(
            request.received_at + self.epoch,
            request_id,
            request.key,
            request.tenant,
            request.request_class,
            request.is_retry,
            request.final_reason,
            duration,
            request.notes,
            request.omitted_notes,
        )

    def _region_for(self, entry: Entry) -> Region:
        if entry.final_reason == Reason.VOTED:
            return self.regions[VOTES]
        class_name = entry.request_class
        settings = self.request_classes.get(class_name)
        unusual = self.regions.get((class_name, True))
        if settings is None or unusual is None:
            return self.regions[ORDINARY]
        sent = sum(note[0] == Reason.SENT for note in entry.notes)
        if (
            entry.final_reason != Reason.DONE
            or sent > 1
            or entry.duration > settings.latency_objective
        ):
            return unusual
        return self.regions.get((class_name, False)) or self.regions[ORDINARY]

    def _store(self, region: Region, entry: Entry, now: Ticks) -> None:
        self._last_number += 1
        slot, was_in_use = region.take_slot(entry.tenant)
        if was_in_use:
            self.index.remove(slot)
        region.rate.add(now)
        self.slot_file.write(slot, pack_slot(entry, self._last_number))
        self.index.add(slot, self._last_number, entry)
        for watcher in self.watchers:
            watcher(entry)

    # Queries. They are generators, so that a long search can be done in steps.

    def _read_entry(self, slot: int, number: int) -> Optional[Entry]:
        """Returns the entry with this sequence number, or None if its slot was reused."""
        stored = self.slot_file.read(slot)
        return stored.entry if stored and stored.number == number else None

    def find_by_name(self, name: str) -> Iterator[Entry]:
        """Yields entries by id, or else by key, and open requests in their current state."""
        name = name[:MAX_TEXT_LENGTH]
        for slot, number in self.index.find_by_name(name):
            entry = self._read_entry(slot, number)
            if entry:
                yield entry
        open_requests = [item for item in self._open.items() if name in (item[0], item[1].key)]
        for request_id, request in open_requests:
            entry = self._make_entry(request_id, request, self.clock() - request.received_at)
            entry.notes = list(entry.notes)
            yield entry

    def find(self, entry_filter: EntryFilter) -> Iterator[Optional[Entry]]:
        """Yields the matching entries, newest first, and None for each other entry."""
        newest_first = self.index.newest_first(entry_filter.endpoint)
        since = entry_filter.since
        earliest = None if since is None else self.clock() + self.epoch - since
        for slot, number in newest_first:
            entry = self._read_entry(slot, number)
            yield entry if entry and entry_filter.matches(entry, earliest) else None

    def tally_report(self) -> dict[str, Any]:
        """Returns counts over all requests, whether stored or not."""
        return self.tallies.report()

    def retention_report(self) -> dict[str, Any]:
        """Returns the state of the log, with rate and retention (in seconds) of each region."""
        now = self.clock()
        regions = []
        for region in self.regions.values():
            rate = region.rate.total(now) / (RATE_WINDOW // TICKS_PER_SECOND)
            regions.append(
                {
                    "region": region.display_name(),
                    "slots": region.slots,
                    "used": region.used_slots,
                    "a_second": round(rate, 2),
                    "stays_s": round(region.slots / rate) if rate else None,
                }
            )
        return {
            "regions": regions,
            "megabytes": round(self.slot_file.slots * SLOT_BYTES / 1e6, 1),
            "file": self.slot_file.path,
            "recovered": self.recovered_entries,
            "torn": self.torn_slots,
            "open": len(self._open),
        }

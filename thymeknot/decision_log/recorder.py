"""The record of decisions: notes of open transactions, what is kept of them, and how it is found.

The slots are parted into regions (see regions.py), and in a full region the tenant that holds the
most gives way first. Ordinary transactions of idempotent request classes are sampled evenly, at a
rate that follows the traffic. So in a region of N slots an entry stays for at least N / r seconds
while r entries a second come to its region, and longer if its tenant holds no more than its share.
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
from .regions import ORDINARY, RATE_SPAN, VOTES, Region, lay_out_regions
from .settings import DecisionLogSettings
from .slot_file import SlotFile, StoredEntry
from .tallies import REJECTIONS, Tallies

CLOSING_DELAY: Final[Ticks] = TICKS_PER_SECOND // 20
"""From the end of a transaction to its entry: what an attempt's end proves is noted just after."""
MAX_OPEN: Final = 50_000
"""Transactions whose notes are kept at one time; a bound of memory."""
# Looked up for every note: globals are quicker than attributes of the enum.
SENT: Final = Reason.SENT
DONE: Final = Reason.DONE


class RandomSource(Protocol):
    """What decides which ordinary transactions are kept."""

    def draw(self) -> float:
        """Returns a number from 0 to below 1."""


class OpenTransaction:
    """A transaction that is not recorded yet.

    Attributes:
        end: The reason that names its final answer, or 0.
        sent: Attempts that were made.
        over_at: When nothing of it was left in flight; None before.
        cut: Notes that were left out.
    """

    __slots__ = (
        "at",
        "cut",
        "end",
        "key",
        "notes",
        "over_at",
        "repeat",
        "request_class",
        "sent",
        "tenant",
    )

    def __init__(
        self, at: Ticks, key: Optional[str], tenant: Optional[str], request_class: str, repeat: bool
    ) -> None:
        self.at = at
        self.key = key
        self.tenant = tenant
        self.request_class = request_class
        self.repeat = repeat
        # Tuples in place of lists: tuples of numbers are not tracked by the garbage collector.
        self.notes: list[Any] = []
        self.end = 0
        self.sent = 0
        self.over_at: Optional[Ticks] = None
        self.cut = 0


class Recorder:
    """Notes the reasons of open transactions and keeps entries in a slot file.

    Attributes:
        settings: The operator's.
        request_classes: By name.
        slot_file: Where entries are kept.
        epoch: Unix time less the clock's.
        clock: Gives the time.
        regions: By their keys.
        index: The slots in use.
        tallies: Sums over all transactions.
        watchers: Called with every entry as it is kept.
        recovered_entries: How many entries an earlier run has left.
        torn_slots: How many slots an earlier run has left incomplete.
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
            key: Region(key, extent.first, extent.slots)
            for key, extent in lay_out_regions(settings, request_classes, slot_file.slots).items()
        }
        self.index = EntryIndex()
        self.tallies = Tallies()
        self.watchers: list[Callable[[Entry], object]] = []
        self.recovered_entries = 0
        self.torn_slots = 0
        self._open: dict[str, OpenTransaction] = {}
        self._closing: deque[tuple[str, Ticks, OpenTransaction]] = deque()
        """Those that are over, with id and end; plain tuples, as there is one for each request."""
        self._number = 0
        self._reason_counts = self.tallies.reasons  # bound once: asked for with every note
        self._sampled_at = clock()
        self._sample_share = 1.0
        self._ordinary_count = 0  # since the share was worked out
        if slot_file.path:
            self._recover()

    def _recover(self) -> None:
        """Takes up what an earlier run has left; what is torn counts as empty.

        An entry keeps its slot if its region is still that of its request class.
        """
        contents = self.slot_file.read_all()
        stored = {one.slot: one for one in contents.entries}
        for region in self.regions.values():
            self._recover_region(region, stored)
        if contents.torn:  # cleared, so that a torn slot is reported once
            for slot in range(self.slot_file.slots):
                if slot not in stored:
                    self.slot_file.clear(slot)
        self.recovered_entries = len(self.index.slots)
        self.torn_slots = contents.torn

    def _recover_region(self, region: Region, stored: Mapping[int, StoredEntry]) -> None:
        own = {
            slot: one
            for slot, one in stored.items()
            if region.first <= slot < region.first + region.slots
            and self._region_of(one.entry) is region
        }
        if not own:
            return
        region.used = max(own) - region.first + 1  # slots are first used in their order
        used = range(region.first, region.first + region.used)
        for slot in sorted(used, key=lambda slot: own[slot].number if slot in own else 0):
            one = own.get(slot)
            region.eviction.add(one.entry.tenant if one else None, slot)
            if one:
                self.index.add(slot, one.number, one.entry)
                self._number = max(self._number, one.number)

    # What the decisions and the proxy tell.

    def request_received(
        self,
        name: str,
        key: Optional[str],
        tenant: Optional[str],
        request_class: str,
        repeat: bool,
    ) -> None:
        """Opens a transaction. An id that comes again closes the former one."""
        now = self.clock()
        if name in self._open:
            self._close(name)
        if self._closing and now - self._closing[0][1] >= CLOSING_DELAY:
            self.flush(now)
        if len(self._open) < MAX_OPEN:
            self._open[name] = OpenTransaction(now, key, tenant, request_class, repeat)

    def record_reason(self, name: Optional[str], reason: Reason, *operands: Any) -> None:
        """Notes a reason as it is decided; without a name it may be that of a vote."""
        if name is None:
            if reason == Reason.VOTED:
                self._keep_vote(*operands)
            return
        transaction = self._open.get(name)
        if transaction is None:
            return
        self._reason_counts[reason] += 1
        if reason == SENT:
            transaction.sent += 1
        elif reason in REJECTIONS:
            transaction.end = reason
        notes = transaction.notes
        if len(notes) >= MAX_NOTES:
            transaction.cut += 1
            del notes[MAX_NOTES // 2]
        notes.append((reason, self.clock() - transaction.at, *operands))

    def request_answered(self, name: str, reason: Reason) -> None:
        """Notes the final answer as the proxy gave it, unless the decisions have named one."""
        transaction = self._open.get(name)
        if transaction is not None and not transaction.end:
            transaction.end = reason
            self._reason_counts[reason] += 1
            transaction.notes.append((reason, self.clock() - transaction.at))

    def request_finished(self, name: str) -> None:
        """Nothing of the transaction is in flight any more."""
        now = self.clock()
        transaction = self._open.get(name)
        if transaction is not None and transaction.over_at is None:
            transaction.over_at = now
            self._closing.append((name, now, transaction))

    def flush(self, now: Ticks, wait: Ticks = CLOSING_DELAY) -> None:
        """Records the transactions that have been over for a while."""
        if now - self._sampled_at >= TICKS_PER_SECOND:
            self._adjust_sample(now)
        while self._closing and now - self._closing[0][1] >= wait:
            name, _, transaction = self._closing.popleft()
            if self._open.get(name) is transaction:
                self._close(name)

    def _adjust_sample(self, now: Ticks) -> None:
        """Keeps one in so many that the region's slots last for the span that is set."""
        rate = self._ordinary_count * TICKS_PER_SECOND / (now - self._sampled_at)
        self._sampled_at = now
        self._ordinary_count = 0
        expected = rate * self.settings.span / TICKS_PER_SECOND
        self._sample_share = min(1.0, self.regions[ORDINARY].slots / max(1e-9, expected))

    def _keep_vote(self, build: int, stage: int, verdict: int, doubt: float, seen: int) -> None:
        now = self.clock()
        voted = int(Reason.VOTED)
        entry = Entry(
            at=now + self.epoch,
            id=f"vote-{build}-{stage}",
            key=None,
            tenant=None,
            request_class=VOTES,
            repeat=False,
            end=voted,
            took=0,
            notes=[[voted, 0, build, stage, int(verdict), float(doubt), seen]],
        )
        self._keep(self.regions[VOTES], entry, now)

    def _close(self, name: str) -> None:
        transaction = self._open.pop(name)
        now = self.clock()
        over_at = transaction.over_at
        took = (over_at if over_at is not None else now) - transaction.at
        request_class = transaction.request_class
        settings = self.request_classes.get(request_class)
        self.tallies.add_end(request_class, transaction.end, took, settings is not None)
        if transaction.end in REJECTIONS:
            self.tallies.add_rejection(transaction.tenant, transaction.key)
        if (
            transaction.end == DONE
            and transaction.sent <= 1
            and settings is not None
            and took <= settings.latency_objective
            and (request_class, False) not in self.regions
        ):
            self._ordinary_count += 1
            if self.random_source.draw() >= self._sample_share:
                return
        entry = self._entry(name[:MAX_TEXT_LENGTH], transaction, took)
        entry.key = entry.key and entry.key[:MAX_TEXT_LENGTH]
        entry.tenant = entry.tenant and entry.tenant[:MAX_TEXT_LENGTH]
        self._keep(self._region_of(entry), entry, now)

    def _entry(self, name: str, transaction: OpenTransaction, took: Ticks) -> Entry:
        return Entry(
            transaction.at + self.epoch,
            name,
            transaction.key,
            transaction.tenant,
            transaction.request_class,
            transaction.repeat,
            transaction.end,
            took,
            transaction.notes,
            transaction.cut,
        )

    def _region_of(self, entry: Entry) -> Region:
        if entry.end == Reason.VOTED:
            return self.regions[VOTES]
        name = entry.request_class
        settings = self.request_classes.get(name)
        unusual = self.regions.get((name, True))
        if settings is None or unusual is None:
            return self.regions[ORDINARY]
        sent = sum(note[0] == Reason.SENT for note in entry.notes)
        if entry.end != Reason.DONE or sent > 1 or entry.took > settings.latency_objective:
            return unusual
        return self.regions.get((name, False)) or self.regions[ORDINARY]

    def _keep(self, region: Region, entry: Entry, now: Ticks) -> None:
        self._number += 1
        slot, in_use = region.place(entry.tenant)
        if in_use:
            self.index.remove(slot)
        region.rate.add(now)
        self.slot_file.write(slot, pack_slot(entry, self._number))
        self.index.add(slot, self._number, entry)
        for watcher in self.watchers:
            watcher(entry)

    # Queries. Entries come from generators, so that a long search is done in parts.

    def _read(self, slot: int, number: int) -> Optional[Entry]:
        """Returns the entry, if the slot still holds it."""
        stored = self.slot_file.read(slot)
        return stored.entry if stored and stored.number == number else None

    def find_by_name(self, name: str) -> Iterator[Entry]:
        """Yields all that is kept under an id, or else a key; open transactions as they stand."""
        name = name[:MAX_TEXT_LENGTH]
        for slot, number in self.index.named(name):
            entry = self._read(slot, number)
            if entry:
                yield entry
        open_ones = [item for item in self._open.items() if name in (item[0], item[1].key)]
        for identity, transaction in open_ones:
            entry = self._entry(identity, transaction, self.clock() - transaction.at)
            entry.notes = list(entry.notes)
            yield entry

    def find(self, wanted: EntryFilter) -> Iterator[Optional[Entry]]:
        """Yields the matching entries, the latest first, and None for every other one."""
        latest_first = self.index.latest_first(wanted.pod)
        since = wanted.since
        begin = None if since is None else self.clock() + self.epoch - since
        for slot, number in latest_first:
            entry = self._read(slot, number)
            yield entry if entry and wanted.matches(entry, begin) else None

    def tally_report(self) -> dict[str, Any]:
        """Returns sums over all transactions, recorded or not."""
        return self.tallies.shown()

    def retention_report(self) -> dict[str, Any]:
        """Returns what is kept, with rate of entries and retention in seconds of each region."""
        now = self.clock()
        regions = []
        for region in self.regions.values():
            rate = region.rate.total(now) / (RATE_SPAN // TICKS_PER_SECOND)
            regions.append(
                {
                    "region": region.title(),
                    "slots": region.slots,
                    "used": region.used,
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

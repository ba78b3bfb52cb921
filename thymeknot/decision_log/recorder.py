"""The record of decisions: notes of open transactions, what is kept when they are over, and how it is found. Pure.

What is kept: the arena's slots are parted into regions by lane and by whether a transaction was unusual (its end,
further deliveries, lateness), in parts that follow what the lanes earn. A lane's flood can take no other's slots; in a
region who holds most gives way first, so that a tenant's flood takes its own. Of what goes as usual in lanes without an
effect an even sample remains, thinned to the traffic. So in a region of N slots an entry stays for N / r seconds at
least while entries come at r a second in its region, and one of a tenant with no more than its share for longer.
"""

from collections import deque

from ddsketch import DDSketch

from ..interface.clock import TICKS_PER_SECOND
from ..interface.enums import Idempotency
from ..interface.reasons import Reason as R
from ..state.sliding_window import SlidingWindow
from .entry_codec import MAX_NOTES, MAX_TEXT_LENGTH, SLOT_BYTES, Entry, packed, pods
from .fair_eviction import FairEviction
from .heavy_hitters import HeavyHitters

CLOSES_AFTER = TICKS_PER_SECOND // 20  # what a delivery's end proves is noted just after the answer
VOTES, LEAST = 0.05, 8  # part of the slots; slots of a region at least
UNUSUAL = 0.6  # of a costly lane's part
HITTERS, LANES_MOST = 64, 64
OPEN_MOST = 50_000
TIMED = 8  # one end in so many goes into the times' sketch
SENT, DONE, ENDS_AWAY = R.SENT, R.DONE, (R.DEFERRED, R.ABANDONED)  # looked up at every note


class Region:
    def __init__(self, name, first, slots):
        self.name, self.first, self.slots, self.used, self.shares = (
            name,
            first,
            slots,
            0,
            FairEviction(),
        )
        self.rate = SlidingWindow(60 * TICKS_PER_SECOND, 12)

    def place(self, holder):
        """A slot for one more of this holder, and whether it was in use."""
        used = self.used == self.slots
        slot = self.shares.give() if used else self.first + self.used
        self.used += not used
        self.shares.add(holder, slot)
        return slot, used


class Open:
    __slots__ = ("at", "key", "tenant", "lane", "repeat", "notes", "end", "sent", "over_at", "cut")

    def __init__(self, at, key, tenant, lane, repeat):
        self.at, self.key, self.tenant, self.lane, self.repeat = at, key, tenant, lane, repeat
        self.notes, self.end, self.sent, self.over_at, self.cut = [], 0, 0, None, 0


def laid_out(terms, lanes, slots):
    """{(lane, whether unusual): (first slot, slots)} with "votes" and "ordinary" beside them. lanes: interface.Lane by
    name; those beyond LANES_MOST share the last one's regions."""
    known = list(lanes.values())[:LANES_MOST]
    costly = [lane for lane in known if lane.idempotency != Idempotency.IDEMPOTENT]
    cheap = [lane for lane in known if lane.idempotency == Idempotency.IDEMPOTENT]
    parts = {"votes": VOTES, "ordinary": terms.ordinary if cheap else 0.0}
    rest = 1.0 - sum(parts.values())
    worth = sum(lane.priority_weight for lane in costly)
    own = 0.0 if not costly else rest if not cheap else min(rest, terms.costly)
    for lane in costly:
        part = own * (lane.priority_weight / worth if worth else 1 / len(costly))
        parts[lane.name, True], parts[lane.name, False] = part * UNUSUAL, part * (1 - UNUSUAL)
    worth = sum(lane.priority_weight for lane in cheap)
    for lane in cheap:
        parts[lane.name, True] = (rest - own) * (
            lane.priority_weight / worth if worth else 1 / len(cheap)
        )
    free, first, found = slots - LEAST * len(parts), 0, {}
    for name, part in parts.items():
        count = LEAST + int(free * part)
        found[name] = first, count
        first += count
    return found


class Recorder:
    """arena: see arena.py. lanes: interface.Lane by name. epoch: Unix time less the clock."""

    def __init__(self, terms, lanes, arena, epoch, clock, chance):
        self.terms, self.lanes, self.arena, self.epoch, self.clock, self.chance = (
            terms,
            lanes,
            arena,
            epoch,
            clock,
            chance,
        )
        self.regions = {
            name: Region(name, *where)
            for name, where in laid_out(terms, lanes, arena.slots).items()
        }
        self.open, self.closing, self.number, self.lost = {}, deque(), 0, 0
        self.meta, self.by_id, self.by_key, self.by_pod = {}, {}, {}, {}
        self.reasons, self.ends = [0] * (max(R) + 1), {}
        self.share_at, self.share = clock(), 1.0  # of what goes as usual, kept
        self.times, self.keys, self.tenants = {}, HeavyHitters(HITTERS), HeavyHitters(HITTERS)
        self.usual, self.watchers = 0, []  # usual: since the share was worked out
        self.recovered, self.torn = self._recover() if arena.path else (0, 0)

    def _recover(self):
        """Takes up what an earlier run has left in the arena: each entry keeps its slot, if its region is still that
        of its lane; what is torn counts as empty."""
        found, torn = self.arena.whole()
        whole = {slot: (number, entry) for slot, number, entry in found}
        for region in self.regions.values():
            mine = {
                slot: one
                for slot, one in whole.items()
                if region.first <= slot < region.first + region.slots
                and self._region_of(one[1].request_class, one[1]) is region
            }
            if not mine:
                continue
            region.used = max(mine) - region.first + 1  # slots are first used in their order
            for slot in sorted(
                range(region.first, region.first + region.used),
                key=lambda slot, mine=mine: mine[slot][0] if slot in mine else 0,
            ):
                number, entry = mine.get(slot, (0, None))
                region.shares.add(entry.tenant if entry else None, slot)
                if entry:
                    self._index(slot, number, entry)
                    self.number = max(self.number, number)
        for slot in range(self.arena.slots if torn else 0):  # what was torn is told once
            if slot not in whole:
                self.arena.clear(slot)
        return len(self.meta), torn

    # From the decisions and the sidecar.

    def taken(self, name, key, tenant, lane, repeat):
        """A transaction begins."""
        now = self.clock()
        if name in self.open:  # an id that comes again
            self._close(name)
        if self.closing and now - self.closing[0][1] >= CLOSES_AFTER:
            self.flush(now)
        if len(self.open) < OPEN_MOST:
            self.open[name] = Open(now, key, tenant, lane, repeat)

    def say(self, name, reason, *operands):
        """Listens to the decisions."""
        if name is None:
            if reason == R.VOTED:
                self._vote(operands)
            return
        held = self.open.get(name)
        if held is None:
            return
        self.reasons[reason] += 1
        if reason == SENT:
            held.sent += 1
        elif reason in ENDS_AWAY:
            held.end = reason
        if len(held.notes) >= MAX_NOTES:
            held.cut += 1
            del held.notes[MAX_NOTES // 2]
        held.notes.append(
            (reason, self.clock() - held.at, *operands)
        )  # tuples of numbers cost the collector nothing

    def ended(self, name, reason):
        """The final answer as the sidecar gave it."""
        held = self.open.get(name)
        if held is not None and not held.end:
            held.end = reason
            self.reasons[reason] += 1
            held.notes.append((reason, self.clock() - held.at))

    def over(self, name):
        """Nothing of it is out any more."""
        held, now = self.open.get(name), self.clock()
        if held is not None and held.over_at is None:
            held.over_at = now
            self.closing.append((name, now, held))

    def flush(self, now, wait=CLOSES_AFTER):
        if now - self.share_at >= TICKS_PER_SECOND and "ordinary" in self.regions:
            rate = self.usual * TICKS_PER_SECOND / (now - self.share_at)
            self.share_at, self.usual = now, 0
            self.share = min(
                1.0,
                self.regions["ordinary"].slots
                / max(1e-9, rate * self.terms.span / TICKS_PER_SECOND),
            )
        while self.closing and now - self.closing[0][1] >= wait:
            name, _, held = self.closing.popleft()
            if self.open.get(name) is held:
                self._close(name)

    def _vote(self, operands):
        build, stage, verdict, doubt, seen = operands
        now = self.clock()
        entry = Entry(
            now + self.epoch,
            f"vote-{build}-{stage}",
            None,
            None,
            "votes",
            False,
            int(R.VOTED),
            0,
            [[int(R.VOTED), 0, build, stage, int(verdict), float(doubt), seen]],
        )
        self._keep(self.regions["votes"], entry, now)

    def _close(self, name):
        held, now = self.open.pop(name), self.clock()
        took = (held.over_at if held.over_at is not None else now) - held.at
        self._tally(held, took)
        lane = self.lanes.get(held.lane)
        if (
            held.end == DONE
            and held.sent <= 1
            and lane is not None
            and took <= lane.latency_objective
            and (held.lane, False) not in self.regions
        ):
            # As most of it is: one in so many that the region's slots last for the span that is set.
            self.usual += 1
            if self.chance.draw() >= self.share:
                self.lost += 1
                return
        entry = Entry(
            held.at + self.epoch,
            name[:MAX_TEXT_LENGTH],
            held.key and held.key[:MAX_TEXT_LENGTH],
            held.tenant and held.tenant[:MAX_TEXT_LENGTH],
            held.lane,
            held.repeat,
            held.end,
            took,
            held.notes,
            held.cut,
        )
        self._keep(self._region_of(held.lane, entry), entry, now)

    def _region_of(self, name, entry):
        if entry.end == R.VOTED:
            return self.regions["votes"]
        lane, region = self.lanes.get(name), self.regions.get((name, True))
        if lane is None or region is None:
            return self.regions["ordinary"] if "ordinary" in self.regions else self.regions["votes"]
        sent = sum(note[0] == R.SENT for note in entry.notes)
        if entry.end != R.DONE or sent > 1 or entry.took > lane.latency_objective:
            return region
        return self.regions.get((name, False)) or self.regions["ordinary"]

    def _keep(self, region, entry, now):
        self.number += 1
        slot, used = region.place(entry.tenant)
        if used:
            self._forget(slot)
        region.rate.add(now)
        self.arena.write(slot, packed(entry, self.number))
        self._index(slot, self.number, entry)
        for watcher in self.watchers:
            watcher(entry)

    # Indexes. Each is bounded by the slots.

    def _index(self, slot, number, entry):
        places = [(self.by_id, entry.id)] + ([(self.by_key, entry.key)] if entry.key else [])
        places += [(self.by_pod, pod) for pod in pods(entry)]
        for index, name in places:
            index.setdefault(name, {})[slot] = number
        self.meta[slot] = places, number

    def _forget(self, slot):
        places, _ = self.meta.pop(slot, ((), 0))
        for index, name in places:
            slots = index.get(name)
            if slots:
                slots.pop(slot, None)
                if not slots:
                    del index[name]

    def _tally(self, held, took):
        key = held.lane, held.end
        count = self.ends[key] = self.ends.get(key, 0) + 1
        if count % TIMED == 1 and held.lane in self.lanes:
            sketch = self.times.get(held.lane)
            if sketch is None and len(self.times) < LANES_MOST:
                sketch = self.times[held.lane] = DDSketch(0.02)
            if sketch is not None:
                sketch.add(took / 10)
        if held.end in ENDS_AWAY:
            self.tenants.add((held.tenant or "")[:MAX_TEXT_LENGTH])
            if held.key:
                self.keys.add(held.key[:MAX_TEXT_LENGTH])

    # Asking. Each gives a generator, so that a long search is done in parts.

    def _read(self, slot, number):
        """The entry, if the slot still holds it."""
        read = self.arena.read(slot)
        return read[1] if read and read[0] == number else None

    def by_name(self, name):
        """All that is kept under an id, or else under a key; the latest last. Open ones come as they stand."""
        name = name[:MAX_TEXT_LENGTH]
        for slot, number in sorted(
            (self.by_id.get(name) or self.by_key.get(name) or {}).items(), key=lambda one: one[1]
        ):
            entry = self._read(slot, number)
            if entry:
                yield entry
        for one, held in [
            (one, held) for one, held in self.open.items() if name in (one, held.key)
        ]:
            yield Entry(
                held.at + self.epoch,
                one,
                held.key,
                held.tenant,
                held.lane,
                held.repeat,
                held.end,
                self.clock() - held.at,
                list(held.notes),
                held.cut,
            )

    def find(self, lane=None, tenant=None, pod=None, reason=None, since=None):
        """Entries that fit all that is told, the latest first; None between them while it looks on."""
        slots = (
            self.by_pod.get(pod, {})
            if pod
            else {slot: number for slot, (_, number) in self.meta.items()}
        )
        begin = None if since is None else self.clock() + self.epoch - since
        for slot, number in sorted(slots.items(), key=lambda one: -one[1]):
            entry = self._read(slot, number)
            if entry and fits(entry, lane, tenant, reason, begin):
                yield entry
            else:
                yield None

    def tally(self):
        """Sums over all that ever was, kept or not."""
        return {
            "ends": [
                [lane, R(end).name if end else "OPEN", count]
                for (lane, end), count in sorted(self.ends.items())
            ],
            "reasons": {
                R(reason).name: count for reason, count in enumerate(self.reasons) if count
            },
            "ms": {
                lane: {
                    str(share): round(sketch.get_quantile_value(share), 1)
                    for share in (0.5, 0.9, 0.99)
                }
                for lane, sketch in self.times.items()
            },
            "turned away, tenants": [list(hitter) for hitter in self.tenants.top(10)],
            "turned away, keys": [list(hitter) for hitter in self.keys.top(10)],
        }

    def kept(self):
        """What is kept: for each region its slots, how many are used, entries a second of late, and for how many
        seconds an entry stays at that rate."""
        now, found = self.clock(), []
        for region in self.regions.values():
            rate = region.rate.total(now) / 60
            name = (
                region.name
                if isinstance(region.name, str)
                else (f"{region.name[0]}, {'unusual' if region.name[1] else 'as usual'}")
            )
            found.append(
                {
                    "region": name,
                    "slots": region.slots,
                    "used": region.used,
                    "a_second": round(rate, 2),
                    "stays_s": round(region.slots / rate) if rate else None,
                }
            )
        return {
            "regions": found,
            "megabytes": round(self.arena.slots * SLOT_BYTES / 1e6, 1),
            "file": self.arena.path,
            "recovered": self.recovered,
            "torn": self.torn,
            "open": len(self.open),
        }


def fits(entry, lane, tenant, reason, begin):
    return (
        (lane is None or entry.request_class == lane)
        and (tenant is None or entry.tenant == tenant)
        and (begin is None or entry.at >= begin)
        and (reason is None or any(note[0] == reason for note in entry.notes))
    )

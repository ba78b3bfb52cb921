"""Membership state of the peers: SWIM's failure detection and suspicion, without a network.

One difference from SWIM: a suspicion reported by others only makes an instance probe the peer
itself and never changes the peer's state, so that no number of lying instances can have a peer that
answers declared dead.

Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2018) for the
local health.
"""

from collections.abc import Collection, Iterable
from enum import StrEnum
from math import log
from typing import NamedTuple, cast

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .address_candidates import MAX_BACKOFF_DOUBLINGS, AddressCandidates
from .dissemination_queue import RandomSource
from .rate_limits import Address
from .replay_window import ReplayWindow
from .settings import GossipSettings

EXPECTED_PROBERS_OF_SUSPECT = 16  # instances of the whole group, per period
MIN_MISSED_PROBES = 4  # consecutive own probes that must fail before a peer is declared dead
MAX_EXTRA_PROBES = 64  # suspected peers queued to be probed out of turn
EXTRA_PROBES_PER_PERIOD = 2  # of those; the same number again of peers that this instance suspects
MAX_HEALTH = 8  # Lifeguard's multiplier is 1 + health, at most 1 + MAX_HEALTH
FRAME_WINDOW_SIZE = 128  # sequence numbers of datagrams
ITEM_WINDOW_SIZE = 1024  # sequence numbers of items
MAX_DIGESTS_PER_ORIGIN = 64  # latest items, to detect equivocation
MAX_SUSPECTING_GROUPS = 16  # recorded per suspected peer
MAX_CONFIRMATIONS = 3  # reports by other groups that shorten a suspicion


class MemberState(StrEnum):
    """State of a peer as one instance sees it. The values are logged."""

    UNPROVED = "unproved"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class MemberInput(StrEnum):
    """Input of the state machine of a peer."""

    ANSWERED = "answered"  # the peer answered a nonce of this instance
    PROBE_FAILED = "missed"  # the peer did not answer a probe
    SUSPECTED = "accused"  # another instance reported a suspicion
    FRESH_ITEM = "spoke"  # a recent item of the peer arrived
    SUSPICION_EXPIRED = "overdue"  # the duration of the suspicion is over
    LEFT = "left"
    ADDRESS_TAKEN = "replaced"  # another peer validated the address


class MemberEffect(StrEnum):
    """Side effect of a transition."""

    CLEAR = "clear"
    BACK_OFF = "back off"
    FIRST_MISS = "first miss"
    NEXT_MISS = "next miss"
    PROBE_SOON = "probe soon"
    FORGET_SUSPICIONS = "forget suspecters"


class Transition(NamedTuple):
    """Result of an input in a state.

    Attributes:
        state: Next state.
        effect: Side effect.
    """

    state: MemberState
    effect: MemberEffect


# Pairs that are not listed change nothing.
TRANSITIONS: dict[tuple[MemberState, MemberInput], Transition] = {
    (MemberState.UNPROVED, MemberInput.ANSWERED): Transition(MemberState.ALIVE, MemberEffect.CLEAR),
    (MemberState.UNPROVED, MemberInput.PROBE_FAILED): Transition(
        MemberState.UNPROVED, MemberEffect.BACK_OFF
    ),
    (MemberState.ALIVE, MemberInput.PROBE_FAILED): Transition(
        MemberState.SUSPECT, MemberEffect.FIRST_MISS
    ),
    (MemberState.ALIVE, MemberInput.SUSPECTED): Transition(
        MemberState.ALIVE, MemberEffect.PROBE_SOON
    ),
    (MemberState.ALIVE, MemberInput.LEFT): Transition(
        MemberState.LEFT, MemberEffect.FORGET_SUSPICIONS
    ),
    (MemberState.ALIVE, MemberInput.ADDRESS_TAKEN): Transition(
        MemberState.DEAD, MemberEffect.FORGET_SUSPICIONS
    ),
    (MemberState.SUSPECT, MemberInput.ANSWERED): Transition(MemberState.ALIVE, MemberEffect.CLEAR),
    (MemberState.SUSPECT, MemberInput.FRESH_ITEM): Transition(
        MemberState.ALIVE, MemberEffect.CLEAR
    ),
    (MemberState.SUSPECT, MemberInput.PROBE_FAILED): Transition(
        MemberState.SUSPECT, MemberEffect.NEXT_MISS
    ),
    (MemberState.SUSPECT, MemberInput.SUSPECTED): Transition(
        MemberState.SUSPECT, MemberEffect.PROBE_SOON
    ),
    (MemberState.SUSPECT, MemberInput.SUSPICION_EXPIRED): Transition(
        MemberState.DEAD, MemberEffect.FORGET_SUSPICIONS
    ),
    (MemberState.SUSPECT, MemberInput.LEFT): Transition(
        MemberState.LEFT, MemberEffect.FORGET_SUSPICIONS
    ),
    (MemberState.SUSPECT, MemberInput.ADDRESS_TAKEN): Transition(
        MemberState.DEAD, MemberEffect.FORGET_SUSPICIONS
    ),
    (MemberState.DEAD, MemberInput.ANSWERED): Transition(MemberState.ALIVE, MemberEffect.CLEAR),
    (MemberState.DEAD, MemberInput.PROBE_FAILED): Transition(
        MemberState.DEAD, MemberEffect.BACK_OFF
    ),
    (MemberState.LEFT, MemberInput.ANSWERED): Transition(MemberState.ALIVE, MemberEffect.CLEAR),
    (MemberState.LEFT, MemberInput.PROBE_FAILED): Transition(
        MemberState.LEFT, MemberEffect.BACK_OFF
    ),
}

LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class StateChange(NamedTuple):
    """A peer's change of state, for the log.

    Attributes:
        name: Name of the peer.
        before: Former state.
        after: New state.
    """

    name: str
    before: MemberState
    after: MemberState


class ClockOffset(NamedTuple):
    """Offset between a peer's clock and this instance's clock.

    Attributes:
        ticks: Added to the peer's ticks to get this instance's.
        error: Round-trip time of the measurement, in ticks.
    """

    ticks: Ticks
    error: Ticks


class Member:
    """A peer in the keyring as this instance knows it.

    Its messages are ignored until it has proved its current start by answering a nonce of this
    instance.

    Attributes:
        name: Name in the keyring.
        address: Validated address, or None.
        candidates: Addresses that others have told, as long as none is validated.
        state: Membership state.
        start: Id of the proved start, or None.
        incarnation: Incarnation within the start.
        offset: Offset of its clock.
        state_since: When the current state began.
        missed_probes: Number of consecutive own probes that it did not answer.
        suspecting_groups: Time of the latest suspicion by each group.
        last_probe_at: When it was last probed.
        frame_window: Sequence numbers of its datagrams that were received.
        item_window: Sequence numbers of its items that were received.
        digests: Digests of its latest items by sequence number.
        backoff_doublings: Doublings of the probe interval while it does not answer.
        challenged_at: When it was last asked to prove its start.
    """

    __slots__ = (
        "address",
        "backoff_doublings",
        "candidates",
        "challenged_at",
        "digests",
        "frame_window",
        "incarnation",
        "item_window",
        "last_probe_at",
        "missed_probes",
        "name",
        "offset",
        "start",
        "state",
        "state_since",
        "suspecting_groups",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.address: Address | None = None
        self.candidates = AddressCandidates()
        self.state = MemberState.UNPROVED
        self.state_since: Ticks = 0
        self.backoff_doublings = 0
        self.last_probe_at: Ticks = -TICKS_PER_SECOND
        self.challenged_at: Ticks = 0
        self.adopt_start(None)

    def adopt_start(self, start: int | None) -> None:
        """Adopts a new start of the peer and discards all state of the former one."""
        self.start = start
        self.incarnation = 0
        self.offset: ClockOffset | None = None
        self.missed_probes = 0
        self.suspecting_groups: dict[str, Ticks] = {}
        self.frame_window = ReplayWindow(FRAME_WINDOW_SIZE)
        self.item_window = ReplayWindow(ITEM_WINDOW_SIZE)
        self.digests: dict[int, bytes] = {}

    def is_live(self) -> bool:
        """Returns whether the peer is alive or only suspected."""
        return self.state in LIVE_STATES

    def live_address(self) -> Address:
        """Returns the validated address of a live peer."""
        return cast(Address, self.address)

    def clock_offset(self) -> ClockOffset:
        """Returns the clock offset of a live peer, measured when it proved its start."""
        return cast(ClockOffset, self.offset)

    def remember_digest(self, number: int, digest: bytes) -> None:
        """Stores an item's digest, so that a different item with its number is detected."""
        if len(self.digests) >= MAX_DIGESTS_PER_ORIGIN:
            del self.digests[next(iter(self.digests))]
        self.digests[number] = digest


class AddressToValidate(NamedTuple):
    """An address at which a peer may answer.

    Attributes:
        member: The peer.
        address: The address to probe.
    """

    member: Member
    address: Address


class Members:
    """The peers in the keyring.

    Attributes:
        all: All peers by name.
        live: Peers that are alive or suspected.
        health: Lifeguard's local health score, from 0 (healthy) to `MAX_HEALTH`.
        state_changes: State changes that the caller has not taken yet.
    """

    def __init__(
        self, names: Iterable[str], settings: GossipSettings, random_source: RandomSource
    ) -> None:
        self._settings = settings
        self._random_source = random_source
        self.health = 0
        self.all = {name: Member(name) for name in names}
        self.live: list[Member] = []
        self.state_changes: list[StateChange] = []
        # Names not yet probed in this round, the next one last.
        self._probe_round: list[str] = []
        self._extra_probes: dict[str, Ticks] = {}  # when to probe peers out of turn, by name

    def set_names(self, names: Collection[str]) -> None:
        """Replaces the names of the peers: removes missing ones and adds new ones, unproved."""
        for name in [name for name in self.all if name not in names]:
            del self.all[name]
        for name in names:
            self.all.setdefault(name, Member(name))
        self.update_live()
        self._probe_round = []
        self._extra_probes = {
            name: at for name, at in self._extra_probes.items() if name in self.all
        }

    def update_live(self) -> None:
        """Recomputes `live` after states were changed."""
        self.live = [member for member in self.all.values() if member.is_live()]

    def apply(self, member: Member, event: MemberInput, now: Ticks) -> None:
        """Applies an input to the state machine of a peer."""
        before = member.state
        transition = TRANSITIONS.get((before, event))
        if transition is None:
            return
        member.state = transition.state
        self._run_effect(transition.effect, member, now)
        if before != member.state:
            member.state_since = now
            self.update_live()
            self.state_changes.append(StateChange(member.name, before, member.state))

    def _run_effect(self, effect: MemberEffect, member: Member, now: Ticks) -> None:
        if effect is MemberEffect.CLEAR:
            member.missed_probes = 0
            member.suspecting_groups = {}
            member.backoff_doublings = 0
        elif effect is MemberEffect.FIRST_MISS:
            member.missed_probes = 1
        elif effect is MemberEffect.NEXT_MISS:
            member.missed_probes += 1
        elif effect is MemberEffect.BACK_OFF:
            member.backoff_doublings = min(member.backoff_doublings + 1, MAX_BACKOFF_DOUBLINGS)
        elif effect is MemberEffect.PROBE_SOON:
            self._schedule_extra_probe(member, now)
        else:
            member.suspecting_groups = {}

    def _schedule_extra_probe(self, member: Member, now: Ticks) -> None:
        period = self._settings.probe_every
        if member.name in self._extra_probes or now - member.last_probe_at < period:
            return
        # Probes by hundreds of instances at once would overload the peer, which would then miss
        # some of them and stay suspected.
        periods = int(self._random_source.draw() * len(self.live) / EXPECTED_PROBERS_OF_SUSPECT)
        if len(self._extra_probes) < MAX_EXTRA_PROBES:
            self._extra_probes[member.name] = now + periods * period

    def record_suspicion(self, member: Member, group: str, now: Ticks) -> None:
        """Records that another instance suspects a peer.

        The peer is probed out of turn, and each reporting group shortens this instance's own
        suspicion.
        """
        if len(member.suspecting_groups) < MAX_SUSPECTING_GROUPS:
            member.suspecting_groups[group] = now
        self.apply(member, MemberInput.SUSPECTED, now)

    def suspicion_duration(self, member: Member) -> Ticks:
        """Returns the duration of a suspicion.

        It becomes shorter with each group that reports the same suspicion, down to a third, and is
        longer while this instance's local health is poor.
        """
        settings = self._settings
        scale = max(1.0, log(len(self.live) + 1))
        full_duration = settings.suspect_times * settings.probe_every * scale
        confirmations = min(
            MAX_CONFIRMATIONS, sum(1 for at in member.suspecting_groups.values() if at)
        )
        # Each of up to three confirmations removes 2/9, which leaves a third.
        return int(full_duration * (1 - confirmations * 2 / 9) * (1 + self.health / 2))

    def declare_overdue_dead(self, now: Ticks) -> None:
        """Declares suspects dead whose suspicion has expired and that missed enough own probes."""
        for member in self.live:
            if (
                member.state == MemberState.SUSPECT
                and member.missed_probes >= MIN_MISSED_PROBES
                and now - member.state_since > self.suspicion_duration(member)
            ):
                self.apply(member, MemberInput.SUSPICION_EXPIRED, now)

    def change_health(self, change: int) -> None:
        """Adds `change` to the local health score, which grows while this instance seems slow."""
        self.health = max(0, min(MAX_HEALTH, self.health + change))

    def next_probes(self, now: Ticks) -> list[Member]:
        """Returns the peers to probe in this period.

        These are the next peer of a shuffled round, peers to probe out of turn, and suspects.
        """
        chosen = self._next_in_round()
        suspects = [member for member in self.live if member.state == MemberState.SUSPECT]
        suspects.sort(key=lambda member: member.last_probe_at)
        due_names = [
            name for name, at in self._extra_probes.items() if at <= now or name not in self.all
        ][:EXTRA_PROBES_PER_PERIOD]
        extra_probes = [self.all[name] for name in due_names if name in self.all]
        for name in due_names:
            del self._extra_probes[name]
        for member in extra_probes + suspects[:EXTRA_PROBES_PER_PERIOD]:
            if member not in chosen and member.is_live():
                chosen.append(member)
        for member in chosen:
            member.last_probe_at = now
        return chosen

    def _next_in_round(self) -> list[Member]:
        """Returns the next live peer of the round, if any; begins a new round after the last.

        Each round is in random order (Fisher-Yates), so that no peer waits longer than two rounds.
        """
        if not self._probe_round:
            names = [member.name for member in self.live]
            for index in range(len(names) - 1, 0, -1):
                other_index = int(self._random_source.draw() * (index + 1))
                names[index], names[other_index] = names[other_index], names[index]
            self._probe_round = names
        while self._probe_round:
            member = self.all.get(self._probe_round.pop())
            if member and member.is_live():
                return [member]
        return []

    def addresses_to_validate(self, now: Ticks, limit: int) -> list["AddressToValidate"]:
        """Returns addresses to probe, of peers that are not live and whose backoff is over."""
        period = self._settings.probe_every
        due = [
            (due_at, member.name)
            for member in self.all.values()
            if not member.is_live() and (due_at := self._validation_due_at(member)) is not None
        ]
        due = sorted((due_at, name) for due_at, name in due if due_at <= now)
        chosen = []
        for _, name in due[:limit]:
            member = self.all[name]
            address = member.address or member.candidates.take_next(now, period)
            member.last_probe_at = now
            if address is not None:
                chosen.append(AddressToValidate(member, address))
        return chosen

    def _validation_due_at(self, member: Member) -> Ticks | None:
        """Returns when a peer that is not live may be probed; None without an address."""
        period = self._settings.probe_every
        if member.address is None:
            return member.candidates.next_due_at(period)
        return member.last_probe_at + period * (1 << member.backoff_doublings)

    def sample(self, count: int, exclude: Collection[str] = ()) -> list[Member]:
        """Returns up to `count` random peers in state `ALIVE`."""
        candidates = [
            member
            for member in self.live
            if member.state == MemberState.ALIVE and member.name not in exclude
        ]
        chosen: list[Member] = []
        while candidates and len(chosen) < count:
            index = int(self._random_source.draw() * len(candidates))
            candidates[index], candidates[-1] = candidates[-1], candidates[index]
            chosen.append(candidates.pop())
        return chosen

"""Who lives: SWIM's probes and suspicion, without a network.

One thing differs: what others say of a peer makes an instance look for itself and never moves the
peer, so that no number of liars can bury one who answers.

Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2018): local
health.
"""

from collections.abc import Collection, Iterable
from enum import StrEnum
from math import log
from typing import NamedTuple, cast

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .dissemination_queue import RandomSource
from .rate_limits import Address
from .replay_window import ReplayWindow
from .settings import GossipSettings

PROBERS_OF_SUSPECTED = 16  # of all instances, in a period, that probe one that was suspected
MIN_MISSED_PROBES = 4  # own probes that must fail before one is dead, however long that takes
MAX_EXTRA_PROBES = 64  # suspected peers at once that are probed out of turn
EXTRA_PROBES_AT_ONCE = 2  # of them in one period; as many of those this instance suspects
MAX_HEALTH = 8  # Lifeguard's multiplier goes up to this plus one
FRAME_WINDOW = 128  # numbers of datagrams
ITEM_WINDOW = 1024  # numbers of items
MAX_DIGESTS = 64  # items remembered by their bytes, of one origin
MAX_SUSPECTERS = 16  # groups that suspect one peer
MAX_AGREEING = 3  # suspecters that shorten a suspicion
MAX_BACKOFF_DOUBLINGS = 6  # of the time between probes of one that does not answer


class MemberState(StrEnum):
    """What an instance holds a peer for. The values are logged."""

    UNPROVED = "unproved"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class MemberInput(StrEnum):
    """What can happen to a peer."""

    ANSWERED = "answered"  # a nonce of ours
    MISSED = "missed"  # a probe was not answered
    SUSPECTED = "accused"  # by another
    SPOKE = "spoke"  # a fresh item of its own
    OVERDUE = "overdue"  # its suspicion is over
    LEFT = "left"
    REPLACED = "replaced"  # another name has its address


class MemberEffect(StrEnum):
    """What a transition does."""

    CLEAR = "clear"
    BACK_OFF = "back off"
    FIRST_MISS = "first miss"
    NEXT_MISS = "next miss"
    PROBE_SOON = "probe soon"
    FORGET_SUSPECTERS = "forget suspecters"


class Transition(NamedTuple):
    """What an input does in a state.

    Attributes:
        state: The next state.
        effect: What is done on the way.
    """

    state: MemberState
    effect: MemberEffect


# A pair that is not here changes nothing.
TRANSITIONS: dict[tuple[MemberState, MemberInput], Transition] = {
    (MemberState.UNPROVED, MemberInput.ANSWERED): Transition(MemberState.ALIVE, MemberEffect.CLEAR),
    (MemberState.UNPROVED, MemberInput.MISSED): Transition(
        MemberState.UNPROVED, MemberEffect.BACK_OFF
    ),
    (MemberState.ALIVE, MemberInput.MISSED): Transition(
        MemberState.SUSPECT, MemberEffect.FIRST_MISS
    ),
    (MemberState.ALIVE, MemberInput.SUSPECTED): Transition(
        MemberState.ALIVE, MemberEffect.PROBE_SOON
    ),
    (MemberState.ALIVE, MemberInput.LEFT): Transition(
        MemberState.LEFT, MemberEffect.FORGET_SUSPECTERS
    ),
    (MemberState.ALIVE, MemberInput.REPLACED): Transition(
        MemberState.DEAD, MemberEffect.FORGET_SUSPECTERS
    ),
    (MemberState.SUSPECT, MemberInput.ANSWERED): Transition(MemberState.ALIVE, MemberEffect.CLEAR),
    (MemberState.SUSPECT, MemberInput.SPOKE): Transition(MemberState.ALIVE, MemberEffect.CLEAR),
    (MemberState.SUSPECT, MemberInput.MISSED): Transition(
        MemberState.SUSPECT, MemberEffect.NEXT_MISS
    ),
    (MemberState.SUSPECT, MemberInput.SUSPECTED): Transition(
        MemberState.SUSPECT, MemberEffect.PROBE_SOON
    ),
    (MemberState.SUSPECT, MemberInput.OVERDUE): Transition(
        MemberState.DEAD, MemberEffect.FORGET_SUSPECTERS
    ),
    (MemberState.SUSPECT, MemberInput.LEFT): Transition(
        MemberState.LEFT, MemberEffect.FORGET_SUSPECTERS
    ),
    (MemberState.SUSPECT, MemberInput.REPLACED): Transition(
        MemberState.DEAD, MemberEffect.FORGET_SUSPECTERS
    ),
    (MemberState.DEAD, MemberInput.ANSWERED): Transition(MemberState.ALIVE, MemberEffect.CLEAR),
    (MemberState.DEAD, MemberInput.MISSED): Transition(MemberState.DEAD, MemberEffect.BACK_OFF),
    (MemberState.LEFT, MemberInput.ANSWERED): Transition(MemberState.ALIVE, MemberEffect.CLEAR),
    (MemberState.LEFT, MemberInput.MISSED): Transition(MemberState.LEFT, MemberEffect.BACK_OFF),
}

LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class StateChange(NamedTuple):
    """A peer's change of state, for the log.

    Attributes:
        name: Its name.
        before: The state before.
        after: The state now.
    """

    name: str
    before: MemberState
    after: MemberState


class ClockOffset(NamedTuple):
    """A peer's clock against this instance's.

    Attributes:
        ticks: What is to be added to the peer's ticks.
        error: The round trip by which it was measured, in ticks.
    """

    ticks: Ticks
    error: Ticks


class Member:
    """A peer of the ring as this instance knows it.

    Nothing of it counts before it has proved its present start by answering a nonce of ours.

    Attributes:
        name: Its name.
        address: Where it proved to be, or where others say it is.
        state: Its state.
        start: The start that it proved, None for none.
        incarnation: Its incarnation within the start.
        offset: Its clock against ours.
        since: When its state began.
        misses: Own probes that it did not answer in a row.
        suspecters: When each group said that it suspects the peer.
        looked: When it was probed last.
        frames: Numbers of its datagrams.
        items: Numbers of its items.
        digests: Digests of its latest items by number.
        rested: Doublings of the time between probes while it does not answer.
        told_at: When it was asked last to prove itself.
    """

    __slots__ = (
        "address",
        "digests",
        "frames",
        "incarnation",
        "items",
        "looked",
        "misses",
        "name",
        "offset",
        "rested",
        "since",
        "start",
        "state",
        "suspecters",
        "told_at",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.address: Address | None = None
        self.state = MemberState.UNPROVED
        self.since: Ticks = 0
        self.rested = 0
        self.looked: Ticks = -TICKS_PER_SECOND
        self.told_at: Ticks = 0
        self.adopt_start(None)

    def adopt_start(self, start: int | None) -> None:
        """Takes up another start of the name: nothing said under the former one counts."""
        self.start = start
        self.incarnation = 0
        self.offset: ClockOffset | None = None
        self.misses = 0
        self.suspecters: dict[str, Ticks] = {}
        self.frames = ReplayWindow(FRAME_WINDOW)
        self.items = ReplayWindow(ITEM_WINDOW)
        self.digests: dict[int, bytes] = {}

    def is_live(self) -> bool:
        """Returns whether it counts as living."""
        return self.state in LIVE_STATES

    def live_address(self) -> Address:
        """Returns the address of a living peer, which it proved."""
        return cast(Address, self.address)

    def clock_offset(self) -> ClockOffset:
        """Returns the clock's offset of a living peer, which was measured as it proved itself."""
        return cast(ClockOffset, self.offset)

    def remember(self, number: int, digest: bytes) -> None:
        """Keeps an item's digest for a while: another content under its number is a lie."""
        if len(self.digests) >= MAX_DIGESTS:
            del self.digests[next(iter(self.digests))]
        self.digests[number] = digest


class Members:
    """The peers of the ring.

    Attributes:
        all: They by name.
        live: Those that count as living.
        health: Lifeguard's local health: 0 is well.
        events: Changes of state that the caller has not taken yet.
    """

    def __init__(
        self, names: Iterable[str], settings: GossipSettings, random_source: RandomSource
    ) -> None:
        self._settings = settings
        self._random_source = random_source
        self.health = 0
        self.all = {name: Member(name) for name in names}
        self.live: list[Member] = []
        self.events: list[StateChange] = []
        self._round: list[str] = []  # names still to be probed in this round, the next one last
        self._extra_probes: dict[str, Ticks] = {}  # when names are probed out of turn

    def rekey(self, names: Collection[str]) -> None:
        """Takes up another ring: names that left it are gone, new ones wait to be met."""
        for name in [name for name in self.all if name not in names]:
            del self.all[name]
        for name in names:
            self.all.setdefault(name, Member(name))
        self.update_live()
        self._round = []
        self._extra_probes = {
            name: at for name, at in self._extra_probes.items() if name in self.all
        }

    def update_live(self) -> None:
        """Lists anew who lives, after states were changed."""
        self.live = [member for member in self.all.values() if member.is_live()]

    def step(self, member: Member, what: MemberInput, now: Ticks) -> None:
        """Applies an input to a peer."""
        before = member.state
        transition = TRANSITIONS.get((before, what))
        if transition is None:
            return
        member.state = transition.state
        self._apply(transition.effect, member, now)
        if before != member.state:
            member.since = now
            self.update_live()
            self.events.append(StateChange(member.name, before, member.state))

    def _apply(self, effect: MemberEffect, member: Member, now: Ticks) -> None:
        if effect is MemberEffect.CLEAR:
            member.misses = 0
            member.suspecters = {}
            member.rested = 0
        elif effect is MemberEffect.FIRST_MISS:
            member.misses = 1
        elif effect is MemberEffect.NEXT_MISS:
            member.misses += 1
        elif effect is MemberEffect.BACK_OFF:
            member.rested = min(member.rested + 1, MAX_BACKOFF_DOUBLINGS)
        elif effect is MemberEffect.PROBE_SOON:
            self._probe_soon(member, now)
        else:
            member.suspecters = {}

    def _probe_soon(self, member: Member, now: Ticks) -> None:
        period = self._settings.probe_every
        if member.name in self._extra_probes or now - member.looked < period:
            return
        # Hundreds that probed at once would be more than it can answer, and it would be suspected.
        periods = int(self._random_source.draw() * len(self.live) / PROBERS_OF_SUSPECTED)
        if len(self._extra_probes) < MAX_EXTRA_PROBES:
            self._extra_probes[member.name] = now + periods * period

    def suspected(self, member: Member, group: str, now: Ticks) -> None:
        """Notes that somebody got no answer from a peer.

        The next probe is for it, and agreement of others shortens this instance's own suspicion.
        """
        if len(member.suspecters) < MAX_SUSPECTERS:
            member.suspecters[group] = now
        self.step(member, MemberInput.SUSPECTED, now)

    def suspicion_duration(self, member: Member) -> Ticks:
        """Returns how long a suspicion lasts.

        It is long at first, shorter with each that agrees, never shorter than a third, and longer
        for an instance that finds itself unwell.
        """
        settings = self._settings
        scale = max(1.0, log(len(self.live) + 1))
        full = settings.suspect_times * settings.probe_every * scale
        agreed = min(MAX_AGREEING, sum(1 for at in member.suspecters.values() if at))
        # Each of three that agree takes 2/9 of it, so that a third is left.
        return int(full * (1 - agreed * 2 / 9) * (1 + self.health / 2))

    def bury_overdue(self, now: Ticks) -> None:
        """Declares suspects dead whose time is over, after own probes that failed."""
        for member in self.live:
            if (
                member.state == MemberState.SUSPECT
                and member.misses >= MIN_MISSED_PROBES
                and now - member.since > self.suspicion_duration(member)
            ):
                self.step(member, MemberInput.OVERDUE, now)

    def change_health(self, change: int) -> None:
        """Changes the local health: up if this instance seems slow, down with answered probes."""
        self.health = max(0, min(MAX_HEALTH, self.health + change))

    def next_probes(self, now: Ticks) -> list[Member]:
        """Returns whom to probe in this period.

        One by a shuffled round, then those to be probed out of turn, then suspects.
        """
        chosen = self._next_of_round()
        suspects = [member for member in self.live if member.state == MemberState.SUSPECT]
        suspects.sort(key=lambda member: member.looked)
        due = [
            name for name, at in self._extra_probes.items() if at <= now or name not in self.all
        ][:EXTRA_PROBES_AT_ONCE]
        extra = [self.all[name] for name in due if name in self.all]
        for name in due:
            del self._extra_probes[name]
        for member in extra + suspects[:EXTRA_PROBES_AT_ONCE]:
            if member not in chosen and member.is_live():
                chosen.append(member)
        for member in chosen:
            member.looked = now
        return chosen

    def _next_of_round(self) -> list[Member]:
        """Returns the next one that lives of the round, if any; begins a round if one is over.

        Each round has a random order (Fisher-Yates), so that none waits longer than two rounds.
        """
        if not self._round:
            names = [member.name for member in self.live]
            for at in range(len(names) - 1, 0, -1):
                other = int(self._random_source.draw() * (at + 1))
                names[at], names[other] = names[other], names[at]
            self._round = names
        while self._round:
            member = self.all.get(self._round.pop())
            if member and member.is_live():
                return [member]
        return []

    def to_prove(self, now: Ticks, limit: int) -> list[Member]:
        """Returns peers with an address that proved nothing, are dead or left, by their backoff."""
        period = self._settings.probe_every
        found = [
            member
            for member in self.all.values()
            if member.address
            and not member.is_live()
            and now - member.looked >= period * (1 << member.rested)
        ]
        found.sort(key=lambda member: member.looked)
        for member in found[:limit]:
            member.looked = now
        return found[:limit]

    def sample(self, count: int, exclude: Collection[str] = ()) -> list[Member]:
        """Returns so many living ones at random."""
        pool = [
            member
            for member in self.live
            if member.state == MemberState.ALIVE and member.name not in exclude
        ]
        chosen: list[Member] = []
        while pool and len(chosen) < count:
            at = int(self._random_source.draw() * len(pool))
            pool[at], pool[-1] = pool[-1], pool[at]
            chosen.append(pool.pop())
        return chosen

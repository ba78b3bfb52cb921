"""What others saw of endpoints, and what of it is believed.

Evidence counts attempts and their failures of late; it is worth what its origin's earlier evidence
proved worth. An endpoint is suspected only if enough independent witnesses agree after the words
most against it were left out, so that the stated number of liars can't move it; never against own
fresh experience; and only a stated share of a build's endpoints at once. Each suspicion ends.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from math import comb
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .codec import Evidence
from .credibility import INITIAL_CREDIT, MIN_CREDIT, Credibility
from .own_experience import (
    MIN_FAILURE_RATE,
    SEND_INTERVAL,
    AllEndpoints,
    Counts,
    EndpointKey,
    Observed,
)
from .settings import SuspicionSettings

MAX_ATTEMPTS_OF_WITNESS = 20  # that one word counts for: the loudest is one among several
MIN_OWN_ATTEMPTS = 4  # own fresh attempts that outweigh any evidence of others
MIN_ATTEMPTS_TO_REFUTE = 2  # own attempts that are worth a good word
RATIO_TO_OTHERS = 3.0  # times the failure rate of the other endpoints, to be bad
MAX_CHANCE = 1e-3  # how likely what is left may be at an endpoint as well as the others
MIN_ATTEMPTS_TO_JUDGE = 6  # own fresh attempts that prove another's word right or wrong
MAX_SWINGS = 3  # a word that swung so often is worth nothing for a while
SWING = 0.4  # change of the failure rate that is a swing
MAX_WORDS = 2048  # of all origins
MAX_WORDS_OF_ORIGIN = 16
MAX_SENT_AT_ONCE = 6  # words in one round
VOICES_BY_NEEDED = 2  # times the witnesses and liars: more voices on one side are not needed
MAX_LONGER = 4  # times the first suspicion's duration, when it comes again
MAX_TIMES = 8  # suspicions that are counted
RETRY_INTERVAL = TICKS_PER_SECOND  # between two suspicions, when the endpoint is tried


class Suspicion(NamedTuple):
    """An endpoint that is used last.

    Attributes:
        endpoint: The endpoint.
        until: Until when; a moment that is over takes the suspicion back.
    """

    endpoint: EndpointKey
    until: Ticks


class Word:
    """An origin's latest evidence about an endpoint.

    Attributes:
        tried: Attempts that ended.
        failed: Those of them that failed.
        seen: When it was made, by this instance's clock.
        swings: How often the failure rate swung.
        judged: Whether own experience proved it right or wrong.
    """

    __slots__ = ("failed", "judged", "seen", "swings", "tried")

    def __init__(self) -> None:
        self.tried = 0
        self.failed = 0
        self.seen: Ticks = 0
        self.swings = 0
        self.judged = False

    def update(self, evidence: Evidence, seen: Ticks) -> bool:
        """Takes newer evidence, and returns whether it is newer."""
        if seen <= self.seen and self.tried:
            return False
        if self.tried:
            change = self.failed / self.tried - evidence.failed / evidence.tried
            if abs(change) > SWING:
                self.swings += 1
        self.tried = evidence.tried
        self.failed = evidence.failed
        self.seen = seen
        self.judged = False
        return True


class _Weighted(NamedTuple):
    """Attempts that a group's word counts for.

    Attributes:
        tried: Attempts.
        failed: Failed ones.
    """

    tried: float
    failed: float


def binomial_tail(tried: int, failed: int, rate: float) -> float:
    """Returns how likely so many failures or more are at this rate."""
    return sum(
        comb(tried, count) * rate**count * (1 - rate) ** (tried - count)
        for count in range(failed, tried + 1)
    )


class SuspicionDetector:
    """Evidence about endpoints, own and others', and the suspicions that follow.

    Attributes:
        evidence: Others' latest evidence, by endpoint and origin.
        credibility: What origins' words are worth.
    """

    def __init__(self, settings: SuspicionSettings, group_of: Callable[[str], str]) -> None:
        """Makes a detector without endpoints.

        Args:
            settings: What is believed.
            group_of: The group of an origin; those of one group count as one witness.
        """
        self._settings = settings
        self._group_of = group_of
        self.evidence: dict[EndpointKey, dict[str, Word]] = {}
        self.credibility = Credibility()
        self._word_count = 0
        self._observed: dict[str, Observed] = {}  # the ready endpoints, by id
        self._all = AllEndpoints(settings.lapse)
        # Work follows trouble and not the length of the list.
        self._failing: dict[str, Observed] = {}  # that failed of late
        self._suspected: dict[str, Observed] = {}
        self._ready_by_build: dict[int, int] = {}

    def set_endpoints(self, endpoints: Iterable[EndpointKey]) -> None:
        """Takes up the ready endpoints; what is no longer the same endpoint is forgotten."""
        former = self._observed
        self._observed = {}
        self._ready_by_build = {}
        for key in endpoints:
            known = former.get(key.id)
            same = known is not None and known.key == key
            self._observed[key.id] = (
                known if known is not None and same else Observed(key, self._settings.lapse)
            )
            self._ready_by_build[key.build] = self._ready_by_build.get(key.build, 0) + 1
        for kept in (self._failing, self._suspected):
            for name in [name for name, own in kept.items() if self._observed.get(name) is not own]:
                del kept[name]
        self._keep_words(lambda key, origin: self._is_listed(key))

    def _is_listed(self, key: EndpointKey) -> bool:
        observed = self._observed.get(key.id)
        return observed is not None and observed.key == key

    def _keep_words(self, keeps: Callable[[EndpointKey, str], bool]) -> None:
        for key in list(self.evidence):
            words = self.evidence[key]
            for origin in [origin for origin in words if not keeps(key, origin)]:
                del words[origin]
                self._word_count -= 1
            if not words:
                del self.evidence[key]

    def forget_origin(self, name: str) -> None:
        """Forgets what an origin said: its key was revoked, it started anew, or it lied."""
        self._keep_words(lambda key, origin: origin != name)

    def discredit(self, name: str) -> None:
        """Takes note that an origin said two things under one number: proof of a lie."""
        self.credibility.proved_lying(name)
        self.forget_origin(name)

    def record_attempt(self, now: Ticks, name: str, failed: bool) -> None:
        """Counts an own attempt at an endpoint that ended."""
        observed = self._observed.get(name)
        if observed:
            observed.count_tried(now)
            self._all.count_tried(now)
            if failed:
                observed.count_failed(now)
                self._all.count_failed(now)
                observed.failed_at = now
                self._failing[name] = observed

    def add_evidence(self, now: Ticks, origin: str, evidence: Evidence, seen: Ticks) -> bool:
        """Takes evidence of an origin that is proved and alive.

        Args:
            now: The time.
            origin: Its name.
            evidence: What it saw.
            seen: When it saw that, by this instance's clock.

        Returns:
            Whether it was of use.
        """
        key = EndpointKey(evidence.pod, evidence.address, evidence.build, evidence.started)
        if not self._is_listed(key) or evidence.failed > evidence.tried or evidence.tried == 0:
            return False
        word = self.evidence.get(key, {}).get(origin)
        if word is None:
            of_origin = sum(origin in words for words in self.evidence.values())
            if self._word_count >= MAX_WORDS or of_origin >= MAX_WORDS_OF_ORIGIN:
                return False
            word = self.evidence.setdefault(key, {})[origin] = Word()
            self._word_count += 1
        return word.update(evidence, seen)

    def evidence_to_send(self, now: Ticks) -> list[tuple[EndpointKey, Counts]]:
        """Returns what is worth sending now, the worst first.

        Endpoints that fail, and good words for those that others speak ill of.
        """
        lapse = self._settings.lapse
        for name in [name for name, own in self._failing.items() if now - own.failed_at > lapse]:
            del self._failing[name]
        spoken_of = {key.id: self._observed[key.id] for key in self.evidence}
        worth: list[tuple[Counts, Observed]] = []
        for observed in {**self._failing, **spoken_of}.values():
            if now - observed.sent_at < SEND_INTERVAL:
                continue
            counts = observed.counts(now)
            if self._is_worth_sending(now, observed, counts) and observed.sent != counts:
                worth.append((counts, observed))
        worth.sort(key=lambda one: -one[0].failed)
        for counts, observed in worth[:MAX_SENT_AT_ONCE]:
            observed.sent_at = now
            observed.sent = counts
        return [(observed.key, counts) for counts, observed in worth[:MAX_SENT_AT_ONCE]]

    def _is_worth_sending(self, now: Ticks, observed: Observed, counts: Counts) -> bool:
        """Returns whether own counts are bad, or good against others' bad ones.

        One failure is worth a word: an instance that uses another endpoint after the first has no
        second one, and what failed a few by chance is refuted by those whom it did not. A few
        voices are enough on either side, however many instances there are.
        """
        settings = self._settings
        words = self.evidence.get(observed.key, {})
        against = sum(word.failed >= settings.bar * word.tried for word in words.values())
        enough = VOICES_BY_NEEDED * (settings.witnesses + settings.liars)
        rate = counts.failed / counts.tried if counts.tried else 0.0
        others = self._all.failure_rate_without(now, observed)
        is_bad = (
            counts.failed > 0
            and rate >= settings.bar
            and (others is None or rate >= RATIO_TO_OTHERS * others)
        )
        refutes = bool(words) and counts.tried >= MIN_ATTEMPTS_TO_REFUTE and rate < settings.bar / 2
        return (is_bad and against < enough) or (refutes and len(words) - against < enough)

    def update(self, now: Ticks, is_alive: Callable[[str], bool]) -> list[Suspicion]:
        """Returns the suspicions that begin, grow or end.

        Args:
            now: The time.
            is_alive: Whether an origin is a live peer.
        """
        lapse = self._settings.lapse
        self._keep_words(lambda key, origin: now - self.evidence[key][origin].seen <= lapse)
        self.credibility.recover()
        against: dict[Observed, float] = {}
        for key, words in self.evidence.items():
            observed = self._observed[key.id]
            own = observed.fresh_counts(now)
            if own.tried >= MIN_ATTEMPTS_TO_JUDGE:
                self._judge(words, own.failed / own.tried)
            strength = self._strength(words, observed, own, now, is_alive)
            if strength:
                against[observed] = strength
        return self._suspicions(now, against)

    def _judge(self, words: Mapping[str, Word], rate: float) -> None:
        """Has own experience prove others' words right or wrong, each word once."""
        bar = self._settings.bar
        for origin, word in words.items():
            if word.judged or word.failed / word.tried < bar:
                continue
            if rate >= bar:
                self.credibility.proved_right(origin)
                word.judged = True
            elif rate < bar / 3:
                self.credibility.proved_wrong(origin)
                word.judged = True

    def _strength(
        self,
        words: Mapping[str, Word],
        observed: Observed,
        own: Counts,
        now: Ticks,
        is_alive: Callable[[str], bool],
    ) -> float | None:
        """Returns how much speaks against an endpoint, or None where it is not enough."""
        settings = self._settings
        if own.tried >= MIN_OWN_ATTEMPTS and own.failed / own.tried < settings.bar:
            return None  # own fresh experience beats others' evidence
        said = self._by_group(words, is_alive)
        witnesses = sum(one.failed / one.tried >= settings.bar for one in said)
        if own.failed and own.failed / own.tried >= settings.bar:
            witnesses += 1
        if witnesses < settings.witnesses:
            return None
        left = [*self._without_extremes(said), _Weighted(own.tried, own.failed)]
        tried = sum(one.tried for one in left)
        failed = sum(one.failed for one in left)
        others = self._all.failure_rate_without(now, observed) or MIN_FAILURE_RATE
        if tried < settings.enough or failed / tried < max(settings.bar, RATIO_TO_OTHERS * others):
            return None
        chance = binomial_tail(round(tried), round(failed), others)
        return failed if chance <= MAX_CHANCE else None

    def _by_group(
        self, words: Mapping[str, Word], is_alive: Callable[[str], bool]
    ) -> list[_Weighted]:
        """Returns each group's word by its credit, in credits of one that said nothing yet.

        Of a group the word that says the most is kept: more names of one hand are no more
        witnesses.
        """
        said: dict[str, _Weighted] = {}
        for origin, word in words.items():
            credit = self.credibility.of(origin)
            if not is_alive(origin) or credit < MIN_CREDIT or word.swings >= MAX_SWINGS:
                continue
            part = credit * min(1.0, MAX_ATTEMPTS_OF_WITNESS / word.tried)
            group = self._group_of(origin)
            weighted = _Weighted(word.tried * part, word.failed * part)
            if group not in said or weighted.failed > said[group].failed:
                said[group] = weighted
        return [
            _Weighted(one.tried / INITIAL_CREDIT, one.failed / INITIAL_CREDIT)
            for one in said.values()
        ]

    def _without_extremes(self, said: Sequence[_Weighted]) -> list[_Weighted]:
        """Leaves out as many words most against the endpoint as there may be liars.

        With enough words, as many that are most for it are left out too.
        """
        settings = self._settings
        left = sorted(said, key=lambda one: one.failed - settings.bar * one.tried)
        if settings.liars:
            left = left[: len(left) - settings.liars]
        if len(left) > settings.witnesses + settings.liars:
            left = left[settings.liars :]
        return left

    def _suspicions(self, now: Ticks, against: Mapping[Observed, float]) -> list[Suspicion]:
        settings = self._settings
        changed: list[Suspicion] = []
        allowed = {
            build: int(count * settings.most_share) for build, count in self._ready_by_build.items()
        }
        for name, observed in list(self._suspected.items()):
            if observed.until > now:
                if observed in against:
                    allowed[observed.key.build] -= 1
                else:  # its ground is gone
                    observed.until = now
                    changed.append(Suspicion(observed.key, now))
            elif now - observed.until > 2 * settings.lapse:
                observed.times = 0
                del self._suspected[name]
        for observed in sorted(against, key=lambda one: against[one], reverse=True):
            # Between two suspicions the endpoint is used as any other: it may be well again.
            may_begin = observed.until <= now and now >= observed.until + RETRY_INTERVAL
            if not may_begin or allowed[observed.key.build] < 1:
                continue
            allowed[observed.key.build] -= 1
            observed.until = now + settings.doubt * min(MAX_LONGER, 1 << observed.times)
            observed.times = min(observed.times + 1, MAX_TIMES)
            self._suspected[observed.key.id] = observed
            changed.append(Suspicion(observed.key, observed.until))
        return changed

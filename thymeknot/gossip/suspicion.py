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
    EVIDENCE_INTERVAL,
    MIN_FAILURE_RATE,
    AttemptCounts,
    EndpointKey,
    EndpointTotals,
    ObservedEndpoint,
)
from .settings import SuspicionSettings

MAX_ATTEMPTS_PER_WITNESS = 20  # that one word counts for: the loudest is one among several
MIN_OWN_ATTEMPTS = 4  # own fresh attempts that outweigh any evidence of others
MIN_ATTEMPTS_TO_REFUTE = 2  # own attempts that are worth a good word
MIN_RATIO_TO_OTHERS = 3.0  # times the failure rate of the other endpoints, to be bad
MAX_P_VALUE = 1e-3  # how likely what is left may be at an endpoint as well as the others
MIN_ATTEMPTS_TO_JUDGE = 6  # own fresh attempts that prove another's word right or wrong
MAX_SWINGS = 3  # a word that swung so often is worth nothing for a while
MIN_SWING = 0.4  # change of the failure rate that is a swing
MAX_EVIDENCE = 2048  # of all origins
MAX_EVIDENCE_PER_ORIGIN = 16
MAX_EVIDENCE_PER_ROUND = 6  # words in one round
SUFFICIENT_REPORTS_FACTOR = (
    2  # times the witnesses and liars: more voices on one side are not needed
)
MAX_DURATION_FACTOR = 4  # times the first suspicion's duration, when it comes again
MAX_SUSPICION_COUNT = 8  # suspicions that are counted
SUSPICION_PAUSE = TICKS_PER_SECOND  # between two suspicions, when the endpoint is tried


class Suspicion(NamedTuple):
    """An endpoint that is used last.

    Attributes:
        endpoint: The endpoint.
        until: Until when; a moment that is over takes the suspicion back.
    """

    endpoint: EndpointKey
    until: Ticks


class ReceivedEvidence:
    """An origin's latest evidence about an endpoint.

    Attributes:
        tried: Attempts that ended.
        failed: Those of them that failed.
        seen: When it was made, by this instance's clock.
        swings: How often the failure rate swung.
        judged: Whether own experience proved it right or wrong.
    """

    __slots__ = ("attempts", "failures", "judged", "observed_at", "swings")

    def __init__(self) -> None:
        self.attempts = 0
        self.failures = 0
        self.observed_at: Ticks = 0
        self.swings = 0
        self.judged = False

    def update(self, evidence: Evidence, observed_at: Ticks) -> bool:
        """Takes newer evidence, and returns whether it is newer."""
        if observed_at <= self.observed_at and self.attempts:
            return False
        if self.attempts:
            change = self.failures / self.attempts - evidence.failures / evidence.attempts
            if abs(change) > MIN_SWING:
                self.swings += 1
        self.attempts = evidence.attempts
        self.failures = evidence.failures
        self.observed_at = observed_at
        self.judged = False
        return True


class _WeightedCounts(NamedTuple):
    """Attempts that a group's word counts for.

    Attributes:
        tried: Attempts.
        failed: Failed ones.
    """

    attempts: float
    failures: float


def binomial_tail(attempts: int, failures: int, rate: float) -> float:
    """Returns how likely so many failures or more are at this rate."""
    return sum(
        comb(attempts, count) * rate**count * (1 - rate) ** (attempts - count)
        for count in range(failures, attempts + 1)
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
        self.evidence: dict[EndpointKey, dict[str, ReceivedEvidence]] = {}
        self.credibility = Credibility()
        self._evidence_count = 0
        self._observed: dict[str, ObservedEndpoint] = {}  # the ready endpoints, by id
        self._totals = EndpointTotals(settings.lapse)
        # Work follows trouble and not the length of the list.
        self._failing: dict[str, ObservedEndpoint] = {}  # that failed of late
        self._suspected: dict[str, ObservedEndpoint] = {}
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
                known if known is not None and same else ObservedEndpoint(key, self._settings.lapse)
            )
            self._ready_by_build[key.build] = self._ready_by_build.get(key.build, 0) + 1
        for kept in (self._failing, self._suspected):
            for name in [name for name, own in kept.items() if self._observed.get(name) is not own]:
                del kept[name]
        self._retain_evidence(lambda key, origin: self._is_listed(key))

    def _is_listed(self, key: EndpointKey) -> bool:
        observed = self._observed.get(key.id)
        return observed is not None and observed.key == key

    def _retain_evidence(self, predicate: Callable[[EndpointKey, str], bool]) -> None:
        for key in list(self.evidence):
            records = self.evidence[key]
            for origin in [origin for origin in records if not predicate(key, origin)]:
                del records[origin]
                self._evidence_count -= 1
            if not records:
                del self.evidence[key]

    def forget_origin(self, name: str) -> None:
        """Forgets what an origin said: its key was revoked, it started anew, or it lied."""
        self._retain_evidence(lambda key, origin: origin != name)

    def discredit(self, name: str) -> None:
        """Takes note that an origin said two things under one number: proof of a lie."""
        self.credibility.record_equivocation(name)
        self.forget_origin(name)

    def record_attempt(self, now: Ticks, name: str, failed: bool) -> None:
        """Counts an own attempt at an endpoint that ended."""
        observed = self._observed.get(name)
        if observed:
            observed.count_attempt(now)
            self._totals.count_attempt(now)
            if failed:
                observed.count_failure(now)
                self._totals.count_failure(now)
                observed.last_failure_at = now
                self._failing[name] = observed

    def add_evidence(self, now: Ticks, origin: str, evidence: Evidence, observed_at: Ticks) -> bool:
        """Takes evidence of an origin that is proved and alive.

        Args:
            now: The time.
            origin: Its name.
            evidence: What it saw.
            observed_at: When it saw that, by this instance's clock.

        Returns:
            Whether it was of use.
        """
        key = EndpointKey(
            evidence.endpoint_id, evidence.address, evidence.build, evidence.endpoint_started_at
        )
        if (
            not self._is_listed(key)
            or evidence.failures > evidence.attempts
            or evidence.attempts == 0
        ):
            return False
        record = self.evidence.get(key, {}).get(origin)
        if record is None:
            of_origin = sum(origin in records for records in self.evidence.values())
            if self._evidence_count >= MAX_EVIDENCE or of_origin >= MAX_EVIDENCE_PER_ORIGIN:
                return False
            record = self.evidence.setdefault(key, {})[origin] = ReceivedEvidence()
            self._evidence_count += 1
        return record.update(evidence, observed_at)

    def evidence_to_send(self, now: Ticks) -> list[tuple[EndpointKey, AttemptCounts]]:
        """Returns what is worth sending now, the worst first.

        Endpoints that fail, and good words for those that others speak ill of.
        """
        max_age = self._settings.lapse
        for name in [
            name for name, own in self._failing.items() if now - own.last_failure_at > max_age
        ]:
            del self._failing[name]
        reported = {key.id: self._observed[key.id] for key in self.evidence}
        candidates: list[tuple[AttemptCounts, ObservedEndpoint]] = []
        for observed in {**self._failing, **reported}.values():
            if now - observed.evidence_sent_at < EVIDENCE_INTERVAL:
                continue
            counts = observed.counts(now)
            if self._is_worth_sending(now, observed, counts) and observed.sent_counts != counts:
                candidates.append((counts, observed))
        candidates.sort(key=lambda one: -one[0].failures)
        for counts, observed in candidates[:MAX_EVIDENCE_PER_ROUND]:
            observed.evidence_sent_at = now
            observed.sent_counts = counts
        return [(observed.key, counts) for counts, observed in candidates[:MAX_EVIDENCE_PER_ROUND]]

    def _is_worth_sending(
        self, now: Ticks, observed: ObservedEndpoint, counts: AttemptCounts
    ) -> bool:
        """Returns whether own counts are bad, or good against others' bad ones.

        One failure is worth a word: an instance that uses another endpoint after the first has no
        second one, and what failed a few by chance is refuted by those whom it did not. A few
        voices are enough on either side, however many instances there are.
        """
        settings = self._settings
        records = self.evidence.get(observed.key, {})
        against = sum(
            record.failures >= settings.bar * record.attempts for record in records.values()
        )
        enough = SUFFICIENT_REPORTS_FACTOR * (settings.witnesses + settings.liars)
        rate = counts.failures / counts.attempts if counts.attempts else 0.0
        others = self._totals.failure_rate_without(now, observed)
        is_bad = (
            counts.failures > 0
            and rate >= settings.bar
            and (others is None or rate >= MIN_RATIO_TO_OTHERS * others)
        )
        refutes = (
            bool(records) and counts.attempts >= MIN_ATTEMPTS_TO_REFUTE and rate < settings.bar / 2
        )
        return (is_bad and against < enough) or (refutes and len(records) - against < enough)

    def update(self, now: Ticks, is_alive: Callable[[str], bool]) -> list[Suspicion]:
        """Returns the suspicions that begin, grow or end.

        Args:
            now: The time.
            is_alive: Whether an origin is a live peer.
        """
        max_age = self._settings.lapse
        self._retain_evidence(
            lambda key, origin: now - self.evidence[key][origin].observed_at <= max_age
        )
        self.credibility.recover()
        against: dict[ObservedEndpoint, float] = {}
        for key, records in self.evidence.items():
            observed = self._observed[key.id]
            own = observed.fresh_counts(now)
            if own.attempts >= MIN_ATTEMPTS_TO_JUDGE:
                self._update_credibility(records, own.failures / own.attempts)
            strength = self._failure_weight(records, observed, own, now, is_alive)
            if strength:
                against[observed] = strength
        return self._update_suspicions(now, against)

    def _update_credibility(self, records: Mapping[str, ReceivedEvidence], rate: float) -> None:
        """Has own experience prove others' words right or wrong, each word once."""
        threshold = self._settings.bar
        for origin, record in records.items():
            if record.judged or record.failures / record.attempts < threshold:
                continue
            if rate >= threshold:
                self.credibility.record_confirmation(origin)
                record.judged = True
            elif rate < threshold / 3:
                self.credibility.record_refutation(origin)
                record.judged = True

    def _failure_weight(
        self,
        records: Mapping[str, ReceivedEvidence],
        observed: ObservedEndpoint,
        own: AttemptCounts,
        now: Ticks,
        is_alive: Callable[[str], bool],
    ) -> float | None:
        """Returns how much speaks against an endpoint, or None where it is not enough."""
        settings = self._settings
        if own.attempts >= MIN_OWN_ATTEMPTS and own.failures / own.attempts < settings.bar:
            return None  # own fresh experience beats others' evidence
        by_group = self._evidence_by_group(records, is_alive)
        witnesses = sum(one.failures / one.attempts >= settings.bar for one in by_group)
        if own.failures and own.failures / own.attempts >= settings.bar:
            witnesses += 1
        if witnesses < settings.witnesses:
            return None
        left = [*self._trim_extremes(by_group), _WeightedCounts(own.attempts, own.failures)]
        attempts = sum(one.attempts for one in left)
        failures = sum(one.failures for one in left)
        others = self._totals.failure_rate_without(now, observed) or MIN_FAILURE_RATE
        if attempts < settings.enough or failures / attempts < max(
            settings.bar, MIN_RATIO_TO_OTHERS * others
        ):
            return None
        p_value = binomial_tail(round(attempts), round(failures), others)
        return failures if p_value <= MAX_P_VALUE else None

    def _evidence_by_group(
        self, records: Mapping[str, ReceivedEvidence], is_alive: Callable[[str], bool]
    ) -> list[_WeightedCounts]:
        """Returns each group's word by its credit, in credits of one that said nothing yet.

        Of a group the word that says the most is kept: more names of one hand are no more
        witnesses.
        """
        by_group: dict[str, _WeightedCounts] = {}
        for origin, record in records.items():
            credit = self.credibility.credit_of(origin)
            if not is_alive(origin) or credit < MIN_CREDIT or record.swings >= MAX_SWINGS:
                continue
            weight = credit * min(1.0, MAX_ATTEMPTS_PER_WITNESS / record.attempts)
            group = self._group_of(origin)
            weighted = _WeightedCounts(record.attempts * weight, record.failures * weight)
            if group not in by_group or weighted.failures > by_group[group].failures:
                by_group[group] = weighted
        return [
            _WeightedCounts(one.attempts / INITIAL_CREDIT, one.failures / INITIAL_CREDIT)
            for one in by_group.values()
        ]

    def _trim_extremes(self, by_group: Sequence[_WeightedCounts]) -> list[_WeightedCounts]:
        """Leaves out as many words most against the endpoint as there may be liars.

        With enough words, as many that are most for it are left out too.
        """
        settings = self._settings
        left = sorted(by_group, key=lambda one: one.failures - settings.bar * one.attempts)
        if settings.liars:
            left = left[: len(left) - settings.liars]
        if len(left) > settings.witnesses + settings.liars:
            left = left[settings.liars :]
        return left

    def _update_suspicions(
        self, now: Ticks, against: Mapping[ObservedEndpoint, float]
    ) -> list[Suspicion]:
        settings = self._settings
        changed: list[Suspicion] = []
        allowed = {
            build: int(count * settings.most_share) for build, count in self._ready_by_build.items()
        }
        for name, observed in list(self._suspected.items()):
            if observed.suspected_until > now:
                if observed in against:
                    allowed[observed.key.build] -= 1
                else:  # its ground is gone
                    observed.suspected_until = now
                    changed.append(Suspicion(observed.key, now))
            elif now - observed.suspected_until > 2 * settings.lapse:
                observed.suspicion_count = 0
                del self._suspected[name]
        for observed in sorted(against, key=lambda one: against[one], reverse=True):
            # Between two suspicions the endpoint is used as any other: it may be well again.
            may_begin = (
                observed.suspected_until <= now
                and now >= observed.suspected_until + SUSPICION_PAUSE
            )
            if not may_begin or allowed[observed.key.build] < 1:
                continue
            allowed[observed.key.build] -= 1
            observed.suspected_until = now + settings.doubt * min(
                MAX_DURATION_FACTOR, 1 << observed.suspicion_count
            )
            observed.suspicion_count = min(observed.suspicion_count + 1, MAX_SUSPICION_COUNT)
            self._suspected[observed.key.id] = observed
            changed.append(Suspicion(observed.key, observed.suspected_until))
        return changed

"""Derives suspicions of endpoints from own attempts and from evidence of other instances.

Evidence counts recent attempts and failures. It is weighted by its origin's credibility, which
depends on the origin's earlier evidence. An endpoint is suspected only if enough independent
witnesses agree after the most unfavourable evidence was discarded, so that the configured number of
lying instances has no effect. Own fresh attempts outweigh evidence of others, and only a configured
share of a build's endpoints is suspected at once. Every suspicion expires.
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

MAX_ATTEMPTS_PER_WITNESS = 20  # per piece of evidence, so that no witness outweighs all others
MIN_OWN_ATTEMPTS = 4  # fresh ones, which outweigh all evidence of others
MIN_ATTEMPTS_TO_REFUTE = 2  # own attempts needed to send evidence that refutes that of others
MIN_RATIO_TO_OTHERS = 3.0  # of an endpoint's failure rate to that of the other endpoints
MAX_P_VALUE = 1e-3  # of the failures under the failure rate of the other endpoints
MIN_ATTEMPTS_TO_JUDGE = 6  # own fresh ones, to confirm or refute evidence of others
MAX_SWINGS = 3  # evidence that swung this often is ignored until it expires
MIN_SWING = 0.4  # change of the failure rate between updates that counts as a swing
MAX_EVIDENCE = 2048  # of all origins together
MAX_EVIDENCE_PER_ORIGIN = 16
MAX_EVIDENCE_PER_ROUND = 6  # endpoints per round
SUFFICIENT_REPORTS_FACTOR = 2  # times (witnesses + liars) instances are enough on either side
MAX_DURATION_FACTOR = 4  # of a repeated suspicion's duration to that of the first
MAX_SUSPICION_COUNT = 8  # largest count of suspicions of an endpoint
SUSPICION_PAUSE = TICKS_PER_SECOND  # between two suspicions, in which the endpoint is used again


class Suspicion(NamedTuple):
    """A suspected endpoint, which is chosen only after all others.

    Attributes:
        endpoint: Identifies the endpoint.
        until: When the suspicion ends; a time that has passed withdraws it.
    """

    endpoint: EndpointKey
    until: Ticks


class ReceivedEvidence:
    """An origin's latest evidence about an endpoint.

    Attributes:
        attempts: Number of attempts that ended.
        failures: Number of those attempts that failed.
        observed_at: When it was made, by this instance's clock.
        swings: How often the failure rate changed by more than `MIN_SWING`.
        judged: Whether own attempts have confirmed or refuted it.
    """

    __slots__ = ("attempts", "failures", "judged", "observed_at", "swings")

    def __init__(self) -> None:
        self.attempts = 0
        self.failures = 0
        self.observed_at: Ticks = 0
        self.swings = 0
        self.judged = False

    def update(self, evidence: Evidence, observed_at: Ticks) -> bool:
        """Stores evidence if it is newer, and returns whether it is."""
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
    """Weighted evidence of a group.

    Attributes:
        attempts: Weighted number of attempts.
        failures: Weighted number of failed attempts.
    """

    attempts: float
    failures: float


def binomial_tail(attempts: int, failures: int, rate: float) -> float:
    """Returns the probability of at least `failures` failures at a failure rate."""
    return sum(
        comb(attempts, count) * rate**count * (1 - rate) ** (attempts - count)
        for count in range(failures, attempts + 1)
    )


class SuspicionDetector:
    """Collects own and other instances' evidence about endpoints and decides on suspicions.

    Attributes:
        evidence: Latest evidence of other instances by endpoint and origin.
        credibility: Credibility of the origins.
    """

    def __init__(self, settings: SuspicionSettings, group_of: Callable[[str], str]) -> None:
        """Creates a detector without endpoints.

        Args:
            settings: When evidence makes an endpoint suspected.
            group_of: Returns the group of an origin; origins in a group count as one witness.
        """
        self._settings = settings
        self._group_of = group_of
        self.evidence: dict[EndpointKey, dict[str, ReceivedEvidence]] = {}
        self.credibility = Credibility()
        self._evidence_count = 0
        self._observed: dict[str, ObservedEndpoint] = {}  # the ready endpoints, by id
        self._totals = EndpointTotals(settings.lapse)
        # Kept apart, so that work grows with the number of failing endpoints, not of all endpoints.
        self._failing: dict[str, ObservedEndpoint] = {}  # with recent failures, by id
        self._suspected: dict[str, ObservedEndpoint] = {}
        self._ready_by_build: dict[int, int] = {}

    def set_endpoints(self, endpoints: Iterable[EndpointKey]) -> None:
        """Sets the ready endpoints and discards evidence about all others."""
        former = self._observed
        self._observed = {}
        self._ready_by_build = {}
        for key in endpoints:
            former_endpoint = former.get(key.id)
            same = former_endpoint is not None and former_endpoint.key == key
            self._observed[key.id] = (
                former_endpoint
                if former_endpoint is not None and same
                else ObservedEndpoint(key, self._settings.lapse)
            )
            self._ready_by_build[key.build] = self._ready_by_build.get(key.build, 0) + 1
        for tracked in (self._failing, self._suspected):
            for name in [
                name
                for name, endpoint in tracked.items()
                if self._observed.get(name) is not endpoint
            ]:
                del tracked[name]
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
        """Discards the evidence of an origin that restarted, left, died, lied or lost its key."""
        self._retain_evidence(lambda key, origin: origin != name)

    def discredit(self, name: str) -> None:
        """Removes the credit and evidence of an origin that signed two items with one number."""
        self.credibility.record_equivocation(name)
        self.forget_origin(name)

    def record_attempt(self, now: Ticks, name: str, failed: bool) -> None:
        """Counts an attempt of this instance at an endpoint."""
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
        """Stores evidence of a live origin.

        Args:
            now: Current time.
            origin: Name of the origin.
            evidence: The evidence.
            observed_at: When it was made, by this instance's clock.

        Returns:
            Whether the evidence was stored.
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
            count_of_origin = sum(origin in records for records in self.evidence.values())
            if self._evidence_count >= MAX_EVIDENCE or count_of_origin >= MAX_EVIDENCE_PER_ORIGIN:
                return False
            record = self.evidence.setdefault(key, {})[origin] = ReceivedEvidence()
            self._evidence_count += 1
        return record.update(evidence, observed_at)

    def evidence_to_send(self, now: Ticks) -> list[tuple[EndpointKey, AttemptCounts]]:
        """Returns the evidence to send now, the most failures first.

        It covers endpoints that fail, and endpoints that succeed although others report failures.
        """
        max_age = self._settings.lapse
        for name in [
            name
            for name, endpoint in self._failing.items()
            if now - endpoint.last_failure_at > max_age
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
        candidates.sort(key=lambda candidate: -candidate[0].failures)
        for counts, observed in candidates[:MAX_EVIDENCE_PER_ROUND]:
            observed.evidence_sent_at = now
            observed.sent_counts = counts
        return [(observed.key, counts) for counts, observed in candidates[:MAX_EVIDENCE_PER_ROUND]]

    def _is_worth_sending(
        self, now: Ticks, observed: ObservedEndpoint, counts: AttemptCounts
    ) -> bool:
        """Returns whether own counts are bad, or are good and refute bad ones of others.

        A single failure is worth sending: an instance that switches to another endpoint after it
        will not see a second one, and failures by chance are refuted by instances that had none.
        Evidence of a few instances is enough on either side, whatever the group size.
        """
        settings = self._settings
        records = self.evidence.get(observed.key, {})
        reporting_failures = sum(
            record.failures >= settings.bar * record.attempts for record in records.values()
        )
        enough = SUFFICIENT_REPORTS_FACTOR * (settings.witnesses + settings.liars)
        rate = counts.failures / counts.attempts if counts.attempts else 0.0
        others_failure_rate = self._totals.failure_rate_without(now, observed)
        is_bad = (
            counts.failures > 0
            and rate >= settings.bar
            and (others_failure_rate is None or rate >= MIN_RATIO_TO_OTHERS * others_failure_rate)
        )
        refutes = (
            bool(records) and counts.attempts >= MIN_ATTEMPTS_TO_REFUTE and rate < settings.bar / 2
        )
        return (is_bad and reporting_failures < enough) or (
            refutes and len(records) - reporting_failures < enough
        )

    def update(self, now: Ticks, is_alive: Callable[[str], bool]) -> list[Suspicion]:
        """Returns the suspicions that begin or end.

        Args:
            now: Current time.
            is_alive: Returns whether an origin is a live peer.
        """
        max_age = self._settings.lapse
        self._retain_evidence(
            lambda key, origin: now - self.evidence[key][origin].observed_at <= max_age
        )
        self.credibility.recover()
        to_suspect: dict[ObservedEndpoint, float] = {}
        for key, records in self.evidence.items():
            observed = self._observed[key.id]
            own_counts = observed.fresh_counts(now)
            if own_counts.attempts >= MIN_ATTEMPTS_TO_JUDGE:
                self._update_credibility(records, own_counts.failures / own_counts.attempts)
            weighted_failures = self._failure_weight(records, observed, own_counts, now, is_alive)
            if weighted_failures:
                to_suspect[observed] = weighted_failures
        return self._update_suspicions(now, to_suspect)

    def _update_credibility(self, records: Mapping[str, ReceivedEvidence], rate: float) -> None:
        """Confirms or refutes evidence by own attempts, each piece of evidence once."""
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
        own_counts: AttemptCounts,
        now: Ticks,
        is_alive: Callable[[str], bool],
    ) -> float | None:
        """Returns the weighted failures at an endpoint, or None if they justify no suspicion."""
        settings = self._settings
        if (
            own_counts.attempts >= MIN_OWN_ATTEMPTS
            and own_counts.failures / own_counts.attempts < settings.bar
        ):
            return None  # own fresh attempts outweigh evidence of others
        by_group = self._evidence_by_group(records, is_alive)
        witnesses = sum(counts.failures / counts.attempts >= settings.bar for counts in by_group)
        if own_counts.failures and own_counts.failures / own_counts.attempts >= settings.bar:
            witnesses += 1
        if witnesses < settings.witnesses:
            return None
        trimmed = [
            *self._trim_extremes(by_group),
            _WeightedCounts(own_counts.attempts, own_counts.failures),
        ]
        attempts = sum(counts.attempts for counts in trimmed)
        failures = sum(counts.failures for counts in trimmed)
        others_failure_rate = self._totals.failure_rate_without(now, observed) or MIN_FAILURE_RATE
        if attempts < settings.enough or failures / attempts < max(
            settings.bar, MIN_RATIO_TO_OTHERS * others_failure_rate
        ):
            return None
        p_value = binomial_tail(round(attempts), round(failures), others_failure_rate)
        return failures if p_value <= MAX_P_VALUE else None

    def _evidence_by_group(
        self, records: Mapping[str, ReceivedEvidence], is_alive: Callable[[str], bool]
    ) -> list[_WeightedCounts]:
        """Returns the evidence of each group, weighted relative to an origin of initial credit.

        Only the evidence with the most weighted failures of a group is kept, so that several
        instances under one control count as one witness.
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
            _WeightedCounts(counts.attempts / INITIAL_CREDIT, counts.failures / INITIAL_CREDIT)
            for counts in by_group.values()
        ]

    def _trim_extremes(self, by_group: Sequence[_WeightedCounts]) -> list[_WeightedCounts]:
        """Discards the most unfavourable evidence, as many groups as there may be liars.

        With enough evidence, as many of the most favourable groups are discarded as well.
        """
        settings = self._settings
        trimmed = sorted(
            by_group, key=lambda counts: counts.failures - settings.bar * counts.attempts
        )
        if settings.liars:
            trimmed = trimmed[: len(trimmed) - settings.liars]
        if len(trimmed) > settings.witnesses + settings.liars:
            trimmed = trimmed[settings.liars :]
        return trimmed

    def _update_suspicions(
        self, now: Ticks, to_suspect: Mapping[ObservedEndpoint, float]
    ) -> list[Suspicion]:
        settings = self._settings
        changed: list[Suspicion] = []
        allowed = {
            build: int(count * settings.most_share) for build, count in self._ready_by_build.items()
        }
        for name, observed in list(self._suspected.items()):
            if observed.suspected_until > now:
                if observed in to_suspect:
                    allowed[observed.key.build] -= 1
                else:  # the evidence is no longer sufficient
                    observed.suspected_until = now
                    changed.append(Suspicion(observed.key, now))
            elif now - observed.suspected_until > 2 * settings.lapse:
                observed.suspicion_count = 0
                del self._suspected[name]
        for observed in sorted(to_suspect, key=lambda suspect: to_suspect[suspect], reverse=True):
            # Between two suspicions the endpoint is used normally, as it may have recovered.
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

"""What others saw of a pod, and what of it is believed. Pure.

A pod is its id, address, build and start together: one that came back is another. A claim counts deliveries and their
failures of late; its word is worth what its origin's earlier words proved worth. A pod is doubted only if enough
independent witnesses agree after the words most against it were left out, so that the stated number of liars can't
move it; never against own fresh experience; and only a stated share of a build's pods at once. Every doubt lapses.
"""

from math import comb
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND
from ..state.sliding_window import SlidingWindow

BUCKETS, FRESH = 10, 3  # of the lapse; the latest of them are fresh
TRIED_MOST = 20  # that one claim counts for: the loudest witness is one among several
OWN_ENOUGH = 4  # own deliveries of late that outweigh any hearsay
ANSWER_LEAST, TIMES_THE_REST = (
    2,
    3.0,
)  # deliveries worth a good word; times as many failures as at the other pods
BY_CHANCE = 1e-3  # how likely what is left may be at a pod that is as well as the rest
CREDIT, CREDIT_FLOOR, CREDIT_UP, CREDIT_DOWN, CREDIT_BACK = 0.5, 0.2, 0.1, 0.5, 0.002
JUDGED_AFTER = 6  # own deliveries that prove another's word right or wrong
FLIPS_MOST, FLIP = 3, 0.4  # a word that swings by so much, so often, is worth nothing for a while
CLAIMS_MOST, CLAIMS_OF_ONE = 2048, 16
TELL_EVERY, TELL_MOST = 2 * TICKS_PER_SECOND, 6
LONGER_MOST, LOOK = (
    4,
    TICKS_PER_SECOND,
)  # times the doubt grows when it comes again; between two: the pod is tried
RATE_LEAST = 0.01


class Pod(NamedTuple):
    pod: str
    address: str
    build: int
    started: int


class Doubt(NamedTuple):
    """Until then the pod is turned to later; a moment that is over takes the doubt back."""

    pod: Pod
    until: int


class Heard:
    """An origin's latest word of a pod."""

    __slots__ = ("tried", "failed", "seen", "flips", "judged")

    def __init__(self):
        self.tried, self.failed, self.seen, self.flips, self.judged = 0, 0, 0, 0, False


class Own:
    """What this instance saw of a pod itself."""

    __slots__ = ("pod", "tried", "failed", "ill_at", "told_at", "told", "until", "times")

    def __init__(self, pod, span):
        self.pod, self.tried, self.failed = (
            pod,
            SlidingWindow(span, BUCKETS),
            SlidingWindow(span, BUCKETS),
        )
        self.ill_at, self.told_at, self.told, self.until, self.times = 0, -TELL_EVERY, None, 0, 0

    def counts(self, now, back=None):
        return self.tried.total(now, False, back), self.failed.total(now, False, back)


def by_chance(tried, failed, rate):
    """How likely so many failures or more are at this rate: the binomial's upper tail."""
    return sum(
        comb(tried, count) * rate**count * (1 - rate) ** (tried - count)
        for count in range(failed, tried + 1)
    )


class Belief:
    """pods: those listed as ready, by id. group(origin): those that count as one witness."""

    def __init__(self, terms, group):
        self.terms, self.group = terms, group
        self.pods, self.claims, self.credit, self.count = {}, {}, {}, 0
        self.tried, self.failed = (
            SlidingWindow(terms.lapse, BUCKETS),
            SlidingWindow(terms.lapse, BUCKETS),
        )  # of all pods
        # Work follows trouble and not the length of the list: those that failed of late, those under doubt.
        self.ill, self.doubted, self.ready = {}, {}, {}

    def listed(self, pods):
        """The ready pods as the list now has them; what is no longer the same pod is forgotten."""
        self.pods = {
            pod.pod: had
            if (had := self.pods.get(pod.pod)) and had.pod == pod
            else Own(pod, self.terms.lapse)
            for pod in pods
        }
        self.ready = {}
        for pod in pods:
            self.ready[pod.build] = self.ready.get(pod.build, 0) + 1
        for held in (self.ill, self.doubted):
            for name in [name for name, own in held.items() if self.pods.get(name) is not own]:
                del held[name]
        self._forget(lambda pod, origin: self._same(pod))

    def _same(self, pod):
        own = self.pods.get(pod.pod)
        return own is not None and own.pod == pod

    def _forget(self, keeps):
        for pod in list(self.claims):
            words = self.claims[pod]
            for origin in [origin for origin in words if not keeps(pod, origin)]:
                del words[origin]
                self.count -= 1
            if not words:
                del self.claims[pod]

    def forget_origin(self, name):
        """Nothing it said counts any longer: its key was revoked, it started anew, or it was caught."""
        self._forget(lambda pod, origin: origin != name)

    def caught(self, name):
        """It said two things under one number: proof of a lie."""
        self.credit[name] = 0.0
        self.forget_origin(name)

    def ended(self, now, name, failed):
        """An own delivery to this pod came to its end."""
        own = self.pods.get(name)
        if own:
            own.tried.add(now)
            self.tried.add(now)
            if failed:
                own.failed.add(now)
                self.failed.add(now)
                own.ill_at, self.ill[name] = now, own

    def heard(self, now, origin, claim, seen):
        """A claim of an origin that is proved and alive, as it stood at `seen`. Gives whether it was of use."""
        pod = Pod(claim.pod, claim.address, claim.build, claim.started)
        if not self._same(pod) or claim.failed > claim.tried or claim.tried == 0:
            return False
        words = self.claims.setdefault(pod, {})
        if origin not in words:
            if (
                self.count >= CLAIMS_MOST
                or sum(origin in one for one in self.claims.values()) >= CLAIMS_OF_ONE
            ):
                if not words:
                    del self.claims[pod]
                return False
            words[origin] = Heard()
            self.count += 1
        word = words[origin]
        if seen <= word.seen and word.tried:
            return False
        if word.tried and abs(word.failed / word.tried - claim.failed / claim.tried) > FLIP:
            word.flips += 1
        word.tried, word.failed, word.seen, word.judged = claim.tried, claim.failed, seen, False
        return True

    def trust(self, origin):
        return self.credit.get(origin, CREDIT)

    def _rest(self, now, but):
        """The rate of failures at the other pods, as seen here."""
        tried, failed = but.counts(now)
        tried, failed = self.tried.total(now) - tried, self.failed.total(now) - failed
        return max(RATE_LEAST, failed / tried) if tried >= OWN_ENOUGH else None

    def to_tell(self, now):
        """The claims worth telling now, the worst first: pods that fail, and good words of pods spoken ill of."""
        worth = []
        for name in [name for name, own in self.ill.items() if now - own.ill_at > self.terms.lapse]:
            del self.ill[name]
        spoken_of = {pod.pod: self.pods[pod.pod] for pod in self.claims}
        for own in {**self.ill, **spoken_of}.values():
            if now - own.told_at < TELL_EVERY:
                continue
            tried, failed = own.counts(now)
            rate, rest = failed / tried if tried else 0.0, self._rest(now, own)
            # One failure is worth a word: an instance that turns away from a pod after the first has no second one,
            # and what chance has failed for a few is answered by those for whom it has not.
            ill = (
                failed
                and rate >= self.terms.bar
                and (rest is None or rate >= TIMES_THE_REST * rest)
            )
            # A few voices are enough on either side, however many instances there are.
            words, most = self.claims.get(own.pod), 2 * (self.terms.witnesses + self.terms.liars)
            against = self._against(words or {})
            ill = ill and against < most
            answer = (
                words
                and tried >= ANSWER_LEAST
                and rate < self.terms.bar / 2
                and len(words) - against < most
            )
            if (ill or answer) and own.told != (tried, failed):
                worth.append((failed, own, tried))
        worth.sort(key=lambda one: -one[0])
        told = []
        for failed, own, tried in worth[:TELL_MOST]:
            own.told_at, own.told = now, (tried, failed)
            told.append((own.pod, tried, failed))
        return told

    def _against(self, words):
        return sum(word.failed >= self.terms.bar * word.tried for word in words.values())

    def decide(self, now, alive):
        """The doubts that begin, grow or end. alive(origin): whether it is a live peer."""
        self._forget(lambda pod, origin: now - self.claims[pod][origin].seen <= self.terms.lapse)
        for origin in list(self.credit):  # what one was once is not for ever
            credit = self.credit[origin]
            self.credit[origin] = credit + CREDIT_BACK * (CREDIT - credit)
            if abs(credit - CREDIT) < CREDIT_BACK:
                del self.credit[origin]
        against = {}
        for pod, words in self.claims.items():
            own = self.pods[pod.pod]
            tried, failed = own.counts(now, FRESH)
            if tried >= JUDGED_AFTER:
                self._judge(words, failed / tried)
            strength = self._strength(words, own, tried, failed, now, alive)
            if strength:
                against[own] = strength
        return self._doubts(now, against)

    def _judge(self, words, rate):
        """Own experience proves others' words right or wrong, each word once."""
        for origin, word in words.items():
            said = word.failed / word.tried
            if word.judged or said < self.terms.bar:
                continue
            if rate >= self.terms.bar:
                self.credit[origin] = min(1.0, self.trust(origin) + CREDIT_UP)
                word.judged = True
            elif rate < self.terms.bar / 3:
                self.credit[origin] = self.trust(origin) * CREDIT_DOWN
                word.judged = True

    def _strength(self, words, own, tried, failed, now, alive):
        """How much speaks against a pod, or None where it is not enough."""
        terms = self.terms
        if tried >= OWN_ENOUGH and failed / tried < terms.bar:
            return None  # own fresh experience beats hearsay
        said = {}
        for origin, word in words.items():
            credit = self.trust(origin)
            if not alive(origin) or credit < CREDIT_FLOOR or word.flips >= FLIPS_MOST:
                continue
            part = credit * min(1.0, TRIED_MOST / word.tried)
            group = self.group(origin)
            # Of a group the word that says the most is kept: more names of one hand are no more witnesses.
            one = word.tried * part, word.failed * part
            if group not in said or one[1] > said[group][1]:
                said[group] = one
        # In credits of one as at first, so that the count of deliveries keeps its meaning.
        said = [(tried / CREDIT, failed / CREDIT) for tried, failed in said.values()]
        mine = failed and failed / tried >= terms.bar
        if sum(bad / all_ >= terms.bar for all_, bad in said) + mine < terms.witnesses:
            return None
        said.sort(key=lambda one: one[1] - terms.bar * one[0])
        left = said[: len(said) - terms.liars] if terms.liars else said
        if (
            len(left) > terms.witnesses + terms.liars
        ):  # with enough of them, those most for it are left out too
            left = left[terms.liars :]
        left = left + [(tried, failed)]
        tried, failed = sum(one[0] for one in left), sum(one[1] for one in left)
        rest = self._rest(now, own) or RATE_LEAST
        if tried < terms.enough or failed / tried < max(terms.bar, TIMES_THE_REST * rest):
            return None
        return failed if by_chance(round(tried), round(failed), rest) <= BY_CHANCE else None

    def _doubts(self, now, against):
        doubts, room = (
            [],
            {build: int(count * self.terms.most_share) for build, count in self.ready.items()},
        )
        for name, own in list(self.doubted.items()):
            if own.until > now:
                if own in against:
                    room[own.pod.build] -= 1
                else:  # its ground is gone
                    own.until = now
                    doubts.append(Doubt(own.pod, now))
            elif now - own.until > 2 * self.terms.lapse:
                own.times = 0
                del self.doubted[name]
        for own in sorted(against, key=against.get, reverse=True):
            # Between two doubts the pod is turned to as any other: it may be well again.
            if own.until > now or now < own.until + LOOK or room[own.pod.build] < 1:
                continue
            room[own.pod.build] -= 1
            own.until = now + self.terms.doubt * min(LONGER_MOST, 1 << own.times)
            own.times = min(own.times + 1, 8)
            self.doubted[own.pod.pod] = own
            doubts.append(Doubt(own.pod, own.until))
        return doubts

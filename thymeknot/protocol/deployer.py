"""The platform's calls, answers and news, its words to ours."""

import re
from html import unescape
from urllib.parse import parse_qsl

from ..interface.enums import Outcome, ReleasePhase, Verdict
from ..interface.events import FleetCounts, ReleaseUpdate
from . import http
from .calls import Reply
from .write_progress import WRITTEN

BASE = "/v2/projects/main/"
SIGN_OF_LIFE = 10_000  # tenths of a millisecond
SILENCE = 4 * SIGN_OF_LIFE
FIRST_WORD = (
    2 * SIGN_OF_LIFE
)  # how the newest build stands is told at once; if not, the first sign has come by then
MOST_TIME, MOST_WHOLE, MOST_FIELDS = 10**13, 2**53, 100  # milliseconds; of what floats hold exactly
VERDICTS = {
    Verdict.ABSTAIN: "abstain",
    Verdict.PROMOTE: "promote",
    Verdict.PAUSE: "pause",
    Verdict.ABORT: "abort",
}
PHASES = {
    "trial": ReleasePhase.ON_TRIAL,
    "rolling_back": ReleasePhase.ROLLING_BACK,
    "released": ReleasePhase.RELEASED,
    "withdrawn": ReleasePhase.WITHDRAWN,
}
# What came back from a call (status, code) -> what it means for a vote. Missing: it may count.
REFUSALS = {
    (400, "throttled"): Outcome.REJECTED,
    (400, "conflict"): Outcome.NOT_SENT,
    (400, "invalid"): Outcome.ERROR,
    (500, "internal"): Outcome.ERROR,
}
LEAF = re.compile(r"<([A-Za-z][\w.-]*)(?:\s[^<>]*)?>([^<>]*)</\1\s*>")


class UnreadableReleaseError(ValueError):
    """What came is not what the platform says. The text names the faulty field."""


def vote(host, action):
    return http.request(
        "POST",
        BASE,
        host,
        {
            "Action": "PutApproval",
            "version": action.build,
            "step": action.stage,
            "vote": VERDICTS[action.verdict],
        },
    )


def stream(host):
    return http.request("GET", BASE + "stream", host)


def _read(told, name, decode):
    try:
        return decode(told[name])
    except KeyError:
        raise UnreadableReleaseError(
            f"{name} is missing or not known: {told.get(name)!r}"
        ) from None
    except (TypeError, ValueError, OverflowError):
        raise UnreadableReleaseError(f"{name} makes no sense: {told[name]!r}") from None


def _tenths(milliseconds):
    value = float(milliseconds)
    if not 0 <= value <= MOST_TIME:
        raise ValueError(milliseconds)
    return int(value * 10)


def _whole(text):
    value = int(text)
    if not 0 <= value <= MOST_WHOLE:
        raise ValueError(text)
    return value


def _share(text):
    value = float(text)
    if not 0 <= value <= 1:
        raise ValueError(text)
    return value


def read_news(told, answers_vote=False):
    """News of the names and values that tell how the newest build stands."""
    build, stage = _read(told, "version", _whole), _read(told, "step", _whole)
    phase, cap = _read(told, "status", PHASES.__getitem__), _read(told, "maxWeight", _share)
    return ReleaseUpdate(
        build, stage, phase, answers_vote, Outcome.DONE, cap, _read(told, "observedAgoMs", _tenths)
    )


def read_event(event, data):
    """News or a Tally of an event of the stream; None for a kind that is not known."""
    told = dict(parse_qsl(data, keep_blank_values=True, max_num_fields=MOST_FIELDS))
    if event == "progress":
        return read_news(told)
    if event == "metrics":
        counted, failed = _read(told, "requests", _whole), _read(told, "failures", _whole)
        latency = (
            _read(told, "avgMs", _tenths) if failed < counted else 0
        )  # of none there is no mean
        return FleetCounts(
            _read(told, "version", _whole),
            _read(told, "kind", str),
            counted,
            failed,
            latency,
            _read(told, "observedAgoMs", _tenths),
        )
    return None


def leaves(text):
    """The elements of a piece of XML that hold text alone, by name."""
    return {name: unescape(content.strip()) for name, content in LEAF.findall(text)}


def vote_news(build, end):
    """The News that answers a vote, of a Reply or a Broken."""
    if isinstance(end, Reply):
        told = leaves(end.body.decode("utf-8", "replace"))
        if end.status == 200:
            try:
                return read_news(told, True)
            except UnreadableReleaseError:
                return ReleaseUpdate(build, None, None, True, Outcome.TIMED_OUT, None, None)
        outcome = REFUSALS.get((end.status, told.get("Code")), Outcome.TIMED_OUT)
    else:
        outcome = Outcome.TIMED_OUT if end.reached == WRITTEN else Outcome.ERROR
    return ReleaseUpdate(build, None, None, True, outcome, None, None)

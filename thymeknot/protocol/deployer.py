"""The release platform's protocol: its requests, responses and stream events."""

import re
from collections.abc import Callable, Mapping
from html import unescape
from typing import Any, Final, TypeVar
from urllib.parse import parse_qsl

from ..interface.actions import CastVote
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome, ReleasePhase, Verdict
from ..interface.events import FleetCounts, ReleaseUpdate
from . import http
from .http_calls import Reply
from .write_progress import WRITTEN, BrokenConnection

BASE_PATH: Final = "/v2/projects/main/"
HEARTBEAT_INTERVAL: Final[Ticks] = TICKS_PER_SECOND
"""Time between two heartbeats of the stream, by the platform's protocol."""
SILENCE_TIMEOUT: Final[Ticks] = 4 * HEARTBEAT_INTERVAL
"""A stream without any complete line for this long counts as broken."""
FIRST_DATA_TIMEOUT: Final[Ticks] = 2 * HEARTBEAT_INTERVAL
"""Timeout of a stream's first data.

The platform sends the newest build's state at once; otherwise the first heartbeat arrives in time.
"""
MAX_MILLISECONDS: Final = 10**13
"""Maximum duration in a message."""
MAX_INTEGER: Final = 2**53
"""Maximum integer in a message; a float represents all integers up to it exactly."""
MAX_FORM_FIELDS: Final = 100
"""Maximum number of fields of a URL-encoded form."""
TICKS_PER_MILLISECOND: Final = 10
HTTP_OK: Final = 200
VERDICTS: Final = {
    Verdict.ABSTAIN: "abstain",
    Verdict.PROMOTE: "promote",
    Verdict.PAUSE: "pause",
    Verdict.ABORT: "abort",
}
PHASES: Final = {
    "trial": ReleasePhase.ON_TRIAL,
    "rolling_back": ReleasePhase.ROLLING_BACK,
    "released": ReleasePhase.RELEASED,
    "withdrawn": ReleasePhase.WITHDRAWN,
}
ERROR_OUTCOMES: Final[dict[tuple[int, str | None], Outcome]] = {
    (400, "throttled"): Outcome.REJECTED,
    (400, "conflict"): Outcome.NOT_SENT,
    (400, "invalid"): Outcome.ERROR,
    (500, "internal"): Outcome.ERROR,
}
"""Outcome of a vote by the response's status and error code.

After any other response the vote may have been counted (TIMED_OUT).
"""
XML_LEAF: Final = re.compile(r"<([A-Za-z][\w.-]*)(?:\s[^<>]*)?>([^<>]*)</\1\s*>")


Value = TypeVar("Value")


class UnreadableReleaseError(ValueError):
    """A message of the platform is invalid. The text names the field."""


def vote_request(host: str, action: CastVote) -> bytes:
    """Returns the bytes of the request that casts a vote."""
    return http.request(
        "POST",
        BASE_PATH,
        host,
        {
            "Action": "PutApproval",
            "version": action.build,
            "step": action.stage,
            "vote": VERDICTS[action.verdict],
        },
    )


def stream_request(host: str) -> bytes:
    """Returns the bytes of the request that opens the event stream."""
    return http.request("GET", BASE_PATH + "stream", host)


def _read(fields: Mapping[str, Any], name: str, decode: Callable[[Any], Value]) -> Value:
    try:
        return decode(fields[name])
    except KeyError:
        raise UnreadableReleaseError(
            f"{name} is missing or has an unknown value: {fields.get(name)!r}"
        ) from None
    except (TypeError, ValueError, OverflowError):
        raise UnreadableReleaseError(f"{name} has an invalid value: {fields[name]!r}") from None


def _ticks(milliseconds: Any) -> Ticks:
    value = float(milliseconds)
    if not 0 <= value <= MAX_MILLISECONDS:
        raise ValueError(milliseconds)
    return int(value * TICKS_PER_MILLISECOND)


def _integer(text: Any) -> int:
    value = int(text)
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(text)
    return value


def _fraction(text: Any) -> float:
    value = float(text)
    if not 0 <= value <= 1:
        raise ValueError(text)
    return value


def read_release_update(fields: Mapping[str, Any], *, answers_vote: bool = False) -> ReleaseUpdate:
    """Returns the release update in the fields of a rollout state.

    Raises:
        UnreadableReleaseError: A field is missing or invalid.
    """
    return ReleaseUpdate(
        build=_read(fields, "version", _integer),
        stage=_read(fields, "step", _integer),
        phase=_read(fields, "status", PHASES.__getitem__),
        answers_vote=answers_vote,
        outcome=Outcome.DONE,
        cap=_read(fields, "maxWeight", _fraction),
        age=_read(fields, "observedAgoMs", _ticks),
    )


def read_event(event: str, data: str) -> ReleaseUpdate | FleetCounts | None:
    """Returns the content of a stream event; None for an event of an unknown type.

    Raises:
        UnreadableReleaseError: A field is missing or invalid.
    """
    fields = dict(parse_qsl(data, keep_blank_values=True, max_num_fields=MAX_FORM_FIELDS))
    if event == "progress":
        return read_release_update(fields)
    if event == "metrics":
        return _read_counts(fields)
    return None


def _read_counts(fields: Mapping[str, Any]) -> FleetCounts:
    attempts = _read(fields, "requests", _integer)
    failed = _read(fields, "failures", _integer)
    latency = (
        _read(fields, "avgMs", _ticks) if failed < attempts else 0
    )  # without successful responses there is no mean
    return FleetCounts(
        build=_read(fields, "version", _integer),
        request_class=_read(fields, "kind", str),
        attempts=attempts,
        failed=failed,
        latency=latency,
        age=_read(fields, "observedAgoMs", _ticks),
    )


def xml_leaves(xml: str) -> dict[str, str]:
    """Returns the text of the XML elements that contain only text, by element name."""
    return {name: unescape(content.strip()) for name, content in XML_LEAF.findall(xml)}


def read_vote_reply(build: int, result: Reply | BrokenConnection) -> ReleaseUpdate:
    """Returns the release update that reports the result of a vote, however the call ended.

    Only a valid response with status 200 has the rollout's state; otherwise only the outcome is
    set.
    """
    if isinstance(result, Reply):
        fields = xml_leaves(result.body.decode("utf-8", "replace"))
        if result.status == HTTP_OK:
            try:
                return read_release_update(fields, answers_vote=True)
            except UnreadableReleaseError:
                return ReleaseUpdate(build, None, None, True, Outcome.TIMED_OUT, None, None)
        outcome = ERROR_OUTCOMES.get((result.status, fields.get("Code")), Outcome.TIMED_OUT)
    else:
        outcome = Outcome.TIMED_OUT if result.progress == WRITTEN else Outcome.ERROR
    return ReleaseUpdate(build, None, None, True, outcome, None, None)

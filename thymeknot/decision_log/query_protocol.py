"""The query's protocol: a line of JSON in, lines of JSON out, the last one `{"end": count}`. Pure: answers are
generators, of which the listener takes a few steps at a time; None stands for a step without a line.
"""

import orjson

from ..interface.clock import TICKS_PER_SECOND
from ..interface.reasons import Reason as R
from .entry_codec import pods as pods
from .explanations import SAID, explained

LINE_MOST = 4096


def _text(told, name, most=96):
    value = told.get(name)
    if value is not None and not (isinstance(value, str) and 0 < len(value) <= most):
        raise ValueError(f"{name}: a text of 1 to {most} characters is asked for")
    return value


def _fields(told):
    reason, since, limit = _text(told, "reason"), told.get("since"), told.get("limit")
    if reason is not None and reason.upper() not in R.__members__:
        raise ValueError(f"reason: none of {', '.join(R.__members__)}")
    for name, value in (("since", since), ("limit", limit)):
        if value is not None and not (
            isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0
        ):
            raise ValueError(f"{name}: a number is asked for")
    return {
        "lane": _text(told, "lane"),
        "tenant": _text(told, "tenant"),
        "pod": _text(told, "pod"),
        "reason": None if reason is None else int(R[reason.upper()]),
        "since": None if since is None else int(since * TICKS_PER_SECOND),
    }, limit


def plain(entry):
    """An entry for programs."""
    return {
        "id": entry.id,
        "at": entry.at / 10_000,
        "key": entry.key,
        "tenant": entry.tenant,
        "lane": entry.request_class,
        "repeat": entry.repeat,
        "end": R(entry.end).name if entry.end else "OPEN",
        "took_ms": entry.took / 10,
        "cut": entry.cut,
        "reasons": [
            {
                "reason": R(note[0]).name,
                "after_ms": note[1] / 10,
                "operands": note[2:],
                "text": SAID[R(note[0])](*note[2:])[0],
            }
            for note in entry.notes
        ],
    }


def shown(entry):
    return {**plain(entry), "lines": explained(entry)}


def answer(line, record, most):
    """What answers a line: lines as bytes, or None for a step without one. A fault is one line, `{"error": ...}`."""
    try:
        told = orjson.loads(line)
        if not isinstance(told, dict):
            raise ValueError("an object is asked for")
        ask = told.get("ask")
        if ask == "why":
            entries = record.by_name(_text(told, "id") or "")
        elif ask == "find":
            fields, limit = _fields(told)
            entries, most = record.find(**fields), min(most, int(limit)) if limit else most
        elif ask in ("tally", "kept"):
            return iter([orjson.dumps(getattr(record, ask)()) + b"\n", b'{"end":1}\n'])
        else:
            raise ValueError("ask: why, find, tally or kept")
    except ValueError as error:  # orjson's errors are such, too
        return iter([orjson.dumps({"error": str(error)}) + b"\n"])
    return _lines(entries, most)


def _lines(entries, most):
    count = 0
    for entry in entries:
        if entry is None:
            yield None
            continue
        yield orjson.dumps(shown(entry)) + b"\n"
        count += 1
        if count >= most:
            break
    yield orjson.dumps({"end": count, **({"more": True} if count >= most else {})}) + b"\n"


class Watch:
    """Entries as they come, for one that watches: so many wait at most, what is beyond is counted and told."""

    MOST = 256

    def __init__(self, fields):
        self.fields, self.waiting, self.missed = fields, [], 0

    def __call__(self, entry):
        lane, tenant, reason = self.fields["lane"], self.fields["tenant"], self.fields["reason"]
        fit = (
            (lane is None or entry.request_class == lane)
            and (tenant is None or entry.tenant == tenant)
            and (reason is None or any(note[0] == reason for note in entry.notes))
        )
        if fit and len(self.waiting) < self.MOST:
            self.waiting.append(entry)
        else:
            self.missed += fit

    def take(self):
        """The lines that wait."""
        entries, self.waiting = self.waiting, []
        lines = [orjson.dumps(shown(entry)) + b"\n" for entry in entries]
        if self.missed:
            lines.append(orjson.dumps({"missed": self.missed}) + b"\n")
            self.missed = 0
        return lines


def watched(line):
    """A Watch if the line asks for one, else None. Raises ValueError."""
    try:
        told = orjson.loads(line)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(told, dict) or told.get("ask") != "watch":
        return None
    return Watch(_fields(told)[0])

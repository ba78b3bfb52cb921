"""The queries' protocol: a line of JSON asks, lines of JSON answer, the last one `{"end": count}`.

Answers are iterators, so that a long search is done a few steps at a time; None stands for a step
that gives no line. Nothing here does input or output.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final, NamedTuple, Optional

import orjson

from ..interface.clock import TICKS_PER_SECOND
from ..interface.reasons import Reason
from .entry_codec import NOTE_HEAD, Entry, Note, note_delay, note_reason, reason_name
from .entry_filter import EntryFilter
from .explanations import explain_entry, sentence_of
from .recorder import Recorder

MAX_LINE_BYTES: Final = 4096
"""Of a query: all its fields at their longest take less."""
MAX_FIELD_LENGTH: Final = 96
"""Characters of a query's text."""
MAX_WAITING: Final = 256
"""Entries that wait for a slow watcher."""
TICKS_PER_MILLISECOND: Final = 10


class QueryError(ValueError):
    """A query that can't be answered; the text names the field and what it must be."""


class FindQuery(NamedTuple):
    """The fields of `find` and `watch`."""

    wanted: EntryFilter
    limit: Optional[float]
    """Most entries of the answer; None or 0 leaves it to the settings."""


def _object(line: bytes) -> dict[str, Any]:
    query = orjson.loads(line)
    if not isinstance(query, dict):
        raise QueryError("an object is asked for")
    return query


def _text(query: Mapping[str, Any], name: str) -> Optional[str]:
    value = query.get(name)
    if value is None or (isinstance(value, str) and 0 < len(value) <= MAX_FIELD_LENGTH):
        return value
    raise QueryError(f"{name}: a text of 1 to {MAX_FIELD_LENGTH} characters is asked for")


def _number(query: Mapping[str, Any], name: str) -> Optional[float]:
    value = query.get(name)
    if value is None:
        return None
    if isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0:
        return value
    raise QueryError(f"{name}: a number is asked for")


def _find_query(query: Mapping[str, Any]) -> FindQuery:
    reason = _text(query, "reason")
    if reason is not None and reason.upper() not in Reason.__members__:
        raise QueryError(f"reason: none of {', '.join(Reason.__members__)}")
    since = _number(query, "since")
    limit = _number(query, "limit")
    wanted = EntryFilter(
        request_class=_text(query, "lane"),
        tenant=_text(query, "tenant"),
        pod=_text(query, "pod"),
        reason=None if reason is None else int(Reason[reason.upper()]),
        since=None if since is None else int(since * TICKS_PER_SECOND),
    )
    return FindQuery(wanted, limit)


def _note_object(note: Note) -> dict[str, Any]:
    return {
        "reason": reason_name(note_reason(note)),
        "after_ms": note_delay(note) / TICKS_PER_MILLISECOND,
        "operands": note[NOTE_HEAD:],
        "text": sentence_of(note).text,
    }


def shown(entry: Entry) -> dict[str, Any]:
    """Returns the JSON object of an entry: its fields for programs, its lines for people."""
    return {
        "id": entry.id,
        "at": entry.at / TICKS_PER_SECOND,
        "key": entry.key,
        "tenant": entry.tenant,
        "lane": entry.request_class,
        "repeat": entry.repeat,
        "end": reason_name(entry.end) if entry.end else "OPEN",
        "took_ms": entry.took / TICKS_PER_MILLISECOND,
        "cut": entry.cut,
        "reasons": [_note_object(note) for note in entry.notes],
        "lines": explain_entry(entry),
    }


def _line(content: Mapping[str, Any]) -> bytes:
    return orjson.dumps(content) + b"\n"


def answer(line: bytes, recorder: Recorder, most: int) -> Iterator[Optional[bytes]]:
    """Answers a query; a faulty one by a single line, `{"error": ...}`.

    Args:
        line: The query.
        recorder: What is asked.
        most: Most entries in the answer, as the operator has set.
    """
    try:
        return _answer(_object(line), recorder, most)
    except ValueError as error:  # orjson's errors are such, too
        return iter([_line({"error": str(error)})])


def _answer(query: Mapping[str, Any], recorder: Recorder, most: int) -> Iterator[Optional[bytes]]:
    match query.get("ask"):
        case "why":
            return _entry_lines(recorder.find_by_name(_text(query, "id") or ""), most)
        case "find":
            wanted, limit = _find_query(query)
            return _entry_lines(recorder.find(wanted), min(most, int(limit)) if limit else most)
        case "tally":
            return iter([_line(recorder.tally_report()), _line({"end": 1})])
        case "kept":
            return iter([_line(recorder.retention_report()), _line({"end": 1})])
        case _:
            raise QueryError("ask: why, find, tally or kept")


def _entry_lines(entries: Iterable[Optional[Entry]], most: int) -> Iterator[Optional[bytes]]:
    count = 0
    for entry in entries:
        if entry is None:
            yield None
            continue
        yield _line(shown(entry))
        count += 1
        if count >= most:
            break
    yield _line({"end": count, "more": True} if count >= most else {"end": count})


class Watch:
    """Entries as they come, for a client that watches.

    A bounded number of them waits until it reads; of those beyond the client is told the number.
    """

    def __init__(self, wanted: EntryFilter) -> None:
        self._wanted = wanted
        self._waiting: list[Entry] = []
        self._missed = 0

    def __call__(self, entry: Entry) -> None:
        """Takes an entry as it is kept."""
        if not self._wanted.matches(entry):
            return
        if len(self._waiting) < MAX_WAITING:
            self._waiting.append(entry)
        else:
            self._missed += 1

    def take(self) -> list[bytes]:
        """Returns the lines that wait."""
        lines = [_line(shown(entry)) for entry in self._waiting]
        self._waiting = []
        if self._missed:
            lines.append(_line({"missed": self._missed}))
            self._missed = 0
        return lines


def watched(line: bytes) -> Optional[Watch]:
    """Returns a watch if the line asks for one.

    Raises:
        QueryError: It does, with a faulty field.
    """
    try:
        query = orjson.loads(line)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(query, dict) or query.get("ask") != "watch":
        return None
    return Watch(_find_query(query).wanted)

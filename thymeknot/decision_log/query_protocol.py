"""The query protocol: a query is a line of JSON, its answer lines of JSON.

The last line of an answer is `{"end": count}`. Answers are iterators, so that a long search can be
done in steps; None is a step that produces no line. This module does no I/O.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final, NamedTuple, Optional

import orjson

from ..interface.clock import TICKS_PER_SECOND
from ..interface.reasons import Reason
from .entry_codec import NOTE_HEADER_LENGTH, Entry, Note, note_elapsed, note_reason, reason_name
from .entry_filter import EntryFilter
from .explanations import explain_entry, explain_note
from .recorder import Recorder

MAX_LINE_BYTES: Final = 4096
"""The maximum length of a query; one with all fields at their maximum length is shorter."""
MAX_FIELD_LENGTH: Final = 96
"""The maximum length of a text field, in characters."""
MAX_WAITING_ENTRIES: Final = 256
"""The maximum number of entries that wait for a slow watcher."""
TICKS_PER_MILLISECOND: Final = 10


class QueryError(ValueError):
    """An invalid query; the message names the field and the allowed values."""


class FindQuery(NamedTuple):
    """The fields of `find` and `watch`."""

    entry_filter: EntryFilter
    limit: Optional[float]
    """The maximum number of entries in the answer; None or 0 selects that of the settings."""


def _parse_object(line: bytes) -> dict[str, Any]:
    query = orjson.loads(line)
    if not isinstance(query, dict):
        raise QueryError("an object is asked for")
    return query


def _text_field(query: Mapping[str, Any], name: str) -> Optional[str]:
    value = query.get(name)
    if value is None or (isinstance(value, str) and 0 < len(value) <= MAX_FIELD_LENGTH):
        return value
    raise QueryError(f"{name}: a text of 1 to {MAX_FIELD_LENGTH} characters is asked for")


def _number_field(query: Mapping[str, Any], name: str) -> Optional[float]:
    value = query.get(name)
    if value is None:
        return None
    if isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0:
        return value
    raise QueryError(f"{name}: a number is asked for")


def _parse_find_query(query: Mapping[str, Any]) -> FindQuery:
    reason = _text_field(query, "reason")
    if reason is not None and reason.upper() not in Reason.__members__:
        raise QueryError(f"reason: none of {', '.join(Reason.__members__)}")
    since = _number_field(query, "since")
    limit = _number_field(query, "limit")
    entry_filter = EntryFilter(
        request_class=_text_field(query, "lane"),
        tenant=_text_field(query, "tenant"),
        endpoint=_text_field(query, "pod"),
        reason=None if reason is None else int(Reason[reason.upper()]),
        since=None if since is None else int(since * TICKS_PER_SECOND),
    )
    return FindQuery(entry_filter, limit)


def _note_object(note: Note) -> dict[str, Any]:
    return {
        "reason": reason_name(note_reason(note)),
        "after_ms": note_elapsed(note) / TICKS_PER_MILLISECOND,
        "operands": note[NOTE_HEADER_LENGTH:],
        "text": explain_note(note).text,
    }


def entry_object(entry: Entry) -> dict[str, Any]:
    """Returns the JSON object of an entry: fields for programs, and `lines` for people."""
    return {
        "id": entry.id,
        "at": entry.received_at / TICKS_PER_SECOND,
        "key": entry.key,
        "tenant": entry.tenant,
        "lane": entry.request_class,
        "repeat": entry.is_retry,
        "end": reason_name(entry.final_reason) if entry.final_reason else "OPEN",
        "took_ms": entry.duration / TICKS_PER_MILLISECOND,
        "cut": entry.omitted_notes,
        "reasons": [_note_object(note) for note in entry.notes],
        "lines": explain_entry(entry),
    }


def _json_line(content: Mapping[str, Any]) -> bytes:
    return orjson.dumps(content) + b"\n"


def answer_query(line: bytes, recorder: Recorder, max_entries: int) -> Iterator[Optional[bytes]]:
    """Answers a query; the answer to an invalid one is a single line, `{"error": ...}`.

    Args:
        line: The query.
        recorder: The recorder whose entries are searched.
        max_entries: The maximum number of entries in the answer, from the settings.
    """
    try:
        return _dispatch(_parse_object(line), recorder, max_entries)
    except ValueError as error:  # includes errors of orjson
        return iter([_json_line({"error": str(error)})])


def _dispatch(
    query: Mapping[str, Any], recorder: Recorder, max_entries: int
) -> Iterator[Optional[bytes]]:
    match query.get("ask"):
        case "why":
            return _entry_lines(recorder.find_by_name(_text_field(query, "id") or ""), max_entries)
        case "find":
            entry_filter, limit = _parse_find_query(query)
            return _entry_lines(
                recorder.find(entry_filter), min(max_entries, int(limit)) if limit else max_entries
            )
        case "tally":
            return iter([_json_line(recorder.tally_report()), _json_line({"end": 1})])
        case "kept":
            return iter([_json_line(recorder.retention_report()), _json_line({"end": 1})])
        case _:
            raise QueryError("ask: why, find, tally or kept")


def _entry_lines(entries: Iterable[Optional[Entry]], max_entries: int) -> Iterator[Optional[bytes]]:
    count = 0
    for entry in entries:
        if entry is None:
            yield None
            continue
        yield _json_line(entry_object(entry))
        count += 1
        if count >= max_entries:
            break
    yield _json_line({"end": count, "more": True} if count >= max_entries else {"end": count})


class Watch:
    """The new entries for a client that watches.

    A limited number of entries waits until the client reads; further ones are only counted, and
    the client receives their number.
    """

    def __init__(self, entry_filter: EntryFilter) -> None:
        self._entry_filter = entry_filter
        self._waiting: list[Entry] = []
        self._missed = 0

    def __call__(self, entry: Entry) -> None:
        """Adds an entry that was just stored."""
        if not self._entry_filter.matches(entry):
            return
        if len(self._waiting) < MAX_WAITING_ENTRIES:
            self._waiting.append(entry)
        else:
            self._missed += 1

    def take_lines(self) -> list[bytes]:
        """Removes and returns the waiting lines."""
        lines = [_json_line(entry_object(entry)) for entry in self._waiting]
        self._waiting = []
        if self._missed:
            lines.append(_json_line({"missed": self._missed}))
            self._missed = 0
        return lines


def parse_watch(line: bytes) -> Optional[Watch]:
    """Returns a watch if the query asks for one, else None.

    Raises:
        QueryError: The query asks for a watch and has an invalid field.
    """
    try:
        query = orjson.loads(line)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(query, dict) or query.get("ask") != "watch":
        return None
    return Watch(_parse_find_query(query).entry_filter)

"""Answers queries from a record that some process has left, with no instance running."""

from collections.abc import Iterator, Mapping
from typing import Any, Final, Optional

from ..decision_log.entry_codec import Entry, pods
from ..decision_log.entry_filter import EntryFilter
from ..decision_log.query_protocol import shown
from ..decision_log.slot_file import load_slot_file
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.reasons import Reason
from .decision_log_client import UnreachableError

MAX_ANSWERS: Final = 10_000
"""Where the query sets no limit; as many as a query may ask for."""


def matching_lines(path: str, query: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    """Yields the objects of the answer, the latest entry first.

    Raises:
        UnreachableError: The file is no record, or the query is for a running instance.
    """
    try:
        record = load_slot_file(path)
    except (OSError, ValueError) as error:
        raise UnreachableError(str(error)) from None
    stored = sorted(record.read_all().entries, key=lambda one: -one.number)
    count = 0
    for one in stored:
        if not _matches(one.entry, query, stored[0].entry.at):
            continue
        count += 1
        yield shown(one.entry)
        if count >= query.get("limit", MAX_ANSWERS):
            break
    yield {"end": count}


def _matches(entry: Entry, query: Mapping[str, Any], latest: Ticks) -> bool:
    match query["ask"]:
        case "why":
            return query["id"] in (entry.id, entry.key)
        case "find":
            return _is_found(entry, query, latest)
        case other:
            raise UnreachableError(f"{other}: asked of a live instance only")


def _is_found(entry: Entry, query: Mapping[str, Any], latest: Ticks) -> bool:
    reason: Optional[str] = query.get("reason")
    wanted = EntryFilter(
        request_class=query.get("lane"),
        tenant=query.get("tenant"),
        reason=int(Reason[reason.upper()]) if reason else None,
    )
    # Back from the record's last entry: it may have been left long ago.
    begin = latest - query["since"] * TICKS_PER_SECOND if "since" in query else None
    return wanted.matches(entry, begin) and ("pod" not in query or query["pod"] in pods(entry))

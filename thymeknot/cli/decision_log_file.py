"""Answers queries from a decision log file without a running instance."""

from collections.abc import Iterator, Mapping
from typing import Any, Final, Optional

from ..decision_log.entry_codec import Entry, endpoints_sent_to
from ..decision_log.entry_filter import EntryFilter
from ..decision_log.query_protocol import entry_object
from ..decision_log.slot_file import load_slot_file
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.reasons import Reason
from .decision_log_client import UnreachableError

DEFAULT_LIMIT: Final = 10_000
"""The limit of a query that sets none; it is the maximum that a query may set."""


def query_file(path: str, query: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    """Yields the objects of the answer, newest entry first.

    Raises:
        UnreachableError: The file is not a decision log, or only an instance can answer the query.
    """
    try:
        slot_file = load_slot_file(path)
    except (OSError, ValueError) as error:
        raise UnreachableError(str(error)) from None
    newest_first = sorted(
        slot_file.read_all().entries, key=lambda stored_entry: -stored_entry.number
    )
    count = 0
    for stored_entry in newest_first:
        if not _matches(stored_entry.entry, query, newest_first[0].entry.received_at):
            continue
        count += 1
        yield entry_object(stored_entry.entry)
        if count >= query.get("limit", DEFAULT_LIMIT):
            break
    yield {"end": count}


def _matches(entry: Entry, query: Mapping[str, Any], newest_at: Ticks) -> bool:
    match query["ask"]:
        case "why":
            return query["id"] in (entry.id, entry.key)
        case "find":
            return _matches_find(entry, query, newest_at)
        case other:
            raise UnreachableError(
                f"{other}: only a running instance can answer this query, not a file"
            )


def _matches_find(entry: Entry, query: Mapping[str, Any], newest_at: Ticks) -> bool:
    reason: Optional[str] = query.get("reason")
    entry_filter = EntryFilter(
        request_class=query.get("lane"),
        tenant=query.get("tenant"),
        reason=int(Reason[reason.upper()]) if reason else None,
    )
    # Relative to the newest entry, since the file may be old.
    earliest = newest_at - query["since"] * TICKS_PER_SECOND if "since" in query else None
    return entry_filter.matches(entry, earliest) and (
        "pod" not in query or query["pod"] in endpoints_sent_to(entry)
    )

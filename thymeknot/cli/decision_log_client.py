"""Queries the decision log of a running instance or in a file."""

import socket
from collections.abc import Iterator, Mapping
from typing import Any, Final, Optional

import orjson

ANSWER_TIMEOUT_SECONDS: Final = 10
"""The maximum time between lines of an answer; an instance gives traffic priority over queries."""
UNIX_PREFIX: Final = "unix:"


class UnreachableError(Exception):
    """The log can't be queried, or not in time; the message names the address or file."""


def query_results(
    address: str, path: Optional[str], query: Mapping[str, Any]
) -> Iterator[dict[str, Any]]:
    """Yields the objects of the answer to a query.

    Args:
        address: The address of an instance, `host:port` or `unix:path`.
        path: The log file to query instead of an instance, or None.
        query: The fields of the query.

    Raises:
        UnreachableError: Raised by the iterator if the log can't be read (further).
    """
    if path:
        # Imported here because it requires the libraries of the decision log.
        from .decision_log_file import query_file  # noqa: PLC0415

        return query_file(path, query)
    return _query_instance(address, query)


def _connect(address: str) -> socket.socket:
    if address.startswith(UNIX_PREFIX):
        connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        connection.settimeout(ANSWER_TIMEOUT_SECONDS)
        connection.connect(address[len(UNIX_PREFIX) :])
        return connection
    host, _, port = address.rpartition(":")
    return socket.create_connection((host.strip("[]"), int(port)), ANSWER_TIMEOUT_SECONDS)


def _query_instance(address: str, query: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    is_watch = query["ask"] == "watch"
    try:
        connection = _connect(address)
        if is_watch:
            connection.settimeout(None)
        with connection, connection.makefile("rb") as source:
            connection.sendall(orjson.dumps(query) + b"\n")
            for line in source:
                answer = orjson.loads(line)
                yield answer
                if not is_watch and _is_last(answer):
                    return
    except (OSError, ValueError) as error:
        raise UnreachableError(f"{address}: {error}") from None


def _is_last(answer: Mapping[str, Any]) -> bool:
    return ("end" in answer and "id" not in answer) or "error" in answer

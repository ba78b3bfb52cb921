"""Asks a running instance's decision log, or a record that was left over."""

import socket
from collections.abc import Iterator, Mapping
from typing import Any, Final, Optional

import orjson

ANSWER_TIMEOUT_SECONDS: Final = 10
"""How long an answer may pause: an instance works on queries beside its traffic."""
UNIX_PREFIX: Final = "unix:"


class UnreachableError(Exception):
    """Nobody answers there, or not in time; the text names the address or file."""


def query_results(
    address: str, path: Optional[str], query: Mapping[str, Any]
) -> Iterator[dict[str, Any]]:
    """Yields the objects of the answer.

    Args:
        address: `host:port` or `unix:path` of an instance.
        path: A left-over record, which is asked in place of an instance; None without one.
        query: The query's fields.

    Raises:
        UnreachableError: With the first object that is missing.
    """
    if path:
        # Only here: it needs the decision log's libraries.
        from .decision_log_file import matching_lines  # noqa: PLC0415

        return matching_lines(path, query)
    return _lines_of_instance(address, query)


def _connected(address: str) -> socket.socket:
    if address.startswith(UNIX_PREFIX):
        connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        connection.settimeout(ANSWER_TIMEOUT_SECONDS)
        connection.connect(address[len(UNIX_PREFIX) :])
        return connection
    host, _, port = address.rpartition(":")
    return socket.create_connection((host.strip("[]"), int(port)), ANSWER_TIMEOUT_SECONDS)


def _lines_of_instance(address: str, query: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    watching = query["ask"] == "watch"
    try:
        connection = _connected(address)
        if watching:
            connection.settimeout(None)
        with connection, connection.makefile("rb") as source:
            connection.sendall(orjson.dumps(query) + b"\n")
            for line in source:
                answer = orjson.loads(line)
                yield answer
                if not watching and _is_last(answer):
                    return
    except (OSError, ValueError) as error:
        raise UnreachableError(f"{address}: {error}") from None


def _is_last(answer: Mapping[str, Any]) -> bool:
    return ("end" in answer and "id" not in answer) or "error" in answer

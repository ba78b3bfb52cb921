"""Asks a live instance, or a record that was left over, and gives the lines of the answer."""

import socket

import orjson

WITHIN = 10  # seconds that an answer may pause


class Unreachable(Exception):
    """Nobody answers there, or not in time."""


def lines_of(place, path, told):
    """Objects, one a line. path: of a left-over record, asked in place of an instance."""
    return _of_file(path, told) if path else _of_instance(place, told)


def _of_instance(place, told):
    try:
        if place.startswith("unix:"):
            connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            connection.settimeout(WITHIN)
            connection.connect(place[5:])
        else:
            host, _, port = place.rpartition(":")
            connection = socket.create_connection((host.strip("[]"), int(port)), WITHIN)
        if told["ask"] == "watch":
            connection.settimeout(None)
        with connection, connection.makefile("rb") as source:
            connection.sendall(orjson.dumps(told) + b"\n")
            for line in source:
                yield (found := orjson.loads(line))
                if told["ask"] != "watch" and (
                    "end" in found and "id" not in found or "error" in found
                ):
                    return
    except (OSError, ValueError) as error:
        raise Unreachable(f"{place}: {error}") from None


def _of_file(path, told):
    from ..decision_log import query_protocol, slot_file
    from ..decision_log.entry_codec import pods
    from ..decision_log.entry_filter import EntryFilter
    from ..interface.reasons import Reason as R

    try:
        left = slot_file.left_over(path)
    except (OSError, ValueError) as error:
        raise Unreachable(str(error)) from None
    found = sorted(left.whole()[0], key=lambda one: -one[1])
    count = 0
    for _, _, entry in found:
        if told["ask"] == "why":
            fit = told["id"] in (entry.id, entry.key)
        elif told["ask"] == "find":
            reason = told.get("reason")
            latest = found[0][2].at
            begin = (
                latest - told["since"] * 10_000 if "since" in told else None
            )  # back from its last entry
            wanted = EntryFilter(
                request_class=told.get("lane"),
                tenant=told.get("tenant"),
                reason=int(R[reason.upper()]) if reason else None,
            )
            fit = wanted.matches(entry, begin)
            fit = fit and ("pod" not in told or told["pod"] in pods(entry))
        else:
            raise Unreachable(f"{told['ask']}: asked of a live instance only")
        if fit:
            count += 1
            yield query_protocol.shown(entry)
            if count >= told.get("limit", 10_000):
                break
    yield {"end": count}

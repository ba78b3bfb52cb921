"""Commands to the fleet's coordination, sent to the Raft nodes, and their replies in words."""

import os
import secrets
import time
from collections.abc import Mapping
from enum import IntEnum
from typing import Any, NamedTuple, Optional

from ..coordination.blocking_client import BlockingClient, NoAnswerError
from ..coordination.feature import build_parts
from ..coordination.settings import CoordinationSettings
from ..interface.clock import TICKS_PER_SECOND
from ..operator_config import loader
from ..raft import message_codec


class ExitCode(IntEnum):
    """Of the `fleet` commands."""

    DONE = 0
    REFUSED = 1
    FAULTY = 2
    """Words or files that can't be used."""
    UNREACHABLE = 3
    """No node answers."""


class CoordinationCommandError(ValueError):
    """The operator's file can't be used for this; the text says why."""


class Answer(NamedTuple):
    """What became of a command."""

    code: ExitCode
    reply: dict[str, Any]
    """The nodes' reply, or one of the same form that says what went wrong."""


def connect(path: Optional[str]) -> BlockingClient:
    """Returns a client with the name and key of an operator's file.

    Raises:
        CoordinationCommandError: The file can't be used, or has no `fleet`.
    """
    try:
        section = loader.load(path).get("fleet") if path else None
    except loader.OperatorConfigError as error:
        raise CoordinationCommandError(
            "\n".join(str(diagnostic) for diagnostic in error.diagnostics)
        ) from None
    if path is None or section is None:
        raise CoordinationCommandError(
            "an operator's file with `fleet` says who the keepers are: --operator FILE"
        )
    settings = loader.to_record(CoordinationSettings, section)
    try:
        made = build_parts(settings, section, os.path.dirname(os.path.abspath(path)))
    except ValueError as error:
        raise CoordinationCommandError(f"{path}: {error}") from None
    return BlockingClient(
        made.identity,
        made.ring,
        {one.name: one.address for one in settings.keepers},
        # Its own for each call: two operators at one instance must not end each other's.
        f"op-{secrets.token_hex(6)}",
        time.time_ns() // 1_000_000,
    )


def send(path: Optional[str], command: dict[str, Any], read: bool, within: float) -> Answer:
    """Sends a command, or a read that changes nothing, and waits for the reply.

    Args:
        path: The operator's file.
        command: Its fields.
        read: Whether it is a read.
        within: Seconds to wait.

    Raises:
        CoordinationCommandError: The operator's file can't be used.
    """
    client = connect(path)
    try:
        if read:
            reply = client.read(command, within)
        else:
            reply = client.propose({"part": "turns", **command}, within)
    except NoAnswerError as error:
        text = f"{error}; it may have been carried out: look at the status"
        return Answer(ExitCode.UNREACHABLE, _refusal(text))
    except message_codec.MessageError as error:
        return Answer(ExitCode.FAULTY, _refusal(str(error)))
    finally:
        client.close()
    return Answer(ExitCode.REFUSED if "refused" in reply else ExitCode.DONE, reply)


def _refusal(text: str) -> dict[str, Any]:
    return {"refused": text, "by": [], "again": 0}


def reply_lines(reply: Mapping[str, Any]) -> list[str]:
    """Returns a reply in words."""
    if "refused" in reply:
        again = reply.get("again")
        return [reply["refused"] + (f"; again in {_seconds(again)} s" if again else "")]
    if "units" in reply and "away" in reply:
        return _status_lines(reply)
    if "halt" in reply:
        bound = _seconds(reply["bound"])
        return [f"halt {reply['halt']} stands; within {bound} s nothing more goes out"]
    if "was" in reply:
        return [f"over: {reply['was']}"]
    if "called" in reply:
        called = ", ".join(reply["called"]) or "none: nothing was out or asked for"
        return [f"called back: {called}"]
    waits = f", {reply['waits']}" if "waits" in reply else ""
    return [f"{reply['unit']}: {reply['state']}{waits}"]


def _seconds(ticks: float) -> str:
    return f"{ticks / TICKS_PER_SECOND:g}"


def _status_lines(reply: Mapping[str, Any]) -> list[str]:
    lines = [f"{reply['units']} units, {reply['out']} out"]
    for name, unit in reply["away"].items():
        parts = [f"  {name}: {unit['state']}"]
        if "waits" in unit:
            parts.append(unit["waits"])
        if "out" in unit:
            parts.append(f"counts as out: {unit['out']}")
        if "fault" in unit:
            parts.append(unit["fault"])
        lines.append(", ".join(map(str, parts)))
    for name, budget in reply["budgets"].items():
        lines.append(f"  budget {name} {budget['said']}; {budget['out']} are")
    return lines + [f"  {sentence}" for sentence in reply["halts"].values()]

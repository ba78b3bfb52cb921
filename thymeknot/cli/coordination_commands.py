"""Sends commands of the `fleet` group to the Raft nodes and formats their replies."""

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
    """The exit codes of the `fleet` commands."""

    DONE = 0
    REFUSED = 1
    INVALID = 2
    """Invalid arguments or files."""
    UNREACHABLE = 3
    """No node responded."""


class CoordinationCommandError(ValueError):
    """The operator file can't be used for `fleet` commands; the message says why."""


class CommandResult(NamedTuple):
    """The result of a command."""

    code: ExitCode
    reply: dict[str, Any]
    """The nodes' reply, or a reply of the same form that describes the error."""


def create_client(path: Optional[str]) -> BlockingClient:
    """Returns a client with the identity that is configured in an operator file.

    Raises:
        CoordinationCommandError: The file is invalid or has no `fleet` section.
    """
    try:
        section = loader.load(path).get("fleet") if path else None
    except loader.OperatorConfigError as error:
        raise CoordinationCommandError(
            "\n".join(str(diagnostic) for diagnostic in error.diagnostics)
        ) from None
    if path is None or section is None:
        raise CoordinationCommandError(
            "the keepers must be listed in the `fleet` section of an operator file: --operator FILE"
        )
    settings = loader.to_record(CoordinationSettings, section)
    try:
        parts = build_parts(settings, section, os.path.dirname(os.path.abspath(path)))
    except ValueError as error:
        raise CoordinationCommandError(f"{path}: {error}") from None
    return BlockingClient(
        parts.identity,
        parts.keyring,
        {member.name: member.address for member in settings.keepers},
        # A new session id for each call: two operators with the same identity must not end each
        # other's session.
        f"op-{secrets.token_hex(6)}",
        time.time_ns() // 1_000_000,
    )


def send_command(
    path: Optional[str], command: dict[str, Any], is_read: bool, timeout_seconds: float
) -> CommandResult:
    """Sends a command and waits for the reply.

    Args:
        path: The path of the operator file.
        command: The fields of the command.
        is_read: Whether the command changes nothing.
        timeout_seconds: The maximum time to wait.

    Raises:
        CoordinationCommandError: The operator file can't be used.
    """
    client = create_client(path)
    try:
        if is_read:
            reply = client.read(command, timeout_seconds)
        else:
            reply = client.propose({"part": "turns", **command}, timeout_seconds)
    except NoAnswerError as error:
        text = f"{error}; the command may have been executed: check the status"
        return CommandResult(ExitCode.UNREACHABLE, _refusal_reply(text))
    except message_codec.MessageError as error:
        return CommandResult(ExitCode.INVALID, _refusal_reply(str(error)))
    finally:
        client.close()
    return CommandResult(ExitCode.REFUSED if "refused" in reply else ExitCode.DONE, reply)


def _refusal_reply(text: str) -> dict[str, Any]:
    return {"refused": text, "by": [], "again": 0}


def reply_lines(reply: Mapping[str, Any]) -> list[str]:
    """Formats a reply as lines of text."""
    if "refused" in reply:
        again = reply.get("again")
        return [reply["refused"] + (f"; try again in {_format_seconds(again)} s" if again else "")]
    if "units" in reply and "away" in reply:
        return _status_lines(reply)
    if "halt" in reply:
        bound = _format_seconds(reply["bound"])
        return [f"halt {reply['halt']} is in effect; no further drain starts after {bound} s"]
    if "was" in reply:
        return [f"ended: {reply['was']}"]
    if "called" in reply:
        called = ", ".join(reply["called"]) or "none: no unit was out or requested"
        return [f"called back: {called}"]
    waiting = f", {reply['waits']}" if "waits" in reply else ""
    return [f"{reply['unit']}: {reply['state']}{waiting}"]


def _format_seconds(ticks: float) -> str:
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

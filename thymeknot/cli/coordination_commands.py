"""`thymeknot fleet`: what is asked of the keepers, and how their replies are said."""

import os
import secrets
import time

from ..coordination.blocking_client import BlockingClient, NoAnswerError
from ..coordination.feature import built
from ..coordination.settings import CoordinationSettings
from ..operator_config import loader
from ..raft import message_codec

DONE, REFUSED, FAULTY, NOBODY = range(4)  # exit codes


class Unusable(ValueError):
    """The operator's file can't be used for this; the text says why."""


def asker(path):
    """Speaks by the name and key of an operator's file. Raises Unusable."""
    try:
        settings = loader.load(path).get("fleet") if path else None
    except loader.OperatorConfigError as error:
        raise Unusable("\n".join(str(fault) for fault in error.faults)) from None
    if settings is None:
        raise Unusable("an operator's file with `fleet` says who the keepers are: --operator FILE")
    told = loader.record(CoordinationSettings, settings)
    try:
        identity, ring, _, _ = built(told, settings, os.path.dirname(os.path.abspath(path)))
    except ValueError as error:
        raise Unusable(f"{path}: {error}") from None
    # A word of its own for each call: two operators at one instance must not end each other's commands.
    return BlockingClient(
        identity,
        ring,
        {one.name: one.address for one in told.keepers},
        f"op-{secrets.token_hex(6)}",
        time.time_ns() // 1_000_000,
    )


def asked(path, command, read, within):
    """(exit code, reply)."""
    one = asker(path)
    try:
        reply = (
            one.read(command, within) if read else one.propose({"part": "turns", **command}, within)
        )
    except NoAnswerError as silent:
        return NOBODY, {
            "refused": f"{silent}; it may have been carried out: look at the status",
            "by": [],
            "again": 0,
        }
    except message_codec.MessageError as bad:
        return FAULTY, {"refused": str(bad), "by": [], "again": 0}
    finally:
        one.close()
    return (REFUSED if "refused" in reply else DONE), reply


def lines(reply):
    """A reply in words."""
    if "refused" in reply:
        again = f"; again in {reply['again'] / 10_000:g} s" if reply.get("again") else ""
        return [reply["refused"] + again]
    if "units" in reply and "away" in reply:
        found = [f"{reply['units']} units, {reply['out']} out"]
        found += [
            f"  {name}: {one['state']}"
            + (f", {one['waits']}" if "waits" in one else "")
            + (f", counts as out: {one['out']}" if "out" in one else "")
            + (f", {one['fault']}" if "fault" in one else "")
            for name, one in reply["away"].items()
        ]
        found += [
            f"  budget {name} {one['said']}; {one['out']} are"
            for name, one in reply["budgets"].items()
        ]
        return found + [f"  {sentence}" for sentence in reply["halts"].values()]
    if "halt" in reply:
        return [
            f"halt {reply['halt']} stands; within {reply['bound'] / 10_000:g} s nothing more goes out"
        ]
    if "was" in reply:
        return [f"over: {reply['was']}"]
    if "called" in reply:
        return [
            "called back: " + (", ".join(reply["called"]) or "none: nothing was out or asked for")
        ]
    return [
        f"{reply['unit']}: {reply['state']}" + (f", {reply['waits']}" if "waits" in reply else "")
    ]

"""Client sessions, which apply each client command once even if it is sent repeatedly."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ..interface.clock import Ticks
from .state_machine import Reply, StateMachine, rejection


class Session(NamedTuple):
    """The last applied command of a session. Fields are stored by position: keep their order.

    Attributes:
        incarnation: Incarnation of the session.
        number: Sequence number of the last applied command.
        reply: Reply to that command.
    """

    incarnation: int
    number: int
    reply: Reply


class ClientSessions:
    """Applies each sequence number of a session at most once and keeps the last reply.

    A session, named by its origin, has one command outstanding at a time: once number 5 is
    applied, number 4 never will be. Beyond `max_sessions` the session whose last command is the
    oldest in the log is evicted. A retry after its eviction would be applied a second time, so
    `max_sessions` must exceed the number of sessions that may be active during the time in which
    clients retry. Source: Ongaro's thesis, 6.3.
    """

    def __init__(self, machine: StateMachine, max_sessions: int) -> None:
        self.machine = machine
        self.max_sessions = max_sessions
        self.by_origin: dict[str, Session] = {}  # by origin, least recently used first

    def known_reply(self, origin: str, incarnation: int, number: int) -> Reply | None:
        """Returns the reply to a command that must not be applied, or None for a new command.

        The reply is the stored one for a repeated command and a rejection for an outdated one.
        """
        session = self.by_origin.get(origin)
        if session is None or (incarnation, number) > (session.incarnation, session.number):
            return None
        if incarnation < session.incarnation:
            return rejection("an older incarnation of this origin", [origin])
        if number < session.number:
            return rejection("a later number of this origin was applied", [origin])
        return session.reply

    def apply(
        self,
        at: Ticks,
        origin: str,
        incarnation: int,
        number: int,
        apply_command: Callable[[Ticks], Reply],
    ) -> Reply:
        """Calls `apply_command(at)` unless the command was applied before; returns the reply."""
        reply = self.known_reply(origin, incarnation, number)
        if reply is not None:
            return reply
        reply = apply_command(at)
        self.by_origin.pop(origin, None)
        self.by_origin[origin] = Session(incarnation, number, reply)
        if len(self.by_origin) > self.max_sessions:
            del self.by_origin[next(iter(self.by_origin))]
        return reply

    def image(self) -> bytes:
        """Encodes the sessions and the state of the state machine."""
        sessions = [[origin, *session] for origin, session in self.by_origin.items()]
        return msgspec.msgpack.encode([sessions, self.machine.image()])

    def load(self, content: bytes) -> None:
        """Restores the sessions and the state of the state machine."""
        sessions, image = msgspec.msgpack.decode(content)
        self.by_origin = {origin: Session(*session) for origin, *session in sessions}
        self.machine.load(image)

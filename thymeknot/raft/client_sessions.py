"""Client sessions: each command of a client is applied once, however often it is sent."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ..interface.clock import Ticks
from .state_machine import Reply, StateMachine, rejection


class Session(NamedTuple):
    """The last command of an origin. Stored by position: the order must not change."""

    incarnation: int
    number: int
    reply: Reply


class ClientSessions:
    """Applies each number of an origin's incarnation once and remembers the last reply.

    An origin sends one command at a time: after number 5 was applied, 4 never is. `max_sessions`
    origins are remembered; beyond them the least recently used one, by its place in the log, is
    dropped. Its retry after that would be applied a second time, so that `max_sessions` must
    exceed the origins that may be active within a retry's time. Source: Ongaro's thesis, 6.3.
    """

    def __init__(self, machine: StateMachine, max_sessions: int) -> None:
        self.machine = machine
        self.max_sessions = max_sessions
        self.by_origin: dict[str, Session] = {}  # least recently used first

    def known_reply(self, origin: str, incarnation: int, number: int) -> Reply | None:
        """The reply to a command that needs no applying, or None.

        It is the former reply to a repeated command, or a rejection of one that is too old.
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
        """Calls apply_command(at) unless this number was applied before; gives the reply."""
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
        """The sessions and the machine's state."""
        sessions = [[origin, *session] for origin, session in self.by_origin.items()]
        return msgspec.msgpack.encode([sessions, self.machine.image()])

    def load(self, content: bytes) -> None:
        """Replaces the sessions and the machine's state."""
        sessions, image = msgspec.msgpack.decode(content)
        self.by_origin = {origin: Session(*session) for origin, *session in sessions}
        self.machine.load(image)

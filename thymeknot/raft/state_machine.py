"""What the log is applied to. A machine is pure: the same commands at the same agreed times give the same replies.

apply(at, command) -> reply     total: it raises for no command, however ill formed, since it would on all keepers
image() -> plain value          all of its state, as msgpack can write it
load(image)                     takes the place of the state it had
"""

import msgspec


def refused(reason, by=(), again=0):
    """A reply that says no. again: tenths of a millisecond."""
    return {"refused": reason, "by": list(by), "again": again}


class Parts:
    """Several machines, told apart by command["part"]."""

    def __init__(self, machines):
        self.machines = machines

    def apply(self, at, command):
        part = command.get("part")
        machine = self.machines.get(part) if isinstance(part, str) else None
        return refused(f"no part {part!r}") if machine is None else machine.apply(at, command)

    def image(self):
        return {name: machine.image() for name, machine in self.machines.items()}

    def load(self, image):
        """A part that the image lacks (an older program wrote it) stays as it is."""
        for name, machine in self.machines.items():
            if name in image:
                machine.load(image[name])


class Sessions:
    """Each number of an origin's incarnation is applied once, and the last reply is remembered.

    An origin sends one command at a time: after number 5 was applied, 4 never is. `most` origins are remembered; beyond
    them the one that was heard of least lately, by its place in the log, is dropped: its retry after that would be
    applied a second time, so that `most` must exceed the origins that may be active within a retry's time.
    Source: Ongaro's thesis, 6.3."""

    def __init__(self, machine, most):
        self.machine, self.most, self.origins = machine, most, {}  # in the order of their last word

    def known(self, origin, incarnation, number):
        """The reply if this needs no applying: a repeated one, or what says why it can't be."""
        session = self.origins.get(origin)
        if (
            session is None
            or incarnation > session[0]
            or (incarnation == session[0] and number > session[1])
        ):
            return None
        if incarnation < session[0]:
            return refused("an older incarnation of this origin", [origin])
        if number < session[1]:
            return refused("a later number of this origin was applied", [origin])
        return session[2]

    def apply(self, at, origin, incarnation, number, work):
        """work(at) -> reply is called unless the number was. Gives the reply."""
        reply = self.known(origin, incarnation, number)
        if reply is not None:
            return reply
        reply = work(at)
        self.origins.pop(origin, None)
        self.origins[origin] = (incarnation, number, reply)
        if len(self.origins) > self.most:
            del self.origins[next(iter(self.origins))]
        return reply

    def image(self):
        """Bytes."""
        return msgspec.msgpack.encode(
            [[[name, *session] for name, session in self.origins.items()], self.machine.image()]
        )

    def load(self, content):
        origins, image = msgspec.msgpack.decode(content)
        self.origins = {name: tuple(session) for name, *session in origins}
        self.machine.load(image)

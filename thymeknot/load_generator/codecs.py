"""Protocols that the load tool speaks. A speaker belongs to one connection: it writes a request and tells what came."""

from ..protocol import resp


class Resp2:
    """The sidecar's own, one transaction at a time."""

    def __init__(self):
        self.parser = resp.Parser()

    def request(self, request, left):
        """The bytes of a request whose client waits for so long (tenths of a millisecond)."""
        told = f"c={request.lane.name},t={request.tenant},d={max(1, left // 10)}"
        verb = b"SVC.QUERY" if request.lane.kind == "read" else b"SVC.SUBMIT"
        words = [verb, request.key.encode(), request.id.encode()]
        if request.lane.kind == "marked":
            told += f",k={request.id}"
        words.append(told.encode())
        return resp.command(words if request.lane.kind == "read" else [*words, b"x"])

    def heard(self, data):
        """How requests ended, in order; Malformed where it can't be read."""
        for message in self.parser.feed(data):
            if isinstance(message, resp.Failure):
                yield "deferred" if message.text.split(" ")[0] == "BUSY" else "abandoned"
            else:
                first = message[0] if isinstance(message, list) and message else message
                yield "done" if isinstance(first, memoryview) else "abandoned"


SPEAKERS = {"resp2": Resp2}

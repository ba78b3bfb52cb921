"""Hosts instances of the decision module on standard input and output, speaking the simulator's wire."""

import sys

from ..interface.enums import UpdateKind
from ..interface.events import EndpointUpdate
from ..policy.engine import DecisionEngine
from . import codec

MESSAGES = {"NEW_INSTANCE", "KILLED", "ANNOUNCE", *codec.EVENTS}


class Host:
    """The instances of one process. They share nothing but the numbered lists that the wire itself shares."""

    def __init__(self):
        self.instances = {}
        self.lists = {}

    def batch(self, now, lines):
        """The reply lines to one batch. Each instance is given its events of the batch in one call."""
        inboxes, replies, rows = {}, [], None
        for text in lines:
            try:
                rows = self._line(now, text, inboxes, replies, rows)
            except codec.MalformedLineError as error:
                raise codec.MalformedLineError(f"{error}: {text!r}") from None
        if rows:
            raise codec.MalformedLineError("the batch ends inside a CENSUS")
        for name, events in inboxes.items():
            self._decide(now, name, events, replies)
        return replies

    def _line(self, now, text, inboxes, replies, rows):
        name, *values = text.split(" ")
        if rows or name == "ENTRY":
            if name != "ENTRY" or not rows:
                raise codec.MalformedLineError(
                    "an ENTRY out of place" if name == "ENTRY" else "a CENSUS cut short"
                )
            table, left = rows
            self.lists[table].append(codec.read_endpoint(values))
            return (table, left - 1) if left > 1 else None
        if name == "CENSUS":
            try:
                table, count = (int(value) for value in values)
            except ValueError:
                raise codec.MalformedLineError("CENSUS takes a number and a count") from None
            self.lists[table] = []
            return (table, count) if count else None
        if name not in MESSAGES:
            raise codec.MalformedLineError("no such message")
        if not values:
            raise codec.MalformedLineError("no instance named")
        instance, *values = values
        if name == "NEW_INSTANCE":
            self._start(now, instance, values, inboxes, replies)
        elif instance not in self.instances:
            raise codec.MalformedLineError("an event for an unknown instance")
        elif name == "KILLED":
            inboxes.pop(instance, None)
            del self.instances[instance]
        elif name == "ANNOUNCE":
            inboxes.setdefault(instance, []).append(self._announced(values))
        else:
            inboxes.setdefault(instance, []).append(codec.read_event(name, values))
        return None

    def _start(self, now, instance, values, inboxes, replies):
        try:
            seed = int(values[0])
        except (IndexError, ValueError):
            raise codec.MalformedLineError("NEW_INSTANCE without a seed") from None
        inboxes.pop(instance, None)
        settings = codec.read_settings(values[1:])
        try:
            self.instances[instance] = DecisionEngine(settings, seed, now)
        except Exception as error:  # whatever the decisions raise has to reach the operators
            replies.append(codec.write_fault(instance, f"{type(error).__name__}: {error}"))

    def _announced(self, values):
        try:
            how, _, table = values
            kind = codec.LIST_KINDS[how]
            pods = () if kind == UpdateKind.FETCH_FAILED else tuple(self.lists[int(table)])
        except (ValueError, KeyError):
            raise codec.MalformedLineError("ANNOUNCE: bad value") from None
        return EndpointUpdate(kind, pods)

    def _decide(self, now, instance, events, replies):
        try:
            actions = self.instances[instance].handle(now, events)
            replies.extend(codec.write_action(instance, action) for action in actions)
        except Exception as error:  # whatever the decisions raise has to reach the operators
            replies.append(codec.write_fault(instance, f"{type(error).__name__}: {error}"))


def serve(source, sink):
    """Answers batches until the input ends."""
    host, now, lines = Host(), None, []
    for text in source:
        text = text.rstrip("\n")
        if text.startswith("BATCH "):
            if now is not None:
                raise codec.MalformedLineError(f"a BATCH inside a batch: {text!r}")
            try:
                now = codec.read_time(text[6:])
            except ValueError:
                raise codec.MalformedLineError(f"BATCH without a clock: {text!r}") from None
        elif now is None:
            if text:
                raise codec.MalformedLineError(f"a line outside a batch: {text!r}")
        elif text == "YOUR_TURN":
            sink.write("\n".join(host.batch(now, lines) + ["OK\n"]))
            sink.flush()
            now, lines = None, []
        elif text:
            lines.append(text)
    if now is not None:
        raise codec.MalformedLineError("the input ends inside a batch")


def main():
    try:
        serve(sys.stdin, sys.stdout)
    except codec.MalformedLineError as error:
        print(f"simulator_wire: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

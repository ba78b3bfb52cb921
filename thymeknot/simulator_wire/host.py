"""Hosts decision engines on standard input and output, for the users' simulator."""

import sys
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Protocol, TextIO

from ..interface.actions import Action
from ..interface.clock import Ticks
from ..interface.enums import UpdateKind
from ..interface.events import Endpoint, EndpointUpdate, Event
from ..interface.settings import Settings
from ..policy.engine import DecisionEngine
from . import codec

MESSAGE_NAMES = {"NEW_INSTANCE", "KILLED", "ANNOUNCE", *codec.EVENTS}
BATCH_START = "BATCH "
BATCH_END = "YOUR_TURN"


class Engine(Protocol):
    """What is hosted: it answers the events of a moment with actions."""

    def handle(self, now: Ticks, events: list[Event], /) -> Iterable[Action]:
        """Returns the actions that the events of this moment lead to."""


ENGINE_FACTORY: Callable[[Settings, int, Ticks], Engine] = DecisionEngine
"""Makes the engine of a new instance from its settings, its seed and the time."""


class IncompleteCensus(NamedTuple):
    """A CENSUS whose ENTRY lines are being read."""

    list_number: int
    """The number of the endpoint list."""
    remaining: int
    """How many ENTRY lines follow."""


class Host:
    """The instances of one process.

    They share nothing but the numbered endpoint lists that the protocol itself shares.

    Attributes:
        instances: The engine of each running instance, by its name.
        lists: The endpoint lists, by their number.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Engine] = {}
        self.lists: dict[int, list[Endpoint]] = {}

    def batch(self, now: Ticks, lines: Iterable[str]) -> list[str]:
        """Handles the lines of one batch; each instance gets its events in one call.

        Returns:
            The lines of the reply.

        Raises:
            MalformedLineError: A line is not allowed; the text quotes it.
        """
        events_by_instance: dict[str, list[Event]] = {}
        replies: list[str] = []
        census: IncompleteCensus | None = None
        for text in lines:
            try:
                census = self._read_line(now, text, events_by_instance, replies, census)
            except codec.MalformedLineError as error:
                raise codec.MalformedLineError(f"{error}: {text!r}") from None
        if census:
            raise codec.MalformedLineError("the batch ends inside a CENSUS")
        for name, events in events_by_instance.items():
            self._handle_events(now, name, events, replies)
        return replies

    def _read_line(
        self,
        now: Ticks,
        text: str,
        events_by_instance: dict[str, list[Event]],
        replies: list[str],
        census: IncompleteCensus | None,
    ) -> IncompleteCensus | None:
        """Takes in one line; returns the CENSUS that it leaves open."""
        name, *values = text.split(" ")
        if census or name == "ENTRY":
            return self._read_entry(name, values, census)
        if name == "CENSUS":
            return self._open_census(values)
        if name not in MESSAGE_NAMES:
            raise codec.MalformedLineError("no such message")
        if not values:
            raise codec.MalformedLineError("no instance named")
        instance, *values = values
        if name == "NEW_INSTANCE":
            self._start_instance(now, instance, values, events_by_instance, replies)
        elif instance not in self.instances:
            raise codec.MalformedLineError("an event for an unknown instance")
        elif name == "KILLED":
            events_by_instance.pop(instance, None)
            del self.instances[instance]
        elif name == "ANNOUNCE":
            events_by_instance.setdefault(instance, []).append(self._endpoint_update(values))
        else:
            events_by_instance.setdefault(instance, []).append(codec.read_event(name, values))
        return None

    def _read_entry(
        self, name: str, values: Sequence[str], census: IncompleteCensus | None
    ) -> IncompleteCensus | None:
        if name != "ENTRY" or not census:
            raise codec.MalformedLineError(
                "an ENTRY out of place" if name == "ENTRY" else "a CENSUS cut short"
            )
        list_number, remaining = census
        self.lists[list_number].append(codec.read_endpoint(values))
        return IncompleteCensus(list_number, remaining - 1) if remaining > 1 else None

    def _open_census(self, values: Sequence[str]) -> IncompleteCensus | None:
        try:
            list_number, count = (int(value) for value in values)
        except ValueError:
            raise codec.MalformedLineError("CENSUS takes a number and a count") from None
        self.lists[list_number] = []
        return IncompleteCensus(list_number, count) if count else None

    def _start_instance(
        self,
        now: Ticks,
        instance: str,
        values: Sequence[str],
        events_by_instance: dict[str, list[Event]],
        replies: list[str],
    ) -> None:
        try:
            seed = int(values[0])
        except (IndexError, ValueError):
            raise codec.MalformedLineError("NEW_INSTANCE without a seed") from None
        events_by_instance.pop(instance, None)
        settings = codec.read_settings(values[1:])
        try:
            self.instances[instance] = ENGINE_FACTORY(settings, seed, now)
        except Exception as error:  # whatever the engine raises has to reach the operators
            replies.append(codec.write_fault(instance, f"{type(error).__name__}: {error}"))

    def _endpoint_update(self, values: Sequence[str]) -> EndpointUpdate:
        try:
            kind_name, _, list_number = values
            kind = codec.UPDATE_KINDS[kind_name]
            endpoints = (
                () if kind == UpdateKind.FETCH_FAILED else tuple(self.lists[int(list_number)])
            )
        except (ValueError, KeyError):
            raise codec.MalformedLineError("ANNOUNCE: bad value") from None
        return EndpointUpdate(kind, endpoints)

    def _handle_events(
        self, now: Ticks, instance: str, events: list[Event], replies: list[str]
    ) -> None:
        try:
            actions = self.instances[instance].handle(now, events)
            replies.extend(codec.write_action(instance, action) for action in actions)
        except Exception as error:  # whatever the engine raises has to reach the operators
            replies.append(codec.write_fault(instance, f"{type(error).__name__}: {error}"))


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answers batches of lines until the input ends.

    Raises:
        MalformedLineError: A line is not allowed.
    """
    host = Host()
    now: Ticks | None = None
    lines: list[str] = []
    for line in source:
        text = line.rstrip("\n")
        if text.startswith(BATCH_START):
            now = _batch_time(text, now)
        elif now is None:
            if text:
                raise codec.MalformedLineError(f"a line outside a batch: {text!r}")
        elif text == BATCH_END:
            sink.write("\n".join([*host.batch(now, lines), "OK\n"]))
            sink.flush()
            now = None
            lines = []
        elif text:
            lines.append(text)
    if now is not None:
        raise codec.MalformedLineError("the input ends inside a batch")


def _batch_time(text: str, open_batch_time: Ticks | None) -> Ticks:
    if open_batch_time is not None:
        raise codec.MalformedLineError(f"a BATCH inside a batch: {text!r}")
    try:
        return codec.read_time(text.removeprefix(BATCH_START))
    except ValueError:
        raise codec.MalformedLineError(f"BATCH without a clock: {text!r}") from None


def main() -> int:
    """Serves standard input; returns the exit code."""
    try:
        serve(sys.stdin, sys.stdout)
    except codec.MalformedLineError as error:
        print(f"simulator_wire: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

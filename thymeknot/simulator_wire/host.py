"""Runs decision engines for the external simulator, on standard input and output."""

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
    """A hosted decision engine."""

    def handle(self, now: Ticks, events: list[Event], /) -> Iterable[Action]:
        """Handles the events of one point in time, and returns the resulting actions."""


ENGINE_FACTORY: Callable[[Settings, int, Ticks], Engine] = DecisionEngine
"""Creates the engine of a new instance from its settings, its seed and the current time."""


class IncompleteCensus(NamedTuple):
    """A CENSUS (endpoint list) with ENTRY lines still to come."""

    list_number: int
    """The number by which ANNOUNCE lines refer to the list."""
    remaining: int
    """The number of ENTRY lines still to come."""


class Host:
    """The instances in this process.

    They share only the numbered endpoint lists, which the protocol defines as shared.

    Attributes:
        instances: The engines of the running instances, by instance name.
        lists: The endpoint lists, by number.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Engine] = {}
        self.lists: dict[int, list[Endpoint]] = {}

    def batch(self, now: Ticks, lines: Iterable[str]) -> list[str]:
        """Handles the lines of one batch, with one engine call for each instance that has events.

        Returns:
            The lines of the reply.

        Raises:
            MalformedLineError: A line violates the protocol; the text quotes it.
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
            raise codec.MalformedLineError("batch ends within a CENSUS")
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
        """Handles one line; returns the CENSUS that is incomplete after it, if any."""
        name, *values = text.split(" ")
        if census or name == "ENTRY":
            return self._read_entry(name, values, census)
        if name == "CENSUS":
            return self._open_census(values)
        if name not in MESSAGE_NAMES:
            raise codec.MalformedLineError("unknown message")
        if not values:
            raise codec.MalformedLineError("instance missing")
        instance, *values = values
        if name == "NEW_INSTANCE":
            self._start_instance(now, instance, values, events_by_instance, replies)
        elif instance not in self.instances:
            raise codec.MalformedLineError("event for an unknown instance")
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
                "ENTRY outside of a CENSUS"
                if name == "ENTRY"
                else "CENSUS with too few ENTRY lines"
            )
        list_number, remaining = census
        self.lists[list_number].append(codec.read_endpoint(values))
        return IncompleteCensus(list_number, remaining - 1) if remaining > 1 else None

    def _open_census(self, values: Sequence[str]) -> IncompleteCensus | None:
        try:
            list_number, count = (int(value) for value in values)
        except ValueError:
            raise codec.MalformedLineError(
                "CENSUS takes two integers, the number and the length of the list"
            ) from None
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
            raise codec.MalformedLineError("NEW_INSTANCE without an integer seed") from None
        events_by_instance.pop(instance, None)
        settings = codec.read_settings(values[1:])
        try:
            self.instances[instance] = ENGINE_FACTORY(settings, seed, now)
        except Exception as error:  # any exception of the engine is reported to the simulator
            replies.append(codec.write_fault(instance, f"{type(error).__name__}: {error}"))

    def _endpoint_update(self, values: Sequence[str]) -> EndpointUpdate:
        try:
            kind_name, _, list_number = values
            kind = codec.UPDATE_KINDS[kind_name]
            endpoints = (
                () if kind == UpdateKind.FETCH_FAILED else tuple(self.lists[int(list_number)])
            )
        except (ValueError, KeyError):
            raise codec.MalformedLineError(
                "ANNOUNCE with an invalid value or an unknown endpoint list"
            ) from None
        return EndpointUpdate(kind, endpoints)

    def _handle_events(
        self, now: Ticks, instance: str, events: list[Event], replies: list[str]
    ) -> None:
        try:
            actions = self.instances[instance].handle(now, events)
            replies.extend(codec.write_action(instance, action) for action in actions)
        except Exception as error:  # any exception of the engine is reported to the simulator
            replies.append(codec.write_fault(instance, f"{type(error).__name__}: {error}"))


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Handles batches of lines until the input ends.

    Raises:
        MalformedLineError: A line violates the protocol.
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
                raise codec.MalformedLineError(f"line outside of a batch: {text!r}")
        elif text == BATCH_END:
            sink.write("\n".join([*host.batch(now, lines), "OK\n"]))
            sink.flush()
            now = None
            lines = []
        elif text:
            lines.append(text)
    if now is not None:
        raise codec.MalformedLineError("input ends within a batch")


def _batch_time(text: str, open_batch_time: Ticks | None) -> Ticks:
    if open_batch_time is not None:
        raise codec.MalformedLineError(f"BATCH within a batch: {text!r}")
    try:
        return codec.read_time(text.removeprefix(BATCH_START))
    except ValueError:
        raise codec.MalformedLineError(f"BATCH without a time in nanoseconds: {text!r}") from None


def main() -> int:
    """Serves the simulator on standard input; returns the exit code."""
    try:
        serve(sys.stdin, sys.stdout)
    except codec.MalformedLineError as error:
        print(f"simulator_wire: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

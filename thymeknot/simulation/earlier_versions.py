"""Runs the decision engine of an earlier git revision, for comparison with the current one.

The whole package of the revision is extracted from git and imported under a different name. Events
and actions are converted field by field in order: since the first revision only the names of their
fields have changed, not their order.
"""

import atexit
import importlib
import os
import subprocess
import sys
import tempfile
from functools import cache
from hashlib import blake2b
from types import ModuleType
from typing import Any, NamedTuple

from ..interface import actions, events
from ..interface.clock import Ticks
from ..interface.settings import RequestClass, Settings
from .shared_services import OriginalPollInterval

REPOSITORY_ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Former names of the types of the interface, by current name.
FORMER_TYPE_NAMES = {
    "Endpoint": "Pod",
    "EndpointUpdate": "PodList",
    "RequestReceived": "Taken",
    "ResponseStarted": "StreamBegan",
    "AttemptEnded": "Ended",
    "LateResponseSeen": "AnsweredUnheard",
    "SuspicionReported": "Doubted",
    "ClientDisconnected": "ClientLeft",
    "TimerFired": "TimerDue",
    "ProbeEnded": "Probed",
    "PeerMessage": "Message",
    "ReleaseUpdate": "News",
    "FleetCounts": "Tally",
    "ComplaintReceived": "Complaint",
    "SendAttempt": "Deliver",
    "CancelAttempt": "Recall",
    "Reject": "Defer",
    "Fail": "Abandon",
    "SetTimer": "SetTimer",
    "ProbeEndpoint": "Probe",
    "CloseIdleConnections": "CloseIdle",
    "SendPeerMessage": "Tell",
    "SubscribeToEndpoints": "Subscribe",
    "FetchEndpoints": "FetchList",
    "CastVote": "Vote",
    "LogNote": "Note",
    "RequestClass": "Lane",
    "Settings": "Terms",
}
# Former names of the settings, by current name.
FORMER_SETTING_NAMES = {
    "request_classes": "lanes",
    "instances": "balancers",
    "lists_polled": "subscribes",
    "max_attempts": "max_deliveries",
    "hedging_allowed": "second_copies",
    "cancellation_allowed": "may_recall",
    "retry_after_allowed": "retry_after",
    "load_metrics": "reports",
    "poll_within": "ask_within",
    "warmup_initial_fraction": "cold_from",
    "warmup_duration": "cold",
    "overload_factor": "fall_multiple",
    "overload_window": "overload_for",
    "exposure_allowance": "allowance",
    "stage_fractions": "waves",
    "exposure_by_class": "by_lane",
    "sticky_keys": "keys_stay",
    "replaces_machines": "replaces",
    "promotion_mode": "decided_by",
    "vote_lifetime": "vote_life",
    "vote_timeout": "vote_wait",
    "votes_per_second": "votes_per_s",
}
# Current types of actions, by current and by former name.
CURRENT_ACTIONS: dict[str, Any] = {
    name: getattr(actions, current)
    for current, former in FORMER_TYPE_NAMES.items()
    if hasattr(actions, current)
    for name in (current, former)
}


class UnknownRevisionError(ValueError):
    """The revision does not exist or contains no decision engine."""


class EarlierEngine:
    """Decision engine of an earlier version that takes and returns current types."""

    def __init__(self, interface: ModuleType, engine: Any) -> None:
        self._interface = interface
        self._engine = engine

    def handle(self, now: Ticks, received: list[Any]) -> list[Any]:
        """Returns the actions that follow from events; ignores events that the version lacks."""
        translated = [translate_event(event, self._interface) for event in received]
        answered_actions = self._engine.handle(
            now, [event for event in translated if event is not None]
        )
        return [CURRENT_ACTIONS[type(action).__name__](*action) for action in answered_actions]


class EarlierVersion(NamedTuple):
    """Creates decision engines of an earlier version.

    Attributes:
        interface: Module with the version's settings, events and actions.
        create_engine: The version's class of decision engines.
        poll_interval_type: Class that determines how often the version polls; see `PollInterval`.
    """

    interface: ModuleType
    create_engine: Any
    poll_interval_type: Any

    def __call__(self, settings: Settings, seed: int, now: Ticks) -> EarlierEngine:
        """Returns an engine with these settings."""
        engine = self.create_engine(translate_settings(settings, self.interface), seed, now)
        return EarlierEngine(self.interface, engine)


def former_type(name: str, interface: ModuleType) -> Any:
    """Returns a type of an earlier version.

    Args:
        name: Current name of the type.
        interface: The version's interface.

    Returns:
        The type, or None if the version lacks it.
    """
    return getattr(interface, FORMER_TYPE_NAMES[name], None) or getattr(interface, name, None)


def translate_event(event: Any, interface: ModuleType) -> Any:
    """Converts an event to the types of an earlier version.

    Args:
        event: An event of the current interface.
        interface: The version's interface.

    Returns:
        The event, or None if the version lacks its type.
    """
    event_type = former_type(type(event).__name__, interface)
    if event_type is None:
        return None
    values = tuple(event)[: len(event_type._fields)]
    if isinstance(event, events.EndpointUpdate):
        endpoint_type = former_type("Endpoint", interface)
        endpoints = tuple(
            endpoint_type(*fields[: len(endpoint_type._fields)]) for fields in event.endpoints
        )
        values = (event.kind, endpoints)
    return event_type(*values)


def translate_settings(settings: Settings, interface: ModuleType) -> Any:
    """Converts settings to the types of an earlier version.

    Args:
        settings: The current settings.
        interface: The version's interface.
    """
    settings_type = former_type("Settings", interface)
    values = {
        FORMER_SETTING_NAMES.get(name, name): value for name, value in settings._asdict().items()
    }
    values.update(settings._asdict())
    for field in ("request_classes", "lanes"):
        values[field] = {
            name: _translate_request_class(request_class, interface)
            for name, request_class in settings.request_classes.items()
        }
    return settings_type(**{name: values[name] for name in settings_type._fields})


def _translate_request_class(request_class: RequestClass, interface: ModuleType) -> Any:
    class_type = former_type("RequestClass", interface)
    return class_type(*request_class[: len(class_type._fields)])


@cache
def load_version(revision: str) -> EarlierVersion:
    """Extracts and imports the package of a git revision, once per process.

    Raises:
        UnknownRevisionError: The revision does not exist or contains no decision engine.
    """
    package = f"thymeknot_{blake2b(revision.encode(), digest_size=4).hexdigest()}"
    directory = tempfile.TemporaryDirectory()
    atexit.register(directory.cleanup)
    _unpack(revision, directory.name, package)
    sys.path.insert(0, directory.name)
    try:
        interface, create_engine = _import_decision_engine(package)
        interval_module = _import_first(
            (f"{package}.polling.adaptive_interval", f"{package}.asking.pace")
        )
    finally:
        sys.path.remove(directory.name)
    poll_interval_type = (
        OriginalPollInterval
        if interval_module is None
        else getattr(interval_module, "AdaptiveInterval", None) or interval_module.Pace
    )
    return EarlierVersion(interface, create_engine, poll_interval_type)


def _unpack(revision: str, directory: str, package: str) -> None:
    command = ["git", "-C", REPOSITORY_ROOT, "archive", "--format=tar", revision, "thymeknot"]
    archive = subprocess.run(command, capture_output=True, check=False)
    if archive.returncode:
        raise UnknownRevisionError(
            f"cannot read revision {revision}: {archive.stderr.decode().strip()}"
        )
    subprocess.run(["tar", "-x", "-C", directory], input=archive.stdout, check=True)
    os.rename(os.path.join(directory, "thymeknot"), os.path.join(directory, package))


def _import_decision_engine(package: str) -> tuple[ModuleType, Any]:
    engine = _import_first((f"{package}.policy.engine", f"{package}.balance"))
    if engine is None:
        raise UnknownRevisionError(f"{package}: the revision contains no decision engine")
    interface = importlib.import_module(f"{package}.interface")
    if hasattr(interface, "__path__"):
        merged = ModuleType(f"{package}.all_of_interface")
        for part in ("settings", "events", "actions"):
            vars(merged).update(vars(importlib.import_module(f"{package}.interface.{part}")))
        interface = merged
    create_engine = getattr(engine, "DecisionEngine", None) or getattr(engine, "Balancer", None)
    return interface, create_engine


def _import_first(names: tuple[str, ...]) -> ModuleType | None:
    for name in names:
        try:
            return importlib.import_module(name)
        except ModuleNotFoundError:
            continue
    return None

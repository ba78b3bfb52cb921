"""The decisions as they were at an earlier revision of this repository, played beside today's.

The whole package of that revision is taken from git under a name of its own. Events are handed
over, and actions taken back, field by field: their order has not changed since the first revision,
only names have.
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

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
TODAYS_ACTIONS: dict[str, Any] = {
    name: getattr(actions, today)
    for today, former in FORMER_TYPE_NAMES.items()
    if hasattr(actions, today)
    for name in (today, former)
}


class UnknownRevisionError(ValueError):
    """Git has no such revision, or it holds no decisions."""


class EarlierEngine:
    """An instance of an earlier version, told and answering in today's types."""

    def __init__(self, interface: ModuleType, engine: Any) -> None:
        self._interface = interface
        self._engine = engine

    def handle(self, now: Ticks, told: list[Any]) -> list[Any]:
        """The actions that follow from events; events unknown to the version are left out."""
        translated = [translate(event, self._interface) for event in told]
        answers = self._engine.handle(now, [event for event in translated if event is not None])
        return [TODAYS_ACTIONS[type(action).__name__](*action) for action in answers]


class EarlierVersion(NamedTuple):
    """Makes instances of an earlier version; `pace` is how often that version polled."""

    interface: ModuleType
    make: Any
    pace: Any

    def __call__(self, settings: Settings, seed: int, now: Ticks) -> EarlierEngine:
        """An instance with these settings."""
        made = self.make(translate_settings(settings, self.interface), seed, now)
        return EarlierEngine(self.interface, made)


def type_of(name: str, interface: ModuleType) -> Any:
    """The earlier version's type of today's name, or None if it has none."""
    return getattr(interface, FORMER_TYPE_NAMES[name], None) or getattr(interface, name, None)


def translate(event: Any, interface: ModuleType) -> Any:
    """An event in the types of an earlier version, or None if it has none for it."""
    kind = type_of(type(event).__name__, interface)
    if kind is None:
        return None
    values = tuple(event)[: len(kind._fields)]
    if isinstance(event, events.EndpointUpdate):
        endpoint = type_of("Endpoint", interface)
        listed = tuple(endpoint(*one[: len(endpoint._fields)]) for one in event.endpoints)
        values = (event.kind, listed)
    return kind(*values)


def translate_settings(settings: Settings, interface: ModuleType) -> Any:
    """The settings in the types of an earlier version."""
    kind = type_of("Settings", interface)
    values = {
        FORMER_SETTING_NAMES.get(name, name): value for name, value in settings._asdict().items()
    }
    values.update(settings._asdict())
    for field in ("request_classes", "lanes"):
        values[field] = {
            name: _request_class(one, interface) for name, one in settings.request_classes.items()
        }
    return kind(**{name: values[name] for name in kind._fields})


def _request_class(request_class: RequestClass, interface: ModuleType) -> Any:
    kind = type_of("RequestClass", interface)
    return kind(*request_class[: len(kind._fields)])


@cache
def load_version(revision: str) -> EarlierVersion:
    """The version of a revision, taken from git once a process. Raises UnknownRevisionError."""
    package = f"thymeknot_{blake2b(revision.encode(), digest_size=4).hexdigest()}"
    folder = tempfile.TemporaryDirectory()
    atexit.register(folder.cleanup)
    _unpack(revision, folder.name, package)
    sys.path.insert(0, folder.name)
    try:
        interface, make = _decisions(package)
        pace = _first_of((f"{package}.polling.adaptive_interval", f"{package}.asking.pace"))
    finally:
        sys.path.remove(folder.name)
    kind = (
        OriginalPollInterval
        if pace is None
        else getattr(pace, "AdaptiveInterval", None) or pace.Pace
    )
    return EarlierVersion(interface, make, kind)


def _unpack(revision: str, folder: str, package: str) -> None:
    command = ["git", "-C", ROOT, "archive", "--format=tar", revision, "thymeknot"]
    archive = subprocess.run(command, capture_output=True, check=False)
    if archive.returncode:
        raise UnknownRevisionError(f"{revision}: {archive.stderr.decode().strip()}")
    subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
    os.rename(os.path.join(folder, "thymeknot"), os.path.join(folder, package))


def _decisions(package: str) -> tuple[ModuleType, Any]:
    engine = _first_of((f"{package}.policy.engine", f"{package}.balance"))
    if engine is None:
        raise UnknownRevisionError(f"{package}: no decisions")
    interface = importlib.import_module(f"{package}.interface")
    if hasattr(interface, "__path__"):
        merged = ModuleType(f"{package}.all_of_interface")
        for part in ("settings", "events", "actions"):
            vars(merged).update(vars(importlib.import_module(f"{package}.interface.{part}")))
        interface = merged
    make = getattr(engine, "DecisionEngine", None) or getattr(engine, "Balancer", None)
    return interface, make


def _first_of(names: tuple[str, ...]) -> ModuleType | None:
    for name in names:
        try:
            return importlib.import_module(name)
        except ModuleNotFoundError:
            continue
    return None

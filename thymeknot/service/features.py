"""The features that an operator's file switches on; without it nothing of them is imported."""

import os
from collections.abc import Callable
from importlib import import_module
from types import ModuleType
from typing import Any, Final, NamedTuple, Protocol

from . import structured_log
from .required_libraries import COMMANDS, libraries_from

OPERATOR_FILE_VARIABLE: Final = "THYMEKNOT_OPERATOR"
"""The environment variable that names the operator's file."""


class FeatureError(ValueError):
    """An operator's file that can't be used: a line for each fault."""


class Feature(Protocol):
    """What a running feature is told."""

    def reconfigure(self, settings: Any, folder: str) -> None:
        """Takes up new settings; raises ValueError and keeps the former ones."""

    def stop(self) -> None:
        """The sidecar stops."""


class CheckedFeature(NamedTuple):
    """A feature whose settings can be used."""

    create: Callable[[Any], Feature]
    """Begins it with a proxy."""
    settings: Any
    """What `Feature.reconfigure` takes."""


def _module(name: str) -> ModuleType:
    return import_module(f"..{name}", __package__)


def _record(kind: Any, settings: Any) -> Any:
    """The typed settings of a record of the operator's file. Raises ValueError."""
    return _module("operator_config.loader").record(kind, settings)


def _check_gossip(settings: Any, folder: str) -> CheckedFeature:
    typed = _record(_module("gossip.settings").GossipSettings, settings)
    transport = _module("gossip.udp_transport")
    transport.built(typed, folder)
    return CheckedFeature(lambda proxy: transport.GossipFeature(proxy, typed, folder), typed)


def _check_decision_log(settings: Any, folder: str) -> CheckedFeature:
    typed = _record(_module("decision_log.settings").DecisionLogSettings, settings)
    server = _module("decision_log.query_server")
    return CheckedFeature(lambda proxy: server.DecisionLogFeature(proxy, typed, folder), typed)


def _check_coordination(settings: Any, folder: str) -> CheckedFeature:
    typed = _record(_module("coordination.settings").CoordinationSettings, settings)
    feature = _module("coordination.feature")
    feature.built(typed, settings, folder)
    return CheckedFeature(
        lambda proxy: feature.CoordinationFeature(proxy, typed, settings, folder), (typed, settings)
    )


CHECKS: Final[dict[str, Callable[[Any, str], CheckedFeature]]] = {
    "gossip": _check_gossip,
    "why": _check_decision_log,
    "fleet": _check_coordination,
}
"""By the feature's key in the operator's file, which is the proxy's attribute as well."""


class Features:
    """The features of one operator's file: checked at once, begun with the sidecar."""

    def __init__(self, path: str | None) -> None:
        self.path = path
        self.running: dict[str, Feature] = {}
        self.checked = self._read(path) if path else {}

    @staticmethod
    def _read(path: str) -> dict[str, CheckedFeature]:
        with libraries_from(COMMANDS):
            loader = _module("operator_config.loader")
        try:
            settings = loader.load(path)
        except loader.OperatorConfigError as error:
            raise FeatureError("\n".join(str(fault) for fault in error.faults)) from None
        folder = os.path.dirname(os.path.abspath(path))
        checked_features = {}
        for name, typed in settings.items():
            try:
                with libraries_from(f"requirements-{name}.txt"):
                    checked_features[name] = CHECKS[name](typed, folder)
            except ValueError as error:
                line = loader.line(path, error.key) if hasattr(error, "key") else ""
                raise FeatureError(f"{path}:{line} {error}") from None
        return checked_features

    def begin(self, proxy: Any) -> None:
        """Begins each feature and makes it known to the proxy. Raises FeatureError."""
        for name, checked in self.checked.items():
            try:
                self.running[name] = checked.create(proxy)
            except ValueError as error:
                raise FeatureError(f"{self.path}: {error}") from None
            setattr(proxy, name, self.running[name])
            structured_log.log("feature started", feature=name)

    def reconfigure(self) -> None:
        """Reads the file again; features that do not run wait for the next start."""
        if not self.path:
            return
        checked_features = self._read(self.path)
        folder = os.path.dirname(os.path.abspath(self.path))
        for name, feature in self.running.items():
            if name in checked_features:
                try:
                    feature.reconfigure(checked_features[name].settings, folder)
                except ValueError as error:
                    raise FeatureError(f"{self.path}: {error}") from None
        changed = sorted(checked_features.keys() ^ self.running.keys())
        structured_log.log("operator file reloaded", only_at_a_start=changed)

    def stop(self) -> None:
        """Tells each feature that the sidecar stops."""
        for feature in self.running.values():
            feature.stop()

"""Optional features, enabled by the operator file; the code of other features is not imported."""

import os
from collections.abc import Callable
from importlib import import_module
from types import ModuleType
from typing import Any, Final, NamedTuple, Protocol

from . import structured_log
from .required_libraries import COMMANDS, libraries_from

OPERATOR_FILE_VARIABLE: Final = "THYMEKNOT_OPERATOR"
"""The environment variable that names the operator file."""


class FeatureError(ValueError):
    """An invalid operator file; the message has one line per error."""


class Feature(Protocol):
    """A running feature."""

    def reconfigure(self, settings: Any, folder: str) -> None:
        """Applies new settings; raises ValueError if they are invalid, and keeps the old ones."""

    def stop(self) -> None:
        """Stops the feature when the sidecar stops."""


class CheckedFeature(NamedTuple):
    """A feature whose settings are valid."""

    create: Callable[[Any], Feature]
    """Starts the feature for a proxy."""
    settings: Any
    """The settings, as `Feature.reconfigure` expects them."""


def _module(name: str) -> ModuleType:
    return import_module(f"..{name}", __package__)


def _record(kind: Any, settings: Any) -> Any:
    """Returns the typed settings of an operator file record; raises ValueError."""
    return _module("operator_config.loader").to_record(kind, settings)


def _check_gossip(settings: Any, folder: str) -> CheckedFeature:
    typed = _record(_module("gossip.settings").GossipSettings, settings)
    transport = _module("gossip.udp_transport")
    transport.load_credentials(typed, folder)
    return CheckedFeature(lambda proxy: transport.GossipFeature(proxy, typed, folder), typed)


def _check_decision_log(settings: Any, folder: str) -> CheckedFeature:
    typed = _record(_module("decision_log.settings").DecisionLogSettings, settings)
    server = _module("decision_log.query_server")
    return CheckedFeature(lambda proxy: server.DecisionLogFeature(proxy, typed, folder), typed)


def _check_coordination(settings: Any, folder: str) -> CheckedFeature:
    typed = _record(_module("coordination.settings").CoordinationSettings, settings)
    feature = _module("coordination.feature")
    feature.build_parts(typed, settings, folder)
    return CheckedFeature(
        lambda proxy: feature.CoordinationFeature(proxy, typed, settings, folder), (typed, settings)
    )


CHECKS: Final[dict[str, Callable[[Any, str], CheckedFeature]]] = {
    "gossip": _check_gossip,
    "why": _check_decision_log,
    "fleet": _check_coordination,
}
"""Checks by the key of the feature in the operator file, also the attribute name on the proxy."""


class Features:
    """The features of an operator file, checked when it is loaded and started with the sidecar."""

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
            raise FeatureError(
                "\n".join(str(diagnostic) for diagnostic in error.diagnostics)
            ) from None
        folder = os.path.dirname(os.path.abspath(path))
        checked_features = {}
        for name, typed in settings.items():
            try:
                with libraries_from(f"requirements-{name}.txt"):
                    checked_features[name] = CHECKS[name](typed, folder)
            except ValueError as error:
                line = loader.line_prefix(path, error.key) if hasattr(error, "key") else ""
                raise FeatureError(f"{path}:{line} {error}") from None
        return checked_features

    def begin(self, proxy: Any) -> None:
        """Starts each feature and sets it as an attribute of the proxy; raises FeatureError."""
        for name, checked in self.checked.items():
            try:
                self.running[name] = checked.create(proxy)
            except ValueError as error:
                raise FeatureError(f"{self.path}: {error}") from None
            setattr(proxy, name, self.running[name])
            structured_log.log("feature started", feature=name)

    def reconfigure(self) -> None:
        """Reloads the file; newly enabled features are started only at the next start."""
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
        """Stops each feature."""
        for feature in self.running.values():
            feature.stop()

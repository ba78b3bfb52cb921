"""What an operator's file switches on beside the platform's own. Nothing of it is imported where there is none."""

import os
from importlib import import_module

from . import structured_log
from .required_libraries import COMMANDS, libraries_from

VARIABLE = "THYMEKNOT_OPERATOR"


class FeatureError(ValueError):
    """An operator's file that can't be used: a line for each fault."""


def _gossip(settings, folder):
    """What makes the endpoint, once there is a sidecar."""
    files, terms, endpoint = (
        import_module(f"..{name}", __package__)
        for name in ("operator_config.loader", "gossip.settings", "gossip.udp_transport")
    )
    told = files.record(terms.GossipSettings, settings)
    endpoint.built(told, folder)
    return lambda proxy: endpoint.GossipFeature(proxy, told, folder), told


def _why(settings, folder):
    files, terms, listener = (
        import_module(f"..{name}", __package__)
        for name in ("operator_config.loader", "decision_log.settings", "decision_log.query_server")
    )
    told = files.record(terms.DecisionLogSettings, settings)
    return lambda proxy: listener.DecisionLogFeature(proxy, told, folder), told


def _fleet(settings, folder):
    files, terms, feature = (
        import_module(f"..{name}", __package__)
        for name in ("operator_config.loader", "coordination.settings", "coordination.feature")
    )
    told = files.record(terms.CoordinationSettings, settings)
    feature.built(told, settings, folder)
    return lambda proxy: feature.CoordinationFeature(proxy, told, settings, folder), (
        told,
        settings,
    )


MAKERS = {"gossip": _gossip, "why": _why, "fleet": _fleet}


class Features:
    """The features of one file, by name: checked at once, begun with the sidecar."""

    def __init__(self, path):
        self.path, self.running = path, {}
        self.made = self._read() if path else {}

    def _read(self):
        with libraries_from(COMMANDS):
            files = import_module("..operator_config.loader", __package__)
        try:
            settings = files.load(self.path)
        except files.OperatorConfigError as error:
            raise FeatureError("\n".join(str(fault) for fault in error.faults)) from None
        folder, made = os.path.dirname(os.path.abspath(self.path)), {}
        for name, told in settings.items():
            try:
                with libraries_from(f"requirements-{name}.txt"):
                    made[name] = MAKERS[name](told, folder)
            except ValueError as error:
                line = files.line(self.path, error.key) if hasattr(error, "key") else ""
                raise FeatureError(f"{self.path}:{line} {error}") from None
        return made

    def begin(self, proxy):
        for name, (make, _) in self.made.items():
            try:
                self.running[name] = make(proxy)
            except ValueError as error:
                raise FeatureError(f"{self.path}: {error}") from None
            setattr(proxy, name, self.running[name])
            structured_log.log("feature started", feature=name)

    def reconfigure(self):
        """Takes up another file: what runs is given its new settings, what doesn't waits for the next start."""
        if not self.path:
            return
        made = self._read()
        folder = os.path.dirname(os.path.abspath(self.path))
        for name, one in self.running.items():
            if name in made:
                try:
                    one.reconfigure(made[name][1], folder)
                except ValueError as error:
                    raise FeatureError(f"{self.path}: {error}") from None
        structured_log.log(
            "operator file reloaded", only_at_a_start=sorted(made.keys() ^ self.running.keys())
        )

    def leave(self):
        for one in self.running.values():
            one.leave()

"""Assembles the feature: identity, keyring, channels, Raft node, cluster clock and drain agent."""

import os
import secrets
import time
from typing import TYPE_CHECKING, Any, NamedTuple, Optional

import msgspec

from ..disruption.targets import DisruptionSettings
from ..gossip.keyring import AllowedNetworks, Identity, Keyring, KeyringError, read_identity
from ..gossip.settings import parse_address
from ..raft.client import RaftClient
from ..raft.storage import DamagedStorageError
from ..state.random_source import LinearCongruentialGenerator
from .cluster_clock import ClusterClock
from .drain_agent import DrainAgent
from .incarnation import next_incarnation
from .raft_member import RaftContext, RaftMember, make_peer_channels, open_member
from .settings import (
    CoordinationSettings,
    CoordinationSettingsError,
    NodeSettings,
    check_settings,
    declaration_commands,
)

if TYPE_CHECKING:
    from ..proxy.proxy import Proxy  # for types only: the command line runs without a sidecar


class CoordinationParts(NamedTuple):
    """The parts of the feature that depend on the settings alone.

    Attributes:
        identity: This instance's name and private key.
        keyring: The public keys of all peers that may send messages.
        networks: The networks from which peers may connect.
        declaration: The commands that declare the operator's units and budgets.
    """

    identity: Identity
    keyring: Keyring
    networks: AllowedNetworks
    declaration: list[dict[str, Any]]


def build_parts(
    settings: CoordinationSettings, section: dict[str, Any], folder: str
) -> CoordinationParts:
    """Checks the settings and builds the parts that need no running sidecar.

    Args:
        settings: The section of the operator file as a record.
        section: The same section as plain values.
        folder: The operator file's folder, to which relative paths refer.

    Raises:
        CoordinationSettingsError: The settings can't be used.
    """
    check_settings(settings, section)
    try:
        with open(os.path.join(folder, settings.key), "rb") as source:
            identity = read_identity(settings.name, source.read())
        keyring = Keyring(settings.keyring_peers(), settings.revoked)
        networks = AllowedNetworks(settings.from_)
    except OSError as error:
        raise CoordinationSettingsError(
            ("fleet", "key"), f"can't be read: {os.strerror(error.errno or 0)}"
        ) from None
    except KeyringError as error:
        raise CoordinationSettingsError(("fleet",), str(error)) from None
    if keyring.owner(identity.key_id, time.time()) not in (None, settings.name):
        raise CoordinationSettingsError(("fleet", "key"), "belongs to another name in the keyring")
    return CoordinationParts(identity, keyring, networks, declaration_commands(settings, section))


class CoordinationFeature:
    """The running feature, from the start of the sidecar until it stops."""

    def __init__(
        self, proxy: "Proxy", settings: CoordinationSettings, section: dict[str, Any], folder: str
    ) -> None:
        """Starts the feature.

        Args:
            proxy: The running sidecar.
            settings: The section of the operator file as a record.
            section: The same section as plain values.
            folder: The operator file's folder, to which relative paths refer.

        Raises:
            CoordinationSettingsError: The settings, the data folder or the address can't be used.
        """
        self.settings = settings
        parts = build_parts(settings, section, folder)
        self.keyring = parts.keyring
        self.context = RaftContext(
            proxy.reactor, proxy.timers, parts.identity, lambda: self.keyring
        )
        self.member: Optional[RaftMember] = None
        self.clock: Optional[ClusterClock] = None
        self.agent: Optional[DrainAgent] = None
        own_node = settings.own_node()
        data_folder = os.path.join(folder, settings.data)
        try:
            self.incarnation = next_incarnation(data_folder)
            self.channels = make_peer_channels(self.context, settings)
            if own_node:
                self.member = open_member(
                    self.context, settings, data_folder, parts.networks, self.channels
                )
        except (OSError, DamagedStorageError) as error:
            raise CoordinationSettingsError(("fleet", "data"), str(error)) from None
        if self.member and own_node:
            self._listen(self.member, own_node)
            self.clock = ClusterClock(
                timers=proxy.timers,
                client=self._make_client("clock"),
                member=self.member,
                interval=settings.tick,
                epoch=settings.epoch,
                declaration=parts.declaration,
            )
        if settings.unit:
            self.agent = self._make_drain_agent(proxy, settings.unit)

    def _listen(self, member: RaftMember, own_node: NodeSettings) -> None:
        host, port = parse_address(self.settings.listen or own_node.address)
        try:
            member.server.listen(host, port)
        except Exception as error:
            raise CoordinationSettingsError(("fleet", "listen"), str(error)) from None

    def _make_drain_agent(self, proxy: "Proxy", unit: str) -> DrainAgent:
        durations = DisruptionSettings(
            bound=self.settings.bound, silent=self.settings.silent, permit=self.settings.permit
        )
        return DrainAgent(
            proxy,
            client=self._make_client("unit"),
            unit=unit,
            incarnation=self.incarnation,
            build=self.settings.build,
            settings=durations,
        )

    def _make_client(self, client_name: str) -> RaftClient:
        """Returns a client of the cluster with its own origin.

        The cluster recognizes repeated commands by origin and number, so each client needs its
        own origin.
        """
        return RaftClient(
            self.context.timers,
            self.channels,
            LinearCongruentialGenerator(secrets.randbits(64)),
            f"{self.settings.name}/{client_name}",
            self.incarnation,
            msgspec.msgpack.encode,
        )

    def reconfigure(
        self, new_settings: tuple[CoordinationSettings, dict[str, Any]], folder: str
    ) -> None:
        """Applies the keyring and the networks of new settings; all other changes need a restart.

        Args:
            new_settings: The section of the new file as a record, and as plain values.
            folder: The operator file's folder.

        Raises:
            ValueError: The new settings can't be used; the current ones stay in force.
        """
        settings, section = new_settings
        parts = build_parts(settings, section, folder)
        self.keyring = parts.keyring
        if self.member:
            self.member.server.allowed_hosts = parts.networks

    def stop(self) -> None:
        """Stops the feature; after the setting `silent` the unit counts as unavailable."""
        if self.agent:
            self.agent.close()
        if self.clock:
            self.clock.close()
        if self.agent:
            self.agent.client.close()
        if self.member:
            self.member.server.close()


__all__ = ["CoordinationFeature", "CoordinationParts", "build_parts", "next_incarnation"]

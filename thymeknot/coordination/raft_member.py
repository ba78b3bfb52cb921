"""This instance's own Raft node: its storage, its replicated state machine and its server."""

import os
import secrets
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Optional

from twisted.internet.interfaces import IReactorTCP

from ..disruption.state_machine import DisruptionStateMachine
from ..disruption.targets import CommandRejectedError
from ..gossip.keyring import AllowedNetworks, Identity, Keyring
from ..gossip.settings import parse_address
from ..interface.clock import Ticks
from ..raft.client import PeerChannel
from ..raft.node import RaftNode
from ..raft.peer_server import PeerServer
from ..raft.state_machine import CompositeStateMachine
from ..raft.storage import RaftStorage
from ..service import structured_log
from ..state.random_source import LinearCongruentialGenerator
from ..state.timer_queue import TimerQueue
from .settings import DISRUPTION_PART, RAFT_SETTINGS, CoordinationSettings


class RaftContext(NamedTuple):
    """The objects that the node and the clients of an instance share.

    Attributes:
        reactor: Twisted's event loop.
        timers: The timer queue of the sidecar.
        identity: This instance's name and private key.
        keyring: Returns the current keyring, which a reload replaces.
    """

    reactor: IReactorTCP
    timers: TimerQueue
    identity: Identity
    keyring: Callable[[], Keyring]


class RaftMember(NamedTuple):
    """A running Raft node.

    Attributes:
        server: Receives messages from the other nodes and from clients, and owns the node.
        machine: The state machine, with the log entries that this node has applied.
    """

    server: PeerServer
    machine: DisruptionStateMachine


def make_peer_channels(
    context: RaftContext, settings: CoordinationSettings
) -> dict[str, PeerChannel]:
    """Returns a channel to each Raft node, by name; channels connect when they are first used."""
    return {
        node.name: PeerChannel(
            context.reactor,
            node.name,
            parse_address(node.address),
            context.identity,
            context.keyring,
            time.time,
        )
        for node in settings.keepers
    }


def open_member(
    context: RaftContext,
    settings: CoordinationSettings,
    data_folder: str,
    networks: AllowedNetworks,
    channels: dict[str, PeerChannel],
) -> RaftMember:
    """Opens the storage of this instance's node and creates its server, which does not listen yet.

    Args:
        context: The objects that the node shares with the rest of the instance.
        settings: The operator's settings.
        data_folder: The data folder of this instance.
        networks: The networks from which peers may connect.
        channels: The channels to all nodes, by name.

    Raises:
        DamagedStorageError: The stored data is damaged or can't be trusted.
        OSError: The folder can't be used.
    """
    storage = _make_storage(settings, data_folder)
    opened = storage.open(settings.founds and not _has_data(storage))
    for warning in opened.warnings:
        structured_log.log("raft storage failed", error=warning)
    disruption = DisruptionStateMachine()
    machine = CompositeStateMachine({DISRUPTION_PART: disruption})
    names = [node.name for node in settings.keepers]

    def make_node(now: Ticks) -> RaftNode:
        return RaftNode(
            settings.name,
            names,
            RAFT_SETTINGS,
            LinearCongruentialGenerator(secrets.randbits(64)),
            opened.recovered,
            machine,
            now,
        )

    server = PeerServer(
        context.reactor,
        context.timers,
        context.identity,
        context.keyring,
        networks,
        {name: channel for name, channel in channels.items() if name != settings.name},
        make_node,
        storage,
        lambda query: read_status(disruption, query),
    )
    return RaftMember(server, disruption)


def _make_storage(settings: CoordinationSettings, data_folder: str) -> RaftStorage:
    return RaftStorage(
        os.path.join(data_folder, "log"),
        os.path.join(data_folder, settings.lineage or "lineage"),
        lambda: secrets.randbits(62) + 1,
    )


def _has_data(storage: RaftStorage) -> bool:
    """Returns whether a node has used this storage before."""
    if os.path.isdir(storage.folder) and os.listdir(storage.folder):
        return True
    return os.path.exists(storage.lineage_path)


def read_status(machine: DisruptionStateMachine, query: Optional[dict[str, Any]]) -> dict[str, Any]:
    """Returns the state machine's reply to a status query, which changes nothing.

    Args:
        machine: The disruption state machine.
        query: A command with `do` and its fields; every command other than `status` is rejected.
    """
    try:
        do, fields = machine.read(query)
        if do != "status":
            raise CommandRejectedError("a read is of status")
        return {"ok": True, "at": machine.fleet.at, **machine.read_status(**fields)}
    except CommandRejectedError as rejection:
        return {"refused": rejection.reason, "by": rejection.by, "again": rejection.retry_after}

"""What an operator sets for the fleet, and the checks that the settings work together.

The fields of the records are the keys of the operator file: operator_config/schema/fleet.cue.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple, Optional

from ..disruption.state_machine import DisruptionStateMachine
from ..gossip.settings import Peer, PeerKey
from ..interface.clock import Ticks
from ..raft.settings import RaftSettings

DISRUPTION_PART = "turns"
"""The replicated state machine of drains, as commands on the wire and on the disk name it."""

CLUSTER_SIZES = (1, 3, 5, 7)
"""Numbers of Raft nodes: an even number survives no more failures than the odd one below it."""

RAFT_SETTINGS = RaftSettings(
    max_command_bytes=32 << 10, max_batch_bytes=24 << 10, snapshot_chunk_bytes=32 << 10
)
"""Smaller than Raft's defaults: a message with a batch of entries must fit AMP's 64 KiB."""

MAX_DECLARATION_BYTES = 16 << 10
"""Bytes of units, about, in one declaration: half of an entry, since the count is an estimate."""

ESTIMATED_UNIT_OVERHEAD_BYTES = 64
"""Bytes that a unit adds to a declaration beyond its name and labels, estimated."""


class CoordinationSettingsError(ValueError):
    """Settings that can't be used.

    Attributes:
        key: The keys that lead to the setting in the operator file.
    """

    def __init__(self, key: tuple[str, ...], text: str) -> None:
        super().__init__(f"{'.'.join(key)}: {text}")
        self.key = key


class NodeSettings(NamedTuple):
    """A Raft node, one of `keepers` in the operator file.

    Attributes:
        name: Its name in the key ring.
        address: HOST:PORT where this instance reaches it.
        keys: Its public keys.
    """

    name: str
    address: str
    keys: tuple[PeerKey, ...]


class CoordinationSettings(NamedTuple):
    """The section `fleet` of an operator file.

    Attributes:
        name: This instance's name in the key ring.
        key: File of the private key, relative to the operator file.
        data: Folder of this instance alone, on a persistent disk.
        lineage: File by which an old copy of `data` is recognised.
        listen: HOST:PORT where this instance's node listens, if it differs from its address.
        founds: Whether the node starts a new cluster.
        from_: Networks that peers connect from.
        keepers: The Raft nodes.
        peers: The other identities that may send commands.
        revoked: Public keys that are no longer accepted.
        unit: This sidecar as a unit that can be drained, or None.
        build: The build that the unit runs.
        epoch: The number of the declaration; the highest one counts.
        bound: An agent that heard nothing for so long starts no drain.
        silent: A unit not seen ready for so long counts as unavailable.
        permit: A permit that is not used for so long expires.
        tick: The interval at which the leader advances the replicated time.
    """

    name: str
    key: str
    data: str
    lineage: Optional[str]
    listen: Optional[str]
    founds: bool
    from_: tuple[str, ...]
    keepers: tuple[NodeSettings, ...]
    peers: tuple[Peer, ...]
    revoked: tuple[str, ...]
    unit: Optional[str]
    build: str
    epoch: int
    bound: Ticks
    silent: Ticks
    permit: Ticks
    tick: Ticks

    def ring_peers(self) -> tuple[Peer, ...]:
        """All identities of the key ring: the Raft nodes and the other peers."""
        return (*(Peer(node.name, None, node.keys) for node in self.keepers), *self.peers)

    def own_node(self) -> Optional[NodeSettings]:
        """The Raft node that this instance is, or None."""
        return next((node for node in self.keepers if node.name == self.name), None)


def declaration_commands(
    settings: CoordinationSettings, section: dict[str, Any]
) -> list[dict[str, Any]]:
    """The commands that declare an operator file's units, budgets and durations.

    The budgets come in the last command, when the units that they select are declared.

    Args:
        settings: The section as a record.
        section: The same section as plain values, with `units` and `budgets`.

    Raises:
        CoordinationSettingsError: A unit is named twice.
    """
    units = {
        unit["name"]: {label: value for label, value in unit.items() if label != "name"}
        for unit in section["units"]
    }
    if len(units) < len(section["units"]):
        raise CoordinationSettingsError(("fleet", "units"), "a name stands twice")
    common = {"part": DISRUPTION_PART, "do": "declare", "epoch": settings.epoch}
    *full_batches, last_batch = _split_units(units)
    commands = [{**common, "units": batch} for batch in full_batches]
    commands.append(
        {
            **common,
            "units": last_batch,
            "budgets": section["budgets"],
            "terms": {
                "bound": settings.bound,
                "silent": settings.silent,
                "permit": settings.permit,
            },
        }
    )
    return commands


def _split_units(units: dict[str, dict[str, str]]) -> Iterator[dict[str, dict[str, str]]]:
    """Parts of the units that fit one command each; the last one may be empty."""
    batch: dict[str, dict[str, str]] = {}
    size = 0
    for name, labels in units.items():
        batch[name] = labels
        size += ESTIMATED_UNIT_OVERHEAD_BYTES + len(name)
        size += sum(len(label) + len(value) for label, value in labels.items())
        if size > MAX_DECLARATION_BYTES:
            yield batch
            batch = {}
            size = 0
    yield batch


def check_settings(settings: CoordinationSettings, section: dict[str, Any]) -> None:
    """Checks that the settings work together; the disruption state machine checks the declaration.

    Args:
        settings: The section as a record.
        section: The same section as plain values.

    Raises:
        CoordinationSettingsError: They do not.
    """
    names = [node.name for node in settings.keepers]
    if len(names) not in CLUSTER_SIZES or len(set(names)) < len(names):
        raise CoordinationSettingsError(
            ("fleet", "keepers"),
            f"{len(names)} keepers; there are 1, 3, 5 or 7, each named once: an "
            "even number outlasts no more losses than one less",
        )
    if settings.unit and settings.unit not in {unit["name"] for unit in section["units"]}:
        raise CoordinationSettingsError(("fleet", "unit"), f"{settings.unit} is none of the units")
    machine = DisruptionStateMachine()
    for command in declaration_commands(settings, section):
        reply = machine.apply(0, command)
        if "refused" in reply:
            raise CoordinationSettingsError(
                ("fleet", _find_rejected_key(reply["refused"])), reply["refused"]
            )


def _find_rejected_key(sentence: str) -> str:
    """The key of the operator file that the state machine's sentence is about."""
    if "budget" in sentence:
        return "budgets"
    return "bound" if "permits" in sentence else "units"

"""The settings of the section `fleet` of the operator file, and their validation.

The fields of the records are the keys of the section; see operator_config/schema/fleet.cue.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple, Optional

from ..disruption.state_machine import DisruptionStateMachine
from ..gossip.settings import Peer, PeerKey
from ..interface.clock import Ticks
from ..raft.settings import RaftSettings

DISRUPTION_PART = "turns"
"""Name of the disruption state machine in commands, on the wire and on disk."""

CLUSTER_SIZES = (1, 3, 5, 7)
"""Allowed numbers of Raft nodes. An even number tolerates no more failures than one node less."""

RAFT_SETTINGS = RaftSettings(
    max_command_bytes=32 << 10, max_batch_bytes=24 << 10, snapshot_chunk_bytes=32 << 10
)
"""Limits below Raft's defaults, so that a message with a batch of entries fits AMP's 64 KiB."""

MAX_DECLARATION_BYTES = 16 << 10
"""Estimated size of the units in one declaration: half an entry, to allow for estimation errors."""

ESTIMATED_UNIT_OVERHEAD_BYTES = 64
"""Estimated bytes that a unit adds to a declaration beyond its name and labels."""


class CoordinationSettingsError(ValueError):
    """The settings can't be used.

    Attributes:
        key: Path of keys to the invalid setting in the operator file.
    """

    def __init__(self, key: tuple[str, ...], text: str) -> None:
        super().__init__(f"{'.'.join(key)}: {text}")
        self.key = key


class NodeSettings(NamedTuple):
    """A Raft node, one of `keepers` in the operator file.

    Attributes:
        name: Its name in the keyring.
        address: HOST:PORT at which this instance reaches it.
        keys: Its public keys.
    """

    name: str
    address: str
    keys: tuple[PeerKey, ...]


class CoordinationSettings(NamedTuple):
    """The section `fleet` of an operator file.

    Attributes:
        name: This instance's name in the keyring.
        key: File of the private key, relative to the operator file.
        data: Data folder, on a persistent disk; no other instance may use it.
        lineage: File by which an outdated copy of `data` is recognized.
        listen: HOST:PORT on which this instance's node listens, if it differs from its address.
        founds: Whether the node bootstraps a new cluster.
        from_: Networks from which peers may connect.
        keepers: The Raft nodes.
        peers: The other identities that may send commands.
        revoked: Public keys that are no longer accepted.
        unit: Name of this sidecar as a unit that can be drained, or None.
        build: The build that the unit runs.
        epoch: Epoch of the declaration; the highest one is in force.
        bound: Ticks without a reply after which an agent starts no drain.
        silent: Ticks without a ready report after which a unit counts as unavailable.
        permit: Ticks after which an unused permit expires.
        tick: Ticks between two advances of the replicated time by the leader.
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

    def keyring_peers(self) -> tuple[Peer, ...]:
        """Returns all identities of the keyring: the Raft nodes and the other peers."""
        return (*(Peer(node.name, None, node.keys) for node in self.keepers), *self.peers)

    def own_node(self) -> Optional[NodeSettings]:
        """Returns this instance's own entry among the Raft nodes, or None."""
        return next((node for node in self.keepers if node.name == self.name), None)


def declaration_commands(
    settings: CoordinationSettings, section: dict[str, Any]
) -> list[dict[str, Any]]:
    """Returns the commands that declare an operator file's units, budgets and durations.

    The last command has the budgets, since the units that they select must be declared before.

    Args:
        settings: The section as a record.
        section: The same section as plain values, with `units` and `budgets`.

    Raises:
        CoordinationSettingsError: Two units have the same name.
    """
    units = {
        unit["name"]: {label: value for label, value in unit.items() if label != "name"}
        for unit in section["units"]
    }
    if len(units) < len(section["units"]):
        raise CoordinationSettingsError(("fleet", "units"), "two units have the same name")
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
    """Splits the units into batches of one command each; the last batch may be empty."""
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
        CoordinationSettingsError: The settings contradict each other.
    """
    names = [node.name for node in settings.keepers]
    if len(names) not in CLUSTER_SIZES or len(set(names)) < len(names):
        raise CoordinationSettingsError(
            ("fleet", "keepers"),
            f"{len(names)} keepers; allowed are 1, 3, 5 or 7 with different names (an even "
            "number tolerates no more failures than one node less)",
        )
    if settings.unit and settings.unit not in {unit["name"] for unit in section["units"]}:
        raise CoordinationSettingsError(("fleet", "unit"), f"{settings.unit} is not in fleet.units")
    machine = DisruptionStateMachine()
    for command in declaration_commands(settings, section):
        reply = machine.apply(0, command)
        if "refused" in reply:
            raise CoordinationSettingsError(
                ("fleet", _find_rejected_key(reply["refused"])), reply["refused"]
            )


def _find_rejected_key(sentence: str) -> str:
    """Returns the key of the operator file that the state machine's sentence refers to."""
    if "budget" in sentence:
        return "budgets"
    return "bound" if "permits" in sentence else "units"

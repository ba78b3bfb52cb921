"""What an operator sets for the fleet, as records. Durations are whole tenths of a millisecond. See operator/schema."""

from typing import NamedTuple, Optional

from ..disruption.state_machine import DisruptionStateMachine
from ..gossip.settings import Peer, PeerKey
from ..raft.settings import RaftSettings

KEEPERS = (1, 3, 5, 7)
# A letter is at most AMP's 64 KiB, so that an entry and a message with several have to be smaller than the core's own.
AGREEMENT = RaftSettings(command_bytes=32 << 10, batch_bytes=24 << 10, chunk=32 << 10)
DECLARED = 16 << 10  # about so many bytes of units in one declaration


class Impossible(ValueError):
    """What can't be set. key: the keys that lead to it in the file."""

    def __init__(self, key, text):
        super().__init__(f"{'.'.join(key)}: {text}")
        self.key = key


class Keeper(NamedTuple):
    name: str
    address: str
    keys: tuple[PeerKey, ...]


class CoordinationSettings(NamedTuple):
    name: str
    key: str
    data: str
    lineage: Optional[str]
    listen: Optional[str]
    founds: bool
    from_: tuple
    keepers: tuple[Keeper, ...]
    peers: tuple[Peer, ...]
    revoked: tuple
    unit: Optional[str]
    build: str
    epoch: int
    bound: int
    silent: int
    permit: int
    tick: int

    def ring(self):
        """The peers of a gossip Ring: the keepers and the others."""
        return (*(Peer(one.name, None, one.keys) for one in self.keepers), *self.peers)

    def keeper(self):
        """The keeper that this instance is, or None."""
        return next((one for one in self.keepers if one.name == self.name), None)


def declarations(told, settings):
    """The commands that say what the operator's file does; the budgets come last, when their units are there. Raises
    Impossible."""
    units = {
        one["name"]: {label: value for label, value in one.items() if label != "name"}
        for one in settings["units"]
    }
    if len(units) < len(settings["units"]):
        raise Impossible(("fleet", "units"), "a name stands twice")
    first = {"part": "turns", "do": "declare", "epoch": told.epoch}
    found, part, size = [], {}, 0
    for name, labels in units.items():
        part[name] = labels
        size += 64 + len(name) + sum(len(label) + len(value) for label, value in labels.items())
        if size > DECLARED:
            found.append({**first, "units": part})
            part, size = {}, 0
    found.append(
        {
            **first,
            "units": part,
            "budgets": settings["budgets"],
            "terms": {"bound": told.bound, "silent": told.silent, "permit": told.permit},
        }
    )
    return found


def faulty(told, settings):
    """Raises Impossible where the settings can't work together: the machine itself says what it would not take."""
    names = [one.name for one in told.keepers]
    if len(names) not in KEEPERS or len(set(names)) < len(names):
        raise Impossible(
            ("fleet", "keepers"),
            f"{len(names)} keepers; there are 1, 3, 5 or 7, each named once: an "
            "even number outlasts no more losses than one less",
        )
    if told.unit and told.unit not in {one["name"] for one in settings["units"]}:
        raise Impossible(("fleet", "unit"), f"{told.unit} is none of the units")
    machine = DisruptionStateMachine()
    for command in declarations(told, settings):
        reply = machine.apply(0, command)
        if "refused" in reply:
            about = (
                "budgets"
                if "budget" in reply["refused"]
                else "bound"
                if "permits" in reply["refused"]
                else "units"
            )
            raise Impossible(("fleet", about), reply["refused"])

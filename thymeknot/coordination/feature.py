"""All of the feature together: identity and ring, ways to the keepers, this instance's keeper and its holder."""

import os
import secrets
import time

import msgspec

from ..disruption.state_machine import Machine
from ..disruption.targets import Refusal
from ..disruption.targets import Terms as TurnTerms
from ..gossip import keyring as identities
from ..gossip.settings import address
from ..raft.client import Channel, Client
from ..raft.node import LEADER, Keeper
from ..raft.peer_server import Endpoint
from ..raft.state_machine import Parts
from ..raft.storage import Damaged, Store
from ..service import structured_log
from ..state.random_source import LinearCongruentialGenerator
from .drain_agent import Seat
from .settings import AGREEMENT, Impossible, declarations, faulty

DECLARED_EVERY = 10_000  # tenths of a millisecond between two looks whether the declaration stands


def built(told, settings, folder):
    """(identity, ring, sources, declarations). Raises Impossible and identity.Unusable."""
    faulty(told, settings)
    try:
        with open(os.path.join(folder, told.key), "rb") as source:
            mine = identities.read_identity(told.name, source.read())
        ring = identities.Ring(told.ring(), told.revoked)
        sources = identities.Sources(told.from_)
    except OSError as error:
        raise Impossible(("fleet", "key"), f"can't be read: {os.strerror(error.errno)}") from None
    except identities.Unusable as error:
        raise Impossible(("fleet",), str(error)) from None
    if ring.owner(mine.key_id, time.time()) not in (None, told.name):
        raise Impossible(("fleet", "key"), "belongs to another name in the ring")
    return mine, ring, sources, declarations(told, settings)


def started(folder):
    """A number that grows with each start, on the disk before it is used: above the last one, and of the calendar
    where that was lost. Raises OSError."""
    path, last = os.path.join(folder, "start"), 0
    os.makedirs(folder, exist_ok=True)
    try:
        with open(path, encoding="ascii") as source:
            last = int(source.read(20))
    except (FileNotFoundError, ValueError):
        pass
    number = max(last + 1, time.time_ns() // 1_000_000)
    with open(path + ".part", "w", encoding="ascii") as target:
        target.write(str(number))
        target.flush()
        os.fsync(target.fileno())
    os.replace(path + ".part", path)
    return number


def look(machine, query):
    """The machine's word on how things stand, without a change."""
    turns = machine.machines["turns"]
    try:
        do, fields = turns.read(query)
        if do != "status":
            raise Refusal("a read is of status")
        return {"ok": True, "at": turns.fleet.at, **turns._status(**fields)}
    except Refusal as refusal:
        return {"refused": refusal.sentence, "by": refusal.by, "again": refusal.again}


class Fleet:
    def __init__(self, sidecar, told, settings, folder):
        self.sidecar, self.told, self.deadlines, self.clock = (
            sidecar,
            told,
            sidecar.deadlines,
            sidecar.clock,
        )
        self.identity, self.ring, sources, self.declared = built(told, settings, folder)
        data = os.path.join(folder, told.data)
        try:
            self.start = started(data)
            self.channels = {
                one.name: Channel(
                    sidecar.reactor,
                    one.name,
                    address(one.address),
                    self.identity,
                    lambda: self.ring,
                    time.time,
                )
                for one in told.keepers
            }
            self.endpoint = self._keeper(data, sources) if told.keeper() else None
        except (OSError, Damaged) as error:
            raise Impossible(("fleet", "data"), str(error)) from None
        self.seat, self.clocks, self.ticking = None, None, None
        if self.endpoint:
            host, port = address(told.listen or told.keeper().address)
            try:
                self.endpoint.listen(host, port)
            except Exception as error:
                raise Impossible(("fleet", "listen"), str(error)) from None
            self.clocks, self.busy, self.looked = self._client("clock"), False, 0
            self._tick()
        if told.unit:
            terms = TurnTerms(bound=told.bound, silent=told.silent, permit=told.permit)
            self.seat = Seat(
                sidecar, self._client("unit"), told.unit, self.start, told.build, terms
            )

    def _client(self, word):
        return Client(
            self.deadlines,
            self.channels,
            LinearCongruentialGenerator(secrets.randbits(64)),
            f"{self.told.name}/{word}",
            self.start,
            msgspec.msgpack.encode,
        )

    def _keeper(self, data, sources):
        told = self.told
        store = Store(
            os.path.join(data, "log"),
            os.path.join(data, told.lineage or "lineage"),
            lambda: secrets.randbits(62) + 1,
        )
        used = (
            os.path.isdir(store.folder)
            and bool(os.listdir(store.folder))
            or os.path.exists(store.lineage)
        )
        opened = store.open(told.founds and not used)
        for sentence in opened.said:
            structured_log.log("keeper's disk", error=sentence)
        names, self.machine = [one.name for one in told.keepers], Parts({"turns": Machine()})
        others = {name: channel for name, channel in self.channels.items() if name != told.name}
        return Endpoint(
            self.sidecar.reactor,
            self.deadlines,
            self.identity,
            lambda: self.ring,
            sources,
            others,
            lambda now: Keeper(
                told.name,
                names,
                AGREEMENT,
                LinearCongruentialGenerator(secrets.randbits(64)),
                opened.recovered,
                self.machine,
                now,
            ),
            store,
            lambda query: look(self.machine, query),
        )

    def _tick(self):
        """While it leads, agreed time goes on by entries, and the declaration of the highest epoch stands."""
        self.ticking = self.deadlines.add(self.clock() + self.told.tick, self._tick)
        if self.endpoint.keeper.role != LEADER:
            self.looked = 0
            return
        if self.busy:
            return
        turns, now = self.machine.machines["turns"], self.clock()
        if turns.epoch < self.told.epoch and now - self.looked >= DECLARED_EVERY:
            self.looked = now
            for command in self.declared:
                self.clocks.propose(command).addCallback(self._took)
        self.busy = True
        self.clocks.propose({"part": "turns", "do": "tick"}, self.told.tick * 4).addCallback(
            self._ticked
        )

    def _took(self, reply):
        if "refused" in reply:
            structured_log.log("not declared", why=reply["refused"])

    def _ticked(self, _):
        self.busy = False

    def reconfigure(self, made, folder):
        """Takes up another ring; other settings take a new start. Raises ValueError, and keeps what it has."""
        told, settings = made
        _, self.ring, sources, _ = built(told, settings, folder)
        if self.endpoint:
            self.endpoint.sources = sources

    def leave(self):
        """Its word ends; what it was counts as out once it is silent."""
        if self.seat:
            self.seat.close()
        for client in (self.clocks, self.seat and self.seat.client):
            if client:
                client.close()
        if self.ticking is not None:
            self.deadlines.cancel(self.ticking)
        if self.endpoint:
            self.endpoint.close()


__all__ = ["Fleet", "built"]

"""All of the feature together: identity and ring, ways to the keepers, this instance's keeper and its holder."""

import os
import secrets
import time

import msgspec

from ..disruption.state_machine import DisruptionStateMachine
from ..disruption.targets import CommandRejectedError
from ..disruption.targets import DisruptionSettings as TurnTerms
from ..gossip import keyring as identities
from ..gossip.settings import address
from ..raft.client import PeerChannel, RaftClient
from ..raft.node import LEADER, RaftNode
from ..raft.peer_server import PeerServer
from ..raft.state_machine import Parts
from ..raft.storage import DamagedStorageError, RaftStorage
from ..service import structured_log
from ..state.random_source import LinearCongruentialGenerator
from .drain_agent import DrainAgent
from .settings import AGREEMENT, Impossible, declarations, faulty

DECLARED_EVERY = 10_000  # tenths of a millisecond between two looks whether the declaration stands


def built(told, settings, folder):
    """(identity, ring, sources, declarations). Raises Impossible and identity.Unusable."""
    faulty(told, settings)
    try:
        with open(os.path.join(folder, told.key), "rb") as source:
            mine = identities.read_identity(told.name, source.read())
        ring = identities.Keyring(told.ring(), told.revoked)
        sources = identities.AllowedNetworks(told.from_)
    except OSError as error:
        raise Impossible(("fleet", "key"), f"can't be read: {os.strerror(error.errno)}") from None
    except identities.KeyringError as error:
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
            raise CommandRejectedError("a read is of status")
        return {"ok": True, "at": turns.fleet.at, **turns._status(**fields)}
    except CommandRejectedError as refusal:
        return {"refused": refusal.sentence, "by": refusal.by, "again": refusal.again}


class CoordinationFeature:
    def __init__(self, proxy, told, settings, folder):
        self.proxy, self.told, self.timers, self.clock = (
            proxy,
            told,
            proxy.timers,
            proxy.clock,
        )
        self.identity, self.ring, sources, self.declared = built(told, settings, folder)
        data = os.path.join(folder, told.data)
        try:
            self.start = started(data)
            self.channels = {
                one.name: PeerChannel(
                    proxy.reactor,
                    one.name,
                    address(one.address),
                    self.identity,
                    lambda: self.ring,
                    time.time,
                )
                for one in told.keepers
            }
            self.endpoint = self._keeper(data, sources) if told.keeper() else None
        except (OSError, DamagedStorageError) as error:
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
            self.seat = DrainAgent(
                proxy, self._client("unit"), told.unit, self.start, told.build, terms
            )

    def _client(self, word):
        return RaftClient(
            self.timers,
            self.channels,
            LinearCongruentialGenerator(secrets.randbits(64)),
            f"{self.told.name}/{word}",
            self.start,
            msgspec.msgpack.encode,
        )

    def _keeper(self, data, sources):
        told = self.told
        store = RaftStorage(
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
            structured_log.log("raft storage failed", error=sentence)
        names, self.machine = (
            [one.name for one in told.keepers],
            Parts({"turns": DisruptionStateMachine()}),
        )
        others = {name: channel for name, channel in self.channels.items() if name != told.name}
        return PeerServer(
            self.proxy.reactor,
            self.timers,
            self.identity,
            lambda: self.ring,
            sources,
            others,
            lambda now: RaftNode(
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
        self.ticking = self.timers.add(self.clock() + self.told.tick, self._tick)
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
            structured_log.log("declaration rejected", why=reply["refused"])

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
            self.timers.cancel(self.ticking)
        if self.endpoint:
            self.endpoint.close()


__all__ = ["CoordinationFeature", "built"]

"""Several real keepers in one process, a hostile network, disks and clocks, and what must hold after each step.

Nothing here stands in for the core: faults come as the core's own events or are done to what lies between keepers.
Each seed draws its own mix of faults, since a little of everything at once reaches few corners (Groce et al., "Swarm
Testing", 2012)."""

from collections import Counter
from heapq import heappop, heappush
from typing import NamedTuple, Optional

import msgspec

from ..state.random_source import LinearCongruentialGenerator
from . import messages
from .log import KEEPERS, replayed
from .messages import (
    Answered,
    Applied,
    Persist,
    Proposed,
    ReadAsked,
    ReadReady,
    Received,
    Recovered,
    Refused,
    Send,
    SetTimer,
    Stored,
    TimerDue,
)
from .node import LEADER, STOPPED, RaftNode
from .settings import Election, RaftSettings
from .state_machine import Sessions

NAMES = "abcde"
SMALL = RaftSettings(
    heartbeat=100,
    election=Election(500, 1_000),
    lease=300,
    leased_reads=True,
    drift=0.01,
    most_waiting=16,
    most_bytes=4096,
    command_bytes=512,
    batch=2,
    batch_bytes=512,
    snapshot_after=24,
    keep=4,
    chunk=256,
    sessions_most=8,
    caught_up=4,
    held_most=64,
)
SETTLED = 40 * 1_000  # simulated time within which a healed fleet must answer
FAULTS = (
    "cut",
    "cut one way",
    "heal",
    "stall",
    "crash",
    "lose tail",
    "lose disk",
    "crash of the leader",
    "leader half heard",
    "change",
    "changes at once",
    "transfer",
    "transfer and cut",
    "power lost",
    "disk failed",
    "elections struck",
)


class Register:
    """Writes in their order. Each names itself, so that one applied twice is seen."""

    def __init__(self):
        self.order, self.times = [], Counter()

    def apply(self, at, command):
        self.order.append(command["id"])
        self.times[command["id"]] += 1
        return {"ok": True, "place": len(self.order)}

    def image(self):
        return self.order

    def load(self, image):
        self.order, self.times = list(image), Counter(image)


class Report(NamedTuple):
    states: int  # events that keepers handled
    faults: dict  # kind -> count
    writes: int  # acknowledged
    reads: int  # answered
    leaders: int  # terms that had one
    counterexamples: tuple  # sentences; one ends the run
    standstill: Optional[
        str
    ]  # a sentence, if a fleet that has its voters didn't get on after its faults were over
    bereft: bool  # faults and operators left too few whole voters for anything to be agreed


class Broken(Exception):
    """Something doesn't hold."""


class Standstill(Exception):
    """Nothing gets on, though it could."""


class Disk:
    """Records given to Persist; the first `synced` of them outlast a crash, of the others as many as chance keeps."""

    def __init__(self, life):
        self.life, self.records, self.synced = life, [], 0


class Host:
    """A keeper with its disk and its clock."""

    def __init__(self, name, life, rate, offset):
        self.name, self.rate, self.offset = name, rate, offset
        self.disk, self.keeper, self.register = Disk(life), None, None
        self.stalled, self.delayed, self.boots, self.timer = 0, [], 0, None
        self.reads = {}


class World:
    def __init__(self, seed, variant=None, terms=SMALL, focus=None):
        self.chance = LinearCongruentialGenerator(seed * 2654435761 + 12345)
        for _ in range(4):
            self.chance.draw()
        self.variant, self.terms, self.now, self.queue, self.sequence = variant, terms, 0, [], 0
        self.make = BROKEN[variant] if variant else RaftNode
        self.lives, self.states, self.faults = 100, 0, Counter()
        self.leaders, self.chosen, self.chosen_at, self.last_index = {}, {}, {}, 0
        self.origins, self.calls, self.tokens = {}, {}, 0
        self.acked, self.acked_ids, self.reads_done, self.writes_done = 0, {}, 0, 0
        self.severed, self.struck, self.bereft, self.dark, self.deaf = set(), 0, False, 0, False
        self.loss, self.copies, self.slow = (self.chance.draw() * most for most in (0.2, 0.15, 0.3))
        self.late = 600 if self.chance.draw() < 0.7 else 3_000
        self.sync_slow = self.chance.draw() * (60 if self.chance.draw() < 0.6 else 400)
        self.eager = self.chance.draw()
        if self.chance.draw() < 0.5:
            self.terms = terms = terms._replace(batch=1)
        # Only some kinds of fault in a run, each as often as it draws.
        self.mix = [self.chance.draw() if self.chance.draw() < 0.6 else 0.0 for _ in FAULTS]
        self.pause = 200 + self.chance.draw() * 3_000
        if focus:
            self.mix, self.pause = [float(kind in focus) for kind in FAULTS], 800
            self.loss, self.copies, self.slow = (
                part / 8 for part in (self.loss, self.copies, self.slow)
            )
        count = 3 if self.chance.draw() < 0.6 else 5
        self.founders = NAMES[:count]
        drift = terms.drift
        self.hosts = {
            name: Host(
                name,
                0 if name in self.founders else self.life(),
                1 + (self.chance.draw() * 2 - 1) * drift,
                int(self.chance.draw() * 10**6),
            )
            for name in NAMES[: max(4, count)]
        }
        for host in self.hosts.values():
            self.boot(host)
        for client in range(3):
            self.origins[f"client{client}"] = [
                0,
                0,
                None,
                None,
            ]  # incarnation, number, command, when sent
            self.at(self.chance.draw() * 500, self.client, f"client{client}")
        self.at(self.chance.draw() * 500, self.reader)
        self.at(self.pause, self.fault)

    def life(self):
        self.lives += 1
        return self.lives

    def lot(self, most):
        return int(self.chance.draw() * most)

    def one(self, things):
        things = list(things)
        return things[self.lot(len(things))] if things else None

    # Time.

    def at(self, delay, do, *more):
        self.sequence += 1
        heappush(self.queue, (self.now + max(0, int(delay)), self.sequence, do, more))

    def clock(self, host):
        return int(host.offset + self.now * host.rate)

    def run(self, steps):
        """Until so many events were handled."""
        until = self.states + steps
        while self.states < until and self.queue:
            self.now, _, do, more = heappop(self.queue)
            do(*more)

    def run_for(self, span, done):
        ends = self.now + span
        while self.queue and self.queue[0][0] <= ends and not done():
            self.now, _, do, more = heappop(self.queue)
            do(*more)

    # Keepers.

    def boot(self, host):
        host.boots += 1
        stored = (
            replayed(host.disk.records, host.disk.life)
            if host.disk.records
            else Recovered(host.disk.life)
        )
        host.register, host.reads, host.timer, host.delayed = Register(), {}, None, []
        host.keeper = self.make(
            host.name,
            self.founders if host.disk.life == 0 else None,
            self.terms,
            self.chance,
            stored,
            host.register,
            self.clock(host),
        )
        host.serials = {}
        self.tell(host, TimerDue())

    def tell(self, host, event):
        """An event to a keeper: kept for later while it stands still."""
        if host.keeper is None:
            return
        if host.stalled > self.now:
            host.delayed.append(event)
            heard = [one for one in host.delayed if type(one) is Received]
            if len(heard) > 64:  # a socket's buffer is full; what the disk has to say isn't lost
                host.delayed.remove(heard[0])
            return
        self.states += 1
        keeper = host.keeper
        effects = keeper.handle(self.clock(host), event)
        for effect in effects:
            CARRIED[type(effect)](self, host, effect)
        self.check(host)

    def wake(self, host):
        waiting, host.delayed = host.delayed, []
        if self.chance.draw() < 0.5:  # its clients' sockets may well be the first that it looks at
            for event in [one for one in waiting if type(one) is not Received]:
                waiting.remove(event)
                self.tell(host, event)
        while waiting:
            self.tell(host, waiting.pop(self.lot(len(waiting))))

    def send(self, host, effect):
        peer, message = effect
        if type(message) is messages.Hurry and self.deaf:
            self.deaf = False
            self.deafen(host.name)
            self.at(1_000, self.heal)
            self.at(1, self.arrive, host.name, peer, message)
        if (
            (host.name, peer) in self.severed
            or self.chance.draw() < self.loss
            or peer not in self.hosts
        ):
            return
        for _ in range(2 if self.chance.draw() < self.copies else 1):
            late = self.late if self.chance.draw() < self.slow else 0
            self.at(
                1 + self.chance.draw() * 20 + self.chance.draw() * late,
                self.arrive,
                host.name,
                peer,
                message,
            )

    def arrive(self, sender, peer, message):
        if (sender, peer) not in self.severed:
            self.tell(self.hosts[peer], Received(sender, message))

    def persist(self, host, effect):
        host.disk.records.extend(effect.records)
        self.at(
            1 + self.chance.draw() * self.sync_slow,
            self.synced,
            host,
            host.boots,
            len(host.disk.records),
            effect.upto,
        )

    def synced(self, host, boots, length, upto):
        if host.boots == boots and host.keeper is not None:
            host.disk.synced = max(host.disk.synced, length)
            self.tell(host, Stored(upto))

    def timer(self, host, effect):
        host.timer = effect.at
        wait = (effect.at - self.clock(host)) / host.rate + 1
        self.at(wait, self.ring, host, host.boots, effect.at)

    def ring(self, host, boots, at):
        if host.boots == boots and host.timer == at:
            if host.stalled > self.now:
                self.at(host.stalled - self.now + 1, self.ring, host, boots, at)
            else:
                self.tell(host, TimerDue())

    def crash(self, host, tail):
        """tail: what wasn't synced is gone, from a place by chance."""
        if host.keeper is None:
            return
        disk = host.disk
        if tail:
            kept = disk.synced
            if self.chance.draw() < 0.5:
                kept += self.lot(len(disk.records) - disk.synced + 1)
            del disk.records[kept:]
        disk.records = (
            self.make.tampered(disk.records) if hasattr(self.make, "tampered") else disk.records
        )
        disk.synced = len(disk.records)
        host.keeper, host.stalled = None, 0
        host.boots += 1
        self.at(20 + self.chance.draw() ** 2 * 2_000, self.back, host)

    def back(self, host):
        if host.keeper is None:
            self.boot(host)

    # Clients.

    def client(self, name):
        """One command at a time; after an unknown outcome the same number again."""
        state = self.origins[name]
        self.at(20 + self.chance.draw() * 200, self.client, name)
        if state[2] is None:
            state[1] += 1
            state[2] = {"part": "register", "id": f"{name}.{state[0]}.{state[1]}"}
        host = self.likely()
        if host:
            self.propose(host, name, *state[:3])

    def likely(self):
        leading = [
            host for host in self.hosts.values() if host.keeper and host.keeper.role == LEADER
        ]
        return (
            self.one(leading)
            if leading and self.chance.draw() < 0.9
            else self.one(self.hosts.values())
        )

    def token(self, about):
        self.tokens += 1
        if len(self.calls) > 4096:
            self.calls.pop(next(iter(self.calls)))
        self.calls[self.tokens] = about
        return self.tokens

    def propose(self, host, origin, incarnation, number, command):
        self.tell(
            host,
            Proposed(
                self.token((origin, incarnation, number)), origin, incarnation, number, command
            ),
        )

    def reader(self):
        self.at(20 + self.chance.draw() * 150, self.reader)
        host = self.likely()
        if host:
            self.tell(host, ReadAsked(self.token(("read", self.acked, host.boots))))

    def answered(self, host, effect):
        call = self.calls.pop(effect.token, None)
        reply = effect.reply
        if call is None or call[0] == "operator" or "place" not in reply:
            return
        origin, incarnation, number = call
        state = self.origins[origin]
        self.acked = max(self.acked, reply["place"])
        if self.dark:
            self.dark = 0
            self.at(0, self.darken)
        if state[:2] == [incarnation, number]:
            self.writes_done += 1
            state[2] = None
            if self.chance.draw() < 0.02:
                state[0], state[1] = state[0] + 1, 0

    def read_ready(self, host, effect):
        """A read must see at least what was acknowledged before it was asked."""
        call = self.calls.pop(effect.token, None)
        if call is not None:
            self.reads_done += 1
            if len(host.register.order) < call[1]:
                raise Broken(
                    f"{host.name} read {len(host.register.order)} writes of {call[1]} that were "
                    "acknowledged before it was asked"
                )

    def refused(self, host, effect):
        self.calls.pop(effect.token, None)

    def applied(self, host, effect):
        """Committed logs match; agreed time doesn't go back; a command is counted once."""
        content = (effect.at, msgspec.msgpack.encode(effect.command))
        before = self.chosen.setdefault(effect.index, content)
        if before != content:
            raise Broken(
                f"{host.name} applied another entry at {effect.index} than was applied there before"
            )
        if self.chosen.get(effect.index - 1, (0,))[0] > effect.at:
            raise Broken(f"agreed time goes back at {effect.index}")
        if (
            effect.command.get("part") == "register"
            and host.register.times[effect.command["id"]] > 1
        ):
            raise Broken(f"{effect.command['id']} was applied twice")

    def check(self, host):
        keeper = host.keeper
        if keeper is None or keeper.role != LEADER:
            return
        first = keeper.term not in self.leaders
        if self.leaders.setdefault(keeper.term, host.name) != host.name:
            raise Broken(f"{host.name} and {self.leaders[keeper.term]} lead in term {keeper.term}")
        if first and self.struck:
            self.struck -= 1
            self.strike(host)

    # Faults.

    def fault(self):
        done = False
        if sum(self.mix) > 0:
            kind = FAULTS[self.chance.pick(self.mix)]
            done = DONE[kind](self)
            self.faults[kind] += bool(done)
        self.at(self.pause * self.chance.draw() * 2 if done else 50, self.fault)

    def leader(self):
        leading = [
            host for host in self.hosts.values() if host.keeper and host.keeper.role == LEADER
        ]
        return max(leading, key=lambda host: host.keeper.term) if leading else None

    def seated(self):
        """A leader of whose term something is agreed."""
        host = self.leader()
        return (
            host
            if host and host.keeper.committed >= host.keeper.own and host.stalled <= self.now
            else None
        )

    def cut(self):
        """Two sides; a few messages still on their way are gone too."""
        side = {name for name in self.hosts if self.chance.draw() < 0.5}
        self.severed = {
            (one, other)
            for one in self.hosts
            for other in self.hosts
            if (one in side) != (other in side)
        }
        self.at(self.chance.draw() * 4_000, self.heal)
        return True

    def cut_one_way(self):
        one, other = self.one(self.hosts), self.one(self.hosts)
        self.severed.add((one, other))
        self.at(self.chance.draw() * 4_000, self.heal)
        return one != other

    def heal(self):
        self.severed = set()
        return True

    def stall(self):
        host = self.leader() if self.chance.draw() < 0.7 else self.one(self.hosts.values())
        if host is None or host.keeper is None or host.stalled > self.now:
            return False
        span = self.terms.lease * (0.5 + self.chance.draw() * 10)
        host.stalled = self.now + int(span)
        self.at(span + 1, self.wake, host)
        return True

    def crash_one(self, tail=False):
        host = self.one(self.hosts.values())
        self.crash(host, tail)
        return True

    def crash_leader(self):
        host = self.leader()
        if host:
            self.crash(host, True)
        return host is not None

    def half_heard(self):
        """A leader that reaches one follower only, and then is gone: what it left there may or may not be agreed."""
        host = self.leader()
        if host is None:
            return False
        learners = [name for name in host.keeper.log.members.learners if name in self.hosts]
        other = self.one(
            learners
            if learners and self.chance.draw() < 0.5
            else [name for name in self.hosts if name != host.name]
        )
        self.severed = {(host.name, name) for name in self.hosts if name not in (host.name, other)}
        self.at(20 + self.chance.draw() * 400, self.gone, host)
        return True

    def gone(self, host):
        self.crash(host, self.chance.draw() < 0.5)
        self.severed = set()

    def sound(self):
        """Whether one more may lose its disk: more than a minority at once is outside of what is promised."""
        leader = self.leader()
        if leader is None or leader.keeper.log.changes[-1][0] > leader.keeper.committed:
            return None
        voters = leader.keeper.log.members.voters
        whole = [name for name, life in voters.items() if self.hosts[name].disk.life == life]
        return leader if len(whole) == len(voters) and len(voters) >= 3 else None

    def lose_disk(self):
        """It comes back under a new life, as a learner once it is taken in."""
        if self.sound() is None:
            return False
        host = self.one(self.hosts.values())
        self.crash(host, True)
        host.disk = Disk(self.life())
        if hasattr(self.make, "keeps_life"):
            host.disk.life = 0 if host.name in self.founders else host.disk.life
        return True

    def change(self):
        """An operator: puts back who lost its disk, takes in and out."""
        leader = self.seated()
        if leader is None:
            return False
        voters, learners = leader.keeper.log.members
        strange = [
            name
            for name, life in {**voters, **learners}.items()
            if self.hosts[name].disk.life != life
        ]
        outside = [name for name in self.hosts if name not in voters and name not in learners]
        kind = self.chance.draw()
        if strange:
            name = self.one(strange)
            command = {"do": "add", "name": name, "life": self.hosts[name].disk.life}
        elif learners and kind < self.eager:
            command = {"do": "promote", "name": self.one(learners)}
        elif outside and (kind < 0.85 or len(voters) < 3):
            name = self.one(outside)
            command = {"do": "add", "name": name, "life": self.hosts[name].disk.life}
        elif len(voters) > 3 or (len(voters) == 3 and kind > 0.97):
            command = {"do": "remove", "name": self.one(voters)}
        else:
            return False
        self.operate(leader, command)
        if self.chance.draw() < 0.3:
            self.at(1, self.change)
        return True

    def changes(self):
        """Several operators at once, perhaps at a leader that reaches few."""
        leader = self.seated()
        if leader is None:
            return False
        voters = leader.keeper.log.members.voters
        others = [name for name in voters if name != leader.name]
        if self.chance.draw() < 0.5:
            near = {leader.name, self.one(others)} if len(voters) > 3 else {leader.name}
            self.severed = {
                (one, other)
                for one in self.hosts
                for other in self.hosts
                if (one in near) != (other in near)
            }
            others = [name for name in others if name not in near]
            self.at(200 + self.chance.draw() * 2_000, self.heal)
        for step in range(min(2, len(voters) - 2)):
            self.at(5 * step, self.operate, leader, {"do": "remove", "name": others[step]})
        return len(voters) > 2

    def power(self):
        """All at once, as soon as somebody was told that his write is agreed: nobody has the time to sync."""
        self.dark = 1
        return True

    def darken(self):
        for host in self.hosts.values():
            self.crash(host, True)

    def transfer_and_cut(self):
        """The leader tells another to take over and then hears nothing more."""
        self.deaf = True
        return self.transfer()

    def deafen(self, name):
        self.severed = {(other, name) for other in self.hosts}

    def strikes(self):
        self.struck = 2 + self.lot(4)
        return True

    def strike(self, host):
        """A leader is hit just as it begins: it reaches nobody or one, and it or those that made it one restart."""
        others = [name for name in self.hosts if name != host.name]
        near = self.one(others) if self.chance.draw() < 0.7 else None
        self.severed = {(host.name, name) for name in others if name != near}
        if self.chance.draw() < 0.3:
            self.severed |= {(name, host.name) for name in others}
            for name in others:
                self.at(1, self.crash, self.hosts[name], False)
            self.at(3_000, self.heal)
        else:
            self.at(10 + self.chance.draw() * 120, self.gone, host)

    def operate(self, leader, command):
        self.tokens += 1
        self.tell(
            leader,
            Proposed(
                self.token(("operator",)),
                f"operator{self.tokens}",
                0,
                1,
                {"part": KEEPERS, **command},
            ),
        )

    def transfer(self):
        leader = self.leader()
        if leader:
            self.operate(
                leader, {"do": "transfer", "name": self.one(leader.keeper.log.members.voters)}
            )
        return leader is not None

    def disk_failed(self):
        """The keeper is of no use until it is begun again, with what its disk holds."""
        host = self.one(self.hosts.values())
        if host.keeper is None or host.stalled > self.now:
            return False
        self.tell(host, messages.DiskFailed("by chance"))
        self.at(500 + self.chance.draw() * 2_000, self.crash, host, True)
        return True

    # The end.

    def settle(self):
        """No faults any more: a write that was begun then is acknowledged, or the fleet has come to a standstill."""
        self.severed, self.mix, self.loss, self.copies, self.slow = set(), [], 0.0, 0.0, 0.0
        self.struck = self.dark = self.deaf = 0
        for host in self.hosts.values():
            host.stalled = 0
            self.wake(host)
            if host.keeper and host.keeper.role == STOPPED:
                self.crash(host, True)
        before = self.writes_done
        self.run_for(SETTLED, lambda: self.writes_done >= before + 6)
        self.bereft = not all(
            self.whole(host.keeper.log.members.voters)
            for host in self.hosts.values()
            if host.keeper
        )
        if self.writes_done < before + 6 and not self.bereft:
            raise Standstill("nothing is agreed though all faults are over")
        if self.writes_done > before and self.acked > max(
            len(host.register.order) for host in self.hosts.values()
        ):
            raise Broken("what was acknowledged is gone")

    def whole(self, voters):
        """Whether enough of them have the disk that the list names. No list: one that nobody took in yet."""
        return not voters or 2 * sum(
            self.hosts[name].disk.life == life for name, life in voters.items()
        ) > len(voters)


CARRIED = {
    Send: World.send,
    Persist: World.persist,
    SetTimer: World.timer,
    Answered: World.answered,
    ReadReady: World.read_ready,
    Refused: World.refused,
    Applied: World.applied,
    messages.StoodDown: lambda world, host, effect: None,
}
DONE = {
    "cut": World.cut,
    "cut one way": World.cut_one_way,
    "heal": World.heal,
    "stall": World.stall,
    "crash": World.crash_one,
    "lose tail": lambda world: world.crash_one(True),
    "lose disk": World.lose_disk,
    "crash of the leader": World.crash_leader,
    "leader half heard": World.half_heard,
    "change": World.change,
    "transfer": World.transfer,
    "disk failed": World.disk_failed,
    "changes at once": World.changes,
    "transfer and cut": World.transfer_and_cut,
    "power lost": World.power,
    "elections struck": World.strikes,
}


def explore(seed, steps, variant: Optional[str] = None, terms=SMALL, focus=None):
    """A Report of one run. steps: events that keepers handle. variant: a name in BROKEN. focus: names of FAULTS, of
    which alone there are many then, on a network that is fair else; without it the seed draws a mix."""
    world, found, standstill = World(seed, variant, terms, focus), [], None
    try:
        world.run(steps)
        world.settle()
    except Broken as wrong:
        found.append(f"seed {seed}, event {world.states}, at {world.now}: {wrong}")
    except Standstill as wrong:
        standstill = f"seed {seed}, event {world.states}, at {world.now}: {wrong}"
    return Report(
        world.states,
        dict(world.faults),
        world.writes_done,
        world.reads_done,
        len(world.leaders),
        tuple(found),
        standstill,
        world.bereft,
    )


def search(variant, seeds, steps):
    """(seeds tried, the first counterexample) or (seeds tried, None)."""
    tried = 0
    for seed in seeds:
        tried += 1
        report = explore(seed, steps, variant, focus=FOCUS.get(variant))
        if report.counterexamples:
            return tried, report.counterexamples[0]
    return tried, None


# Keepers that are wrong in one thing each: what doesn't find them finds nothing.


class Unsynced(RaftNode):
    """Answers before it wrote."""

    def _hold(self, now, thing):
        self._release(now, thing)

    def _persist(self, *records):
        super()._persist(*records)
        self.safe = self.log.last


class Forgetful(RaftNode):
    """Its term and vote are gone at a restart."""

    @staticmethod
    def tampered(records):
        return [one for one in records if type(one) is not messages.Voted]


class CountsOld(RaftNode):
    """Takes an earlier term's entries for agreed since a majority holds them."""

    def _countable(self, index):
        return True


class Twice(RaftNode):
    """Applies a repeated number again."""

    def _sessions(self, machine):
        return AllNew(machine, self.terms.sessions_most)


class AllNew(Sessions):
    def known(self, origin, incarnation, number):
        return None


class ReadsAlone(RaftNode):
    """Serves reads without having asked whether it leads still."""

    def _leased(self, now):
        return True


class StoodStill(RaftNode):
    """Its lease lasts while it stands still, since it looks at its clock with its timer only."""

    early = 0

    def handle(self, now, event):
        if type(event) is TimerDue:
            self.early = now
        self.before = now
        return super().handle(now, event)

    def _leased(self, now):
        return self.leases and self.early < self.lease_until


class ManyChanges(RaftNode):
    """Takes a change of members before the one before is agreed."""

    def _alone(self):
        return True


class LostVotes(RaftNode):
    """A disk that was lost votes as if it knew."""

    keeps_life = True


class TimeBack(RaftNode):
    """Stamps by its own clock, whatever earlier leaders stamped."""

    def _agreed_time(self, now):
        return now


class VotesOld(RaftNode):
    """Votes for a log older than its own."""

    def _judge(self, now, event):
        sender, ask = event
        last = self.log.last_term + 1
        return super()._judge(now, event._replace(message=ask._replace(last_term=last)))


class LearnersCount(RaftNode):
    """A learner's acknowledgement counts as a voter's."""

    def _commit(self, now):
        if self.role != LEADER:
            return
        held = sorted([self.safe, *(peer.match for peer in self.peers.values())], reverse=True)
        index = held[len(self.log.members.voters) // 2]
        if index > self.committed and self._countable(index):
            self._commit_to(index)


class Overwrites(RaftNode):
    """Takes a leader's entries without a look at what is before them."""

    def _take(self, now, event):
        sender, message = event
        term = self.log.term(message.previous)
        return super()._take(
            now,
            event if term is None else event._replace(message=message._replace(previous_term=term)),
        )


BROKEN = {
    "answers before it wrote": Unsynced,
    "forgets its vote": Forgetful,
    "counts an earlier term's": CountsOld,
    "applies twice": Twice,
    "reads alone": ReadsAlone,
    "stood still": StoodStill,
    "many changes": ManyChanges,
    "lost disk votes": LostVotes,
    "time goes back": TimeBack,
    "votes for an older log": VotesOld,
    "learners count": LearnersCount,
    "takes without a look": Overwrites,
}

# Under which faults a variant shows soon; the others do so under any mix.
FOCUS = {
    "answers before it wrote": ("power lost",),
    "counts an earlier term's": ("elections struck",),
    "reads alone": ("transfer and cut",),
    "stood still": ("stall",),
    "many changes": ("changes at once",),
    "learners count": ("change", "leader half heard", "lose tail"),
    "lost disk votes": ("lose disk", "change"),
    "forgets its vote": ("elections struck",),
}

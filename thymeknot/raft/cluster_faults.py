"""Faults that are done to a simulated cluster, and what its operators do.

Each seed draws its own mix of faults, since a little of everything at once reaches few corners
(Groce et al., "Swarm Testing", 2012).
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from .messages import Message
from .node import RaftNode
from .node_interface import DiskFailed
from .records import Members
from .roles import Role
from .simulated_clients import SimulatedClients
from .simulated_cluster import Conditions, SimulatedCluster
from .simulated_host import Disk, Host

PAUSE_AFTER_NOTHING = 50
"""Until the next fault where one could not be done."""
MIN_VOTERS = 3
"""An operator seldom leaves fewer."""


class Fault(StrEnum):
    """Kinds of faults. The values are reported; their order is that of the weights."""

    PARTITION = "cut"
    PARTITION_ONE_WAY = "cut one way"
    HEAL = "heal"
    STALL = "stall"
    CRASH = "crash"
    CRASH_LOSING_TAIL = "lose tail"
    LOSE_DISK = "lose disk"
    CRASH_LEADER = "crash of the leader"
    LEADER_HALF_HEARD = "leader half heard"
    CHANGE = "change"
    CONCURRENT_CHANGES = "changes at once"
    TRANSFER = "transfer"
    TRANSFER_AND_PARTITION = "transfer and cut"
    POWER_LOST = "power lost"
    DISK_FAILED = "disk failed"
    ELECTIONS_STRUCK = "elections struck"


FAULTS = tuple(Fault)


class FaultInjector:
    """Does faults to a cluster, each kind as often as the run's conditions weigh it."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        clients: SimulatedClients,
        conditions: Conditions,
        keeps_disk_incarnation: bool,
    ) -> None:
        self.counts: Counter[Fault] = Counter()
        self._cluster = cluster
        self._clients = clients
        self._random = cluster.random
        self._weights = conditions.fault_weights
        self._pause = conditions.fault_pause
        self._promotion_share = conditions.promotion_share
        self._keeps_disk_incarnation = keeps_disk_incarnation
        self._strikes_left = 0  # leaders that are hit as they begin
        self._power_fails = False  # at the next acknowledged write
        self._deafens_leader = False  # at the next transfer of leadership
        cluster.on_new_leader = self._new_leader
        cluster.on_timeout_now = self._timeout_now
        clients.on_acknowledged = self._write_acknowledged
        self._faults: dict[Fault, Callable[[], bool]] = {
            Fault.PARTITION: self._partition,
            Fault.PARTITION_ONE_WAY: self._partition_one_way,
            Fault.HEAL: self._heal,
            Fault.STALL: self._stall,
            Fault.CRASH: lambda: self._crash_any(False),
            Fault.CRASH_LOSING_TAIL: lambda: self._crash_any(True),
            Fault.LOSE_DISK: self._lose_disk,
            Fault.CRASH_LEADER: self._crash_leader,
            Fault.LEADER_HALF_HEARD: self._half_hear_leader,
            Fault.CHANGE: self._change_members,
            Fault.CONCURRENT_CHANGES: self._change_members_concurrently,
            Fault.TRANSFER: self._transfer_leadership,
            Fault.TRANSFER_AND_PARTITION: self._transfer_and_partition,
            Fault.POWER_LOST: self._plan_power_failure,
            Fault.DISK_FAILED: self._fail_disk,
            Fault.ELECTIONS_STRUCK: self._plan_strikes,
        }
        cluster.schedule(self._pause, self._inject)

    def end(self) -> None:
        """No more faults; what stands still or is stopped goes on."""
        cluster = self._cluster
        cluster.end_network_faults()
        self._weights = []
        self._strikes_left = 0
        self._power_fails = False
        self._deafens_leader = False
        for host in cluster.hosts.values():
            host.stalled_until = 0
            cluster.wake(host)
            if host.node and host.node.role == Role.STOPPED:
                cluster.crash(host, True)

    def _inject(self) -> None:
        done = False
        if sum(self._weights) > 0:
            kind = FAULTS[self._random.pick(self._weights)]
            done = self._faults[kind]()
            self.counts[kind] += done
        pause = self._pause * self._random.draw() * 2 if done else PAUSE_AFTER_NOTHING
        self._cluster.schedule(pause, self._inject)

    # Leaders.

    def _leader(self) -> Host | None:
        """The host that leads in the latest term, or None."""
        leading = [host for host in self._cluster.hosts.values() if host.leads()]
        return max(leading, key=lambda host: _node(host).term) if leading else None

    def _settled_leader(self) -> Host | None:
        """A leader of whose term something is committed."""
        host = self._leader()
        if host is None or host.stalled_until > self._cluster.now:
            return None
        node = _node(host)
        settled = node.state.commit_index >= node.replication.first_index_of_term
        return host if settled else None

    def _members(self, leader: Host) -> Members:
        return _node(leader).log.members

    # The network.

    def _sever(self, side: set[str]) -> None:
        """Cuts off the hosts on one side from the others."""
        names = self._cluster.hosts
        self._cluster.severed = {
            (one, other) for one in names for other in names if (one in side) != (other in side)
        }

    def _partition(self) -> bool:
        """Cuts the cluster in two; messages that are on their way are lost too."""
        self._sever({name for name in self._cluster.hosts if self._random.draw() < 0.5})
        self._cluster.schedule(self._random.draw() * 4_000, self._heal)
        return True

    def _partition_one_way(self) -> bool:
        one = self._cluster.any_host().name
        other = self._cluster.any_host().name
        self._cluster.severed.add((one, other))
        self._cluster.schedule(self._random.draw() * 4_000, self._heal)
        return one != other

    def _heal(self) -> bool:
        self._cluster.severed = set()
        return True

    # Hosts.

    def _stall(self) -> bool:
        """A host stands still for a while, most likely the leader."""
        cluster = self._cluster
        host = self._leader() if self._random.draw() < 0.7 else cluster.any_host()
        if host is None or host.node is None or host.stalled_until > cluster.now:
            return False
        span = cluster.settings.lease_duration * (0.5 + self._random.draw() * 10)
        host.stalled_until = cluster.now + int(span)
        cluster.schedule(span + 1, cluster.wake, host)
        return True

    def _crash_any(self, loses_tail: bool) -> bool:
        self._cluster.crash(self._cluster.any_host(), loses_tail)
        return True

    def _crash_leader(self) -> bool:
        host = self._leader()
        if host:
            self._cluster.crash(host, True)
        return host is not None

    def _half_hear_leader(self) -> bool:
        """A leader reaches one other only and then is gone; what it left there may be committed."""
        host = self._leader()
        if host is None:
            return False
        names = self._cluster.hosts
        learners = [name for name in self._members(host).learners if name in names]
        if learners and self._random.draw() < 0.5:
            choices = learners
        else:
            choices = [name for name in names if name != host.name]
        other = self._cluster.choose(choices)
        self._cluster.severed = {
            (host.name, name) for name in names if name not in (host.name, other)
        }
        self._cluster.schedule(20 + self._random.draw() * 400, self._crash_and_heal, host)
        return True

    def _crash_and_heal(self, host: Host) -> None:
        self._cluster.crash(host, self._random.draw() < 0.5)
        self._cluster.severed = set()

    def _plan_power_failure(self) -> bool:
        """All hosts fail as soon as a write is acknowledged: none has the time to sync."""
        self._power_fails = True
        return True

    def _write_acknowledged(self) -> None:
        if self._power_fails:
            self._power_fails = False
            self._cluster.schedule(0, self._fail_power)

    def _fail_power(self) -> None:
        for host in self._cluster.hosts.values():
            self._cluster.crash(host, True)

    def _plan_strikes(self) -> bool:
        self._strikes_left = 2 + self._cluster.draw_below(4)
        return True

    def _new_leader(self, host: Host) -> None:
        if self._strikes_left:
            self._strikes_left -= 1
            self._strike(host)

    def _strike(self, host: Host) -> None:
        """A new leader reaches nobody or one, and it or those that elected it restart."""
        cluster = self._cluster
        others = [name for name in cluster.hosts if name != host.name]
        near = cluster.choose(others) if self._random.draw() < 0.7 else None
        cluster.severed = {(host.name, name) for name in others if name != near}
        if self._random.draw() < 0.3:
            cluster.severed |= {(name, host.name) for name in others}
            for name in others:
                cluster.schedule(1, cluster.crash, cluster.hosts[name], False)
            cluster.schedule(3_000, self._heal)
        else:
            cluster.schedule(10 + self._random.draw() * 120, self._crash_and_heal, host)

    # Disks.

    def _may_lose_disk(self) -> bool:
        """Whether all voters have their disks: Raft promises nothing if a majority loses them."""
        leader = self._leader()
        if leader is None:
            return False
        node = _node(leader)
        if node.log.membership_changes[-1].log_index > node.state.commit_index:
            return False
        voters = node.log.members.voters
        hosts = self._cluster.hosts
        complete = all(hosts[name].disk.incarnation == disk for name, disk in voters.items())
        return complete and len(voters) >= MIN_VOTERS

    def _lose_disk(self) -> bool:
        """A node comes back under a new disk incarnation, as a learner once it is taken in."""
        if not self._may_lose_disk():
            return False
        cluster = self._cluster
        host = cluster.any_host()
        cluster.crash(host, True)
        host.disk = Disk(cluster.new_incarnation())
        if self._keeps_disk_incarnation and host.name in cluster.founders:
            host.disk.incarnation = 0
        return True

    def _fail_disk(self) -> bool:
        """A node is of no use until it is started again, with what its disk holds."""
        cluster = self._cluster
        host = cluster.any_host()
        if host.node is None or host.stalled_until > cluster.now:
            return False
        cluster.tell(host, DiskFailed("by chance"))
        cluster.schedule(500 + self._random.draw() * 2_000, cluster.crash, host, True)
        return True

    # Operators.

    def _change_members(self) -> bool:
        """An operator puts back who lost its disk, takes nodes in and out."""
        leader = self._settled_leader()
        if leader is None:
            return False
        command = self._change_command(self._members(leader))
        if command is None:
            return False
        self._clients.operate(leader, command)
        if self._random.draw() < 0.3:
            self._cluster.schedule(1, self._change_members)
        return True

    def _change_command(self, members: Members) -> dict[str, object] | None:
        voters, learners = members
        hosts = self._cluster.hosts
        listed = {**voters, **learners}
        replaced = [name for name, disk in listed.items() if hosts[name].disk.incarnation != disk]
        outside = [name for name in hosts if name not in listed]
        draw = self._random.draw()
        if replaced:
            return self._add_command(replaced)
        if learners and draw < self._promotion_share:
            return {"do": "promote", "name": self._cluster.choose(learners)}
        if outside and (draw < 0.85 or len(voters) < MIN_VOTERS):
            return self._add_command(outside)
        if len(voters) > MIN_VOTERS or (len(voters) == MIN_VOTERS and draw > 0.97):
            return {"do": "remove", "name": self._cluster.choose(voters)}
        return None

    def _add_command(self, names: list[str]) -> dict[str, object]:
        name = names[self._cluster.draw_below(len(names))]
        return {"do": "add", "name": name, "life": self._cluster.hosts[name].disk.incarnation}

    def _change_members_concurrently(self) -> bool:
        """Several operators at once, perhaps at a leader that reaches few."""
        leader = self._settled_leader()
        if leader is None:
            return False
        cluster = self._cluster
        voters = self._members(leader).voters
        others = [name for name in voters if name != leader.name]
        if self._random.draw() < 0.5:
            near = {leader.name}
            if len(voters) > MIN_VOTERS:
                near.add(others[cluster.draw_below(len(others))])
            self._sever(near)
            others = [name for name in others if name not in near]
            cluster.schedule(200 + self._random.draw() * 2_000, self._heal)
        for step in range(min(2, len(voters) - 2)):
            command = {"do": "remove", "name": others[step]}
            cluster.schedule(5 * step, self._clients.operate, leader, command)
        return len(voters) > 2

    def _transfer_leadership(self) -> bool:
        leader = self._leader()
        if leader:
            name = self._cluster.choose(self._members(leader).voters)
            self._clients.operate(leader, {"do": "transfer", "name": name})
        return leader is not None

    def _transfer_and_partition(self) -> bool:
        """The leader tells another to take over and then hears nothing more."""
        self._deafens_leader = True
        return self._transfer_leadership()

    def _timeout_now(self, sender: str, peer: str, message: Message) -> None:
        if not self._deafens_leader:
            return
        cluster = self._cluster
        self._deafens_leader = False
        cluster.severed = {(other, sender) for other in cluster.hosts}
        cluster.schedule(1_000, self._heal)
        cluster.schedule(1, cluster.arrive, sender, peer, message)


def _node(host: Host) -> RaftNode:
    if host.node is None:
        raise ValueError(f"{host.name} is down")
    return host.node

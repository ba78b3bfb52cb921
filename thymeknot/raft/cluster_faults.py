"""Fault injection and operator actions in a simulated cluster.

Each seed draws its own subset and mix of faults, since runs with a little of every fault reach few
corner cases (Groce et al., "Swarm Testing", 2012).
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

SKIPPED_FAULT_INTERVAL = 50
"""Interval until the next fault if one could not be injected."""
MIN_VOTERS = 3
"""Number of voters that operators seldom go below."""


class Fault(StrEnum):
    """Kinds of faults. The values are reported; the order is that of the fault weights."""

    PARTITION = "cut"
    PARTITION_ONE_WAY = "cut one way"
    HEAL = "heal"
    STALL = "stall"
    CRASH = "crash"
    CRASH_LOSING_TAIL = "lose tail"
    LOSE_DISK = "lose disk"
    CRASH_LEADER = "crash of the leader"
    LEADER_REACHES_ONE = "leader half heard"
    MEMBERSHIP_CHANGE = "change"
    CONCURRENT_MEMBERSHIP_CHANGES = "changes at once"
    LEADERSHIP_TRANSFER = "transfer"
    TRANSFER_AND_ISOLATE_LEADER = "transfer and cut"
    POWER_FAILURE = "power lost"
    DISK_FAILURE = "disk failed"
    ELECTION_DISRUPTION = "elections struck"


FAULTS = tuple(Fault)


class FaultInjector:
    """Injects faults into a cluster with the frequencies that the run's conditions define."""

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
        self._fault_weights = conditions.fault_weights
        self._mean_interval = conditions.mean_fault_interval
        self._promotion_share = conditions.promotion_share
        self._keeps_disk_incarnation = keeps_disk_incarnation
        self._disruptions_left = 0  # number of new leaders still to be disrupted
        self._power_failure_pending = False  # at the next acknowledged write
        self._leader_isolation_pending = False  # at the next leadership transfer
        cluster.on_new_leader = self._handle_new_leader
        cluster.on_timeout_now = self._handle_timeout_now
        clients.on_acknowledged = self._handle_acknowledged_write
        self._injectors: dict[Fault, Callable[[], bool]] = {
            Fault.PARTITION: self._partition,
            Fault.PARTITION_ONE_WAY: self._partition_one_way,
            Fault.HEAL: self._heal,
            Fault.STALL: self._stall,
            Fault.CRASH: lambda: self._crash_random_host(False),
            Fault.CRASH_LOSING_TAIL: lambda: self._crash_random_host(True),
            Fault.LOSE_DISK: self._lose_disk,
            Fault.CRASH_LEADER: self._crash_leader,
            Fault.LEADER_REACHES_ONE: self._let_leader_reach_one,
            Fault.MEMBERSHIP_CHANGE: self._change_members,
            Fault.CONCURRENT_MEMBERSHIP_CHANGES: self._change_members_concurrently,
            Fault.LEADERSHIP_TRANSFER: self._transfer_leadership,
            Fault.TRANSFER_AND_ISOLATE_LEADER: self._transfer_and_isolate_leader,
            Fault.POWER_FAILURE: self._schedule_power_failure,
            Fault.DISK_FAILURE: self._fail_disk,
            Fault.ELECTION_DISRUPTION: self._schedule_election_disruptions,
        }
        cluster.schedule(self._mean_interval, self._inject_next)

    def stop(self) -> None:
        """Stops injecting faults, ends all stalls and restarts nodes that stopped."""
        cluster = self._cluster
        cluster.end_network_faults()
        self._fault_weights = []
        self._disruptions_left = 0
        self._power_failure_pending = False
        self._leader_isolation_pending = False
        for host in cluster.hosts.values():
            host.stalled_until = 0
            cluster.resume(host)
            if host.node and host.node.role == Role.STOPPED:
                cluster.crash(host, True)

    def _inject_next(self) -> None:
        injected = False
        if sum(self._fault_weights) > 0:
            kind = FAULTS[self._random.pick(self._fault_weights)]
            injected = self._injectors[kind]()
            self.counts[kind] += injected
        interval = (
            self._mean_interval * self._random.draw() * 2 if injected else SKIPPED_FAULT_INTERVAL
        )
        self._cluster.schedule(interval, self._inject_next)

    # Finding the leader.

    def _leader(self) -> Host | None:
        """Returns the host that is leader in the latest term, or None."""
        leading = [host for host in self._cluster.hosts.values() if host.is_leader()]
        return max(leading, key=lambda host: _node(host).term) if leading else None

    def _settled_leader(self) -> Host | None:
        """Returns the leader if it has committed an entry of its term and does not stall."""
        host = self._leader()
        if host is None or host.stalled_until > self._cluster.now:
            return None
        node = _node(host)
        settled = node.state.commit_index >= node.replication.first_index_of_term
        return host if settled else None

    def _members(self, leader: Host) -> Members:
        return _node(leader).log.members

    # Network faults.

    def _cut_off(self, side: set[str]) -> None:
        """Blocks all links between the hosts in `side` and the others."""
        names = self._cluster.hosts
        self._cluster.blocked_links = {
            (sender, receiver)
            for sender in names
            for receiver in names
            if (sender in side) != (receiver in side)
        }

    def _partition(self) -> bool:
        """Partitions the cluster into two random sides; messages in flight are lost too."""
        self._cut_off({name for name in self._cluster.hosts if self._random.draw() < 0.5})
        self._cluster.schedule(self._random.draw() * 4_000, self._heal)
        return True

    def _partition_one_way(self) -> bool:
        sender = self._cluster.random_host().name
        receiver = self._cluster.random_host().name
        self._cluster.blocked_links.add((sender, receiver))
        self._cluster.schedule(self._random.draw() * 4_000, self._heal)
        return sender != receiver

    def _heal(self) -> bool:
        self._cluster.blocked_links = set()
        return True

    # Host faults.

    def _stall(self) -> bool:
        """Stalls a host, usually the leader, for 0.5 to 10.5 lease durations."""
        cluster = self._cluster
        host = self._leader() if self._random.draw() < 0.7 else cluster.random_host()
        if host is None or host.node is None or host.stalled_until > cluster.now:
            return False
        duration = cluster.settings.lease_duration * (0.5 + self._random.draw() * 10)
        host.stalled_until = cluster.now + int(duration)
        cluster.schedule(duration + 1, cluster.resume, host)
        return True

    def _crash_random_host(self, loses_tail: bool) -> bool:
        self._cluster.crash(self._cluster.random_host(), loses_tail)
        return True

    def _crash_leader(self) -> bool:
        host = self._leader()
        if host:
            self._cluster.crash(host, True)
        return host is not None

    def _let_leader_reach_one(self) -> bool:
        """Lets the leader reach a single host, then crashes it.

        The entries replicated to that host may still be committed by a later leader.
        """
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
        self._cluster.blocked_links = {
            (host.name, name) for name in names if name not in (host.name, other)
        }
        self._cluster.schedule(20 + self._random.draw() * 400, self._crash_and_heal, host)
        return True

    def _crash_and_heal(self, host: Host) -> None:
        self._cluster.crash(host, self._random.draw() < 0.5)
        self._cluster.blocked_links = set()

    def _schedule_power_failure(self) -> bool:
        """Crashes all hosts right after the next acknowledged write, before they can sync."""
        self._power_failure_pending = True
        return True

    def _handle_acknowledged_write(self) -> None:
        if self._power_failure_pending:
            self._power_failure_pending = False
            self._cluster.schedule(0, self._crash_all_hosts)

    def _crash_all_hosts(self) -> None:
        for host in self._cluster.hosts.values():
            self._cluster.crash(host, True)

    def _schedule_election_disruptions(self) -> bool:
        self._disruptions_left = 2 + self._cluster.random_below(4)
        return True

    def _handle_new_leader(self, host: Host) -> None:
        if self._disruptions_left:
            self._disruptions_left -= 1
            self._disrupt_new_leader(host)

    def _disrupt_new_leader(self, host: Host) -> None:
        """Isolates a new leader except for at most one host, then crashes it or the others."""
        cluster = self._cluster
        others = [name for name in cluster.hosts if name != host.name]
        reachable = cluster.choose(others) if self._random.draw() < 0.7 else None
        cluster.blocked_links = {(host.name, name) for name in others if name != reachable}
        if self._random.draw() < 0.3:
            cluster.blocked_links |= {(name, host.name) for name in others}
            for name in others:
                cluster.schedule(1, cluster.crash, cluster.hosts[name], False)
            cluster.schedule(3_000, self._heal)
        else:
            cluster.schedule(10 + self._random.draw() * 120, self._crash_and_heal, host)

    # Disk faults.

    def _disk_loss_allowed(self) -> bool:
        """Returns whether a disk may be lost: only while all voters still have theirs.

        Raft guarantees nothing if a majority of the voters loses its disks.
        """
        leader = self._leader()
        if leader is None:
            return False
        node = _node(leader)
        if node.log.membership_changes[-1].log_index > node.state.commit_index:
            return False
        voters = node.log.members.voters
        hosts = self._cluster.hosts
        all_disks_kept = all(hosts[name].disk.incarnation == disk for name, disk in voters.items())
        return all_disks_kept and len(voters) >= MIN_VOTERS

    def _lose_disk(self) -> bool:
        """Replaces a disk: the node returns with a new disk incarnation.

        It has no vote until an operator adds it again, as a learner, and promotes it.
        """
        if not self._disk_loss_allowed():
            return False
        cluster = self._cluster
        host = cluster.random_host()
        cluster.crash(host, True)
        host.disk = Disk(cluster.new_incarnation())
        if self._keeps_disk_incarnation and host.name in cluster.founders:
            host.disk.incarnation = 0
        return True

    def _fail_disk(self) -> bool:
        """Fails a disk: the node stops until it is restarted with the records on its disk."""
        cluster = self._cluster
        host = cluster.random_host()
        if host.node is None or host.stalled_until > cluster.now:
            return False
        cluster.handle_event(host, DiskFailed("injected fault"))
        cluster.schedule(500 + self._random.draw() * 2_000, cluster.crash, host, True)
        return True

    # Operator actions.

    def _change_members(self) -> bool:
        """Re-adds a node that lost its disk, or adds, promotes or removes a node."""
        leader = self._settled_leader()
        if leader is None:
            return False
        command = self._draw_change_command(self._members(leader))
        if command is None:
            return False
        self._clients.send_operator_command(leader, command)
        if self._random.draw() < 0.3:
            self._cluster.schedule(1, self._change_members)
        return True

    def _draw_change_command(self, members: Members) -> dict[str, object] | None:
        voters, learners = members
        hosts = self._cluster.hosts
        listed = {**voters, **learners}
        replaced = [name for name, disk in listed.items() if hosts[name].disk.incarnation != disk]
        outside = [name for name in hosts if name not in listed]
        draw = self._random.draw()
        if replaced:
            return self._draw_add_command(replaced)
        if learners and draw < self._promotion_share:
            return {"do": "promote", "name": self._cluster.choose(learners)}
        if outside and (draw < 0.85 or len(voters) < MIN_VOTERS):
            return self._draw_add_command(outside)
        if len(voters) > MIN_VOTERS or (len(voters) == MIN_VOTERS and draw > 0.97):
            return {"do": "remove", "name": self._cluster.choose(voters)}
        return None

    def _draw_add_command(self, names: list[str]) -> dict[str, object]:
        name = names[self._cluster.random_below(len(names))]
        return {"do": "add", "name": name, "life": self._cluster.hosts[name].disk.incarnation}

    def _change_members_concurrently(self) -> bool:
        """Removes up to two voters at nearly the same time, perhaps via a leader without quorum."""
        leader = self._settled_leader()
        if leader is None:
            return False
        cluster = self._cluster
        voters = self._members(leader).voters
        others = [name for name in voters if name != leader.name]
        if self._random.draw() < 0.5:
            reachable = {leader.name}
            if len(voters) > MIN_VOTERS:
                reachable.add(others[cluster.random_below(len(others))])
            self._cut_off(reachable)
            others = [name for name in others if name not in reachable]
            cluster.schedule(200 + self._random.draw() * 2_000, self._heal)
        for step in range(min(2, len(voters) - 2)):
            command = {"do": "remove", "name": others[step]}
            cluster.schedule(5 * step, self._clients.send_operator_command, leader, command)
        return len(voters) > 2

    def _transfer_leadership(self) -> bool:
        leader = self._leader()
        if leader:
            name = self._cluster.choose(self._members(leader).voters)
            self._clients.send_operator_command(leader, {"do": "transfer", "name": name})
        return leader is not None

    def _transfer_and_isolate_leader(self) -> bool:
        """Transfers leadership and isolates the former leader from incoming messages."""
        self._leader_isolation_pending = True
        return self._transfer_leadership()

    def _handle_timeout_now(self, sender: str, peer: str, message: Message) -> None:
        if not self._leader_isolation_pending:
            return
        cluster = self._cluster
        self._leader_isolation_pending = False
        cluster.blocked_links = {(other, sender) for other in cluster.hosts}
        cluster.schedule(1_000, self._heal)
        cluster.schedule(1, cluster.deliver, sender, peer, message)


def _node(host: Host) -> RaftNode:
    if host.node is None:
        raise ValueError(f"host {host.name} is down and has no node")
    return host.node

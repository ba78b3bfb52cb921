"""Searches random interleavings and faults for violations of Raft's invariants."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from ..interface.clock import Ticks
from ..state.random_source import LinearCongruentialGenerator
from .broken_variants import BROKEN_VARIANTS, CORRECT_VARIANT, REVEALING_FAULTS
from .cluster_faults import FAULTS, Fault, FaultInjector
from .errors import RaftError
from .settings import ElectionTimeout, RaftSettings
from .simulated_clients import SimulatedClients
from .simulated_cluster import Conditions, InvariantError, Random, SimulatedCluster

SMALL_LIMITS = RaftSettings(
    heartbeat_interval=100,
    election_timeout=ElectionTimeout(500, 1_000),
    lease_duration=300,
    lease_reads=True,
    clock_drift=0.01,
    max_pending_requests=16,
    max_pending_bytes=4096,
    max_command_bytes=512,
    max_batch_entries=2,
    max_batch_bytes=512,
    snapshot_threshold=24,
    retained_entries=4,
    snapshot_chunk_bytes=256,
    max_sessions=8,
    max_promotion_lag=4,
    max_delayed_messages=64,
)
"""Small limits, so that short runs reach them."""
RECOVERY_TIMEOUT: Ticks = 40_000
"""Simulated time within which a cluster has to acknowledge writes after its faults ended."""
RECOVERY_WRITES = 6
"""Number of acknowledged writes that show that a cluster makes progress."""
WARM_UP_DRAWS = 4
"""Number of draws that are skipped, because those of similar seeds are similar."""


class LivenessError(RaftError):
    """The cluster makes no progress although a quorum of the voters is available."""


class Report(NamedTuple):
    """Result of a run.

    Attributes:
        event_count: Number of events that nodes handled.
        faults: Number of injected faults by kind.
        writes: Number of acknowledged writes.
        reads: Number of answered reads.
        leaders: Number of terms that had a leader.
        counterexamples: Descriptions of violated invariants. The first one ends the run.
        liveness_failure: Description, if the cluster made no progress after the faults ended
            although it had a quorum; else None.
        quorum_lost: Whether faults and operators left too few voters with their disks to commit
            entries.
    """

    event_count: int
    faults: Mapping[Fault, int]
    writes: int
    reads: int
    leaders: int
    counterexamples: tuple[str, ...]
    liveness_failure: str | None
    quorum_lost: bool


class SearchResult(NamedTuple):
    """Number of seeds that were tried, and the first counterexample or None."""

    tried: int
    counterexample: str | None


def draw_conditions(random: Random, focus: Collection[str] | None) -> Conditions:
    """Draws the conditions of a run.

    With a focus, only the kinds of faults in it are injected, and network faults are rare.
    """
    loss_share = random.draw() * 0.2
    duplication_share = random.draw() * 0.15
    delayed_share = random.draw() * 0.3
    max_extra_delay = 600 if random.draw() < 0.7 else 3_000
    sync_share = random.draw()
    max_sync_delay = sync_share * (60 if random.draw() < 0.6 else 400)
    promotion_share = random.draw()
    single_entries = random.draw() < 0.5
    # Swarm testing: a run has only some kinds of faults, with random weights.
    weights = [random.draw() if random.draw() < 0.6 else 0.0 for _ in FAULTS]
    mean_fault_interval = 200 + random.draw() * 3_000
    if focus:
        weights = [float(kind in focus) for kind in FAULTS]
        mean_fault_interval = 800
        loss_share /= 8
        duplication_share /= 8
        delayed_share /= 8
    return Conditions(
        loss_share=loss_share,
        duplication_share=duplication_share,
        delayed_share=delayed_share,
        max_extra_delay=max_extra_delay,
        max_sync_delay=max_sync_delay,
        promotion_share=promotion_share,
        single_entries=single_entries,
        fault_weights=weights,
        mean_fault_interval=mean_fault_interval,
        founder_count=3 if random.draw() < 0.6 else 5,
    )


class Run:
    """One run of a simulated cluster with its clients and faults."""

    def __init__(
        self,
        seed: int,
        variant_name: str | None,
        settings: RaftSettings,
        focus: Collection[str] | None,
    ) -> None:
        new_random: Callable[[int], Random] = LinearCongruentialGenerator
        random = new_random(seed * 2654435761 + 12345)
        for _ in range(WARM_UP_DRAWS):
            random.draw()
        conditions = draw_conditions(random, focus)
        variant = BROKEN_VARIANTS[variant_name] if variant_name else CORRECT_VARIANT
        if conditions.single_entries:
            settings = settings._replace(max_batch_entries=1)
        self.cluster = SimulatedCluster(
            random,
            conditions,
            settings=settings,
            node_class=variant.node_class,
            records_after_crash=variant.records_after_crash,
        )
        self.clients = SimulatedClients(self.cluster)
        self.faults = FaultInjector(
            self.cluster, self.clients, conditions, variant.keeps_disk_incarnation
        )
        self.quorum_lost = False

    def check_recovery(self) -> None:
        """Stops the faults and checks that the cluster acknowledges new writes.

        New writes are not required if too few voters have their disks.

        Raises:
            LivenessError: No new writes are acknowledged.
            InvariantError: Acknowledged writes are lost.
        """
        clients = self.clients
        hosts = self.cluster.hosts.values()
        self.faults.stop()
        writes_before = clients.writes
        target_writes = writes_before + RECOVERY_WRITES
        self.cluster.run_for(RECOVERY_TIMEOUT, lambda: clients.writes >= target_writes)
        self.quorum_lost = not all(
            self._has_quorum(host.node.log.members.voters) for host in hosts if host.node
        )
        if clients.writes < target_writes and not self.quorum_lost:
            raise LivenessError("writes are not acknowledged although all faults have ended")
        longest = max(len(host.register.write_ids) for host in hosts)
        if clients.writes > writes_before and clients.acknowledged > longest:
            raise InvariantError("acknowledged writes are lost")

    def _has_quorum(self, voters: dict[str, int]) -> bool:
        """Returns whether a majority of the voters still has the disk listed in the configuration.

        A node may have no configuration yet.
        """
        hosts = self.cluster.hosts
        kept_disks = sum(hosts[name].disk.incarnation == disk for name, disk in voters.items())
        return not voters or 2 * kept_disks > len(voters)


def explore(
    seed: int,
    steps: int,
    variant: str | None = None,
    settings: RaftSettings = SMALL_LIMITS,
    focus: Collection[str] | None = None,
) -> Report:
    """Runs a simulated cluster once.

    Args:
        seed: Seed of the random source, which also draws the mix of faults if there is no focus.
        steps: Number of events that nodes handle.
        variant: Name of a variant in BROKEN_VARIANTS; None for correct nodes.
        settings: Settings of all nodes.
        focus: Kinds of faults that are injected, at a high rate and with few network faults; None
            for a random mix.
    """
    run = Run(seed, variant, settings, focus)
    cluster = run.cluster
    counterexamples: tuple[str, ...] = ()
    liveness_failure = None
    try:
        cluster.run(steps)
        run.check_recovery()
    except InvariantError as error:
        counterexamples = (f"seed {seed}, event {cluster.event_count}, at {cluster.now}: {error}",)
    except LivenessError as error:
        liveness_failure = f"seed {seed}, event {cluster.event_count}, at {cluster.now}: {error}"
    return Report(
        event_count=cluster.event_count,
        faults=dict(run.faults.counts),
        writes=run.clients.writes,
        reads=run.clients.reads,
        leaders=len(cluster.leaders),
        counterexamples=counterexamples,
        liveness_failure=liveness_failure,
        quorum_lost=run.quorum_lost,
    )


def search(variant: str, seeds: Iterable[int], steps: int) -> SearchResult:
    """Tries seeds until a run of the variant gives a counterexample."""
    tried = 0
    for seed in seeds:
        tried += 1
        report = explore(seed, steps, variant, focus=REVEALING_FAULTS.get(variant))
        if report.counterexamples:
            return SearchResult(tried, report.counterexamples[0])
    return SearchResult(tried, None)

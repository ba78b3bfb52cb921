"""Looks for interleavings and faults under which something that must hold doesn't."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from ..interface.clock import Ticks
from ..state.random_source import LinearCongruentialGenerator
from .broken_variants import BROKEN, CORRECT, FOCUS
from .cluster_faults import FAULTS, Fault, FaultInjector
from .errors import RaftError
from .settings import ElectionTimeout, RaftSettings
from .simulated_clients import SimulatedClients
from .simulated_cluster import Conditions, InvariantError, Random, SimulatedCluster

SMALL = RaftSettings(
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
"""Small limits, so that runs reach them."""
SETTLING_TIME: Ticks = 40_000
"""Simulated time within which a cluster without faults must acknowledge writes."""
SETTLING_WRITES = 6
"""Writes that show that a cluster gets on."""
WARM_UP_DRAWS = 4
"""The first numbers of similar seeds are similar."""


class StandstillError(RaftError):
    """Nothing gets on, though it could."""


class Report(NamedTuple):
    """What a run came to.

    Attributes:
        states: events that nodes handled.
        faults: counts by kind.
        writes: acknowledged.
        reads: answered.
        leaders: terms that had one.
        counterexamples: sentences; one ends the run.
        standstill: a sentence, if a cluster that has its voters didn't get on after its faults.
        bereft: faults and operators left too few complete voters for anything to be committed.
    """

    states: int
    faults: Mapping[Fault, int]
    writes: int
    reads: int
    leaders: int
    counterexamples: tuple[str, ...]
    standstill: str | None
    bereft: bool


class SearchResult(NamedTuple):
    """How many seeds were tried, and the first counterexample if there was one."""

    tried: int
    counterexample: str | None


def draw_conditions(random: Random, focus: Collection[str] | None) -> Conditions:
    """The conditions of a run; with a focus, few faults of the network and many of some kinds."""
    loss = random.draw() * 0.2
    duplication = random.draw() * 0.15
    late_share = random.draw() * 0.3
    late_delay = 600 if random.draw() < 0.7 else 3_000
    sync_share = random.draw()
    sync_delay = sync_share * (60 if random.draw() < 0.6 else 400)
    promotion_share = random.draw()
    single_entries = random.draw() < 0.5
    # Only some kinds of fault in a run, each as often as it draws.
    weights = [random.draw() if random.draw() < 0.6 else 0.0 for _ in FAULTS]
    pause = 200 + random.draw() * 3_000
    if focus:
        weights = [float(kind in focus) for kind in FAULTS]
        pause = 800
        loss /= 8
        duplication /= 8
        late_share /= 8
    return Conditions(
        loss=loss,
        duplication=duplication,
        late_share=late_share,
        late_delay=late_delay,
        sync_delay=sync_delay,
        promotion_share=promotion_share,
        single_entries=single_entries,
        fault_weights=weights,
        fault_pause=pause,
        founder_count=3 if random.draw() < 0.6 else 5,
    )


class Run:
    """One run of a cluster with its clients and faults."""

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
        variant = BROKEN[variant_name] if variant_name else CORRECT
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
        self.bereft = False

    def settle(self) -> None:
        """Ends the faults: new writes are acknowledged, unless too few disks are left.

        Raises:
            StandstillError: they aren't.
            InvariantError: acknowledged writes are gone.
        """
        clients = self.clients
        hosts = self.cluster.hosts.values()
        self.faults.end()
        before = clients.writes
        wanted = before + SETTLING_WRITES
        self.cluster.run_for(SETTLING_TIME, lambda: clients.writes >= wanted)
        self.bereft = not all(
            self._has_quorum(host.node.log.members.voters) for host in hosts if host.node
        )
        if clients.writes < wanted and not self.bereft:
            raise StandstillError("nothing is agreed though all faults are over")
        longest = max(len(host.register.write_ids) for host in hosts)
        if clients.writes > before and clients.acknowledged > longest:
            raise InvariantError("what was acknowledged is gone")

    def _has_quorum(self, voters: dict[str, int]) -> bool:
        """Whether enough voters have the disk that the list names; a node may have no list yet."""
        hosts = self.cluster.hosts
        complete = sum(hosts[name].disk.incarnation == disk for name, disk in voters.items())
        return not voters or 2 * complete > len(voters)


def explore(
    seed: int,
    steps: int,
    variant: str | None = None,
    settings: RaftSettings = SMALL,
    focus: Collection[str] | None = None,
) -> Report:
    """Runs a cluster once.

    Args:
        seed: of all that is random; it draws a mix of faults unless there is a focus.
        steps: events that nodes handle.
        variant: a name in BROKEN; None for correct nodes.
        settings: of all nodes.
        focus: kinds of faults, of which alone there are many then, on a network that is fair else.
    """
    run = Run(seed, variant, settings, focus)
    cluster = run.cluster
    counterexamples: tuple[str, ...] = ()
    standstill = None
    try:
        cluster.run(steps)
        run.settle()
    except InvariantError as error:
        counterexamples = (f"seed {seed}, event {cluster.event_count}, at {cluster.now}: {error}",)
    except StandstillError as error:
        standstill = f"seed {seed}, event {cluster.event_count}, at {cluster.now}: {error}"
    return Report(
        states=cluster.event_count,
        faults=dict(run.faults.counts),
        writes=run.clients.writes,
        reads=run.clients.reads,
        leaders=len(cluster.leaders),
        counterexamples=counterexamples,
        standstill=standstill,
        bereft=run.bereft,
    )


def search(variant: str, seeds: Iterable[int], steps: int) -> SearchResult:
    """Tries seeds until a variant shows."""
    tried = 0
    for seed in seeds:
        tried += 1
        report = explore(seed, steps, variant, focus=FOCUS.get(variant))
        if report.counterexamples:
            return SearchResult(tried, report.counterexamples[0])
    return SearchResult(tried, None)

"""What an operator sets for the replicated log."""

from typing import NamedTuple

from ..interface.clock import Ticks


class ElectionTimeout(NamedTuple):
    """Range of the randomized election timeout.

    Within `minimum` of a leader's word a node grants no vote, which is what a lease relies on.
    """

    minimum: Ticks
    maximum: Ticks


class RaftSettings(NamedTuple):
    """Timing and limits of one node. Durations are measured on a monotonic clock."""

    heartbeat_interval: Ticks = 500
    election_timeout: ElectionTimeout = ElectionTimeout(3_000, 6_000)
    lease_duration: Ticks = 1_500
    """How long a leader may stand still, or serve reads after a majority answered."""
    lease_reads: bool = False
    """If false, each read waits for a round of heartbeats, whatever the clocks do."""
    clock_drift: float = 0.01
    """The rates of two nodes' clocks may each be off by this share."""
    max_pending_requests: int = 1024
    """Commands without an outcome; the same limit holds for reads."""
    max_pending_bytes: int = 4 << 20
    """Bytes of the commands without an outcome."""
    max_command_bytes: int = 64 << 10
    """Bytes of the longest command."""
    max_batch_entries: int = 64
    """Entries in one message at most."""
    max_batch_bytes: int = 256 << 10
    """Bytes of the entries in one message, though never less than one entry."""
    snapshot_threshold: int = 4096
    """Entries applied since the last snapshot when the next one is taken."""
    retained_entries: int = 512
    """Entries kept in memory behind a snapshot, for followers that lag a little."""
    snapshot_chunk_bytes: int = 64 << 10
    """Bytes of a snapshot in one message."""
    max_snapshot_bytes: int = 64 << 20
    """The largest snapshot that is accepted from a leader."""
    max_sessions: int = 4096
    """Client sessions that are remembered."""
    max_promotion_lag: int = 64
    """Entries by which a learner may lag and still become a voter."""
    max_delayed_messages: int = 4096
    """Messages that wait for the disk; the oldest beyond them are dropped."""

    def usable_lease(self) -> Ticks:
        """How long after a round was sent its sender may act as the only leader.

        By the slowest clock it must be over before the fastest voter's minimum election timeout
        is. Source: Ongaro's thesis, 6.4.1.
        """
        shortest_timeout = (
            self.election_timeout.minimum * (1 - self.clock_drift) / (1 + self.clock_drift)
        )
        return int(min(self.lease_duration, shortest_timeout))


def settings_error(settings: RaftSettings) -> str | None:
    """One sentence on which settings can't work together, or None if all of them can."""
    minimum, maximum = settings.election_timeout
    drift = settings.clock_drift
    if not 0 < settings.heartbeat_interval * 2 <= settings.lease_duration:
        return "lease must be at least twice the heartbeat, or each late beat unseats the leader"
    lease_fits = settings.lease_duration * (1 + drift) < minimum * (1 - drift)
    if not lease_fits or not minimum < maximum:
        return (
            "lease must be below election.least by more than the clocks' drift,"
            " and that below election.most"
        )
    limits = (
        settings.max_pending_requests,
        settings.max_pending_bytes,
        settings.max_batch_entries,
        settings.snapshot_threshold,
        settings.snapshot_chunk_bytes,
        settings.max_sessions,
    )
    if min(limits) < 1 or settings.retained_entries < 0 or not 0 <= drift < 1:
        return "a limit is below one"
    return None

"""Timing and limits of a Raft node."""

from typing import NamedTuple

from ..interface.clock import Ticks


class ElectionTimeout(NamedTuple):
    """Range of the randomized election timeout.

    A node grants no vote within `minimum` of the last message of a leader; leases rely on that.
    """

    minimum: Ticks
    maximum: Ticks


class RaftSettings(NamedTuple):
    """Timing and limits of one node. Durations are measured by a monotonic clock."""

    heartbeat_interval: Ticks = 500
    election_timeout: ElectionTimeout = ElectionTimeout(3_000, 6_000)
    lease_duration: Ticks = 1_500
    """Longest lease of a leader.

    It limits how long a leader may serve reads after it started a round of heartbeats that a
    majority answered, and how long its process may stall before it steps down.
    """
    lease_reads: bool = False
    """Whether a leader serves reads under its lease.

    If false, each read waits for a round of heartbeats, so that reads stay linearizable even if
    clocks drift by more than `clock_drift`.
    """
    clock_drift: float = 0.01
    """Largest relative error of the rate of a node's clock."""
    max_pending_requests: int = 1024
    """Maximum number of commands without an outcome, and separately of waiting reads."""
    max_pending_bytes: int = 4 << 20
    """Maximum total size of the commands without an outcome."""
    max_command_bytes: int = 64 << 10
    """Maximum size of one encoded command."""
    max_batch_entries: int = 64
    """Maximum number of entries in one AppendRequest."""
    max_batch_bytes: int = 256 << 10
    """Maximum size of the entries in one AppendRequest; one entry is always sent."""
    snapshot_threshold: int = 4096
    """Number of entries applied since the last snapshot after which the next one is taken."""
    retained_entries: int = 512
    """Number of entries before a snapshot that stay in memory.

    A follower that lags by no more than these is sent entries instead of the snapshot.
    """
    snapshot_chunk_bytes: int = 64 << 10
    """Maximum size of the snapshot content in one SnapshotChunk."""
    max_snapshot_bytes: int = 64 << 20
    """Maximum size of a snapshot that a node accepts from a leader."""
    max_sessions: int = 4096
    """Maximum number of client sessions that are remembered."""
    max_promotion_lag: int = 64
    """Maximum number of entries by which a learner may lag when it is promoted to voter."""
    max_delayed_messages: int = 4096
    """Maximum number of messages that wait for the disk; beyond it the oldest are dropped."""

    def usable_lease(self) -> Ticks:
        """Returns how long after it started a round of heartbeats a leader holds its lease.

        Measured by the slowest clock, the lease must expire before the minimum election timeout
        of the voter with the fastest clock. Source: Ongaro's thesis, 6.4.1.
        """
        shortest_timeout = (
            self.election_timeout.minimum * (1 - self.clock_drift) / (1 + self.clock_drift)
        )
        return int(min(self.lease_duration, shortest_timeout))


def settings_error(settings: RaftSettings) -> str | None:
    """Returns why the settings are invalid or inconsistent, or None if they are valid."""
    minimum, maximum = settings.election_timeout
    drift = settings.clock_drift
    if not 0 < settings.heartbeat_interval * 2 <= settings.lease_duration:
        return (
            "lease_duration must be at least twice heartbeat_interval, and both above 0:"
            " otherwise one late heartbeat ends the leader's lease"
        )
    lease_fits = settings.lease_duration * (1 + drift) < minimum * (1 - drift)
    if not lease_fits or not minimum < maximum:
        return (
            "lease_duration must be below election_timeout.minimum by more than clock_drift allows,"
            " and election_timeout.minimum below election_timeout.maximum"
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
        return (
            "limits must be at least 1, retained_entries at least 0,"
            " and clock_drift at least 0 and below 1"
        )
    return None

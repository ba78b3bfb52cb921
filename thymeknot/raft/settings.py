"""What an operator sets for the agreement. Durations are whole tenths of a millisecond of a monotonic clock."""

from typing import NamedTuple, Optional


class Election(NamedTuple):
    """Without word of a leader for so long, by lot between the two, a keeper sounds out the others. Within `least` of
    such word it grants no vote: that is what a leader's lease stands on."""

    least: int
    most: int


class RaftSettings(NamedTuple):
    heartbeat: int = 500
    election: Election = Election(3_000, 6_000)
    lease: int = (
        1_500  # how long a leader may stand still, or serve reads after a majority answered
    )
    leased_reads: bool = (
        False  # False: each read waits for a round of heartbeats, whatever the clocks do
    )
    drift: float = 0.01  # the rates of two keepers' clocks may each be off by this share
    most_waiting: int = 1024  # commands without an outcome, and as many reads
    most_bytes: int = 4 << 20  # of commands without an outcome
    command_bytes: int = 64 << 10
    batch: int = 64  # entries in a message, within
    batch_bytes: int = 256 << 10  # but never less than one entry
    snapshot_after: int = 4096  # entries applied since the last snapshot
    keep: int = 512  # entries kept in memory behind a snapshot, for followers that lag a little
    chunk: int = 64 << 10  # bytes of a snapshot in a message
    image_bytes: int = 64 << 20  # the largest snapshot taken from a leader
    sessions_most: int = 4096  # origins remembered
    caught_up: int = 64  # entries a learner may lag and be made a voter
    held_most: int = 4096  # messages that wait for the disk; what is beyond them is as good as lost

    def lease_span(self):
        """How long after a round was sent its sender may act as the only leader: by the slowest of our clocks it must
        be over before the fastest voter's `election.least` is. Source: Ongaro's thesis, 6.4.1."""
        return int(min(self.lease, self.election.least * (1 - self.drift) / (1 + self.drift)))


def faulty(terms: RaftSettings) -> Optional[str]:
    """One sentence on what can't work together, or None."""
    least, most = terms.election
    if not 0 < terms.heartbeat * 2 <= terms.lease:
        return "lease must be at least twice the heartbeat, or each late beat unseats the leader"
    if not terms.lease * (1 + terms.drift) < least * (1 - terms.drift) or not least < most:
        return "lease must be below election.least by more than the clocks' drift, and that below election.most"
    if (
        min(
            terms.most_waiting,
            terms.most_bytes,
            terms.batch,
            terms.snapshot_after,
            terms.chunk,
            terms.sessions_most,
        )
        < 1
        or terms.keep < 0
        or not 0 <= terms.drift < 1
    ):
        return "a limit is below one"
    return None

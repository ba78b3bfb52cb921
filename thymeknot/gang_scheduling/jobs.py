"""Gangs: workers that run synchronized steps, and the traffic that they exchange.

Ranks are assigned in the order of clusters, zones and racks, so the workers below an uplink always
form one contiguous range of ranks. The bytes that cross the uplink therefore depend only on the
bounds of that range, and scoring does not need to enumerate up to half a million pairs of workers.
"""

from collections.abc import Callable
from enum import StrEnum
from functools import cache
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

MIN_WORKERS = 2  # a single worker exchanges no data
MAX_WORKERS = 512  # workers per gang; bounds the search and the size of a command
MAX_MATRIX_PARTS = 64  # rows of a traffic matrix; bounds the size of a command
MAX_RESOURCE_KINDS = 16  # distinct resources that a worker may need

Name = Annotated[str, Meta(pattern=r"\A[A-Za-z0-9_.:/-]{1,64}\Z")]
NonNegativeInt = Annotated[int, Meta(ge=0, le=1 << 50)]
PositiveInt = Annotated[int, Meta(ge=1, le=1 << 50)]

ResourceShape: TypeAlias = tuple[tuple[str, int], ...]
"""Resources that a worker needs besides its slot: sorted (resource, amount), no zero amounts."""


class TrafficPattern(StrEnum):
    """How the workers of a gang exchange data in each step."""

    RING = "ring"
    ALL_TO_ALL = "all"
    TREE = "tree"
    PIPELINE = "pipeline"
    MATRIX = "matrix"


class ReplacementMethod(StrEnum):
    """How the lost workers of a gang are replaced. The values appear in replies."""

    IN_PLACE = "in place"  # the surviving workers stay where they are
    WHOLE = "whole"  # all workers get a new placement


class Gang(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a publisher asks for. The field names are stored.

    Attributes:
        workers: Number of workers.
        pattern: A value of `TrafficPattern`; `validation_error` checks it.
        bytes: Bytes that each worker sends per step (ring, pipeline and tree: over each of its
            edges, in each direction of the edge).
        target: Target duration of a step, in ticks.
        publisher: Owner of the gang; shares are assigned by publisher.
        checkpoint: Interval between checkpoints, in ticks.
        needs: Amount of each resource that a worker needs besides its slot.
        priority: Gangs of higher priority are scheduled first.
        lasts: Expected duration of the run, in ticks; only the score uses it.
        spare: Disruption budget: how many workers may be missing at once without waiting for a
            checkpoint, so that a drain can take them.
        matrix: Traffic of the pattern "matrix". The workers are split into equal parts;
            `matrix[a][b]` is the bytes per step from each worker of part a to part b in total.
    """

    workers: Annotated[int, Meta(ge=MIN_WORKERS, le=MAX_WORKERS)]
    pattern: Annotated[str, Meta(max_length=16)]
    bytes: NonNegativeInt
    target: PositiveInt
    publisher: Name
    checkpoint: PositiveInt
    needs: dict[Name, NonNegativeInt] = {}
    priority: Annotated[int, Meta(ge=0, le=100)] = 10
    lasts: PositiveInt = 36_000_000
    spare: NonNegativeInt = 0
    matrix: Annotated[list[list[NonNegativeInt]], Meta(max_length=MAX_MATRIX_PARTS)] = []

    def resource_shape(self) -> ResourceShape:
        """Returns the resources that a worker needs besides its slot, in hashable form."""
        return tuple(sorted((name, amount) for name, amount in self.needs.items() if amount))

    def crossing_bytes(self, low: int, high: int) -> float:
        """Returns the bytes per step between the ranks low to high (exclusive) and all others.

        Where the two directions differ, the result is the larger one.
        """
        if (low == 0 and high == self.workers) or low == high:
            return 0
        return CROSSING_BYTES_BY_PATTERN[self.pattern](self, low, high)

    def busiest_worker_bytes(self) -> int:
        """Returns a lower bound of the bytes per step on the link of the busiest worker."""
        if self.pattern == TrafficPattern.MATRIX:
            columns: list[int] = [sum(column) for column in zip(*self.matrix)]
            rows = [sum(row) for row in self.matrix]
            return max(rows + columns)
        return self.bytes * BUSIEST_WORKER_EDGES[self.pattern]


def _ring_crossing(gang: Gang, low: int, high: int) -> float:
    return gang.bytes


def _all_to_all_crossing(gang: Gang, low: int, high: int) -> float:
    inside = high - low
    return gang.bytes * inside * (gang.workers - inside) / (gang.workers - 1)


def _pipeline_crossing(gang: Gang, low: int, high: int) -> float:
    return gang.bytes * ((low > 0) + (high < gang.workers))


@cache
def tree_parents(workers: int) -> tuple[int, ...]:
    """Returns the parent of each rank (-1 for the root) in a binary tree in preorder.

    Subtrees are contiguous ranges of ranks, so few edges cross the boundary of a range.
    """
    parents = [-1] * workers
    pending_ranges = [(0, workers)]
    while pending_ranges:
        root, end = pending_ranges.pop()
        middle = root + 1 + (end - root) // 2
        for child, child_end in ((root + 1, min(middle, end)), (middle, end)):
            if child < child_end:
                parents[child] = root
                pending_ranges.append((child, child_end))
    return tuple(parents)


@cache
def _tree_edges_cut(workers: int, low: int, high: int) -> int:
    parents = tree_parents(workers)
    return sum(parents[rank] < low for rank in range(low, high) if rank) + sum(
        low <= parents[rank] < high for rank in range(high, workers)
    )


def _tree_crossing(gang: Gang, low: int, high: int) -> float:
    return gang.bytes * _tree_edges_cut(gang.workers, low, high)


def _matrix_crossing(gang: Gang, low: int, high: int) -> float:
    size = gang.workers // len(gang.matrix)
    inside = [
        max(0, min(high, (part + 1) * size) - max(low, part * size))
        for part in range(len(gang.matrix))
    ]
    sent = received = 0.0
    for sender, row in enumerate(gang.matrix):
        for receiver, amount in enumerate(row):
            peers = size - 1 if sender == receiver else size
            if peers and amount:
                sent += amount * inside[sender] * (size - inside[receiver]) / peers
                received += amount * (size - inside[sender]) * inside[receiver] / peers
    return max(sent, received)


CROSSING_BYTES_BY_PATTERN: dict[str, Callable[[Gang, int, int], float]] = {
    TrafficPattern.RING: _ring_crossing,
    TrafficPattern.ALL_TO_ALL: _all_to_all_crossing,
    TrafficPattern.TREE: _tree_crossing,
    TrafficPattern.PIPELINE: _pipeline_crossing,
    TrafficPattern.MATRIX: _matrix_crossing,
}

# Number of edges over which the busiest worker sends `Gang.bytes` per step.
BUSIEST_WORKER_EDGES: dict[str, int] = {
    TrafficPattern.RING: 1,
    TrafficPattern.ALL_TO_ALL: 1,
    TrafficPattern.TREE: 3,
    TrafficPattern.PIPELINE: 2,
}


def validation_error(gang: Gang) -> str | None:
    """Returns why a gang of valid types is still invalid, or None if it is valid."""
    parts = len(gang.matrix)
    is_matrix = gang.pattern == TrafficPattern.MATRIX
    for invalid, message in (
        (
            gang.pattern not in CROSSING_BYTES_BY_PATTERN,
            f"The pattern is none of {', '.join(CROSSING_BYTES_BY_PATTERN)}.",
        ),
        (is_matrix and not parts, "The pattern matrix needs a matrix."),
        (not is_matrix and parts, "A matrix goes with the pattern matrix alone."),
        (any(len(row) != parts for row in gang.matrix), "The matrix is not square."),
        (parts and gang.workers % parts, "The matrix's parts do not divide the workers evenly."),
        (gang.spare >= gang.workers, "A gang can't spare all its workers."),
        (
            len(gang.needs) > MAX_RESOURCE_KINDS,
            f"A worker needs at most {MAX_RESOURCE_KINDS} kinds of resources.",
        ),
    ):
        if invalid:
            return message
    return None

"""A gang: workers that step together, and the bytes that cross the edge of a part of them.

Ranks stand in the order of clusters, zones and racks, so what stands under one uplink is always one run of ranks. Its
crossing bytes then follow from the run's two ends, and a score needs no list of half a million pairs.
"""

from functools import cache
from typing import Annotated

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(pattern=r"\A[A-Za-z0-9_.:/-]{1,64}\Z")]
Amount = Annotated[int, Meta(ge=0, le=1 << 50)]
Span = Annotated[int, Meta(ge=1, le=1 << 50)]
WORKERS_LEAST, WORKERS_MOST, PARTS_MOST = 2, 512, 64


class Gang(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a publisher asks for. Times in tenths of a millisecond.

    bytes: what a worker sends a step (ring, pipeline and tree: over each of its edges, each way it has).
    matrix: for the pattern of that name; its row a says what each worker of part a sends to all of part b together.
    spare: how many workers may be out at once without the gang's leave, which is what a drain may take as a unit.
    lasts: how long it is expected to run; only the score reads it.
    """

    workers: Annotated[int, Meta(ge=WORKERS_LEAST, le=WORKERS_MOST)]
    pattern: Annotated[str, Meta(max_length=16)]
    bytes: Amount
    target: Span
    publisher: Name
    checkpoint: Span
    needs: dict[Name, Amount] = {}
    priority: Annotated[int, Meta(ge=0, le=100)] = 10
    lasts: Span = 36_000_000
    spare: Amount = 0
    matrix: Annotated[list[list[Amount]], Meta(max_length=PARTS_MOST)] = []

    def shape(self):
        """What one worker needs beside its slot, in a form that can be a key."""
        return tuple(sorted((name, much) for name, much in self.needs.items() if much))

    def crossing(self, low, high):
        """Bytes a step over the edge of ranks low to high (without it), in the fuller direction."""
        if low == 0 and high == self.workers or low == high:
            return 0
        return PATTERNS[self.pattern](self, low, high)

    def loudest(self):
        """Bytes a step that the busiest worker sends or gets on its own machine's link, at the least."""
        if self.pattern == "matrix":
            columns = [sum(column) for column in zip(*self.matrix)]
            return max(max(map(sum, self.matrix)), max(columns))
        return self.bytes * EDGES[self.pattern]


def _ring(gang, low, high):
    return gang.bytes


def _all(gang, low, high):
    some = high - low
    return gang.bytes * some * (gang.workers - some) / (gang.workers - 1)


def _pipeline(gang, low, high):
    return gang.bytes * ((low > 0) + (high < gang.workers))


@cache
def parents(workers):
    """The binary tree in the order a walk meets it: subtrees are runs, so a run of ranks cuts few edges."""
    found, open_runs = [-1] * workers, [(0, workers)]
    while open_runs:
        root, end = open_runs.pop()
        middle = root + 1 + (end - root) // 2
        for child, until in ((root + 1, min(middle, end)), (middle, end)):
            if child < until:
                found[child] = root
                open_runs.append((child, until))
    return tuple(found)


@cache
def _cut(workers, low, high):
    up = parents(workers)
    return sum(up[rank] < low for rank in range(low, high) if rank) + sum(
        low <= up[rank] < high for rank in range(high, workers)
    )


def _tree(gang, low, high):
    return gang.bytes * _cut(gang.workers, low, high)


def _matrix(gang, low, high):
    size = gang.workers // len(gang.matrix)
    inside = [
        max(0, min(high, (part + 1) * size) - max(low, part * size))
        for part in range(len(gang.matrix))
    ]
    out = back = 0
    for one, row in enumerate(gang.matrix):
        for other, much in enumerate(row):
            mine, theirs = inside[one], inside[other]
            partners = size - 1 if one == other else size
            if partners and much:
                out += much * mine * (size - theirs) / partners
                back += much * (size - mine) * theirs / partners
    return max(out, back)


PATTERNS = {"ring": _ring, "all": _all, "tree": _tree, "pipeline": _pipeline, "matrix": _matrix}
EDGES = {"ring": 1, "all": 1, "tree": 3, "pipeline": 2}


def wrong(gang):
    """One sentence on what a well-formed gang still can't mean, or None."""
    parts = len(gang.matrix)
    for bad, sentence in (
        (gang.pattern not in PATTERNS, f"The pattern is none of {', '.join(PATTERNS)}."),
        (gang.pattern == "matrix" and not parts, "The pattern matrix needs a matrix."),
        (gang.pattern != "matrix" and parts, "A matrix goes with the pattern matrix alone."),
        (any(len(row) != parts for row in gang.matrix), "The matrix is not square."),
        (parts and gang.workers % parts, "The matrix's parts do not divide the workers evenly."),
        (gang.spare >= gang.workers, "A gang can't spare all its workers."),
        (len(gang.needs) > 16, "A worker needs at most 16 kinds of resources."),
    ):
        if bad:
            return sentence
    return None

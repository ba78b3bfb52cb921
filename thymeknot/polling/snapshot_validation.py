"""Validates snapshots of the endpoint list.

A snapshot that is empty or older than the last one could remove all known endpoints. Deltas are
always accepted: they add to the list, and a drain must take effect at once. Performs no I/O.
Source: docs/design/vast.md.
"""

from enum import StrEnum
from typing import NamedTuple


class ValidatorState(StrEnum):
    """Whether the last snapshot was accepted; if not, the reason."""

    TRUSTING = "trusting"
    SAW_OLDER = "saw older"
    SAW_EMPTIED = "saw emptied"


class SnapshotKind(StrEnum):
    """How a list compares with the last accepted one."""

    NEWER = "newer"
    """Not older than the last one, or a delta."""
    OLDER = "older"
    EMPTY = "empty"
    """Without endpoints, and without a newer version."""
    EMPTIED = "emptied"
    """Without endpoints, with a newer version."""


class Decision(StrEnum):
    """What to do with a list."""

    ACCEPT = "accept"
    REJECT = "reject"
    """Reject it and keep the known endpoints."""
    FETCH_AGAIN = "fetch again"
    """Reject it, fetch it again at once, and accept it if the same one is received."""


# (state, kind) -> next state, decision. An older snapshot comes from a service that has restarted
# its version numbers, an emptied one from a service that has seen all endpoints end: both are
# accepted once confirmed. A service whose responses keep differing is polled less and less often. A
# snapshot that is empty without a newer version comes from a service that has not discovered the
# endpoints yet; keeping the known ones costs failed connections at most.
TRANSITIONS: dict[tuple[ValidatorState, SnapshotKind], tuple[ValidatorState, Decision]] = {
    (ValidatorState.TRUSTING, SnapshotKind.NEWER): (ValidatorState.TRUSTING, Decision.ACCEPT),
    (ValidatorState.SAW_OLDER, SnapshotKind.NEWER): (ValidatorState.TRUSTING, Decision.ACCEPT),
    (ValidatorState.SAW_EMPTIED, SnapshotKind.NEWER): (ValidatorState.TRUSTING, Decision.ACCEPT),
    (ValidatorState.TRUSTING, SnapshotKind.OLDER): (ValidatorState.SAW_OLDER, Decision.FETCH_AGAIN),
    (ValidatorState.SAW_OLDER, SnapshotKind.OLDER): (ValidatorState.TRUSTING, Decision.ACCEPT),
    (ValidatorState.SAW_EMPTIED, SnapshotKind.OLDER): (ValidatorState.SAW_OLDER, Decision.REJECT),
    (ValidatorState.TRUSTING, SnapshotKind.EMPTY): (ValidatorState.TRUSTING, Decision.REJECT),
    (ValidatorState.SAW_OLDER, SnapshotKind.EMPTY): (ValidatorState.SAW_OLDER, Decision.REJECT),
    (ValidatorState.SAW_EMPTIED, SnapshotKind.EMPTY): (ValidatorState.SAW_EMPTIED, Decision.REJECT),
    (ValidatorState.TRUSTING, SnapshotKind.EMPTIED): (
        ValidatorState.SAW_EMPTIED,
        Decision.FETCH_AGAIN,
    ),
    (ValidatorState.SAW_OLDER, SnapshotKind.EMPTIED): (ValidatorState.SAW_EMPTIED, Decision.REJECT),
    (ValidatorState.SAW_EMPTIED, SnapshotKind.EMPTIED): (ValidatorState.TRUSTING, Decision.ACCEPT),
}


class SnapshotRejection(NamedTuple):
    """The reason why a list is rejected."""

    reason: str
    fetch_again: bool
    """Whether to fetch the list again at once; it is accepted if the same one is received."""


class SnapshotValidator:
    """Validates the endpoint lists that a sidecar receives.

    Attributes:
        state: Whether the last snapshot was accepted; if not, the reason.
        source: The address that sent the last list; each address has its own versions.
        version: The version of the last list accepted from this source.
    """

    def __init__(self) -> None:
        self.state = ValidatorState.TRUSTING
        self.source: object = None
        self.version = 0

    def validate(
        self, source: object, version: int, is_snapshot: bool, listed: int, known: int
    ) -> SnapshotRejection | None:
        """Decides whether to accept a list.

        Args:
            source: The address that sent it.
            version: Its version.
            is_snapshot: Whether it is a snapshot rather than a delta.
            listed: How many endpoints it lists.
            known: How many endpoints are known before it.

        Returns:
            Why it is rejected. None if it is accepted; `self.version` is then its version.
        """
        if source != self.source:
            self.state = ValidatorState.TRUSTING
            self.source = source
            self.version = version
        if is_snapshot and known and not listed:
            kind = SnapshotKind.EMPTIED if version > self.version else SnapshotKind.EMPTY
        elif is_snapshot and version < self.version:
            kind = SnapshotKind.OLDER
        else:
            kind = SnapshotKind.NEWER
        self.state, decision = TRANSITIONS[self.state, kind]
        if decision != Decision.ACCEPT:
            reason = (
                f"is older than {self.version}"
                if kind == SnapshotKind.OLDER
                else "lists no endpoints"
            )
            return SnapshotRejection(
                f"version {version} {reason}", decision == Decision.FETCH_AGAIN
            )
        self.version = version
        return None

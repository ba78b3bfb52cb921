"""Whether a snapshot of the endpoint list is believed.

One that names no endpoint, or is older than the last, would remove all that is known. Changes are
always believed: they add to what is known, and a drain takes effect at once. Pure. Source:
docs/design/vast.md.
"""

from enum import StrEnum
from typing import NamedTuple


class ValidatorState(StrEnum):
    """Whether the last snapshot was taken."""

    TRUSTING = "firm"
    SAW_OLDER = "doubting"
    SAW_EMPTIED = "emptying"


class SnapshotKind(StrEnum):
    """How a list compares with the last one that was taken."""

    NEWER = "newer"
    """Not older than the last, or no snapshot at all."""
    OLDER = "older"
    EMPTY = "empty"
    """It names no endpoint and has no newer version."""
    EMPTIED = "emptied"
    """It names no endpoint and has a newer version."""


class Decision(StrEnum):
    """What is done with a list."""

    TAKE = "take"
    KEEP = "keep"
    """It is not taken; what is known stays."""
    FETCH_AGAIN = "ask"
    """It is not taken, but fetched again at once, and taken if it comes again."""


# (state, kind) -> next state, decision. An older snapshot comes from a service that numbers its
# versions anew, an emptied one from a service that has noted the end of the endpoints that it no
# longer names: both count if they are confirmed. A service that answers differently each time is
# polled less and less often. A snapshot that is empty without a newer version comes from a service
# that has not discovered the endpoints yet: keeping them costs failed connections at most.
TRANSITIONS: dict[tuple[ValidatorState, SnapshotKind], tuple[ValidatorState, Decision]] = {
    (ValidatorState.TRUSTING, SnapshotKind.NEWER): (ValidatorState.TRUSTING, Decision.TAKE),
    (ValidatorState.SAW_OLDER, SnapshotKind.NEWER): (ValidatorState.TRUSTING, Decision.TAKE),
    (ValidatorState.SAW_EMPTIED, SnapshotKind.NEWER): (ValidatorState.TRUSTING, Decision.TAKE),
    (ValidatorState.TRUSTING, SnapshotKind.OLDER): (ValidatorState.SAW_OLDER, Decision.FETCH_AGAIN),
    (ValidatorState.SAW_OLDER, SnapshotKind.OLDER): (ValidatorState.TRUSTING, Decision.TAKE),
    (ValidatorState.SAW_EMPTIED, SnapshotKind.OLDER): (ValidatorState.SAW_OLDER, Decision.KEEP),
    (ValidatorState.TRUSTING, SnapshotKind.EMPTY): (ValidatorState.TRUSTING, Decision.KEEP),
    (ValidatorState.SAW_OLDER, SnapshotKind.EMPTY): (ValidatorState.SAW_OLDER, Decision.KEEP),
    (ValidatorState.SAW_EMPTIED, SnapshotKind.EMPTY): (ValidatorState.SAW_EMPTIED, Decision.KEEP),
    (ValidatorState.TRUSTING, SnapshotKind.EMPTIED): (
        ValidatorState.SAW_EMPTIED,
        Decision.FETCH_AGAIN,
    ),
    (ValidatorState.SAW_OLDER, SnapshotKind.EMPTIED): (ValidatorState.SAW_EMPTIED, Decision.KEEP),
    (ValidatorState.SAW_EMPTIED, SnapshotKind.EMPTIED): (ValidatorState.TRUSTING, Decision.TAKE),
}


class SnapshotRejection(NamedTuple):
    """Why a list is not taken."""

    reason: str
    fetch_again: bool
    """Whether it is fetched again at once, and believed if it comes again."""


class SnapshotValidator:
    """Validates the lists that one sidecar gets.

    Attributes:
        state: Whether the last snapshot was taken.
        source: The address that sent the last list; each address counts its own versions.
        version: The version of the last list that was taken from this source.
    """

    def __init__(self) -> None:
        self.state = ValidatorState.TRUSTING
        self.source: object = None
        self.version = 0

    def validate(
        self, source: object, version: int, whole: bool, names: int, known: int
    ) -> SnapshotRejection | None:
        """Decides whether a list is taken.

        Args:
            source: The address that sent it.
            version: Its version.
            whole: Whether it is a snapshot, rather than changes.
            names: How many endpoints it names.
            known: How many endpoints are known now.

        Returns:
            Why it is not taken; None where it is, and its version is then the last.
        """
        if source != self.source:
            self.state = ValidatorState.TRUSTING
            self.source = source
            self.version = version
        if whole and known and not names:
            kind = SnapshotKind.EMPTIED if version > self.version else SnapshotKind.EMPTY
        elif whole and version < self.version:
            kind = SnapshotKind.OLDER
        else:
            kind = SnapshotKind.NEWER
        self.state, decision = TRANSITIONS[self.state, kind]
        if decision != Decision.TAKE:
            reason = (
                f"is older than {self.version}" if kind == SnapshotKind.OLDER else "names no pod"
            )
            return SnapshotRejection(
                f"version {version} {reason}", decision == Decision.FETCH_AGAIN
            )
        self.version = version
        return None

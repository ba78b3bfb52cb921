"""Whether a whole list is believed: one that names nobody, or is older than the last, would take all that is known.

Pure. Source: docs/design/vast.md. Changes are always believed: they add to what is known, and a drain binds at once.
"""

from typing import NamedTuple

FIRM, DOUBTING, EMPTYING = "firm", "doubting", "emptying"
NEWER, OLDER, EMPTY, EMPTIED = "newer", "older", "empty", "emptied"
TAKE, KEEP, ASK = "take", "keep", "ask"
# (state, input) -> next state, effect. ASK: not taken, but asked for again at once, and taken if it is told again: an
# older list is one of a service that counts anew, an emptied one (of a version that is new) has taken note of the pods
# that it no longer names, and what was told counts. Who tells now this, now that is asked less and less often. One that
# is empty without a new version is of a service that has not heard of the pods yet: keeping them costs connections that
# fail at most.
BELIEF = {
    (FIRM, NEWER): (FIRM, TAKE),
    (DOUBTING, NEWER): (FIRM, TAKE),
    (EMPTYING, NEWER): (FIRM, TAKE),
    (FIRM, OLDER): (DOUBTING, ASK),
    (DOUBTING, OLDER): (FIRM, TAKE),
    (EMPTYING, OLDER): (DOUBTING, KEEP),
    (FIRM, EMPTY): (FIRM, KEEP),
    (DOUBTING, EMPTY): (DOUBTING, KEEP),
    (EMPTYING, EMPTY): (EMPTYING, KEEP),
    (FIRM, EMPTIED): (EMPTYING, ASK),
    (DOUBTING, EMPTIED): (EMPTYING, KEEP),
    (EMPTYING, EMPTIED): (FIRM, TAKE),
}


class Doubt(NamedTuple):
    """Why a list is passed over, and whether it is believed if it is told again."""

    reason: str
    again: bool


class SnapshotValidator:
    """One for each sidecar. source: the address that tells; each counts for itself."""

    def __init__(self):
        self.state, self.source, self.version = FIRM, None, None

    def doubt(self, source, version, whole, names, known):
        """The Doubt of a list of this version, which names so many, while so many are known; None where it is taken,
        and its version is the last."""
        if source != self.source:
            self.state, self.source, self.version = FIRM, source, version
        if whole and known and not names:
            what = EMPTIED if version > self.version else EMPTY
        else:
            what = OLDER if whole and version < self.version else NEWER
        self.state, effect = BELIEF[self.state, what]
        if effect != TAKE:
            reason = f"is older than {self.version}" if what == OLDER else "names no pod"
            return Doubt(f"version {version} {reason}", effect == ASK)
        self.version = version
        return None

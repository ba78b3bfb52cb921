"""Whether a whole list is believed: one that names nobody, or is older than the last, would take all that is known.

Pure. Source: docs/design/vast.md. Changes are always believed: they add to what is known, and a drain binds at once.
"""

FIRM, DOUBTING = "firm", "doubting"
NEWER, OLDER, EMPTY = "newer", "older", "empty"
TAKE, KEEP = True, False
# (state, input) -> next state, effect. An older list told twice in a row is one of a service that counts anew; an empty
# one is never believed while pods are known: where there are none, keeping them costs connections that fail.
BELIEF = {
    (FIRM, NEWER): (FIRM, TAKE), (FIRM, OLDER): (DOUBTING, KEEP), (FIRM, EMPTY): (FIRM, KEEP),
    (DOUBTING, NEWER): (FIRM, TAKE), (DOUBTING, OLDER): (FIRM, TAKE), (DOUBTING, EMPTY): (DOUBTING, KEEP),
}


class Belief:
    """One for each sidecar. source: the address that tells; each counts for itself."""

    def __init__(self):
        self.state, self.source, self.version = FIRM, None, None

    def doubt(self, source, version, whole, names, known):
        """Why a list of this version, which names so many, is passed over while so many are known; None where it is
        taken, and its version is the last."""
        if source != self.source:
            self.state, self.source, self.version = FIRM, source, version
        what = EMPTY if whole and known and not names else OLDER if whole and version < self.version else NEWER
        self.state, taken = BELIEF[self.state, what]
        if not taken:
            return f"version {version} " + ("names no pod" if what == EMPTY else f"is older than {self.version}")
        self.version = version
        return None

"""Units and their labels, and selectors over them.

A unit is a sidecar or a pod. Its labels say where it stands and what it serves; budgets, halts and releases choose by
them. A selector is a mapping of a label to a value or a list of values; an empty one chooses all.
"""

LABELS = ("kind", "rack", "zone", "cluster", "lane", "service")
KINDS = ("sidecar", "pod")
NAME_MOST = 128  # characters of a name; what a log keeps for ever must not be a letter of someone's


class CommandRejectedError(Exception):
    """What the machine answers instead of doing it: a sentence, who stands in the way, and when to come again."""

    def __init__(self, sentence, by=(), again=0):
        super().__init__(sentence)
        self.sentence, self.by, self.again = sentence, list(by), again


class DisruptionSettings:
    """What an operator sets for all, in tenths of a millisecond unless said otherwise."""

    # name: (default, least, most)
    RANGES = {
        "bound": (20_000, 1_000, 600_000),  # a holder told nothing for so long begins nothing
        "silent": (60_000, 1_000, 6_000_000),  # one not seen ready for so long counts as out
        "permit": (100_000, 1_000, 6_000_000),  # a permit that was not begun for so long lapses
        "patience": (300_000, 0, 36_000_000),  # who waits longer has room kept for it
        "step": (600_000, 0, 36_000_000),  # a degree of urgency is worth so much age
        "home": (600_000, 1_000, 36_000_000),  # one on its way back for longer is named
        "hold": (6_000_000, 10_000, 864_000_000),  # one that is out for longer is named
        "rest": (
            100_000,
            0,
            36_000_000,
        ),  # a broken budget must be whole for so long before its halt ends
        "drift": (10, 0, 100),  # thousandths by which a monotonic clock may be wrong
    }
    __slots__ = tuple(RANGES)

    def __init__(self, **given):
        for name, (default, _, _) in self.RANGES.items():
            setattr(self, name, given.get(name, default))

    def plain(self):
        return {name: getattr(self, name) for name in self.RANGES}

    def halt_bound(self):
        """After so long nothing more goes out, by the slowest clock that the drift allows."""
        return self.bound + self.bound * self.drift // 1000 + 1


def named(value):
    """Whether it may be the name of anything here."""
    return isinstance(value, str) and 0 < len(value) <= NAME_MOST and value.isprintable()


def labels(name, given):
    """The labels of a unit as they are kept. Raises Refusal with a sentence that names it."""
    if not named(name):
        raise CommandRejectedError("a unit's name is 1 to %d printable characters" % NAME_MOST)
    if not isinstance(given, dict) or any(
        label not in LABELS or not named(value) for label, value in given.items()
    ):
        raise CommandRejectedError(
            f"unit {name} has a label that is unknown or no name; there are {', '.join(LABELS)}",
            [name],
        )
    if given.get("kind") not in KINDS:
        raise CommandRejectedError(f"unit {name} is neither of {' and '.join(KINDS)}", [name])
    return {label: given[label] for label in LABELS if label in given}


def selector(given):
    """A selector in its kept form: sorted pairs of a label and its sorted values. Raises Refusal."""
    if not isinstance(given, dict):
        raise CommandRejectedError(
            "a selector is a mapping of labels to a value or a list of values"
        )
    pairs = []
    for label, values in given.items():
        values = [values] if isinstance(values, str) else values
        if (
            label not in LABELS
            or not isinstance(values, list)
            or not values
            or not all(map(named, values))
        ):
            raise CommandRejectedError(
                f"a selector has {str(label)[:NAME_MOST]!r} that is no label, or no values for it"
            )
        pairs.append([label, sorted(set(values))])
    return sorted(pairs)


def chosen(where, given):
    """Whether a selector in its kept form chooses these labels."""
    return all(given.get(label) in values for label, values in where)


def spoken(where):
    return " and ".join(f"{label} {'|'.join(values)}" for label, values in where) or "all"

"""Budgets: how many may be out at once, where. They nest and hold together: a unit goes out only if all that choose it
have room.

A budget states one of `most` (a number), `share` (of those it chooses, rounded down) or `least` (so many stay ready).
With `each` it holds for every value of that label by itself: `{"name": "racks", "each": "rack", "most": 1}`.
"""

from .targets import LABELS, CommandRejectedError, chosen, named, selector, spoken

BUDGETS_MOST = 64
ROOMS_MOST = 16_384
NAMED_MOST = 8  # units that a sentence names; a status has them all
# kind: (what may be out of `size`, how it is said)
KINDS = {
    "most": (lambda amount, size: amount, "lets {amount} be out"),
    "share": (lambda amount, size: int(amount * size + 1e-9), "lets {amount:g} of {size} be out"),
    "least": (lambda amount, size: size - amount, "keeps {amount} of {size} ready"),
}


class Room:
    """A budget at one place: who belongs to it, who is out, and how many may be."""

    __slots__ = (
        "name",
        "where",
        "kind",
        "amount",
        "size",
        "allowed",
        "outs",
        "kept",
        "whole",
        "mended",
    )

    def __init__(self, name, where, kind, amount):
        self.name, self.where, self.kind, self.amount = name, where, kind, amount
        self.size, self.allowed, self.outs, self.kept = 0, 0, {}, 0
        self.whole, self.mended = (
            False,
            0,
        )  # nobody was seen yet: that is no crash and breaks nothing

    def over(self):
        return len(self.outs) > self.allowed

    def full(self, name):
        """Whether it would be over with this one out, and with what is kept for one that waited longest."""
        return len(self.outs) + self.kept + (name not in self.outs) > self.allowed

    def said(self):
        return KINDS[self.kind][1].format(amount=self.amount, size=self.size)


def budget(given):
    """A budget in its kept form. Raises Refusal with a sentence that names it."""
    name = given.get("name") if isinstance(given, dict) else None
    if not named(name):
        raise CommandRejectedError("a budget is a mapping with a name")
    kinds = [kind for kind in KINDS if kind in given]
    if len(kinds) != 1 or set(given) - {"name", "where", "each", *kinds}:
        raise CommandRejectedError(
            f"budget {name} needs exactly one of {', '.join(KINDS)}, and may have where and each",
            [name],
        )
    kind, amount, each = kinds[0], given[kinds[0]], given.get("each")
    if kind == "share":
        # A whole number of a share is most often a percentage that was meant: 10 would be a thousand in a hundred.
        if not isinstance(amount, float) or not 0 < amount < 1:
            raise CommandRejectedError(
                f"budget {name}: a share is a fraction over 0 and under 1", [name]
            )
    elif isinstance(amount, bool) or not isinstance(amount, int) or not 0 <= amount <= 1_000_000:
        raise CommandRejectedError(f"budget {name}: {kind} is a whole number", [name])
    if each is not None and each not in LABELS:
        raise CommandRejectedError(f"budget {name}: each is one of {', '.join(LABELS)}", [name])
    return {
        "name": name,
        "where": selector(given.get("where", {})),
        "each": each,
        "kind": kind,
        "amount": amount,
    }


def rooms(budgets, units):
    """All rooms by name, and by unit's name those that choose it; `units` maps names to labels. Raises Refusal with a
    sentence that names the budget which can't be kept or would let nobody out ever: a release would wait for it."""
    made, of = {}, {name: [] for name in units}
    for one in budgets:
        found = False
        for name in sorted(units):
            if (
                not chosen(one["where"], units[name])
                or one["each"]
                and one["each"] not in units[name]
            ):
                continue
            found, where, label = True, one["where"], one["name"]
            if one["each"]:
                value = units[name][one["each"]]
                where, label = [*where, [one["each"], [value]]], f"{label}/{value}"
            room = made.setdefault(label, Room(label, where, one["kind"], one["amount"]))
            room.size += 1
            of[name].append(room)
        if not found:
            raise CommandRejectedError(
                f"budget {one['name']} chooses no unit: {spoken(one['where'])}", [one["name"]]
            )
    if len(made) > ROOMS_MOST:
        raise CommandRejectedError(
            f"the budgets make {len(made)} places of their own; at most {ROOMS_MOST}"
        )
    for room in made.values():
        room.allowed = KINDS[room.kind][0](room.amount, room.size)
        if room.allowed < 1:
            raise CommandRejectedError(
                f"budget {room.name} is impossible: it {room.said()}, and it has {room.size}, "
                "so nobody could ever go out; to stop all, halt",
                [room.name],
            )
    return made, of

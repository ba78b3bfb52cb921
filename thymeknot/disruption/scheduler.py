"""Who of those that asked is granted.

The order is ways back first, then age, to which each degree of urgency adds `step`: urgency is bounded, so age wins in
the end. One that has waited longer than `patience` and does not fit, while those in its way are coming back, has room
kept for it in its other budgets: else a unit whose rack is busy when its cluster is not, and the other way round,
would wait for ever while younger ones slip past. One place of each budget is kept at most, and none for a grant
that can't come: a crashed rack must not stop a cluster.
"""

from .budgets import NAMED_MOST
from .permits import HELD, RETURNING


def order(asked, step):
    """Those that asked, in the order of their turn."""
    return sorted(
        asked,
        key=lambda unit: (not unit.ask.back, unit.ask.at - unit.ask.urgency * step, unit.name),
    )


def full(fleet, unit):
    """The budgets that have no room for it, in the order of their names. One that is known not to serve takes none:
    the way back of a build that crashes must not wait for itself."""
    if unit.idle(fleet.at, fleet.terms.silent):
        return []
    return sorted((room for room in unit.rooms if room.full(unit.name)), key=lambda room: room.name)


def coming(fleet, room):
    """Whether enough of those in its way hold permits, and so can be expected back."""
    terms, at = fleet.terms, fleet.at
    back = 0
    for name in room.outs:
        unit = fleet.units[name]
        limit = terms.home if unit.state == RETURNING else terms.hold
        back += unit.state in HELD and not unit.fault and at - unit.since <= limit
    return back >= len(room.outs) + 1 - room.allowed


def plan(fleet, held):
    """Grants what fits. `held(unit)` gives the sentence of a halt that holds its ask, or None."""
    for room in fleet.rooms.values():
        room.kept = 0
    for unit in order(list(fleet.asked.values()), fleet.terms.step):
        if held(unit):
            continue
        blocked = full(fleet, unit)
        if not blocked:
            fleet.step(unit, "granted")
        elif fleet.at - unit.ask.at >= fleet.terms.patience and all(
            coming(fleet, room) for room in blocked if len(room.outs) >= room.allowed
        ):
            for room in unit.rooms:
                room.kept = 1
    fleet.freed = False


def stuck(fleet, unit):
    """The sentence why its grant can't come whatever is waited for, or None."""
    for room in full(fleet, unit):
        if len(room.outs) >= room.allowed and not coming(fleet, room):
            return way(fleet, room)
    return None


def way(fleet, room):
    """The sentence that names a budget and who is in the way."""
    names = sorted(room.outs)
    told = ", ".join(
        "%s (%s)" % (name, fleet.units[name].why(fleet.at, fleet.terms.silent))
        for name in names[:NAMED_MOST]
    )
    more = f" and {len(names) - NAMED_MOST} more" if len(names) > NAMED_MOST else ""
    kept = " and one place is kept for who waits longest" if room.kept else ""
    return f"budget {room.name} {room.said()}, {len(names)} are: {told}{more}{kept}"


def waits(fleet, unit):
    """(sentence, names of the budgets and of the units in the way) for one that asked and was not granted."""
    blocked = full(fleet, unit)
    if not blocked:
        return "others that waited longer go first", []
    units = sorted({name for room in blocked for name in room.outs})
    return "; ".join(way(fleet, room) for room in blocked), [room.name for room in blocked] + units

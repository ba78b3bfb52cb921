"""Reasons to sentences that a person reads, with the figures that decided and what would have changed it. Pure."""

from ..interface.reasons import Reason as R

VERDICTS = ("nothing", "on", "hold", "back")
PROVED = {True: "it has not run", False: "it may have run"}


def ms(units):
    return f"{units / 10:g} ms"


def share(value):
    return f"{100 * value:.1f}%"


def _position(position, ramp, cap):
    if position < ramp:
        return (
            f"its key lies at {position:.4f}, below the ramp at {ramp:.4f} (cap {share(cap)}): the newest build's",
            f"a ramp at {position:.4f} or lower would have sent it to the earlier build",
        )
    return (
        f"its key lies at {position:.4f}, not below the ramp at {ramp:.4f} (cap {share(cap)}): the earlier build's",
        f"a ramp above {position:.4f} would have sent it to the newest build",
    )


def _astray(deliveries, failed, hot):
    why = [
        text
        for holds, text in (
            (deliveries, f"{deliveries} deliveries came before"),
            (failed, "its key failed there"),
            (hot, "its key is a hot one that would flood the trial"),
        )
        if holds
    ]
    return "it goes to the earlier build first: " + ", ".join(why), None


def _ended(pod, number, outcome, latency, unrun):
    run = "" if outcome == "done" else f"; {PROVED[bool(unrun)]}"
    return f"delivery {number + 1} at {pod} ended after {ms(latency)}: {outcome}{run}", None


def _exposure(tried, taken, cap, allowance):
    enough = max(0.0, tried + 1 - allowance) / taken if taken else 1.0
    return (
        f"the trial's exposure is used up: {tried:g} deliveries there, {allowance:g} and {share(cap)} of {taken:g} "
        "taken are allowed",
        f"a cap of {share(enough)} would have let it in" if enough <= 1 else None,
    )


SAID = {
    R.POSITION: _position,
    R.ASTRAY: _astray,
    R.ENDED: _ended,
    R.EXPOSURE: _exposure,
    R.STAYS: lambda keys: (
        f"the newest build has answered its key ({keys} such keys): it stays there",
        None,
    ),
    R.GUARDED: lambda stage, guarded: (
        f"stage {stage} of the trial is guarded: only retriable lanes go there",
        f"from stage {guarded} on it may",
    ),
    R.CLOSED: lambda phase, cap: (
        f"the newest build takes nothing now (phase {phase}, cap {share(cap)})",
        None,
    ),
    R.SENT: lambda pod, build, new, time_out, cost: (
        f"sent to {pod}, build {build} ({'the newest' if new else 'an earlier one'}), for {ms(time_out)} at most; "
        f"the pod's cost was {cost:.2f}",
        None,
    ),
    R.UNREACHABLE: lambda pods: (
        f"{pods} pods passed over that could not be reached of late",
        None,
    ),
    R.DOUBTED: lambda pods: (f"{pods} pods passed over that other instances saw fail", None),
    R.USED: lambda pods: (f"{pods} pods passed over where it was already", None),
    R.COLD: lambda pods: (
        f"{pods} cold pods have had their part of the deliveries",
        "it ends when they are warm",
    ),
    R.OUTSIDE: lambda pods: (f"{pods} pods would not drop a repeat of it", None),
    R.NO_POD: lambda ready, new: (
        f"no pod of {'the newest' if new else 'an earlier'} build would do, of {ready} ready",
        "another ready pod would",
    ),
    R.OVER_LIMIT: lambda opened, limit: (
        f"{opened:g} transactions were open; answers come for {limit:.1f}",
        f"{opened - limit:.0f} fewer open, or quicker answers, would have let it in",
    ),
    R.BY_LOT: lambda pressure, chance: (
        f"answers take {pressure:.2f} of their goal here: of those that come, {share(chance)} are let in by lot",
        "answers within half the goal would have let it in",
    ),
    R.NO_NEWS: lambda: ("nothing was told of builds yet", "the platform's first news"),
    R.MOST_DELIVERIES: lambda made, most: (
        f"{made} deliveries were made, {most} are allowed",
        None,
    ),
    R.TIME_OVER: lambda left, mean: (
        f"{ms(max(0, left))} were left, and an answer takes {ms(mean)}: it could earn nothing any more"
        if mean
        else "its client's time was over",
        None,
    ),
    R.NO_BUDGET: lambda left: (
        f"too many deliveries were repeated of late (budget {left:.2f} of 1)",
        "seven more transactions fill it by one",
    ),
    R.MAY_HAVE_RUN: lambda pod, since: (
        f"it may have run at {pod} {ms(since)} ago and must not run twice",
        "a lane that may run again, or proof that it has not run",
    ),
    R.DEFERRED: lambda wait: (
        "answered: deferred" + (f", to come back after {ms(wait)}" if wait else ""),
        None,
    ),
    R.ABANDONED: lambda pod=None: (
        "answered: abandoned"
        + (
            f", as it may have run at {pod}: a deferral would call another try harmless"
            if pod
            else ""
        ),
        None,
    ),
    R.DONE: lambda: ("answered: done", None),
    R.LEFT: lambda: ("its client went away", None),
    R.VOTED: lambda build, stage, verdict, doubt, seen: (
        f"voted {VERDICTS[verdict]} on build {build}, stage {stage}: doubt at {doubt:.2f} of the bound, "
        f"{seen} outcomes seen",
        None,
    ),
    R.SECOND_COPY: lambda waited: (
        f"much later than its lane after {ms(waited)}: a second copy",
        None,
    ),
}


def explained(entry):
    """Lines for one entry: what it was, then each reason in its order, with what would have changed it."""
    end = R(entry.end).name.lower() if entry.end else "open"
    lines = [
        f"{entry.id}  lane {entry.request_class}"
        + (f", tenant {entry.tenant}" if entry.tenant else "")
        + (f", key {entry.key}" if entry.key else "")
        + (", a client's repeat" if entry.repeat else "")
        + f": {end} after {ms(entry.took)}"
    ]
    for reason, after, *operands in entry.notes:
        text, other = SAID[R(reason)](*operands)
        lines.append(f"  {after / 10:8.1f} ms  {text}" + (f"  [{other}]" if other else ""))
    if entry.cut:
        lines.append(f"  {entry.cut} notes in the middle were left out")
    return lines


def plain(entry):
    """An entry for programs."""
    return {
        "id": entry.id,
        "at": entry.at / 10_000,
        "key": entry.key,
        "tenant": entry.tenant,
        "lane": entry.request_class,
        "repeat": entry.repeat,
        "end": R(entry.end).name if entry.end else "OPEN",
        "took_ms": entry.took / 10,
        "cut": entry.cut,
        "reasons": [
            {
                "reason": R(note[0]).name,
                "after_ms": note[1] / 10,
                "operands": note[2:],
                "text": SAID[R(note[0])](*note[2:])[0],
            }
            for note in entry.notes
        ],
    }

"""Turns reasons into sentences with the figures that decided and what would have changed it."""

from collections.abc import Callable
from typing import NamedTuple, Optional

from ..interface.enums import Outcome
from ..interface.reasons import Reason
from .entry_codec import NOTE_HEAD, Entry, Note, note_delay, note_reason, reason_name

# In the order of the verdicts' numbers, which votes carry.
VERDICTS = ("nothing", "on", "hold", "back")
# Whether a failed attempt is proved not to have run.
PROVED = {True: "it has not run", False: "it may have run"}


class Sentence(NamedTuple):
    """What a person reads about one reason."""

    text: str
    remedy: Optional[str] = None
    """What would have led to another decision, where something would."""


def milliseconds(ticks: float) -> str:
    """Returns a duration in words."""
    return f"{ticks / 10:g} ms"


def percent(part: float) -> str:
    """Returns a part of 1 in words."""
    return f"{100 * part:.1f}%"


def _position(position: float, ramp: float, cap: float) -> Sentence:
    if position < ramp:
        return Sentence(
            f"its key lies at {position:.4f}, below the ramp at {ramp:.4f}"
            f" (cap {percent(cap)}): the newest build's",
            f"a ramp at {position:.4f} or lower would have sent it to the earlier build",
        )
    return Sentence(
        f"its key lies at {position:.4f}, not below the ramp at {ramp:.4f}"
        f" (cap {percent(cap)}): the earlier build's",
        f"a ramp above {position:.4f} would have sent it to the newest build",
    )


def _astray(attempts: int, failed: bool, hot: bool) -> Sentence:
    causes = []
    if attempts:
        causes.append(f"{attempts} deliveries came before")
    if failed:
        causes.append("its key failed there")
    if hot:
        causes.append("its key is a hot one that would flood the trial")
    return Sentence("it goes to the earlier build first: " + ", ".join(causes))


def _exposure(attempts: float, taken: float, cap: float, allowance: float) -> Sentence:
    sufficient = max(0.0, attempts + 1 - allowance) / taken if taken else 1.0
    return Sentence(
        f"the trial's exposure is used up: {attempts:g} deliveries there,"
        f" {allowance:g} and {percent(cap)} of {taken:g} taken are allowed",
        f"a cap of {percent(sufficient)} would have let it in" if sufficient <= 1 else None,
    )


def _sent(pod: str, build: int, newest: bool, time_out: int, cost: float) -> Sentence:
    age = "the newest" if newest else "an earlier one"
    return Sentence(
        f"sent to {pod}, build {build} ({age}), for {milliseconds(time_out)} at most;"
        f" the pod's cost was {cost:.2f}"
    )


def _ended(pod: str, number: int, outcome: str, latency: int, proved: bool) -> Sentence:
    run = "" if outcome == Outcome.DONE else f"; {PROVED[bool(proved)]}"
    return Sentence(
        f"delivery {number + 1} at {pod} ended after {milliseconds(latency)}: {outcome}{run}"
    )


def _no_pod(ready: int, newest: bool) -> Sentence:
    build = "the newest" if newest else "an earlier"
    return Sentence(
        f"no pod of {build} build would do, of {ready} ready", "another ready pod would"
    )


def _over_limit(opened: float, limit: float) -> Sentence:
    return Sentence(
        f"{opened:g} transactions were open; answers come for {limit:.1f}",
        f"{opened - limit:.0f} fewer open, or quicker answers, would have let it in",
    )


def _by_lot(pressure: float, chance: float) -> Sentence:
    return Sentence(
        f"answers take {pressure:.2f} of their goal here:"
        f" of those that come, {percent(chance)} are let in by lot",
        "answers within half the goal would have let it in",
    )


def _time_over(left: int, mean: int) -> Sentence:
    if not mean:
        return Sentence("its client's time was over")
    return Sentence(
        f"{milliseconds(max(0, left))} were left, and an answer takes {milliseconds(mean)}:"
        " it could earn nothing any more"
    )


def _deferred(wait: int) -> Sentence:
    hint = f", to come back after {milliseconds(wait)}" if wait else ""
    return Sentence("answered: deferred" + hint)


def _abandoned(pod: Optional[str] = None) -> Sentence:
    cause = f", as it may have run at {pod}: a deferral would call another try harmless"
    return Sentence("answered: abandoned" + (cause if pod else ""))


def _voted(build: int, stage: int, verdict: int, doubt: float, seen: int) -> Sentence:
    return Sentence(
        f"voted {VERDICTS[verdict]} on build {build}, stage {stage}:"
        f" doubt at {doubt:.2f} of the bound, {seen} outcomes seen"
    )


EXPLANATIONS: dict[Reason, Callable[..., Sentence]] = {
    Reason.POSITION: _position,
    Reason.ASTRAY: _astray,
    Reason.ENDED: _ended,
    Reason.EXPOSURE: _exposure,
    Reason.STAYS: lambda keys: Sentence(
        f"the newest build has answered its key ({keys} such keys): it stays there"
    ),
    Reason.GUARDED: lambda stage, guarded: Sentence(
        f"stage {stage} of the trial is guarded: only retriable lanes go there",
        f"from stage {guarded} on it may",
    ),
    Reason.CLOSED: lambda phase, cap: Sentence(
        f"the newest build takes nothing now (phase {phase}, cap {percent(cap)})"
    ),
    Reason.SENT: _sent,
    Reason.UNREACHABLE: lambda pods: Sentence(
        f"{pods} pods passed over that could not be reached of late"
    ),
    Reason.DOUBTED: lambda pods: Sentence(f"{pods} pods passed over that other instances saw fail"),
    Reason.USED: lambda pods: Sentence(f"{pods} pods passed over where it was already"),
    Reason.COLD: lambda pods: Sentence(
        f"{pods} cold pods have had their part of the deliveries", "it ends when they are warm"
    ),
    Reason.OUTSIDE: lambda pods: Sentence(f"{pods} pods would not drop a repeat of it"),
    Reason.NO_POD: _no_pod,
    Reason.OVER_LIMIT: _over_limit,
    Reason.BY_LOT: _by_lot,
    Reason.NO_NEWS: lambda: Sentence("nothing was told of builds yet", "the platform's first news"),
    Reason.MOST_DELIVERIES: lambda made, most: Sentence(
        f"{made} deliveries were made, {most} are allowed"
    ),
    Reason.TIME_OVER: _time_over,
    Reason.NO_BUDGET: lambda left: Sentence(
        f"too many deliveries were repeated of late (budget {left:.2f} of 1)",
        "seven more transactions fill it by one",
    ),
    Reason.MAY_HAVE_RUN: lambda pod, since: Sentence(
        f"it may have run at {pod} {milliseconds(since)} ago and must not run twice",
        "a lane that may run again, or proof that it has not run",
    ),
    Reason.DEFERRED: _deferred,
    Reason.ABANDONED: _abandoned,
    Reason.DONE: lambda: Sentence("answered: done"),
    Reason.LEFT: lambda: Sentence("its client went away"),
    Reason.VOTED: _voted,
    Reason.SECOND_COPY: lambda waited: Sentence(
        f"much later than its lane after {milliseconds(waited)}: a second copy"
    ),
}
"""The sentence of each reason, made of its operands in the order that `Reason` gives."""


def sentence_of(note: Note) -> Sentence:
    """Returns the sentence of a note; one that another version wrote may be told by its values."""
    number, operands = note_reason(note), note[NOTE_HEAD:]
    try:
        return EXPLANATIONS[Reason(number)](*operands)
    except (KeyError, IndexError, TypeError, ValueError):
        return Sentence(f"{reason_name(number)}, as another version tells it: {operands}")


def explain_entry(entry: Entry) -> list[str]:
    """Returns lines for a person: what the entry is, then each reason in order with its remedy."""
    lines = [_title(entry)]
    for note in entry.notes:
        sentence = sentence_of(note)
        remedy = f"  [{sentence.remedy}]" if sentence.remedy else ""
        lines.append(f"  {note_delay(note) / 10:8.1f} ms  {sentence.text}{remedy}")
    if entry.cut:
        lines.append(f"  {entry.cut} notes in the middle were left out")
    return lines


def _title(entry: Entry) -> str:
    parts = [f"{entry.id}  lane {entry.request_class}"]
    if entry.tenant:
        parts.append(f"tenant {entry.tenant}")
    if entry.key:
        parts.append(f"key {entry.key}")
    if entry.repeat:
        parts.append("a client's repeat")
    end = reason_name(entry.end).lower() if entry.end else "open"
    return f"{', '.join(parts)}: {end} after {milliseconds(entry.took)}"

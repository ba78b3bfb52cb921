"""Turns reasons into sentences with the figures that decided and what would have changed it."""

from collections.abc import Callable
from typing import NamedTuple, Optional

from ..interface.enums import Outcome
from ..interface.reasons import Reason
from .entry_codec import NOTE_HEADER_LENGTH, Entry, Note, note_elapsed, note_reason, reason_name

# In the order of the verdicts' numbers, which votes carry.
VERDICT_NAMES = ("nothing", "on", "hold", "back")
# Whether a failed attempt is proved not to have run.
EXECUTION_TEXTS = {True: "it has not run", False: "it may have run"}


class Explanation(NamedTuple):
    """What a person reads about one reason."""

    text: str
    remedy: Optional[str] = None
    """What would have led to another decision, where something would."""


def format_milliseconds(ticks: float) -> str:
    """Returns a duration in words."""
    return f"{ticks / 10:g} ms"


def format_percent(part: float) -> str:
    """Returns a part of 1 in words."""
    return f"{100 * part:.1f}%"


def _explain_position(position: float, ramp: float, cap: float) -> Explanation:
    if position < ramp:
        return Explanation(
            f"its key lies at {position:.4f}, below the ramp at {ramp:.4f}"
            f" (cap {format_percent(cap)}): the newest build's",
            f"a ramp at {position:.4f} or lower would have sent it to the earlier build",
        )
    return Explanation(
        f"its key lies at {position:.4f}, not below the ramp at {ramp:.4f}"
        f" (cap {format_percent(cap)}): the earlier build's",
        f"a ramp above {position:.4f} would have sent it to the newest build",
    )


def _explain_astray(attempts: int, failed: bool, hot: bool) -> Explanation:
    causes = []
    if attempts:
        causes.append(f"{attempts} deliveries came before")
    if failed:
        causes.append("its key failed there")
    if hot:
        causes.append("its key is a hot one that would flood the trial")
    return Explanation("it goes to the earlier build first: " + ", ".join(causes))


def _explain_exposure(attempts: float, taken: float, cap: float, allowance: float) -> Explanation:
    sufficient = max(0.0, attempts + 1 - allowance) / taken if taken else 1.0
    return Explanation(
        f"the trial's exposure is used up: {attempts:g} deliveries there,"
        f" {allowance:g} and {format_percent(cap)} of {taken:g} taken are allowed",
        f"a cap of {format_percent(sufficient)} would have let it in" if sufficient <= 1 else None,
    )


def _explain_sent(pod: str, build: int, newest: bool, timeout: int, cost: float) -> Explanation:
    age = "the newest" if newest else "an earlier one"
    return Explanation(
        f"sent to {pod}, build {build} ({age}), for {format_milliseconds(timeout)} at most;"
        f" the pod's cost was {cost:.2f}"
    )


def _explain_ended(pod: str, number: int, outcome: str, latency: int, proved: bool) -> Explanation:
    run = "" if outcome == Outcome.DONE else f"; {EXECUTION_TEXTS[bool(proved)]}"
    return Explanation(
        f"delivery {number + 1} at {pod} ended after {format_milliseconds(latency)}: {outcome}{run}"
    )


def _explain_no_pod(ready: int, newest: bool) -> Explanation:
    build = "the newest" if newest else "an earlier"
    return Explanation(
        f"no pod of {build} build would do, of {ready} ready", "another ready pod would"
    )


def _explain_over_limit(opened: float, limit: float) -> Explanation:
    return Explanation(
        f"{opened:g} transactions were open; answers come for {limit:.1f}",
        f"{opened - limit:.0f} fewer open, or quicker answers, would have let it in",
    )


def _explain_by_lot(pressure: float, chance: float) -> Explanation:
    return Explanation(
        f"answers take {pressure:.2f} of their goal here:"
        f" of those that come, {format_percent(chance)} are let in by lot",
        "answers within half the goal would have let it in",
    )


def _explain_time_over(left: int, mean: int) -> Explanation:
    if not mean:
        return Explanation("its client's time was over")
    return Explanation(
        f"{format_milliseconds(max(0, left))} were left, and an answer takes"
        f" {format_milliseconds(mean)}: it could earn nothing any more"
    )


def _explain_deferred(wait: int) -> Explanation:
    hint = f", to come back after {format_milliseconds(wait)}" if wait else ""
    return Explanation("answered: deferred" + hint)


def _explain_abandoned(pod: Optional[str] = None) -> Explanation:
    cause = f", as it may have run at {pod}: a deferral would call another try harmless"
    return Explanation("answered: abandoned" + (cause if pod else ""))


def _explain_voted(build: int, stage: int, verdict: int, doubt: float, seen: int) -> Explanation:
    return Explanation(
        f"voted {VERDICT_NAMES[verdict]} on build {build}, stage {stage}:"
        f" doubt at {doubt:.2f} of the bound, {seen} outcomes seen"
    )


EXPLANATIONS: dict[Reason, Callable[..., Explanation]] = {
    Reason.POSITION: _explain_position,
    Reason.ASTRAY: _explain_astray,
    Reason.ENDED: _explain_ended,
    Reason.EXPOSURE: _explain_exposure,
    Reason.STAYS: lambda keys: Explanation(
        f"the newest build has answered its key ({keys} such keys): it stays there"
    ),
    Reason.GUARDED: lambda stage, guarded: Explanation(
        f"stage {stage} of the trial is guarded: only retriable lanes go there",
        f"from stage {guarded} on it may",
    ),
    Reason.CLOSED: lambda phase, cap: Explanation(
        f"the newest build takes nothing now (phase {phase}, cap {format_percent(cap)})"
    ),
    Reason.SENT: _explain_sent,
    Reason.UNREACHABLE: lambda pods: Explanation(
        f"{pods} pods passed over that could not be reached of late"
    ),
    Reason.DOUBTED: lambda pods: Explanation(
        f"{pods} pods passed over that other instances saw fail"
    ),
    Reason.USED: lambda pods: Explanation(f"{pods} pods passed over where it was already"),
    Reason.COLD: lambda pods: Explanation(
        f"{pods} cold pods have had their part of the deliveries", "it ends when they are warm"
    ),
    Reason.OUTSIDE: lambda pods: Explanation(f"{pods} pods would not drop a repeat of it"),
    Reason.NO_POD: _explain_no_pod,
    Reason.OVER_LIMIT: _explain_over_limit,
    Reason.BY_LOT: _explain_by_lot,
    Reason.NO_NEWS: lambda: Explanation(
        "nothing was told of builds yet", "the platform's first news"
    ),
    Reason.MOST_DELIVERIES: lambda made, most: Explanation(
        f"{made} deliveries were made, {most} are allowed"
    ),
    Reason.TIME_OVER: _explain_time_over,
    Reason.NO_BUDGET: lambda left: Explanation(
        f"too many deliveries were repeated of late (budget {left:.2f} of 1)",
        "seven more transactions fill it by one",
    ),
    Reason.MAY_HAVE_RUN: lambda pod, since: Explanation(
        f"it may have run at {pod} {format_milliseconds(since)} ago and must not run twice",
        "a lane that may run again, or proof that it has not run",
    ),
    Reason.DEFERRED: _explain_deferred,
    Reason.ABANDONED: _explain_abandoned,
    Reason.DONE: lambda: Explanation("answered: done"),
    Reason.LEFT: lambda: Explanation("its client went away"),
    Reason.VOTED: _explain_voted,
    Reason.SECOND_COPY: lambda waited: Explanation(
        f"much later than its lane after {format_milliseconds(waited)}: a second copy"
    ),
}
"""The sentence of each reason, made of its operands in the order that `Reason` gives."""


def explain_note(note: Note) -> Explanation:
    """Returns the sentence of a note; one that another version wrote may be told by its values."""
    number, operands = note_reason(note), note[NOTE_HEADER_LENGTH:]
    try:
        return EXPLANATIONS[Reason(number)](*operands)
    except (KeyError, IndexError, TypeError, ValueError):
        return Explanation(f"{reason_name(number)}, as another version tells it: {operands}")


def explain_entry(entry: Entry) -> list[str]:
    """Returns lines for a person: what the entry is, then each reason in order with its remedy."""
    lines = [_headline(entry)]
    for note in entry.notes:
        explanation = explain_note(note)
        remedy = f"  [{explanation.remedy}]" if explanation.remedy else ""
        lines.append(f"  {note_elapsed(note) / 10:8.1f} ms  {explanation.text}{remedy}")
    if entry.omitted_notes:
        lines.append(f"  {entry.omitted_notes} notes in the middle were left out")
    return lines


def _headline(entry: Entry) -> str:
    parts = [f"{entry.id}  lane {entry.request_class}"]
    if entry.tenant:
        parts.append(f"tenant {entry.tenant}")
    if entry.key:
        parts.append(f"key {entry.key}")
    if entry.is_retry:
        parts.append("a client's repeat")
    end = reason_name(entry.final_reason).lower() if entry.final_reason else "open"
    return f"{', '.join(parts)}: {end} after {format_milliseconds(entry.duration)}"

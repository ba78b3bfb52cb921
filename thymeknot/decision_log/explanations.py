"""Explains reasons in sentences: the figures behind a decision, and what would have changed it.

The sentences use the terms of the operator's settings: pods are endpoints, and lanes are request
classes.
"""

from collections.abc import Callable
from typing import NamedTuple, Optional

from ..interface.enums import Outcome
from ..interface.reasons import Reason
from .entry_codec import NOTE_HEADER_LENGTH, Entry, Note, note_elapsed, note_reason, reason_name

# By the number of the verdict in a vote.
VERDICT_NAMES = ("nothing", "on", "hold", "back")
# By whether a failed attempt provably did not run.
EXECUTION_TEXTS = {True: "it did not run", False: "it may have run"}


class Explanation(NamedTuple):
    """The explanation of a reason for operators."""

    text: str
    remedy: Optional[str] = None
    """What would have led to another decision, if anything."""


def format_milliseconds(ticks: float) -> str:
    """Formats a duration in ticks as milliseconds."""
    return f"{ticks / 10:g} ms"


def format_percent(ratio: float) -> str:
    """Formats a ratio as a percentage."""
    return f"{100 * ratio:.1f}%"


def _explain_position(position: float, ramp: float, cap: float) -> Explanation:
    if position < ramp:
        return Explanation(
            f"the key position {position:.4f} is below the ramp at {ramp:.4f}"
            f" (cap {format_percent(cap)}): assigned to the newest build",
            f"a ramp at {position:.4f} or lower would have assigned it to the earlier build",
        )
    return Explanation(
        f"the key position {position:.4f} is not below the ramp at {ramp:.4f}"
        f" (cap {format_percent(cap)}): assigned to the earlier build",
        f"a ramp above {position:.4f} would have assigned it to the newest build",
    )


def _explain_astray(attempts: int, failed: bool, is_hot: bool) -> Explanation:
    causes = []
    if attempts:
        causes.append(f"{attempts} earlier attempts")
    if failed:
        causes.append("its key failed on the newest build")
    if is_hot:
        causes.append("its key is so frequent that it would dominate the trial")
    return Explanation("the earlier build is tried first: " + ", ".join(causes))


def _explain_exposure(
    attempts: float, received: float, cap: float, allowance: float
) -> Explanation:
    sufficient = max(0.0, attempts + 1 - allowance) / received if received else 1.0
    return Explanation(
        f"the exposure budget of the trial is exhausted: {attempts:g} attempts there,"
        f" {allowance:g} plus {format_percent(cap)} of {received:g} requests are allowed",
        f"a cap of {format_percent(sufficient)} would have admitted it"
        if sufficient <= 1
        else None,
    )


def _explain_sent(pod: str, build: int, newest: bool, timeout: int, cost: float) -> Explanation:
    age = "the newest" if newest else "an earlier one"
    return Explanation(
        f"sent to {pod}, build {build} ({age}), with a timeout of {format_milliseconds(timeout)};"
        f" the pod's cost was {cost:.2f}"
    )


def _explain_ended(
    pod: str, number: int, outcome: str, latency: int, proven_not_run: bool
) -> Explanation:
    execution = "" if outcome == Outcome.DONE else f"; {EXECUTION_TEXTS[bool(proven_not_run)]}"
    return Explanation(
        f"attempt {number + 1} at {pod} ended after {format_milliseconds(latency)}:"
        f" {outcome}{execution}"
    )


def _explain_no_pod(ready: int, newest: bool) -> Explanation:
    build = "the newest" if newest else "an earlier"
    return Explanation(
        f"no pod of {build} build is eligible, of {ready} ready pods", "another ready pod"
    )


def _explain_over_limit(in_flight: float, limit: float) -> Explanation:
    return Explanation(
        f"{in_flight:g} requests were in flight; {limit:.1f} can be answered in time",
        f"{in_flight - limit:.0f} fewer in flight, or faster responses, would have admitted it",
    )


def _explain_by_lot(pressure: float, admitted_fraction: float) -> Explanation:
    return Explanation(
        f"responses take {pressure:.2f} times the latency objective here:"
        f" a random {format_percent(admitted_fraction)} of new requests are admitted",
        "responses within half the objective would have admitted it",
    )


def _explain_time_over(time_left: int, mean: int) -> Explanation:
    if not mean:
        return Explanation("the client's deadline had passed")
    return Explanation(
        f"{format_milliseconds(max(0, time_left))} were left, and a response takes"
        f" {format_milliseconds(mean)} on average: it would come too late to be of use"
    )


def _explain_deferred(wait: int) -> Explanation:
    hint = f", retry after {format_milliseconds(wait)}" if wait else ""
    return Explanation("answered: deferred" + hint)


def _explain_abandoned(pod: Optional[str] = None) -> Explanation:
    cause = f", as it may have run at {pod}: a deferral would imply that a retry is safe"
    return Explanation("answered: abandoned" + (cause if pod else ""))


def _explain_voted(
    build: int, stage: int, verdict: int, evidence_ratio: float, outcome_count: int
) -> Explanation:
    return Explanation(
        f"voted {VERDICT_NAMES[verdict]} on build {build}, stage {stage}:"
        f" evidence at {evidence_ratio:.2f} of the threshold after {outcome_count} outcomes"
    )


EXPLANATIONS: dict[Reason, Callable[..., Explanation]] = {
    Reason.POSITION: _explain_position,
    Reason.ASTRAY: _explain_astray,
    Reason.ENDED: _explain_ended,
    Reason.EXPOSURE: _explain_exposure,
    Reason.STAYS: lambda keys: Explanation(
        f"the newest build has served its key, or may have ({keys} such keys): the key stays there"
    ),
    Reason.GUARDED: lambda stage, guarded: Explanation(
        f"stage {stage} of the trial is guarded: it accepts only retriable lanes",
        f"from stage {guarded} on, the build accepts it",
    ),
    Reason.CLOSED: lambda phase, cap: Explanation(
        f"the newest build accepts no requests now (phase {phase}, cap {format_percent(cap)})"
    ),
    Reason.SENT: _explain_sent,
    Reason.UNREACHABLE: lambda pods: Explanation(
        f"{pods} pods skipped that were recently unreachable"
    ),
    Reason.DOUBTED: lambda pods: Explanation(f"{pods} pods skipped that other instances suspect"),
    Reason.USED: lambda pods: Explanation(f"{pods} pods skipped that had an earlier attempt"),
    Reason.COLD: lambda pods: Explanation(
        f"{pods} pods skipped that are warming up and at capacity", "pods that are warm"
    ),
    Reason.OUTSIDE: lambda pods: Explanation(
        f"{pods} pods skipped that would not deduplicate a retry"
    ),
    Reason.NO_POD: _explain_no_pod,
    Reason.OVER_LIMIT: _explain_over_limit,
    Reason.BY_LOT: _explain_by_lot,
    Reason.NO_NEWS: lambda: Explanation(
        "no release update received yet", "the first update of the release platform"
    ),
    Reason.MOST_DELIVERIES: lambda attempts_made, most: Explanation(
        f"{attempts_made} attempts were made, {most} are allowed"
    ),
    Reason.TIME_OVER: _explain_time_over,
    Reason.NO_BUDGET: lambda left: Explanation(
        f"the retry budget is exhausted ({left:.2f} left, a retry needs 1)",
        "seven more requests add one retry to it",
    ),
    Reason.MAY_HAVE_RUN: lambda pod, since: Explanation(
        f"it may have run at {pod} {format_milliseconds(since)} ago and must not run twice",
        "a lane that may run again, or proof that it has not run",
    ),
    Reason.DEFERRED: _explain_deferred,
    Reason.ABANDONED: _explain_abandoned,
    Reason.DONE: lambda: Explanation("answered: done"),
    Reason.LEFT: lambda: Explanation("the client disconnected"),
    Reason.VOTED: _explain_voted,
    Reason.SECOND_COPY: lambda waited: Explanation(
        f"no response after {format_milliseconds(waited)}, unusually long for its lane:"
        " a hedged request was sent"
    ),
}
"""Builds the explanation of each reason from its operands, in the order listed in `Reason`."""


def explain_note(note: Note) -> Explanation:
    """Explains a note; lists the operands of a note that this version does not know."""
    number, operands = note_reason(note), note[NOTE_HEADER_LENGTH:]
    try:
        return EXPLANATIONS[Reason(number)](*operands)
    except (KeyError, IndexError, TypeError, ValueError):
        return Explanation(f"{reason_name(number)}, from another version: {operands}")


def explain_entry(entry: Entry) -> list[str]:
    """Returns lines for operators: a headline, then each reason in order with its remedy."""
    lines = [_headline(entry)]
    for note in entry.notes:
        explanation = explain_note(note)
        remedy = f"  [{explanation.remedy}]" if explanation.remedy else ""
        lines.append(f"  {note_elapsed(note) / 10:8.1f} ms  {explanation.text}{remedy}")
    if entry.omitted_notes:
        lines.append(f"  {entry.omitted_notes} notes in the middle were omitted")
    return lines


def _headline(entry: Entry) -> str:
    parts = [f"{entry.id}  lane {entry.request_class}"]
    if entry.tenant:
        parts.append(f"tenant {entry.tenant}")
    if entry.key:
        parts.append(f"key {entry.key}")
    if entry.is_retry:
        parts.append("a client's retry")
    end = reason_name(entry.final_reason).lower() if entry.final_reason else "open"
    return f"{', '.join(parts)}: {end} after {format_milliseconds(entry.duration)}"

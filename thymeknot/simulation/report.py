"""A page on one day: what was sent to which build, what came of it, votes, times, servers.

Faults are shown as bands.
"""

import html
import os
from collections.abc import Mapping
from typing import Any, NamedTuple

import matplotlib
import numpy as np

matplotlib.use("Agg")
from matplotlib import pyplot

from ..interface.clock import TICKS_PER_SECOND
from ..interface.enums import ReleasePhase, Verdict
from .invariants import Answer
from .recording import RECORDING_PERIOD, RecordingSimulator
from .scenarios import Day

VERDICTS = {
    Verdict.ABSTAIN: "withdrawn",
    Verdict.PROMOTE: "on",
    Verdict.PAUSE: "hold",
    Verdict.ABORT: "back",
}
COLOURS = {"done": "tab:green", "deferred": "tab:orange", "abandoned": "tab:red"}
PERIODS_PER_SECOND = TICKS_PER_SECOND / RECORDING_PERIOD
# Seconds of waiting work that get the brightest colour.
BRIGHTEST_LOAD = 3
# Not shown in the table: they are maps.
HIDDEN_FIGURES = ("ends", "votes")


class PlayedDay(NamedTuple):
    """What one policy made of the day."""

    name: str
    """Of the policy."""
    picture: str
    """The file's name in the folder."""
    figures: dict[str, Any]


def _bands(axis: Any, day: Day) -> None:
    for number, fault in enumerate(day.faults):
        axis.axvspan(
            fault.begin / TICKS_PER_SECOND,
            max(fault.end, fault.begin + RECORDING_PERIOD) / TICKS_PER_SECOND,
            alpha=0.08,
            color=f"C{number}",
        )
    axis.set_xlim(0, day.span / TICKS_PER_SECOND)


def draw_day(fleet: RecordingSimulator, path: str, title: str) -> None:
    """Draws a day that has been played into a PNG file."""
    times = [look.at for look in fleet.snapshots]
    figure, axes = pyplot.subplots(6, 1, figsize=(11, 15), sharex=True, constrained_layout=True)
    figure.suptitle(title)
    _draw_attempts(axes[0], fleet, times)
    _draw_exposure(axes[1], fleet, times)
    _draw_answers(axes[2], fleet, times)
    _draw_votes(axes[3], fleet, times)
    _draw_latencies(axes[4], fleet, times)
    _draw_load(axes[5], fleet, times)
    for axis in axes[:5]:
        _bands(axis, fleet.day)
        if axis.get_legend_handles_labels()[0]:
            axis.legend(loc="upper right", fontsize=8)
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def _draw_attempts(axis: Any, fleet: RecordingSimulator, times: list[float]) -> None:
    axis.stackplot(
        times,
        [fleet.attempt_counts[name][: len(times)] * PERIODS_PER_SECOND for name in fleet.builds],
        labels=[f"build {name}" for name in fleet.builds],
    )
    axis.set_ylabel("deliveries a second")


def _draw_exposure(axis: Any, fleet: RecordingSimulator, times: list[float]) -> None:
    total = np.sum(list(fleet.attempt_counts.values()), axis=0)[: len(times)]
    for name in fleet.builds[1:]:
        axis.plot(
            times,
            [look.running[name] / fleet.day.pods for look in fleet.snapshots],
            label=f"pods of build {name}",
        )
        axis.plot(
            times,
            fleet.attempt_counts[name][: len(times)] / total.clip(1),
            label=f"deliveries to it, share of {name}",
        )
    axis.step(
        times,
        [
            look.cap if look.phase == ReleasePhase.ON_TRIAL else float("nan")
            for look in fleet.snapshots
        ],
        label="cap",
        color="black",
        linewidth=0.8,
    )
    axis.set_ylabel("exposure")


def _draw_answers(axis: Any, fleet: RecordingSimulator, times: list[float]) -> None:
    for how, colour in COLOURS.items():
        axis.plot(
            times,
            fleet.answer_counts[Answer(how)][: len(times)] * PERIODS_PER_SECOND,
            label=how,
            color=colour,
        )
    axis.set_ylabel("answers a second")


def _draw_votes(axis: Any, fleet: RecordingSimulator, times: list[float]) -> None:
    for verdict, name in VERDICTS.items():
        if fleet.vote_counts[verdict].any():
            axis.plot(
                times, fleet.vote_counts[verdict][: len(times)] * PERIODS_PER_SECOND, label=name
            )
    axis.axhline(
        fleet.day.terms.votes_per_second,
        color="black",
        linewidth=0.8,
        linestyle=":",
        label="calls that are taken",
    )
    axis.set_ylabel("votes a second")


def _draw_latencies(axis: Any, fleet: RecordingSimulator, times: list[float]) -> None:
    axis.plot(times, fleet.latency_quantiles()[: len(times)], label="95% of the answers within")
    axis.axhline(1.0, color="black", linewidth=0.8)
    axis.set_ylabel("time, in goals")


def _draw_load(axis: Any, fleet: RecordingSimulator, times: list[float]) -> None:
    axis.imshow(
        [list(one) for one in zip(*fleet.queued_seconds)],
        aspect="auto",
        origin="lower",
        cmap="inferno",
        vmax=BRIGHTEST_LOAD,
        extent=(0, times[-1], 0, fleet.day.pods),
    )
    axis.set_ylabel("pods: work waiting, s")
    axis.set_xlabel("seconds; bands are faults")


def written(
    day: Day, policies: Mapping[str, Any], folder: str, title: str
) -> dict[str, dict[str, Any]]:
    """Plays the day with each policy and writes index.html and a PNG for each into the folder.

    Args:
        day: what is played.
        policies: by the names that the page shows.
        folder: made if it is not there.
        title: of the page.

    Returns:
        The figures by the policy's name.
    """
    os.makedirs(folder, exist_ok=True)
    played = []
    for number, (name, policy) in enumerate(policies.items()):
        fleet = RecordingSimulator(day, policy).run()
        picture = f"day-{number}.png"
        draw_day(fleet, os.path.join(folder, picture), f"{title}: {name}")
        played.append(PlayedDay(name, picture, _figures(fleet)))
    with open(os.path.join(folder, "index.html"), "w", encoding="utf-8") as target:
        target.write(_page(day, played, html.escape(title)))
    return {one.name: one.figures for one in played}


def _figures(fleet: RecordingSimulator) -> dict[str, Any]:
    turned_away, needless = fleet.results.rejection_ratios()
    return {
        **fleet.figures(),
        "turned_away": round(turned_away, 4),
        "needless": round(needless, 4),
        "worth": round(fleet.results.net_earnings_ratio(), 4),
        "votes": fleet.results.vote_calls,
    }


def _page(day: Day, played: list[PlayedDay], title: str) -> str:
    """The page as HTML; the title is escaped."""
    keys = [key for key in played[0].figures if key not in HIDDEN_FIGURES]
    table = "".join(
        f"<tr><th>{html.escape(key)}</th>"
        + "".join(f"<td>{html.escape(str(one.figures[key]))}</td>" for one in played)
        + "</tr>"
        for key in keys
    )
    faults = "".join(
        f"<li>{fault.begin / TICKS_PER_SECOND:.1f} to {fault.end / TICKS_PER_SECOND:.1f} s: "
        f"{html.escape(fault.kind)}, {len(fault.what)} struck</li>"
        for fault in day.faults
    )
    names = "".join(f"<th>{html.escape(one.name)}</th>" for one in played)
    pictures = "".join(
        f'<h2>{html.escape(one.name)}</h2><img src="{one.picture}" alt="{html.escape(one.name)}">'
        for one in played
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><h1>{title}</h1><p>Simulated: "
        f"{day.instances} instances, {day.pods} pods, {day.rate:.0f} transactions a second.</p>"
        f"<ul>{faults}</ul><table border=1><tr><th></th>{names}</tr>{table}</table>{pictures}\n"
    )

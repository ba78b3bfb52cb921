"""Writes an HTML report with charts of one day simulated with each of several policies.

The charts show attempts by build, exposure, answers, votes, latencies and the load of the servers.
Shaded bands mark faults.
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

VERDICT_LABELS = {
    Verdict.ABSTAIN: "withdrawn",
    Verdict.PROMOTE: "on",
    Verdict.PAUSE: "hold",
    Verdict.ABORT: "back",
}
ANSWER_COLOURS = {"done": "tab:green", "deferred": "tab:orange", "abandoned": "tab:red"}
PERIODS_PER_SECOND = TICKS_PER_SECOND / RECORDING_PERIOD
# Seconds of queued work that are shown in the brightest colour.
BRIGHTEST_LOAD_SECONDS = 3
# Not shown in the table, because their values are dictionaries.
HIDDEN_FIGURES = ("ends", "votes")


class PolicyRun(NamedTuple):
    """The results of one policy."""

    name: str
    """Name of the policy."""
    chart_file: str
    """Name of the PNG file in the directory of the report."""
    figures: dict[str, Any]


def _draw_fault_bands(axis: Any, day: Day) -> None:
    for number, fault in enumerate(day.faults):
        axis.axvspan(
            fault.begin / TICKS_PER_SECOND,
            max(fault.end, fault.begin + RECORDING_PERIOD) / TICKS_PER_SECOND,
            alpha=0.08,
            color=f"C{number}",
        )
    axis.set_xlim(0, day.duration / TICKS_PER_SECOND)


def draw_day(simulator: RecordingSimulator, path: str, title: str) -> None:
    """Writes the charts of a simulated day to a PNG file.

    Args:
        simulator: The simulator after the end of the day.
        path: The file.
        title: Title of the charts.
    """
    times = [snapshot.at for snapshot in simulator.snapshots]
    figure, axes = pyplot.subplots(6, 1, figsize=(11, 15), sharex=True, constrained_layout=True)
    figure.suptitle(title)
    _draw_attempts(axes[0], simulator, times)
    _draw_exposure(axes[1], simulator, times)
    _draw_answers(axes[2], simulator, times)
    _draw_votes(axes[3], simulator, times)
    _draw_latencies(axes[4], simulator, times)
    _draw_load(axes[5], simulator, times)
    for axis in axes[:5]:
        _draw_fault_bands(axis, simulator.day)
        if axis.get_legend_handles_labels()[0]:
            axis.legend(loc="upper right", fontsize=8)
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def _draw_attempts(axis: Any, simulator: RecordingSimulator, times: list[float]) -> None:
    axis.stackplot(
        times,
        [
            simulator.attempt_counts[build][: len(times)] * PERIODS_PER_SECOND
            for build in simulator.builds
        ],
        labels=[f"build {build}" for build in simulator.builds],
    )
    axis.set_ylabel("attempts per second")


def _draw_exposure(axis: Any, simulator: RecordingSimulator, times: list[float]) -> None:
    total = np.sum(list(simulator.attempt_counts.values()), axis=0)[: len(times)]
    for build in simulator.builds[1:]:
        axis.plot(
            times,
            [snapshot.running[build] / simulator.day.pods for snapshot in simulator.snapshots],
            label=f"pods of build {build}",
        )
        axis.plot(
            times,
            simulator.attempt_counts[build][: len(times)] / total.clip(1),
            label=f"share of attempts at build {build}",
        )
    axis.step(
        times,
        [
            snapshot.cap if snapshot.phase == ReleasePhase.ON_TRIAL else float("nan")
            for snapshot in simulator.snapshots
        ],
        label="cap",
        color="black",
        linewidth=0.8,
    )
    axis.set_ylabel("exposure")


def _draw_answers(axis: Any, simulator: RecordingSimulator, times: list[float]) -> None:
    for answer, colour in ANSWER_COLOURS.items():
        axis.plot(
            times,
            simulator.answer_counts[Answer(answer)][: len(times)] * PERIODS_PER_SECOND,
            label=answer,
            color=colour,
        )
    axis.set_ylabel("answers per second")


def _draw_votes(axis: Any, simulator: RecordingSimulator, times: list[float]) -> None:
    for verdict, label in VERDICT_LABELS.items():
        if simulator.vote_counts[verdict].any():
            axis.plot(
                times,
                simulator.vote_counts[verdict][: len(times)] * PERIODS_PER_SECOND,
                label=label,
            )
    axis.axhline(
        simulator.day.settings.votes_per_second,
        color="black",
        linewidth=0.8,
        linestyle=":",
        label="rate limit of vote calls",
    )
    axis.set_ylabel("votes per second")


def _draw_latencies(axis: Any, simulator: RecordingSimulator, times: list[float]) -> None:
    axis.plot(times, simulator.latency_quantiles()[: len(times)], label="95th percentile")
    axis.axhline(1.0, color="black", linewidth=0.8)
    axis.set_ylabel("latency / objective")


def _draw_load(axis: Any, simulator: RecordingSimulator, times: list[float]) -> None:
    axis.imshow(
        [list(place_load) for place_load in zip(*simulator.queued_seconds)],
        aspect="auto",
        origin="lower",
        cmap="inferno",
        vmax=BRIGHTEST_LOAD_SECONDS,
        extent=(0, times[-1], 0, simulator.day.pods),
    )
    axis.set_ylabel("pods: queued work (s)")
    axis.set_xlabel("seconds (shaded bands: faults)")


def write_report(
    day: Day, policies: Mapping[str, Any], directory: str, title: str
) -> dict[str, dict[str, Any]]:
    """Simulates a day with each policy and writes a report with a PNG file for each of them.

    Args:
        day: The day.
        policies: The policies by name.
        directory: Where index.html and the PNG files are written; created if it does not exist.
        title: Title of the page.

    Returns:
        The figures of each policy, by its name.
    """
    os.makedirs(directory, exist_ok=True)
    runs = []
    for number, (name, policy) in enumerate(policies.items()):
        simulator = RecordingSimulator(day, policy).run()
        chart_file = f"day-{number}.png"
        draw_day(simulator, os.path.join(directory, chart_file), f"{title}: {name}")
        runs.append(PolicyRun(name, chart_file, _report_figures(simulator)))
    with open(os.path.join(directory, "index.html"), "w", encoding="utf-8") as page:
        page.write(_render_page(day, runs, html.escape(title)))
    return {run.name: run.figures for run in runs}


def _report_figures(simulator: RecordingSimulator) -> dict[str, Any]:
    rejected, needless = simulator.results.rejection_ratios()
    return {
        **simulator.figures(),
        "turned_away": round(rejected, 4),
        "needless": round(needless, 4),
        "worth": round(simulator.results.net_earnings_ratio(), 4),
        "votes": simulator.results.vote_calls,
    }


def _render_page(day: Day, runs: list[PolicyRun], title: str) -> str:
    """Returns the page as HTML.

    Args:
        day: The day.
        runs: The results of each policy.
        title: Title of the page, already escaped.
    """
    figure_names = [figure for figure in runs[0].figures if figure not in HIDDEN_FIGURES]
    table_rows = "".join(
        f"<tr><th>{html.escape(figure)}</th>"
        + "".join(f"<td>{html.escape(str(run.figures[figure]))}</td>" for run in runs)
        + "</tr>"
        for figure in figure_names
    )
    fault_items = "".join(
        f"<li>{fault.begin / TICKS_PER_SECOND:.1f} to {fault.end / TICKS_PER_SECOND:.1f} s: "
        f"{html.escape(fault.kind)}, {len(fault.targets)} affected</li>"
        for fault in day.faults
    )
    column_headings = "".join(f"<th>{html.escape(run.name)}</th>" for run in runs)
    charts = "".join(
        f"<h2>{html.escape(run.name)}</h2>"
        f'<img src="{run.chart_file}" alt="{html.escape(run.name)}">'
        for run in runs
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><h1>{title}</h1><p>Simulated: "
        f"{day.instances} instances, {day.pods} pods, "
        f"{day.request_rate:.0f} requests per second.</p>"
        f"<ul>{fault_items}</ul><table border=1><tr><th></th>{column_headings}</tr>{table_rows}"
        f"</table>{charts}\n"
    )

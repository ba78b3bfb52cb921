"""One page on one day: what was sent to which build, what came of it, votes, times, pods; faults as bands."""

import html
import os

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  the backend comes first

from ..interface.clock import TICKS_PER_SECOND  # noqa: E402
from ..interface.enums import ReleasePhase, Verdict  # noqa: E402
from .recording import PERIOD, RecordingSimulator  # noqa: E402

VERDICTS = {
    Verdict.ABSTAIN: "withdrawn",
    Verdict.PROMOTE: "on",
    Verdict.PAUSE: "hold",
    Verdict.ABORT: "back",
}
COLOURS = {"done": "tab:green", "deferred": "tab:orange", "abandoned": "tab:red"}


def _bands(axis, day):
    for number, fault in enumerate(day.faults):
        axis.axvspan(
            fault.begin / TICKS_PER_SECOND,
            max(fault.end, fault.begin + PERIOD) / TICKS_PER_SECOND,
            alpha=0.08,
            color=f"C{number}",
        )
    axis.set_xlim(0, day.span / TICKS_PER_SECOND)


def drawn(fleet, path, title):
    """Draws a RecordingSimulator that has been played."""
    day, steps = fleet.day, len(fleet.looks)
    times = [at for at, *_ in fleet.looks]
    figure, axes = pyplot.subplots(6, 1, figsize=(11, 15), sharex=True, constrained_layout=True)
    figure.suptitle(title)
    per_s = TICKS_PER_SECOND / PERIOD
    axes[0].stackplot(
        times,
        [fleet.sent[name][:steps] * per_s for name in fleet.names],
        labels=[f"build {name}" for name in fleet.names],
    )
    axes[0].set_ylabel("deliveries a second")
    total = sum(fleet.sent.values())[:steps]
    for name in fleet.names[1:]:
        axes[1].plot(
            times,
            [counts[name] / day.pods for *_, counts in fleet.looks],
            label=f"pods of build {name}",
        )
        axes[1].plot(
            times,
            fleet.sent[name][:steps] / total.clip(1),
            label=f"deliveries to it, share of {name}",
        )
    axes[1].step(
        times,
        [
            cap if phase == ReleasePhase.ON_TRIAL else float("nan")
            for _, _, _, phase, cap, _ in fleet.looks
        ],
        label="cap",
        color="black",
        linewidth=0.8,
    )
    axes[1].set_ylabel("exposure")
    for how, colour in COLOURS.items():
        axes[2].plot(times, fleet.how[how][:steps] * per_s, label=how, color=colour)
    axes[2].set_ylabel("answers a second")
    for verdict, name in VERDICTS.items():
        if fleet.cast[verdict].any():
            axes[3].plot(times, fleet.cast[verdict][:steps] * per_s, label=name)
    axes[3].axhline(
        day.terms.votes_per_second,
        color="black",
        linewidth=0.8,
        linestyle=":",
        label="calls that are taken",
    )
    axes[3].set_ylabel("votes a second")
    axes[4].plot(times, fleet.late()[:steps], label="95% of the answers within")
    axes[4].axhline(1.0, color="black", linewidth=0.8)
    axes[4].set_ylabel("time, in goals")
    axes[5].imshow(
        [list(one) for one in zip(*fleet.load)],
        aspect="auto",
        origin="lower",
        cmap="inferno",
        vmax=3,
        extent=(0, times[-1], 0, day.pods),
    )
    axes[5].set_ylabel("pods: work waiting, s")
    axes[5].set_xlabel("seconds; bands are faults")
    for axis in axes[:5]:
        _bands(axis, day)
        if axis.get_legend_handles_labels()[0]:
            axis.legend(loc="upper right", fontsize=8)
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def written(day, policies, folder, title):
    """Plays the day with each of the policies (by name) and writes index.html and a PNG for each into the folder. Gives
    the figures by name."""
    os.makedirs(folder, exist_ok=True)
    rows, found = [], {}
    for number, (name, policy) in enumerate(policies.items()):
        fleet = RecordingSimulator(day, policy).play()
        picture = f"day-{number}.png"
        drawn(fleet, os.path.join(folder, picture), f"{title}: {name}")
        turned_away, needless = fleet.needless()
        found[name] = {
            **fleet.figures(),
            "turned_away": round(turned_away, 4),
            "needless": round(needless, 4),
            "worth": round(fleet.worth(), 4),
            "votes": fleet.votes_asked,
        }
        rows.append((name, picture, found[name]))
    keys = [key for key in rows[0][2] if key not in ("ends", "votes")]
    table = "".join(
        f"<tr><th>{html.escape(key)}</th>"
        + "".join(f"<td>{html.escape(str(figures[key]))}</td>" for _, _, figures in rows)
        + "</tr>"
        for key in keys
    )
    faults = "".join(
        f"<li>{fault.begin / TICKS_PER_SECOND:.1f} to {fault.end / TICKS_PER_SECOND:.1f} s: {html.escape(fault.kind)}, "
        f"{len(fault.what)} struck</li>"
        for fault in day.faults
    )
    names = "".join(f"<th>{html.escape(name)}</th>" for name, _, _ in rows)
    pictures = "".join(
        f'<h2>{html.escape(name)}</h2><img src="{picture}" alt="{html.escape(name)}">'
        for name, picture, _ in rows
    )
    with open(os.path.join(folder, "index.html"), "w", encoding="utf-8") as target:
        name = html.escape(title)
        target.write(
            f"<!doctype html><meta charset=utf-8><title>{name}</title><h1>{name}</h1><p>Simulated: "
            f"{day.instances} instances, {day.pods} pods, {day.rate:.0f} transactions a second.</p>"
            f"<ul>{faults}</ul><table border=1><tr><th></th>{names}</tr>{table}</table>{pictures}\n"
        )
    return found

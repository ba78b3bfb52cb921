"""The `lab` commands, which simulate fleets and their failures."""

import os
from collections.abc import Callable
from typing import Any, Optional

import click

from ..service.required_libraries import LABORATORY, libraries_from
from .output import json_line

CommandFunction = Callable[..., Any]
"""A function that click makes a command of."""


@click.group("lab")
def lab() -> None:
    """Simulate fleets and their failures."""


def _size_options(command: CommandFunction) -> CommandFunction:
    for name, default, help_text in (
        ("seconds", 40, "simulated time of a day"),
        ("rate", 400.0, "requests per second"),
        ("pods", 24, "number of pods"),
        ("instances", 40, "number of sidecars"),
    ):
        command = click.option(f"--{name}", default=default, show_default=True, help=help_text)(
            command
        )
    command = click.option("--seed", default=1, show_default=True, help="seed of the first day")(
        command
    )
    return command


@lab.command("run")
@_size_options
@click.option(
    "--policy", default="now", show_default=True, help="now, at:REVISION, random, turns, ..."
)
@libraries_from(LABORATORY)
def lab_run(seed: int, policy: str, **size: int) -> None:
    """Simulate one day and print its figures."""
    from ..simulation import experiments  # noqa: PLC0415  requires extra libraries

    try:
        click.echo(json_line(experiments.simulate_day((policy, seed, size))))
    except experiments.UnknownPolicyError as error:
        raise click.UsageError(str(error)) from None


@lab.command("compare")
@click.argument("one")
@click.argument("two")
@_size_options
@click.option("--days", default=8, show_default=True)
@click.option("--workers", default=os.cpu_count() or 1, show_default="all cores")
@click.option(
    "--keep", type=click.Path(), help="file for the results; an existing file is continued"
)
@libraries_from(LABORATORY)
def lab_compare(
    *, one: str, two: str, seed: int, days: int, workers: int, keep: Optional[str], **size: int
) -> None:
    """Compare two policies on the same days.

    Prints the differences with their confidence intervals and the smallest detectable difference.
    """
    from ..simulation import experiments  # noqa: PLC0415  requires extra libraries

    with click.progressbar(
        length=2 * days, label="days", file=click.get_text_stream("stderr")
    ) as progress:
        try:
            differences, broken_rules, _ = experiments.compare_policies(
                one,
                two,
                range(seed, seed + days),
                size,
                workers,
                keep,
                lambda done, count: progress.update(done - progress.pos),
            )
        except experiments.UnknownPolicyError as error:
            raise click.UsageError(str(error)) from None
    for name, difference in differences.items():
        click.echo(
            f"{name:10} {one} - {two}: {difference.mean:+.4f}"
            f"  [{difference.low:+.4f}, {difference.high:+.4f}]  "
            f"smallest detectable {difference.smallest_detectable:.4f},"
            f" {difference.pair_count} days"
        )
    click.echo(f"rules broken: {broken_rules or 'none'}")


@lab.command("fleet")
@click.argument("one")
@click.argument("two")
@click.option(
    "--kinds",
    default="herd,zone",
    show_default=True,
    help="comma-separated: calm, roll, herd, zone, split, join, overload",
)
@click.option("--days", default=4, show_default=True, help="number of days of each kind")
@click.option("--instances", default=60, show_default=True)
@click.option("--pods", default=36, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--workers", default=os.cpu_count() or 1, show_default="all cores")
@libraries_from(LABORATORY)
def lab_fleet(
    *, one: str, two: str, kinds: str, days: int, instances: int, pods: int, seed: int, workers: int
) -> None:
    """Compare two policies on the same days of a large fleet: TWO minus ONE, with intervals."""
    from ..simulation import experiments  # noqa: PLC0415  requires extra libraries

    selected_kinds = _parse_kinds(kinds)
    with click.progressbar(
        length=2 * days * len(selected_kinds), label="days", file=click.get_text_stream("stderr")
    ) as progress:
        try:
            pairs = experiments.simulate_large_fleet_pairs(
                one,
                two,
                selected_kinds,
                range(seed, seed + days),
                {"instances": instances, "pods": pods},
                workers,
                lambda done, count: progress.update(done - progress.pos),
            )
        except experiments.UnknownPolicyError as error:
            raise click.UsageError(str(error)) from None
    click.echo(json_line(experiments.summarize_large_fleet_pairs(pairs)))


def _parse_kinds(text: str) -> list[str]:
    from ..simulation import large_fleet_scenarios  # noqa: PLC0415  requires extra libraries

    unknown = [kind for kind in text.split(",") if kind not in large_fleet_scenarios.STANDARD_KINDS]
    if unknown:
        raise click.UsageError(
            f"unknown kind {', '.join(unknown)},"
            f" must be one of {', '.join(large_fleet_scenarios.STANDARD_KINDS)}"
        )
    return text.split(",")


@lab.command("report")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--kind", default="herd", show_default=True)
@click.option(
    "--policy", "names", multiple=True, default=("now",), show_default=True, help="may be repeated"
)
@click.option("--instances", default=60, show_default=True)
@click.option("--pods", default=36, show_default=True)
@click.option("--seed", default=1, show_default=True)
@libraries_from(LABORATORY)
def lab_report(
    *, folder: str, kind: str, names: tuple[str, ...], instances: int, pods: int, seed: int
) -> None:
    """Write a page with charts of one day of a fleet with each policy to FOLDER."""
    from ..simulation import experiments, large_fleet_scenarios  # noqa: PLC0415  extra libraries

    _parse_kinds(kind)
    from ..simulation import report  # noqa: PLC0415  requires extra libraries

    try:
        policies = {name: experiments.load_policy(name) for name in names}
    except experiments.UnknownPolicyError as error:
        raise click.UsageError(str(error)) from None
    day, _ = large_fleet_scenarios.draw_standard_day(seed, kind, instances=instances, pods=pods)
    click.echo(json_line(report.write_report(day, policies, folder, f"{kind}, seed {seed}")))


@lab.command("search")
@_size_options
@click.option("--days", default=24, show_default=True)
@click.option("--against", default="random", show_default=True)
@libraries_from(LABORATORY)
def lab_search(seed: int, days: int, against: str, **size: int) -> None:
    """Find the days with the worst results compared to another policy, reduced to the cause."""
    from ..simulation import experiments  # noqa: PLC0415  requires extra libraries

    for day in experiments.find_worst_days(
        "now", range(seed, seed + days), size, os.cpu_count() or 1, against
    ):
        click.echo(json_line(day))

"""The `load` command: open-loop load on a sidecar."""

from typing import Any, Final

import click

from ..interface.clock import TICKS_PER_SECOND
from ..service.required_libraries import LOAD, libraries_from
from .output import json_line

TICKS_PER_MILLISECOND: Final = 10
DIFFERENT_KEYS: Final = 10_000
"""Of the requests: enough that hardly any two in flight share one."""


@click.command("load")
@click.option(
    "--at",
    "place",
    default="127.0.0.1:6379",
    metavar="ADDRESS",
    show_default=True,
    help="a sidecar",
)
@click.option(
    "--rate",
    default=100.0,
    show_default=True,
    type=click.FloatRange(0.01),
    help="requests a second; of a ramp, the first",
)
@click.option(
    "--seconds", default=10, show_default=True, type=click.IntRange(1, 3600), help="of a stretch"
)
@click.option(
    "--lane",
    "lanes",
    multiple=True,
    default=("read=1",),
    show_default=True,
    metavar="NAME=SHARE[,KIND]",
    help="read, write or marked; again for each lane",
)
@click.option(
    "--lines",
    default=64,
    show_default=True,
    type=click.IntRange(1, 20_000),
    help="connections at most",
)
@click.option("--patience", default=2.0, show_default=True, help="seconds that a client waits")
@click.option("--goal-ms", default=50.0, show_default=True, help="of the quantile")
@click.option("--quantile", default=0.99, show_default=True, type=click.FloatRange(0.5, 0.9999))
@click.option("--not-done", default=0.01, show_default=True, help="share that may end otherwise")
@click.option(
    "--ramp", is_flag=True, help="climb until the goal fails; tells the highest rate held"
)
@click.option("--seed", default=1, show_default=True)
@click.option("--protocol", default="resp2", show_default=True, type=click.Choice(["resp2"]))
@click.pass_context
@libraries_from(LOAD)
def load(
    context: click.Context,
    /,
    *,
    place: str,
    lanes: tuple[str, ...],
    lines: int,
    ramp: bool,
    **options: Any,
) -> None:
    """Sends at its own times whatever the answers do. Latencies count from when a request was due."""  # noqa: E501  the help's own words
    from ..load_generator import run, schedule  # noqa: PLC0415  needs libraries of its own

    host, _, port = place.rpartition(":")
    try:
        request_classes = [schedule.parse_request_class(one) for one in lanes]
        if not port.isdigit():
            raise schedule.ScheduleError(f"{place}: HOST:PORT")
    except schedule.ScheduleError as error:
        raise click.UsageError(str(error)) from None
    climbing = schedule.Ramp(options["rate"]) if ramp else None
    results = run.run_load(
        host,
        int(port),
        {
            "seed": options["seed"],
            "rate": options["rate"],
            "seconds": options["seconds"],
            "lanes": request_classes,
            "keys": DIFFERENT_KEYS,
        },
        schedule.Goal(
            options["quantile"],
            int(options["goal_ms"] * TICKS_PER_MILLISECOND),
            options["not_done"],
        ),
        lambda line: click.echo(line, err=True),
        lines,
        int(options["patience"] * TICKS_PER_SECOND),
        options["protocol"],
        climbing,
    )
    last = results[-1]
    found: dict[str, Any] = {"verdict": last.verdict, "why": last.reason}
    found.update(last.statistics.to_report(options["seconds"]))
    if climbing:
        found.update(held_per_s=round(climbing.highest_held_rate, 1), held_until=climbing.reason)
    click.echo(json_line(found))
    context.exit(0 if climbing or last.verdict == schedule.HELD else 1)

"""The `load` command, an open-loop load generator for a sidecar."""

from typing import Any, Final

import click

from ..interface.clock import TICKS_PER_SECOND
from ..service.required_libraries import LOAD, libraries_from
from .output import json_line

TICKS_PER_MILLISECOND: Final = 10
KEY_COUNT: Final = 10_000
"""The number of different keys: enough that requests in flight rarely share one."""


@click.command("load")
@click.option(
    "--at",
    "address",
    default="127.0.0.1:6379",
    metavar="ADDRESS",
    show_default=True,
    help="address of the sidecar",
)
@click.option(
    "--rate",
    default=100.0,
    show_default=True,
    type=click.FloatRange(0.01),
    help="requests per second; the initial rate of a ramp",
)
@click.option(
    "--seconds",
    default=10,
    show_default=True,
    type=click.IntRange(1, 3600),
    help="duration of a measurement",
)
@click.option(
    "--lane",
    "lanes",
    multiple=True,
    default=("read=1",),
    show_default=True,
    metavar="NAME=SHARE[,KIND]",
    help="KIND: read, write or marked; may be repeated",
)
@click.option(
    "--lines",
    default=64,
    show_default=True,
    type=click.IntRange(1, 20_000),
    help="maximum number of connections",
)
@click.option("--patience", default=2.0, show_default=True, help="client timeout, in seconds")
@click.option(
    "--goal-ms", default=50.0, show_default=True, help="latency objective at the quantile"
)
@click.option("--quantile", default=0.99, show_default=True, type=click.FloatRange(0.5, 0.9999))
@click.option(
    "--not-done", default=0.01, show_default=True, help="maximum share of unsuccessful requests"
)
@click.option(
    "--ramp",
    is_flag=True,
    help="raise the rate until the objective fails; print the highest rate that met it",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--protocol", default="resp2", show_default=True, type=click.Choice(["resp2"]))
@click.pass_context
@libraries_from(LOAD)
def load(
    context: click.Context,
    /,
    *,
    address: str,
    lanes: tuple[str, ...],
    lines: int,
    ramp: bool,
    **options: Any,
) -> None:
    """Send requests on a schedule that does not depend on the responses (open loop).

    Latencies are measured from the time at which a request was scheduled.
    """
    from ..load_generator import run, schedule  # noqa: PLC0415  requires extra libraries

    host, _, port = address.rpartition(":")
    try:
        request_classes = [schedule.parse_request_class(lane) for lane in lanes]
        if not port.isdigit():
            raise schedule.ScheduleError(f"--at {address}: must be HOST:PORT")
    except schedule.ScheduleError as error:
        raise click.UsageError(str(error)) from None
    ramp_state = schedule.Ramp(options["rate"]) if ramp else None
    results = run.run_load(
        host,
        int(port),
        {
            "seed": options["seed"],
            "rate": options["rate"],
            "seconds": options["seconds"],
            "lanes": request_classes,
            "keys": KEY_COUNT,
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
        ramp_state,
    )
    last_result = results[-1]
    figures: dict[str, Any] = {"verdict": last_result.verdict, "why": last_result.reason}
    figures.update(last_result.statistics.to_report(options["seconds"]))
    if ramp_state:
        figures.update(
            held_per_s=round(ramp_state.highest_held_rate, 1), held_until=ramp_state.reason
        )
    click.echo(json_line(figures))
    context.exit(0 if ramp_state or last_result.verdict == schedule.HELD else 1)

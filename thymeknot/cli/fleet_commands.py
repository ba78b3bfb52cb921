"""The `fleet` commands, which coordinate drains across the fleet."""

import getpass
from typing import Any, Optional

import click

from ..service.required_libraries import COORDINATION, libraries_from
from .output import json_line


@click.group("fleet")
@click.option("--json", "as_json", is_flag=True, help="print the reply as one line of JSON")
@click.option(
    "--within",
    default=10.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    help="maximum time to wait, in seconds",
)
@click.pass_context
def fleet(context: click.Context, as_json: bool, within: float) -> None:
    """Coordinate drains across the fleet.

    The operator file has the keepers' addresses and the identity of the caller.
    """
    context.obj = context.find_root().obj, as_json, within


@libraries_from(COORDINATION)
def _run_command(context: click.Context, is_read: bool = False, **command: Any) -> None:
    """Runs a command; exits with 0: done, 1: refused, 2: invalid input, 3: no keeper responds."""
    from . import coordination_commands  # noqa: PLC0415  requires extra libraries

    path, as_json, within = context.obj
    try:
        code, reply = coordination_commands.send_command(
            path,
            {name: value for name, value in command.items() if value is not None},
            is_read,
            within,
        )
    except coordination_commands.CoordinationCommandError as error:
        raise click.UsageError(str(error)) from None
    for line in [json_line(reply)] if as_json else coordination_commands.reply_lines(reply):
        click.echo(line, err=code != 0 and not as_json)
    context.exit(code)


@fleet.command("status")
@click.option("--unit", help="only this unit")
@click.pass_context
def fleet_status(context: click.Context, unit: Optional[str]) -> None:
    """Print which units are out, the disruption budgets and the halts."""
    _run_command(context, True, do="status", unit=unit)


@fleet.command("drain")
@click.argument("unit")
@click.option("--urgency", default=0, show_default=True, type=click.IntRange(0, 9))
@click.option(
    "--wait/--now",
    default=True,
    show_default=True,
    help="whether to queue or to be refused if the budgets are exhausted",
)
@click.option(
    "--epoch",
    default=1,
    show_default=True,
    type=click.IntRange(0),
    help="epoch of the request; an older one is refused",
)
@click.pass_context
def fleet_drain(context: click.Context, unit: str, urgency: int, wait: bool, epoch: int) -> None:
    """Request a drain of a unit, which starts when its budgets allow it."""
    _run_command(
        context, do="ask", unit=unit, plan=f"drain:{unit}", epoch=epoch, urgency=urgency, queue=wait
    )


@fleet.command("back")
@click.argument("unit")
@click.pass_context
def fleet_back(context: click.Context, unit: str) -> None:
    """Return a unit to service, or withdraw its drain request."""
    _run_command(context, do="back", unit=unit)


@fleet.command("halt")
@click.argument("why")
@click.option("--zone", help="only in this zone; default: everywhere")
@click.pass_context
def fleet_halt(context: click.Context, why: str, zone: Optional[str]) -> None:
    """Halt further drains, for the given reason."""
    _run_command(
        context, do="halt", by=getpass.getuser(), why=why, where={"zone": zone} if zone else {}
    )


@fleet.command("resume")
@click.argument("halt", type=int)
@click.pass_context
def fleet_resume(context: click.Context, halt: int) -> None:
    """End the halt with this number."""
    _run_command(context, do="resume", halt=halt)

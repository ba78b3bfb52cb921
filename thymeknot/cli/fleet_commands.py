"""The `fleet` commands: who may go out, agreed by all."""

import getpass
from typing import Any, Optional

import click

from ..service.required_libraries import COORDINATION, libraries_from
from .output import json_line


@click.group("fleet")
@click.option("--json", "as_json", is_flag=True, help="the reply as one line of JSON")
@click.option(
    "--within",
    default=10.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    help="seconds to wait",
)
@click.pass_context
def fleet(context: click.Context, as_json: bool, within: float) -> None:
    """Who may go out, agreed by all. The operator's file says where the keepers are and who asks."""  # noqa: E501  the help's own words
    context.obj = context.find_root().obj, as_json, within


@libraries_from(COORDINATION)
def _run_command(context: click.Context, is_read: bool = False, **command: Any) -> None:
    """Exit codes: 0 done, 1 refused, 2 faulty words or files, 3 no keeper answers."""
    from . import coordination_commands  # noqa: PLC0415  needs libraries of its own

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
@click.option("--unit", help="of one alone")
@click.pass_context
def fleet_status(context: click.Context, unit: Optional[str]) -> None:
    """Who is out, by which budget, and what is halted."""
    _run_command(context, True, do="status", unit=unit)


@fleet.command("drain")
@click.argument("unit")
@click.option("--urgency", default=0, show_default=True, type=click.IntRange(0, 9))
@click.option(
    "--wait/--now", default=True, show_default=True, help="whether to queue where nothing fits"
)
@click.option(
    "--epoch", default=1, show_default=True, type=click.IntRange(0), help="an older one is refused"
)
@click.pass_context
def fleet_drain(context: click.Context, unit: str, urgency: int, wait: bool, epoch: int) -> None:
    """Asks that a unit goes out; it does when its budgets have room."""
    _run_command(
        context, do="ask", unit=unit, plan=f"drain:{unit}", epoch=epoch, urgency=urgency, queue=wait
    )


@fleet.command("back")
@click.argument("unit")
@click.pass_context
def fleet_back(context: click.Context, unit: str) -> None:
    """Brings a unit back, or takes back that it was asked to go."""
    _run_command(context, do="back", unit=unit)


@fleet.command("halt")
@click.argument("why")
@click.option("--zone", help="there alone; else everywhere")
@click.pass_context
def fleet_halt(context: click.Context, why: str, zone: Optional[str]) -> None:
    """Lets nothing more go out, for a reason given in words."""
    _run_command(
        context, do="halt", by=getpass.getuser(), why=why, where={"zone": zone} if zone else {}
    )


@fleet.command("resume")
@click.argument("halt", type=int)
@click.pass_context
def fleet_resume(context: click.Context, halt: int) -> None:
    """Ends the halt of this number."""
    _run_command(context, do="resume", halt=halt)

"""The `why` commands: what the decision log knows of transactions."""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, Optional

import click

from ..service.required_libraries import COMMANDS, libraries_from
from .decision_log_client import UnreachableError, query_results
from .output import show

SECONDS_BY_UNIT: Final = {"s": 1, "m": 60, "h": 3600, "d": 86400}

Command = Callable[..., Any]
"""What click makes a command of."""


class Source(NamedTuple):
    """What is asked, and how its answer is printed."""

    place: str
    """Address of an instance."""
    path: Optional[str]
    """A left-over record, asked in place of the instance."""
    plain: bool
    """Whether lines of JSON are printed."""


class IdOrCommand(click.Group):
    """`why ID` beside `why find ...`: what is no command is an id."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[Optional[str], Optional[click.Command], list[str]]:
        """Takes a first word that is no command for an id."""
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            return "id", self.commands["id"], args
        return super().resolve_command(ctx, args)


@click.group("why", cls=IdOrCommand)
@click.option(
    "--at",
    "place",
    default="127.0.0.1:6390",
    metavar="ADDRESS",
    envvar="THYMEKNOT_WHY",
    show_default=True,
    help="where an instance answers: host:port or unix:PATH",
)
@click.option(
    "--file",
    "path",
    type=click.Path(exists=True, dir_okay=False),
    help="a record that was left over, instead",
)
@click.option("--json", "plain", is_flag=True, help="lines of JSON")
@click.pass_context
def why(context: click.Context, place: str, path: Optional[str], plain: bool) -> None:
    """Why a transaction (by ID or key) went where it went; what else is known of the latest ones."""  # noqa: E501  the help's own words
    context.obj = Source(place, path, plain)


@libraries_from(COMMANDS)
def _ask(context: click.Context, query: dict[str, Any]) -> None:
    """Prints what answers, and ends with the code that tells whether anything did."""
    place, path, plain = context.obj
    found = 0
    try:
        for line in query_results(place, path, query):
            if "error" in line:
                raise click.UsageError(line["error"])
            if "end" in line and "id" not in line:
                if line.get("more"):
                    click.echo("there are more", err=True)
                break
            found += 1
            show(line, plain)
    except UnreachableError as error:
        click.echo(f"why: {error}", err=True)
        context.exit(3)
    context.exit(0 if found else 1)


@why.command("id", hidden=True)
@click.argument("name")
@click.pass_context
def by_id(context: click.Context, name: str) -> None:
    """One transaction, or all with this key."""
    _ask(context, {"ask": "why", "id": name})


def _seconds(
    context: click.Context, option: click.Parameter, value: Optional[str]
) -> Optional[float]:
    if value is None:
        return None
    unit = SECONDS_BY_UNIT.get(value[-1:])
    try:
        return float(value[:-1] if unit else value) * (unit or 1)
    except ValueError:
        raise click.BadParameter("a time such as 90s, 15m or 2h") from None


def _filters(command: Command) -> Command:
    for name, text in (
        ("reason", "a reason's name"),
        ("pod", "sent to this pod"),
        ("tenant", "of this tenant"),
        ("lane", "of this lane"),
    ):
        command = click.option(f"--{name}", help=text)(command)
    return command


@why.command()
@_filters
@click.option("--since", callback=_seconds, help="not longer ago than 90s, 15m, 2h")
@click.option("--limit", type=click.IntRange(1, 10_000), default=50, show_default=True)
@click.pass_context
def find(context: click.Context, /, **fields: Any) -> None:
    """The latest that fit all that is told."""
    _ask(
        context,
        {"ask": "find", **{name: value for name, value in fields.items() if value is not None}},
    )


@why.command()
@click.pass_context
def tally(context: click.Context) -> None:
    """Sums over all that ever was: ends, reasons, times, who is turned away most."""
    _ask(context, {"ask": "tally"})


@why.command()
@click.pass_context
def kept(context: click.Context) -> None:
    """What is kept, and for how long at the present rates."""
    _ask(context, {"ask": "kept"})


@why.command()
@_filters
@click.pass_context
def watch(context: click.Context, /, **fields: Any) -> None:
    """Entries as they are made, until interrupted."""
    _ask(
        context,
        {"ask": "watch", **{name: value for name, value in fields.items() if value is not None}},
    )

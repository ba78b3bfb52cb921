"""The `why` commands, which query the decision log."""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, Optional

import click

from ..service.required_libraries import COMMANDS, libraries_from
from .decision_log_client import UnreachableError, query_results
from .output import print_object

SECONDS_BY_UNIT: Final = {"s": 1, "m": 60, "h": 3600, "d": 86400}

CommandFunction = Callable[..., Any]
"""A function that click makes a command of."""


class QueryTarget(NamedTuple):
    """What is queried, and how the answer is printed."""

    address: str
    """The address of an instance."""
    path: Optional[str]
    """A log file to query instead of the instance."""
    as_json: bool
    """Whether to print JSON lines."""


class IdOrCommandGroup(click.Group):
    """Accepts `why ID` as well as `why find ...`: an unknown command is an id."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[Optional[str], Optional[click.Command], list[str]]:
        """Treats a first argument that is not a command as an id."""
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            return "id", self.commands["id"], args
        return super().resolve_command(ctx, args)


@click.group("why", cls=IdOrCommandGroup)
@click.option(
    "--at",
    "address",
    default="127.0.0.1:6390",
    metavar="ADDRESS",
    envvar="THYMEKNOT_WHY",
    show_default=True,
    help="address of an instance: host:port or unix:PATH",
)
@click.option(
    "--file",
    "path",
    type=click.Path(exists=True, dir_okay=False),
    help="query this log file instead of an instance",
)
@click.option("--json", "as_json", is_flag=True, help="print JSON lines")
@click.pass_context
def why(context: click.Context, address: str, path: Optional[str], as_json: bool) -> None:
    """Explain how a request (by ID or key) was handled, or query the latest requests."""
    context.obj = QueryTarget(address, path, as_json)


@libraries_from(COMMANDS)
def _run_query(context: click.Context, query: dict[str, Any]) -> None:
    """Prints the answer; exits with 0 if it has entries, 1 if not, 3 if there is no answer."""
    address, path, as_json = context.obj
    result_count = 0
    try:
        for line in query_results(address, path, query):
            if "error" in line:
                raise click.UsageError(line["error"])
            if "end" in line and "id" not in line:
                if line.get("more"):
                    click.echo("there are more entries", err=True)
                break
            result_count += 1
            print_object(line, as_json)
    except UnreachableError as error:
        click.echo(f"why: {error}", err=True)
        context.exit(3)
    context.exit(0 if result_count else 1)


@why.command("id", hidden=True)
@click.argument("name")
@click.pass_context
def by_id(context: click.Context, name: str) -> None:
    """Explain one request, or all requests with this key."""
    _run_query(context, {"ask": "why", "id": name})


def _parse_duration(
    context: click.Context, option: click.Parameter, value: Optional[str]
) -> Optional[float]:
    if value is None:
        return None
    unit = SECONDS_BY_UNIT.get(value[-1:])
    try:
        return float(value[:-1] if unit else value) * (unit or 1)
    except ValueError:
        raise click.BadParameter("must be a duration such as 90s, 15m or 2h") from None


def _filter_options(command: CommandFunction) -> CommandFunction:
    for name, help_text in (
        ("reason", "only entries with this reason"),
        ("pod", "only entries that were sent to this pod"),
        ("tenant", "only entries of this tenant"),
        ("lane", "only entries of this lane"),
    ):
        command = click.option(f"--{name}", help=help_text)(command)
    return command


@why.command()
@_filter_options
@click.option(
    "--since", callback=_parse_duration, help="only entries of the last 90s, 15m, 2h, ..."
)
@click.option("--limit", type=click.IntRange(1, 10_000), default=50, show_default=True)
@click.pass_context
def find(context: click.Context, /, **fields: Any) -> None:
    """Print the latest entries that match all options."""
    _run_query(
        context,
        {"ask": "find", **{name: value for name, value in fields.items() if value is not None}},
    )


@why.command()
@click.pass_context
def tally(context: click.Context) -> None:
    """Print counts since the start: responses, reasons, durations and who is rejected most."""
    _run_query(context, {"ask": "tally"})


@why.command()
@click.pass_context
def kept(context: click.Context) -> None:
    """Print how much is stored and for how long at the current rates."""
    _run_query(context, {"ask": "kept"})


@why.command()
@_filter_options
@click.pass_context
def watch(context: click.Context, /, **fields: Any) -> None:
    """Print new entries until interrupted."""
    _run_query(
        context,
        {"ask": "watch", **{name: value for name, value in fields.items() if value is not None}},
    )

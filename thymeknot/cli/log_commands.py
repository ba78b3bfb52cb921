"""The `logs` command: what the logs of a fleet say together."""

from collections.abc import Sequence
from typing import BinaryIO

import click

from .log_summary import Summary
from .output import print_object


@click.command("logs")
@click.argument("files", nargs=-1, required=True, type=click.File("rb"))
@click.option(
    "--every",
    default=5.0,
    show_default=True,
    type=click.FloatRange(0.1),
    help="seconds of a stretch",
)
@click.option("--json", "as_json", is_flag=True, help="lines of JSON")
def logs(files: Sequence[BinaryIO], every: float, as_json: bool) -> None:
    """What the logs of a fleet say together: a FILE for each sidecar."""
    summary = Summary(every)
    for file in files:
        for line in file:
            summary.feed(file.name, line)
    for begin, counts in summary.intervals():
        print_object({"at": begin, **counts}, as_json)
    print_object(summary.figures(), as_json)

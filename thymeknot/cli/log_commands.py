"""The `logs` command, which summarizes the logs of a fleet."""

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
    help="length of an interval, in seconds",
)
@click.option("--json", "as_json", is_flag=True, help="print JSON lines")
def logs(files: Sequence[BinaryIO], every: float, as_json: bool) -> None:
    """Summarize the logs of a fleet, with a FILE for each sidecar."""
    summary = Summary(every)
    for file in files:
        for line in file:
            summary.feed(file.name, line)
    for begin, counts in summary.intervals():
        print_object({"at": begin, **counts}, as_json)
    print_object(summary.figures(), as_json)

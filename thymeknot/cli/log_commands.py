"""The `logs` command: what the logs of a fleet say together."""

from collections.abc import Sequence
from typing import BinaryIO

import click

from .log_summary import Summary
from .output import show


@click.command("logs")
@click.argument("files", nargs=-1, required=True, type=click.File("rb"))
@click.option(
    "--every",
    default=5.0,
    show_default=True,
    type=click.FloatRange(0.1),
    help="seconds of a stretch",
)
@click.option("--json", "plain", is_flag=True, help="lines of JSON")
def logs(files: Sequence[BinaryIO], every: float, plain: bool) -> None:
    """What the logs of a fleet say together: a FILE for each sidecar."""
    summary = Summary(every)
    for source in files:
        for line in source:
            summary.feed(source.name, line)
    for begin, counts in summary.stretches():
        show({"at": begin, **counts}, plain)
    show(summary.figures(), plain)

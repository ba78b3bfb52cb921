"""The root of the command line, and the commands `serve` and `check`.

Exit codes: 0: success, 1: nothing found, 2: invalid arguments or files, 3: no response.
"""

import os
from typing import Optional

import click

from ..service.features import OPERATOR_FILE_VARIABLE
from .decision_log_commands import why
from .fleet_commands import fleet
from .key_commands import keys
from .laboratory_commands import lab
from .load_commands import load
from .log_commands import logs


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--operator",
    metavar="FILE",
    envvar=OPERATOR_FILE_VARIABLE,
    help="operator file with the settings of optional features",
)
@click.pass_context
def thymeknot(context: click.Context, operator: Optional[str]) -> None:
    """Shift traffic between builds of a service during a release. The default command is serve."""
    context.obj = operator
    if context.invoked_subcommand is None:
        context.invoke(serve)


@thymeknot.command()
@click.pass_context
def serve(context: click.Context) -> None:
    """Run the sidecar with the configuration file named by NODE_CONFIG."""
    from ..service import lifecycle  # noqa: PLC0415  imports the sidecar

    context.exit(lifecycle.serve(os.environ, context.find_root().obj))


@thymeknot.command()
@click.pass_context
def check(context: click.Context) -> None:
    """Check the configuration and the operator file, and print all errors."""
    from ..service import configuration, features  # noqa: PLC0415  imports the sidecar

    errors = []
    for load_file in (
        lambda: configuration.load(os.environ, 0),
        lambda: features.Features(context.find_root().obj),
    ):
        try:
            load_file()
        except (configuration.ConfigurationError, features.FeatureError) as error:
            errors.append(str(error))
    for error_text in errors:
        click.echo(error_text, err=True)
    if not errors:
        click.echo("both files are valid")
    context.exit(2 if errors else 0)


for command in (why, keys, fleet, logs, load, lab):
    thymeknot.add_command(command)

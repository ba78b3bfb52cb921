"""The `keys` commands: keys of gossip's ring."""

import click

from ..service.required_libraries import GOSSIP, libraries_from


@click.group("keys")
def keys() -> None:
    """Keys of gossip's ring."""


@keys.command("new")
@click.argument("name")
@click.argument("file", type=click.Path())
@click.pass_context
@libraries_from(GOSSIP)
def keys_new(context: click.Context, name: str, file: str) -> None:
    """Makes a key and prints its record for the ring."""
    from ..gossip import keys as ring  # noqa: PLC0415  needs libraries of its own

    context.exit(ring.main(["new", name, file]))


@keys.command("show")
@click.argument("name")
@click.argument("file", type=click.Path(exists=True))
@click.pass_context
@libraries_from(GOSSIP)
def keys_show(context: click.Context, name: str, file: str) -> None:
    """Prints the record of a key there is."""
    from ..gossip import keys as ring  # noqa: PLC0415  needs libraries of its own

    context.exit(ring.main(["show", name, file]))

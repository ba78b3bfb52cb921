"""The `keys` commands, which manage the keys of the gossip keyring."""

import click

from ..service.required_libraries import GOSSIP, libraries_from


@click.group("keys")
def keys() -> None:
    """Manage keys of the gossip keyring."""


@keys.command("new")
@click.argument("name")
@click.argument("file", type=click.Path())
@click.pass_context
@libraries_from(GOSSIP)
def keys_new(context: click.Context, name: str, file: str) -> None:
    """Create a key and print its keyring entry."""
    from ..gossip import keys as gossip_keys  # noqa: PLC0415  requires extra libraries

    context.exit(gossip_keys.main(["new", name, file]))


@keys.command("show")
@click.argument("name")
@click.argument("file", type=click.Path(exists=True))
@click.pass_context
@libraries_from(GOSSIP)
def keys_show(context: click.Context, name: str, file: str) -> None:
    """Print the keyring entry of an existing key."""
    from ..gossip import keys as gossip_keys  # noqa: PLC0415  requires extra libraries

    context.exit(gossip_keys.main(["show", name, file]))

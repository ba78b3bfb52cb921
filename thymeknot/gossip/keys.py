"""Command that creates an instance's key: python -m thymeknot.gossip.keys new NAME FILE."""

import argparse
import os
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..service.required_libraries import GOSSIP, MissingLibraryError, libraries_from

if TYPE_CHECKING:
    from .keyring import Identity

DESCRIPTION = (
    "Creates an instance's key: python -m thymeknot.gossip.keys new NAME FILE prints the entry for "
    "the keyrings of its peers."
)
EXIT_UNUSABLE = 2  # the file is unusable or has no key, or a library is missing


def peer_record(identity: "Identity") -> str:
    """Returns the entry of an identity for the `peers` of an operator file."""
    return f'{{name: "{identity.name}", keys: [{{key: "{identity.public_key_text()}"}}]}}'


def create_key_file(name: str, path: str) -> "Identity":
    """Creates a key in a new file that only its owner can read.

    Raises:
        OSError: The file exists or can't be written.
    """
    from cryptography.hazmat.primitives import serialization  # noqa: PLC0415  see `program`
    from cryptography.hazmat.primitives.asymmetric.ed25519 import (  # noqa: PLC0415
        Ed25519PrivateKey,
    )

    from .keyring import Identity  # noqa: PLC0415

    private = Ed25519PrivateKey.generate()
    content = private.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as target:
        target.write(content)
    return Identity(name, private)


def _parse(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m thymeknot.gossip.keys", description=DESCRIPTION
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, help_text in (
        ("new", "create a key; the file must not exist"),
        ("show", "print the entry of an existing key"),
    ):
        command = commands.add_parser(name, help=help_text)
        command.add_argument("name", help="the instance's name in the keyrings")
        command.add_argument("file", help="the file of the private key, in PEM format")
    return parser.parse_args(arguments)


def main(arguments: Sequence[str]) -> int:
    """Runs the command and returns its exit status."""
    chosen = _parse(arguments)
    from .keyring import KeyringError, read_identity  # noqa: PLC0415  see `program`

    try:
        if chosen.command == "new":
            identity = create_key_file(chosen.name, chosen.file)
        else:
            with open(chosen.file, "rb") as source:
                identity = read_identity(chosen.name, source.read())
    except (OSError, KeyringError) as error:
        print(f"keys: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    print(peer_record(identity))
    return 0


def program(arguments: Sequence[str]) -> int:
    """Runs the command as a stand-alone program and returns its exit status.

    Third-party libraries are imported inside functions, so that this function can report a missing
    one.
    """
    try:
        with libraries_from(GOSSIP):
            return main(arguments)
    except MissingLibraryError as error:
        print(f"keys: {error}", file=sys.stderr)
        return EXIT_UNUSABLE


if __name__ == "__main__":
    sys.exit(program(sys.argv[1:]))

"""Makes an instance's key: python -m thymeknot.gossip.keys new NAME FILE prints the record for the peers' rings."""

import argparse
import os
import sys

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from .keyring import Identity, KeyringError, read_identity


def record(identity):
    return f'{{name: "{identity.name}", keys: [{{key: "{identity.text()}"}}]}}'


def new(name, path):
    """A new key in a new file that only its owner reads."""
    private = Ed25519PrivateKey.generate()
    content = private.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as target:
        target.write(content)
    return Identity(name, private)


def main(arguments):
    parser = argparse.ArgumentParser(prog="python -m thymeknot.gossip.keys", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name, told in (
        ("new", "makes a key; the file must not exist"),
        ("show", "the record of a key there is"),
    ):
        command = commands.add_parser(name, help=told)
        command.add_argument("name", help="the instance's name in the ring")
        command.add_argument("file", help="the private key, PEM")
    chosen = parser.parse_args(arguments)
    try:
        if chosen.command == "new":
            identity = new(chosen.name, chosen.file)
        else:
            with open(chosen.file, "rb") as source:
                identity = read_identity(chosen.name, source.read())
    except (OSError, KeyringError) as error:
        print(f"keys: {error}", file=sys.stderr)
        return 2
    print(record(identity))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

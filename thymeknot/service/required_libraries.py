"""The requirements file that a command needs, and the error that names it."""

from collections.abc import Iterator
from contextlib import contextmanager

COMMANDS = "requirements-why.txt"
"""Needed by every command: click."""
COORDINATION = "requirements-fleet.txt"
GOSSIP = "requirements-gossip.txt"
LABORATORY = "requirements-laboratory.txt"
LOAD = "requirements-load.txt"


class MissingLibraryError(ImportError):
    """A library that a command needs is not installed."""


@contextmanager
def libraries_from(requirements: str) -> Iterator[None]:
    """Turns a failed import of a library into an error that says what to install.

    Usable as context manager and as decorator. If a module of the program itself is missing, that
    is a bug, and its error is raised unchanged.

    Args:
        requirements: The file that lists what the command needs.

    Raises:
        MissingLibraryError: A library could not be imported.
    """
    try:
        yield
    except MissingLibraryError:
        raise
    except ImportError as error:
        library = (error.name or "thymeknot").partition(".")[0]
        if library == "thymeknot":
            raise
        raise MissingLibraryError(
            f"{library} is not installed: pip install -r {requirements}", name=library
        ) from error

"""Errors found in an operator file."""

from collections.abc import Iterable
from typing import NamedTuple, Optional, TypeAlias

KeyPath: TypeAlias = tuple[str | int, ...]
"""Path of keys and list indices to a value."""


class Location(NamedTuple):
    """Location of a value in a file.

    Attributes:
        file: Name of the file in messages, or None if it is not known yet.
        line: Line number, from 1, or 0 if there is none.
    """

    file: Optional[str]
    line: int


UNKNOWN_LOCATION = Location(None, 0)
"""The location of a value that is in no file."""


class Diagnostic(NamedTuple):
    """One error in a file, with its location.

    Attributes:
        file: Name of the file, or None if it is not known yet.
        line: Line number, from 1, or 0 if there is none.
        path: Path of keys to the value.
        message: Text of the error, without the location.
    """

    file: Optional[str]
    line: int
    path: KeyPath
    message: str

    def __str__(self) -> str:
        key = "".join(
            f"[{part}]" if isinstance(part, int) else f".{part}" for part in self.path
        ).lstrip(".")
        return f"{self.file}:{self.line}: " + (f"{key}: " if key else "") + self.message


class OperatorConfigError(ValueError):
    """An invalid operator or schema file.

    Attributes:
        diagnostics: All errors found in it.
    """

    def __init__(self, diagnostics: Iterable[Diagnostic]) -> None:
        self.diagnostics = list(diagnostics)
        super().__init__("; ".join(str(diagnostic) for diagnostic in self.diagnostics))

"""The faults of an operator file."""

from collections.abc import Iterable
from typing import NamedTuple, Optional, TypeAlias

KeyPath: TypeAlias = tuple[str | int, ...]
"""The keys and list indices that lead to a value."""


class Location(NamedTuple):
    """Where a value is written.

    Attributes:
        file: The file's name as messages give it, or None where it is not known yet.
        line: The line, counted from 1, or 0 where there is none.
    """

    file: Optional[str]
    line: int


NOWHERE = Location(None, 0)
"""The location of what no file holds."""


class Diagnostic(NamedTuple):
    """One fault.

    Attributes:
        file: The file's name, or None where it is not known yet.
        line: The line, counted from 1, or 0 where there is none.
        path: The keys that lead to the value.
        text: What is wrong.
    """

    file: Optional[str]
    line: int
    path: KeyPath
    text: str

    def __str__(self) -> str:
        key = "".join(
            f"[{part}]" if isinstance(part, int) else f".{part}" for part in self.path
        ).lstrip(".")
        return f"{self.file}:{self.line}: " + (f"{key}: " if key else "") + self.text


class OperatorConfigError(ValueError):
    """A file that can't be used.

    Attributes:
        diagnostics: All that is wrong with it.
    """

    def __init__(self, diagnostics: Iterable[Diagnostic]) -> None:
        self.diagnostics = list(diagnostics)
        super().__init__("; ".join(str(diagnostic) for diagnostic in self.diagnostics))

"""The values and constraints that an operator file and its schema are made of.

Source: the published CUE language specification.
"""

import enum
import re
from math import isfinite
from typing import NamedTuple, Optional, TypeAlias, Union

from .errors import UNKNOWN_LOCATION, Location

PlainScalar: TypeAlias = Union[str, int, float, bool, None]
"""The Python value of a scalar."""


class Kind(enum.StrEnum):
    """The kinds of scalars, as files and messages name them."""

    INT = "int"
    NUMBER = "number"
    STRING = "string"
    BOOL = "bool"
    DURATION = "duration"
    NULL = "null"


class Top(NamedTuple):
    """Any value at all: `_` in a file."""

    location: Location = UNKNOWN_LOCATION

    def __str__(self) -> str:
        return "_"


class Scalar(NamedTuple):
    """A concrete value.

    Attributes:
        kind: Its kind.
        value: Its Python value; of a duration, tenths of a millisecond.
        location: Where it is written.
    """

    kind: Kind
    value: PlainScalar
    location: Location

    def __str__(self) -> str:
        if self.kind == Kind.STRING:
            return f'"{self.value}"'
        if self.kind == Kind.DURATION and isinstance(self.value, int):
            return f'"{self.value / 10:g}ms"'
        return str(self.value).lower() if self.kind in (Kind.BOOL, Kind.NULL) else str(self.value)


class Bound(NamedTuple):
    """What a scalar is compared with.

    Attributes:
        operator: One of the operators of the grammar, such as ">=" or "=~".
        limit: The right side of the comparison; a regular expression for "=~".
    """

    operator: str
    limit: Union[str, int, float]

    def __str__(self) -> str:
        limit = f'"{self.limit}"' if isinstance(self.limit, str) else str(self.limit)
        return self.operator + limit


class Constraint(NamedTuple):
    """What a scalar must satisfy.

    Attributes:
        kind: The kind that it must have, or None.
        bounds: All of which it must keep.
        location: Where the constraint is written.
    """

    kind: Optional[Kind]
    bounds: tuple[Bound, ...]
    location: Location

    def __str__(self) -> str:
        kinds = [str(self.kind)] if self.kind else []
        return " & ".join(kinds + [str(bound) for bound in self.bounds])


class Disjunct(NamedTuple):
    """One alternative of a disjunction.

    Attributes:
        value: The alternative.
        is_default: Whether it is marked as the default.
    """

    value: "Value"
    is_default: bool


class Disjunction(NamedTuple):
    """Alternatives: `"a" | *"b"` in a file.

    Attributes:
        disjuncts: The alternatives in their order.
        location: Where they are written.
    """

    disjuncts: tuple[Disjunct, ...]
    location: Location

    def __str__(self) -> str:
        return " | ".join(
            "*" * disjunct.is_default + str(disjunct.value) for disjunct in self.disjuncts
        )


class Field(NamedTuple):
    """A field of a struct.

    Attributes:
        value: What it holds, or must satisfy.
        is_optional: Whether it may be left out.
    """

    value: "Value"
    is_optional: bool


class Struct(NamedTuple):
    """Fields by name.

    Attributes:
        fields: The fields in their order.
        is_open: Whether it says by `...` that it takes other fields.
        is_closed: Whether it is a definition's, which takes no other fields unless it is open.
        location: Where it is written.
    """

    fields: dict[str, Field]
    is_open: bool
    is_closed: bool
    location: Location

    def __str__(self) -> str:
        return "{...}"


class ListValue(NamedTuple):
    """A list, or the constraint on one.

    Attributes:
        element: What each element must satisfy.
        elements: The elements, or None where any number of them may come.
        location: Where it is written.
    """

    element: "Value"
    elements: Optional[tuple["Value", ...]]
    location: Location

    def __str__(self) -> str:
        if self.elements is None:
            return f"[...{self.element}]"
        return f"[{len(self.elements)} elements]"


class Reference(NamedTuple):
    """A definition by its name, which is resolved before anything is unified.

    Attributes:
        name: The name, with its `#`.
        location: Where it is referred to.
    """

    name: str
    location: Location

    def __str__(self) -> str:
        return self.name


Value: TypeAlias = Union[Top, Scalar, Constraint, Disjunction, Struct, ListValue, Reference]

TOP = Top()
"""The only Top."""

TICKS_PER_UNIT = {
    "us": 0.01,
    "ms": 10,
    "s": 10_000,
    "m": 600_000,
    "h": 36_000_000,
    "d": 864_000_000,
}
"""Tenths of a millisecond in each unit of a duration."""

DURATION_PART = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h|d)")
"""One number and unit of a duration."""


def parse_duration(text: str) -> Optional[int]:
    """The tenths of a millisecond of a duration such as "1m30s", or None if it is none.

    A fraction is rounded up, so that no duration becomes 0.
    """
    parts = DURATION_PART.findall(text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        return None
    total = sum(float(number) * TICKS_PER_UNIT[unit] for number, unit in parts)
    if not isfinite(total):
        return None
    return int(total) + (total != int(total))

"""The values and constraints of operator files and schemas.

Source: the published CUE language specification.
"""

import enum
import re
from math import isfinite
from typing import NamedTuple, Optional, TypeAlias, Union

from .errors import UNKNOWN_LOCATION, Location

PlainScalar: TypeAlias = Union[str, int, float, bool, None]
"""Python value of a scalar."""


class Kind(enum.StrEnum):
    """Kinds of scalars, by their names in files and messages."""

    INT = "int"
    NUMBER = "number"
    STRING = "string"
    BOOL = "bool"
    DURATION = "duration"
    NULL = "null"


class Top(NamedTuple):
    """The constraint that every value satisfies: `_` in a file."""

    location: Location = UNKNOWN_LOCATION

    def __str__(self) -> str:
        return "_"


class Scalar(NamedTuple):
    """A concrete value.

    Attributes:
        kind: Kind of the value.
        value: Python value; durations are in ticks of 0.1 ms.
        location: Location in the file.
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
    """A comparison that a scalar must satisfy.

    Attributes:
        operator: One of the grammar's operators, such as ">=" or "=~".
        limit: Right operand; a regular expression for "=~".
    """

    operator: str
    limit: Union[str, int, float]

    def __str__(self) -> str:
        limit = f'"{self.limit}"' if isinstance(self.limit, str) else str(self.limit)
        return self.operator + limit


class Constraint(NamedTuple):
    """The kind and the bounds that a scalar must satisfy.

    Attributes:
        kind: Required kind, or None for any.
        bounds: Bounds, all of which must be satisfied.
        location: Location in the file.
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
        value: Value or constraint.
        is_default: Whether it is marked as the default by `*`.
    """

    value: "Value"
    is_default: bool


class Disjunction(NamedTuple):
    """Alternatives: `"a" | *"b"` in a file.

    Attributes:
        disjuncts: Alternatives in the order of the file.
        location: Location in the file.
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
        value: Value or constraint.
        is_optional: Whether the field may be omitted.
    """

    value: "Value"
    is_optional: bool


class Struct(NamedTuple):
    """Fields by name.

    Attributes:
        fields: Fields in the order of the file.
        is_open: Whether `...` allows other fields.
        is_closed: Whether it belongs to a definition, which allows other fields only if it is open.
        location: Location in the file.
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
        element: Constraint on each element.
        elements: The elements, or None if any number of them is allowed.
        location: Location in the file.
    """

    element: "Value"
    elements: Optional[tuple["Value", ...]]
    location: Location

    def __str__(self) -> str:
        if self.elements is None:
            return f"[...{self.element}]"
        return f"[{len(self.elements)} elements]"


class Reference(NamedTuple):
    """A reference to a definition, resolved before the file is unified with its schema.

    Attributes:
        name: Name of the definition, including the `#`.
        location: Location of the reference.
    """

    name: str
    location: Location

    def __str__(self) -> str:
        return self.name


Value: TypeAlias = Union[Top, Scalar, Constraint, Disjunction, Struct, ListValue, Reference]

TOP = Top()
"""The only instance of Top; it is compared by identity."""

TICKS_PER_UNIT = {
    "us": 0.01,
    "ms": 10,
    "s": 10_000,
    "m": 600_000,
    "h": 36_000_000,
    "d": 864_000_000,
}
"""Ticks (0.1 ms) per unit of a duration."""

DURATION_PART = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h|d)")
"""A number with its unit in a duration."""


def parse_duration(text: str) -> Optional[int]:
    """Parses a duration such as "1m30s" into ticks of 0.1 ms; returns None if it is invalid.

    Fractions of a tick are rounded up, so that no positive duration becomes 0.
    """
    parts = DURATION_PART.findall(text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        return None
    total = sum(float(number) * TICKS_PER_UNIT[unit] for number, unit in parts)
    if not isfinite(total):
        return None
    return int(total) + (total != int(total))

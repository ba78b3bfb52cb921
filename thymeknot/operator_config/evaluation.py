"""Resolves references, and converts values to plain Python values."""

from collections.abc import Mapping
from typing import Any

from .errors import UNKNOWN_LOCATION, Diagnostic, KeyPath, Location, OperatorConfigError
from .unification import check_scalar
from .values import (
    Constraint,
    Disjunct,
    Disjunction,
    Field,
    Kind,
    ListValue,
    Reference,
    Scalar,
    Struct,
    Value,
)


def resolve(
    value: Value, definitions: Mapping[str, Value], resolving: tuple[str, ...] = ()
) -> Value:
    """Returns a value with its references replaced by the closed definitions.

    Args:
        value: The value.
        definitions: Definitions by name.
        resolving: Names of the definitions being resolved, outermost first, to detect cycles.

    Raises:
        OperatorConfigError: A referenced definition does not exist or contains itself.
    """
    if isinstance(value, Reference):
        return _resolve_reference(value, definitions, resolving)
    if isinstance(value, Struct):
        fields = {
            name: Field(resolve(field.value, definitions, resolving), field.is_optional)
            for name, field in value.fields.items()
        }
        return value._replace(fields=fields)
    if isinstance(value, ListValue):
        elements = value.elements and tuple(
            resolve(element, definitions, resolving) for element in value.elements
        )
        return ListValue(resolve(value.element, definitions, resolving), elements, value.location)
    if isinstance(value, Disjunction):
        disjuncts = [
            Disjunct(resolve(disjunct.value, definitions, resolving), disjunct.is_default)
            for disjunct in value.disjuncts
        ]
        return Disjunction(_with_durations(disjuncts), value.location)
    return value


def _resolve_reference(
    reference: Reference, definitions: Mapping[str, Value], resolving: tuple[str, ...]
) -> Value:
    name = reference.name
    if name not in definitions or name in resolving:
        message = "refers to itself" if name in resolving else "is not defined"
        raise OperatorConfigError([Diagnostic(*reference.location, (), f"{name} {message}")])
    return _close(resolve(definitions[name], definitions, (*resolving, name)))


def _with_durations(disjuncts: list[Disjunct]) -> tuple[Disjunct, ...]:
    """Returns the disjuncts; next to a duration constraint, strings are converted to durations."""
    if not any(
        isinstance(disjunct.value, Constraint) and disjunct.value.kind == Kind.DURATION
        for disjunct in disjuncts
    ):
        return tuple(disjuncts)
    return tuple(
        Disjunct(_as_duration(disjunct.value), disjunct.is_default)
        if isinstance(disjunct.value, Scalar)
        else disjunct
        for disjunct in disjuncts
    )


def _as_duration(scalar: Scalar) -> Value:
    """Returns the scalar as a duration, or unchanged if it is none: unification reports that."""
    return check_scalar(Constraint(Kind.DURATION, (), scalar.location), scalar, (), [])


def _close(value: Value) -> Value:
    """Closes a struct and the structs in its fields, unless they are open; returns the result."""
    if not isinstance(value, Struct):
        return value
    fields = {
        name: Field(_close(field.value), field.is_optional) for name, field in value.fields.items()
    }
    return value._replace(is_closed=not value.is_open, fields=fields)


def to_plain(
    value: Value,
    path: KeyPath,
    diagnostics: list[Diagnostic],
    location: Location = UNKNOWN_LOCATION,
) -> Any:
    """Converts a value to dicts, lists and scalars; fills in defaults.

    Args:
        value: The value.
        path: Path of keys to it.
        diagnostics: Receives an error for each value that is missing and has no default.
        location: Location of the enclosing struct or list, for these errors.
    """
    if isinstance(value, Scalar):
        return value.value
    if isinstance(value, Struct):
        return {
            name: to_plain(field.value, (*path, name), diagnostics, value.location)
            for name, field in value.fields.items()
            if not field.is_optional or _is_given(field.value)
        }
    if isinstance(value, ListValue) and value.elements is not None:
        return [
            to_plain(element, (*path, index), diagnostics, value.location)
            for index, element in enumerate(value.elements)
        ]
    if isinstance(value, Disjunction):
        defaults = [disjunct.value for disjunct in value.disjuncts if disjunct.is_default]
        if defaults and _is_unambiguous(defaults):
            return to_plain(defaults[0], path, diagnostics, location)
    diagnostics.append(Diagnostic(*location, path, f"is missing; expected {value}"))
    return None


def _is_unambiguous(defaults: list[Value]) -> bool:
    """Returns whether no other default is a scalar that differs from the first default."""
    return all(default == defaults[0] or not isinstance(default, Scalar) for default in defaults)


def _is_given(value: Value) -> bool:
    """Returns whether an optional field holds a value, not only its constraint."""
    if isinstance(value, Struct):
        return any(_is_given(field.value) for field in value.fields.values())
    return isinstance(value, Scalar) or (
        isinstance(value, ListValue) and value.elements is not None
    )

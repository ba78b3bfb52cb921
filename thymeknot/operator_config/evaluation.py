"""Resolves the references in a value, and turns a value into plain Python values."""

from collections.abc import Mapping
from typing import Any

from .errors import NOWHERE, Diagnostic, KeyPath, Location, OperatorConfigError
from .unification import check
from .values import (
    Constraint,
    Disjunction,
    Field,
    Kind,
    ListValue,
    Option,
    Reference,
    Scalar,
    Struct,
    Value,
)


def resolve(value: Value, definitions: Mapping[str, Value], within: tuple[str, ...] = ()) -> Value:
    """A value with its references replaced by what they refer to, closed.

    Args:
        value: The value.
        definitions: The definitions by name.
        within: The definitions that are being resolved, from the outermost.

    Raises:
        OperatorConfigError: A reference is to no definition, or to one that contains itself.
    """
    if isinstance(value, Reference):
        return _resolve_reference(value, definitions, within)
    if isinstance(value, Struct):
        fields = {
            name: Field(resolve(field.value, definitions, within), field.is_optional)
            for name, field in value.fields.items()
        }
        return value._replace(fields=fields)
    if isinstance(value, ListValue):
        elements = value.elements and tuple(
            resolve(element, definitions, within) for element in value.elements
        )
        return ListValue(resolve(value.element, definitions, within), elements, value.location)
    if isinstance(value, Disjunction):
        options = [
            Option(resolve(option.value, definitions, within), option.is_default)
            for option in value.options
        ]
        return Disjunction(_with_durations(options), value.location)
    return value


def _resolve_reference(
    reference: Reference, definitions: Mapping[str, Value], within: tuple[str, ...]
) -> Value:
    name = reference.name
    if name not in definitions or name in within:
        text = "refers to itself" if name in within else "is not defined"
        raise OperatorConfigError([Diagnostic(*reference.location, (), f"{name} {text}")])
    return _close(resolve(definitions[name], definitions, (*within, name)))


def _with_durations(options: list[Option]) -> tuple[Option, ...]:
    """The options, with each scalar beside a duration as one: it is written as a string."""
    if not any(
        isinstance(option.value, Constraint) and option.value.kind == Kind.DURATION
        for option in options
    ):
        return tuple(options)
    return tuple(
        Option(_as_duration(option.value), option.is_default)
        if isinstance(option.value, Scalar)
        else option
        for option in options
    )


def _as_duration(scalar: Scalar) -> Value:
    """The scalar as a duration, or as it is if it is none: what it is used for reports that."""
    return check(Constraint(Kind.DURATION, (), scalar.location), scalar, (), [])


def _close(value: Value) -> Value:
    """A struct that takes no other fields, and all structs in its fields likewise."""
    if not isinstance(value, Struct):
        return value
    fields = {
        name: Field(_close(field.value), field.is_optional) for name, field in value.fields.items()
    }
    return value._replace(is_closed=not value.is_open, fields=fields)


def to_plain(
    value: Value, path: KeyPath, diagnostics: list[Diagnostic], location: Location = NOWHERE
) -> Any:
    """The plain Python value: dicts, lists and scalars; defaults stand for what is left open.

    Args:
        value: The value.
        path: The keys that lead to it.
        diagnostics: Takes what is left open and has no default.
        location: Where the struct or list around it is written, which such a fault names.
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
        defaults = [option.value for option in value.options if option.is_default]
        if defaults and _is_unambiguous(defaults):
            return to_plain(defaults[0], path, diagnostics, location)
    diagnostics.append(Diagnostic(*location, path, f"is missing; asked for: {value}"))
    return None


def _is_unambiguous(defaults: list[Value]) -> bool:
    """Whether no default is a scalar other than the first one."""
    return all(default == defaults[0] or not isinstance(default, Scalar) for default in defaults)


def _is_given(value: Value) -> bool:
    """Whether an optional field holds anything beyond its constraint."""
    if isinstance(value, Struct):
        return any(_is_given(field.value) for field in value.fields.values())
    return isinstance(value, Scalar) or (
        isinstance(value, ListValue) and value.elements is not None
    )

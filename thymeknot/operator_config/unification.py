"""Unifies two values: combines them into one that satisfies both, or reports where they conflict.

Source: the published CUE language specification.
"""

import difflib
import operator
import re
from collections.abc import Callable
from typing import Any, NamedTuple

from .errors import Diagnostic, KeyPath
from .values import (
    TOP,
    Bound,
    Constraint,
    Disjunct,
    Disjunction,
    Field,
    Kind,
    ListValue,
    Scalar,
    Struct,
    Value,
    parse_duration,
)


def _matches(text: str, pattern: str) -> bool:
    return re.search(pattern, text) is not None


COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    ">": operator.gt,
    "<": operator.lt,
    "!=": operator.ne,
    "=~": _matches,
}
"""Comparison of a value with the limit of a bound, by operator."""


def unify(left: Value, right: Value, path: KeyPath, diagnostics: list[Diagnostic]) -> Value:
    """Returns the value that satisfies both values.

    Args:
        left: One value.
        right: The other value. Errors refer to the location of whichever is concrete.
        path: Path of keys to the values.
        diagnostics: Receives the errors. If there are any, the result only serves to find more.
    """
    if left is TOP or right is TOP:
        return right if left is TOP else left
    if isinstance(left, Disjunction):
        return _unify_disjunction(left, right, path, diagnostics)
    if isinstance(right, Disjunction):
        return _unify_disjunction(right, left, path, diagnostics)
    unifier = UNIFIERS.get((type(left), type(right)))
    if unifier is not None:
        return unifier(left, right, path, diagnostics)
    if type(left) is type(right):
        return add_diagnostic(diagnostics, right, path, "references can't be unified")
    return _report_mismatch(left, right, path, diagnostics)


def _report_mismatch(
    left: Value, right: Value, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """Reports values of incompatible types, at the location of the concrete one."""
    right_is_given = _is_concrete(right) or not _is_concrete(left)
    given = right if right_is_given else left
    expected = left if right_is_given else right
    return add_diagnostic(diagnostics, given, path, f"{given} does not match {expected}")


def add_diagnostic(
    diagnostics: list[Diagnostic], value: Value, path: KeyPath, message: str
) -> Value:
    """Adds an error at a value's location, and returns the value."""
    diagnostics.append(Diagnostic(*value.location, path, message))
    return value


def _is_concrete(value: Value) -> bool:
    return isinstance(value, Scalar) or (
        isinstance(value, ListValue) and value.elements is not None
    )


def check_scalar(
    constraint: Constraint, scalar: Scalar, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """Checks a scalar and returns it; a string becomes a duration if the constraint requires one.

    Args:
        constraint: The constraint that the scalar must satisfy.
        scalar: The value; also returned if the check fails.
        path: Path of keys to it.
        diagnostics: Receives the error, if any.
    """
    kind = constraint.kind
    if kind == Kind.DURATION and scalar.kind == Kind.STRING:
        ticks = parse_duration(str(scalar.value))
        if ticks is None:
            message = f'{scalar} is not a duration such as "250ms" or "1m30s"'
            return add_diagnostic(diagnostics, scalar, path, message)
        scalar = Scalar(Kind.DURATION, ticks, scalar.location)
    if not (kind in (None, scalar.kind) or (kind == Kind.NUMBER and scalar.kind == Kind.INT)):
        return add_diagnostic(
            diagnostics, scalar, path, f"{scalar} is not of type {kind}; expected {constraint}"
        )
    for bound in constraint.bounds:
        if not _satisfies(scalar, bound):
            message = f"{scalar} violates {bound}; expected {constraint}"
            return add_diagnostic(diagnostics, scalar, path, message)
    return scalar


def _satisfies(scalar: Scalar, bound: Bound) -> bool:
    """Returns whether a scalar satisfies a bound; one that can't be compared with it does not."""
    limit: object = bound.limit
    if scalar.kind == Kind.DURATION and isinstance(bound.limit, str):
        limit = parse_duration(bound.limit)
    try:
        return COMPARISONS[bound.operator](scalar.value, limit)
    except TypeError:
        return False


class _Attempt(NamedTuple):
    """The result of unifying one disjunct with a value.

    Attributes:
        disjunct: The disjunct.
        result: The unified value.
        diagnostics: The errors; a disjunct with errors is eliminated.
    """

    disjunct: Disjunct
    result: Value
    diagnostics: list[Diagnostic]


def _try_disjunct(disjunct: Disjunct, other: Value, path: KeyPath) -> _Attempt:
    diagnostics: list[Diagnostic] = []
    return _Attempt(disjunct, unify(disjunct.value, other, path, diagnostics), diagnostics)


def _unify_disjunction(
    disjunction: Disjunction, other: Value, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """Unifies each disjunct with the other value, and drops those that do not match.

    A single remaining disjunct is returned itself, unless the other value is a disjunction.
    """
    if isinstance(other, Disjunction):
        disjuncts = _cross_disjuncts(disjunction, other, path)
    else:
        attempts = [_try_disjunct(disjunct, other, path) for disjunct in disjunction.disjuncts]
        disjuncts = [
            Disjunct(attempt.result, attempt.disjunct.is_default)
            for attempt in attempts
            if not attempt.diagnostics
        ]
        closest = [] if disjuncts else _closest_diagnostics(attempts, path)
        if closest:
            diagnostics += closest
            return other
    if not disjuncts:
        return add_diagnostic(diagnostics, other, path, f"{other} is not one of {disjunction}")
    if len(disjuncts) == 1 and not isinstance(other, Disjunction):
        return disjuncts[0].value
    return Disjunction(tuple(disjuncts), disjunction.location)


def _cross_disjuncts(left: Disjunction, right: Disjunction, path: KeyPath) -> list[Disjunct]:
    """Unifies all pairs of disjuncts; a default results from two defaults."""
    disjuncts = []
    for disjunct in left.disjuncts:
        for other in right.disjuncts:
            attempt = _try_disjunct(disjunct, other.value, path)
            if not attempt.diagnostics:
                disjuncts.append(Disjunct(attempt.result, disjunct.is_default and other.is_default))
    return disjuncts


def _closest_diagnostics(attempts: list[_Attempt], path: KeyPath) -> list[Diagnostic]:
    """Returns the errors of the disjunct that matches best, or none if no disjunct stands out.

    It is the first disjunct with an error in a nested value, or else the only one that is not a
    scalar.
    """
    candidates = [
        attempt.diagnostics
        for attempt in attempts
        if not isinstance(attempt.disjunct.value, Scalar)
    ]
    for candidate in candidates:
        if any(len(diagnostic.path) > len(path) for diagnostic in candidate):
            return candidate
    return candidates[0] if len(candidates) == 1 else []


def _unify_scalars(
    left: Scalar, right: Scalar, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    same_kind = left.kind == right.kind or {left.kind, right.kind} == {Kind.INT, Kind.NUMBER}
    if left.value == right.value and same_kind:
        return left
    return add_diagnostic(
        diagnostics, right, path, f"{right} conflicts with {left} (line {left.location.line})"
    )


def _unify_constraints(
    left: Constraint, right: Constraint, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    kinds = {kind for kind in (left.kind, right.kind) if kind is not None}
    if kinds == {Kind.INT, Kind.NUMBER}:
        kinds = {Kind.INT}
    if len(kinds) > 1:
        return add_diagnostic(diagnostics, right, path, f"{right} does not match {left}")
    return Constraint(next(iter(kinds), None), left.bounds + right.bounds, left.location)


def _unify_structs(
    left: Struct, right: Struct, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """Merges the fields; a field that only one struct has is an error if the other is closed."""
    fields: dict[str, Field] = {}
    for name in (*left.fields, *(name for name in right.fields if name not in left.fields)):
        key = (*path, name)
        left_field = left.fields.get(name)
        right_field = right.fields.get(name)
        if left_field and right_field:
            value = unify(left_field.value, right_field.value, key, diagnostics)
            fields[name] = Field(value, left_field.is_optional and right_field.is_optional)
        elif left_field:
            fields[name] = left_field
            _check_allowed(right, name, left_field.value, key, diagnostics)
        elif right_field:
            fields[name] = right_field
            _check_allowed(left, name, right_field.value, key, diagnostics)
    is_closed = (left.is_closed and not left.is_open) or (right.is_closed and not right.is_open)
    location = right.location if left.is_closed else left.location
    return Struct(fields, not is_closed, is_closed, location)


def _check_allowed(
    struct: Struct, name: str, value: Value, path: KeyPath, diagnostics: list[Diagnostic]
) -> None:
    """Reports a field that a closed struct does not have."""
    if struct.is_closed and not struct.is_open:
        close_matches = difflib.get_close_matches(name, struct.fields, 1)
        hint = f"; did you mean {close_matches[0]}?" if close_matches else ""
        add_diagnostic(diagnostics, value, path, f"no such field{hint}")


def _unify_lists(
    left: ListValue, right: ListValue, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    if left.elements is None and right.elements is None:
        element = unify(left.element, right.element, path, diagnostics)
        return ListValue(element, None, left.location)
    if left.elements is None:
        return _unify_elements(left, right, path, diagnostics)
    if right.elements is None:
        return _unify_elements(right, left, path, diagnostics)
    if len(left.elements) != len(right.elements):
        message = f"{len(right.elements)} elements; expected {len(left.elements)}"
        return add_diagnostic(diagnostics, right, path, message)
    elements = tuple(
        unify(left_element, right_element, (*path, index), diagnostics)
        for index, (left_element, right_element) in enumerate(zip(left.elements, right.elements))
    )
    return ListValue(TOP, elements, right.location)


def _unify_elements(
    constraint: ListValue, given: ListValue, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """Unifies each element of a list with the constraint on elements."""
    elements = tuple(
        unify(constraint.element, element, (*path, index), diagnostics)
        for index, element in enumerate(given.elements or ())
    )
    return ListValue(constraint.element, elements, given.location)


def _check_left_scalar(
    left: Scalar, right: Constraint, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    return check_scalar(right, left, path, diagnostics)


UNIFIERS: dict[tuple[type, type], Callable[[Any, Any, KeyPath, list[Diagnostic]], Value]] = {
    (Scalar, Scalar): _unify_scalars,
    (Constraint, Constraint): _unify_constraints,
    (Constraint, Scalar): check_scalar,
    (Scalar, Constraint): _check_left_scalar,
    (Struct, Struct): _unify_structs,
    (ListValue, ListValue): _unify_lists,
}
"""Unification by the types of the left and right value; other pairs of types never match."""

"""Unifies two values: what both of them say, or the faults where they contradict each other.

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
    Disjunction,
    Field,
    Kind,
    ListValue,
    Option,
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
"""How a value is compared with a bound's limit, by operator."""


def unify(left: Value, right: Value, path: KeyPath, diagnostics: list[Diagnostic]) -> Value:
    """What both values say.

    Args:
        left: One value.
        right: The other; faults name the location of the concrete one of both.
        path: The keys that lead to the values.
        diagnostics: Takes what is wrong; the result is then of no use but to find more faults.
    """
    if left is TOP or right is TOP:
        return right if left is TOP else left
    if isinstance(left, Disjunction):
        return _unify_disjunction(left, right, path, diagnostics)
    if isinstance(right, Disjunction):
        return _unify_disjunction(right, left, path, diagnostics)
    rule = RULES.get((type(left), type(right)))
    if rule is not None:
        return rule(left, right, path, diagnostics)
    if type(left) is type(right):
        return report(diagnostics, right, path, "can't be told here")
    return _report_misfit(left, right, path, diagnostics)


def _report_misfit(
    left: Value, right: Value, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """Reports two values that have nothing in common, at the location of the concrete one."""
    right_is_given = _is_concrete(right) or not _is_concrete(left)
    given = right if right_is_given else left
    expected = left if right_is_given else right
    return report(diagnostics, given, path, f"{given} does not fit {expected}")


def report(diagnostics: list[Diagnostic], value: Value, path: KeyPath, text: str) -> Value:
    """Adds a fault at a value's location, and returns the value."""
    diagnostics.append(Diagnostic(*value.location, path, text))
    return value


def _is_concrete(value: Value) -> bool:
    return isinstance(value, Scalar) or (
        isinstance(value, ListValue) and value.elements is not None
    )


def check(
    constraint: Constraint, scalar: Scalar, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """The scalar as the constraint has it: a string becomes a duration where one is expected.

    Args:
        constraint: What the scalar must satisfy.
        scalar: The value; it is returned as it is after a fault.
        path: The keys that lead to it.
        diagnostics: Takes what is wrong.
    """
    kind = constraint.kind
    if kind == Kind.DURATION and scalar.kind == Kind.STRING:
        ticks = parse_duration(str(scalar.value))
        if ticks is None:
            text = f'{scalar} is no duration, such as "250ms" or "1m30s"'
            return report(diagnostics, scalar, path, text)
        scalar = Scalar(Kind.DURATION, ticks, scalar.location)
    if not (kind in (None, scalar.kind) or (kind == Kind.NUMBER and scalar.kind == Kind.INT)):
        return report(diagnostics, scalar, path, f"{scalar} is no {kind}; asked for: {constraint}")
    for bound in constraint.bounds:
        if not _keeps(scalar, bound):
            text = f"{scalar} breaks {bound}; asked for: {constraint}"
            return report(diagnostics, scalar, path, text)
    return scalar


def _keeps(scalar: Scalar, bound: Bound) -> bool:
    """Whether a scalar keeps a bound; one that can't be compared with it does not."""
    limit: object = bound.limit
    if scalar.kind == Kind.DURATION and isinstance(bound.limit, str):
        limit = parse_duration(bound.limit)
    try:
        return COMPARISONS[bound.operator](scalar.value, limit)
    except TypeError:
        return False


class _Attempt(NamedTuple):
    """The result of unifying one alternative.

    Attributes:
        option: The alternative.
        result: What both values say.
        diagnostics: What is wrong; the alternative is left out if there is anything.
    """

    option: Option
    result: Value
    diagnostics: list[Diagnostic]


def _attempt(option: Option, other: Value, path: KeyPath) -> _Attempt:
    diagnostics: list[Diagnostic] = []
    return _Attempt(option, unify(option.value, other, path, diagnostics), diagnostics)


def _unify_disjunction(
    disjunction: Disjunction, other: Value, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """The alternatives that fit the other value; the only one itself, if just one fits a value."""
    if isinstance(other, Disjunction):
        options = _cross_options(disjunction, other, path)
    else:
        attempts = [_attempt(option, other, path) for option in disjunction.options]
        options = [
            Option(attempt.result, attempt.option.is_default)
            for attempt in attempts
            if not attempt.diagnostics
        ]
        nearest = [] if options else _nearest_faults(attempts, path)
        if nearest:
            diagnostics += nearest
            return other
    if not options:
        return report(diagnostics, other, path, f"{other} is none of {disjunction}")
    if len(options) == 1 and not isinstance(other, Disjunction):
        return options[0].value
    return Disjunction(tuple(options), disjunction.location)


def _cross_options(left: Disjunction, right: Disjunction, path: KeyPath) -> list[Option]:
    """Each alternative of one side with each of the other; a default is what both mark."""
    options = []
    for option in left.options:
        for other in right.options:
            attempt = _attempt(option, other.value, path)
            if not attempt.diagnostics:
                options.append(Option(attempt.result, option.is_default and other.is_default))
    return options


def _nearest_faults(attempts: list[_Attempt], path: KeyPath) -> list[Diagnostic]:
    """The faults of the alternative that came nearest, or none if no one did.

    That is the first whose faults lie inside of it, or the only one that is no scalar.
    """
    candidates = [
        attempt.diagnostics for attempt in attempts if not isinstance(attempt.option.value, Scalar)
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
    return report(diagnostics, right, path, f"{right} is not {left} (line {left.location.line})")


def _unify_constraints(
    left: Constraint, right: Constraint, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    kinds = {kind for kind in (left.kind, right.kind) if kind is not None}
    if kinds == {Kind.INT, Kind.NUMBER}:
        kinds = {Kind.INT}
    if len(kinds) > 1:
        return report(diagnostics, right, path, f"{right} does not fit {left}")
    return Constraint(next(iter(kinds), None), left.bounds + right.bounds, left.location)


def _unify_structs(
    left: Struct, right: Struct, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """The fields of both; a field that only one has is a fault where the other is closed."""
    fields: dict[str, Field] = {}
    for name in (*left.fields, *(name for name in right.fields if name not in left.fields)):
        key = (*path, name)
        one = left.fields.get(name)
        two = right.fields.get(name)
        if one and two:
            value = unify(one.value, two.value, key, diagnostics)
            fields[name] = Field(value, one.is_optional and two.is_optional)
        elif one:
            fields[name] = one
            _check_known(right, name, one.value, key, diagnostics)
        elif two:
            fields[name] = two
            _check_known(left, name, two.value, key, diagnostics)
    is_closed = (left.is_closed and not left.is_open) or (right.is_closed and not right.is_open)
    location = right.location if left.is_closed else left.location
    return Struct(fields, not is_closed, is_closed, location)


def _check_known(
    struct: Struct, name: str, value: Value, path: KeyPath, diagnostics: list[Diagnostic]
) -> None:
    """Reports a field that a struct lacks and does not take."""
    if struct.is_closed and not struct.is_open:
        near = difflib.get_close_matches(name, struct.fields, 1)
        hint = f"; did you mean {near[0]}?" if near else ""
        report(diagnostics, value, path, f"no such field{hint}")


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
        text = f"{len(right.elements)} elements, {len(left.elements)} were told"
        return report(diagnostics, right, path, text)
    elements = tuple(
        unify(one, two, (*path, index), diagnostics)
        for index, (one, two) in enumerate(zip(left.elements, right.elements))
    )
    return ListValue(TOP, elements, right.location)


def _unify_elements(
    constraint: ListValue, given: ListValue, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    """The elements of a list, each unified with what the other side wants of any."""
    elements = tuple(
        unify(constraint.element, element, (*path, index), diagnostics)
        for index, element in enumerate(given.elements or ())
    )
    return ListValue(constraint.element, elements, given.location)


def _check_right(
    left: Scalar, right: Constraint, path: KeyPath, diagnostics: list[Diagnostic]
) -> Value:
    return check(right, left, path, diagnostics)


RULES: dict[tuple[type, type], Callable[[Any, Any, KeyPath, list[Diagnostic]], Value]] = {
    (Scalar, Scalar): _unify_scalars,
    (Constraint, Constraint): _unify_constraints,
    (Constraint, Scalar): check,
    (Scalar, Constraint): _check_right,
    (Struct, Struct): _unify_structs,
    (ListValue, ListValue): _unify_lists,
}
"""How a left and a right value of these types are unified; other pairs never fit."""

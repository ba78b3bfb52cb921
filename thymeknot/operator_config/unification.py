"""Values of settings and their constraints, and how two are unified. Pure.

A value is one of: TOP (anything), Atom (a concrete scalar), Basic (a kind with bounds), Either (alternatives, one of
them perhaps the default), Struct (fields, some optional; closed ones take no others), ListOf, Reference (a
definition by name, resolved before anything is unified). Source: the published CUE language specification.
"""

import difflib
import re
from typing import NamedTuple, Optional

UNITS = {"us": 0.01, "ms": 10, "s": 10_000, "m": 600_000, "h": 36_000_000, "d": 864_000_000}
DURATION = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h|d)")
COMPARE = {
    ">=": lambda a, b: a >= b,
    "<=": lambda a, b: a <= b,
    ">": lambda a, b: a > b,
    "<": lambda a, b: a < b,
    "!=": lambda a, b: a != b,
    "=~": lambda a, b: re.search(b, a) is not None,
}


class Fault(NamedTuple):
    """One thing wrong. path: the keys that lead there."""

    file: Optional[str]
    line: int
    path: tuple
    text: str

    def __str__(self):
        key = "".join(
            f"[{one}]" if isinstance(one, int) else f".{one}" for one in self.path
        ).lstrip(".")
        return f"{self.file}:{self.line}: " + (f"{key}: " if key else "") + self.text


class OperatorConfigError(ValueError):
    """Settings that can't be used: all their faults."""

    def __init__(self, faults):
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


class Top(NamedTuple):
    at: tuple = (None, 0)

    def __str__(self):
        return "_"


class Atom(NamedTuple):
    """A concrete scalar. A duration's value is in tenths of a millisecond."""

    kind: str
    value: object
    at: tuple

    def __str__(self):
        if self.kind == "string":
            return f'"{self.value}"'
        if self.kind == "duration":
            return f'"{self.value / 10:g}ms"'
        return str(self.value).lower() if self.kind in ("bool", "null") else str(self.value)


class Basic(NamedTuple):
    kind: Optional[str]
    bounds: tuple
    at: tuple

    def __str__(self):
        bounds = [
            f'{name}"{value}"' if isinstance(value, str) else f"{name}{value}"
            for name, value in self.bounds
        ]
        return " & ".join(([self.kind] if self.kind else []) + bounds)


class Either(NamedTuple):
    options: tuple  # of (value, whether it is the default)
    at: tuple

    def __str__(self):
        return " | ".join("*" * marked + str(value) for value, marked in self.options)


class Struct(NamedTuple):
    fields: dict  # name: (value, whether it may be left out)
    open: bool  # told so by "..."
    closed: bool  # a definition's
    at: tuple

    def __str__(self):
        return "{...}"


class ListOf(NamedTuple):
    element: object
    elements: Optional[tuple]  # None: any number of them
    at: tuple

    def __str__(self):
        return (
            f"[...{self.element}]" if self.elements is None else f"[{len(self.elements)} elements]"
        )


class Reference(NamedTuple):
    name: str
    at: tuple

    def __str__(self):
        return self.name


TOP = Top()


def duration(text):
    """Tenths of a millisecond of "1m30s", or None. A part of one is rounded up, so that nothing becomes 0."""
    parts = DURATION.findall(text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        return None
    total = sum(float(number) * UNITS[unit] for number, unit in parts)
    return int(total) + (total != int(total))


def _fault(faults, value, path, text):
    faults.append(Fault(*value.at, path, text))
    return value


def _check(basic, atom, path, faults):
    """The atom under a kind and bounds, or itself after a fault."""
    kind, value = basic.kind, atom.value
    if kind == "duration" and atom.kind == "string":
        value = duration(value)
        if value is None:
            return _fault(faults, atom, path, f'{atom} is no duration, such as "250ms" or "1m30s"')
        atom = Atom("duration", value, atom.at)
    fits = kind in (None, atom.kind) or (kind == "number" and atom.kind == "int")
    if not fits:
        return _fault(faults, atom, path, f"{atom} is no {kind}; asked for: {basic}")
    for name, bound in basic.bounds:
        against = duration(bound) if atom.kind == "duration" and isinstance(bound, str) else bound
        try:
            holds = COMPARE[name](value, against)
        except TypeError:
            holds = False
        if not holds:
            return _fault(
                faults,
                atom,
                path,
                f"{atom} breaks {name}"
                + (f'"{bound}"' if isinstance(bound, str) else str(bound))
                + f"; asked for: {basic}",
            )
    return atom


def meet(a, b, path, faults):
    """What both say, or a after adding to faults. Where one side is concrete, faults name its place."""
    if a is TOP or b is TOP:
        return b if a is TOP else a
    for this, other in ((a, b), (b, a)):
        if isinstance(this, Either):
            return _meet_either(this, other, path, faults)
    pair = {type(a): a, type(b): b}
    if type(a) is type(b):
        return (
            MEET[type(a)](a, b, path, faults)
            if type(a) in MEET
            else _fault(faults, b, path, "can't be told here")
        )
    if Basic in pair and Atom in pair:
        return _check(pair[Basic], pair[Atom], path, faults)
    told, asked = (b, a) if _concrete(b) or not _concrete(a) else (a, b)
    return _fault(faults, told, path, f"{told} does not fit {asked}")


def _concrete(value):
    return isinstance(value, Atom) or (isinstance(value, ListOf) and value.elements is not None)


def _meet_either(either, other, path, faults):
    if isinstance(
        other, Either
    ):  # each of one with each of the other; the default is what both mark
        options = [
            (value, mark and marked)
            for one, mark in either.options
            for two, marked in other.options
            for value, bad in (_tried(one, two, path),)
            if not bad
        ]
    else:
        tried = [(asked, *_tried(asked, other, path), mark) for asked, mark in either.options]
        options = [(value, mark) for _, value, bad, mark in tried if not bad]
        if not options:
            # The alternative that came nearest says what is wrong, where there is only one of its kind.
            near = [bad for asked, _, bad, _ in tried if not isinstance(asked, Atom)]
            deep = [bad for bad in near if any(len(fault.path) > len(path) for fault in bad)]
            if deep or len(near) == 1:
                faults += (deep or near)[0]
                return other
    if not options:
        return _fault(faults, other, path, f"{other} is none of {either}")
    if len(options) == 1 and not isinstance(other, Either):
        return options[0][0]
    return Either(tuple(options), either.at)


def _tried(a, b, path):
    bad = []
    return meet(a, b, path, bad), bad


def _meet_atoms(a, b, path, faults):
    same = a.value == b.value and (a.kind == b.kind or {a.kind, b.kind} == {"int", "number"})
    return a if same else _fault(faults, b, path, f"{b} is not {a} (line {a.at[1]})")


def _meet_basics(a, b, path, faults):
    kinds = {a.kind, b.kind} - {None}
    if kinds == {"int", "number"}:
        kinds = {"int"}
    if len(kinds) > 1:
        return _fault(faults, b, path, f"{b} does not fit {a}")
    return Basic(next(iter(kinds), None), a.bounds + b.bounds, a.at)


def _meet_structs(a, b, path, faults):
    fields = {}
    for name in (*a.fields, *(name for name in b.fields if name not in a.fields)):
        one, two = a.fields.get(name), b.fields.get(name)
        if one and two:
            fields[name] = meet(one[0], two[0], (*path, name), faults), one[1] and two[1]
        else:
            fields[name] = one or two
            missing_in = b if one else a
            if missing_in.closed and not missing_in.open:
                near = difflib.get_close_matches(name, missing_in.fields, 1)
                _fault(
                    faults,
                    fields[name][0],
                    (*path, name),
                    "no such field" + (f"; did you mean {near[0]}?" if near else ""),
                )
    closed = (a.closed and not a.open) or (b.closed and not b.open)
    return Struct(fields, not closed, closed, b.at if a.closed else a.at)


def _meet_lists(a, b, path, faults):
    if a.elements is None and b.elements is None:
        return ListOf(meet(a.element, b.element, path, faults), None, a.at)
    if a.elements is None or b.elements is None:
        told, of = (b, a) if a.elements is None else (a, b)
        return ListOf(
            of.element,
            tuple(
                meet(of.element, one, (*path, at), faults) for at, one in enumerate(told.elements)
            ),
            told.at,
        )
    if len(a.elements) != len(b.elements):
        return _fault(faults, b, path, f"{len(b.elements)} elements, {len(a.elements)} were told")
    return ListOf(
        TOP,
        tuple(
            meet(one, two, (*path, at), faults)
            for at, (one, two) in enumerate(zip(a.elements, b.elements))
        ),
        b.at,
    )


MEET = {Atom: _meet_atoms, Basic: _meet_basics, Struct: _meet_structs, ListOf: _meet_lists}


def resolved(value, definitions, within=()):
    """A value with its references replaced; what a definition holds is closed. Raises Faulty on unknown ones."""
    if isinstance(value, Reference):
        if value.name not in definitions or value.name in within:
            said = "refers to itself" if value.name in within else "is not defined"
            raise OperatorConfigError([Fault(*value.at, (), f"{value.name} {said}")])
        return _closed(resolved(definitions[value.name], definitions, (*within, value.name)))
    if isinstance(value, Struct):
        return value._replace(
            fields={
                name: (resolved(inner, definitions, within), optional)
                for name, (inner, optional) in value.fields.items()
            }
        )
    if isinstance(value, ListOf):
        elements = value.elements and tuple(
            resolved(one, definitions, within) for one in value.elements
        )
        return ListOf(resolved(value.element, definitions, within), elements, value.at)
    if isinstance(value, Either):
        options = [(resolved(one, definitions, within), mark) for one, mark in value.options]
        if any(isinstance(one, Basic) and one.kind == "duration" for one, _ in options):
            # A default beside durations is one itself, though it is written as a string.
            options = [
                (
                    _check(Basic("duration", (), one.at), one, (), [])
                    if isinstance(one, Atom)
                    else one,
                    mark,
                )
                for one, mark in options
            ]
        return Either(tuple(options), value.at)
    return value


def _closed(value):
    if not isinstance(value, Struct):
        return value
    return value._replace(
        closed=not value.open,
        fields={
            name: (_closed(inner), optional) for name, (inner, optional) in value.fields.items()
        },
    )


def concrete(value, path, faults, at=(None, 0)):
    """The plain Python value: dicts, lists, scalars. A default stands for what is left open; what has none and is
    not told is a fault at the place of its struct."""
    if isinstance(value, Atom):
        return value.value
    if isinstance(value, Either):
        marked = [one for one, mark in value.options if mark]
        if marked and all(one == marked[0] or not isinstance(one, Atom) for one in marked):
            return concrete(marked[0], path, faults, at)
    elif isinstance(value, Struct):
        here = value.at
        return {
            name: concrete(inner, (*path, name), faults, here)
            for name, (inner, optional) in value.fields.items()
            if not optional or _told(inner)
        }
    elif isinstance(value, ListOf) and value.elements is not None:
        return [
            concrete(one, (*path, index), faults, value.at)
            for index, one in enumerate(value.elements)
        ]
    faults.append(Fault(*at, path, f"is missing; asked for: {value}"))
    return None


def _told(value):
    """Whether an optional field holds anything beyond its constraint."""
    if isinstance(value, Struct):
        return any(_told(inner) for inner, _ in value.fields.values())
    return isinstance(value, Atom) or (isinstance(value, ListOf) and value.elements is not None)

"""The text of a settings or schema file to values. Grammar on lark, a subset of CUE's: docs/design/gossip.md.

Newlines and commas part fields alike. `a: b: 1` is short for `a: {b: 1}`, `//` begins a comment.
"""

import ast
from typing import NamedTuple

from lark import Lark, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

from .unification import (
    TOP,
    Atom,
    Basic,
    Either,
    Fault,
    ListOf,
    OperatorConfigError,
    Reference,
    Struct,
    meet,
)

GRAMMAR = r"""
start: _members
_members: (member ","?)*
member: label ":" (expr | member)  -> member
label: (NAME | DEFINITION | STRING) OPTIONAL?
?expr: choice | conj
choice: option ("|" option)+ | marked
?option: marked | conj
marked: "*" conj
conj: unary ("&" unary)*
?unary: NUMBER -> number
      | STRING -> string
      | NAME -> named
      | DEFINITION -> reference
      | OPERATOR (NUMBER | STRING) -> bound
      | "{" _members DOTS? ","? "}" -> struct
      | "[" "..." expr? "]" -> list_of
      | "[" (expr ","?)* "]" -> elements
      | "(" expr ")"
NAME: /[A-Za-z_][A-Za-z0-9_]*/
DEFINITION: /#[A-Za-z][A-Za-z0-9_]*/
OPTIONAL: "?"
DOTS: "..."
OPERATOR: ">=" | "<=" | "!=" | "=~" | ">" | "<"
NUMBER: /-?[0-9]+(\.[0-9]+)?([eE][-+]?[0-9]+)?/
STRING: /"([^"\\\n]|\\.)*"/
%ignore /[ \t\r\n]+/
%ignore /\/\/[^\n]*/
"""
KINDS = ("int", "number", "string", "bool", "duration")
MOST_BYTES = (
    1 << 20
)  # of a file: it is read whole, and an operator's mistake must not fill the memory


class Member(NamedTuple):
    """A field as the text tells it."""

    name: str
    optional: bool
    value: object


def _text(token):
    try:
        return ast.literal_eval(str(token))
    except (SyntaxError, ValueError):
        raise OperatorConfigError(
            [Fault(None, token.line, (), f"no string that can be read: {token}")]
        ) from None


def _number(token):
    text = str(token)
    return float(text) if any(mark in text for mark in ".eE") else int(text)


@v_args(inline=True, meta=True)
class _Reader(Transformer):
    """lark's tree to values; each keeps the place it came from."""

    def __init__(self, file):
        super().__init__()
        self.file = file

    def _at(self, meta):
        return self.file, getattr(meta, "line", 0)

    def start(self, meta, *members):
        return self._struct(meta, members, False)

    def struct(self, meta, *members):
        is_open = any(isinstance(member, str) for member in members)
        return self._struct(meta, [one for one in members if isinstance(one, Member)], is_open)

    def _struct(self, meta, members, is_open):
        fields, faults = {}, []
        for name, optional, value in members:
            had = fields.get(name)
            if had:  # told twice: both hold
                value, optional = meet(had[0], value, (name,), faults), had[1] and optional
            fields[name] = value, optional
        if faults:
            raise OperatorConfigError(faults)
        return Struct(fields, is_open, False, self._at(meta))

    def member(self, meta, label, value):
        if isinstance(value, Member):
            value = self._struct(meta, [value], False)
        return Member(*label, value)

    def label(self, meta, name, optional=None):
        return _text(name) if name.type == "STRING" else str(name), optional is not None

    def number(self, meta, token):
        value = _number(token)
        return Atom("int" if isinstance(value, int) else "number", value, self._at(meta))

    def string(self, meta, token):
        return Atom("string", _text(token), self._at(meta))

    def named(self, meta, token):
        if token in ("true", "false"):
            return Atom("bool", token == "true", self._at(meta))
        if token == "null":
            return Atom("null", None, self._at(meta))
        if token == "_":
            return TOP
        if token in KINDS:
            return Basic(str(token), (), self._at(meta))
        raise OperatorConfigError(
            [Fault(self.file, meta.line, (), f"no such name: {token} (strings stand in quotes)")]
        )

    def reference(self, meta, token):
        return Reference(str(token), self._at(meta))

    def bound(self, meta, operator, token):
        value = _text(token) if token.type == "STRING" else _number(token)
        return Basic(None, ((str(operator), value),), self._at(meta))

    def list_of(self, meta, element=TOP):
        return ListOf(element, None, self._at(meta))

    def elements(self, meta, *elements):
        return ListOf(TOP, tuple(elements), self._at(meta))

    def conj(self, meta, first, *others):
        faults = []
        for other in others:
            first = meet(first, other, (), faults)
        if faults:
            raise OperatorConfigError(faults)
        return first

    def marked(self, meta, value):
        return Either(((value, True),), self._at(meta))

    def choice(self, meta, *options):
        parted = []
        for option in options:
            parted += option.options if isinstance(option, Either) else [(option, False)]
        return Either(tuple(parted), self._at(meta))


_parser = Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def parse(text, file):
    """The Struct that a text tells. file: the name that faults give. Raises Faulty."""
    if len(text) > MOST_BYTES:
        raise OperatorConfigError(
            [Fault(file, 1, (), f"{len(text)} characters, {MOST_BYTES} at most")]
        )
    try:
        return _Reader(file).transform(_parser.parse(text))
    except UnexpectedInput as error:
        found = getattr(error, "token", None) or getattr(error, "char", "")
        said = "the file ends too early" if str(found) == "" else f"unexpected {str(found)!r}"
        raise OperatorConfigError([Fault(file, max(error.line, 1), (), said)]) from None
    except VisitError as error:
        if not isinstance(error.orig_exc, OperatorConfigError):
            raise
        raise OperatorConfigError(
            [fault if fault.file else fault._replace(file=file) for fault in error.orig_exc.faults]
        ) from None

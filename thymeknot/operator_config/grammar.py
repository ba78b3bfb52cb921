"""Parses the text of an operator or schema file into values.

The grammar is a subset of CUE, described in docs/design/gossip.md. A newline or a comma ends a
field, `a: b: 1` abbreviates `a: {b: 1}`, and `//` starts a comment.
"""

import ast
import re
from typing import NamedTuple, NoReturn, Optional, Union

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError
from lark.tree import Meta

from .errors import Diagnostic, Location, OperatorConfigError
from .unification import unify
from .values import (
    TOP,
    Bound,
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

GRAMMAR = r"""
start: _members
_members: (member ","?)*
member: label ":" (expr | member)
label: (NAME | DEFINITION | STRING) OPTIONAL?
?expr: disjunction | conjunction
disjunction: disjunct ("|" disjunct)+ | default
?disjunct: default | conjunction
default: "*" conjunction
conjunction: unary ("&" unary)*
?unary: NUMBER -> number
      | STRING -> string
      | NAME -> identifier
      | DEFINITION -> reference
      | OPERATOR (NUMBER | STRING) -> bound
      | "{" _members ELLIPSIS? ","? "}" -> struct
      | "[" "..." expr? "]" -> open_list
      | "[" (expr ","?)* "]" -> closed_list
      | "(" expr ")"
NAME: /[A-Za-z_][A-Za-z0-9_]*/
DEFINITION: /#[A-Za-z][A-Za-z0-9_]*/
OPTIONAL: "?"
ELLIPSIS: "..."
OPERATOR: ">=" | "<=" | "!=" | "=~" | ">" | "<"
NUMBER: /-?[0-9]+(\.[0-9]+)?([eE][-+]?[0-9]+)?/
STRING: /"([^"\\\n]|\\.)*"/
%ignore /[ \t\r\n]+/
%ignore /\/\/[^\n]*/
"""
KIND_NAMES = (Kind.INT, Kind.NUMBER, Kind.STRING, Kind.BOOL, Kind.DURATION)
"""The kinds that have a name in files; null is a value."""

MAX_FILE_SIZE = 1 << 20
"""Maximum characters of a file: it is read whole, and a wrong path must not exhaust the memory."""
MAX_NUMBER_LENGTH = 100
"""Maximum characters of a number; Python refuses to parse integers of over 4,300 digits."""


class Label(NamedTuple):
    """The label of a field, before the colon.

    Attributes:
        name: Name of the field.
        is_optional: Whether the field may be omitted.
    """

    name: str
    is_optional: bool


class Member(NamedTuple):
    """A field as written in the text, where a name may occur repeatedly.

    Attributes:
        label: Label of the field.
        value: Value of the field.
    """

    label: Label
    value: Value


def _string_value(token: Token) -> str:
    """Returns the content of a quoted string, with escape sequences resolved."""
    try:
        return str(ast.literal_eval(str(token)))
    except (SyntaxError, ValueError):
        message = f"invalid string: {token}"
        raise OperatorConfigError([Diagnostic(None, token.line or 0, (), message)]) from None


def _number_value(token: Token) -> Union[int, float]:
    text = str(token)
    if len(text) > MAX_NUMBER_LENGTH:
        message = f"number of {len(text)} characters exceeds the limit of {MAX_NUMBER_LENGTH}"
        raise OperatorConfigError([Diagnostic(None, token.line or 0, (), message)])
    return float(text) if any(mark in text for mark in ".eE") else int(text)


def _check_pattern(token: Token, pattern: Union[str, int, float]) -> None:
    """Raises an OperatorConfigError if the pattern is not a valid regular expression."""
    try:
        re.compile(str(pattern))
    except re.error as error:
        message = f"invalid regular expression: {token}: {error}"
        raise OperatorConfigError([Diagnostic(None, token.line or 0, (), message)]) from None


@v_args(inline=True, meta=True)
class _ValueBuilder(Transformer[Token, Struct]):
    """Builds values with locations from Lark's parse tree; each method is named after a rule."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self.file = file

    def _location(self, meta: Meta) -> Location:
        return Location(self.file, getattr(meta, "line", 0))

    def _struct(self, meta: Meta, members: list[Member], is_open: bool) -> Struct:
        """Builds a struct; values of repeated names are unified."""
        fields: dict[str, Field] = {}
        diagnostics: list[Diagnostic] = []
        for (name, is_optional), value in members:
            field = Field(value, is_optional)
            earlier = fields.get(name)
            if earlier:
                unified = unify(earlier.value, value, (name,), diagnostics)
                field = Field(unified, earlier.is_optional and is_optional)
            fields[name] = field
        if diagnostics:
            raise OperatorConfigError(diagnostics)
        return Struct(fields, is_open, False, self._location(meta))

    def start(self, meta: Meta, *members: Member) -> Struct:
        """Builds the struct of a whole file."""
        return self._struct(meta, list(members), False)

    def struct(self, meta: Meta, *parts: Union[Member, Token]) -> Struct:
        """Builds a struct in braces; the only token among its parts is `...`."""
        is_open = any(isinstance(part, str) for part in parts)
        return self._struct(meta, [part for part in parts if isinstance(part, Member)], is_open)

    def member(self, meta: Meta, label: Label, value: Union[Value, Member]) -> Member:
        """Builds a member; one without braces, as in `a: b: 1`, becomes a struct."""
        if isinstance(value, Member):
            value = self._struct(meta, [value], False)
        return Member(label, value)

    def label(self, meta: Meta, name: Token, optional: Optional[Token] = None) -> Label:
        """Builds a label; its name may be quoted."""
        text = _string_value(name) if name.type == "STRING" else str(name)
        return Label(text, optional is not None)

    def number(self, meta: Meta, token: Token) -> Scalar:
        """Builds an integer or a floating-point number."""
        value = _number_value(token)
        kind = Kind.INT if isinstance(value, int) else Kind.NUMBER
        return Scalar(kind, value, self._location(meta))

    def string(self, meta: Meta, token: Token) -> Scalar:
        """Builds a string."""
        return Scalar(Kind.STRING, _string_value(token), self._location(meta))

    def identifier(self, meta: Meta, token: Token) -> Value:
        """Builds the value of an unquoted name: a constant, a kind, or `_`."""
        if token in ("true", "false"):
            return Scalar(Kind.BOOL, token == "true", self._location(meta))
        if token == "null":
            return Scalar(Kind.NULL, None, self._location(meta))
        if token == "_":
            return TOP
        if token in KIND_NAMES:
            return Constraint(Kind(str(token)), (), self._location(meta))
        message = f"unknown name: {token} (strings must be quoted)"
        raise OperatorConfigError([Diagnostic(self.file, meta.line, (), message)])

    def reference(self, meta: Meta, token: Token) -> Reference:
        """Builds a reference to a definition."""
        return Reference(str(token), self._location(meta))

    def bound(self, meta: Meta, operator: Token, token: Token) -> Constraint:
        """Builds a constraint that compares with a string or a number."""
        limit = _string_value(token) if token.type == "STRING" else _number_value(token)
        if operator == "=~":
            _check_pattern(token, limit)
        return Constraint(None, (Bound(str(operator), limit),), self._location(meta))

    def open_list(self, meta: Meta, element: Value = TOP) -> ListValue:
        """Builds a list of any number of elements that satisfy one constraint."""
        return ListValue(element, None, self._location(meta))

    def closed_list(self, meta: Meta, *elements: Value) -> ListValue:
        """Builds a list of exactly these elements."""
        return ListValue(TOP, elements, self._location(meta))

    def conjunction(self, meta: Meta, first: Value, *others: Value) -> Value:
        """Unifies the operands of `&`."""
        unified = first
        diagnostics: list[Diagnostic] = []
        for other in others:
            unified = unify(unified, other, (), diagnostics)
        if diagnostics:
            raise OperatorConfigError(diagnostics)
        return unified

    def default(self, meta: Meta, value: Value) -> Disjunction:
        """Builds a disjunction of a single default."""
        return Disjunction((Disjunct(value, True),), self._location(meta))

    def disjunction(self, meta: Meta, *alternatives: Value) -> Disjunction:
        """Builds a disjunction; nested disjunctions are flattened."""
        disjuncts: list[Disjunct] = []
        for alternative in alternatives:
            if isinstance(alternative, Disjunction):
                disjuncts += alternative.disjuncts
            else:
                disjuncts.append(Disjunct(alternative, False))
        return Disjunction(tuple(disjuncts), self._location(meta))


_parser = Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def parse(text: str, file: str) -> Struct:
    """Parses the text of a file into a struct.

    Args:
        text: The text.
        file: Name of the file for error messages.

    Raises:
        OperatorConfigError: The text is too long or can't be parsed.
    """
    if len(text) > MAX_FILE_SIZE:
        message = f"file of at least {len(text)} characters exceeds the limit of {MAX_FILE_SIZE}"
        raise OperatorConfigError([Diagnostic(file, 1, (), message)])
    try:
        return _ValueBuilder(file).transform(_parser.parse(text))
    except UnexpectedInput as error:
        found = getattr(error, "token", None) or getattr(error, "char", "")
        message = "unexpected end of file" if str(found) == "" else f"unexpected {str(found)!r}"
        raise OperatorConfigError([Diagnostic(file, max(error.line, 1), (), message)]) from None
    except VisitError as error:
        _raise_original(error, file)


def _raise_original(error: VisitError, file: str) -> NoReturn:
    """Raises the builder's original error, with the file's name in each diagnostic."""
    original = error.orig_exc
    if isinstance(original, RecursionError):
        raise original
    if not isinstance(original, OperatorConfigError):
        raise error
    raise OperatorConfigError(
        diagnostic if diagnostic.file else diagnostic._replace(file=file)
        for diagnostic in original.diagnostics
    ) from None

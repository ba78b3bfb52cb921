"""Parses the text of an operator or schema file into values.

The grammar is a subset of CUE's, described in docs/design/gossip.md: newlines and commas both end a
field, `a: b: 1` is short for `a: {b: 1}`, and `//` begins a comment.
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

GRAMMAR = r"""
start: _members
_members: (member ","?)*
member: label ":" (expr | member)
label: (NAME | DEFINITION | STRING) OPTIONAL?
?expr: choice | conjunction
choice: option ("|" option)+ | default
?option: default | conjunction
default: "*" conjunction
conjunction: unary ("&" unary)*
?unary: NUMBER -> number
      | STRING -> string
      | NAME -> word
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
KIND_NAMES = (Kind.INT, Kind.NUMBER, Kind.STRING, Kind.BOOL, Kind.DURATION)
"""The kinds that a file can name; null is a value."""

MAX_FILE_SIZE = 1 << 20
"""Characters of a file: it is read whole, and a wrong path must not fill the memory."""
MAX_NUMBER_LENGTH = 100
"""Characters of a number."""


class Label(NamedTuple):
    """What stands before a field's colon.

    Attributes:
        name: The field's name.
        is_optional: Whether the field may be left out.
    """

    name: str
    is_optional: bool


class Member(NamedTuple):
    """A field as the text has it; the same name may come again.

    Attributes:
        label: Its name, and whether it may be left out.
        value: Its value.
    """

    label: Label
    value: Value


def _string_value(token: Token) -> str:
    """The text within a token's quotes, with its escapes resolved."""
    try:
        return str(ast.literal_eval(str(token)))
    except (SyntaxError, ValueError):
        text = f"no string that can be read: {token}"
        raise OperatorConfigError([Diagnostic(None, token.line or 0, (), text)]) from None


def _number_value(token: Token) -> Union[int, float]:
    text = str(token)
    if len(text) > MAX_NUMBER_LENGTH:
        message = f"a number of {len(text)} characters, {MAX_NUMBER_LENGTH} at most"
        raise OperatorConfigError([Diagnostic(None, token.line or 0, (), message)])
    return float(text) if any(mark in text for mark in ".eE") else int(text)


def _check_pattern(token: Token, pattern: Union[str, int, float]) -> None:
    """Raises an OperatorConfigError unless this is a regular expression."""
    try:
        re.compile(str(pattern))
    except re.error as error:
        text = f"no regular expression: {token}: {error}"
        raise OperatorConfigError([Diagnostic(None, token.line or 0, (), text)]) from None


@v_args(inline=True, meta=True)
class _ValueBuilder(Transformer[Token, Struct]):
    """Builds values of lark's tree; each keeps its location. A method is named after its rule."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self.file = file

    def _location(self, meta: Meta) -> Location:
        return Location(self.file, getattr(meta, "line", 0))

    def _struct(self, meta: Meta, members: list[Member], is_open: bool) -> Struct:
        """A struct of its members; what is given to one name twice is unified."""
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
        """A whole file."""
        return self._struct(meta, list(members), False)

    def struct(self, meta: Meta, *parts: Union[Member, Token]) -> Struct:
        """Members in braces; the only token that stays among them is `...`."""
        is_open = any(isinstance(part, str) for part in parts)
        return self._struct(meta, [part for part in parts if isinstance(part, Member)], is_open)

    def member(self, meta: Meta, label: Label, value: Union[Value, Member]) -> Member:
        """A label with a value, or with another member as a struct of its own."""
        if isinstance(value, Member):
            value = self._struct(meta, [value], False)
        return Member(label, value)

    def label(self, meta: Meta, name: Token, optional: Optional[Token] = None) -> Label:
        """A field's name, in quotes or not."""
        text = _string_value(name) if name.type == "STRING" else str(name)
        return Label(text, optional is not None)

    def number(self, meta: Meta, token: Token) -> Scalar:
        """An integer or a floating-point number."""
        value = _number_value(token)
        kind = Kind.INT if isinstance(value, int) else Kind.NUMBER
        return Scalar(kind, value, self._location(meta))

    def string(self, meta: Meta, token: Token) -> Scalar:
        """A string in quotes."""
        return Scalar(Kind.STRING, _string_value(token), self._location(meta))

    def word(self, meta: Meta, token: Token) -> Value:
        """A word without quotes: a constant, a kind, or `_`."""
        if token in ("true", "false"):
            return Scalar(Kind.BOOL, token == "true", self._location(meta))
        if token == "null":
            return Scalar(Kind.NULL, None, self._location(meta))
        if token == "_":
            return TOP
        if token in KIND_NAMES:
            return Constraint(Kind(str(token)), (), self._location(meta))
        text = f"no such name: {token} (strings stand in quotes)"
        raise OperatorConfigError([Diagnostic(self.file, meta.line, (), text)])

    def reference(self, meta: Meta, token: Token) -> Reference:
        """A definition's name."""
        return Reference(str(token), self._location(meta))

    def bound(self, meta: Meta, operator: Token, token: Token) -> Constraint:
        """A comparison with a string or a number."""
        limit = _string_value(token) if token.type == "STRING" else _number_value(token)
        if operator == "=~":
            _check_pattern(token, limit)
        return Constraint(None, (Bound(str(operator), limit),), self._location(meta))

    def list_of(self, meta: Meta, element: Value = TOP) -> ListValue:
        """Any number of elements that satisfy one constraint."""
        return ListValue(element, None, self._location(meta))

    def elements(self, meta: Meta, *elements: Value) -> ListValue:
        """A list of just these elements."""
        return ListValue(TOP, elements, self._location(meta))

    def conjunction(self, meta: Meta, first: Value, *others: Value) -> Value:
        """Values that all hold."""
        unified = first
        diagnostics: list[Diagnostic] = []
        for other in others:
            unified = unify(unified, other, (), diagnostics)
        if diagnostics:
            raise OperatorConfigError(diagnostics)
        return unified

    def default(self, meta: Meta, value: Value) -> Disjunction:
        """A default."""
        return Disjunction((Option(value, True),), self._location(meta))

    def choice(self, meta: Meta, *alternatives: Value) -> Disjunction:
        """Alternatives, flat: those of an inner choice are taken into the outer one."""
        options: list[Option] = []
        for alternative in alternatives:
            if isinstance(alternative, Disjunction):
                options += alternative.options
            else:
                options.append(Option(alternative, False))
        return Disjunction(tuple(options), self._location(meta))


_parser = Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def parse(text: str, file: str) -> Struct:
    """The struct that a text describes.

    Args:
        text: The text of a file.
        file: The name that faults give.

    Raises:
        OperatorConfigError: The text is too long, or can't be parsed.
    """
    if len(text) > MAX_FILE_SIZE:
        message = f"{len(text)} characters, {MAX_FILE_SIZE} at most"
        raise OperatorConfigError([Diagnostic(file, 1, (), message)])
    try:
        return _ValueBuilder(file).transform(_parser.parse(text))
    except UnexpectedInput as error:
        found = getattr(error, "token", None) or getattr(error, "char", "")
        message = "the file ends too early" if str(found) == "" else f"unexpected {str(found)!r}"
        raise OperatorConfigError([Diagnostic(file, max(error.line, 1), (), message)]) from None
    except VisitError as error:
        _raise_original(error, file)


def _raise_original(error: VisitError, file: str) -> NoReturn:
    """Raises what a method of the builder raised, with the file's name in each fault."""
    original = error.orig_exc
    if isinstance(original, RecursionError):
        raise original
    if not isinstance(original, OperatorConfigError):
        raise error
    raise OperatorConfigError(
        diagnostic if diagnostic.file else diagnostic._replace(file=file)
        for diagnostic in original.diagnostics
    ) from None

"""Reads an operator file, unifies it with the package's schemas, and gives typed records."""

import os
from importlib import resources
from typing import Any, TypeVar, get_type_hints

from .errors import Diagnostic, OperatorConfigError
from .evaluation import resolve, to_plain
from .grammar import MAX_FILE_SIZE, parse
from .unification import unify
from .values import Field, Struct, Value

ROOT_SCHEMA = "operator.cue"
"""The schema file whose struct an operator file is unified with; the others hold definitions."""

Record = TypeVar("Record")


def load_schema() -> Value:
    """What an operator file may hold, with the definitions of all schema files resolved."""
    folder = resources.files(__package__) / "schema"
    structs = {
        file.name: parse(file.read_text(encoding="utf-8"), f"schema/{file.name}")
        for file in sorted(folder.iterdir(), key=lambda entry: entry.name)
        if file.name.endswith(".cue")
    }
    definitions: dict[str, Value] = {}
    for struct in structs.values():
        definitions.update(_definitions(struct))
    root = structs[ROOT_SCHEMA]
    return resolve(Struct(_own_fields(root), False, True, root.location), definitions)


def _is_definition(name: str) -> bool:
    return name.startswith("#")


def _definitions(struct: Struct) -> dict[str, Value]:
    return {name: field.value for name, field in struct.fields.items() if _is_definition(name)}


def _own_fields(struct: Struct) -> dict[str, Field]:
    return {name: field for name, field in struct.fields.items() if not _is_definition(name)}


def read(text: str, file: str) -> dict[str, Any]:
    """The plain settings of an operator file's text, with defaults filled in.

    Args:
        text: The text.
        file: The name that faults give.

    Raises:
        OperatorConfigError: With every fault at once, by line.
    """
    try:
        return _read(text, file)
    except RecursionError:
        raise OperatorConfigError([Diagnostic(file, 1, (), "is nested too deeply")]) from None


def _read(text: str, file: str) -> dict[str, Any]:
    struct = parse(text, file)
    own = resolve(struct._replace(fields=_own_fields(struct)), _definitions(struct))
    diagnostics: list[Diagnostic] = []
    unified = unify(load_schema(), own, (), diagnostics)
    settings: dict[str, Any] = to_plain(unified, (), diagnostics, own.location)
    if diagnostics:
        first_line = max(own.location.line, 1)
        # A fault located in a schema is about what was left out: it gets the file's first line.
        located = (
            diagnostic
            if diagnostic.file == file
            else diagnostic._replace(file=file, line=first_line)
            for diagnostic in set(diagnostics)
        )
        raise OperatorConfigError(
            sorted(located, key=lambda diagnostic: (diagnostic.line, str(diagnostic)))
        )
    return settings


def to_record(kind: type[Record], settings: dict[str, Any]) -> Record:
    """A NamedTuple of plain settings: records for mappings, tuples for lists, None for absent keys.

    Args:
        kind: The NamedTuple; its fields are named after the keys. A field whose key is a word of
            Python's ends in an underscore.
        settings: The plain settings.
    """
    values: dict[str, Any] = {}
    for name, hint in get_type_hints(kind).items():
        value = settings.get(name.rstrip("_"))
        inner: Any = getattr(hint, "__args__", (hint,))[0] if value is not None else None
        if isinstance(value, dict):
            value = to_record(hint if hasattr(hint, "_fields") else inner, value)
        elif isinstance(value, list):
            value = tuple(
                to_record(inner, element) if isinstance(element, dict) else element
                for element in value
            )
        values[name] = value
    return kind(**values)


def load(path: str) -> dict[str, Any]:
    """The plain settings of the operator file at a path.

    Raises:
        OperatorConfigError: With every fault at once, by line.
    """
    try:
        with open(path, encoding="utf-8") as source:
            text = source.read(MAX_FILE_SIZE + 1)
    except OSError as error:
        reason = os.strerror(error.errno or 0)
        raise OperatorConfigError([Diagnostic(path, 0, (), f"can't be read: {reason}")]) from None
    except UnicodeDecodeError:
        raise OperatorConfigError([Diagnostic(path, 0, (), "is no UTF-8")]) from None
    return read(text, path)


def line_prefix(path: str, keys: tuple[str, ...]) -> str:
    """Where a file tells the value behind these keys, or the nearest one around it, as "7:"."""
    with open(path, encoding="utf-8") as source:
        value: Value = parse(source.read(MAX_FILE_SIZE), path)
    for key in keys:
        field = value.fields.get(key) if isinstance(value, Struct) else None
        if field is None:
            break
        value = field.value
    return f"{value.location.line}:"


__all__ = ["OperatorConfigError", "line_prefix", "load", "load_schema", "read", "to_record"]

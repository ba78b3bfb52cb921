"""Loads operator files: parses them, unifies them with the schema, makes typed records."""

import os
from importlib import resources
from typing import Any, TypeVar, get_type_hints

from .errors import Diagnostic, OperatorConfigError
from .evaluation import resolve, to_plain
from .grammar import MAX_FILE_SIZE, parse
from .unification import unify
from .values import Field, Struct, Value

ROOT_SCHEMA_FILE = "operator.cue"
"""The schema file with the top-level fields; the other schema files hold definitions."""

Record = TypeVar("Record")


def load_schema() -> Value:
    """Returns the schema of operator files, with all references resolved."""
    folder = resources.files(__package__) / "schema"
    structs = {
        file.name: parse(file.read_text(encoding="utf-8"), f"schema/{file.name}")
        for file in sorted(folder.iterdir(), key=lambda entry: entry.name)
        if file.name.endswith(".cue")
    }
    definitions: dict[str, Value] = {}
    for struct in structs.values():
        definitions.update(_definitions(struct))
    root = structs[ROOT_SCHEMA_FILE]
    return resolve(Struct(_non_definition_fields(root), False, True, root.location), definitions)


def _is_definition(name: str) -> bool:
    return name.startswith("#")


def _definitions(struct: Struct) -> dict[str, Value]:
    return {name: field.value for name, field in struct.fields.items() if _is_definition(name)}


def _non_definition_fields(struct: Struct) -> dict[str, Field]:
    return {name: field for name, field in struct.fields.items() if not _is_definition(name)}


def parse_settings(text: str, file: str) -> dict[str, Any]:
    """Parses the text of an operator file into plain settings with defaults.

    Args:
        text: The text.
        file: Name of the file for error messages.

    Raises:
        OperatorConfigError: The file is invalid. Errors against the schema are reported all at
            once, ordered by line; a syntax error is reported alone.
    """
    try:
        return _parse_settings(text, file)
    except RecursionError:
        raise OperatorConfigError(
            [Diagnostic(file, 1, (), "values are nested too deeply")]
        ) from None


def _parse_settings(text: str, file: str) -> dict[str, Any]:
    struct = parse(text, file)
    resolved = resolve(struct._replace(fields=_non_definition_fields(struct)), _definitions(struct))
    diagnostics: list[Diagnostic] = []
    unified = unify(load_schema(), resolved, (), diagnostics)
    settings: dict[str, Any] = to_plain(unified, (), diagnostics, resolved.location)
    if diagnostics:
        first_line = max(resolved.location.line, 1)
        # An error located in the schema concerns an omitted value: report the file's first line.
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


def to_record(record_type: type[Record], settings: dict[str, Any]) -> Record:
    """Converts plain settings to a NamedTuple.

    Dicts become records, lists become tuples, and absent keys become None.

    Args:
        record_type: The NamedTuple, with fields named after the keys. The field of a key that is a
            Python keyword has a trailing underscore.
        settings: The plain settings.
    """
    values: dict[str, Any] = {}
    for name, hint in get_type_hints(record_type).items():
        value = settings.get(name.rstrip("_"))
        element_type: Any = getattr(hint, "__args__", (hint,))[0] if value is not None else None
        if isinstance(value, dict):
            value = to_record(hint if hasattr(hint, "_fields") else element_type, value)
        elif isinstance(value, list):
            value = tuple(
                to_record(element_type, element) if isinstance(element, dict) else element
                for element in value
            )
        values[name] = value
    return record_type(**values)


def load(path: str) -> dict[str, Any]:
    """Loads the operator file at a path and returns its plain settings with defaults.

    Raises:
        OperatorConfigError: The file can't be read or is invalid; see `parse_settings`.
    """
    try:
        with open(path, encoding="utf-8") as source:
            text = source.read(MAX_FILE_SIZE + 1)
    except OSError as error:
        reason = os.strerror(error.errno or 0)
        raise OperatorConfigError([Diagnostic(path, 0, (), f"can't be read: {reason}")]) from None
    except UnicodeDecodeError:
        raise OperatorConfigError([Diagnostic(path, 0, (), "is not valid UTF-8")]) from None
    return parse_settings(text, path)


def line_prefix(path: str, keys: tuple[str, ...]) -> str:
    """Returns the line of a value, or of the innermost existing value around it, such as "7:"."""
    with open(path, encoding="utf-8") as source:
        value: Value = parse(source.read(MAX_FILE_SIZE), path)
    for key in keys:
        field = value.fields.get(key) if isinstance(value, Struct) else None
        if field is None:
            break
        value = field.value
    return f"{value.location.line}:"


__all__ = [
    "OperatorConfigError",
    "line_prefix",
    "load",
    "load_schema",
    "parse_settings",
    "to_record",
]

"""Reads an operator's file, unifies it with the schemas of the package, and gives typed records."""

import os
from importlib import resources
from typing import get_type_hints

from .grammar import MOST_BYTES, parse
from .unification import Fault, OperatorConfigError, Struct, concrete, meet, resolved

VARIABLE = "THYMEKNOT_OPERATOR"


def schema():
    """What an operator's file may hold: the struct of operator.cue, with the definitions of all schema files."""
    definitions, top = {}, None
    folder = resources.files(__package__) / "schema"
    for file in sorted(folder.iterdir(), key=lambda one: one.name):
        if file.name.endswith(".cue"):
            told = parse(file.read_text(encoding="utf-8"), f"schema/{file.name}")
            definitions.update(
                {name: value for name, (value, _) in told.fields.items() if name.startswith("#")}
            )
            if file.name == "operator.cue":
                top = told
    own = {name: field for name, field in top.fields.items() if not name.startswith("#")}
    return resolved(Struct(own, False, True, top.at), definitions)


def read(text, file):
    """The plain settings of a text, defaults filled in. Raises Faulty with every fault at once."""
    told = parse(text, file)
    mine = {name: value for name, (value, _) in told.fields.items() if name.startswith("#")}
    own = {name: field for name, field in told.fields.items() if not name.startswith("#")}
    told, faults = resolved(told._replace(fields=own), mine), []
    whole = meet(schema(), told, (), faults)
    settings = concrete(whole, (), faults, told.at)
    if faults:
        # A fault of a schema's own place is one of what was left out: the file and its first line say where.
        raise OperatorConfigError(
            sorted(
                (
                    fault
                    if fault.file == file
                    else fault._replace(file=file, line=max(told.at[1], 1))
                    for fault in set(faults)
                ),
                key=lambda fault: (fault.line, str(fault)),
            )
        )
    return settings


def record(kind, settings):
    """A NamedTuple of this kind from plain settings: nested records, tuples for lists, None where left out. A field
    whose key is a word of Python's ends in an underscore."""
    values = {}
    for name, hint in get_type_hints(kind).items():
        value = settings.get(name.rstrip("_"))
        inner = getattr(hint, "__args__", (hint,))[0] if value is not None else None
        if isinstance(value, dict):
            value = record(hint if hasattr(hint, "_fields") else inner, value)
        elif isinstance(value, list):
            value = tuple(record(inner, one) if isinstance(one, dict) else one for one in value)
        values[name] = value
    return kind(**values)


def load(path):
    """The plain settings of the file at a path; relative paths in it count from its folder (`folder`)."""
    try:
        with open(path, encoding="utf-8") as source:
            text = source.read(MOST_BYTES + 1)
    except OSError as error:
        raise OperatorConfigError(
            [Fault(path, 0, (), f"can't be read: {os.strerror(error.errno)}")]
        ) from None
    except UnicodeDecodeError:
        raise OperatorConfigError([Fault(path, 0, (), "is no UTF-8")]) from None
    return read(text, path)


def line(path, keys):
    """Where a file tells the value behind these keys, as "7:", or the nearest one that it tells."""
    with open(path, encoding="utf-8") as source:
        told = parse(source.read(MOST_BYTES), path)
    for key in keys:
        field = told.fields.get(key) if isinstance(told, Struct) else None
        if field is None:
            break
        told = field[0]
    return f"{told.at[1]}:"

"""Output of the commands."""

import time
from collections.abc import Mapping
from typing import Any

import click
import orjson


def json_line(value: Any) -> str:
    """Formats a value as one line of JSON."""
    return orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS).decode()


def print_object(content: Mapping[str, Any], as_json: bool) -> None:
    """Prints an object as a line of JSON, or else its `lines`, or else indented JSON."""
    if as_json or "lines" not in content:
        fields = {name: value for name, value in content.items() if name != "lines"}
        click.echo(orjson.dumps(fields, option=0 if as_json else orjson.OPT_INDENT_2).decode())
        return
    timestamp = time.strftime("%Y-%m-%d %H:%M:%S  ", time.localtime(content["at"]))
    click.echo(timestamp + "\n".join(content["lines"]))

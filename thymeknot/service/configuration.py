"""Reads and validates the configuration, and applies defaults."""

import os
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import orjson

from ..interface.clock import Ticks
from ..interface.enums import UpdateKind
from ..interface.events import ReleaseUpdate
from ..interface.settings import ConnectionLimits, Settings
from ..protocol import deployer, discovery
from ..simulator_wire import codec


class ConfigurationError(ValueError):
    """The configuration is invalid; the message begins with the faulty key."""


class StartConfiguration(NamedTuple):
    """The configuration of a sidecar at its start. Addresses are (host, port)."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    platform: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    news: ReleaseUpdate
    known: discovery.EndpointListing
    settings: Settings
    connection_limits: ConnectionLimits


DEFAULT_SOCKETS: Final = 1024
"""Default limit of file descriptors."""
MIN_SOCKETS: Final = 64
DEFAULT_MEMORY_MB: Final = 64
"""Default limit of memory, in megabytes."""
MIN_PORT: Final = 1
MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5
MAX_ERROR_LENGTH: Final = 200
"""Maximum characters of an error message that quotes a value."""
HEXADECIMAL: Final = 16
RESERVED_CHARACTERS: Final = frozenset(".=")
"""Names with these characters are ignored, since they could be mistaken for a path."""


def flatten(value: Any, path: str = "") -> list[str]:
    """Flattens the nested settings into the name=value pairs of the simulator's protocol."""
    if isinstance(value, dict):
        return [
            pair
            for name, inner in value.items()
            if not RESERVED_CHARACTERS & set(name)
            for pair in flatten(inner, f"{path}.{name}" if path else name)
        ]
    if isinstance(value, list):
        if value and all(isinstance(inner, dict) for inner in value):
            listed = [
                pair
                for index, inner in enumerate(value)
                for pair in flatten(inner, f"{path}.{index}")
            ]
            return [f"{path}.count={len(value)}", *listed]
        return [f"{path}=" + ",".join(_text(inner) for inner in value)]
    return [f"{path}={_text(value)}"]


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if (
        isinstance(value, float) and value.is_integer()
    ):  # some JSON encoders write integers like this
        return str(int(value))
    return "-" if value is None else str(value)


def _value_at(value: Any, path: str, expected: type | tuple[type, ...], *default: Any) -> Any:
    """Returns the value at a dotted path, checked for its type."""
    *parents, key = path.split(".")
    for index, name in enumerate(parents, 1):
        value = value.get(name)
        value = {} if value is None else value  # null counts as missing
        if not isinstance(value, dict):
            raise ConfigurationError(
                f"{'.'.join(parents[:index])}: is not an object: {value!r}"[:MAX_ERROR_LENGTH]
            )
    value = value.get(key)
    if value is None and default:
        return default[0]
    if value is None:
        raise ConfigurationError(f"{path}: is missing")
    if not isinstance(value, expected) or (isinstance(value, bool) and expected is not bool):
        raise ConfigurationError(f"{path}: has the wrong type: {value!r}"[:MAX_ERROR_LENGTH])
    return value


def _address(value: Any, path: str) -> tuple[str, int]:
    text: str = _value_at(value, path, str)
    host, _, port = text.rpartition(":")
    if not _is_host(host) or not _is_port(port):
        message = f"{path}: is not an address with a port: {text!r}"
        raise ConfigurationError(message[:MAX_ERROR_LENGTH])
    return host, int(port)


def _is_port(text: str) -> bool:
    # int() also accepts non-ASCII digits, and is slow for a long string of digits.
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS):
        return False
    return MIN_PORT <= int(text) <= MAX_PORT


def _is_host(text: str) -> bool:
    """Returns whether Twisted can encode the host name; otherwise every use would raise."""
    try:
        return bool(text) and text.isprintable() and bool(text.encode("idna"))
    except UnicodeError:
        return False


def _seed(value: Any) -> int:
    text = _value_at(value, "seed", (str, int))
    try:
        return int(text, HEXADECIMAL) if isinstance(text, str) else int(text)
    except ValueError:
        raise ConfigurationError(f"seed: is not a hexadecimal number: {text!r}") from None


def parse(document: Any, epoch: Ticks) -> StartConfiguration:
    """Parses a configuration from a JSON object.

    Args:
        document: The decoded JSON object.
        epoch: Unix time minus the monotonic clock, in ticks.

    Raises:
        ConfigurationError: The configuration is invalid.
    """
    if not isinstance(document, dict):
        raise ConfigurationError("the configuration is not a JSON object")
    settings, connection_limits = _read_settings(document)
    return StartConfiguration(
        news=_read_release(document),
        known=_read_known(document, epoch),
        sockets=_read_sockets(document),
        memory_mb=_read_memory(document),
        name=_value_at(document, "name", str, "sidecar"),
        listen=_address(document, "listen"),
        discovery=_address(document, "discovery"),
        platform=_address(document, "deployer.address"),
        seed=_seed(document),
        settings=settings,
        connection_limits=connection_limits,
    )


def _read_settings(document: Any) -> tuple[Settings, ConnectionLimits]:
    try:
        setting_pairs = flatten(_value_at(document, "settings", dict))
    except RecursionError:
        raise ConfigurationError("settings: are nested too deeply") from None
    try:
        settings = codec.read_settings(setting_pairs)
        return settings, codec.read_connection_limits(setting_pairs)
    except codec.MalformedLineError as error:
        raise ConfigurationError(f"settings: {error}") from None


def _read_release(document: Any) -> ReleaseUpdate:
    try:
        return deployer.read_release_update(_value_at(document, "deployer.news", dict))
    except deployer.UnreadableReleaseError as error:
        raise ConfigurationError(f"deployer.news.{error}") from None


def _read_known(document: Any, epoch: Ticks) -> discovery.EndpointListing:
    try:
        return discovery.read_list(_value_at(document, "known", dict), epoch, UpdateKind.CACHED)
    except discovery.UnreadableListError as error:
        raise ConfigurationError(f"known.{error}") from None
    except OverflowError as error:  # a valid JSON number that is out of range
        raise ConfigurationError(f"known: {error}") from None


def _read_sockets(document: Any) -> int:
    sockets: int = _value_at(document, "limits.sockets", int, DEFAULT_SOCKETS)
    if sockets < MIN_SOCKETS:
        raise ConfigurationError(f"limits.sockets: {sockets} is below the minimum of {MIN_SOCKETS}")
    return sockets


def _read_memory(document: Any) -> float:
    memory: float = _value_at(document, "limits.memory_mb", (int, float), DEFAULT_MEMORY_MB)
    if memory <= 0:
        raise ConfigurationError(f"limits.memory_mb: {memory} is not positive")
    return memory


def load(environment: Mapping[str, str], epoch: Ticks) -> StartConfiguration:
    """Loads the configuration file that NODE_CONFIG names; raises ConfigurationError."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigurationError("NODE_CONFIG: is missing from the environment")
    try:
        with open(path, "rb") as source:
            document = orjson.loads(source.read())
    except OSError as error:
        reason = os.strerror(error.errno or 0)
        raise ConfigurationError(f"NODE_CONFIG: cannot be read: {reason}: {path}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"NODE_CONFIG: is not valid JSON: {error}") from None
    return parse(document, epoch)

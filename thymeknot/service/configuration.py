"""The one place where configuration is read, checked and given defaults."""

import os
from typing import NamedTuple

import orjson

from ..interface.enums import UpdateKind
from ..interface.events import ReleaseUpdate
from ..interface.settings import ConnectionLimits, Settings
from ..protocol import deployer as platform
from ..protocol import discovery
from ..simulator_wire import codec


class ConfigurationError(ValueError):
    """A configuration that can't be used. The text begins with the faulty key."""


class StartConfiguration(NamedTuple):
    """All that a sidecar is told at its start."""

    name: str
    listen: tuple
    discovery: tuple
    platform: tuple
    seed: int
    sockets: int
    news: ReleaseUpdate
    known: discovery.EndpointListing
    settings: Settings
    connection_limits: ConnectionLimits


SOCKETS = 1024  # where no limit is told
UNHEARD = set(
    ".="
)  # no setting is named with these, and such a name could pass for the path of another one


def pairs(value, path=""):
    """The settings' nested object as the wire's names and values."""
    if isinstance(value, dict):
        return [
            pair
            for name, inner in value.items()
            if not UNHEARD & set(name)
            for pair in pairs(inner, f"{path}.{name}" if path else name)
        ]
    if isinstance(value, list):
        if value and all(isinstance(inner, dict) for inner in value):
            return [f"{path}.count={len(value)}"] + [
                pair for at, inner in enumerate(value) for pair in pairs(inner, f"{path}.{at}")
            ]
        return [f"{path}=" + ",".join(_text(inner) for inner in value)]
    return [f"{path}={_text(value)}"]


def _text(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float) and value.is_integer():  # as some write a whole number
        return str(int(value))
    return "-" if value is None else str(value)


def _at(value, path, kind, *default):
    """What stands at a dotted path, checked for its type."""
    *inner, last = path.split(".")
    for at, name in enumerate(inner, 1):
        value = value.get(name)
        value = {} if value is None else value  # null is as good as left out
        if not isinstance(value, dict):
            raise ConfigurationError(f"{'.'.join(inner[:at])}: is no object: {value!r}"[:200])
    value = value.get(last)
    if value is None and default:
        return default[0]
    if value is None:
        raise ConfigurationError(f"{path}: is missing")
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ConfigurationError(f"{path}: is of a wrong type: {value!r}"[:200])
    return value


def _address(value, path):
    text = _at(value, path, str)
    host, _, port = text.rpartition(":")
    # Other digits than these are no number, and a long row of them is one that takes too long to read.
    if not _host(host) or not (
        port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536
    ):
        raise ConfigurationError(f"{path}: is no address with a port: {text!r}"[:200])
    return host, int(port)


def _host(text):
    """Whether the network library can look for it: what it can't encode, it raises at every use."""
    try:
        return bool(text) and text.isprintable() and bool(text.encode("idna"))
    except UnicodeError:
        return False


def _seed(value):
    text = _at(value, "seed", (str, int))
    try:
        return int(text, 16) if isinstance(text, str) else text
    except ValueError:
        raise ConfigurationError(f"seed: is no hexadecimal number: {text!r}") from None


def read(told, epoch):
    """The Start that an object tells. epoch: Unix time less the clock, in tenths of a millisecond."""
    if not isinstance(told, dict):
        raise ConfigurationError("the configuration is no object")
    try:
        setting_pairs = pairs(_at(told, "settings", dict))
    except RecursionError:
        raise ConfigurationError("settings: are nested too deep") from None
    try:
        settings = codec.read_settings(setting_pairs)
        connection_limits = codec.read_connection_limits(setting_pairs)
    except codec.MalformedLineError as error:
        raise ConfigurationError(f"settings: {error}") from None
    try:
        news = platform.read_news(_at(told, "deployer.news", dict))
    except platform.UnreadableReleaseError as error:
        raise ConfigurationError(f"deployer.news.{error}") from None
    try:
        known = discovery.read_list(_at(told, "known", dict), epoch, UpdateKind.CACHED)
    except discovery.UnreadableListError as error:
        raise ConfigurationError(f"known.{error}") from None
    except (
        OverflowError
    ) as error:  # a number that reads well and leaves its bounds where it is used
        raise ConfigurationError(f"known: {error}") from None
    sockets = _at(told, "limits.sockets", int, SOCKETS)
    if sockets < 64:
        raise ConfigurationError(f"limits.sockets: {sockets} are too few, 64 at least")
    return StartConfiguration(
        _at(told, "name", str, "sidecar"),
        _address(told, "listen"),
        _address(told, "discovery"),
        _address(told, "deployer.address"),
        _seed(told),
        sockets,
        news,
        known,
        settings,
        connection_limits,
    )


def load(environment, epoch):
    """The Start of the file that NODE_CONFIG names."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigurationError("NODE_CONFIG: is missing from the environment")
    try:
        with open(path, "rb") as source:
            told = orjson.loads(source.read())
    except OSError as error:
        raise ConfigurationError(
            f"NODE_CONFIG: can't be read: {os.strerror(error.errno)}: {path}"
        ) from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"NODE_CONFIG: is no JSON: {error}") from None
    return read(told, epoch)

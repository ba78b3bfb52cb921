"""Decodes the simulator's lines to events and settings, and encodes actions as lines.

Only names and units are translated. The names on the lines and of the settings are defined by the
simulator; its times are in nanoseconds.
"""

import base64
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, TypeVar

from ..interface.actions import (
    Action,
    CancelAttempt,
    CastVote,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    LogNote,
    ProbeEndpoint,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    SubscribeToEndpoints,
)
from ..interface.clock import Ticks
from ..interface.enums import (
    UTILISATION,
    DeduplicationScope,
    EndpointCondition,
    Idempotency,
    Outcome,
    PromotionMode,
    ReleasePhase,
    UpdateKind,
)
from ..interface.events import (
    AttemptEnded,
    ClientDisconnected,
    ComplaintReceived,
    Endpoint,
    Event,
    FleetCounts,
    PeerMessage,
    ProbeEnded,
    ReleaseUpdate,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from ..interface.settings import ConnectionLimits, RequestClass, Settings

Value = TypeVar("Value")
Decoder = Callable[[str], Any]
"""Decodes one value of a line. Raises ValueError or KeyError."""

NANOSECONDS_PER_TICK = 100_000
MIN_RATE = 1e-6
"""Minimum rate per second: at a lower one the time between two events overflows the tick range."""
MAX_INTEGER = 2**63
"""Maximum integer; converting a larger one to a float may fail in the middle of a decision."""

OUTCOMES = {
    "delivered": Outcome.DONE,
    "app_error": Outcome.ERROR,
    "shed": Outcome.REJECTED,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.RESET,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.NOT_SENT,
}
UPDATE_KINDS = {
    "delta": UpdateKind.DELTA,
    "full": UpdateKind.FULL,
    "cached": UpdateKind.CACHED,
    "failed": UpdateKind.FETCH_FAILED,
}
CONDITIONS = {
    "on": EndpointCondition.READY,
    "fading": EndpointCondition.DRAINING,
    "off": EndpointCondition.GONE,
}
IDEMPOTENCY = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
PROMOTION_MODES = {
    "first_voice": PromotionMode.FIRST_VOTE,
    "by_count": PromotionMode.QUORUM,
    "automatic": PromotionMode.TIMER,
}
LISTS_POLLED = {"automatic": False, "subscribe": True}
REPLACES_MACHINES = {"parallel": False, "replace": True}
EXPOSURE_BY_CLASS = {"all": False, "each_class": True}
LOAD_METRICS = {"busy": UTILISATION}
PHASES = {
    "0": ReleasePhase.ON_TRIAL,
    "1": ReleasePhase.ROLLING_BACK,
    "2": ReleasePhase.RELEASED,
    "3": ReleasePhase.WITHDRAWN,
}
FLAGS = {"0": False, "1": True}
BOOLEANS = {"false": False, "true": True, "0": False, "1": True}


class MalformedLineError(ValueError):
    """A line violates the protocol."""


def read_time(text: str) -> Ticks:
    """Converts nanoseconds to ticks.

    Raises:
        ValueError: The text is not an integer.
    """
    return int(text) // NANOSECONDS_PER_TICK


def _non_negative_int(text: str) -> int:
    value = int(text)
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"not between 0 and 2^63: {text}")
    return value


def _duration(text: str) -> Ticks:
    return _non_negative_int(text) // NANOSECONDS_PER_TICK


def _non_empty(text: str) -> str:
    if text == "-" or not text:
        raise ValueError("empty")
    return text


def _optional(decode: Decoder) -> Decoder:
    return lambda text: None if text == "-" else decode(text)


def _tenant(text: str) -> str | None:
    return None if text in ("-", "0") else text


def _load_report(text: str) -> tuple[float, ...] | None:
    return None if text == "-" else tuple(float(value) for value in text.split(","))


def _message_content(text: str) -> bytes:
    return b"" if text == "-" else base64.b64decode(text, validate=True)


def _start_time(text: str) -> Ticks:
    return 0 if text == "-" else read_time(text)


_outcome = OUTCOMES.__getitem__
_flag = FLAGS.__getitem__
_phase = PHASES.__getitem__


class EventLine(NamedTuple):
    """How a line is decoded to an event."""

    event: Callable[..., Event]
    decoders: tuple[Decoder, ...]
    """The decoder of each field, in the order of the event's fields."""
    positions: tuple[int, ...] | None = None
    """The position of each field on the line; None if the line has the event's order."""


EVENTS = {
    "INGRESS": EventLine(
        RequestReceived,
        (
            _non_empty,
            _non_empty,
            _tenant,
            _optional(_non_empty),
            read_time,
            _optional(_duration),
            _flag,
            _flag,
        ),
    ),
    "FIRST": EventLine(
        ResponseStarted, (_non_empty, _non_empty, _non_negative_int, _duration), (0, 2, 3, 1)
    ),
    "RESULT": EventLine(
        AttemptEnded,
        (_non_empty, _outcome, _flag, _duration, _non_empty, _non_negative_int, _load_report),
    ),
    "GONE": EventLine(ClientDisconnected, (_non_empty,)),
    "TICK_DUE": EventLine(TimerFired, (_non_negative_int,)),
    "HEALTH": EventLine(ProbeEnded, (_non_empty, _outcome, _duration, _load_report)),
    "MAIL": EventLine(PeerMessage, (_non_negative_int, _message_content)),
    "ROLLOUT_STATE": EventLine(
        ReleaseUpdate,
        (
            _non_negative_int,
            _optional(_non_negative_int),
            _optional(_phase),
            _flag,
            _outcome,
            _optional(float),
            _optional(_duration),
        ),
    ),
    "PLATFORM_SAW": EventLine(
        FleetCounts,
        (_non_negative_int, _non_empty, _non_negative_int, _non_negative_int, _duration, _duration),
    ),
    "FLAGGED": EventLine(ComplaintReceived, (_duration, _non_empty, _non_empty)),
}


def read_event(name: str, values: Sequence[str]) -> Event:
    """Decodes an event line, given its name and the values after the instance.

    Raises:
        MalformedLineError: The number of values is wrong, or a value is invalid.
    """
    event, decoders, positions = EVENTS[name]
    if len(values) != len(decoders):
        raise MalformedLineError(
            f"{name} takes {len(decoders)} values after the instance, not {len(values)}"
        )
    if positions:
        values = [values[position] for position in positions]
    try:
        return event(*[decode(value) for decode, value in zip(decoders, values)])
    except (ValueError, KeyError) as error:
        raise MalformedLineError(f"{name}: invalid value ({error})") from None


def read_endpoint(values: Sequence[str]) -> Endpoint:
    """Decodes the endpoint on an ENTRY line.

    Raises:
        MalformedLineError: The number of values is wrong, or a value is invalid.
    """
    try:
        zone, size, cell, condition, started, address, machine, build = values
        return Endpoint(
            _non_empty(address),
            zone,
            float(size),
            int(cell),
            CONDITIONS[condition],
            _start_time(started),
            machine,
            int(float(build)),
        )
    except (ValueError, KeyError) as error:
        raise MalformedLineError(f"ENTRY: invalid value ({error})") from None


class _SettingPairs:
    """The settings on a NEW_INSTANCE line: name=value pairs, read by name."""

    def __init__(self, pairs: Iterable[str]) -> None:
        self._values: dict[str, str] = dict(pair.partition("=")[::2] for pair in pairs)

    def read(self, name: str, decode: Callable[[str], Value]) -> Value:
        """Returns the decoded value of a setting.

        Raises:
            MalformedLineError: The setting is missing or invalid.
        """
        if name not in self._values:
            raise MalformedLineError(f"required setting {name} is missing")
        try:
            return decode(self._values[name])
        except (ValueError, KeyError):
            raise MalformedLineError(
                f"setting {name} has an invalid value: {self._values[name]!r}"
            ) from None

    def read_if_required(
        self, required: bool, name: str, decode: Callable[[str], Value], default: Value
    ) -> Value:
        """Returns the decoded value of a setting, or the default if it is optional and not set.

        Raises:
            MalformedLineError: The setting is missing though required, or invalid.
        """
        if not required and self._values.get(name, "-") == "-":
            return default
        return self.read(name, decode)


def _positive(text: str) -> float:
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(text)
    return value


def _rate(text: str) -> float:
    value = _positive(text)
    if value < MIN_RATE:
        raise ValueError(text)
    return value


def _positive_duration(text: str) -> Ticks:
    value = _duration(text)
    if not value:
        raise ValueError(text)
    return value


def _fraction(text: str) -> float:
    value = float(text)
    if not 0 <= value <= 1:
        raise ValueError(text)
    return value


def _fractions(text: str) -> tuple[float, ...]:
    return tuple(_fraction(fraction) for fraction in text.split(","))


def _load_metrics(text: str) -> tuple[str, ...]:
    return tuple(LOAD_METRICS.get(name, name) for name in text.split(",") if name)


def _positive_int(text: str) -> int:
    value = _non_negative_int(text)
    if not value:
        raise ValueError(text)
    return value


def _vote_threshold(text: str) -> int:
    return max(
        1, _non_negative_int(text)
    )  # with 0, each instance votes as if its vote alone decided


def _non_negative_float(text: str) -> float:
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError(text)
    return value


_boolean = BOOLEANS.__getitem__


def _request_class(settings: _SettingPairs, index: int) -> RequestClass:
    prefix = f"categories.{index}."
    name = settings.read(prefix + "name", _non_empty)
    idempotency = settings.read(prefix + "semantics", IDEMPOTENCY.__getitem__)
    keyed = idempotency == Idempotency.KEYED
    return RequestClass(
        name=name,
        idempotency=idempotency,
        deduplication_scope=settings.read_if_required(
            keyed,
            prefix + "key_scope",
            DEDUPLICATION_SCOPES.__getitem__,
            DeduplicationScope.ALL,
        ),
        deduplication_window=settings.read_if_required(keyed, prefix + "window", _duration, 0),
        latency_objective=settings.read(prefix + "promise", _positive_duration),
        outer_limit=settings.read(prefix + "give_up", _positive_duration),
        priority_weight=settings.read(prefix + "worth", _non_negative_float),
        late_priority_weight=settings.read(prefix + "late_worth", _non_negative_float),
    )


def _request_classes(settings: _SettingPairs) -> dict[str, RequestClass]:
    count = settings.read("categories.count", _positive_int)
    request_classes = [_request_class(settings, index) for index in range(count)]
    by_name: dict[str, RequestClass] = {}
    for index, request_class in enumerate(request_classes):
        if (
            request_class.name in by_name
        ):  # requests of one class would be served with the limits of the other
            raise MalformedLineError(
                f"setting categories.{index}.name is not unique: {request_class.name!r}"
            )
        by_name[request_class.name] = request_class
    return by_name


def read_settings(pairs: Iterable[str]) -> Settings:
    """Decodes the engine's settings from a NEW_INSTANCE line's name=value pairs.

    Raises:
        MalformedLineError: A setting is missing, invalid, or a class name is repeated; the text
            names the setting.
    """
    settings = _SettingPairs(pairs)
    read = settings.read
    read_if_required = settings.read_if_required
    request_classes = _request_classes(settings)
    lists_polled = read("discovery", LISTS_POLLED.__getitem__)
    retry_after_allowed = read("permissions.retry_after", _boolean)
    return Settings(
        request_classes=request_classes,
        instances=read("balancers", _positive_int),
        lists_polled=lists_polled,
        max_attempts=read("permissions.max_attempts", _positive_int),
        max_retry_after=read_if_required(
            retry_after_allowed, "permissions.max_retry_after", _duration, 0
        ),
        hedging_allowed=read("permissions.second_copies", _boolean),
        cancellation_allowed=read("permissions.may_cancel", _boolean),
        retry_after_allowed=retry_after_allowed,
        load_metrics=read_if_required(False, "stats.names", _load_metrics, ()),
        poll_within=read_if_required(lists_polled, "rules.ask_within", _duration, 0),
        warmup_initial_fraction=read("rules.cold_from", _fraction),
        warmup_duration=read("rules.cold", _duration),
        overload_factor=read("rules.fall_multiple", _positive),
        overload_window=read("rules.overload_for", _positive_duration),
        exposure_window=read("extra.window", _positive_duration),
        exposure_allowance=read("extra.allowance", _non_negative_float),
        guarded_stages=read("extra.guarded_stages", _non_negative_int),
        stage_fractions=read("extra.waves", _fractions),
        exposure_by_class=read("extra.counts", EXPOSURE_BY_CLASS.__getitem__),
        sticky_keys=read("extra.keys_stay", _boolean),
        replaces_machines=read("extra.swap", REPLACES_MACHINES.__getitem__),
        promotion_mode=read("extra.decided_by", PROMOTION_MODES.__getitem__),
        votes_to_revert=read("extra.votes_to_revert", _vote_threshold),
        vote_lifetime=read("extra.vote_life", _positive_duration),
        vote_timeout=read("extra.vote_wait", _positive_duration),
        votes_per_second=read("extra.calls_per_s", _rate),
        drain_grace=read_if_required(
            False, "rules.drain_grace", _duration, Settings._field_defaults["drain_grace"]
        ),
    )


def read_connection_limits(pairs: Iterable[str]) -> ConnectionLimits:
    """Decodes the connection limits from the same pairs.

    Raises:
        MalformedLineError: A setting is missing or invalid; the text names it.
    """
    read = _SettingPairs(pairs).read
    return ConnectionLimits(
        connect_timeout=read("permissions.connect_timeout", _positive_duration),
        idle_timeout=read("permissions.conn_idle", _positive_duration),
        max_open=read("permissions.max_open", _positive_int),
    )


# The encoder of each action; its line has {} in place of the instance.
ACTIONS: dict[type, Callable[[Any], str]] = {
    SendAttempt: lambda action: (
        f"TRY {{}} {action.id} {action.endpoint} {action.timeout * NANOSECONDS_PER_TICK}"
    ),
    CancelAttempt: lambda action: f"ABANDON {{}} {action.id} {action.number}",
    Reject: lambda action: f"REJECT {{}} {action.id} {action.retry_after * NANOSECONDS_PER_TICK}",
    Fail: lambda action: f"RESPOND_ERROR {{}} {action.id}",
    SetTimer: lambda action: f"NOTIFY_ME {{}} {action.at * NANOSECONDS_PER_TICK} {action.token}",
    ProbeEndpoint: lambda action: f"TEST {{}} {action.endpoint}",
    CloseIdleConnections: lambda action: f"SHUT_IDLE {{}} {action.endpoint}",
    SendPeerMessage: lambda action: (
        f"POST {{}} {'all' if action.peer is None else action.peer} {_base64(action.content)}"
    ),
    SubscribeToEndpoints: lambda action: f"TAIL {{}} {int(action.on)}",
    FetchEndpoints: lambda action: "FETCH {}",
    CastVote: lambda action: f"VERDICT {{}} {action.build} {action.stage} {action.verdict}",
    LogNote: lambda action: f"TRACE {{}} {_single_line(action.text)}",
}


def _base64(content: bytes) -> str:
    return base64.b64encode(content).decode() or "-"


def _single_line(text: str) -> str:
    return " ".join(text.replace("{", "(").replace("}", ")").split())


def write_action(instance: str, action: Action) -> str:
    """Encodes an action of an instance as a line."""
    return ACTIONS[type(action)](action).format(instance)


def write_fault(instance: str, reason: str) -> str:
    """Encodes a FAULT line, which reports that the decision engine raised an exception."""
    return f"FAULT {instance} {_single_line(reason)}"

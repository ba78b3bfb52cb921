"""The simulator's wire: its lines to events and Terms, actions to its lines. Names and units only."""

import base64

from ..interface.actions import (
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
    FleetCounts,
    PeerMessage,
    ProbeEnded,
    ReleaseUpdate,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from ..interface.settings import ConnectionLimits, RequestClass, Settings

UNIT = 100_000  # nanoseconds in a tenth of a millisecond
LEAST_RATE = 1e-6  # a second; less is no rate, and the time between two leaves the numbers
MOST = (
    2**63
)  # of a whole number: more may not be a float any more, and ends in the middle of a decision

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
LIST_KINDS = {
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
EFFECTS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
GROUPS = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
DECIDERS = {
    "first_voice": PromotionMode.FIRST_VOTE,
    "by_count": PromotionMode.QUORUM,
    "automatic": PromotionMode.TIMER,
}
DISCOVERIES = {"automatic": False, "subscribe": True}
SWAPS = {"parallel": False, "replace": True}
COUNTS = {"all": False, "each_class": True}
REPORTS = {"busy": UTILISATION}
PHASES = {
    "0": ReleasePhase.ON_TRIAL,
    "1": ReleasePhase.ROLLING_BACK,
    "2": ReleasePhase.RELEASED,
    "3": ReleasePhase.WITHDRAWN,
}
FLAGS = {"0": False, "1": True}
BOOLS = {"false": False, "true": True, "0": False, "1": True}


class MalformedLineError(ValueError):
    """A line that the wire does not allow."""


def read_time(text):
    return int(text) // UNIT


def _count(text):
    value = int(text)
    if not 0 <= value <= MOST:
        raise ValueError(f"not from 0 to 2^63: {text}")
    return value


def _span(text):
    return _count(text) // UNIT


def _text(text):
    if text == "-" or not text:
        raise ValueError("empty")
    return text


def _maybe(decode):
    return lambda text: None if text == "-" else decode(text)


def _tenant(text):
    return None if text in ("-", "0") else text


def _load(text):
    return None if text == "-" else tuple(float(v) for v in text.split(","))


def _content(text):
    return b"" if text == "-" else base64.b64decode(text, validate=True)


def _since(text):
    return 0 if text == "-" else int(text) // UNIT


_OUTCOME, _FLAG, _PHASE = OUTCOMES.__getitem__, FLAGS.__getitem__, PHASES.__getitem__

# Message name -> (event, how each value is read, in the event's order, places of the values on the line).
EVENTS = {
    "INGRESS": (
        RequestReceived,
        (_text, _text, _tenant, _maybe(_text), read_time, _maybe(_span), _FLAG, _FLAG),
        None,
    ),
    "FIRST": (ResponseStarted, (_text, _text, _count, _span), (0, 2, 3, 1)),
    "RESULT": (AttemptEnded, (_text, _OUTCOME, _FLAG, _span, _text, _count, _load), None),
    "GONE": (ClientDisconnected, (_text,), None),
    "TICK_DUE": (TimerFired, (_count,), None),
    "HEALTH": (ProbeEnded, (_text, _OUTCOME, _span, _load), None),
    "MAIL": (PeerMessage, (_count, _content), None),
    "ROLLOUT_STATE": (
        ReleaseUpdate,
        (_count, _maybe(_count), _maybe(_PHASE), _FLAG, _OUTCOME, _maybe(float), _maybe(_span)),
        None,
    ),
    "PLATFORM_SAW": (FleetCounts, (_count, _text, _count, _count, _span, _span), None),
    "FLAGGED": (ComplaintReceived, (_span, _text, _text), None),
}


def read_event(name, values):
    """The event of a line: its name and the values after the instance."""
    shape, decoders, places = EVENTS[name]
    if len(values) != len(decoders):
        raise MalformedLineError(
            f"{name} takes {len(decoders)} values after the instance, not {len(values)}"
        )
    if places:
        values = [values[place] for place in places]
    try:
        return shape(*[decode(value) for decode, value in zip(decoders, values)])
    except (ValueError, KeyError) as error:
        raise MalformedLineError(f"{name}: bad value ({error})") from None


def read_endpoint(values):
    """The pod of an ENTRY line."""
    try:
        zone, size, cell, condition, started, address, machine, build = values
        return Endpoint(
            _text(address),
            zone,
            float(size),
            int(cell),
            CONDITIONS[condition],
            _since(started),
            machine,
            int(float(build)),
        )
    except (ValueError, KeyError) as error:
        raise MalformedLineError(f"ENTRY: bad value ({error})") from None


class _SettingPairs:
    """The pairs of a NEW_INSTANCE line, each asked for by name."""

    def __init__(self, pairs):
        self.values = dict(pair.partition("=")[::2] for pair in pairs)

    def read(self, name, decode, unheard=None, heard=True):
        """unheard: what stands for a setting that may be left out, as no decision looks at it where it is not heard."""
        if not heard and self.values.get(name, "-") == "-":
            return unheard
        if name not in self.values:
            raise MalformedLineError(f"required setting {name} is missing")
        try:
            value = decode(self.values[name])
        except (ValueError, KeyError):
            raise MalformedLineError(
                f"setting {name} makes no sense: {self.values[name]!r}"
            ) from None
        return value


def _positive(text):
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(text)
    return value


def _rate(text):
    value = _positive(text)
    if value < LEAST_RATE:
        raise ValueError(text)
    return value


def _length(text):
    value = _span(text)
    if not value:
        raise ValueError(text)
    return value


def _share(text):
    value = float(text)
    if not 0 <= value <= 1:
        raise ValueError(text)
    return value


def _shares(text):
    return tuple(_share(share) for share in text.split(","))


def _report_names(text):
    return tuple(REPORTS.get(name, name) for name in text.split(",") if name)


def _whole(text):
    value = _count(text)
    if not value:
        raise ValueError(text)
    return value


def _voters(text):
    return max(1, _count(text))  # where none is needed each votes as if it decided alone


def _amount(text):
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError(text)
    return value


def _lane(read, at):
    def own(name, *how):
        return read(f"categories.{at}.{name}", *how)

    name, effect = own("name", _text), own("semantics", EFFECTS.__getitem__)
    marked = effect == Idempotency.KEYED
    return RequestClass(
        name,
        effect,
        own("key_scope", GROUPS.__getitem__, DeduplicationScope.ALL, marked),
        own("window", _span, 0, marked),
        own("promise", _length),
        own("give_up", _length),
        own("worth", _amount),
        own("late_worth", _amount),
    )


def read_settings(pairs):
    """The Terms of a NEW_INSTANCE line's settings."""
    read = _SettingPairs(pairs).read
    request_classes = [_lane(read, at) for at in range(read("categories.count", _whole))]
    bools = BOOLS.__getitem__
    names = set()
    for at, request_class in enumerate(request_classes):
        if request_class.name in names:  # one of them would be served by the limits of the other
            raise MalformedLineError(
                f"setting categories.{at}.name comes twice: {request_class.name!r}"
            )
        names.add(request_class.name)
    subscribes, retry_after = (
        read("discovery", DISCOVERIES.__getitem__),
        read("permissions.retry_after", bools),
    )
    return Settings(
        request_classes={request_class.name: request_class for request_class in request_classes},
        instances=read("balancers", _whole),
        lists_polled=subscribes,
        max_attempts=read("permissions.max_attempts", _whole),
        max_retry_after=read("permissions.max_retry_after", _span, 0, retry_after),
        hedging_allowed=read("permissions.second_copies", bools),
        cancellation_allowed=read("permissions.may_cancel", bools),
        retry_after_allowed=retry_after,
        load_metrics=read("stats.names", _report_names, (), False),
        poll_within=read("rules.ask_within", _span, 0, subscribes),
        warmup_initial_fraction=read("rules.cold_from", _share),
        warmup_duration=read("rules.cold", _span),
        overload_factor=read("rules.fall_multiple", _positive),
        overload_window=read("rules.overload_for", _length),
        exposure_window=read("extra.window", _length),
        exposure_allowance=read("extra.allowance", _amount),
        guarded_stages=read("extra.guarded_stages", _count),
        stage_fractions=read("extra.waves", _shares),
        exposure_by_class=read("extra.counts", COUNTS.__getitem__),
        sticky_keys=read("extra.keys_stay", bools),
        replaces_machines=read("extra.swap", SWAPS.__getitem__),
        promotion_mode=read("extra.decided_by", DECIDERS.__getitem__),
        votes_to_revert=read("extra.votes_to_revert", _voters),
        vote_lifetime=read("extra.vote_life", _length),
        vote_timeout=read("extra.vote_wait", _length),
        votes_per_second=read("extra.calls_per_s", _rate),
    )


def read_connection_limits(pairs):
    """The bounds of connections among the same settings."""
    read = _SettingPairs(pairs).read
    return ConnectionLimits(
        connect_timeout=read("permissions.connect_timeout", _length),
        idle_timeout=read("permissions.conn_idle", _length),
        max_open=read("permissions.max_open", _whole),
    )


# Action -> the words that follow the instance on its line.
ACTIONS = {
    SendAttempt: lambda a: f"TRY {{}} {a.id} {a.endpoint} {a.timeout * UNIT}",
    CancelAttempt: lambda a: f"ABANDON {{}} {a.id} {a.number}",
    Reject: lambda a: f"REJECT {{}} {a.id} {a.retry_after * UNIT}",
    Fail: lambda a: f"RESPOND_ERROR {{}} {a.id}",
    SetTimer: lambda a: f"NOTIFY_ME {{}} {a.at * UNIT} {a.token}",
    ProbeEndpoint: lambda a: f"TEST {{}} {a.endpoint}",
    CloseIdleConnections: lambda a: f"SHUT_IDLE {{}} {a.endpoint}",
    SendPeerMessage: lambda a: (
        f"POST {{}} {'all' if a.peer is None else a.peer} {_base64(a.content)}"
    ),
    SubscribeToEndpoints: lambda a: f"TAIL {{}} {int(a.on)}",
    FetchEndpoints: lambda a: "FETCH {}",
    CastVote: lambda a: f"VERDICT {{}} {a.build} {a.stage} {a.verdict}",
    LogNote: lambda a: f"TRACE {{}} {_plain(a.text)}",
}


def _base64(content):
    return base64.b64encode(content).decode() or "-"


def _plain(text):
    return " ".join(text.replace("{", "(").replace("}", ")").split())


def write_action(instance, action):
    """The line of an action."""
    return ACTIONS[type(action)](action).format(instance)


def write_fault(instance, reason):
    """The line that says the decisions themselves failed."""
    return f"FAULT {instance} {_plain(reason)}"

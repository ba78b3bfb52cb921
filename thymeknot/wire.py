"""The simulator's wire: its lines to events and Terms, actions to its lines. Names and units only."""

import base64

from . import interface as i

UNIT = 100_000  # nanoseconds in a tenth of a millisecond
LEAST_RATE = 1e-6  # a second; less is no rate, and the time between two leaves the numbers
MOST = (
    2**63
)  # of a whole number: more may not be a float any more, and ends in the middle of a decision

OUTCOMES = {
    "delivered": i.DONE,
    "app_error": i.ERROR,
    "shed": i.FULL,
    "expired": i.EXPIRED,
    "dial_failed": i.UNCONNECTED,
    "dropped": i.RESET,
    "revoked": i.RECALLED,
    "unused": i.UNSENT,
}
LIST_KINDS = {"delta": i.CHANGES, "full": i.WHOLE, "cached": i.REMEMBERED, "failed": i.MISSED}
CONDITIONS = {"on": i.READY, "fading": i.DRAINING, "off": i.GONE}
EFFECTS = {"idempotent": i.RETRIABLE, "deduplicated": i.FINGERPRINTED, "at_most_once": i.BINDING}
GROUPS = {"all": i.GROUP_ALL, "zone": i.GROUP_ZONE, "cell": i.GROUP_CELL}
DECIDERS = {"first_voice": i.FIRST_VOICE, "by_count": i.BY_COUNT, "automatic": i.BY_CLOCK}
DISCOVERIES = {"automatic": False, "subscribe": True}
SWAPS = {"parallel": False, "replace": True}
COUNTS = {"all": False, "each_class": True}
REPORTS = {"busy": i.UTILISATION}
PHASES = {"0": i.ON_TRIAL, "1": i.GOING_BACK, "2": i.RELEASED, "3": i.WITHDRAWN}
FLAGS = {"0": False, "1": True}
BOOLS = {"false": False, "true": True, "0": False, "1": True}


class Malformed(ValueError):
    """A line that the wire does not allow."""


def time(text):
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
        i.Taken,
        (_text, _text, _tenant, _maybe(_text), time, _maybe(_span), _FLAG, _FLAG),
        None,
    ),
    "FIRST": (i.StreamBegan, (_text, _text, _count, _span), (0, 2, 3, 1)),
    "RESULT": (i.Ended, (_text, _OUTCOME, _FLAG, _span, _text, _count, _load), None),
    "GONE": (i.ClientLeft, (_text,), None),
    "TICK_DUE": (i.TimerDue, (_count,), None),
    "HEALTH": (i.Probed, (_text, _OUTCOME, _span, _load), None),
    "MAIL": (i.Message, (_count, _content), None),
    "ROLLOUT_STATE": (
        i.News,
        (_count, _maybe(_count), _maybe(_PHASE), _FLAG, _OUTCOME, _maybe(float), _maybe(_span)),
        None,
    ),
    "PLATFORM_SAW": (i.Tally, (_count, _text, _count, _count, _span, _span), None),
    "FLAGGED": (i.Complaint, (_span, _text, _text), None),
}


def event(name, values):
    """The event of a line: its name and the values after the instance."""
    shape, decoders, places = EVENTS[name]
    if len(values) != len(decoders):
        raise Malformed(
            f"{name} takes {len(decoders)} values after the instance, not {len(values)}"
        )
    if places:
        values = [values[place] for place in places]
    try:
        return shape(*[decode(value) for decode, value in zip(decoders, values)])
    except (ValueError, KeyError) as error:
        raise Malformed(f"{name}: bad value ({error})") from None


def pod(values):
    """The pod of an ENTRY line."""
    try:
        zone, size, cell, condition, started, address, machine, build = values
        return i.Pod(
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
        raise Malformed(f"ENTRY: bad value ({error})") from None


class _Settings:
    """The pairs of a NEW_INSTANCE line, each asked for by name."""

    def __init__(self, pairs):
        self.values = dict(pair.partition("=")[::2] for pair in pairs)

    def read(self, name, decode, unheard=None, heard=True):
        """unheard: what stands for a setting that may be left out, as no decision looks at it where it is not heard."""
        if not heard and self.values.get(name, "-") == "-":
            return unheard
        if name not in self.values:
            raise Malformed(f"required setting {name} is missing")
        try:
            value = decode(self.values[name])
        except (ValueError, KeyError):
            raise Malformed(f"setting {name} makes no sense: {self.values[name]!r}") from None
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
    marked = effect == i.FINGERPRINTED
    return i.Lane(
        name,
        effect,
        own("key_scope", GROUPS.__getitem__, i.GROUP_ALL, marked),
        own("window", _span, 0, marked),
        own("promise", _length),
        own("give_up", _length),
        own("worth", _amount),
        own("late_worth", _amount),
    )


def terms(pairs):
    """The Terms of a NEW_INSTANCE line's settings."""
    read = _Settings(pairs).read
    lanes = [_lane(read, at) for at in range(read("categories.count", _whole))]
    bools = BOOLS.__getitem__
    names = set()
    for at, lane in enumerate(lanes):
        if lane.name in names:  # one of them would be served by the limits of the other
            raise Malformed(f"setting categories.{at}.name comes twice: {lane.name!r}")
        names.add(lane.name)
    subscribes, retry_after = (
        read("discovery", DISCOVERIES.__getitem__),
        read("permissions.retry_after", bools),
    )
    return i.Terms(
        lanes={lane.name: lane for lane in lanes},
        balancers=read("balancers", _whole),
        subscribes=subscribes,
        max_deliveries=read("permissions.max_attempts", _whole),
        max_retry_after=read("permissions.max_retry_after", _span, 0, retry_after),
        second_copies=read("permissions.second_copies", bools),
        may_recall=read("permissions.may_cancel", bools),
        retry_after=retry_after,
        reports=read("stats.names", _report_names, (), False),
        ask_within=read("rules.ask_within", _span, 0, subscribes),
        cold_from=read("rules.cold_from", _share),
        cold=read("rules.cold", _span),
        fall_multiple=read("rules.fall_multiple", _positive),
        overload_for=read("rules.overload_for", _length),
        exposure_window=read("extra.window", _length),
        allowance=read("extra.allowance", _amount),
        guarded_stages=read("extra.guarded_stages", _count),
        waves=read("extra.waves", _shares),
        by_lane=read("extra.counts", COUNTS.__getitem__),
        keys_stay=read("extra.keys_stay", bools),
        replaces=read("extra.swap", SWAPS.__getitem__),
        decided_by=read("extra.decided_by", DECIDERS.__getitem__),
        votes_to_revert=read("extra.votes_to_revert", _voters),
        vote_life=read("extra.vote_life", _length),
        vote_wait=read("extra.vote_wait", _length),
        votes_per_s=read("extra.calls_per_s", _rate),
    )


def reach(pairs):
    """The bounds of connections among the same settings."""
    read = _Settings(pairs).read
    return i.Reach(
        connect_within=read("permissions.connect_timeout", _length),
        idle=read("permissions.conn_idle", _length),
        most_open=read("permissions.max_open", _whole),
    )


# Action -> the words that follow the instance on its line.
ACTIONS = {
    i.Deliver: lambda a: f"TRY {{}} {a.id} {a.pod} {a.time_out * UNIT}",
    i.Recall: lambda a: f"ABANDON {{}} {a.id} {a.number}",
    i.Defer: lambda a: f"REJECT {{}} {a.id} {a.wait * UNIT}",
    i.Abandon: lambda a: f"RESPOND_ERROR {{}} {a.id}",
    i.SetTimer: lambda a: f"NOTIFY_ME {{}} {a.at * UNIT} {a.token}",
    i.Probe: lambda a: f"TEST {{}} {a.pod}",
    i.CloseIdle: lambda a: f"SHUT_IDLE {{}} {a.pod}",
    i.Tell: lambda a: f"POST {{}} {'all' if a.peer is None else a.peer} {_base64(a.content)}",
    i.Subscribe: lambda a: f"TAIL {{}} {int(a.on)}",
    i.FetchList: lambda a: "FETCH {}",
    i.Vote: lambda a: f"VERDICT {{}} {a.build} {a.stage} {a.verdict}",
    i.Note: lambda a: f"TRACE {{}} {_plain(a.text)}",
}


def _base64(content):
    return base64.b64encode(content).decode() or "-"


def _plain(text):
    return " ".join(text.replace("{", "(").replace("}", ")").split())


def line(instance, action):
    """The line of an action."""
    return ACTIONS[type(action)](action).format(instance)


def fault(instance, reason):
    """The line that says the decisions themselves failed."""
    return f"FAULT {instance} {_plain(reason)}"

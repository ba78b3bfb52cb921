"""What an instance remembers of the endpoints that are listed."""

from ..interface.enums import EndpointCondition, UpdateKind
from .sliding_window import SlidingWindow


class EndpointState:
    """A pod as this instance knows it."""

    def __init__(self, listed, span):
        self.listed, self.out, self.pace, self.fails = listed, 0, 1.0, 0.0
        self.load, self.sent, self.heard, self.shunned, self.shun = (
            0.0,
            SlidingWindow(span, 15),
            0,
            0,
            0,
        )
        self.doubted = 0  # until when others' words have it turned to later
        self.lot = -1, 0.0  # span, and what chance adds to this instance's part in it
        self.place = None  # in the draw of the pods in use
        self.side = None  # True: of the newest build; False: of an earlier one

    def share(self, at, settings):
        """The part of its capacity that it has at least: it gains no slower than evenly. Never nothing: what it costs
        is divided by this, and a pod that starts at no capacity may be asked for at the moment of its start, or before
        by a clock that is behind."""
        started = self.listed.started
        if not started:  # most are: every transaction asks for a dozen of these
            return 1.0
        age = max(1, at - started)
        if age >= settings.warmup_duration:
            return 1.0
        return (
            settings.warmup_initial_fraction
            + (1 - settings.warmup_initial_fraction) * age / settings.warmup_duration
        )


def apply_update(pods, event, span):
    """The pods by address after a list: a whole one names all, a restarted or replaced pod is a new one."""
    if event.kind != UpdateKind.DELTA:
        named = {pod.address for pod in event.endpoints}
        pods = {address: known for address, known in pods.items() if address in named}
    for pod in event.endpoints:
        known = pods.get(pod.address)
        if pod.condition == EndpointCondition.GONE:
            pods.pop(pod.address, None)
        elif known and (known.listed.started, known.listed.build) == (pod.started, pod.build):
            known.listed = pod
        else:
            pods[pod.address] = EndpointState(pod, span)
    return pods


def order_by_rank(side, drop, chance):
    """The pods in the order of their lots; a new one's is as likely as any. drop: these go last."""
    first = int(min((known.place for known in side if known.place is not None), default=0))
    for known in side:
        known.place = (
            first + chance.draw() if known.place is None else known.place + (known in drop)
        )
    return sorted(side, key=lambda known: known.place)


def age_at_fraction(part, settings, most):
    """How old a pod is, at the latest, when it has this part of its capacity; most, if that is less."""
    return min(
        most,
        settings.warmup_duration
        * max(0.0, part - settings.warmup_initial_fraction)
        / max(1e-9, 1 - settings.warmup_initial_fraction),
    )

"""An instance that judges a build on trial, and outcomes that it books."""

from tests.support.decisions import NOW, balancer, news, taken
from thymeknot.policy.baseline import LatencyStats, PreTrialBaseline
from thymeknot.policy.request_lifecycle import RequestPhase
from thymeknot.state.request_state import RequestState

USUAL = {("read", "std"): LatencyStats(900, 100, 500)}


def judging(rate=50.0):
    made = balancer(told=news())
    made.baseline.pre_trial = PreTrialBaseline(USUAL, rate, 0.0)
    return made


def judged(made, outcome, address, times=1, latency=1000, key=None):
    """Books outcomes of one pod, as deliveries that ended just so."""
    for number in range(times):
        tx = RequestState(
            taken(f"{address}-{number}", key=key),
            made.context.settings.request_classes["read"],
            NOW,
            RequestPhase.NEW,
        )
        made.evidence.add_outcome(tx, made.context.endpoints[address], outcome, latency)

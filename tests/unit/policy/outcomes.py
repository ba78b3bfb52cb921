"""Helpers for tests of the evidence: an engine that evaluates a build, and attempts that ended."""

from tests.support.decisions import NOW, make_engine, make_release_update, make_request
from thymeknot.policy.baseline import LatencyStats, PreTrialBaseline
from thymeknot.policy.request_lifecycle import RequestPhase
from thymeknot.state.request_state import RequestState

USUAL_STATS = {("read", "std"): LatencyStats(900, 100, 500)}


def evaluating_engine(rate=50.0):
    engine = make_engine(release_update=make_release_update())
    engine.baseline.pre_trial = PreTrialBaseline(USUAL_STATS, rate, 0.0)
    return engine


def record_outcomes(engine, outcome, address, times=1, latency=1000, key=None):
    """Records attempts at one endpoint that ended with this outcome and latency."""
    for number in range(times):
        request = RequestState(
            make_request(f"{address}-{number}", key=key),
            engine.context.settings.request_classes["read"],
            NOW,
            RequestPhase.NEW,
        )
        engine.evidence.add_outcome(request, engine.context.endpoints[address], outcome, latency)

"""One stretch, or a ramp of them, as a program: starts the loop, tells how it goes, gives the figures."""

import time

from ..interface.clock import TICKS_PER_SECOND
from .codecs import SPEAKERS
from .driver import Driver
from .schedule import OVER, Stretch, judged, schedule


def stretches(
    host,
    port,
    plan,
    goal,
    told,
    lines=64,
    patience=2 * TICKS_PER_SECOND,
    protocol="resp2",
    ramp=None,
):
    """plan: {seed, rate, seconds, lanes, keys}. Gives a list of (rate, verdict, why, Tally); one, or as many as the
    ramp takes. told(line) hears how it goes."""
    from twisted.internet import reactor

    def clock():
        return time.monotonic_ns() // 100_000

    reactor.seconds = time.monotonic
    found, span = [], plan["seconds"] * TICKS_PER_SECOND

    def begin():
        rate = ramp.rate if ramp else plan["rate"]
        driver = Driver(reactor, clock, host, port, SPEAKERS[protocol], lines, patience)
        requests = schedule(plan["seed"] + len(found), rate, span, plan["lanes"], plan["keys"])
        driver.run(requests, span).addCallback(ended, rate).addErrback(failed)

    def ended(tally, rate):
        latency = (
            tally.all.get_value_at_percentile(100 * goal.quantile) if tally.ends["done"] else 0
        )
        stretch = Stretch(
            rate,
            latency,
            tally.ends["done"],
            sum(tally.ends.values()),
            tally.late.get_value_at_percentile(99),
            tally.due,
        )
        verdict, why = judged(stretch, goal)
        found.append((rate, verdict, why, tally))
        told(f"{rate:8.0f}/s  {verdict:9}  {why}  (done {stretch.done} of {stretch.due})")
        if ramp:
            ramp.told(verdict, why)
        if ramp and ramp.state != OVER:
            return begin()
        reactor.stop()

    def failed(failure):
        failure.printTraceback()
        reactor.stop()

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=True)
    return found

"""The holder of turns on the real sidecar: says what it wants said, drains and brings back what it wants drained."""

from ..disruption.agent import DisruptionAgent
from ..service import structured_log

BEATS = 16  # looks at the time within a bound; the holder asks for four at least


class DrainAgent:
    def __init__(self, proxy, client, unit, start, build, terms):
        """client: the seam to the keepers, for this alone. start: a number that grows with each start."""
        self.proxy, self.client, self.timers, self.clock = (
            proxy,
            client,
            proxy.timers,
            proxy.clock,
        )
        self.unit, self.beat = unit, max(1, terms.bound // BEATS)
        # How long an answer is worth waiting for: the holder takes none that is older than its bound.
        self.within, self.beating, self.closed = terms.bound, None, False
        self.holder = DisruptionAgent(unit, start, build, terms, self.clock(), True)
        self._beat()

    def _beat(self):
        if not self.closed:
            self.beating = self.timers.add(self.clock() + self.beat, self._beat)
            self._act(self.holder.due(self.clock()))

    def _act(self, effects):
        for what, *facts in effects:
            self.DO[what](self, *facts)

    def _say(self, token, command):
        self.client.propose(command, self.within).addCallback(self._told, token)

    def _told(self, reply, token):
        # What no keeper said is no word of theirs: the holder must not take it for one.
        if not self.closed and not reply.get("unknown"):
            self._act(self.holder.told(self.clock(), token, reply))

    def _drain(self, fence, build):
        structured_log.log(
            "drain started", unit=self.unit, fence=fence, transactions=len(self.proxy.transactions)
        )
        self.proxy.drain(lambda: self._emptied(fence))

    def _emptied(self, fence):
        structured_log.log("drained", unit=self.unit, fence=fence)
        self._act(self.holder.emptied(self.clock()))

    def _come(self, build):
        self._serve(lambda: self._act(self.holder.ready(self.clock(), build or self.holder.build)))

    def _serve(self, then=None):
        """Takes new work again; that it does already is as well."""
        if not self.proxy.drained:
            return

        def failed(why):
            structured_log.log("listener not reopened", unit=self.unit, why=why)
            self._act(self.holder.failed(self.clock(), why))

        def listens():
            structured_log.log("drain ended", unit=self.unit)
            if then:
                then()

        self.proxy.undrain(listens, failed)

    DO = {"say": _say, "drain": _drain, "come": _come, "serve": _serve}

    def close(self):
        self.closed = True
        self.timers.cancel(self.beating)

"""Carries out the fleet's drains on the sidecar, as the unit's agent decides them."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, ClassVar, Optional

from ..disruption.agent import DisruptionAgent
from ..disruption.targets import DisruptionSettings
from ..interface.clock import Ticks
from ..raft.client import RaftClient
from ..service import structured_log

if TYPE_CHECKING:
    from ..proxy.proxy import Proxy  # the command line needs no sidecar

POLLS_PER_BOUND = 16
"""Calls of the unit's agent within its bound: it needs four at least, and a call costs little."""


class DrainAgent:
    """The unit's agent on the real sidecar."""

    def __init__(
        self,
        proxy: "Proxy",
        *,
        client: RaftClient,
        unit: str,
        incarnation: int,
        build: str,
        settings: DisruptionSettings,
    ) -> None:
        """Starts at once.

        Args:
            proxy: The running sidecar.
            client: A client of the cluster, for this agent alone.
            unit: The unit's name.
            incarnation: A number that grows with each start.
            build: The build that the unit runs.
            settings: The durations that the fleet agreed on.
        """
        self.proxy = proxy
        self.client = client
        self.timers = proxy.timers
        self.clock = proxy.clock
        self.unit = unit
        self.interval = max(1, settings.bound // POLLS_PER_BOUND)
        # The agent takes no answer that is older than its bound, so none is waited for longer.
        self.reply_timeout: Ticks = settings.bound
        self.timer: Optional[int] = None
        self.closed = False
        self.agent = DisruptionAgent(unit, incarnation, build, settings, self.clock(), True)
        self._poll()

    def _poll(self) -> None:
        if not self.closed:
            self.timer = self.timers.add(self.clock() + self.interval, self._poll)
            self._perform(self.agent.due(self.clock()))

    def _perform(self, actions: Iterable[tuple[Any, ...]]) -> None:
        for kind, *arguments in actions:
            self.ACTION_HANDLERS[kind](self, *arguments)

    def _propose(self, token: int, command: dict[str, Any]) -> None:
        self.client.propose(command, self.reply_timeout).addCallback(self._handle_reply, token)

    def _handle_reply(self, reply: dict[str, Any], token: int) -> None:
        # An unknown outcome comes from the client, not from the cluster: it is no reply.
        if not self.closed and not reply.get("unknown"):
            self._perform(self.agent.told(self.clock(), token, reply))

    def _drain(self, fence: int, build: str) -> None:
        structured_log.log(
            "drain started",
            unit=self.unit,
            fence=fence,
            transactions=len(self.proxy.requests_in_flight),
        )
        self.proxy.drain(lambda: self._drained(fence))

    def _drained(self, fence: int) -> None:
        structured_log.log("drained", unit=self.unit, fence=fence)
        self._perform(self.agent.emptied(self.clock()))

    def _return(self, build: str) -> None:
        """Serves again, with this build or, if it is empty, with the present one."""
        self._serve(
            lambda: self._perform(self.agent.ready(self.clock(), build or self.agent.build))
        )

    def _serve(self, then: Optional[Callable[[], None]] = None) -> None:
        """Accepts requests again; does nothing if the sidecar already does.

        Args:
            then: Called once the sidecar listens.
        """
        if not self.proxy.listener_closed:
            return

        def on_failure(reason: str) -> None:
            structured_log.log("listener not reopened", unit=self.unit, why=reason)
            self._perform(self.agent.failed(self.clock(), reason))

        def on_listening() -> None:
            structured_log.log("drain ended", unit=self.unit)
            if then:
                then()

        self.proxy.undrain(on_listening, on_failure)

    ACTION_HANDLERS: ClassVar[dict[str, Callable[..., None]]] = {
        "say": _propose,
        "drain": _drain,
        "come": _return,
        "serve": _serve,
    }
    """How each effect of `disruption.agent` is carried out."""

    def close(self) -> None:
        """Ends the agent; replies that still come are ignored."""
        self.closed = True
        self.timers.cancel(self.timer)

"""Carries out the actions of the unit's disruption agent on the sidecar."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, ClassVar, Optional

from ..disruption.agent import DisruptionAgent
from ..disruption.targets import DisruptionSettings
from ..interface.clock import Ticks
from ..raft.client import RaftClient
from ..service import structured_log

if TYPE_CHECKING:
    from ..proxy.proxy import Proxy  # for types only: the command line runs without a sidecar

POLLS_PER_BOUND = 16
"""Polls of the unit's agent within its bound: it needs at least four, and a poll is cheap."""


class DrainAgent:
    """Connects the unit's disruption agent to the Raft cluster and to the running sidecar."""

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
        """Starts the agent.

        Args:
            proxy: The running sidecar.
            client: A client of the cluster that only this agent uses.
            unit: Name of the unit.
            incarnation: A number that grows with each start of the instance.
            build: The build that the unit runs.
            settings: The settings of disruption control, in particular its durations.
        """
        self.proxy = proxy
        self.client = client
        self.timers = proxy.timers
        self.clock = proxy.clock
        self.unit = unit
        self.interval = max(1, settings.bound // POLLS_PER_BOUND)
        # The agent ignores replies that are older than its bound, so waiting longer is useless.
        self.reply_timeout: Ticks = settings.bound
        self.timer: Optional[int] = None
        self.closed = False
        self.agent = DisruptionAgent(unit, incarnation, build, settings, self.clock(), True)
        self._poll()

    def _poll(self) -> None:
        if not self.closed:
            self.timer = self.timers.add(self.clock() + self.interval, self._poll)
            self._perform(self.agent.advance_time(self.clock()))

    def _perform(self, actions: Iterable[tuple[Any, ...]]) -> None:
        for kind, *arguments in actions:
            self.ACTION_HANDLERS[kind](self, *arguments)

    def _propose(self, token: int, command: dict[str, Any]) -> None:
        self.client.propose(command, self.reply_timeout).addCallback(self._handle_reply, token)

    def _handle_reply(self, reply: dict[str, Any], token: int) -> None:
        # An unknown outcome is reported by the client, not by the cluster, so it is not a reply.
        if not self.closed and not reply.get("unknown"):
            self._perform(self.agent.receive_reply(self.clock(), token, reply))

    def _start_drain(self, fencing_token: int, build: str) -> None:
        structured_log.log(
            "drain started",
            unit=self.unit,
            fence=fencing_token,
            transactions=len(self.proxy.requests_in_flight),
        )
        self.proxy.drain(lambda: self._finish_drain(fencing_token))

    def _finish_drain(self, fencing_token: int) -> None:
        structured_log.log("drained", unit=self.unit, fence=fencing_token)
        self._perform(self.agent.finish_drain(self.clock()))

    def _return(self, build: str) -> None:
        """Serves again, with `build` or, if it is empty, with the current build."""
        self._serve(
            lambda: self._perform(self.agent.finish_return(self.clock(), build or self.agent.build))
        )

    def _serve(self, on_open: Optional[Callable[[], None]] = None) -> None:
        """Accepts requests again; does nothing if the listener is open.

        Args:
            on_open: Called once the listener is open.
        """
        if not self.proxy.listener_closed:
            return

        def on_failure(reason: str) -> None:
            structured_log.log("listener not reopened", unit=self.unit, why=reason)
            self._perform(self.agent.fail_return(self.clock(), reason))

        def on_listening() -> None:
            structured_log.log("drain ended", unit=self.unit)
            if on_open:
                on_open()

        self.proxy.undrain(on_listening, on_failure)

    ACTION_HANDLERS: ClassVar[dict[str, Callable[..., None]]] = {
        "propose": _propose,
        "drain": _start_drain,
        "return": _return,
        "serve": _serve,
    }
    """Handlers of the actions of `disruption.agent`, by action kind."""

    def close(self) -> None:
        """Stops the agent; late replies are ignored."""
        self.closed = True
        self.timers.cancel(self.timer)

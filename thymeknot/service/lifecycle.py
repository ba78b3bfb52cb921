"""The life of the sidecar's process: start, readiness, reload by SIGHUP, and graceful shutdown."""

import errno
import gc
import signal
import sys
import time
from collections.abc import Mapping
from typing import Any, Final

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import configuration, features, structured_log

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
ACCEPT_AFTER_SIGTERM_SECONDS: Final = 0.5
"""Seconds after SIGTERM in which new connections still come."""
FLUSH_SECONDS: Final = 0.05
"""Seconds that the last responses need to go out."""
SHUTDOWN_MARGIN: Final[Ticks] = 4_000
"""After SIGTERM the last answer comes no later than so long after the longest deadline. The kill
comes 0.7 s after that. The rest is for connections that close, for the process's own end, and for
0.15 s in which it may be held up."""
MAX_COUNTED_DEADLINE: Final[Ticks] = 3 * TICKS_PER_SECOND
"""What the longest deadline counts as at most."""
FIRST_LIST_TIMEOUT_SECONDS = 0.5
"""Seconds. Where lists are pushed, what the agent on the machine has counts as told from the first
moment, and the list that the configuration holds is older: the sidecar listens once the agent has
spoken, or after this long. An agent that is up answers at once; one that is silent longer is down,
and learns nothing that could count as told."""
MAX_LISTEN_TRIES: Final = 100
"""How often an address that is in use is tried: the process before this one may hold it until it is
killed, by the platform about 3.7 s after SIGTERM."""
LISTEN_RETRY_SECONDS: Final = 0.05
"""Seconds between two of these."""
EXIT_UNUSABLE: Final = 2
TICK_NANOSECONDS: Final = 100_000


def clock() -> Ticks:
    """The monotonic clock."""
    return time.monotonic_ns() // TICK_NANOSECONDS


def monotonic_reactor() -> Any:
    """The event loop. Its own clock is Unix time: a step back of that would hold up all timers."""
    from twisted.internet import reactor  # noqa: PLC0415 (imported where it is needed)

    installed: Any = reactor
    installed.seconds = time.monotonic
    return installed


def main(environment: Mapping[str, str]) -> int:
    """Serves without a command: an operator's file is named by the environment, if at all."""
    return serve(environment, environment.get(features.OPERATOR_FILE_VARIABLE) or None)


def serve(environment: Mapping[str, str], operator_file: str | None) -> int:
    """Serves by the environment's configuration and the operator's file. Gives an exit code."""
    exit_code = Lifecycle(environment, operator_file).run()
    # The interpreter restores default handlers as it ends: another signal would end it by itself.
    for number in (signal.SIGHUP, *STOP_SIGNALS):
        signal.signal(number, signal.SIG_IGN)
    return exit_code


class Lifecycle:
    """One sidecar, from its first signal to its end.

    Until there is a loop, SIGTERM and SIGINT end the process by themselves: nothing is open yet. A
    SIGHUP is heard from the first moment and remembered, since the file may have been replaced
    while it was being read.
    """

    def __init__(self, environment: Mapping[str, str], operator_file: str | None) -> None:
        self.environment = environment
        self.operator_file = operator_file
        self.exit_code = 0
        self.reload_pending = False
        """Whether a SIGHUP came before the configuration could be read again."""
        self.serving = False
        self.stopping = False
        self.epoch: Ticks = time.time_ns() // TICK_NANOSECONDS - clock()
        self.features: Any = None
        self.reactor: Any = None
        self.proxy: Any = None
        self.listen_tries = 0
        self.retry_pending = False
        """Whether it waits for an address that is in use."""

    def run(self) -> int:
        """Serves until it is told to stop. Gives an exit code."""
        signal.signal(signal.SIGHUP, self._on_sighup)
        signal.signal(signal.SIGINT, signal.SIG_DFL)  # ends it without a traceback
        try:
            start = self._read()
            self.features = features.Features(self.operator_file)
        except (configuration.ConfigurationError, features.FeatureError) as error:
            print(f"thymeknot: {error}", file=sys.stderr)
            return EXIT_UNUSABLE
        # Not before the files are checked: a faulty one is told at once.
        from ..proxy.proxy import Proxy  # noqa: PLC0415 (imported where it is needed)
        from ..state.timer_queue import TimerQueue  # noqa: PLC0415 (imported where it is needed)

        self.reactor = monotonic_reactor()
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_stop_signal)
        structured_log.capture_twisted_errors()
        self.proxy = Proxy(
            start,
            self.reactor,
            TimerQueue(clock, self.reactor.callLater, structured_log.log_exception),
            self.epoch,
        )
        if start.settings.lists_polled:
            self.proxy.begin()
            self.reactor.callWhenRunning(self._listen)
        else:
            self.proxy.begin(self._listen)
            self.reactor.callLater(FIRST_LIST_TIMEOUT_SECONDS, self._listen)
        self.reactor.run(installSignalHandlers=False)
        return self.exit_code

    def _read(self) -> configuration.StartConfiguration:
        """The configuration; a faulty one that was replaced while it was read is read again."""
        while True:
            self.reload_pending = False
            try:
                return configuration.load(self.environment, self.epoch)
            except configuration.ConfigurationError:
                if not self.reload_pending:
                    raise

    def _listen(self) -> None:
        """Begins to serve; the first call counts."""
        if self.serving or self.stopping or self.retry_pending:
            return
        from twisted.internet.error import CannotListenError  # noqa: PLC0415 (imported where it is needed)

        try:
            self.proxy.serve()
            self.serving = True
            self.features.begin(self.proxy)
        except CannotListenError as error:
            if not self._retry_if_in_use(error):
                self._fail(f"listen: {error}")
            return
        except features.FeatureError as error:
            self._fail(str(error))
            return
        except Exception as error:  # must not stay up without a listener
            structured_log.log_exception("start", error)
            self._fail(f"start: {type(error).__name__}: {error}")
            return
        self._ready()

    def _ready(self) -> None:
        start = self.proxy.start
        structured_log.log(
            "ready", name=start.name, listen=start.listen, pods=len(self.proxy.listed_endpoints)
        )
        gc.collect()
        gc.freeze()  # what stands from the start is not looked through again
        if self.reload_pending:
            self.reload_pending = False
            self._reconfigure()

    def _retry_if_in_use(self, error: Any) -> bool:
        """Whether it is tried again: another process has the address still."""
        if (
            self.serving
            or error.socketError.errno != errno.EADDRINUSE
            or self.listen_tries >= MAX_LISTEN_TRIES
        ):
            return False
        if not self.listen_tries:
            structured_log.log("address in use", listen=self.proxy.start.listen)
        self.listen_tries += 1
        self.retry_pending = True
        self.reactor.callLater(LISTEN_RETRY_SECONDS, self._listen_again)
        return True

    def _listen_again(self) -> None:
        self.retry_pending = False
        self._listen()

    def _fail(self, message: str) -> None:
        print(f"thymeknot: {message}", file=sys.stderr)
        self.exit_code = EXIT_UNUSABLE
        self.stopping = True
        self.reactor.stop()

    # Signals.

    def _on_sighup(self, *_: Any) -> None:
        if self.serving:
            self.reactor.callFromThread(self._reconfigure)
        else:
            self.reload_pending = True

    def _on_stop_signal(self, *_: Any) -> None:
        self.reactor.callFromThread(self._stop)

    def _stop(self) -> None:
        if self.stopping:  # a second signal must not stop it twice
            return
        self.stopping = True
        self.features.stop()
        structured_log.log(
            "stopping",
            clients=len(self.proxy.clients),
            transactions=len(self.proxy.requests_in_flight),
        )
        if self.serving:
            longest = max(
                request_class.outer_limit
                for request_class in self.proxy.settings.request_classes.values()
            )
            self.reactor.callLater(
                ACCEPT_AFTER_SIGTERM_SECONDS,
                self.proxy.shut_down,
                self._on_drained,
                clock() + min(longest, MAX_COUNTED_DEADLINE) + SHUTDOWN_MARGIN,
            )
        else:
            self._on_drained()

    def _on_drained(self) -> None:
        structured_log.log("stopped")
        self.reactor.callLater(FLUSH_SECONDS, self.reactor.stop)

    def _reconfigure(self) -> None:
        """Reads the files again.

        A sidecar that stops still forwards what it has in flight by the endpoint list, so it moves
        to another discovery, too; its features have left, and take up nothing.
        """
        try:
            if not self.stopping:
                self.features.reconfigure()
        except features.FeatureError as error:
            structured_log.log("operator file rejected", error=str(error))
        except Exception as error:
            structured_log.log_exception("operator file", error)
        try:
            restart_keys = self.proxy.reconfigure(configuration.load(self.environment, self.epoch))
        except configuration.ConfigurationError as error:
            structured_log.log("configuration rejected", error=str(error))
        except Exception as error:  # a file must not end the program, whatever it holds
            structured_log.log_exception("configuration", error)
        else:
            structured_log.log(
                "configuration reloaded",
                discovery=self.proxy.discovery.host,
                platform=self.proxy.platform.host,
                only_at_a_start=restart_keys,
            )

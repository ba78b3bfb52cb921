"""The lifecycle of the sidecar's process: start, readiness, reload on SIGHUP, graceful shutdown."""

import errno
import gc
import signal
import sys
import time
from collections.abc import Mapping
from typing import Any, Final

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import configuration, features, lean_imports, structured_log
from .turn_times import TurnTimes

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
ACCEPT_AFTER_SIGTERM_SECONDS: Final = 0.5
"""Seconds after SIGTERM in which new connections are still accepted."""
FLUSH_SECONDS: Final = 0.05
"""Seconds for the last responses to be sent."""
SHUTDOWN_MARGIN: Final[Ticks] = 3_000
"""Ticks after the longest deadline, counted from SIGTERM, by which the last response is sent.

The process is killed 0.7 s after that deadline. The time in between is for connections to close,
for the process to exit, and for delays of up to 0.15 s."""
MAX_COUNTED_DEADLINE: Final[Ticks] = 3 * TICKS_PER_SECOND
"""Upper bound on the longest deadline in this calculation."""
FIRST_LIST_TIMEOUT_SECONDS = 0.5
"""Longest wait, in seconds, for the first pushed endpoint list before the sidecar listens.

If lists are pushed, the sidecar is expected to know from the start what the agent on its machine
knows, and the list in the configuration is older. An agent that is up responds at once; one that is
silent for longer is down, and has no newer list to offer."""
MAX_LISTEN_TRIES: Final = 100
"""Maximum attempts to listen on an address in use; the previous process may hold it until the
platform kills it, about 3.7 s after SIGTERM."""
LISTEN_RETRY_SECONDS: Final = 0.05
"""Seconds between two of these attempts."""
EXIT_UNUSABLE: Final = 2
TICK_NANOSECONDS: Final = 100_000


def clock() -> Ticks:
    """Returns the monotonic time in ticks."""
    return time.monotonic_ns() // TICK_NANOSECONDS


def current_epoch() -> Ticks:
    """Returns Unix time minus monotonic time, in ticks; a step of the wall clock changes it."""
    return time.time_ns() // TICK_NANOSECONDS - clock()


def monotonic_reactor() -> Any:
    """Returns the reactor, switched to the monotonic clock.

    The default clock is Unix time: if it is set back, all timers are delayed.
    """
    with lean_imports.unused_modules_left_out():
        from twisted.internet import reactor  # noqa: PLC0415 (imported where it is needed)

    installed: Any = reactor
    installed.seconds = time.monotonic
    return installed


def main(environment: Mapping[str, str]) -> int:
    """Runs the sidecar with the operator file that the environment names, if any."""
    return serve(environment, environment.get(features.OPERATOR_FILE_VARIABLE) or None)


def serve(environment: Mapping[str, str], operator_file: str | None) -> int:
    """Runs the sidecar with the environment's configuration; returns the exit code."""
    exit_code = Lifecycle(environment, operator_file).run()
    # The interpreter restores default handlers on exit: another signal would kill the process.
    for number in (signal.SIGHUP, *STOP_SIGNALS):
        signal.signal(number, signal.SIG_IGN)
    return exit_code


class Lifecycle:
    """One sidecar process, from its start to its exit.

    Until the reactor is loaded, SIGTERM and SIGINT kill the process: nothing is open yet. SIGHUP is
    recorded from the start, since the file may be replaced while it is being read.
    """

    def __init__(self, environment: Mapping[str, str], operator_file: str | None) -> None:
        self.environment = environment
        self.operator_file = operator_file
        self.exit_code = 0
        self.reload_pending = False
        """Whether a SIGHUP came before the configuration could be read again."""
        self.serving = False
        self.stopping = False
        self.epoch = current_epoch()
        self.features: Any = None
        self.reactor: Any = None
        self.proxy: Any = None
        self.listen_tries = 0
        self.retry_pending = False
        """Whether another attempt to listen is scheduled, as the address is in use."""

    def run(self) -> int:
        """Runs until a stop signal; returns the exit code."""
        signal.signal(signal.SIGHUP, self._on_sighup)
        signal.signal(signal.SIGINT, signal.SIG_DFL)  # exit without a traceback
        try:
            start = self._load_configuration()
            self.features = features.Features(self.operator_file)
        except (configuration.ConfigurationError, features.FeatureError) as error:
            print(f"thymeknot: {error}", file=sys.stderr)
            return EXIT_UNUSABLE
        # Imported after the files are checked, so that an invalid file is reported at once.
        # The reactor comes first: what it leaves out must not be imported by the others.
        self.reactor = monotonic_reactor()
        from ..proxy.proxy import Proxy  # noqa: PLC0415 (imported where it is needed)
        from ..state.timer_queue import TimerQueue  # noqa: PLC0415 (imported where it is needed)

        for number in STOP_SIGNALS:
            signal.signal(number, self._on_stop_signal)
        structured_log.capture_twisted_errors()
        turn_times = TurnTimes()
        turn_times.watch(self.reactor)
        self.proxy = Proxy(
            start,
            self.reactor,
            TimerQueue(clock, self.reactor.callLater, structured_log.log_exception),
            self.epoch,
            current_epoch,
            turn_times=turn_times,
        )
        if start.settings.lists_polled:
            self.proxy.begin()
            self.reactor.callWhenRunning(self._listen)
        else:
            self.proxy.begin(self._listen)
            self.reactor.callLater(FIRST_LIST_TIMEOUT_SECONDS, self._listen)
        self.reactor.run(installSignalHandlers=False)
        return self.exit_code

    def _load_configuration(self) -> configuration.StartConfiguration:
        """Reads the configuration; reads again if an invalid one was replaced meanwhile."""
        while True:
            self.reload_pending = False
            try:
                return configuration.load(self.environment, self.epoch)
            except configuration.ConfigurationError:
                if not self.reload_pending:
                    raise

    def _listen(self) -> None:
        """Starts serving; only the first call has an effect."""
        if self.serving or self.stopping or self.retry_pending:
            return
        from twisted.internet.error import CannotListenError  # noqa: PLC0415 (imported where it is needed)

        try:
            self.proxy.serve()
            self.serving = True
            self.features.begin(self.proxy)
        except CannotListenError as error:
            if not self._retry_if_in_use(error):
                self._exit_with_error(f"listen: {error}")
            return
        except features.FeatureError as error:
            self._exit_with_error(str(error))
            return
        except Exception as error:  # must not continue without a listener
            structured_log.log_exception("start", error)
            self._exit_with_error(f"start: {type(error).__name__}: {error}")
            return
        self._ready()

    def _ready(self) -> None:
        start = self.proxy.start
        structured_log.log(
            "ready", name=start.name, listen=start.listen, pods=len(self.proxy.listed_endpoints)
        )
        gc.collect()
        gc.freeze()  # excludes all objects created so far from garbage collection
        if self.reload_pending:
            self.reload_pending = False
            self._reconfigure()

    def _retry_if_in_use(self, error: Any) -> bool:
        """Schedules another attempt if another process still has the address.

        Returns:
            Whether there will be another attempt.
        """
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
        self.reactor.callLater(LISTEN_RETRY_SECONDS, self._retry_listen)
        return True

    def _retry_listen(self) -> None:
        self.retry_pending = False
        self._listen()

    def _exit_with_error(self, message: str) -> None:
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
        if self.stopping:  # a second signal has no effect
            return
        self.stopping = True
        self.features.stop()
        structured_log.log(
            "stopping",
            clients=len(self.proxy.clients),
            transactions=len(self.proxy.requests_in_flight),
        )
        if self.serving:
            longest_deadline = max(
                request_class.outer_limit
                for request_class in self.proxy.settings.request_classes.values()
            )
            answer_by = clock() + min(longest_deadline, MAX_COUNTED_DEADLINE) + SHUTDOWN_MARGIN
            self.proxy.limit_responses(answer_by)
            self.reactor.callLater(
                ACCEPT_AFTER_SIGTERM_SECONDS, self.proxy.shut_down, self._on_drained, answer_by
            )
        else:
            self._on_drained()

    def _on_drained(self) -> None:
        structured_log.log("stopped")
        self.reactor.callLater(FLUSH_SECONDS, self.reactor.stop)

    def _reconfigure(self) -> None:
        """Reloads the files.

        A stopping sidecar still routes its requests in flight by the endpoint list, so it follows a
        change of the discovery address. Its features have stopped and are not reconfigured.
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
        except Exception as error:  # no file content may end the process
            structured_log.log_exception("configuration", error)
        else:
            structured_log.log(
                "configuration reloaded",
                discovery=self.proxy.discovery.host,
                platform=self.proxy.platform.host,
                only_at_a_start=restart_keys,
            )

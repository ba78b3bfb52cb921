"""Start, ready, a new configuration and stop of the one program."""

import errno
import gc
import signal
import sys
import time
from collections.abc import Mapping

from . import configuration, features, structured_log

STOPS = signal.SIGTERM, signal.SIGINT
SERVES_ON = 0.5  # seconds after SIGTERM in which new connections still come
LAST = 0.05  # and for what the last answers need to go out
SPARED, COUNTED = (
    6_500,
    30_000,
)  # after SIGTERM the kill comes no sooner than so long after the longest deadline, which
# counts as this at most: tenths of a millisecond, 50 ms less than the platform gives
# Where lists are pushed, what the agent on the machine has counts as told from the first moment, and the list that the
# configuration holds is older: it listens once the agent has spoken, or after this long. An agent that is up answers
# at once; one that is silent longer is down, and learns nothing that could count as told.
FIRST_LIST = 0.5
# The process before this one may hold the address until it is killed, by the platform 3.7 s after SIGTERM or so.
TRIES, AGAIN = 100, 0.05


def clock():
    """Tenths of a millisecond of a clock that only goes forward."""
    return time.monotonic_ns() // 100_000


def loop():
    """The network's loop. Its own clock is Unix time, and a step back of that would hold up every deadline."""
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    return reactor


def main(environment: Mapping[str, str]) -> int:
    """Serves without words: an operator's file is named by the environment, if at all."""
    return serve(environment, environment.get(features.VARIABLE) or None)


def serve(environment: Mapping[str, str], operator: str | None) -> int:
    """Serves by the environment's configuration and the operator's file at this path, or None. Gives an exit code."""
    code = Lifecycle(environment, operator).run()
    for number in (
        signal.SIGHUP,
        *STOPS,
    ):  # the interpreter gives back handlers as it ends: one more would end it so
        signal.signal(number, signal.SIG_IGN)
    return code


class Lifecycle:
    """One sidecar, from its first signal to its end.

    Until there is a loop, SIGTERM and SIGINT end the process by themselves: nothing is open yet. A SIGHUP is heard
    from the first moment and remembered, since the file may have been replaced while it was being read."""

    def __init__(self, environment, operator):
        self.environment, self.operator, self.code = environment, operator, 0
        self.again, self.serving, self.stopping = False, False, False
        self.epoch = time.time_ns() // 100_000 - clock()
        self.extra = self.reactor = self.proxy = None
        self.tries, self.waits = 0, False  # for an address that is in use

    def run(self):
        signal.signal(signal.SIGHUP, self._told_to_read)
        signal.signal(signal.SIGINT, signal.SIG_DFL)  # ends it without a traceback
        try:
            start = self._read()
            self.extra = features.Features(self.operator)
        except (configuration.ConfigurationError, features.FeatureError) as error:
            print(f"thymeknot: {error}", file=sys.stderr)
            return 2
        from ..proxy.proxy import Proxy
        from ..state.timer_queue import TimerQueue

        self.reactor = loop()
        for number in STOPS:
            signal.signal(number, self._told_to_stop)
        structured_log.take_over()
        self.proxy = Proxy(
            start,
            self.reactor,
            TimerQueue(clock, self.reactor.callLater, structured_log.fault),
            self.epoch,
        )
        if start.settings.lists_polled:
            self.proxy.begin()
            self.reactor.callWhenRunning(self._listen)
        else:
            self.proxy.begin(self._listen)
            self.reactor.callLater(FIRST_LIST, self._listen)
        self.reactor.run(installSignalHandlers=False)
        return self.code

    def _read(self):
        """The configuration. One that was replaced while it was read, and can't be used, is read once more."""
        while True:
            self.again = False
            try:
                return configuration.load(self.environment, self.epoch)
            except configuration.ConfigurationError:
                if not self.again:
                    raise

    def _listen(self):
        """Serves, from now on; the first call counts."""
        if self.serving or self.stopping or self.waits:
            return
        from twisted.internet.error import CannotListenError

        try:
            self.proxy.serve()
            self.serving = True
            self.extra.begin(self.proxy)
        except CannotListenError as error:
            return self._in_use(error) or self._fail(f"listen: {error}")
        except features.FeatureError as error:
            return self._fail(str(error))
        except Exception as error:  # must not stay up without a listener
            structured_log.fault("start", error)
            return self._fail(f"start: {type(error).__name__}: {error}")
        start = self.proxy.start
        structured_log.log(
            "ready", name=start.name, listen=start.listen, pods=len(self.proxy.listed)
        )
        gc.collect()
        gc.freeze()  # what stands from the start is not looked through again
        if self.again:
            self.again = False
            self._reconfigure()

    def _in_use(self, error):
        """Whether it is tried again: another process has the address still."""
        if self.serving or error.socketError.errno != errno.EADDRINUSE or self.tries >= TRIES:
            return False
        if not self.tries:
            structured_log.log("address in use", listen=self.proxy.start.listen)
        self.tries, self.waits = self.tries + 1, True
        self.reactor.callLater(AGAIN, self._listen_again)
        return True

    def _listen_again(self):
        self.waits = False
        self._listen()

    def _fail(self, why):
        print(f"thymeknot: {why}", file=sys.stderr)
        self.code, self.stopping = 2, True
        self.reactor.stop()

    # Signals.

    def _told_to_read(self, *_):
        if self.serving:
            self.reactor.callFromThread(self._reconfigure)
        else:
            self.again = True

    def _told_to_stop(self, *_):
        self.reactor.callFromThread(self._stop)

    def _stop(self):
        if self.stopping:  # a second signal must not stop it twice
            return
        self.stopping = True
        self.extra.leave()
        structured_log.log(
            "stopping",
            clients=len(self.proxy.clients),
            transactions=len(self.proxy.transactions),
        )
        if self.serving:
            longest = max(
                request_class.outer_limit
                for request_class in self.proxy.settings.request_classes.values()
            )
            self.reactor.callLater(
                SERVES_ON,
                self.proxy.finish,
                self._emptied,
                clock() + min(longest, COUNTED) + SPARED,
            )
        else:
            self._emptied()

    def _emptied(self):
        structured_log.log("stopped")
        self.reactor.callLater(LAST, self.reactor.stop)

    def _reconfigure(self):
        """Reads the file again. A sidecar that stops still sends what it has in hand by the list, so it moves to
        another discovery, too; its operator's features have left, and take up nothing."""
        try:
            if not self.stopping:
                self.extra.reconfigure()
        except features.FeatureError as error:
            structured_log.log("operator file rejected", error=str(error))
        except Exception as error:
            structured_log.fault("operator file", error)
        try:
            later = self.proxy.reconfigure(configuration.load(self.environment, self.epoch))
        except configuration.ConfigurationError as error:
            structured_log.log("configuration rejected", error=str(error))
        except Exception as error:  # a file must not end the program, whatever it holds
            structured_log.fault("configuration", error)
        else:
            structured_log.log(
                "configuration reloaded",
                discovery=self.proxy.discovery.host,
                platform=self.proxy.platform.host,
                only_at_a_start=later,
            )

"""Start, ready, a new configuration and stop of the one program."""

import gc
import signal
import sys
import time

from . import configuration, features, logs

STOPS = signal.SIGTERM, signal.SIGINT
SERVES_ON = 0.5             # seconds after SIGTERM in which new connections still come
LAST = 0.05                 # and for what the last answers need to go out
SPARED, COUNTED = 6_500, 30_000  # after SIGTERM the kill comes no sooner than so long after the longest deadline, which
                                 # counts as this at most: tenths of a millisecond, 50 ms less than the platform gives


def clock():
    """Tenths of a millisecond of a clock that only goes forward."""
    return time.monotonic_ns() // 100_000


def loop():
    """The network's loop. Its own clock is Unix time, and a step back of that would hold up every deadline."""
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    return reactor


def main(environment):
    """Serves without words: an operator's file is named by the environment, if at all."""
    return serve(environment, environment.get(features.VARIABLE) or None)


def serve(environment, operator):
    """Serves by the environment's configuration and the operator's file at this path, or None. Gives an exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # before it is ready the file is read anyway
    epoch = time.time_ns() // 100_000 - clock()
    try:
        start = configuration.load(environment, epoch)
        extra = features.Features(operator)
    except (configuration.Faulty, features.Faulty) as error:
        print(f"thymeknot: {error}", file=sys.stderr)
        return 2
    from twisted.internet.error import CannotListenError

    from ..memory.deadlines import Deadlines
    from ..sidecar import Sidecar
    reactor = loop()
    logs.take_over()
    sidecar = Sidecar(start, reactor, Deadlines(clock, reactor.callLater, logs.fault), epoch)
    sidecar.begin()
    try:
        sidecar.serve()
        extra.begin(sidecar)
    except CannotListenError as error:
        print(f"thymeknot: listen: {error}", file=sys.stderr)
        return 2
    except features.Faulty as error:
        print(f"thymeknot: {error}", file=sys.stderr)
        return 2

    def emptied():
        logs.log("stopped")
        reactor.callLater(LAST, reactor.stop)

    def stop():
        extra.leave()
        logs.log("stopping", clients=len(sidecar.clients), transactions=len(sidecar.transactions))
        longest = max(lane.outer_limit for lane in start.terms.lanes.values())
        reactor.callLater(SERVES_ON, sidecar.finish, emptied, clock() + min(longest, COUNTED) + SPARED)

    def reconfigure():
        try:
            extra.reconfigure()
        except features.Faulty as error:
            logs.log("operator file kept", error=str(error))
        except Exception as error:
            logs.fault("operator file", error)
        try:
            later = sidecar.reconfigure(configuration.load(environment, epoch))
        except configuration.Faulty as error:
            logs.log("configuration kept", error=str(error))
        except Exception as error:  # a file must not end the program, whatever it holds
            logs.fault("configuration", error)
        else:
            logs.log("configuration taken up", discovery=sidecar.discovery.host, platform=sidecar.platform.host,
                     only_at_a_start=later)

    def told_to_stop(*_):
        for number in STOPS:  # a second one must not stop it twice
            signal.signal(number, signal.SIG_IGN)
        reactor.callFromThread(stop)

    for number in STOPS:
        signal.signal(number, told_to_stop)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reconfigure))
    logs.log("ready", name=start.name, listen=start.listen, pods=len(sidecar.listed))
    gc.collect()
    gc.freeze()  # what stands from the start is not looked through again
    reactor.run(installSignalHandlers=False)
    return 0

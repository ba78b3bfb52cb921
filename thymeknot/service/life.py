"""Start, ready and stop of the one program."""

import gc
import signal
import sys
import time

from . import configuration, logs

SERVES_ON = 0.5             # seconds after SIGTERM in which new connections still come
LAST = 0.05                 # and for what the last answers need to go out


def clock():
    """Tenths of a millisecond of a clock that only goes forward."""
    return time.monotonic_ns() // 100_000


def loop():
    """The network's loop. Its own clock is Unix time, and a step back of that would hold up every deadline."""
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    return reactor


def main(environment):
    epoch = time.time_ns() // 100_000 - clock()
    try:
        start = configuration.load(environment, epoch)
    except configuration.Faulty as error:
        print(f"thymeknot: {error}", file=sys.stderr)
        return 2
    from ..memory.deadlines import Deadlines
    from ..sidecar import Sidecar
    reactor = loop()
    logs.take_over()
    sidecar = Sidecar(start, reactor, Deadlines(clock, reactor.callLater, logs.fault), epoch)
    sidecar.begin()
    sidecar.serve()

    def emptied():
        logs.log("stopped")
        reactor.callLater(LAST, reactor.stop)

    def stop():
        logs.log("stopping", clients=len(sidecar.clients), transactions=len(sidecar.transactions))
        reactor.callLater(SERVES_ON, sidecar.finish, emptied)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(stop))
    logs.log("ready", name=start.name, listen=start.listen, pods=len(sidecar.listed))
    gc.collect()
    gc.freeze()  # what stands from the start is not looked through again
    reactor.run(installSignalHandlers=False)
    return 0

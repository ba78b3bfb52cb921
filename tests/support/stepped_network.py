"""Sockets, dials, a listener and a reactor whose clock is stepped, on Twisted's own TCP transports."""

import select
import socket

from twisted.internet import error, tcp
from twisted.internet.defer import Deferred
from twisted.internet.selectreactor import SelectReactor


class CheckFailed(AssertionError):
    """What the checker found."""


class FakeSocket:
    """The sidecar's end of a connection. budget: how many bytes the other side takes yet; None: any."""

    def __init__(self, rig, port=None):
        self.rig, self.port, self.made_at = rig, port, rig.now
        self.real, self.far = socket.socketpair()
        self.far.setblocking(False)
        self.read, self.sends, self.sent, self.budget, self.marks = 0, [], 0, None, []
        self.reset = self.far_gone = self.closed = self.aborted = self.swallowed = False
        self.far_ended_at = self.closed_at = None
        rig.wires.append(self)

    # What Twisted asks of a socket.

    def setblocking(self, blocks):
        self.real.setblocking(blocks)

    def fileno(self):
        return self.real.fileno()

    def recv(self, most, flags=0):
        data = self.real.recv(most, flags)
        if not data and self.reset:
            raise ConnectionResetError(104, "reset")
        if not flags:
            self.read += len(data)
            self.rig.stirred = True
            while self.marks and self.marks[0][0] <= self.read:
                self.marks.pop(0)[1]()
        return data

    def send(self, data):
        if self.reset or self.swallowed:
            raise ConnectionResetError(104, "reset")
        if self.budget is not None:
            if self.budget <= 0:
                raise BlockingIOError(11, "full")
            data = data[: self.budget]
            self.budget -= len(data)
        self.rig.stirred = True
        if (
            self.far_gone
        ):  # the first bytes to one that has closed go out; what comes back is a reset
            self.reset = self.swallowed = True
            return len(data)
        count = self.real.send(data)
        self.sends.append((self.sent, self.rig.now))
        self.sent += count
        return count

    def shutdown(self, how):
        self.rig.stirred, self.shut = True, True
        self.real.shutdown(how)

    def setsockopt(self, level, name, value):
        self.aborted |= name == socket.SO_LINGER

    def getsockopt(self, *_):
        return 0

    shut = False  # the sidecar sends no more: who reads sees the end

    def close(self):
        self.closed, self.closed_at = True, self.rig.now
        self.rig.stirred = True
        self.real.close()

    # The other side.

    def written_at(self, offset):
        """When the byte at this offset went out."""
        return next(at for begin, at in reversed(self.sends) if begin <= offset)

    def pull(self):
        data = b""
        while not self.far_gone:
            try:
                more = self.far.recv(1 << 20)
            except (BlockingIOError, ConnectionResetError):
                break
            if not more:
                break
            data += more
        return data

    def put(self, data):
        if self.far_gone or self.closed or self.far_ended_at is not None:
            return False
        try:
            self.rig.touched = True
            return self.far.send(data) == len(data)
        except OSError:
            return False

    def end(self, how):
        """shut: for sending; close; reset."""
        if self.far_gone:
            return
        self.rig.touched = True
        if self.far_ended_at is None:
            self.far_ended_at = self.rig.now
        if how == "shut":
            try:
                self.far.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            return
        self.reset |= how == "reset"
        self.far_gone = True
        self.far.close()


class FakeConnect(tcp.Client):
    """A real client's transport whose connection comes up when the rig lets it."""

    def createInternetSocket(self):
        self.wire = FakeSocket(self.connector.reactor.rig, self.addr[1])
        return self.wire

    def resolveAddress(self):
        self.reactor.rig.dialled(self)

    def come_up(self):
        if hasattr(self, "connector") and not self.connected and not self.disconnected:
            self.realAddress = self.addr
            self.reactor.rig.stirred = True
            self._connectDone()
            self.reactor.rig.came_up(self.wire)

    def refuse(self):
        self.reactor.rig.stirred = True
        self.failIfNotConnected(error.ConnectionRefusedError())

    def getPeer(self):
        return self.addr

    def getHost(self):
        return ("127.0.0.1", self.wire.fileno())  # another one than the pod's


class FakeConnector(tcp.Connector):
    def _makeTransport(self):
        return FakeConnect(self.host, self.port, None, self, self.reactor)


class FakeListener:
    """A listener, as tcp.Port is one."""

    def __init__(self, reactor, factory):
        self.reactor, self.factory, self.queue, self.open, self.reads = (
            reactor,
            factory,
            [],
            True,
            True,
        )
        self.sessionno, self.numberAccepts = 0, 100
        self.socket, self.lets_in = self, True

    def setsockopt(self, level, name, value):
        """A filter that lets nobody in any more is all that it is ever given."""
        self.lets_in = False

    def doRead(self):
        if not self.open:
            raise CheckFailed("a listener that is closed was read")
        queue, self.queue = self.queue[: self.numberAccepts], self.queue[self.numberAccepts :]
        for wire in queue:
            self.sessionno += 1
            protocol = self.factory.buildProtocol(None)
            transport = tcp.Server(wire, protocol, ("127.0.0.1", 1), None, 0, self.reactor)
            self.reactor.rig.stirred = True
            protocol.makeConnection(transport)

    def startReading(self):
        self.reads = True

    def stopReading(self):
        self.reads = False

    def stopListening(self):
        done, self.reads = Deferred(), False

        def ended():
            self.open = False
            for wire in self.queue:
                wire.reset = True
                wire.close()
            self.queue = []
            done.callback(None)

        self.reactor.callLater(0, ended)
        return done


class SteppedReactor(SelectReactor):
    """Twisted's own, its iterations stepped by hand and in one order, its clock the rig's. The machine may name what
    is ready in any order: writes_first has what can be written go before what has come."""

    writes_first = False

    def __init__(self, rig):
        self.rig, self.order, self.doors = rig, {}, []
        SelectReactor.__init__(self)
        self.seconds = lambda: rig.now / 10_000 + 1e-6
        self.removeReader(self.waker)

    def doIteration(self, _):
        for door in self.doors:
            if door.open and door.reads and door.queue:
                door.doRead()
        reads, writes = (sorted(some, key=self.order.get) for some in (self._reads, self._writes))
        reads, writes, _ = select.select(reads, writes, [], 0)
        turns = (reads, "doRead", self._reads), (writes, "doWrite", self._writes)
        for ready, method, among in turns[::-1] if self.writes_first else turns:
            for one in ready:
                if one in among:
                    self._doReadOrWrite(one, method)

    def addReader(self, reader):
        self.order.setdefault(
            reader, len(self.order)
        )  # else the order would hang on where objects lie in memory
        SelectReactor.addReader(self, reader)

    def addWriter(self, writer):
        self.order.setdefault(writer, len(self.order))
        SelectReactor.addWriter(self, writer)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        connector = FakeConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port, factory, backlog=50, interface=""):
        if any(door.open for door in self.doors):
            raise error.CannotListenError(interface, port, "in use")
        self.doors.append(FakeListener(self, factory))
        return self.doors[-1]

    def next_due(self):
        times = [
            call.getTime()
            for call in (*self._pendingTimedCalls, *self._newTimedCalls)
            if call.active()
        ]
        return min(times, default=None)

    def over(self):
        self.waker.connectionLost(None)

"""Fake sockets, a listener and a reactor with a stepped clock, for Twisted's own TCP transports.

The rig that owns them has `now` (ticks of 0.1 ms), `sockets`, `progressed`, `peer_progressed`
and the callbacks `on_connect` and `on_connected`.
"""

import select
import socket

from twisted.internet import error, tcp
from twisted.internet.defer import Deferred
from twisted.internet.selectreactor import SelectReactor


class CheckFailed(AssertionError):
    """A check of a rig found a fault."""


class FakeSocket:
    """A connection on a socket pair: what Twisted uses as a socket, and the remote end.

    Attributes:
        local: the sidecar's end.
        remote: the end of the client, endpoint or server.
        write_budget: how many more bytes the remote end accepts; None: any number.
        send_times: (offset of the first byte, time) of each write of the sidecar.
        read_callbacks: (bytes read, function) to call once the sidecar has read that many.
        write_lost: whether the sidecar has written to a closed remote end.
        aborted: whether the sidecar has set SO_LINGER, which it does to reset the connection.
    """

    def __init__(self, rig, port=None):
        self.rig, self.port, self.created_at = rig, port, rig.now
        self.local, self.remote = socket.socketpair()
        self.remote.setblocking(False)
        (
            self.bytes_read,
            self.send_times,
            self.bytes_sent,
            self.write_budget,
            self.read_callbacks,
        ) = 0, [], 0, None, []
        self.reset = self.remote_closed = self.closed = self.aborted = self.write_lost = False
        self.remote_ended_at = self.closed_at = None
        rig.sockets.append(self)

    # The methods of a socket that Twisted calls.

    def setblocking(self, blocking):
        self.local.setblocking(blocking)

    def fileno(self):
        return self.local.fileno()

    def recv(self, size, flags=0):
        data = self.local.recv(size, flags)
        if not data and self.reset:
            raise ConnectionResetError(104, "reset")
        if not flags:
            self.bytes_read += len(data)
            self.rig.progressed = True
            while self.read_callbacks and self.read_callbacks[0][0] <= self.bytes_read:
                self.read_callbacks.pop(0)[1]()
        return data

    def send(self, data):
        if self.reset or self.write_lost:
            raise ConnectionResetError(104, "reset")
        if self.write_budget is not None:
            if self.write_budget <= 0:
                raise BlockingIOError(11, "full")
            data = data[: self.write_budget]
            self.write_budget -= len(data)
        self.rig.progressed = True
        # The first write to a closed remote end succeeds, and is answered by a reset.
        if self.remote_closed:
            self.reset = self.write_lost = True
            return len(data)
        count = self.local.send(data)
        self.send_times.append((self.bytes_sent, self.rig.now))
        self.bytes_sent += count
        return count

    def shutdown(self, how):
        self.rig.progressed, self.write_closed = True, True
        self.local.shutdown(how)

    def setsockopt(self, level, name, value):
        self.aborted |= name == socket.SO_LINGER

    def getsockopt(self, *_):
        return 0

    write_closed = (
        False  # whether the sidecar has shut down writing, so that its peer reads the end
    )

    def close(self):
        self.closed, self.closed_at = True, self.rig.now
        self.rig.progressed = True
        self.local.close()

    # The remote end.

    def send_time(self, offset):
        """Returns when the sidecar wrote the byte at this offset."""
        return next(at for begin, at in reversed(self.send_times) if begin <= offset)

    def receive_remote(self):
        """Returns all that the sidecar has written and the remote end has not read yet."""
        data = b""
        while not self.remote_closed:
            try:
                chunk = self.remote.recv(1 << 20)
            except (BlockingIOError, ConnectionResetError):
                break
            if not chunk:
                break
            data += chunk
        return data

    def send_remote(self, data):
        """Sends to the sidecar; returns whether all of it was accepted."""
        if self.remote_closed or self.closed or self.remote_ended_at is not None:
            return False
        try:
            self.rig.peer_progressed = True
            return self.remote.send(data) == len(data)
        except OSError:
            return False

    def end_remote(self, how):
        """Ends the connection at the remote end: `shut` for writing, `close` or `reset`."""
        if self.remote_closed:
            return
        self.rig.peer_progressed = True
        if self.remote_ended_at is None:
            self.remote_ended_at = self.rig.now
        if how == "shut":
            try:
                self.remote.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            return
        self.reset |= how == "reset"
        self.remote_closed = True
        self.remote.close()


class FakeConnect(tcp.Client):
    """Twisted's client transport, whose connect succeeds or fails when the rig decides so."""

    def createInternetSocket(self):
        self.connection = FakeSocket(self.connector.reactor.rig, self.addr[1])
        return self.connection

    def resolveAddress(self):
        self.reactor.rig.on_connect(self)

    def succeed(self):
        """Establishes the connection, unless Twisted has given it up."""
        if hasattr(self, "connector") and not self.connected and not self.disconnected:
            self.realAddress = self.addr
            self.reactor.rig.progressed = True
            self._connectDone()
            self.reactor.rig.on_connected(self.connection)

    def refuse(self):
        """Fails the connect with ConnectionRefusedError."""
        self.reactor.rig.progressed = True
        self.failIfNotConnected(error.ConnectionRefusedError())

    def getPeer(self):
        return self.addr

    def getHost(self):
        return (
            "127.0.0.1",
            self.connection.fileno(),
        )  # never equal to the endpoint's address, which would be a self-connect


class FakeConnector(tcp.Connector):
    """Makes FakeConnect transports."""

    def _makeTransport(self):
        return FakeConnect(self.host, self.port, None, self, self.reactor)


class FakeListener:
    """A listener with the part of the interface of tcp.Port that the sidecar uses."""

    def __init__(self, reactor, factory):
        self.reactor, self.factory, self.backlog, self.is_open, self.reading = (
            reactor,
            factory,
            [],
            True,
            True,
        )
        self.sessionno, self.numberAccepts = 0, 100
        self.socket, self.accepting, self.family = self, True, socket.AF_INET

    def getsockname(self):
        """Returns an address with which the kernel has no handshake in progress."""
        return "127.0.0.1", 1

    def setsockopt(self, level, name, value):
        """Stops accepting: the only option set is a filter that drops connection requests."""
        self.accepting = False

    def doRead(self):
        if not self.is_open:
            raise CheckFailed("doRead was called on a closed listener")
        accepted, self.backlog = (
            self.backlog[: self.numberAccepts],
            self.backlog[self.numberAccepts :],
        )
        for connection in accepted:
            self.sessionno += 1
            protocol = self.factory.buildProtocol(None)
            transport = tcp.Server(connection, protocol, ("127.0.0.1", 1), None, 0, self.reactor)
            self.reactor.rig.progressed = True
            protocol.makeConnection(transport)

    def startReading(self):
        self.reading = True

    def stopReading(self):
        self.reading = False

    def stopListening(self):
        done, self.reading = Deferred(), False

        def ended():
            self.is_open = False
            for connection in self.backlog:
                connection.reset = True
                connection.close()
            self.backlog = []
            done.callback(None)

        self.reactor.callLater(0, ended)
        return done


class SteppedReactor(SelectReactor):
    """Twisted's select reactor with the rig's clock, whose iterations the rig runs one by one.

    Descriptors are handled in the order in which they were added, so runs are reproducible. A real
    reactor may handle ready descriptors in any order; `writes_first` puts writable ones first.
    """

    writes_first = False

    def __init__(self, rig):
        self.rig, self.descriptor_order, self.listeners = rig, {}, []
        SelectReactor.__init__(self)
        self.seconds = lambda: rig.now / 10_000 + 1e-6
        self.removeReader(self.waker)

    def doIteration(self, _):
        for listener in self.listeners:
            if listener.is_open and listener.reading and listener.backlog:
                listener.doRead()
        reads, writes = (
            sorted(descriptors, key=self.descriptor_order.get)
            for descriptors in (self._reads, self._writes)
        )
        reads, writes, _ = select.select(reads, writes, [], 0)
        passes = (reads, "doRead", self._reads), (writes, "doWrite", self._writes)
        for ready, method, registered in passes[::-1] if self.writes_first else passes:
            for descriptor in ready:
                if descriptor in registered:
                    self._doReadOrWrite(descriptor, method)

    def addReader(self, reader):
        # Without this, the order would depend on the memory addresses of the descriptors.
        self.descriptor_order.setdefault(reader, len(self.descriptor_order))
        SelectReactor.addReader(self, reader)

    def addWriter(self, writer):
        self.descriptor_order.setdefault(writer, len(self.descriptor_order))
        SelectReactor.addWriter(self, writer)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        connector = FakeConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port, factory, backlog=50, interface=""):
        if any(listener.is_open for listener in self.listeners):
            raise error.CannotListenError(interface, port, "in use")
        self.listeners.append(FakeListener(self, factory))
        return self.listeners[-1]

    def next_call_time(self):
        """Returns when the next delayed call is due, in seconds, or None."""
        times = [
            call.getTime()
            for call in (*self._pendingTimedCalls, *self._newTimedCalls)
            if call.active()
        ]
        return min(times, default=None)

    def close(self):
        """Closes the reactor's own socket."""
        self.waker.connectionLost(None)

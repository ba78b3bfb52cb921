"""The end of a process after SIGTERM, whatever its clients do, over real sockets with stepped time.

The platform kills a process 0.7 s after its longest deadline, which it counts as 3 s at most. All
times are counted from SIGTERM.
"""

import socket
import unittest

from twisted.internet.protocol import Factory

from tests.integration.test_client_connections import PING, SocketNetwork, query, read_to_end
from tests.unit.proxy.test_proxy import endpoint_entry
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.protocol.client import ClientConnection
from thymeknot.service import lifecycle

KILL_AFTER_DEADLINE_SECONDS = 0.7
LONGEST_COUNTED_DEADLINE_SECONDS = 3.0
MAX_DELAY_SECONDS = 0.15  # for which a process may be held up
EXIT_SECONDS = 0.05  # of the interpreter, once the event loop has ended
STEP_SECONDS = 0.05
LONGEST_DEADLINES_SECONDS = 0.2, 0.5, 1.0, 2.0, 3.0, 7.5
HALF_COMMAND = query("half")[:20]
UNREAD_BYTES = 1 << 20
SEND_BUFFER_BYTES = 4096


def kill_time(longest_deadline):
    """Returns when the process is killed at the earliest, in seconds."""
    return min(longest_deadline, LONGEST_COUNTED_DEADLINE_SECONDS) + KILL_AFTER_DEADLINE_SECONDS


class Client:
    """A client whose connection is open at SIGTERM and that misbehaves from a moment on.

    Attributes:
        client_socket: Its end of the connection.
        connection: The sidecar's end.
    """

    def __init__(self, network):
        self.client_socket, self.connection = network.open_connection()
        self.client_socket.settimeout(0)

    def send(self, content):
        """Sends what the kernel takes, also where the sidecar has closed the connection."""
        try:
            self.client_socket.send(content)
        except OSError:
            pass

    def begin(self):
        """Begins to misbehave."""

    def step(self):
        """Called in each step from then on."""


class SilentClient(Client):
    """Sends nothing and does not close."""


class HalfCommandClient(Client):
    """Sends half a command."""

    def begin(self):
        self.send(HALF_COMMAND)


class BusyHalfCommandClient(Client):
    """Sends half a command behind a request that is in progress."""

    def __init__(self, network):
        super().__init__(network)
        self.send(query("busy-half", 60_000))

    def begin(self):
        self.send(HALF_COMMAND)


class PipeliningClient(Client):
    """Sends more requests than a connection may have in flight."""

    def begin(self):
        for number in range(90):
            self.send(query(f"pipelined-{number}", 60_000))


class SlowReader(Client):
    """Reads nothing, while more is to be written than the kernel's buffers hold."""

    def __init__(self, network):
        super().__init__(network)
        self.connection.transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )

    def begin(self):
        if not self.connection.client_gone and self.connection.connected:
            self.connection.transport.write(bytes(UNREAD_BYTES))
        self.send(PING)


class EndlessSender(Client):
    """Has a further command in transit at all times."""

    def step(self):
        self.send(PING * 2)


class EndlessHalfSender(Client):
    """Sends a command byte by byte, without an end."""

    def step(self):
        self.send(b"*")


CLIENT_KINDS = (
    SilentClient,
    HalfCommandClient,
    BusyHalfCommandClient,
    PipeliningClient,
    SlowReader,
    EndlessSender,
    EndlessHalfSender,
)


class ShutdownDeadlineTest(unittest.TestCase):
    def drained_at(self, kinds, longest_deadline, begin_at, delay_at=None):
        """Returns when the process may end after SIGTERM, in seconds; None if not by the kill.

        Args:
            kinds: The classes of its clients.
            longest_deadline: The longest deadline of a request class, in seconds.
            begin_at: When the clients begin to misbehave.
            delay_at: When the event loop is held up; None for never.
        """
        network = SocketNetwork(endpoint_entry("s-1"))
        clients = []
        try:
            proxy, factory = network.proxy, Factory()
            factory.noisy, factory.buildProtocol = (
                False,
                lambda address: ClientConnection(proxy.listener),
            )
            proxy.listener.port = network.loop.listenTCP(0, factory, interface="127.0.0.1")
            clients = [kind(network) for kind in kinds]
            network.step()
            return self._run(network, clients, longest_deadline, begin_at, delay_at)
        finally:
            for client in clients:
                client.client_socket.close()
            network.close()

    def _run(self, network, clients, longest_deadline, begin_at, delay_at):
        drained = []
        counted = int(min(longest_deadline, LONGEST_COUNTED_DEADLINE_SECONDS) * TICKS_PER_SECOND)
        answer_by = network.proxy.clock() + counted + lifecycle.SHUTDOWN_MARGIN
        network.proxy.limit_responses(answer_by)
        shutting_down, begun, elapsed = False, False, 0.0
        while elapsed < kill_time(longest_deadline):
            if not shutting_down and elapsed >= lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS:
                shutting_down = True
                network.proxy.shut_down(lambda: drained.append(True), answer_by)
            if not begun and elapsed >= begin_at:
                begun = True
                for client in clients:
                    client.begin()
            if begun:
                for client in clients:
                    client.step()
            step_seconds = STEP_SECONDS
            if delay_at is not None and elapsed >= delay_at:
                step_seconds, delay_at = MAX_DELAY_SECONDS, None
            network.reactor.advance(step_seconds)
            network.reactor.advance(0)
            network.step(9)
            elapsed += step_seconds
            if drained:
                return elapsed
        return None

    def assert_ends_before_kill(self, kinds, longest_deadline, begin_at, delay_at=None):
        case = [kind.__name__ for kind in kinds], longest_deadline, begin_at, delay_at
        drained_at = self.drained_at(kinds, longest_deadline, begin_at, delay_at)
        self.assertIsNotNone(drained_at, case)
        self.assertLessEqual(
            drained_at + lifecycle.FLUSH_SECONDS + EXIT_SECONDS, kill_time(longest_deadline), case
        )

    def test_request_in_flight_and_half_command_get_their_errors(self):
        """Guards against a request with a later deadline that is lost as the process ends."""
        for begin_at in (0.2, 1.0, 3.0):
            network = SocketNetwork(endpoint_entry("s-1"))
            self.addCleanup(network.close)
            factory = Factory()
            factory.noisy = False
            network.proxy.listener.port = network.loop.listenTCP(0, factory, interface="127.0.0.1")
            client = BusyHalfCommandClient(network)
            self.addCleanup(client.client_socket.close)
            network.step()
            drained_at = self._run(network, [client], 7.5, begin_at, None)
            self.assertIsNotNone(drained_at)
            client.client_socket.settimeout(5)
            self.assertEqual(
                read_to_end(client.client_socket),
                b"-ERR abandoned\r\n-ERR no whole command in time\r\n",
            )

    def test_each_kind_of_client_at_each_tenth_of_a_second(self):
        """Guards against a process that waits for a client until it is killed."""
        for kind in CLIENT_KINDS:
            for tenths in range(round(kill_time(3.0) * 10)):
                self.assert_ends_before_kill([kind], 3.0, tenths / 10)

    def test_all_clients_with_short_and_long_deadlines(self):
        """Guards against a limit that holds for the usual deadlines alone."""
        for longest_deadline in LONGEST_DEADLINES_SECONDS:
            for tenths in range(0, round(kill_time(longest_deadline) * 10), 2):
                self.assert_ends_before_kill(CLIENT_KINDS, longest_deadline, tenths / 10)

    def test_event_loop_held_up_at_each_tenth_of_a_second(self):
        """Guards against a limit without room for the delays that a process has to allow for."""
        for longest_deadline in (0.2, 1.0, 3.0):
            for tenths in range(round(kill_time(longest_deadline) * 10)):
                for begin_at in (0.4, tenths / 10, longest_deadline + 0.2):
                    self.assert_ends_before_kill(
                        CLIENT_KINDS, longest_deadline, begin_at, tenths / 10
                    )


if __name__ == "__main__":
    unittest.main()

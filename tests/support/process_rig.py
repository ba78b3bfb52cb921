"""Test rig of real processes with the feature `fleet` on loopback.

A relay on each path between two processes can cut it; clients send requests all the time, and a
monitor checks from outside which processes serve.
"""

import os
import selectors
import socket
import struct
import subprocess
import tempfile
import threading
import time
from collections import Counter

from tests.support.peers import TIMEOUT_SECONDS, FakeEndpoint, reserve_port
from tests.support.programs import Program, encode_command
from thymeknot.coordination.blocking_client import BlockingClient
from thymeknot.gossip import keys
from thymeknot.gossip.keyring import Keyring
from thymeknot.gossip.settings import Peer, PeerKey

READ_METADATA, PAY_METADATA = "c=read,t=acme,d=6000", "c=pay,t=acme,d=6000"
# Fields of the kernel's struct tcp_info, as offsets in bytes.
TCP_INFO_TOTAL_RETRANSMITS, TCP_INFO_BYTES_ACKED, TCP_INFO_SIZE = 100, 120, 128
CHECK_INTERVAL_SECONDS = 0.03  # between two checks of the monitor


class Relay:
    """A TCP relay from one process to another's port, which can be cut in each direction.

    While a direction is cut, its bytes stay unread until it is healed. A connection that stays cut
    both ways is left for the kernel to time out.
    """

    def __init__(self, port):
        self.target_port, self.listener = port, socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.forward_open = self.backward_open = (
            True  # whether bytes pass from the connecting process, and to it
        )
        self.delay = 0.0  # seconds, for each read
        self.closed, self.wake_event = False, threading.Event()
        self.listener.setblocking(False)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def cut(self, forward=True, backward=True):
        """Cuts these directions; new connections wait if any is cut."""
        self.forward_open, self.backward_open = not forward, not backward

    def heal(self):
        """Opens both directions."""
        self.forward_open = self.backward_open = True

    def _run(self):
        selector, links = selectors.DefaultSelector(), {}
        selector.register(self.listener, selectors.EVENT_READ)

        def close_link(connection):
            for side in (connection, links.pop(connection, (None,))[0]):
                if side is not None:
                    links.pop(side, None)
                    try:
                        selector.unregister(side)
                    except (KeyError, ValueError):
                        pass
                    side.close()

        while not self.closed:
            ready = selector.select(0.1)
            blocked = False
            for key, _ in ready:
                connection = key.fileobj
                if connection is self.listener:
                    if not (self.forward_open and self.backward_open):
                        blocked = True
                        continue
                    client, _ = self.listener.accept()
                    try:
                        other = socket.create_connection(("127.0.0.1", self.target_port), timeout=1)
                    except OSError:
                        client.close()
                        continue
                    links[client], links[other] = (other, True), (client, False)
                    selector.register(client, selectors.EVENT_READ)
                    selector.register(other, selectors.EVENT_READ)
                elif connection in links:
                    other, is_forward = links[connection]
                    if not (self.forward_open if is_forward else self.backward_open):
                        blocked = True
                        continue
                    try:
                        data = connection.recv(65536)
                        if self.delay:
                            time.sleep(self.delay)
                        if data:
                            other.sendall(data)
                    except OSError:
                        data = b""
                    if not data:
                        close_link(connection)
            if blocked:
                time.sleep(0.02)
        for connection in list(links):
            close_link(connection)
        self.listener.close()

    def close(self):
        self.closed = True
        self.thread.join(2)


class AvailabilityMonitor:
    """Checks all the time from outside which processes answer PING on their port.

    Several count as unavailable together only if each failed twice, in two passes over the
    processes. One that came back just before another went away is then not counted with it,
    however slow a check is.
    """

    def __init__(self, ports):
        self.ports, self.checks, self.closed = ports, [], False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    @staticmethod
    def is_serving(port):
        """Whether PING is answered on this port."""
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1) as connection:
                connection.sendall(encode_command("PING"))
                return connection.recv(16).startswith(b"+PONG")
        except OSError:
            return False

    def _check(self):
        unavailable = [name for name, port in self.ports.items() if not self.is_serving(port)]
        if len(unavailable) > 1:
            unavailable = [name for name in unavailable if not self.is_serving(self.ports[name])]
        return frozenset(unavailable)

    def _run(self):
        while not self.closed:
            self.checks.append((time.monotonic(), self._check()))
            time.sleep(CHECK_INTERVAL_SECONDS)

    def unavailable(self):
        """Returns the processes that did not serve at the last check; all before the first one."""
        return self.checks[-1][1] if self.checks else frozenset(self.ports)

    def max_unavailable(self, but=(), since=0.0):
        """Returns the highest number unavailable at one check, not counting those in `but`."""
        return max(
            (len(unavailable - set(but)) for at, unavailable in self.checks if at >= since),
            default=0,
        )

    def close(self):
        self.closed = True
        self.thread.join(3)


class LoadClients:
    """Threads that send one request after another, each on a connection of its own.

    Each id is used once. `results` has what came back: a response, an error, or b"" where the
    connection broke.
    """

    def __init__(self, ports, threads=3):
        self.ports, self.closed, self.results, self.lock = ports, False, [], threading.Lock()
        self.threads = [
            threading.Thread(target=self._run, args=(at,), daemon=True) for at in range(threads)
        ]
        for thread in self.threads:
            thread.start()

    def _run(self, at):
        count, names = 0, sorted(self.ports)
        while not self.closed:
            name = names[(at + count) % len(names)]
            count += 1
            request_id, metadata = f"c{at}-{count}", READ_METADATA if count % 2 else PAY_METADATA
            try:
                connection = socket.create_connection(("127.0.0.1", self.ports[name]), timeout=8)
            except OSError:
                time.sleep(0.005)
                continue  # not accepted, so no request was sent
            connected_at = time.monotonic()
            with connection:
                answer = send_request(connection, request_id, metadata)
                ending = describe_ending(connection, connected_at)
            with self.lock:
                self.results.append((request_id, name, time.monotonic(), answer, ending))
            time.sleep(0.01)

    def close(self):
        self.closed = True
        for thread in self.threads:
            thread.join(9)

    def unanswered(self):
        """Returns the requests that did not get exactly one response or error.

        Each is a tuple of its id, its sidecar, the bytes it got and how its connection ended.
        """
        with self.lock:
            return [
                (request_id, name, answer, ending)
                for request_id, name, _, answer, ending in self.results
                if answer != b"$%d\r\n%s\r\n+PONG\r\n" % (len(request_id), request_id.encode())
                and not (answer.startswith((b"-BUSY", b"-ERR")) and answer.count(b"\r\n") == 2)
            ]

    def answered_count(self):
        """Returns how many requests got a response from an endpoint."""
        with self.lock:
            return sum(answer.startswith(b"$") for _, _, _, answer, _ in self.results)


def describe_ending(connection, connected_at):
    """Returns how a connection ended, seen by its client, as a text.

    Where nothing was acknowledged, the server's kernel had never completed the handshake.
    """
    error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    information = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    (state,) = struct.unpack_from("B", information)
    (repeated,) = struct.unpack_from("I", information, TCP_INFO_TOTAL_RETRANSMITS)
    (acknowledged,) = struct.unpack_from("Q", information, TCP_INFO_BYTES_ACKED)
    seconds = time.monotonic() - connected_at
    return (
        f"{seconds:.4f} s after connect, state {state}, error {error}, "
        f"{repeated} segments sent again, {acknowledged} bytes acknowledged"
    )


def send_request(connection, request_id, metadata):
    """Sends a request and a PING, and returns all that comes up to the PONG."""
    arguments = (
        ("SVC.QUERY", "k", request_id, metadata)
        if metadata == READ_METADATA
        else ("SVC.SUBMIT", "k", request_id, metadata, "BODY")
    )
    answer = b""
    try:
        connection.sendall(encode_command(*arguments) + encode_command("PING"))
        while not answer.endswith(b"+PONG\r\n") and (data := connection.recv(4096)):
            answer += data
    except OSError:
        pass
    return answer


class Fleet:
    """Processes that are each a sidecar and a coordination node, with an operator's key of its own.

    Args:
        count: how many processes.
        most: how many sidecars the disruption budget allows to be out at once.
    """

    def __init__(self, count=3, most=1):
        self.folder = tempfile.TemporaryDirectory()
        self.names, self.max_out = [f"n{at}" for at in range(count)], most
        self.executed, self.release_slow, self.lock = [], threading.Event(), threading.Lock()
        self.endpoints = [FakeEndpoint(self._answer) for _ in range(2)]
        # Reserved as long as the fleet exists, also while a process is killed.
        self.reservations = [reserve_port() for _ in self.names]
        self.ports = {name: port for name, (_, port) in zip(self.names, self.reservations)}
        self.identities = {
            name: keys.create_key_file(name, os.path.join(self.folder.name, f"{name}.key"))
            for name in [*self.names, "op"]
        }
        self.relays = {
            (origin, target): Relay(self.ports[target])
            for origin in self.names
            for target in self.names
            if origin != target
        }
        self.programs, self.monitor, self.clients, self.operator_clients = {}, None, None, []
        entries = [endpoint.entry(f"s-{at}") for at, endpoint in enumerate(self.endpoints)]
        try:
            for name in self.names:
                self.programs[name] = Program(
                    *entries,
                    operator=lambda folder, name=name: self.operator_file(name),
                    change=lambda told: told["settings"].update(balancers=count),
                )
            for program in self.programs.values():
                program.__enter__()
        except BaseException:
            self.close()
            raise
        ports = {name: program.port for name, program in self.programs.items()}
        self.monitor, self.clients = AvailabilityMonitor(ports), LoadClients(ports)

    def _answer(self, arguments):
        """Answers for an endpoint; requests whose id begins with `slow` wait for release_slow."""
        with self.lock:
            self.executed.append((arguments[0], arguments[2]))
        if arguments[2].startswith(b"slow"):
            self.release_slow.wait(TIMEOUT_SECONDS)
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(arguments[2]), arguments[2])

    def operator_file(self, name):
        """Returns the text of this process's operator file."""

        def reachable_port(other):
            return self.ports[other] if other == name else self.relays[name, other].port

        keepers = ", ".join(
            f'{{name: "{node}", address: "127.0.0.1:{reachable_port(node)}", '
            f'keys: [{{key: "{self.identities[node].public_key_text()}"}}]}}'
            for node in self.names
        )
        units = ", ".join(f'{{name: "{node}", kind: "sidecar", zone: "z"}}' for node in self.names)
        # No process runs p0 and no budget limits it, so a permit for it is always granted.
        units += ', {name: "p0", kind: "pod"}'
        return (
            f'fleet: {{name: "{name}", key: "{self.folder.name}/{name}.key", data: "{self.folder.name}/{name}"\n'
            f'founds: true, from: ["127.0.0.0/8"], keepers: [{keepers}]\n'
            f"peers: [{keys.peer_record(self.identities['op'])}]\n"
            f'unit: "{name}", units: [{units}]\n'
            f'budgets: [{{name: "all", where: {{kind: "sidecar"}}, most: {self.max_out}}}]\n'
            'bound: "1s", silent: "2s", permit: "4s", tick: "100ms"\n}\n'
        )

    def make_client(self, *names, word="op"):
        """Returns an operator's client that uses these nodes, or all."""
        keyring = Keyring(
            [
                Peer(name, None, (PeerKey(identity.public_key_text(), None),))
                for name, identity in self.identities.items()
            ]
        )
        client = BlockingClient(
            self.identities["op"],
            keyring,
            {name: f"127.0.0.1:{self.ports[name]}" for name in names or self.names},
            word,
            time.time_ns(),
        )
        self.operator_clients.append(client)
        return client

    def repeated_submissions(self):
        """Returns the ids of non-idempotent requests that endpoints ran more than once."""
        with self.lock:
            executions = Counter(
                name for command, name in self.executed if command == b"SVC.SUBMIT"
            )
        return [name for name, count in executions.items() if count > 1]

    def isolate(self, name):
        """Cuts all paths between this process and the others."""
        for pair, relay in self.relays.items():
            if name in pair:
                relay.cut()

    def heal(self):
        """Opens all paths."""
        for relay in self.relays.values():
            relay.heal()

    def kill(self, name):
        """Kills a process with SIGKILL."""
        program = self.programs[name]
        program.process.kill()
        program.process.wait()

    def restart(self, name):
        """Starts a killed process again with its data and on its ports."""
        program = self.programs[name]
        former_process = program.process
        program.process = subprocess.Popen(
            former_process.args,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": program.path},
        )
        program.readers.pop().join()
        former_process.stdout.close()
        former_process.stderr.close()
        program.collect_log(program.process.stdout)

    def close(self):
        self.release_slow.set()
        for closable in (self.clients, self.monitor, *self.operator_clients):
            if closable:
                closable.close()
        for program in self.programs.values():
            program.__exit__()
        for closable in (
            *self.relays.values(),
            *self.endpoints,
            *(reservation for reservation, _ in self.reservations),
        ):
            closable.close()
        self.folder.cleanup()

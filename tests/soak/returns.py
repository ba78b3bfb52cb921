"""A sidecar that drains and returns to service in series, while clients connect all the time.

Each client connects, sends one PING and waits for its answer, again and again. A connection that is
established and then reset is a violation: its client cannot tell whether its request was read.
"""

import random
import socket
import time
from dataclasses import dataclass, field
from multiprocessing import get_context

from tests.soak.clients import encode_command
from tests.soak.planted import FAULTS
from tests.support.peers import reserve_port
from tests.support.process_rig import describe_ending

CLIENT_PROCESSES = 4
SERVICE_SECONDS = 0.02  # mean time in service between two drains
POLL_SECONDS = 0.05  # between two checks whether the clients have ended
CONNECT_TIMEOUT_SECONDS = 5.0
ANSWER_TIMEOUT_SECONDS = 5.0
REFUSED_PAUSE_SECONDS = 0.001
SOCKET_LIMIT = 1024


@dataclass
class ReturnsResult:
    """What clients saw of a series of drains.

    Attributes:
        drains: How often the sidecar drained and returned.
        answered: Connections that were answered.
        lost: How each connection that was not answered ended.
    """

    drains: int = 0
    answered: int = 0
    lost: list = field(default_factory=list)

    def add(self, other):
        """Adds what another process saw."""
        self.drains += other.drains
        self.answered += other.answered
        self.lost += other.lost

    def resets(self):
        """Returns the connections that were reset."""
        return [ending for ending in self.lost if ending.startswith("reset")]


def _serve(port, fault_name, ready, clients_ended, results):
    """Runs a sidecar's listener in this process, and drains it again and again."""
    from tests.unit.proxy.test_proxy import configuration_object, endpoint_entry
    from thymeknot.proxy.proxy import Proxy
    from thymeknot.service import configuration, lifecycle
    from thymeknot.state.timer_queue import TimerQueue

    if fault_name is not None:
        exec(FAULTS[fault_name].patch, {})
    reactor, faults = lifecycle.monotonic_reactor(), []
    start = configuration.parse(configuration_object(endpoint_entry("s-1")), 0)
    start = start._replace(listen=("127.0.0.1", port), sockets=SOCKET_LIMIT)
    timers = TimerQueue(lifecycle.clock, reactor.callLater, lambda *fault: faults.append(fault))
    proxy, result, rng = Proxy(start, reactor, timers, 0), ReturnsResult(), random.Random(port)

    def drain():
        result.drains += 1
        proxy.drain(lambda: None)
        proxy.undrain(serve_for_a_while, faults.append)

    def serve_for_a_while():
        reactor.callLater(SERVICE_SECONDS * rng.uniform(0.5, 1.5), drain)

    def stop_after_clients():
        if clients_ended.is_set():
            reactor.stop()
        else:
            reactor.callLater(POLL_SECONDS, stop_after_clients)

    proxy.serve()
    ready.set()
    serve_for_a_while()
    stop_after_clients()
    reactor.run()
    result.lost += [f"fault: {fault}" for fault in faults]
    results.put(result)


def _connect_repeatedly(port, seconds, answer_timeout, results):
    result, end = ReturnsResult(), time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            connection = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_SECONDS)
        except OSError:
            time.sleep(REFUSED_PAUSE_SECONDS)
            continue
        connected_at = time.monotonic()
        connection.settimeout(answer_timeout)
        with connection:
            outcome = _ask(connection)
            if outcome is None:
                result.answered += 1
            else:
                result.lost.append(f"{outcome} {describe_ending(connection, connected_at)}")
    results.put(result)


def _ask(connection):
    """Returns how the connection ended without an answer; None if it was answered."""
    try:
        connection.sendall(encode_command("PING"))
        return None if connection.recv(100) else "end of stream"
    except TimeoutError:
        return "no answer"
    except OSError:
        return "reset"


def run_returns(seconds, fault_name=None, answer_timeout=ANSWER_TIMEOUT_SECONDS):
    """Runs a series of drains for some seconds and returns the ReturnsResult.

    Args:
        seconds: How long clients connect.
        fault_name: Name of a fault to inject into the sidecar; None for none.
        answer_timeout: Seconds for which a client waits for each answer.
    """
    context = get_context("spawn")
    ready, clients_ended, results = context.Event(), context.Event(), context.Queue()
    reservation, port = reserve_port()
    sidecar = context.Process(target=_serve, args=(port, fault_name, ready, clients_ended, results))
    clients = [
        context.Process(target=_connect_repeatedly, args=(port, seconds, answer_timeout, results))
        for _ in range(CLIENT_PROCESSES)
    ]
    total = ReturnsResult()
    with reservation:
        sidecar.start()
        ready.wait()
        for client in clients:
            client.start()
        for _ in clients:
            total.add(results.get())
        clients_ended.set()
        total.add(results.get())
        for process in (sidecar, *clients):
            process.join()
    return total

"""Faults to inject into the sidecar; the checks must find each of them."""

from dataclasses import dataclass

PROGRAM_START = """import os, sys
from thymeknot.service import lifecycle
"""
PROGRAM_END = """
sys.exit(lifecycle.main(os.environ))
"""


@dataclass(frozen=True)
class InjectedFault:
    """A fault to inject.

    Attributes:
        kind: The kind of violation that it must cause.
        seeds: Seeds of plans in which it can show.
        patch: Python code that changes the program before it runs.
    """

    kind: str
    seeds: tuple[int, ...]
    patch: str

    @property
    def program(self):
        """The code that runs the sidecar with the fault."""
        return PROGRAM_START + self.patch + PROGRAM_END


FAULTS = {
    "dropped response": InjectedFault(
        "lost response",
        (1, 2, 4),
        """
from thymeknot.protocol.client import ClientConnection
answer, count = ClientConnection.answer, [0]
def drop_some(self, sequence, content):
    count[0] += 1
    if count[0] % 25:
        answer(self, sequence, content)
ClientConnection.answer = drop_some
""",
    ),
    "late response": InjectedFault(
        "late response",
        (1, 2, 4),
        """
from thymeknot.protocol.client import ClientConnection
answer, count = ClientConnection.answer, [0]
def delay_some(self, sequence, content):
    count[0] += 1
    if count[0] % 25:
        answer(self, sequence, content)
    else:
        self.timers.add(self.timers.clock() + 42_000, answer, self, sequence, content)
ClientConnection.answer = delay_some
""",
    ),
    "duplicate response": InjectedFault(
        "wrong response",
        (1, 2, 4),
        """
from thymeknot.protocol.client import ClientConnection
answer = ClientConnection.answer
def answer_twice(self, sequence, content):
    answer(self, sequence, content)
    if not self.pending_responses:
        self.transport.write(content)
ClientConnection.answer = answer_twice
""",
    ),
    "endpoint connection reused without a pause": InjectedFault(
        "wrong response",
        (47, 21, 28),
        """
from thymeknot.state import connection_pool
connection_pool.REST_AFTER_RESPONSE = 0
""",
    ),
    "non-idempotent request sent again": InjectedFault(
        "duplicate execution",
        (5, 7, 8, 10, 11),
        """
from thymeknot.policy import idempotency
idempotency.may_repeat = lambda request, now, by_client: True
from thymeknot.proxy.attempt import Attempt
Attempt._write_by = lambda self: self.expires_at
""",
    ),
    "drain ignored": InjectedFault(
        "drain",
        (2, 4, 5, 7),
        """
from thymeknot.protocol import discovery
discovery.CONDITIONS["Terminating"] = discovery.CONDITIONS["Ready"]
""",
    ),
    "client disconnect ignored": InjectedFault(
        "client gone",
        (5, 1, 4, 7, 10, 50, 3, 24),
        """
from thymeknot.proxy.client_requests import ClientRequests
ClientRequests.client_disconnected = lambda self, connection: None
from thymeknot.proxy import proxy
proxy.close_if_client_gone = lambda request: None
""",
    ),
    "unlimited exposure": InjectedFault(
        "exposure",
        (1, 4, 5, 7, 8),
        """
from thymeknot.policy.exposure_budget import ExposureBudget
from thymeknot.policy.traffic_split import TrafficSplit
from thymeknot.state.trial_exposure import TrialExposure
ExposureBudget.allows = TrialExposure.allows = lambda self, *_: True
TrafficSplit.builds_for = lambda self, request: (True, False)
""",
    ),
    "keys not sticky": InjectedFault(
        "sticky key",
        (1, 4, 5, 7, 8),
        """
from thymeknot.policy.sticky_keys import StickyKeys
StickyKeys.must_stay = lambda self, key: False
""",
    ),
    "first string served as the value": InjectedFault(
        "wrong response",
        (5, 2, 4, 1, 3),
        """
from thymeknot.protocol import pod_response
from thymeknot.protocol.pod_response import PodResponse
def first_string(elements, length):
    return PodResponse(elements[0], None, None) if elements else None
pod_response.read_response_before_error = first_string
""",
    ),
    "shutdown that never ends": InjectedFault(
        "shutdown",
        (1, 2),
        """
from thymeknot.proxy.graceful_shutdown import GracefulShutdown
GracefulShutdown.notify_if_drained = lambda self: None
""",
    ),
    "nonzero exit status": InjectedFault(
        "exit status",
        (2, 4),
        """
import atexit
atexit.register(os._exit, 3)
""",
    ),
    "no timeout for incomplete commands": InjectedFault(
        "invalid command",
        (1, 2, 4, 5, 7, 8),
        """
from thymeknot.protocol.client import ClientConnection
ClientConnection._expect_command = lambda self, timeout: None
""",
    ),
    "attempt timeout too long": InjectedFault(
        "timeout",
        (1, 2, 4),
        """
from thymeknot.protocol.command import Command
forwarded_words = Command.forwarded_words
Command.forwarded_words = lambda self, timeout_ms: forwarded_words(self, timeout_ms + 1_000)
""",
    ),
    "exception in the sidecar": InjectedFault(
        "logged fault",
        (1, 2, 4),
        """
from thymeknot.policy.endpoint_selection import EndpointSelection
cost, count = EndpointSelection.cost, [0]
def fail_sometimes(self, endpoint):
    count[0] += 1
    if count[0] % 50 == 0:
        raise ZeroDivisionError("planted")
    return cost(self, endpoint)
EndpointSelection.cost = fail_sometimes
""",
    ),
    "handshakes dropped at the close": InjectedFault(
        "reset connection",
        (1, 2, 4),
        """
# Until the close, the last segments of handshakes are on their way, as on a busy machine.
from tests.support.unfinished_handshakes import hold_handshakes
from thymeknot.protocol.listening_socket import BpfInstruction, attach_filter
from thymeknot.proxy import listener_closer
from thymeknot.proxy.graceful_shutdown import GracefulShutdown
DROP_ALL = (BpfInstruction(6, 0, 0, 0),)
close_listener = GracefulShutdown._close_listener
def close_later(self):
    hold_handshakes(self.listener.port.socket)
    self.timers.cancel(self._close_timer)
    self.reactor.callLater(0.05, close_listener, self)
GracefulShutdown._close_listener = close_later
listener_closer.drop_connection_requests = lambda listener: attach_filter(listener, DROP_ALL)
listener_closer.count_unfinished_handshakes = lambda listener: 0
""",
    ),
    "each connection waits by its own timers": InjectedFault(
        "shutdown",
        (1, 2, 4, 5, 6, 7, 8),
        """
from thymeknot.proxy.graceful_shutdown import GracefulShutdown
GracefulShutdown._stop_waiting = lambda self: None
""",
    ),
}

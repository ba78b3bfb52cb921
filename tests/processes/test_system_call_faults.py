"""System calls on sockets that fail, or read and write in part, in a real process."""

import unittest

from tests.crowd.trial import LATEST_RESPONSE_SECONDS, TrialPlan, run_trial

SECONDS = 3.0
SEED = 1
MIN_FAILED_CALLS = 2
SHIM = """
import errno, os, random, socket, sys, time
from thymeknot.service import lifecycle

MIN_FAILED_CALLS = {min_failed_calls}
KIND, PROBABILITY = {kind!r}, {probability}
rng, started = random.Random({seed}), time.monotonic()
real = {{name: getattr(socket.socket, name) for name in ("_accept", "recv", "send", "connect_ex")}}
counts = {{}}
outgoing = set()

def fails(name):
    # For a while: not in the first half second, in which the process starts.
    active = time.monotonic() - started > 0.5 and rng.random() < PROBABILITY
    if active:
        counts[name] = counts.get(name, 0) + 1
        if counts[name] == MIN_FAILED_CALLS:
            print("enough calls failed:", name, flush=True)
    return active

def error(number):
    return OSError(number, os.strerror(number))

def accept(self):
    if KIND.startswith("accept") and fails("accept"):
        raise error(getattr(errno, KIND.split()[1]))
    return real["_accept"](self)

def connect_ex(self, address):
    outgoing.add(self.fileno())
    if KIND.startswith("connect") and address[1] in {ports!r} and fails("connect"):
        return getattr(errno, KIND.split()[1])
    return real["connect_ex"](self, address)

def recv(self, size, *flags):
    if KIND == "short" and size > 1 and not flags:
        fails("recv")
        return real["recv"](self, rng.randint(1, min(size, 40)), *flags)
    if KIND.startswith("read") and not flags and is_endpoint(self) and fails("read"):
        raise error(getattr(errno, KIND.split()[1]))
    return real["recv"](self, size, *flags)

def send(self, data, *flags):
    if KIND == "short" and len(data) > 1:
        fails("send")
        return real["send"](self, bytes(data)[: rng.randint(1, 30)], *flags)
    if KIND == "write ENOBUFS" and fails("write"):
        raise error(errno.ENOBUFS)
    if KIND.startswith("write") and is_endpoint(self) and fails("write"):
        raise error(getattr(errno, KIND.split()[1]))
    return real["send"](self, data, *flags)

def is_endpoint(connection):
    try:
        return connection.getpeername()[1] in {ports!r}
    except OSError:
        return False

socket.socket._accept, socket.socket.recv = accept, recv
socket.socket.send, socket.socket.connect_ex = send, connect_ex
status = lifecycle.main(os.environ)
sys.exit(status)
"""
FAULTS = (
    ("accept ECONNABORTED", 0.5),
    ("accept ENFILE", 0.5),
    ("accept ENOBUFS", 0.5),
    ("connect EADDRNOTAVAIL", 0.4),
    ("connect ENETUNREACH", 0.4),
    ("connect ENOBUFS", 0.4),
    ("read ETIMEDOUT", 0.1),
    ("read EHOSTUNREACH", 0.1),
    ("write ENOBUFS", 0.3),
    ("write EHOSTUNREACH", 0.1),
    ("short", 1.0),
)


class SystemCallFaultTest(unittest.TestCase):
    # Failure: a request without its answer since a system call failed for a while.
    def test_every_request_is_answered_in_time_whatever_system_calls_fail(self):
        for kind, probability in FAULTS:
            with self.subTest(kind):

                def shim(ports, kind=kind, probability=probability):
                    return SHIM.format(
                        kind=kind,
                        probability=probability,
                        seed=SEED,
                        ports=set(ports),
                        min_failed_calls=MIN_FAILED_CALLS,
                    )

                plan = TrialPlan(None, seconds=SECONDS, memory_mb=64, reconnects=True)
                result = run_trial(plan, shim)
                self.assertTrue(any("enough calls failed" in line for line in result.log), kind)
                self.assertEqual((result.exits, result.faults), ([], []), result.row())
                self.assertEqual((result.unanswered, result.late), (0, 0), result.row())
                self.assertLessEqual(result.worst_seconds, LATEST_RESPONSE_SECONDS, result.row())
                self.assertGreater(result.served, result.sent / 2, result.row())

"""The program as a process of its own, and a client for it."""

import copy
import json
import os
import queue
import socket
import subprocess
import sys
import tempfile
import threading
import time
from unittest import mock

from tests.support.peers import (
    SETTINGS,
    TIMEOUT_SECONDS,
    FakeDiscovery,
    FakePlatform,
    reserve_port,
    wait_until,
)


def run_with_code(code):
    """Has each Program made within the context run this code in place of `-m thymeknot`."""
    popen = subprocess.Popen
    return mock.patch(
        f"{__name__}.subprocess.Popen",
        lambda arguments, **options: popen([arguments[0], "-c", code], **options),
    )


def run_after_setup(code):
    """Has each Program made within the context run this code before `lifecycle.main`."""
    return run_with_code(f"""import os, signal, sys
from thymeknot.service import lifecycle
{code}
sys.exit(lifecycle.main(os.environ))""")


def without_first_list_timeout():
    """Has the program wait for its first list as long as the test does.

    Whatever a test does before the list then always comes in time.
    """
    return run_after_setup(f"lifecycle.FIRST_LIST_TIMEOUT_SECONDS = {TIMEOUT_SECONDS}")


def pause_at_sigterm():
    """Has the program stop itself (SIGSTOP) at SIGTERM, with its shutdown begun, until SIGCONT.

    Whatever a test sends for the last half second of the program then always comes in time.
    """
    return run_after_setup("""stop = lifecycle.Lifecycle._stop
def stop_and_pause(instance):
    first_signal = not instance.stopping
    stop(instance)
    if first_signal:
        os.kill(os.getpid(), signal.SIGSTOP)
lifecycle.Lifecycle._stop = stop_and_pause""")


class Program:
    """The program with a discovery and a release platform of its own.

    Args:
        entries: the endpoints in the configuration's list.
        answer: answers calls to the release platform, see FakeHttpServer.
        release_state: the platform's state, also in the configuration.
        change: changes the configuration object before it is written.
        operator: returns the text of the operator file, given its directory.
        silent: whether discovery sends nothing until something is pushed.
    """

    def __init__(
        self,
        *entries,
        answer=None,
        release_state=FakePlatform.RELEASE_STATE,
        change=None,
        operator=None,
        silent=False,
    ):
        self.discovery, self.platform = (
            FakeDiscovery(silent=silent),
            FakePlatform(answer, release_state),
        )
        self.reservation, self.port = reserve_port()
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "deployer": {"address": self.platform.address, "news": dict(release_state)},
            "known": {"version": 7, "full": True, "servers": list(entries)},
            "settings": copy.deepcopy(SETTINGS),
        }
        if change:
            change(config)
        self.folder = tempfile.TemporaryDirectory()
        path = self.path = os.path.join(self.folder.name, "config.json")
        self.config, self.lines, self.readers = config, queue.Queue(), []
        self.write_config(config)
        arguments = [sys.executable, "-m", "thymeknot"]
        if operator:
            self.operator = os.path.join(self.folder.name, "operator.cue")
            with open(self.operator, "w", encoding="utf-8") as target:
                target.write(operator(self.folder.name))
            arguments += ["--operator", self.operator]
        self.process = subprocess.Popen(
            arguments,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": path},
        )

    def write_config(self, config):
        """Writes the configuration file."""
        with open(self.path, "w", encoding="utf-8") as target:
            json.dump(config, target)

    def wait_for_log(self, event):
        """Returns the next log line with this event; lines before it are dropped."""
        wait_until(
            lambda: self.line["event"] == event,
            lambda: setattr(self, "line", json.loads(self.lines.get(timeout=TIMEOUT_SECONDS))),
        )
        line, self.line = self.line, {"event": None}
        return line

    def wait_until_stopped(self):
        """Waits until the process is stopped by SIGSTOP."""

        def state():
            with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as source:
                return source.read().rpartition(")")[2].split()[0]

        wait_until(lambda: state() == "T", lambda: time.sleep(0.005))

    def __enter__(self):
        line, self.line = b"", {"event": None}
        while b'"ready"' not in line:
            line = self.process.stdout.readline()
            if not line:
                raise AssertionError(self.process.stderr.read().decode())
        self.collect_log(self.process.stdout)
        self.discovery.stream_requests.get(timeout=TIMEOUT_SECONDS)
        self.platform.stream_requests.get(timeout=TIMEOUT_SECONDS)
        return self

    def collect_log(self, source):
        """Reads log lines from this stream in a thread."""
        self.readers.append(
            threading.Thread(target=lambda: [self.lines.put(line) for line in source], daemon=True)
        )
        self.readers[-1].start()

    def __exit__(self, *_):
        self.process.kill()
        for reader in self.readers:
            reader.join()
        self.process.communicate()
        self.discovery.close()
        self.platform.close()
        self.reservation.close()
        self.folder.cleanup()

    def client(self):
        """Returns a new connection to the program."""
        return Client(self.port)


class Client:
    """A client's connection to the program."""

    def __init__(self, port):
        self.connection = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_SECONDS)
        self.reader = self.connection.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.reader.close()
        self.connection.close()

    def send(self, *arguments):
        """Sends a command."""
        self.connection.sendall(encode_command(*arguments))

    def request(self, *arguments):
        """Sends a command and returns its response."""
        self.send(*arguments)
        return self.read_response()

    def read_response(self):
        """Returns the next response: a string's content or the whole line; b"" at the end."""
        line = self.reader.readline()
        if line.startswith(b"$"):
            return self.reader.read(int(line[1:]) + 2)[:-2]
        return line.strip()


def encode_command(*arguments):
    """Returns a command as an array of bulk strings."""
    arguments = [word if isinstance(word, bytes) else word.encode() for word in arguments]
    return b"*%d\r\n" % len(arguments) + b"".join(
        b"$%d\r\n%s\r\n" % (len(word), word) for word in arguments
    )

"""Real programs with the feature `fleet` on loopback, a relay of our own on each path from one to another, clients with
transactions, and a checker that knows nothing but what sockets answer."""

import os
import selectors
import socket
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
CHECK_INTERVAL_SECONDS = 0.03  # seconds between two looks of the checker


class Relay:
    """One path, from a process to another's port. What is cut stays unread (and so unsent) until it is healed; a
    connection that is cut both ways for good is the kernel's to give up."""

    def __init__(self, port):
        self.to, self.listener = port, socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.there = self.back = True  # whether bytes go from the asker, and to it
        self.delay = 0.0  # seconds for each piece
        self.closed, self.wake = False, threading.Event()
        self.listener.setblocking(False)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def cut(self, there=True, back=True):
        self.there, self.back = not there, not back

    def heal(self):
        self.there = self.back = True

    def _run(self):
        watched, pairs = selectors.DefaultSelector(), {}
        watched.register(self.listener, selectors.EVENT_READ)

        def drop(one):
            for side in (one, pairs.pop(one, (None,))[0]):
                if side is not None:
                    pairs.pop(side, None)
                    try:
                        watched.unregister(side)
                    except (KeyError, ValueError):
                        pass
                    side.close()

        while not self.closed:
            ready = watched.select(0.1)
            held = False
            for key, _ in ready:
                one = key.fileobj
                if one is self.listener:
                    if not (self.there and self.back):
                        held = True
                        continue
                    asker, _ = self.listener.accept()
                    try:
                        other = socket.create_connection(("127.0.0.1", self.to), timeout=1)
                    except OSError:
                        asker.close()
                        continue
                    pairs[asker], pairs[other] = (other, True), (asker, False)
                    watched.register(asker, selectors.EVENT_READ)
                    watched.register(other, selectors.EVENT_READ)
                elif one in pairs:
                    other, forth = pairs[one]
                    if not (self.there if forth else self.back):
                        held = True
                        continue
                    try:
                        content = one.recv(65536)
                        if self.delay:
                            time.sleep(self.delay)
                        if content:
                            other.sendall(content)
                    except OSError:
                        content = b""
                    if not content:
                        drop(one)
            if held:
                time.sleep(0.02)
        for one in list(pairs):
            drop(one)
        self.listener.close()

    def close(self):
        self.closed = True
        self.thread.join(2)


class AvailabilityMonitor:
    """Looks from outside, again and again, at who answers PING on its port. `out`: who did not at each look. Several
    were out together if they were so twice, each time before or after all others: one that came back just before
    another went does not count, however slow the look is."""

    def __init__(self, ports):
        self.ports, self.checks, self.closed = ports, [], False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    @staticmethod
    def is_serving(port):
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1) as one:
                one.sendall(encode_command("PING"))
                return one.recv(16).startswith(b"+PONG")
        except OSError:
            return False

    def _check(self):
        out = [name for name, port in self.ports.items() if not self.is_serving(port)]
        if len(out) > 1:
            out = [name for name in out if not self.is_serving(self.ports[name])]
        return frozenset(out)

    def _run(self):
        while not self.closed:
            self.checks.append((time.monotonic(), self._check()))
            time.sleep(CHECK_INTERVAL_SECONDS)

    def unavailable(self):
        return self.checks[-1][1] if self.checks else frozenset(self.ports)

    def max_unavailable(self, but=(), since=0.0):
        """The most that were out at one look; `but`: those whom the test itself killed."""
        return max((len(out - set(but)) for at, out in self.checks if at >= since), default=0)

    def close(self):
        self.closed = True
        self.thread.join(3)


class LoadClients:
    """Threads that send one transaction after another, each on a connection of its own to any sidecar that takes it.
    Each id is used once; what comes back is kept: an answer, an error, or none where the connection broke."""

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
            what, words = f"c{at}-{count}", READ_METADATA if count % 2 else PAY_METADATA
            try:
                one = socket.create_connection(("127.0.0.1", self.ports[name]), timeout=8)
            except OSError:
                time.sleep(0.005)
                continue  # not taken: no transaction
            with one:
                answer = send_request(one, what, words)
            with self.lock:
                self.results.append((what, name, time.monotonic(), answer))
            time.sleep(0.01)

    def close(self):
        self.closed = True
        for thread in self.threads:
            thread.join(9)

    def unanswered(self):
        """Transactions that did not get exactly one answer, be it a refusal: (id, sidecar, what came)."""
        with self.lock:
            return [
                (what, name, answer)
                for what, name, _, answer in self.results
                if answer != b"$%d\r\n%s\r\n+PONG\r\n" % (len(what), what.encode())
                and not (answer.startswith((b"-BUSY", b"-ERR")) and answer.count(b"\r\n") == 2)
            ]

    def answered_count(self):
        with self.lock:
            return sum(answer.startswith(b"$") for *_, answer in self.results)


def send_request(one, what, words):
    """Sends one transaction and a PING behind it: what comes up to the PONG is its one answer."""
    verb = (
        ("SVC.QUERY", "k", what, words)
        if words == READ_METADATA
        else ("SVC.SUBMIT", "k", what, words, "BODY")
    )
    answer = b""
    try:
        one.sendall(encode_command(*verb) + encode_command("PING"))
        while not answer.endswith(b"+PONG\r\n") and (part := one.recv(4096)):
            answer += part
    except OSError:
        pass
    return answer


class Fleet:
    """count programs, each a sidecar and a keeper, with an operator's key outside of them."""

    def __init__(self, count=3, most=1):
        self.folder = tempfile.TemporaryDirectory()
        self.names, self.most = [f"n{at}" for at in range(count)], most
        self.executed, self.release_slow, self.lock = [], threading.Event(), threading.Lock()
        self.pods = [FakeEndpoint(self._answer) for _ in range(2)]
        self.reservations = [
            reserve_port() for _ in self.names
        ]  # also while a process is killed and has not come back
        self.ports = {name: port for name, (_, port) in zip(self.names, self.reservations)}
        self.identities = {
            name: keys.create_key_file(name, os.path.join(self.folder.name, f"{name}.key"))
            for name in [*self.names, "op"]
        }
        self.relays = {
            (one, two): Relay(self.ports[two])
            for one in self.names
            for two in self.names
            if one != two
        }
        self.programs, self.monitor, self.clients, self.operator_clients = {}, None, None, []
        entries = [pod.entry(f"s-{at}") for at, pod in enumerate(self.pods)]
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

    def _answer(self, words):
        """A pod's: it keeps what ran, and holds what is called slow until it is let go."""
        with self.lock:
            self.executed.append((words[0], words[2]))
        if words[2].startswith(b"slow"):
            self.release_slow.wait(TIMEOUT_SECONDS)
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(words[2]), words[2])

    def operator_file(self, name):
        def place(other):
            return self.ports[other] if other == name else self.relays[name, other].port

        keepers = ", ".join(
            f'{{name: "{one}", address: "127.0.0.1:{place(one)}", '
            f'keys: [{{key: "{self.identities[one].public_key_text()}"}}]}}'
            for one in self.names
        )
        units = ", ".join(f'{{name: "{one}", kind: "sidecar", zone: "z"}}' for one in self.names)
        units += ', {name: "p0", kind: "pod"}'  # nobody holds it and no budget binds it: it can be granted always
        return (
            f'fleet: {{name: "{name}", key: "{self.folder.name}/{name}.key", data: "{self.folder.name}/{name}"\n'
            f'founds: true, from: ["127.0.0.0/8"], keepers: [{keepers}]\n'
            f"peers: [{keys.peer_record(self.identities['op'])}]\n"
            f'unit: "{name}", units: [{units}]\n'
            f'budgets: [{{name: "all", where: {{kind: "sidecar"}}, most: {self.most}}}]\n'
            'bound: "1s", silent: "2s", permit: "4s", tick: "100ms"\n}\n'
        )

    def make_client(self, *names, word="op"):
        """An operator's client, at these keepers alone or at all."""
        ring = Keyring(
            [
                Peer(name, None, (PeerKey(one.public_key_text(), None),))
                for name, one in self.identities.items()
            ]
        )
        made = BlockingClient(
            self.identities["op"],
            ring,
            {name: f"127.0.0.1:{self.ports[name]}" for name in names or self.names},
            word,
            time.time_ns(),
        )
        self.operator_clients.append(made)
        return made

    def repeated_submissions(self):
        """Binding transactions that pods ran more than once."""
        with self.lock:
            ran = Counter(name for verb, name in self.executed if verb == b"SVC.SUBMIT")
        return [name for name, count in ran.items() if count > 1]

    def isolate(self, name):
        """Nothing passes between it and the others."""
        for pair, path in self.relays.items():
            if name in pair:
                path.cut()

    def heal(self):
        for path in self.relays.values():
            path.heal()

    def kill(self, name):
        program = self.programs[name]
        program.process.kill()
        program.process.wait()

    def restart(self, name):
        """With its disk, on its own ports."""
        program = self.programs[name]
        former = program.process
        program.process = subprocess.Popen(
            former.args,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": program.path},
        )
        program.readers.pop().join()
        former.stdout.close()
        former.stderr.close()
        program.collect_log(program.process.stdout)

    def close(self):
        self.release_slow.set()
        for part in (self.clients, self.monitor, *self.operator_clients):
            if part:
                part.close()
        for program in self.programs.values():
            program.__exit__()
        for part in (*self.relays.values(), *self.pods, *(place for place, _ in self.reservations)):
            part.close()
        self.folder.cleanup()

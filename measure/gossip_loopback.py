"""Real programs on loopback: five instances with gossip, of which one is hostile, stand-in pods of which one fails."""

import json
import multiprocessing
import os
import queue
import random
import socket
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor

from measure.hostile import Liar
from measure.load import drive, quantile
from measure.world import TERMS
from tests.support.peers import FakeEndpoint, wait_until
from tests.support.programs import Program
from thymeknot.gossip import codec, keys
from thymeknot.gossip.codec import Frame, Ping
from thymeknot.gossip.context import TICK_INTERVAL
from thymeknot.gossip.keyring import AllowedNetworks, Keyring, new_identity
from thymeknot.gossip.node import GossipNode
from thymeknot.gossip.own_experience import EndpointKey
from thymeknot.gossip.settings import Peer, PeerKey
from thymeknot.state.random_source import LinearCongruentialGenerator

HONEST, HOSTILE = ("n0", "n1", "n2", "n3"), "n4"
HEARSAY = 'hearsay: {witnesses: 3, liars: 1, lapse: "20s", doubt: "4s"}'
CEILING = 32_000


def clock():
    return time.monotonic_ns() // 100_000


def datagram_port():
    """(a socket that keeps the number, a free port for datagrams). Below those that the machine gives to whoever asks
    for any, and kept among those who call this by a port for streams of the same number."""
    while True:
        kept = socket.socket()
        try:
            kept.bind(("127.0.0.1", random.randrange(18_000, 32_000)))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
                one.bind(kept.getsockname())
            return kept, kept.getsockname()[1]
        except OSError:
            kept.close()


class Fleet:
    """Programs that gossip, beside stand-ins of all they speak to. answers: a function for each pod."""

    def __init__(self, answers, names=HONEST, others=(HOSTILE,), more=HEARSAY):
        self.pods = [FakeEndpoint(answer) for answer in answers]
        self.folder = tempfile.TemporaryDirectory()
        self.kept = {name: datagram_port() for name in (*names, *others)}
        self.identities, self.ports = {}, {name: port for name, (_, port) in self.kept.items()}
        for name in self.ports:
            path = os.path.join(self.folder.name, f"{name}.key")
            self.identities[name] = keys.create_key_file(name, path)
        self.peers = ", ".join(keys.peer_record(identity) for identity in self.identities.values())
        entries = [pod.entry(f"s-{at}") for at, pod in enumerate(self.pods)]
        self.programs, self.more = {}, more
        for name in names:
            self.programs[name] = Program(
                *entries,
                operator=lambda folder, name=name: self.operator_file_text(name),
                change=lambda told: told["settings"].update(balancers=len(names)),
            )
        try:
            for program in self.programs.values():
                program.__enter__()
        except BaseException:
            self.close()
            raise

    def operator_file_text(self, name, peers=None):
        path, seeds = os.path.join(self.folder.name, f"{name}.key"), list(self.ports.values())[:2]
        told = ", ".join(f'"127.0.0.1:{port}"' for port in seeds)
        return (
            f'gossip: {{name: "{name}", listen: "127.0.0.1:{self.ports[name]}", key: "{path}", seeds: [{told}]\n'
            f'from: ["127.0.0.1/32"], peers: [{peers or self.peers}]\n{self.more}\n}}\n'
        )

    def ring(self):
        return Keyring(
            [
                Peer(name, None, (PeerKey(one.public_key_text(), None),))
                for name, one in self.identities.items()
            ]
        )

    def take_log_lines(self, name):
        """The lines logged and not yet taken."""
        found = []
        while True:
            try:
                found.append(self.programs[name].lines.get_nowait())
            except queue.Empty:
                return [json.loads(line) for line in found]

    def close(self):
        for program in self.programs.values():
            program.__exit__()
        for part in (*self.pods, *(place for place, _ in self.kept.values())):
            part.close()
        self.folder.cleanup()


class HostilePeer(threading.Thread):
    """A liar with a valid key on a socket of its own."""

    def __init__(self, fleet, pods):
        super().__init__(daemon=True)
        address, now = ("127.0.0.1", fleet.ports[HOSTILE]), clock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(address)
        self.socket.settimeout(0.02)
        node = GossipNode(
            TERMS,
            fleet.identities[HOSTILE],
            fleet.ring(),
            AllowedNetworks(["127.0.0.1/32"]),
            announced=address,
            seeds=[("127.0.0.1", fleet.ports["n0"])],
            now=now,
            random_source=LinearCongruentialGenerator(9),
            start=77,
            new_nonce=lambda: os.urandom(8),
            unix=time.time,
        )
        self.liar, self.over = Liar(node, pods), threading.Event()

    def run(self):
        node, lie_at, tick_at = self.liar.node, clock() + 20_000, clock()
        while not self.over.is_set():
            try:
                content, source = self.socket.recvfrom(2048)
                self.liar.record_datagram(content)
                node.receive_datagram(clock(), source, content)
            except TimeoutError:
                pass
            now = clock()
            if now >= tick_at:
                tick_at = now + TICK_INTERVAL
                node.tick(now)
            if now >= lie_at:
                lie_at = now + 5_000
                self.liar.lies(now)
            out = node.take_datagrams()
            for address, content in out:
                try:
                    self.socket.sendto(content, address)
                except OSError:
                    pass
        self.socket.close()


def flood(port, key_id, rate, seconds):
    """Forged datagrams at this rate to one instance: noise, and such as are well formed under a known key's name.
    Gives how many were sent a second."""
    out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stranger = new_identity("n1")
    stranger.key_id = key_id
    forged = [
        codec.seal_frame(Frame("n1", "n0", 5, at, 5, Ping(os.urandom(8), bytes(128)), []), stranger)
        for at in range(200)
    ]
    datagrams, sent, begin = forged + [os.urandom(300) for _ in range(200)], 0, time.monotonic()
    while (passed := time.monotonic() - begin) < seconds:
        while sent < passed * rate:
            out.sendto(datagrams[sent % len(datagrams)], ("127.0.0.1", port))
            sent += 1
        time.sleep(0.001)
    return round(sent / seconds)


class Pods:
    """What the pods do, and what they count: a binding transaction that runs twice breaks a rule."""

    def __init__(self, seed):
        self.chance, self.ran, self.twice, self.lock = random.Random(seed), {}, 0, threading.Lock()

    def answer(self, ill):
        def answer(words):
            with self.lock:
                if words[0] == b"SVC.SUBMIT":
                    self.ran[words[2]] = self.ran.get(words[2], 0) + 1
                    self.twice += self.ran[words[2]] == 2
                fails = self.chance.random() < ill
            return b"-ERR failed\r\n" if fails else b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"

        return answer


def measure_loopback(seed, short):
    figures = {}
    pods = Pods(seed)
    fleet = Fleet([pods.answer(0.6 if at == 5 else 0.0) for at in range(6)])
    hostile = None
    try:
        healthy = [
            EndpointKey(f"s-{at}", pod.address, 41, 0)
            for at, pod in enumerate(fleet.pods)
            if at != 5
        ]
        hostile = HostilePeer(fleet, healthy)
        hostile.start()
        events = {name: [] for name in HONEST}

        def gather():
            for name in HONEST:
                events[name] += fleet.take_log_lines(name)

        def met():
            return {
                name: [
                    (line["peer"], line["before"], line["now"])
                    for line in events[name]
                    if line["event"] == "peer state changed"
                ]
                for name in HONEST
            }

        wait_until(
            lambda: all(len({peer for peer, *_ in changes}) >= 4 for changes in met().values()),
            lambda: (time.sleep(0.1), gather()),
            met,
        )
        figures["met_s"] = round(
            max(
                line["at"]
                for name in HONEST
                for line in events[name]
                if line["event"] == "peer state changed"
            )
            - min(line["at"] for name in HONEST for line in events[name]),
            1,
        )
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(6, context) as pool:
            span = 5 if short else 14
            loads = [
                pool.submit(
                    drive,
                    fleet.programs[name].port,
                    120 if name != "n3" else 15,
                    span,
                    seed + at,
                    "pay" if name == "n1" else "read",
                )
                for at, name in enumerate(HONEST)
            ]
            results = [one for load in loads for one in load.result()]
            gather()
            answers = {
                how: sum(one[2] == how for one in results)
                for how in ("done", "deferred", "abandoned", "lost")
            }
            # Latency of usual clients with the flood and without, by turns, against the same instance.
            windows, with_, without, rates = 1 if short else 8, [], [], []
            key_id, port = fleet.identities["n1"].key_id, fleet.programs["n0"].port
            for at in range(windows):
                for flooded in (bool(at % 2), not at % 2):
                    other = (
                        pool.submit(flood, fleet.ports["n0"], key_id, 10_000, 1.9)
                        if flooded
                        else None
                    )
                    time.sleep(0.2)
                    took = [
                        one[1]
                        for one in pool.submit(drive, port, 250, 1.5, seed + at, "read").result()
                    ]
                    (with_ if flooded else without).extend(took)
                    if other:
                        rates.append(other.result())
            time.sleep(1)
        gather()
        doubts = [
            (name, line)
            for name in HONEST
            for line in events[name]
            if line["event"] == "endpoint suspected"
        ]
        figures["wrongful_exclusions"] = sum(
            line["pod"] != "s-5" and line["span"] > 0 for _, line in doubts
        )
        figures["failing_pod_doubted"] = sum(
            line["pod"] == "s-5" and line["span"] > 0 for _, line in doubts
        )
        figures["wrong_dead"] = sum(
            line["event"] == "peer state changed"
            and line["peer"] in HONEST
            and line["now"] in ("dead", "left")
            for name in HONEST
            for line in events[name]
        )
        counts = [line for name in HONEST for line in events[name] if line["event"] == "gossip"]
        figures["bytes_per_second_most"] = max(line["bytes_most"] for line in counts)
        figures["datagrams_per_second_most"] = max(line["datagrams_most"] for line in counts)
        figures["ceiling"] = CEILING
        figures["verified_per_second_most"] = round(
            max(line["verified"] / line["span"] for line in counts), 1
        )
        figures["rules_broken"] = pods.twice + answers["lost"]
        figures["answers"] = answers
        figures["faults"] = sum(
            line["event"] == "fault" for name in HONEST for line in events[name]
        )
        figures["flood_per_s"] = min(rates)
        figures["p99_ms"] = {
            "flood": round(1000 * quantile(with_, 0.99), 2),
            "none": round(1000 * quantile(without, 0.99), 2),
        }
        figures["p50_ms"] = {
            "flood": round(1000 * quantile(with_, 0.5), 2),
            "none": round(1000 * quantile(without, 0.5), 2),
        }
        figures["p99_flood_ratio"] = round(quantile(with_, 0.99) / quantile(without, 0.99), 3)
    finally:
        if hostile:
            hostile.over.set()
        fleet.close()
    return figures

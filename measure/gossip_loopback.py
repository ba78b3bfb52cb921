"""Measures gossip with real programs on loopback.

Five instances gossip, of which one is hostile; of the stand-in endpoints, one fails.
"""

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
SUSPICION_CONFIG = 'hearsay: {witnesses: 3, liars: 1, lapse: "20s", doubt: "4s"}'
BYTES_PER_SECOND_LIMIT = 32_000


def monotonic_ticks():
    """Returns the monotonic clock's time in ticks."""
    return time.monotonic_ns() // 100_000


def reserve_datagram_port():
    """Returns a socket that reserves a free loopback port for datagrams, and the port.

    The port is below those that the kernel gives to programs that ask for any port. The socket is
    bound to the stream port of the same number, which reserves the datagram port among the callers
    of this function.
    """
    while True:
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", random.randrange(18_000, 32_000)))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram_socket:
                datagram_socket.bind(reservation.getsockname())
            return reservation, reservation.getsockname()[1]
        except OSError:
            reservation.close()


class Fleet:
    """Programs that gossip, with stand-ins for all that they communicate with.

    Args:
        answers: The function of each endpoint that answers requests, see `FakeEndpoint`.
        names: Names of the instances that run as programs.
        external_names: Names of the peers that get a key and a port, but no program.
        extra_config: Text added to the field `gossip` of the operator files.
    """

    def __init__(
        self, answers, names=HONEST, external_names=(HOSTILE,), extra_config=SUSPICION_CONFIG
    ):
        self.endpoints = [FakeEndpoint(answer) for answer in answers]
        self.directory = tempfile.TemporaryDirectory()
        self.reservations = {name: reserve_datagram_port() for name in (*names, *external_names)}
        self.identities, self.ports = (
            {},
            {name: port for name, (_, port) in self.reservations.items()},
        )
        for name in self.ports:
            path = os.path.join(self.directory.name, f"{name}.key")
            self.identities[name] = keys.create_key_file(name, path)
        self.peer_records = ", ".join(
            keys.peer_record(identity) for identity in self.identities.values()
        )
        entries = [endpoint.entry(f"s-{index}") for index, endpoint in enumerate(self.endpoints)]
        self.programs, self.extra_config = {}, extra_config
        for name in names:
            self.programs[name] = Program(
                *entries,
                operator=lambda directory, name=name: self.operator_file_text(name),
                change=lambda config: config["settings"].update(balancers=len(names)),
            )
        try:
            for program in self.programs.values():
                program.__enter__()
        except BaseException:
            self.close()
            raise

    def operator_file_text(self, name, peer_records=None):
        """Returns an instance's operator file, by default with all peers."""
        path, seeds = (
            os.path.join(self.directory.name, f"{name}.key"),
            list(self.ports.values())[:2],
        )
        seed_list = ", ".join(f'"127.0.0.1:{port}"' for port in seeds)
        return (
            f'gossip: {{name: "{name}", listen: "127.0.0.1:{self.ports[name]}", key: "{path}", '
            f"seeds: [{seed_list}]\n"
            f'from: ["127.0.0.1/32"], peers: [{peer_records or self.peer_records}]\n'
            f"{self.extra_config}\n}}\n"
        )

    def keyring(self):
        """Returns a keyring with the public keys of all peers."""
        return Keyring(
            [
                Peer(name, None, (PeerKey(identity.public_key_text(), None),))
                for name, identity in self.identities.items()
            ]
        )

    def take_log_lines(self, name):
        """Returns the log lines of an instance that were not returned before, decoded."""
        lines = []
        while True:
            try:
                lines.append(self.programs[name].lines.get_nowait())
            except queue.Empty:
                return [json.loads(line) for line in lines]

    def close(self):
        """Kills the programs and closes the stand-ins."""
        for program in self.programs.values():
            program.__exit__()
        for resource in (
            *self.endpoints,
            *(reservation for reservation, _ in self.reservations.values()),
        ):
            resource.close()
        self.directory.cleanup()


class HostilePeer(threading.Thread):
    """A `Liar` with a valid key that runs in a thread, on its own socket.

    Args:
        fleet: The fleet, which has its key and port.
        endpoints: Keys of the endpoints whose failures it claims.
    """

    def __init__(self, fleet, endpoints):
        super().__init__(daemon=True)
        address, now = ("127.0.0.1", fleet.ports[HOSTILE]), monotonic_ticks()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(address)
        self.socket.settimeout(0.02)
        node = GossipNode(
            TERMS,
            fleet.identities[HOSTILE],
            fleet.keyring(),
            AllowedNetworks(["127.0.0.1/32"]),
            announced=address,
            seeds=[("127.0.0.1", fleet.ports["n0"])],
            now=now,
            random_source=LinearCongruentialGenerator(9),
            start=77,
            new_nonce=lambda: os.urandom(8),
            unix=time.time,
        )
        self.liar, self.stop_event = Liar(node, endpoints), threading.Event()

    def run(self):
        """Takes part in gossip and lies twice per second, until `stop_event` is set."""
        node, next_lies_at, next_tick_at = (
            self.liar.node,
            monotonic_ticks() + 20_000,
            monotonic_ticks(),
        )
        while not self.stop_event.is_set():
            try:
                datagram, source = self.socket.recvfrom(2048)
                self.liar.record_datagram(datagram)
                node.receive_datagram(monotonic_ticks(), source, datagram)
            except TimeoutError:
                pass
            now = monotonic_ticks()
            if now >= next_tick_at:
                next_tick_at = now + TICK_INTERVAL
                node.tick(now)
            if now >= next_lies_at:
                next_lies_at = now + 5_000
                self.liar.lies(now)
            datagrams = node.take_datagrams()
            for address, datagram in datagrams:
                try:
                    self.socket.sendto(datagram, address)
                except OSError:
                    pass
        self.socket.close()


def send_flood(port, key_id, rate, seconds):
    """Floods one instance with forged datagrams.

    Half of them are random bytes. The others are well-formed pings that state the id of a
    known key, but are signed with another key.

    Args:
        port: Port of the instance on loopback.
        key_id: Id of the known key.
        rate: Datagrams per second.
        seconds: Duration in seconds.

    Returns:
        The number of datagrams sent per second.
    """
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    forger = new_identity("n1")
    forger.key_id = key_id
    forged_frames = [
        codec.seal_frame(
            Frame("n1", "n0", 5, number, 5, Ping(os.urandom(8), bytes(128)), []), forger
        )
        for number in range(200)
    ]
    datagrams, sent, started_at = (
        forged_frames + [os.urandom(300) for _ in range(200)],
        0,
        time.monotonic(),
    )
    while (elapsed := time.monotonic() - started_at) < seconds:
        while sent < elapsed * rate:
            sender.sendto(datagrams[sent % len(datagrams)], ("127.0.0.1", port))
            sent += 1
        time.sleep(0.001)
    return round(sent / seconds)


class EndpointBehaviour:
    """How the endpoints answer, and how often they run each request.

    An SVC.SUBMIT request that runs twice breaks a rule.

    Attributes:
        random_source: Determines which requests fail.
        run_counts: How often each SVC.SUBMIT request ran, by its id.
        duplicate_runs: Number of SVC.SUBMIT requests that ran more than once.
        lock: Protects the other attributes from the threads of the endpoints.
    """

    def __init__(self, seed):
        self.random_source, self.run_counts, self.duplicate_runs, self.lock = (
            random.Random(seed),
            {},
            0,
            threading.Lock(),
        )

    def make_handler(self, failure_rate):
        """Returns a function that answers requests, of which this share fails."""

        def handle(arguments):
            with self.lock:
                if arguments[0] == b"SVC.SUBMIT":
                    self.run_counts[arguments[2]] = self.run_counts.get(arguments[2], 0) + 1
                    self.duplicate_runs += self.run_counts[arguments[2]] == 2
                fails = self.random_source.random() < failure_rate
            return b"-ERR failed\r\n" if fails else b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"

        return handle


def measure_loopback(seed, short):
    """Runs real programs with a hostile peer and returns the figures by name.

    Args:
        seed: Seed of the load and of the failures of the endpoints.
        short: Whether to run for a shorter time.

    Raises:
        AssertionError: If the instances have not met all peers in time.
    """
    figures = {}
    behaviour = EndpointBehaviour(seed)
    fleet = Fleet([behaviour.make_handler(0.6 if index == 5 else 0.0) for index in range(6)])
    hostile_peer = None
    try:
        healthy_endpoints = [
            EndpointKey(f"s-{index}", endpoint.address, 41, 0)
            for index, endpoint in enumerate(fleet.endpoints)
            if index != 5
        ]
        hostile_peer = HostilePeer(fleet, healthy_endpoints)
        hostile_peer.start()
        events = {name: [] for name in HONEST}

        def collect_log_lines():
            for name in HONEST:
                events[name] += fleet.take_log_lines(name)

        def state_changes():
            return {
                name: [
                    (line["peer"], line["before"], line["now"])
                    for line in events[name]
                    if line["event"] == "peer state changed"
                ]
                for name in HONEST
            }

        wait_until(
            lambda: all(
                len({peer for peer, *_ in changes}) >= 4 for changes in state_changes().values()
            ),
            lambda: (time.sleep(0.1), collect_log_lines()),
            state_changes,
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
            load_seconds = 5 if short else 14
            load_futures = [
                pool.submit(
                    drive,
                    fleet.programs[name].port,
                    120 if name != "n3" else 15,
                    load_seconds,
                    seed + index,
                    "pay" if name == "n1" else "read",
                )
                for index, name in enumerate(HONEST)
            ]
            results = [result for future in load_futures for result in future.result()]
            collect_log_lines()
            outcome_counts = {
                outcome: sum(result[2] == outcome for result in results)
                for outcome in ("done", "deferred", "abandoned", "lost")
            }
            # Latency of ordinary clients of one instance, alternately with and without a flood.
            repetitions, latencies_with_flood, latencies_without_flood, flood_rates = (
                1 if short else 8,
                [],
                [],
                [],
            )
            key_id, port = fleet.identities["n1"].key_id, fleet.programs["n0"].port
            for repetition in range(repetitions):
                for flooded in (bool(repetition % 2), not repetition % 2):
                    flood_future = (
                        pool.submit(send_flood, fleet.ports["n0"], key_id, 10_000, 1.9)
                        if flooded
                        else None
                    )
                    time.sleep(0.2)
                    latencies = [
                        result[1]
                        for result in pool.submit(
                            drive, port, 250, 1.5, seed + repetition, "read"
                        ).result()
                    ]
                    (latencies_with_flood if flooded else latencies_without_flood).extend(latencies)
                    if flood_future:
                        flood_rates.append(flood_future.result())
            time.sleep(1)
        collect_log_lines()
        suspicions = [
            (name, line)
            for name in HONEST
            for line in events[name]
            if line["event"] == "endpoint suspected"
        ]
        figures["wrongful_exclusions"] = sum(
            line["pod"] != "s-5" and line["span"] > 0 for _, line in suspicions
        )
        figures["failing_pod_doubted"] = sum(
            line["pod"] == "s-5" and line["span"] > 0 for _, line in suspicions
        )
        figures["wrong_dead"] = sum(
            line["event"] == "peer state changed"
            and line["peer"] in HONEST
            and line["now"] in ("dead", "left")
            for name in HONEST
            for line in events[name]
        )
        gossip_lines = [
            line for name in HONEST for line in events[name] if line["event"] == "gossip"
        ]
        figures["bytes_per_second_most"] = max(line["bytes_most"] for line in gossip_lines)
        figures["datagrams_per_second_most"] = max(line["datagrams_most"] for line in gossip_lines)
        figures["ceiling"] = BYTES_PER_SECOND_LIMIT
        figures["verified_per_second_most"] = round(
            max(line["verified"] / line["span"] for line in gossip_lines), 1
        )
        figures["rules_broken"] = behaviour.duplicate_runs + outcome_counts["lost"]
        figures["answers"] = outcome_counts
        figures["faults"] = sum(
            line["event"] == "fault" for name in HONEST for line in events[name]
        )
        figures["flood_per_s"] = min(flood_rates)
        figures["p99_ms"] = {
            "flood": round(1000 * quantile(latencies_with_flood, 0.99), 2),
            "none": round(1000 * quantile(latencies_without_flood, 0.99), 2),
        }
        figures["p50_ms"] = {
            "flood": round(1000 * quantile(latencies_with_flood, 0.5), 2),
            "none": round(1000 * quantile(latencies_without_flood, 0.5), 2),
        }
        figures["p99_flood_ratio"] = round(
            quantile(latencies_with_flood, 0.99) / quantile(latencies_without_flood, 0.99), 3
        )
    finally:
        if hostile_peer:
            hostile_peer.stop_event.set()
        fleet.close()
    return figures

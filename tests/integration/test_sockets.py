"""Tests of the program over sockets, with stand-ins for pods, discovery and the platform."""

import itertools
import signal
import threading
import unittest

from tests.support.peers import (
    TIMEOUT_SECONDS,
    FakeDiscovery,
    FakeEndpoint,
    FakePlatform,
    wait_until,
)
from tests.support.programs import Program, encode_command, pause_at_sigterm

READ, MARK, PAY = "c=read,t=acme,d=15000", "c=mark,t=acme,d=15000,k=5c0f", "c=pay,t=acme,d=15000"


def value(content):
    """Returns a pod's response with this value."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(content), content)


class WithPods(unittest.TestCase):
    """Starts pods and programs, and closes them after the test."""

    def pod(self, answer=None):
        """Starts a pod; `answer` returns the response to a command."""
        peer = FakeEndpoint(answer)
        self.addCleanup(peer.close)
        return peer

    def program(self, *entries, **options):
        """Starts a program with these endpoint list entries; `options` are those of Program."""
        program = Program(*entries, **options)
        self.addCleanup(program.__exit__)
        return program.__enter__()


class RequestForwardingTest(WithPods):
    def test_each_request_class_is_forwarded_unchanged_except_its_deadline(self):
        pod = self.pod()
        with self.program(pod.entry("s-1")).client() as client:
            for arguments in (
                ("SVC.QUERY", "7f3a", "01", READ),
                ("SVC.SUBMIT", "7f3a", "02", MARK, "BODY"),
                ("SVC.SUBMIT", "7f3a", "03", PAY, b"\r\n\x00" * 9000),
            ):
                self.assertEqual(client.request(*arguments), arguments[2].encode())
                received = pod.received_commands.get(timeout=TIMEOUT_SECONDS)
                expected = [
                    argument if isinstance(argument, bytes) else argument.encode()
                    for argument in arguments
                ]
                self.assertEqual(received[:3] + received[4:], expected[:3] + expected[4:])
                field, _, time_left = received[3].split(b",")[2].partition(b"=")
                self.assertEqual(
                    (field, received[3].replace(b"d=" + time_left, b"d=15000")), (b"d", expected[3])
                )
                self.assertLessEqual(int(time_left), 15000)

    def test_pipelined_commands_are_answered_in_order(self):
        second_received = threading.Event()

        def answer(arguments):
            if arguments[2] == b"01":
                second_received.wait(TIMEOUT_SECONDS)
            else:
                second_received.set()
            return value(arguments[2])

        pod = self.pod(answer)
        with self.program(pod.entry("s-1")).client() as client:
            client.connection.sendall(
                encode_command("SVC.QUERY", "a", "01", READ)
                + encode_command("PING")
                + encode_command("SVC.QUERY", "b", "02", READ)
            )
            self.assertEqual([client.read_response() for _ in range(3)], [b"01", b"+PONG", b"02"])

    def test_frames_may_arrive_byte_by_byte(self):
        def answer_byte_by_byte(arguments):
            for byte in value(arguments[2])[:-1]:
                pod.connections[0].send(bytes([byte]))
            return b"\n"

        pod = self.pod(answer_byte_by_byte)
        with self.program(pod.entry("s-1")).client() as client:
            for byte in encode_command("SVC.QUERY", "a", "01", READ):
                client.connection.sendall(bytes([byte]))
            self.assertEqual(client.read_response(), b"01")


class EndpointFailureTest(WithPods):
    def test_request_rejected_by_all_pods_is_deferred(self):
        pod = self.pod(lambda arguments: b"-BUSY\r\n")
        with self.program(pod.entry("s-1")).client() as client:
            self.assertRegex(client.request("SVC.SUBMIT", "a", "01", PAY, "B"), rb"^-BUSY \d+$")

    def test_non_idempotent_request_is_retried_after_refused_connection(self):
        unreachable, pod = self.pod(), self.pod()
        unreachable.stop_listening()
        with self.program(
            unreachable.entry("s-1", weight=9.0), pod.entry("s-2")
        ).client() as client:
            for name in ("01", "02", "03"):
                self.assertEqual(client.request("SVC.SUBMIT", "a", name, PAY, "B"), name.encode())

    def test_non_idempotent_request_is_abandoned_after_reset_once_fully_sent(self):
        pods = [self.pod(lambda arguments: None) for _ in range(2)]
        with self.program(
            *(pod.entry(f"s-{number}") for number, pod in enumerate(pods))
        ).client() as client:
            self.assertRegex(client.request("SVC.SUBMIT", "a", "01", PAY, "B"), b"^-ERR")
        self.assertEqual(sum(pod.received_commands.qsize() for pod in pods), 1)

    def test_idempotent_request_is_retried_after_reset(self):
        pods = [self.pod(lambda arguments: None), self.pod()]
        with self.program(
            *(pod.entry(f"s-{number}") for number, pod in enumerate(pods))
        ).client() as client:
            self.assertEqual(
                [client.request("SVC.QUERY", "a", name, READ) for name in ("01", "02")],
                [b"01", b"02"],
            )

    def test_connection_to_silent_pod_is_closed_at_the_request_deadline(self):
        pod = self.pod(lambda arguments: b"")
        with self.program(pod.entry("s-1")).client() as client:
            self.assertRegex(client.request("SVC.SUBMIT", "a", "01", "c=pay,d=1500", "B"), b"^-ERR")
        self.assertTrue(pod.closed_connections.get(timeout=TIMEOUT_SECONDS))

    def test_request_with_malformed_response_is_not_retried(self):
        for answer in (b"*1\r\n$4\r\nhal", b"$70000\r\n", b"nonsense\r\n", b"*1\r\n$-1\r\n"):
            pod = self.pod(lambda arguments, answer=answer: answer)
            with self.program(pod.entry("s-1")).client() as client:
                self.assertRegex(
                    client.request("SVC.SUBMIT", "a", "01", "c=pay,d=2500", "B"), b"^-ERR"
                )
            self.assertEqual(pod.received_commands.qsize(), 1)

    def test_client_disconnect_cancels_its_attempt(self):
        pod = self.pod(lambda arguments: b"")
        with self.program(pod.entry("s-1")).client() as client:
            client.send("SVC.SUBMIT", "a", "01", PAY, "B")
            pod.received_commands.get(timeout=TIMEOUT_SECONDS)
            client.connection.shutdown(2)
            self.assertTrue(pod.closed_connections.get(timeout=TIMEOUT_SECONDS))

    def test_invalid_command_is_reported_and_does_not_affect_other_clients(self):
        pod = self.pod()
        program = self.program(pod.entry("s-1"))
        with program.client() as good, program.client() as bad:
            for arguments, reason in (
                (("NO.SUCH", "a"), b"unknown command"),
                (("SVC.QUERY", "a"), b"takes a key"),
                (("SVC.QUERY", "a", "01", "c=none,d=100"), b"no such lane"),
                (("SVC.QUERY", "a", "01", "d=100"), b"c, the lane"),
                (("SVC.QUERY", "a", "01", "c=read"), b"d, the time"),
                (("SVC.QUERY", "a", "", READ), b"the id"),
            ):
                self.assertRegex(bad.request(*arguments), b"^-ERR .*" + reason)
            bad.connection.sendall(b"*2\r\n$70000\r\n")
            self.assertRegex(bad.read_response(), b"^-ERR syntax")
            self.assertEqual(bad.read_response(), b"")
            self.assertEqual(good.request("SVC.QUERY", "a", "02", READ), b"02")


class ConnectionLoadTest(WithPods):
    def test_burst_of_connections_is_served_within_the_descriptor_limit(self):
        pod = self.pod()
        program = self.program(
            pod.entry("s-1"), change=lambda config: config["limits"].update(sockets=64)
        )
        # 12 connections fit at a time; the oldest idle ones are closed for new ones.
        clients = [program.client() for _ in range(40)]
        served = 0
        for number, client in enumerate(clients):
            with client:
                try:
                    served += client.request("SVC.QUERY", "a", f"{number}", READ) == b"%d" % number
                except ConnectionError:
                    pass
        self.assertGreaterEqual(served, 11)
        with program.client() as late_client:
            self.assertEqual(late_client.request("SVC.QUERY", "a", "late", READ), b"late")

    def test_slow_reader_blocks_no_other_client_and_receives_all_responses(self):
        pod = self.pod(lambda arguments: value(arguments[2] * 15000))
        program = self.program(pod.entry("s-1"))
        with program.client() as slow, program.client() as other:
            for number in range(100, 160):
                slow.send("SVC.QUERY", "a", f"{number}", READ)
            self.assertEqual(other.request("SVC.QUERY", "a", "999", READ), b"999" * 15000)
            self.assertEqual(
                [slow.read_response() for _ in range(60)],
                [b"%d" % number * 15000 for number in range(100, 160)],
            )


class UpdateTest(WithPods):
    def test_drain_lets_requests_in_flight_finish_and_sends_no_new_ones(self):
        release = threading.Event()

        def answer(arguments):
            release.wait(TIMEOUT_SECONDS)
            return value(arguments[2])

        old, new = self.pod(answer), self.pod()
        program = self.program(old.entry("s-1"))
        with program.client() as first, program.client() as second:
            first.send("SVC.QUERY", "a", "01", READ)
            old.received_commands.get(timeout=TIMEOUT_SECONDS)
            program.discovery.push_list(8, old.entry("s-1", state="Terminating"), new.entry("s-2"))
            wait_until(
                lambda: not new.received_commands.empty(),
                lambda: second.request("SVC.QUERY", "a", "r", READ),
            )
            self.assertEqual(
                [second.request("SVC.QUERY", "a", f"1{number}", READ) for number in range(9)],
                [b"1%d" % number for number in range(9)],
            )
            release.set()
            self.assertEqual(first.read_response(), b"01")

    def test_failing_build_is_voted_down_and_the_vote_is_retried_until_accepted(self):
        answers = [
            (400, b"<Error><Code>throttled</Code></Error>"),
            (
                200,
                (
                    b'<?xml version="1.0"?>\n<Response><entries><item><version>42</version><step>0</step>'
                    b"<status>rolling_back</status><maxWeight>0</maxWeight><observedAgoMs>3</observedAgoMs>"
                    b"</item></entries></Response>"
                ),
            ),
        ]
        good, bad = self.pod(), self.pod(lambda arguments: b"-ERR failed\r\n")
        program = self.program(
            good.entry("s-1"),
            bad.entry("s-2", 42),
            answer=lambda form: answers.pop(0) if len(answers) > 1 else answers[0],
            release_state={
                "version": 42,
                "step": 0,
                "status": "trial",
                "maxWeight": 0.5,
                "observedAgoMs": 5,
            },
        )
        with program.client() as client:
            numbers = itertools.count()
            wait_until(
                lambda: program.platform.calls.qsize() > 1,
                lambda: client.request(
                    "SVC.QUERY", f"key{next(numbers)}", f"{next(numbers)}", READ
                ),
            )
            vote = {"Action": "PutApproval", "version": "42", "step": "0", "vote": "abort"}
            self.assertEqual([program.platform.calls.get() for _ in range(2)], [vote] * 2)
            # Waits until the platform's reply to the vote has been received.
            wait_until(lambda: program.wait_for_log("vote")["outcome"] == "done", lambda: None)
            while not bad.received_commands.empty():
                bad.received_commands.get()
            for number in range(50):
                client.request("SVC.QUERY", f"key{number}", f"after{number}", READ)
            self.assertEqual(bad.received_commands.qsize(), 0)

    def test_ended_watch_streams_are_reopened(self):
        pod, new = self.pod(), self.pod()
        program = self.program(pod.entry("s-1"))
        program.discovery.push_list(9, pod.entry("s-1"))
        for peer in (program.discovery, program.platform):
            peer.reset_connections()
        self.assertEqual(
            program.platform.stream_requests.get(timeout=TIMEOUT_SECONDS),
            "/v2/projects/main/stream",
        )
        self.assertRegex(
            program.discovery.stream_requests.get(timeout=TIMEOUT_SECONDS), r"stream=1&index=(7|9)$"
        )
        program.discovery.push_list(10, new.entry("s-3", 42), pod.entry("s-1", state="Gone"))
        program.platform.push_release_state(version=42)  # earlier, this build gets no request
        with program.client() as client:
            wait_until(
                lambda: not new.received_commands.empty(),
                lambda: client.request("SVC.QUERY", "a", "01", READ),
            )

    def test_malformed_endpoint_list_is_ignored_and_requested_again(self):
        pod = self.pod()
        program = self.program(pod.entry("s-1"))
        program.discovery.push_raw('{"version": 9, "full": true, "servers": [{"id": 5}]}\n')
        wait_until(
            lambda: "servers.0.state" in program.wait_for_log("stream ended")["reason"],
            lambda: None,
        )
        program.discovery.stream_requests.get(timeout=TIMEOUT_SECONDS)
        with program.client() as client:
            self.assertEqual(client.request("SVC.QUERY", "a", "01", READ), b"01")


class ReconfigurationTest(WithPods):
    def test_sighup_applies_new_addresses_and_ignores_an_invalid_file(self):
        release = threading.Event()

        def answer(arguments):
            if arguments[2] == b"01":
                release.wait(TIMEOUT_SECONDS)
            return value(arguments[2])

        pod, new = self.pod(answer), self.pod()
        program = self.program(pod.entry("s-1"))
        discovery, platform = FakeDiscovery(), FakePlatform()
        self.addCleanup(discovery.close)
        self.addCleanup(platform.close)
        with program.client() as first, program.client() as second:
            first.send("SVC.QUERY", "a", "01", READ)
            pod.received_commands.get(timeout=TIMEOUT_SECONDS)
            program.write_config({**program.config, "discovery": "nowhere"})
            program.process.send_signal(signal.SIGHUP)
            self.assertRegex(
                program.wait_for_log("configuration rejected")["error"], "^discovery: "
            )
            program.write_config(
                {
                    **program.config,
                    "discovery": discovery.address,
                    "deployer": {**program.config["deployer"], "address": platform.address},
                }
            )
            for _ in range(2):
                program.process.send_signal(signal.SIGHUP)
            self.assertEqual(program.wait_for_log("configuration reloaded")["only_at_a_start"], [])
            discovery.stream_requests.get(timeout=TIMEOUT_SECONDS)
            platform.stream_requests.get(timeout=TIMEOUT_SECONDS)
            program.discovery.close()
            program.platform.close()
            discovery.push_list(8, new.entry("s-2", 42), pod.entry("s-1", state="Terminating"))
            platform.push_release_state(version=42)
            wait_until(
                lambda: not new.received_commands.empty(),
                lambda: second.request("SVC.QUERY", "a", "02", READ),
            )
            release.set()
            self.assertEqual(first.read_response(), b"01")


class ShutdownTest(WithPods):
    def test_sigterm_answers_requests_in_flight_and_new_connections(self):
        stopped = threading.Event()

        def answer(arguments):
            if arguments[2] == b"01":
                stopped.wait(TIMEOUT_SECONDS)
            return value(arguments[2])

        pod = self.pod(answer)
        with pause_at_sigterm():
            program = self.program(pod.entry("s-1"))
        with program.client() as first, program.client() as second:
            first.send("SVC.QUERY", "a", "01", READ)
            pod.received_commands.get(timeout=TIMEOUT_SECONDS)
            program.process.send_signal(signal.SIGTERM)
            program.wait_until_stopped()
            # The process is stopped, so this connects within the half second in which it still
            # accepts connections, however busy the machine is.
            with program.client() as late_client:
                program.process.send_signal(signal.SIGTERM)
                program.process.send_signal(signal.SIGCONT)
                self.assertEqual(late_client.request("SVC.QUERY", "a", "02", READ), b"02")
            self.assertEqual(second.read_response(), b"")
            stopped.set()
            self.assertEqual((first.read_response(), first.read_response()), (b"01", b""))
        self.assertEqual(program.process.wait(TIMEOUT_SECONDS), 0)

    def test_invalid_configuration_ends_the_process_and_names_the_key(self):
        def without_key(*path):
            def change(config):
                for name in path[:-1]:
                    config = config[name]
                config.pop(path[-1])

            return change

        cases = {
            "deployer.address": without_key("deployer", "address"),
            "extra.window": without_key("settings", "extra", "window"),
            "known.servers.0.state": lambda config: config["known"]["servers"].append({"id": "x"}),
            "listen": lambda config: config.update(listen=config["discovery"]),
            "limits.sockets": lambda config: config["limits"].update(sockets="many"),
            "deployer.news.status": lambda config: config["deployer"]["news"].update(status="odd"),
        }
        for key, change in cases.items():
            program = Program(change=change)
            _, error = program.process.communicate(timeout=TIMEOUT_SECONDS)
            program.__exit__()
            self.assertNotEqual(program.process.returncode, 0)
            self.assertRegex(error.decode(), f"^thymeknot: .*{key}.*\n$")

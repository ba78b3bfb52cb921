"""Startup and shutdown of the program while signals arrive.

Signals are sent at defined points of the program's run, not after a wait.
"""

import errno
import json
import os
import queue
import signal
import socket
import threading
import time
import unittest
from unittest import mock

from tests.integration.test_sockets import READ, WithPods, value
from tests.support.peers import TIMEOUT_SECONDS, FakeDiscovery, wait_until
from tests.support.programs import (
    Program,
    pause_at_sigterm,
    run_after_setup,
    run_with_code,
    without_first_list_timeout,
)
from thymeknot.proxy.endpoint_updates import notifying_reader
from thymeknot.service import lifecycle


def wait_until_signals_delivered(process):
    """Waits until the process has no pending signal, so that all sent ones are delivered."""

    def pending():
        with open(f"/proc/{process.pid}/status", encoding="utf-8") as source:
            return [
                line
                for line in source
                if line.startswith(("SigPnd", "ShdPnd")) and int(line.split()[1], 16)
            ]

    wait_until(lambda: not pending(), lambda: None)


class FifoProgram(Program):
    """A program whose configuration file is a FIFO, so that the test controls when it is read."""

    def write_config(self, config):
        os.mkfifo(self.path)

    def open_and_write(self, content):
        """Writes to the FIFO once the program has opened it. Closing the result ends the read."""
        descriptors = []

        def attempt():
            try:
                descriptors.append(os.open(self.path, os.O_WRONLY | os.O_NONBLOCK))
            except OSError as error:
                if error.errno != errno.ENXIO:  # the FIFO has no reader yet
                    raise
                time.sleep(0.005)

        wait_until(lambda: descriptors, attempt)
        output = os.fdopen(descriptors[0], "wb", buffering=0)
        output.write(content if isinstance(content, bytes) else json.dumps(content).encode())
        return output

    def finish_read(self, output):
        """Ends this read. The next one opens a new FIFO and cannot read the rest of this one."""
        os.unlink(self.path)
        os.mkfifo(self.path)
        output.close()

    def wait_until_signals_delivered(self):
        wait_until_signals_delivered(self.process)


class StartupTest(WithPods):
    def fifo_program(self, *entries, **options):
        program = FifoProgram(*entries, **options)
        self.addCleanup(program.__exit__)
        return program

    def test_sighup_while_the_file_is_read_reloads_it_once_serving(self):
        new = FakeDiscovery()
        self.addCleanup(new.close)
        program = self.fifo_program()
        # The program has the file open and waits for its end.
        first_read = program.open_and_write(program.config)
        program.process.send_signal(signal.SIGHUP)
        program.wait_until_signals_delivered()
        program.finish_read(first_read)
        # Returns only if the program reads the file again.
        program.finish_read(program.open_and_write({**program.config, "discovery": new.address}))
        # The program may reconfigure before its first request to the former address, which
        # __enter__ would wait for.
        program.discovery.stream_requests.put("perhaps never")
        program.__enter__()
        self.assertEqual(program.wait_for_log("configuration reloaded")["discovery"], new.address)
        new.stream_requests.get(timeout=TIMEOUT_SECONDS)

    def test_partial_file_is_read_again_at_startup_after_sighup(self):
        program = self.fifo_program()
        partial_read = program.open_and_write(json.dumps(program.config).encode()[:100])
        program.process.send_signal(signal.SIGHUP)
        program.wait_until_signals_delivered()
        program.finish_read(partial_read)
        program.finish_read(program.open_and_write(program.config))
        program.__enter__()
        with program.client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")

    def test_sighup_before_serving_reloads_the_file(self):
        with without_first_list_timeout():
            program = self.fifo_program(silent=True)
        program.finish_read(program.open_and_write(program.config))
        # Started, waiting for the first list.
        program.discovery.stream_requests.get(timeout=TIMEOUT_SECONDS)
        program.process.send_signal(signal.SIGHUP)
        program.wait_until_signals_delivered()
        program.discovery.push_raw("\n")
        program.finish_read(program.open_and_write({**program.config, "name": "n2"}))
        program.discovery.stream_requests.put("again")
        program.__enter__()
        self.assertEqual(
            program.wait_for_log("configuration reloaded")["only_at_a_start"], ["name"]
        )

    def program_waiting_for_address(self):
        """Returns a program that waits for its address, and the socket that occupies it."""
        listeners = []

        def change(config):
            host, _, port = config["listen"].rpartition(":")
            listeners.append(socket.create_server((host, int(port))))

        program = Program(change=change)
        self.addCleanup(program.__exit__)
        self.addCleanup(listeners[0].close)
        wait_until(lambda: b'"address in use"' in program.process.stdout.readline(), lambda: None)
        return program, listeners[0]

    def test_startup_waits_for_an_address_in_use_and_handles_sighup(self):
        program, other = self.program_waiting_for_address()
        program.write_config({**program.config, "name": "n2"})
        program.process.send_signal(signal.SIGHUP)
        wait_until_signals_delivered(program.process)
        other.close()
        program.__enter__()
        with program.client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")
        self.assertEqual(
            program.wait_for_log("configuration reloaded")["only_at_a_start"], ["name"]
        )

    def test_sigterm_ends_the_wait_for_an_address_in_use(self):
        program, _ = self.program_waiting_for_address()
        program.process.send_signal(signal.SIGTERM)
        self.assertEqual(
            (program.process.wait(TIMEOUT_SECONDS), program.process.stderr.read()), (0, b"")
        )

    def test_sigterm_while_the_file_is_read_terminates_without_output(self):
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            program = self.fifo_program()
            output = program.open_and_write(b"{")
            program.process.send_signal(signal_number)
            out, error = program.process.communicate(timeout=TIMEOUT_SECONDS)
            output.close()
            self.assertEqual((program.process.returncode, out, error), (-signal_number, b"", b""))

    def test_sigterm_before_serving_ends_the_process_without_accepting(self):
        for signal_numbers in (
            [signal.SIGTERM],
            [signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGTERM],
        ):
            with without_first_list_timeout():
                program = Program(silent=True)
            self.addCleanup(program.__exit__)
            # Started, waiting for the first list.
            program.discovery.stream_requests.get(timeout=TIMEOUT_SECONDS)
            for signal_number in signal_numbers:
                program.process.send_signal(signal_number)
            out, error = program.process.communicate(timeout=TIMEOUT_SECONDS)
            self.assertEqual((program.process.returncode, error), (0, b""))
            events = [json.loads(line)["event"] for line in out.splitlines()]
            # A silent watch stream may have been closed before the signal.
            self.assertEqual(
                [event for event in events if event != "stream ended"], ["stopping", "stopped"]
            )

    def test_sighup_during_imports_does_not_end_the_process(self):
        """The signal is sent at the import of the JSON parser, before any startup code has run."""
        code = """import os, runpy, signal, sys
class Finder:
    def find_spec(self, name, path, target=None):
        if name == "orjson":
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Finder())
runpy.run_module("thymeknot", run_name="__main__")"""
        with run_with_code(code):
            program = Program()
        self.addCleanup(program.__exit__)
        with program.__enter__().client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")

    def test_signal_at_interpreter_exit_does_not_change_the_exit_status(self):
        """The interpreter restores the default handlers before it clears its modules.

        A signal that arrives after that would end the process.
        """
        for signal_number in (signal.SIGHUP, *lifecycle.STOP_SIGNALS):
            for change, exit_status in (
                (lambda config: None, 0),
                (lambda config: config.pop("seed"), 2),
            ):
                code_at_exit = f"""class Last:
    kill, own = os.kill, os.getpid()
    def __del__(self):
        self.kill(self.own, {int(signal_number)})
last = Last()"""
                with run_after_setup(code_at_exit):
                    program = Program(change=change)
                self.addCleanup(program.__exit__)
                if not exit_status:
                    program.__enter__().process.send_signal(signal.SIGTERM)
                self.assertEqual(program.process.wait(TIMEOUT_SECONDS), exit_status, signal_number)


class FirstEndpointListTest(WithPods):
    def start_without_list(self, *entries):
        """Returns a program that waits for its first list after requesting the watch stream.

        If it listened without a list, it would do so by then.
        """
        with without_first_list_timeout():
            program = Program(*entries, silent=True)
        self.addCleanup(program.__exit__)
        program.discovery.stream_requests.put(
            program.discovery.stream_requests.get(timeout=TIMEOUT_SECONDS)
        )
        with self.assertRaises(ConnectionRefusedError):
            program.client()
        return program

    def test_first_request_uses_the_endpoint_list_of_the_agent(self):
        terminating, new = self.pod(), self.pod()
        program = self.start_without_list(terminating.entry("s-1"))
        program.discovery.push_list(
            9, terminating.entry("s-1", state="Terminating"), new.entry("s-2")
        )
        with program.__enter__().client() as client:
            self.assertEqual(client.request("SVC.QUERY", "a", "01", READ), b"01")
        self.assertEqual(
            (terminating.received_commands.qsize(), new.received_commands.qsize()), (0, 1)
        )

    def test_heartbeat_indicates_that_there_is_no_list(self):
        program = self.start_without_list()
        program.discovery.push_raw("\n")
        with program.__enter__().client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")

    def test_partial_list_does_not_notify(self):
        calls = []

        def read_list(content):
            calls.append(content)
            return bytes(content).endswith(b"\n")

        read = notifying_reader(read_list, lambda: calls.append("notified"))
        for content in (b'{"version"', b":9}\n", b"\n"):
            read(memoryview(content))
        self.assertEqual(calls, [b'{"version"', b":9}\n", "notified", b"\n", "notified"])

    def test_wait_for_a_silent_agent_is_bounded(self):
        pod = self.pod()
        program = self.program(pod.entry("s-1"), silent=True)
        with program.client() as client:
            self.assertEqual(client.request("SVC.QUERY", "a", "01", READ), b"01")

    def test_polled_lists_are_not_waited_for(self):
        def change(config):
            config["settings"].update(discovery="subscribe", balancers=400)

        with without_first_list_timeout():
            program = Program(change=change)
        self.addCleanup(program.__exit__)
        program.discovery.stream_requests.put("later")
        program.__enter__()
        with program.client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")


class ShutdownTest(WithPods):
    def test_sighup_during_shutdown_reconfigures_and_requests_in_flight_are_answered(self):
        release, new = threading.Event(), FakeDiscovery()
        self.addCleanup(new.close)

        def answer(arguments):
            release.wait(TIMEOUT_SECONDS)
            return value(arguments[2])

        pod = self.pod(answer)
        program = self.program(pod.entry("s-1"))
        with program.client() as client:
            client.send("SVC.QUERY", "a", "01", READ)
            pod.received_commands.get(timeout=TIMEOUT_SECONDS)
            program.process.send_signal(signal.SIGTERM)
            program.wait_for_log("stopping")
            program.write_config({**program.config, "discovery": new.address})
            program.process.send_signal(signal.SIGHUP)
            self.assertEqual(
                program.wait_for_log("configuration reloaded")["discovery"], new.address
            )
            program.process.send_signal(signal.SIGHUP)
            program.wait_for_log("configuration reloaded")
            with open(program.path, "w", encoding="utf-8") as output:
                output.write("{")
            program.process.send_signal(signal.SIGHUP)
            program.wait_for_log("configuration rejected")
            program.process.send_signal(signal.SIGTERM)
            release.set()
            self.assertEqual((client.read_response(), client.read_response()), (b"01", b""))
        self.assertEqual(program.process.wait(TIMEOUT_SECONDS), 0)

    def test_listener_backlog_is_answered_during_shutdown(self):
        pod = self.pod()
        with pause_at_sigterm():
            program = self.program(pod.entry("s-1"))
        with program.client() as first:
            # The listener accepts as many connections at once as arrived last time: one.
            self.assertEqual(first.request("PING"), b"+PONG")
            program.process.send_signal(signal.SIGTERM)
            program.wait_until_stopped()
            started_at = time.monotonic()  # the shutdown deadline is set
            clients = [program.client() for _ in range(30)]
            for number, client in enumerate(clients):
                self.addCleanup(client.__exit__)
                client.send("SVC.QUERY", "a", f"{number:02x}", READ)
            # The time to accept connections ends while the process is stopped.
            time.sleep(
                max(0, started_at + 2 * lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS - time.monotonic())
            )
            program.process.send_signal(signal.SIGCONT)
            self.assertEqual(
                [client.read_response() for client in clients],
                [b"%02x" % number for number in range(30)],
            )
        self.assertEqual(program.process.wait(TIMEOUT_SECONDS), 0)

    def test_listener_backlog_is_answered_at_the_descriptor_limit(self):
        """This holds as well if the process limit is lower than the configured one."""
        startup_code = (
            "import resource\nresource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))\n"
            f"lifecycle.FIRST_LIST_TIMEOUT_SECONDS = {TIMEOUT_SECONDS}"
        )
        for sockets, sends_sigterm in ((64, False), (64, True), (256, False)):
            with run_after_setup(startup_code):
                program = Program(
                    silent=True,
                    change=lambda config, sockets=sockets: config["limits"].update(sockets=sockets),
                )
            self.addCleanup(program.__exit__)
            wait_until(lambda program=program: program.discovery.streams, lambda: time.sleep(0.005))
            program.discovery.push_raw("\n")
            program.__enter__().process.send_signal(signal.SIGSTOP)
            clients = [program.client() for _ in range(100)]
            for client in clients:
                self.addCleanup(client.__exit__)
                client.send("PING")
            if sends_sigterm:
                program.process.send_signal(signal.SIGTERM)
                # The time to accept connections ends while the process is stopped.
                time.sleep(2 * lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS)
            program.process.send_signal(signal.SIGCONT)
            self.assertEqual(
                [client.read_response() for client in clients],
                [b"+PONG"] * 100,
                (sockets, sends_sigterm),
            )

    def test_features_are_not_reconfigured_during_shutdown(self):
        for stopping in (False, True):
            service = lifecycle.Lifecycle({"NODE_CONFIG": "deploy/example.json"}, None)
            service.features, service.proxy, service.stopping = mock.Mock(), mock.Mock(), stopping
            with mock.patch.object(lifecycle.structured_log, "log"):
                service._reconfigure()
            self.assertEqual(
                (service.features.reconfigure.call_count, service.proxy.reconfigure.call_count),
                (0 if stopping else 1, 1),
            )

    def test_pending_vote_does_not_delay_shutdown(self):
        voted, release = queue.Queue(), threading.Event()

        def answer(form):
            voted.put(form)
            release.wait(TIMEOUT_SECONDS)
            return 500, b""

        pod = self.pod(
            lambda arguments: (
                b"-ERR failed\r\n" if arguments[0] == b"SVC.SUBMIT" else value(arguments[2])
            )
        )
        program = self.program(
            pod.entry("s-1", 42),
            self.pod().entry("s-2"),
            answer=answer,
            release_state={
                "version": 42,
                "step": 0,
                "status": "trial",
                "maxWeight": 1.0,
                "observedAgoMs": 60000,
            },
        )
        self.addCleanup(release.set)
        count = iter(range(100_000))
        with program.client() as client:
            wait_until(
                lambda: not voted.empty(),
                lambda: client.request("SVC.QUERY", "a", f"{next(count):x}", READ),
            )
            program.process.send_signal(signal.SIGTERM)
            program.wait_for_log("stopping")
            self.assertEqual(client.read_response(), b"")
        self.assertEqual(program.process.wait(TIMEOUT_SECONDS), 0)
        self.assertFalse(release.is_set())

    def test_process_exits_before_the_platform_kills_it(self):
        """A client keeps sending on its open connection during shutdown while endpoints hang.

        Every accepted request must be answered before the kill, at the earliest 3.7 s after
        SIGTERM. The last responses used to come after 3.65 s, and a pause of 0.05 s behind them
        delayed the exit until the kill at 3.70 s, with exit status -9.
        """
        pod = self.pod(lambda arguments: b"")
        program = self.program(pod.entry("s-1"))
        with program.client() as client:
            client.send("SVC.QUERY", "a", "01", "c=read,t=acme,d=3000")
            pod.received_commands.get(timeout=TIMEOUT_SECONDS)
            program.process.send_signal(signal.SIGTERM)
            stopping = program.wait_for_log("stopping")
            time.sleep(2 * lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS)
            client.send("SVC.QUERY", "a", "02", "c=read,t=acme,d=3000")
            answers = [client.read_response() for _ in range(3)]
            stopped = program.wait_for_log("stopped")
        self.assertRegex(answers[0], b"^-")
        self.assertRegex(answers[1], b"^-")
        self.assertEqual((answers[2], program.process.wait(TIMEOUT_SECONDS)), (b"", 0))
        # The time of the kill minus the 0.15 s for which a sidecar may be delayed.
        self.assertLess(stopped["at"] - stopping["at"], 3.7 - 0.15)

    def test_process_exits_before_kill_when_requests_are_read_late(self):
        """A client has 90 pending requests at shutdown while endpoints hang.

        The first 65 are answered at the last possible moment; only then are the others read and
        answered a little later. Their connection used to be closed 0.2 s after that, because the
        deadline that ends all such waits had passed, and the process was killed: it logged its
        end 3.69 s after SIGTERM, and the kill may come after 3.70 s.
        """
        pod = self.pod(lambda arguments: b"")
        program = self.program(pod.entry("s-1"))
        with program.client() as client:
            program.process.send_signal(signal.SIGTERM)
            stopping = program.wait_for_log("stopping")
            time.sleep(0.9 * lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS)
            for number in range(90):
                client.send("SVC.QUERY", "a", f"{number:02x}", "c=read,t=acme,d=3000")
            answers = [client.read_response() for _ in range(91)]
            stopped = program.wait_for_log("stopped")
            self.assertEqual(program.process.wait(TIMEOUT_SECONDS), 0)
        self.assertEqual([answer[:1] for answer in answers], [b"-"] * 90 + [b""])
        # The time of the kill minus the 0.15 s for which a sidecar may be delayed.
        self.assertLess(stopped["at"] - stopping["at"], 3.7 - 0.15)

    def test_requests_read_just_before_the_listener_closes_are_answered_as_early_as_others(self):
        """Guards against an exit that is late by the time in which connections are accepted."""
        pod = self.pod(lambda arguments: b"")
        program = self.program(pod.entry("s-1"))
        with program.client() as client:
            program.process.send_signal(signal.SIGTERM)
            stopping = program.wait_for_log("stopping")
            time.sleep(0.98 * lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS)
            client.send("SVC.QUERY", "a", "01", "c=read,t=acme,d=3000")
            answers = [client.read_response() for _ in range(2)]
            stopped = program.wait_for_log("stopped")
            self.assertEqual(program.process.wait(TIMEOUT_SECONDS), 0)
        self.assertEqual([answer[:1] for answer in answers], [b"-", b""])
        # 0.05 s for the flush and as much for the exit, beside the 0.15 s of a delay.
        self.assertLess(stopped["at"] - stopping["at"], 3.7 - 0.15 - 0.05 - 0.05)

    def test_partial_file_is_rejected_and_the_complete_one_loaded_on_next_sighup(self):
        new = FakeDiscovery()
        self.addCleanup(new.close)
        program = self.program()
        text = json.dumps({**program.config, "discovery": new.address})
        with open(program.path, "w", encoding="utf-8") as output:
            output.write(text[: len(text) // 2])
            output.flush()
            program.process.send_signal(signal.SIGHUP)
            self.assertRegex(
                program.wait_for_log("configuration rejected")["error"],
                "^NODE_CONFIG: is not valid JSON",
            )
            output.write(text[len(text) // 2 :])
        program.process.send_signal(signal.SIGHUP)
        self.assertEqual(program.wait_for_log("configuration reloaded")["discovery"], new.address)
        new.stream_requests.get(timeout=TIMEOUT_SECONDS)


if __name__ == "__main__":
    unittest.main()

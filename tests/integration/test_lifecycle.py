"""The program's start and stop while signals come: at named moments, never by waiting."""

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


def settled(process):
    """Once nothing of a signal is pending: what it was sent has been delivered."""

    def pending():
        with open(f"/proc/{process.pid}/status", encoding="utf-8") as source:
            return [
                line
                for line in source
                if line.startswith(("SigPnd", "ShdPnd")) and int(line.split()[1], 16)
            ]

    wait_until(lambda: not pending(), lambda: None)


class Piped(Program):
    """The program whose configuration is a FIFO: it reads when the test writes, and the test knows that it reads."""

    def write_config(self, told):
        os.mkfifo(self.path)

    def fill(self, content):
        """Opens for writing once the program has it open to read; its read ends with that file."""
        opened = []

        def attempt():
            try:
                opened.append(os.open(self.path, os.O_WRONLY | os.O_NONBLOCK))
            except OSError as error:
                if error.errno != errno.ENXIO:  # nobody reads yet
                    raise
                time.sleep(0.005)

        wait_until(lambda: opened, attempt)
        target = os.fdopen(opened[0], "wb", buffering=0)
        target.write(content if isinstance(content, bytes) else json.dumps(content).encode())
        return target

    def end(self, target):
        """Ends this read; the next one is of another file, and can't take what is left of this."""
        os.unlink(self.path)
        os.mkfifo(self.path)
        target.close()

    def settled(self):
        settled(self.process)


class Starting(WithPods):
    def piped(self, *entries, **more):
        made = Piped(*entries, **more)
        self.addCleanup(made.__exit__)
        return made

    def test_a_sighup_while_the_file_is_read_has_it_read_again_once_it_serves(self):
        new = FakeDiscovery()
        self.addCleanup(new.close)
        running = self.piped()
        first = running.fill(running.config)  # the program has it open, and waits for its end
        running.process.send_signal(signal.SIGHUP)
        running.settled()
        running.end(first)
        running.end(
            running.fill({**running.config, "discovery": new.address})
        )  # goes on only where it is read again
        running.discovery.stream_requests.put(
            "perhaps never"
        )  # it may move before it has asked at the former address
        running.__enter__()
        self.assertEqual(running.wait_for_log("configuration reloaded")["discovery"], new.address)
        new.stream_requests.get(timeout=TIMEOUT_SECONDS)

    def test_a_half_written_file_that_a_sighup_announces_anew_is_read_once_more_at_the_start(self):
        running = self.piped()
        half = running.fill(json.dumps(running.config).encode()[:100])
        running.process.send_signal(signal.SIGHUP)
        running.settled()
        running.end(half)
        running.end(running.fill(running.config))
        running.__enter__()
        with running.client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")

    def test_a_sighup_before_it_serves_has_the_file_read_again(self):
        with without_first_list_timeout():
            running = self.piped(silent=True)
        running.end(running.fill(running.config))
        running.discovery.stream_requests.get(
            timeout=TIMEOUT_SECONDS
        )  # it has begun, and waits for the first list
        running.process.send_signal(signal.SIGHUP)
        running.settled()
        running.discovery.push_raw("\n")
        running.end(running.fill({**running.config, "name": "n2"}))
        running.discovery.stream_requests.put("again")
        running.__enter__()
        self.assertEqual(
            running.wait_for_log("configuration reloaded")["only_at_a_start"], ["name"]
        )

    def in_use(self):
        """The program as it waits for its address; who has that."""
        held = []

        def change(told):
            host, _, port = told["listen"].rpartition(":")
            held.append(socket.create_server((host, int(port))))

        running = Program(change=change)
        self.addCleanup(running.__exit__)
        self.addCleanup(held[0].close)
        wait_until(lambda: b'"address in use"' in running.process.stdout.readline(), lambda: None)
        return running, held[0]

    def test_an_address_that_is_in_use_is_waited_for_and_a_sighup_meanwhile_is_heard(self):
        running, other = self.in_use()
        running.write_config({**running.config, "name": "n2"})
        running.process.send_signal(signal.SIGHUP)
        settled(running.process)
        other.close()
        running.__enter__()
        with running.client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")
        self.assertEqual(
            running.wait_for_log("configuration reloaded")["only_at_a_start"], ["name"]
        )

    def test_sigterm_ends_that_wait(self):
        running, _ = self.in_use()
        running.process.send_signal(signal.SIGTERM)
        self.assertEqual(
            (running.process.wait(TIMEOUT_SECONDS), running.process.stderr.read()), (0, b"")
        )

    def test_sigterm_while_the_file_is_read_ends_it_by_the_signal_without_a_word(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            running = self.piped()
            target = running.fill(b"{")
            running.process.send_signal(number)
            out, error = running.process.communicate(timeout=TIMEOUT_SECONDS)
            target.close()
            self.assertEqual((running.process.returncode, out, error), (-number, b"", b""))

    def test_sigterm_before_it_serves_ends_it_soon_with_nothing_taken(self):
        for numbers in (
            [signal.SIGTERM],
            [signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGTERM],
        ):
            with without_first_list_timeout():
                running = Program(silent=True)
            self.addCleanup(running.__exit__)
            running.discovery.stream_requests.get(
                timeout=TIMEOUT_SECONDS
            )  # it has begun, and waits for the first list
            for number in numbers:
                running.process.send_signal(number)
            out, error = running.process.communicate(timeout=TIMEOUT_SECONDS)
            self.assertEqual((running.process.returncode, error), (0, b""))
            events = [json.loads(line)["event"] for line in out.splitlines()]
            # A watch that hears nothing may have been given up before the signal, too.
            self.assertEqual(
                [one for one in events if one != "stream ended"], ["stopping", "stopped"]
            )

    def test_a_sighup_while_it_loads_does_not_end_it(self):
        """Sent to itself at the import of the module that reads the file, so before anything of the start."""
        code = """import os, runpy, signal, sys
class Finder:
    def find_spec(self, name, path, target=None):
        if name == "orjson":
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Finder())
runpy.run_module("thymeknot", run_name="__main__")"""
        with run_with_code(code):
            running = Program()
        self.addCleanup(running.__exit__)
        with running.__enter__().client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")

    def test_a_signal_as_the_interpreter_ends_does_not_change_how_it_ended(self):
        """The interpreter gives back its handlers before it clears its modules: what comes then would end it."""
        for number in (signal.SIGHUP, *lifecycle.STOP_SIGNALS):
            for told, code in ((lambda told: None, 0), (lambda told: told.pop("seed"), 2)):
                last = f"""class Last:
    kill, own = os.kill, os.getpid()
    def __del__(self):
        self.kill(self.own, {int(number)})
last = Last()"""
                with run_after_setup(last):
                    running = Program(change=told)
                self.addCleanup(running.__exit__)
                if not code:
                    running.__enter__().process.send_signal(signal.SIGTERM)
                self.assertEqual(running.process.wait(TIMEOUT_SECONDS), code, number)


class FirstList(WithPods):
    def waiting(self, *entries):
        """The program once its watch is asked for: whatever it listens for without a list, it does so by now."""
        with without_first_list_timeout():
            running = Program(*entries, silent=True)
        self.addCleanup(running.__exit__)
        running.discovery.stream_requests.put(
            running.discovery.stream_requests.get(timeout=TIMEOUT_SECONDS)
        )
        with self.assertRaises(ConnectionRefusedError):
            running.client()
        return running

    def test_what_the_agent_has_binds_the_first_transaction(self):
        left, new = self.pod(), self.pod()
        running = self.waiting(left.entry("s-1"))
        running.discovery.push_list(9, left.entry("s-1", state="Terminating"), new.entry("s-2"))
        with running.__enter__().client() as client:
            self.assertEqual(client.request("SVC.QUERY", "a", "01", READ), b"01")
        self.assertEqual((left.received_commands.qsize(), new.received_commands.qsize()), (0, 1))

    def test_a_sign_of_life_says_that_there_is_no_list(self):
        running = self.waiting()
        running.discovery.push_raw("\n")
        with running.__enter__().client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")

    def test_a_part_of_a_list_is_not_taken_for_it(self):
        heard = []

        def whole(content):
            heard.append(content)
            return bytes(content).endswith(b"\n")

        read = notifying_reader(whole, lambda: heard.append("told"))
        for content in (b'{"version"', b":9}\n", b"\n"):
            read(memoryview(content))
        self.assertEqual(heard, [b'{"version"', b":9}\n", "told", b"\n", "told"])

    def test_a_silent_agent_is_waited_for_no_longer_than_the_bound(self):
        pod = self.pod()
        running = self.program(pod.entry("s-1"), silent=True)
        with running.client() as client:
            self.assertEqual(client.request("SVC.QUERY", "a", "01", READ), b"01")

    def test_lists_that_are_asked_for_are_not_waited_for(self):
        def change(told):
            told["settings"].update(discovery="subscribe", balancers=400)

        with without_first_list_timeout():
            running = Program(change=change)
        self.addCleanup(running.__exit__)
        running.discovery.stream_requests.put("later")
        running.__enter__()
        with running.client() as client:
            self.assertEqual(client.request("PING"), b"+PONG")


class Stopping(WithPods):
    def test_sighup_while_it_stops_moves_it_and_what_is_in_hand_is_answered(self):
        release, new = threading.Event(), FakeDiscovery()
        self.addCleanup(new.close)

        def answer(words):
            release.wait(TIMEOUT_SECONDS)
            return value(words[2])

        pod = self.pod(answer)
        running = self.program(pod.entry("s-1"))
        with running.client() as client:
            client.send("SVC.QUERY", "a", "01", READ)
            pod.received_commands.get(timeout=TIMEOUT_SECONDS)
            running.process.send_signal(signal.SIGTERM)
            running.wait_for_log("stopping")
            running.write_config({**running.config, "discovery": new.address})
            running.process.send_signal(signal.SIGHUP)
            self.assertEqual(
                running.wait_for_log("configuration reloaded")["discovery"], new.address
            )
            running.process.send_signal(signal.SIGHUP)
            running.wait_for_log("configuration reloaded")
            with open(running.path, "w", encoding="utf-8") as target:
                target.write("{")
            running.process.send_signal(signal.SIGHUP)
            running.wait_for_log("configuration rejected")
            running.process.send_signal(signal.SIGTERM)
            release.set()
            self.assertEqual((client.read_response(), client.read_response()), (b"01", b""))
        self.assertEqual(running.process.wait(TIMEOUT_SECONDS), 0)

    def test_each_connection_that_the_machine_accepted_before_the_end_is_answered(self):
        pod = self.pod()
        with pause_at_sigterm():
            running = self.program(pod.entry("s-1"))
        with running.client() as first:
            self.assertEqual(
                first.request("PING"), b"+PONG"
            )  # one came the last time: so many are taken at once
            running.process.send_signal(signal.SIGTERM)
            running.wait_until_stopped()
            begun = time.monotonic()  # its end is set
            clients = [running.client() for _ in range(30)]
            for number, client in enumerate(clients):
                self.addCleanup(client.__exit__)
                client.send("SVC.QUERY", "a", f"{number:02x}", READ)
            time.sleep(
                max(0, begun + 2 * lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS - time.monotonic())
            )  # the end comes while it stands still
            running.process.send_signal(signal.SIGCONT)
            self.assertEqual(
                [client.read_response() for client in clients],
                [b"%02x" % number for number in range(30)],
            )
        self.assertEqual(running.process.wait(TIMEOUT_SECONDS), 0)

    def test_at_the_limit_of_descriptors_none_that_the_machine_accepted_is_closed_upon(self):
        """Also where the machine allows fewer than the configuration names."""
        limited = (
            "import resource\nresource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))\n"
            f"lifecycle.FIRST_LIST_TIMEOUT_SECONDS = {TIMEOUT_SECONDS}"
        )
        for sockets, stops in ((64, False), (64, True), (256, False)):
            with run_after_setup(limited):
                running = Program(
                    silent=True,
                    change=lambda told, sockets=sockets: told["limits"].update(sockets=sockets),
                )
            self.addCleanup(running.__exit__)
            wait_until(lambda running=running: running.discovery.streams, lambda: time.sleep(0.005))
            running.discovery.push_raw("\n")
            running.__enter__().process.send_signal(signal.SIGSTOP)
            clients = [running.client() for _ in range(100)]
            for client in clients:
                self.addCleanup(client.__exit__)
                client.send("PING")
            if stops:
                running.process.send_signal(signal.SIGTERM)
                time.sleep(
                    2 * lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS
                )  # the end comes while it stands still
            running.process.send_signal(signal.SIGCONT)
            self.assertEqual(
                [client.read_response() for client in clients], [b"+PONG"] * 100, (sockets, stops)
            )

    def test_the_features_of_one_that_stops_take_up_no_file(self):
        for stopping in (False, True):
            made = lifecycle.Lifecycle({"NODE_CONFIG": "deploy/example.json"}, None)
            made.features, made.proxy, made.stopping = mock.Mock(), mock.Mock(), stopping
            with mock.patch.object(lifecycle.structured_log, "log"):
                made._reconfigure()
            self.assertEqual(
                (made.features.reconfigure.call_count, made.proxy.reconfigure.call_count),
                (0 if stopping else 1, 1),
            )

    def test_a_vote_that_is_out_does_not_hold_up_the_end(self):
        voted, release = queue.Queue(), threading.Event()

        def answer(form):
            voted.put(form)
            release.wait(TIMEOUT_SECONDS)
            return 500, b""

        pod = self.pod(
            lambda words: b"-ERR failed\r\n" if words[0] == b"SVC.SUBMIT" else value(words[2])
        )
        running = self.program(
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
        with running.client() as client:
            wait_until(
                lambda: not voted.empty(),
                lambda: client.request("SVC.QUERY", "a", f"{next(count):x}", READ),
            )
            running.process.send_signal(signal.SIGTERM)
            running.wait_for_log("stopping")
            self.assertEqual(client.read_response(), b"")
        self.assertEqual(running.process.wait(TIMEOUT_SECONDS), 0)
        self.assertFalse(release.is_set())

    def test_it_has_ended_by_itself_when_the_platform_may_kill_it(self):
        """A client goes on sending on its open connection while the process stops, and endpoints hang. All that is
        taken has its answer before the kill, which comes 3.7 s after SIGTERM at the earliest; but the last answers came
        after 3.65 s, and 0.05 s of rest behind them ended the process just then: killed at 3.70 s, its status -9."""
        pod = self.pod(lambda words: b"")
        running = self.program(pod.entry("s-1"))
        with running.client() as client:
            client.send("SVC.QUERY", "a", "01", "c=read,t=acme,d=3000")
            pod.received_commands.get(timeout=TIMEOUT_SECONDS)
            running.process.send_signal(signal.SIGTERM)
            stopping = running.wait_for_log("stopping")
            time.sleep(2 * lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS)
            client.send("SVC.QUERY", "a", "02", "c=read,t=acme,d=3000")
            answers = [client.read_response() for _ in range(3)]
            stopped = running.wait_for_log("stopped")
        self.assertRegex(answers[0], b"^-")
        self.assertRegex(answers[1], b"^-")
        self.assertEqual((answers[2], running.process.wait(TIMEOUT_SECONDS)), (b"", 0))
        # The kill, less the time for which the page lets a sidecar be held up.
        self.assertLess(stopped["at"] - stopping["at"], 3.7 - 0.15)

    def test_it_has_ended_by_itself_though_requests_were_read_only_at_the_last_moment(self):
        """A client has 90 requests in hand when the process stops, and endpoints hang. The first 65 are answered at the
        latest moment; only then are the others read, and answered a little later. Their connection was closed 0.2 s
        after that, as the moment at which all such waits end was over by then, and the process was killed: 3.69 s after
        SIGTERM it logged its end, 3.70 s after it the kill may come."""
        pod = self.pod(lambda words: b"")
        running = self.program(pod.entry("s-1"))
        with running.client() as client:
            running.process.send_signal(signal.SIGTERM)
            stopping = running.wait_for_log("stopping")
            time.sleep(0.9 * lifecycle.ACCEPT_AFTER_SIGTERM_SECONDS)
            for number in range(90):
                client.send("SVC.QUERY", "a", f"{number:02x}", "c=read,t=acme,d=3000")
            answers = [client.read_response() for _ in range(91)]
            stopped = running.wait_for_log("stopped")
            self.assertEqual(running.process.wait(TIMEOUT_SECONDS), 0)
        self.assertEqual([answer[:1] for answer in answers], [b"-"] * 90 + [b""])
        # The kill, less the time for which the page lets a sidecar be held up.
        self.assertLess(stopped["at"] - stopping["at"], 3.7 - 0.15)

    def test_a_half_written_file_is_kept_and_the_whole_one_is_owed_to_the_next_sighup(self):
        new = FakeDiscovery()
        self.addCleanup(new.close)
        running = self.program()
        text = json.dumps({**running.config, "discovery": new.address})
        with open(running.path, "w", encoding="utf-8") as target:
            target.write(text[: len(text) // 2])
            target.flush()
            running.process.send_signal(signal.SIGHUP)
            self.assertRegex(
                running.wait_for_log("configuration rejected")["error"],
                "^NODE_CONFIG: is not valid JSON",
            )
            target.write(text[len(text) // 2 :])
        running.process.send_signal(signal.SIGHUP)
        self.assertEqual(running.wait_for_log("configuration reloaded")["discovery"], new.address)
        new.stream_requests.get(timeout=TIMEOUT_SECONDS)


if __name__ == "__main__":
    unittest.main()

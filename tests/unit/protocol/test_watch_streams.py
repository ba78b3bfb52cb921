"""What ends while something is still owed, on the streams and calls: silence, late dials, moves, bad input."""

import contextlib
import itertools
import json
import random
import signal
import socket
import threading
import tracemalloc
import unittest

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from tests.support.peers import PATIENCE, PodPeer, until
from tests.support.programs import Program, patient
from tests.unit.proxy.test_proxy import Network, configuration_object, endpoint_entry
from thymeknot.interface.actions import CastVote, FetchEndpoints
from thymeknot.interface.enums import Outcome, UpdateKind, Verdict
from thymeknot.interface.events import EndpointUpdate, FleetCounts, ReleaseUpdate
from thymeknot.protocol import deployer as platform
from thymeknot.protocol import discovery, http
from thymeknot.service import configuration

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SIGN = {2: b"\n", 3: b":\n"}  # of life, by the port that stands for discovery and for the platform


def chunk(content):
    return b"%x\r\n%s\r\n" % (len(content), content)


def listed(version, *names, indent=None, full=True):
    return (
        json.dumps(
            {"version": version, "full": full, "servers": [endpoint_entry(name) for name in names]},
            indent=indent,
        ).encode()
        + b"\n"
    )


class WithNetwork(unittest.TestCase):
    def setUp(self):
        self.network = Network(endpoint_entry("s-1"))
        self.kept = {2: self.network.proxy.endpoints.watch, 3: self.network.proxy.releases.stream}

    def pass_on(self, seconds):
        """So much time, in steps of 10 ms; each due deadline looks at what has come first, so the loop turns twice."""
        for _ in range(round(seconds * 100)):
            self.network.reactor.advance(0.01)
            self.network.reactor.advance(0)

    def asked(self, port):
        return [to for _, to, *_ in self.network.reactor.tcpClients].count(port)

    def last(self, port):
        """The place of the last dial to this port."""
        return max(
            at for at, (_, to, *_) in enumerate(self.network.reactor.tcpClients) if to == port
        )

    def connected(self, port, *chunks):
        stream = self.network.connect(self.last(port))
        if chunks:
            stream.dataReceived(HEAD + b"".join(map(chunk, chunks)))
        return stream

    def until_asked(self, port, most):
        """The seconds until this port is dialled again; a failure after so many."""
        before, now = self.asked(port), self.network.reactor.seconds
        began = now()
        while self.asked(port) == before:
            self.assertLess(now() - began, most, "it was not asked for again")
            self.pass_on(0.01)
        return now() - began


class SignsOfLife(WithNetwork):
    def test_half_a_line_that_never_ends_is_silence(self):
        for port in (2, 3):
            stream, began = self.connected(port, SIGN[port]), self.network.reactor.seconds()
            while self.asked(port) == 1 and self.network.reactor.seconds() < began + 12:
                stream.dataReceived(chunk(b" " if port == 2 else b":"))
                self.pass_on(0.5)
            self.assertLess(self.network.reactor.seconds() - began, 5.1, port)

    def test_lines_of_an_object_that_never_ends_are_silence(self):
        for line in (
            b'{"id":"s-2"},\n',
            SIGN[2],
        ):  # a sign of life behind what was cut is JSON, and none
            self.network = Network(endpoint_entry("s-1"))
            stream, began = self.connected(2, SIGN[2], b'{"version":9,"full":true,"servers":[\n'), 0
            while self.asked(2) == 1 and began < 12:
                stream.dataReceived(chunk(line))
                self.pass_on(0.5)
                began += 0.5
            self.assertLess(began, 5.1)

    def test_whole_lines_are_life(self):
        streams = {port: self.connected(port, SIGN[port]) for port in (2, 3)}
        for _ in range(15):
            self.pass_on(1)
            for port, stream in streams.items():
                stream.dataReceived(chunk(SIGN[port]))
        self.assertEqual((self.asked(2), self.asked(3)), (1, 1))

    def test_one_that_first_says_nonsense_does_not_take_the_place_of_the_one_that_stands(self):
        for port in (2, 3):
            old = self.connected(port, SIGN[port])
            self.until_asked(port, 10)
            new = self.connected(port, b"noise\n")
            self.assertEqual(
                (new.transport.disconnected, old.transport.disconnected), (True, False)
            )
            self.assertIs(self.kept[port].current, old)

    def test_what_one_that_was_given_up_still_says_is_not_heard(self):
        old = self.connected(2, SIGN[2])
        self.until_asked(2, 10)
        new = self.connected(2, listed(9, "s-2"))
        self.assertTrue(old.transport.disconnected)
        self.pass_on(2)
        heard = self.kept[2].last
        old.dataReceived(chunk(listed(10, "s-3")))
        self.assertEqual((self.kept[2].current, self.kept[2].last), (new, heard))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_a_dial_that_comes_up_after_it_was_given_up_ends_at_once_and_asks_nothing(self):
        for port in (2, 3):
            first = self.last(port)
            self.pass_on(0.3)
            self.assertTrue(self.network.reactor.connectors[first].stoppedConnecting)
            self.network.refuse(first)
            late = self.network.connect(first)
            self.assertEqual((late.transport.disconnected, late.transport.value()), (True, b""))

    def test_why_a_stream_ended_is_said(self):
        for said, reason in (
            (HEAD.replace(b"200", b"503"), "status 503"),
            (HEAD + b"0\r\n\r\n", "the answer ended"),
            (HEAD + chunk(b"noise\n"), "unreadable: no JSON"),
            (b"noise\r\n\r\n", "no status line"),
        ):
            network, lines = Network(endpoint_entry("s-1")), []
            network.proxy.endpoints.watch.log = lambda event, lines=lines, **fields: lines.append(
                (event, fields["reason"])
            )
            stream = network.connect(0)
            stream.dataReceived(said)
            self.assertTrue(stream.transport.disconnected)
            self.assertEqual(len(lines), 1)
            self.assertIn(reason, lines[0][1])


class Silence(WithNetwork):
    def test_it_is_seen_early_enough_whatever_the_moment_of_the_last_word(self):
        for port, silence, most in (
            (2, discovery.SILENCE_TIMEOUT, 4.51),
            (3, platform.SILENCE_TIMEOUT, 4.01),
        ):
            for words in range(
                40
            ):  # the last word comes at another moment of what was looked at before
                self.network = Network(endpoint_entry("s-1"))
                stream = self.connected(port, SIGN[port])
                for _ in range(words):
                    self.pass_on(0.13)
                    stream.dataReceived(chunk(SIGN[port]))
                self.assertAlmostEqual(
                    self.until_asked(port, most + 0.02), silence / 10_000, delta=0.03
                )

    def test_one_failed_dial_and_the_answer_fit_in_before_what_is_missed_counts_as_told(self):
        for draw in (0.0, 0.5, 0.999):
            network = self.network = Network(endpoint_entry("s-1"))
            network.proxy.endpoints.watch.pace.draw = lambda draw=draw: draw
            self.connected(2, listed(8, "s-1"))
            began = network.reactor.seconds()
            self.until_asked(2, 6)
            failed = self.last(2)
            self.pass_on(0.26)
            self.assertTrue(network.reactor.connectors[failed].stoppedConnecting)
            network.refuse(failed)
            self.until_asked(2, 1)
            self.connected(2, listed(9, "s-2"))
            self.assertEqual(list(network.proxy.listed_endpoints), ["s-2"])
            self.assertLess(network.reactor.seconds() - began, 5.75)

    def test_of_streams_that_come_and_go_one_look_ahead_is_left(self):
        for _ in range(50):
            for port in (2, 3):
                self.connected(port, SIGN[port], b"noise\n")
                self.until_asked(port, 9)
        live = self.network.proxy.timers.pending.values()
        self.assertLessEqual(
            len([call for call, _ in live if call.__name__ in ("_check_silence", "_watch")]), 2
        )


class FirstWord(WithNetwork):
    def test_one_that_connects_and_says_nothing_is_replaced_in_time_for_the_list(self):
        for draw in (0.0, 0.999):
            self.network = Network(endpoint_entry("s-1"))
            self.network.proxy.endpoints.watch.pace.draw = lambda draw=draw: draw
            self.connected(2, listed(8, "s-1"))
            began = self.network.reactor.seconds()
            self.until_asked(2, 6)
            silent = self.connected(2)
            self.until_asked(2, 6)
            self.assertTrue(silent.transport.disconnected)
            self.connected(2, listed(9, "s-2"))
            self.assertLess(self.network.reactor.seconds() - began, 5.9)
            self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_who_is_slow_gets_twice_as_long_each_time_and_the_word_makes_it_usual(self):
        for port, waits in ((2, (0.5, 1, 2, 4, 4.5, 4.5)), (3, (2, 4, 4, 4))):
            for wait in waits:
                stream = self.connected(port)
                self.pass_on(wait - 0.02)
                self.assertFalse(stream.transport.disconnected, (port, wait))
                self.until_asked(port, 1)
                self.assertTrue(stream.transport.disconnected)
            self.connected(port, SIGN[port])
            self.assertEqual(self.kept[port].quiet, 0)

    def test_a_service_that_all_ask_has_the_time_that_a_call_may_wait_there(self):
        self.network = Network(endpoint_entry("s-1"), polled=True)
        self.pass_on(1)
        stream = self.connected(2)
        self.pass_on(2.9)
        self.assertFalse(stream.transport.disconnected)
        self.pass_on(0.2)
        self.assertTrue(stream.transport.disconnected)

    def test_its_word_just_in_time_leaves_no_deadline_that_ends_it(self):
        stream = self.connected(2)
        self.pass_on(0.49)
        stream.dataReceived(HEAD + chunk(SIGN[2]))
        self.pass_on(4.4)
        self.assertEqual((stream.transport.disconnected, self.asked(2)), (False, 1))


class Moves(WithNetwork):
    def move(self, network, discovery=2, platform=3):
        """A new configuration with these ports."""
        changed = configuration_object(endpoint_entry("s-1"))
        changed["discovery"], changed["deployer"]["address"] = (
            f"127.0.0.1:{discovery}",
            f"127.0.0.1:{platform}",
        )
        network.proxy.reconfigure(configuration.parse(changed, 0))

    def test_refusals_of_a_former_address_do_not_slow_the_asking_at_a_new_one(self):
        for asked_for in (False, True):
            self.network = Network(endpoint_entry("s-1"), polled=asked_for)
            for port in (2, 3):
                for _ in range(4):
                    self.until_asked(port, 9) if self.last_ended(port) else self.pass_on(0.1)
                    self.connected(port).dataReceived(HEAD.replace(b"200", b"503"))
            self.move(self.network, 8, 9)
            for port in (8, 9):
                for _ in range(3):  # not there yet
                    self.network.refuse(self.last(port))
                    self.assertLess(self.until_asked(port, 4), 0.85)

    def test_nor_does_its_stream_that_ends_after_the_move(self):
        self.network = Network(endpoint_entry("s-1"), polled=True)
        self.pass_on(0.1)
        for _ in range(
            2
        ):  # it has only begun when it is closed, which at the present address is a refusal
            discovery, platform = self.connected(2, SIGN[2]), self.connected(3, SIGN[3])
            self.move(self.network, 8, 9)
            for former in (discovery, platform):
                former.connectionLost(Failure(ConnectionDone()))
            for port in (8, 9):
                for _ in range(3):
                    self.network.refuse(self.last(port))
                    self.assertLess(self.until_asked(port, 9), 0.85)
            self.move(self.network)

    def last_ended(self, port):
        kept = {2: self.network.proxy.endpoints.watch, 3: self.network.proxy.releases.stream}[port]
        return kept.asked is None

    def test_a_new_address_that_is_silent_first_and_refuses_next_is_heard_within_four_seconds(self):
        for draw in (0.0, 0.999):
            self.network = Network(endpoint_entry("s-1"))
            self.network.proxy.endpoints.watch.pace.draw = lambda draw=draw: draw
            old = self.connected(2, listed(8, "s-1"))
            self.move(self.network, 8)
            began = self.network.reactor.seconds()
            silent = self.connected(8)
            self.until_asked(8, 2)
            self.assertTrue(silent.transport.disconnected)
            self.network.refuse(self.last(8))
            self.until_asked(8, 2)
            self.assertFalse(old.transport.disconnected)
            old.dataReceived(chunk(SIGN[2]))
            self.connected(8, listed(3, "s-2"))
            self.assertEqual(
                (list(self.network.proxy.listed_endpoints), old.transport.disconnected),
                (["s-2"], True),
            )
            self.assertLess(self.network.reactor.seconds() - began, 3)

    def test_a_new_address_is_asked_for_all_that_it_has_and_believed_whatever_its_version(self):
        for said, names in (
            (listed(3, "s-2"), ["s-2"]),
            (listed(12, "s-2"), ["s-2"]),
            (listed(3, "s-2", full=False), ["s-1", "s-2"]),
            (listed(3, full=False), ["s-1"]),
        ):
            self.network = Network(endpoint_entry("s-1"))
            old = self.connected(2, listed(8, "s-1"))
            self.move(self.network, 8)
            old.dataReceived(
                chunk(listed(9, "s-1"))
            )  # what the former one counts is not what the new one does
            self.network.refuse(self.last(8))
            self.until_asked(8, 1)
            new = self.connected(8, said)
            self.assertIn(b"index=0 ", new.transport.value())
            self.assertEqual(
                (list(self.network.proxy.listed_endpoints), old.transport.disconnected),
                (names, True),
            )
            new.dataReceived(chunk(listed(4, "s-3", full=False)))
            self.assertEqual(list(self.network.proxy.listed_endpoints), [*names, "s-3"])
            new.connectionLost(Failure(ConnectionDone()))
            self.until_asked(8, 4)
            self.assertIn(b"index=4 ", self.connected(8).transport.value())

    def test_until_a_new_address_is_believed_it_is_asked_for_all(self):
        self.connected(2, listed(8, "s-1"))
        self.move(self.network, 8)
        for _ in range(3):
            empty = self.connected(8, listed(12))
            self.assertIn(b"index=0 ", empty.transport.value())
            self.until_asked(8, 2)
        self.connected(8, listed(12, "s-2"))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_what_is_asked_for_at_the_former_address_ends_with_the_move(self):
        self.pass_on(0.05)
        asked = self.connected(2)
        self.move(self.network, 8)
        self.assertTrue(asked.transport.disconnected)
        asked.dataReceived(HEAD + chunk(listed(9, "s-9")))
        asked.connectionLost(Failure(ConnectionDone()))
        self.assertEqual((list(self.network.proxy.listed_endpoints), self.asked(8)), (["s-1"], 1))

    def test_while_the_agent_is_silent_there_is_always_one_that_it_can_answer(self):
        for _ in range(
            200
        ):  # 20 s of a discovery that is down: each connection comes up and is silent
            if self.kept[2].asked.transport is None:
                stream = self.connected(2)
            self.pass_on(0.1)
            self.assertIsNotNone(self.kept[2].asked)
        self.assertLess(self.asked(2), 9)
        stream = self.connected(2) if self.kept[2].asked.transport is None else stream
        stream.dataReceived(HEAD + chunk(listed(9, "s-2")))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])


class Doubts(WithNetwork):
    def test_an_older_list_is_believed_soon_whatever_the_peer_refused_before(self):
        for asked_for, most in ((False, 1.1), (True, 0.85)):
            self.network = Network(endpoint_entry("s-1"), polled=asked_for)
            self.pass_on(0.1)
            for _ in range(5):
                self.connected(2).dataReceived(HEAD.replace(b"200", b"503"))
                self.until_asked(2, 9)
            stream = self.connected(2, listed(3, "s-2"))
            self.assertEqual(
                (list(self.network.proxy.listed_endpoints), stream.transport.disconnected),
                (["s-1"], True),
            )
            self.assertLess(self.until_asked(2, 9), most)
            self.connected(2, listed(3, "s-2"))
            self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_also_where_the_dial_between_the_two_fails(self):
        stream, began = self.connected(2, listed(3, "s-2")), self.network.reactor.seconds()
        self.assertTrue(stream.transport.disconnected)
        self.until_asked(2, 2)
        self.network.refuse(self.last(2))
        self.until_asked(2, 2)
        self.connected(2, listed(3, "s-2"))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])
        self.assertLess(self.network.reactor.seconds() - began, 2.1)

    def test_an_empty_list_is_asked_for_less_often_where_a_service_is_shared(self):
        wavers = listed(9), listed(3, "s-2")  # now this, now that
        for asked_for, most, said in (
            (False, 45, [listed(7)]),
            (True, 8, [listed(7)]),
            (False, 45, wavers),
            (True, 8, wavers),
        ):
            self.network, said = (
                Network(endpoint_entry("s-1"), polled=asked_for),
                itertools.cycle(said),
            )
            self.pass_on(0.1)
            for _ in range(200):
                if (
                    self.network.proxy.endpoints.watch.asked
                    and self.network.proxy.endpoints.watch.asked.transport is None
                ):
                    self.connected(2, next(said))
                self.pass_on(0.1)
            self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-1"])
            self.assertLess(self.asked(2), most)

    def test_an_empty_list_of_a_new_version_that_a_new_watch_tells_again_is_believed_in_time(self):
        for asked_for in (False, True):
            self.network = Network(endpoint_entry("s-1"), polled=asked_for)
            self.pass_on(0.1)
            self.connected(2, listed(8, "s-1"), listed(9))
            self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-1"])
            self.assertLess(self.until_asked(2, 9), 0.85)
            self.connected(2, listed(9))
            self.assertEqual(
                (list(self.network.proxy.listed_endpoints), self.network.proxy.addresses), ([], {})
            )
            self.assertRegex(self.network.ask().transport.value(), b"^-BUSY")


class Storms(WithNetwork):
    def test_a_peer_that_refuses_or_makes_no_sense_again_and_again_is_asked_less_often(self):
        news = b"event: progress\ndata: version=41&step=1&status=released&maxWeight=1&observedAgoMs=5\n\n"
        for port, asked_for, most in ((2, False, 90), (2, True, 20), (3, False, 20)):
            good = chunk(listed(8, "s-1") if port == 2 else news)
            for said in (
                *(HEAD.replace(b"200", status) for status in (b"301", b"500", b"503")),
                b"noise\r\n\r\n",
                HEAD + chunk(b"noise\n"),
                HEAD + good + chunk(b"noise\n"),
                HEAD + good + b"0\r\n\r\n",
            ):
                self.network = Network(endpoint_entry("s-1"), polled=asked_for)
                kept = {
                    2: self.network.proxy.endpoints.watch,
                    3: self.network.proxy.releases.stream,
                }[port]
                self.pass_on(0.1)
                for _ in range(600):
                    if kept.asked and kept.asked.transport is None:
                        self.connected(port).dataReceived(said)
                    self.pass_on(0.1)
                self.assertLess(self.asked(port), most, (port, asked_for, said))


class BadInput(WithNetwork):
    def ends(self, port, *said):
        """These bytes end the stream that stands, alone, with a reason of bounded length; which is given."""
        network = self.network = Network(endpoint_entry("s-1"))
        kept, lines = {2: network.proxy.endpoints.watch, 3: network.proxy.releases.stream}[port], []
        kept.log = lambda event, **fields: lines.append((event, fields["reason"]))
        stream, held = (
            self.connected(port, SIGN[port]),
            (network.proxy.listed_endpoints, network.proxy.releases.latest),
        )
        other = self.connected(5 - port, SIGN[5 - port])
        for one in said:
            if not stream.transport.disconnected:
                stream.dataReceived(one)
        self.assertTrue(stream.transport.disconnected, said[0][:200])
        self.assertEqual([event for event, _ in lines], ["stream ended"])
        self.assertRegex(lines[0][1], "^unreadable: .{5,}")
        self.assertLessEqual(len(lines[0][1]), 200)
        self.assertEqual(
            ((network.proxy.listed_endpoints, network.proxy.releases.latest), network.faults),
            (held, []),
        )
        self.assertFalse(other.transport.disconnected)
        return lines[0][1]

    def test_floods_end_their_stream_at_a_bound(self):
        for port in (2, 3):
            for flood, times in (
                (chunk(b"x" * 65536), 70),
                (b"1" * 4096, 5),
                (b"1;" + b"x" * 4096, 5),
                (chunk(b"data: " + b"x" * 60_000 + b"\n"), 3),
            ):
                self.ends(port, *[flood] * times)

    def test_a_stream_that_ends_and_has_trailers_without_end_is_asked_for_anew(self):
        for port in (2, 3):
            self.network, began = Network(endpoint_entry("s-1")), 0
            stream = self.connected(port, SIGN[port])
            stream.dataReceived(b"0\r\n")
            while self.asked(port) == 1 and began < 9:
                stream.dataReceived(b"X: y\r\n" * 99)
                self.pass_on(0.5)
                began += 0.5
            self.assertLess(began, 5.1)

    def test_sizes_that_are_none_end_it(self):
        for size in (
            b"",
            b"-1",
            b"+1",
            b"0x1",
            b"1_0",
            b"zz",
            b" 1",
            b"fffffff",
            b"f" * 9,
            b"\xb2",
            b"1;"[1:],
        ):
            self.ends(2, size + b"\r\n")

    def test_heads_that_are_none_end_their_connection(self):
        for head in (
            b"HTTP/1.1 \xb2\xb2\xb2 X",
            b"HTTP/1.1 " + b"9" * 5000 + b" X",
            b"HTTP/1.1 200 OK\r\nContent-Length: \xb2",
            b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 1_0",
            b"x" * 20_000,
        ):
            with self.assertRaises(http.MalformedHttpError, msg=head[:60]):
                list(http.Parser().feed(head + b"\r\n\r\n"))

    def test_numbers_in_a_list_that_no_pod_has_end_its_stream_and_change_nothing(self):
        for key, values in (
            ("weight", ("1e300", "5e-324", "-1", "0", "1e999", "NaN", "true", '"1"', "null")),
            ("started_ms", ("-1", "1e300", "1e999", "true", '"0"', "999999999999999999")),
            ("image_id", ("-1", "1.5", "true", "99999999999999999999")),
            ("cell", ("1.5", "true", '"3"')),
            ("addr", ('"127.0.0.1:0"', '"127.0.0.1:65536"', '"127.0.0.1:\u00b2"', '":7"', "5")),
        ):
            for value in values:
                one = (
                    '{"id":"s-2","addr":"127.0.0.1:7","state":"Ready"}'.replace(
                        '"addr":"127.0.0.1:7",', ""
                    )
                    if key == "addr"
                    else '{"id":"s-2","addr":"127.0.0.1:7","state":"Ready"}'
                )
                text = '{"version":9,"full":true,"servers":[%s]}\n' % one.replace(
                    "}", f',"{key}":{value}}}'
                )
                reason = self.ends(2, chunk(text.encode()))
                self.assertTrue(
                    f"servers.0.{key}" in reason or "no JSON" in reason, (key, value, reason)
                )
        for version in ("true", "-1", "1.5", "null", "99999999999999999999"):
            self.ends(2, chunk(b'{"version":%s,"full":true,"servers":[]}\n' % version.encode()))
        for full in ("1", '"yes"', "null"):
            self.ends(2, chunk(b'{"version":9,"full":%s,"servers":[]}\n' % full.encode()))
        self.ends(2, chunk(b'{"version":9,"servers":[{"state":"%s"}]}\n' % (b"x" * 99_999)))

    def test_numbers_in_news_and_counts_that_make_no_sense_end_their_stream(self):
        good = {
            "progress": {
                "version": 42,
                "step": 1,
                "status": "trial",
                "maxWeight": 0.5,
                "observedAgoMs": 5,
            },
            "metrics": {
                "version": 41,
                "kind": "read",
                "requests": 9,
                "failures": 1,
                "avgMs": 2,
                "observedAgoMs": 5,
            },
        }
        odd = ("-1", "nan", "inf", "-inf", "1e300", "", "x", "9" * 5000)
        for event, fields in good.items():
            for name in fields.keys() - {"status", "kind"}:
                for value in odd:
                    data = "&".join(
                        f"{key}={value if key == name else one}" for key, one in fields.items()
                    )
                    reason = self.ends(3, chunk(f"event: {event}\ndata: {data}\n\n".encode()))
                    self.assertIn(name, reason)
            self.ends(3, chunk(f"event: {event}\ndata: {'a=1&' * 200}\n\n".encode()))

    def test_counts_of_which_none_came_back_have_no_mean(self):
        told = "version=42&kind=read&requests=3&failures=3&avgMs=nan&observedAgoMs=5"
        self.assertEqual(platform.read_event("metrics", told), FleetCounts(42, "read", 3, 3, 0, 50))

    def test_an_event_without_an_end_is_bounded(self):
        events, fed = http.EventStream(), 0
        with self.assertRaisesRegex(http.MalformedHttpError, "event without an end"):
            while fed < 10 * http.MOST_EVENT:
                list(events.feed(b"data: x\n"))
                fed += 8
        self.assertLessEqual(fed, http.MOST_EVENT + 16)


class Calls(WithNetwork):
    NEWS = (
        b'<?xml version="1.0"?><Response><entries><item><version>41</version><step>1</step><status>released'
        b"</status><maxWeight>1</maxWeight><observedAgoMs>310</observedAgoMs></item></entries></Response>"
    )

    def setUp(self):
        super().setUp()
        self.heard, proxy = [], self.network.proxy
        proxy.engine.handle = lambda now, events: self.heard.extend(events) or []

    def vote(self):
        self.network.proxy.releases.cast_vote(CastVote(41, 1, Verdict.ABORT))

    def outcomes(self):
        return [
            event.outcome
            for event in self.heard
            if type(event) is ReleaseUpdate and event.answers_vote
        ]

    def written(self, port=3):
        call = self.connected(port)
        call.resumeProducing()
        return call

    def sized(self, body, status=200):
        return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)

    def test_a_vote_out_while_the_platform_moves_ends_once_and_leaves_the_new_address_alone(self):
        for end, outcome in (
            ("answer", Outcome.DONE),
            ("reset", Outcome.TIMED_OUT),
            ("nothing", Outcome.TIMED_OUT),
            ("no dial", Outcome.ERROR),
        ):
            self.setUp()
            former = self.network.proxy.platform
            self.vote()
            dialled = self.last(3)
            call = None if end == "no dial" else self.written()
            Moves.move(self, self.network, platform=9)
            self.vote()
            self.assertEqual(
                (
                    former.calls_in_flight,
                    self.network.proxy.platform.calls_in_flight,
                    self.asked(9),
                ),
                (1, 1, 2),
            )
            if end == "answer":
                call.dataReceived(self.sized(self.NEWS))
                self.assertTrue(call.transport.disconnected)
            elif end == "reset":
                call.connectionLost(Failure(ConnectionLost()))
            elif end == "no dial":
                self.network.refuse(dialled)
            else:
                self.pass_on(1.3)
                self.assertTrue(call.transport.disconnected)
                call.dataReceived(self.sized(self.NEWS))
            self.assertEqual((self.outcomes()[0], former.calls_in_flight), (outcome, 0), end)
            self.assertEqual(len(self.outcomes()), 1)

    def test_what_comes_after_the_end_of_a_call_is_nothing(self):
        for before, after in (
            (b"", self.sized(self.NEWS)),
            (self.sized(self.NEWS)[:60], self.sized(self.NEWS)[60:]),
        ):
            self.setUp()
            self.vote()
            call = self.written()
            call.dataReceived(before)
            self.pass_on(1.3)
            self.assertEqual(self.outcomes(), [Outcome.TIMED_OUT])
            call.dataReceived(after)
            call.connectionLost(Failure(ConnectionDone()))
            self.assertEqual(
                (self.outcomes(), self.network.proxy.platform.calls_in_flight),
                ([Outcome.TIMED_OUT], 0),
            )

    def test_two_answers_in_one_read_are_one(self):
        self.vote()
        call = self.written()
        call.dataReceived(
            self.sized(b"<Error><Code>throttled</Code></Error>", 400) + self.sized(self.NEWS)
        )
        self.assertEqual(self.outcomes(), [Outcome.REJECTED])

    def test_interim_answers_are_passed_over_and_some_have_no_body(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n"
        for said, outcomes in (
            (interim + self.sized(self.NEWS), [Outcome.DONE]),
            (interim, []),
            (b"HTTP/1.1 204 X\r\nContent-Length: 9\r\n\r\n", [Outcome.TIMED_OUT]),
            (b"HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n", [Outcome.TIMED_OUT]),
        ):
            for step in (1, len(said)):
                self.setUp()
                self.vote()
                call = self.written()
                for at in range(0, len(said), step):
                    call.dataReceived(said[at : at + step])
                self.assertEqual(self.outcomes(), outcomes, said)
        stream = self.connected(2)
        stream.dataReceived(interim + HEAD + chunk(listed(9, "s-2")))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_odd_chunks_trailers_and_answers_without_a_body_have_one_outcome_in_time(self):
        size = b"%x" % len(self.NEWS)
        whole = HEAD + size + b' ;a="b;c"\r\n' + self.NEWS + b"\r\n00;x\r\nX: y\r\n"
        for said, outcome, at_once in (
            (whole + b"\r\n", Outcome.DONE, True),
            (whole + b"X: y\r\n" * 9000, Outcome.TIMED_OUT, False),
            (HEAD + size + b"\n" + self.NEWS + b"\n0\n\n", Outcome.TIMED_OUT, False),
            (HEAD + b"\r\n", Outcome.TIMED_OUT, True),
            (HEAD + size + b";" + b"x" * 17_000, Outcome.TIMED_OUT, True),
            (whole + b"x" * 17_000, Outcome.TIMED_OUT, True),
            (HEAD + b"0\r\n\r\n", Outcome.TIMED_OUT, True),
            (self.sized(b""), Outcome.TIMED_OUT, True),
            (self.sized(b"", 500), Outcome.TIMED_OUT, True),
            (self.sized(b"", 301), Outcome.TIMED_OUT, True),
        ):
            self.setUp()
            self.vote()
            call = self.written()
            call.dataReceived(said)
            self.assertEqual(
                (self.outcomes(), call.transport.disconnected),
                ([outcome] * at_once, at_once),
                said[:90],
            )
            self.assertLess(len(call.parser.rest), 20_000)
            self.pass_on(1.3)
            self.assertEqual(
                (self.outcomes(), self.network.proxy.platform.calls_in_flight),
                ([outcome], 0),
                said[:90],
            )

    def test_an_answer_without_a_length_is_whole_only_where_the_peer_ends_it(self):
        for end, cut, outcome in (
            (ConnectionDone, 0, Outcome.DONE),
            (ConnectionLost, 0, Outcome.TIMED_OUT),
            (ConnectionDone, 60, Outcome.TIMED_OUT),
        ):
            self.setUp()
            self.vote()
            call = self.written()
            call.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n" + self.NEWS[: len(self.NEWS) - cut])
            self.assertEqual(self.outcomes(), [])
            call.connectionLost(Failure(end()))
            self.assertEqual((self.outcomes(), self.network.faults), ([outcome], []))

    def test_a_platform_that_closes_at_once_may_count_the_vote_only_where_it_was_written_whole(
        self,
    ):
        for whole, end in itertools.product((False, True), (ConnectionDone, ConnectionLost)):
            self.setUp()
            self.vote()
            call = self.connected(3)
            call.resumeProducing() if whole else None
            call.connectionLost(Failure(end()))
            self.assertEqual(
                (self.outcomes(), self.network.proxy.platform.calls_in_flight),
                ([Outcome.TIMED_OUT if whole else Outcome.ERROR], 0),
            )

    def test_an_answer_with_a_length_that_ends_before_it_may_count(self):
        self.vote()
        call = self.written()
        call.dataReceived(self.sized(self.NEWS)[:-9])
        call.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.outcomes(), [Outcome.TIMED_OUT])

    def test_no_deadline_of_a_call_or_a_dial_is_left_or_acts_on_what_came_up(self):
        self.vote()
        call, stream = self.written(), self.connected(2, SIGN[2])
        places = self.last(3), self.last(2)
        call.dataReceived(self.sized(self.NEWS))
        self.pass_on(0.3)
        live = self.network.proxy.timers.pending.values()
        self.assertEqual(
            [due for due, _ in live if getattr(due, "__self__", None) in (call, stream)], []
        )
        self.assertEqual(
            [self.network.reactor.connectors[at].stoppedConnecting for at in places], [False, False]
        )
        self.assertFalse(stream.transport.disconnected)

    def test_more_calls_than_fit_never_ran_and_their_places_come_back(self):
        for _ in range(20):
            self.vote()
        self.assertEqual(self.outcomes(), [Outcome.ERROR] * 4)
        self.pass_on(0.3)
        for at, connector in enumerate(self.network.reactor.connectors):
            if connector.stoppedConnecting and self.network.reactor.tcpClients[at][1] == 3:
                self.network.refuse(at)
        self.assertEqual(
            (self.outcomes(), self.network.proxy.platform.calls_in_flight),
            ([Outcome.ERROR] * 20, 0),
        )

    def test_a_body_in_slices_of_a_byte_costs_its_length(self):
        self.vote()
        call = self.written()
        call.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n")
        tracemalloc.start()
        for _ in range(10_000):
            call.dataReceived(b"x")
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(held, 100_000)

    def test_a_list_that_was_fetched_is_answered_once_whatever_comes(self):
        for said, kind in (
            (self.sized(listed(9, "s-2")), UpdateKind.FULL),
            (self.sized(listed(3, "s-2")), UpdateKind.FETCH_FAILED),
            (self.sized(b"noise"), UpdateKind.FETCH_FAILED),
            (self.sized(b"", 503), UpdateKind.FETCH_FAILED),
            (
                self.sized(listed(9, "s-2").replace(b"}]", b',"started_ms":1e300}]')),
                UpdateKind.FETCH_FAILED,
            ),
            (b"noise\r\n\r\n", UpdateKind.FETCH_FAILED),
        ):
            self.setUp()
            self.network.proxy.endpoints.fetch(FetchEndpoints())
            self.written(2).dataReceived(said)
            self.assertEqual(
                [event.kind for event in self.heard if type(event) is EndpointUpdate],
                [kind],
                said[:60],
            )

    def test_one_fetched_at_a_former_address_changes_nothing_there(self):
        self.network.proxy.endpoints.fetch(FetchEndpoints())
        call = self.written(2)
        Moves.move(self, self.network, discovery=8)
        stream = self.connected(8, listed(3, "s-2"))
        call.dataReceived(self.sized(listed(9, "s-3")))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])
        stream.dataReceived(chunk(listed(4, "s-4")))
        self.assertEqual(
            (list(self.network.proxy.listed_endpoints), stream.transport.disconnected),
            (["s-4"], False),
        )
        self.assertEqual(
            [event.kind for event in self.heard if type(event) is EndpointUpdate],
            [UpdateKind.FULL, UpdateKind.FETCH_FAILED, UpdateKind.FULL],
        )


class Together(WithNetwork):
    """Changes that come in one chunk are taken as one, and bring about what each alone would."""

    def told(self, chunks):
        network, lists = Network(endpoint_entry("s-1"), endpoint_entry("s-2", 42)), []
        handle = network.proxy.engine.handle
        network.proxy.engine.handle = lambda now, events: (
            lists.extend(event for event in events if type(event) is EndpointUpdate)
            or handle(now, events)
        )
        stream = network.connect(0)
        stream.dataReceived(HEAD)
        for content in chunks:
            stream.dataReceived(chunk(content))
        proxy = network.proxy
        known = {name: known.listed for name, known in proxy.engine.context.endpoints.items()}
        self.assertEqual(
            (known, proxy.addresses.keys()), (proxy.listed_endpoints, proxy.listed_endpoints.keys())
        )
        return (
            known,
            proxy.addresses,
            proxy.endpoints.version,
            stream.transport.disconnected,
        ), len(lists)

    def test_whatever_comes_together_ends_as_one_by_one(self):
        chance = random.Random(5)
        for _ in range(200):
            texts = []
            for version in range(8, 8 + chance.randint(1, 12)):
                some = [
                    endpoint_entry(
                        f"s-{chance.randint(1, 4)}",
                        chance.choice((41, 42)),
                        chance.choice(("Ready", "Terminating", "Gone")),
                        addr=f"h:{chance.randint(1, 9)}",
                        started_ms=chance.choice((0, 9)),
                    )
                    for _ in range(chance.randint(0, 3))
                ]
                whole = bool(some) and chance.random() < 0.1
                texts.append(
                    json.dumps({"version": version, "full": whole, "servers": some}).encode()
                    + b"\n"
                )
            texts.insert(chance.randint(0, len(texts)), chance.choice((b"\n", b"noise\n", b"\n")))
            self.assertEqual(self.told([b"".join(texts)])[0], self.told(texts)[0], texts)

    def test_hundreds_of_changes_cost_one_look_at_all_that_are_known(self):
        _, lists = self.told(
            [b"".join(listed(8 + at, f"s-{at}", full=False) for at in range(1, 400))]
        )
        self.assertEqual(lists, 1)

    def test_a_pod_that_goes_and_comes_back_in_one_chunk_gets_what_waits_for_it(self):
        network = self.network
        network.ask("01")
        gone = (
            json.dumps({"version": 8, "servers": [endpoint_entry("s-1", state="Gone")]}).encode()
            + b"\n"
        )
        for started, dialled in ((0, 1), (9, 2)):  # the same process, and another one
            back = (
                json.dumps(
                    {"version": 9, "servers": [endpoint_entry("s-1", started_ms=started)]}
                ).encode()
                + b"\n"
            )
            self.connected(2, gone + back) if started == 0 else self.kept[2].current.dataReceived(
                chunk(gone + back)
            )
            self.assertEqual(network.dialled_ports().count(7001), dialled)
        self.assertEqual(network.connect(network.streams).transport.value(), b"")
        self.assertIn(b"$2\r\n01\r\n", network.connect().transport.value())


class Indented(WithNetwork):
    def test_a_list_on_several_lines_is_taken_as_soon_as_it_is_whole_however_it_is_split(self):
        for indent in (None, 0, 1, 4):
            for step in (1, 7, 100_000):
                network = Network(endpoint_entry("s-1", zone='a"}[\\'))
                stream, body = network.connect(0), listed(9, "s-2", "s-3", indent=indent)
                stream.dataReceived(HEAD)
                for at in range(0, len(body), step):
                    self.assertEqual(list(network.proxy.listed_endpoints), ["s-1"])
                    stream.dataReceived(chunk(body[at : at + step]))
                self.assertEqual(list(network.proxy.listed_endpoints), ["s-2", "s-3"])
                stream.dataReceived(
                    chunk(b"\n" + listed(10, "s-4", indent=2) + b"\n\n" + listed(11, "s-5"))
                )
                self.assertEqual(
                    (list(network.proxy.listed_endpoints), network.proxy.endpoints.version),
                    (["s-5"], 11),
                )
                self.assertFalse(stream.transport.disconnected)

    def test_brackets_and_quotes_in_strings_and_shapes_of_the_page(self):
        odd = {
            "version": 9,
            "full": True,
            "servers": [endpoint_entry("s-2", zone='}]"{[\\', kind='\\"')],
        }
        for text in (
            json.dumps(odd, indent=2),
            '{"version":9,"full":true,"servers":[\n  {"id":"s-2","addr":"h:7",'
            '"state":"Ready","weight":1.5e0,"cell":-1}]}',
            '{\n\n"version":9,"full":true,"servers":[]}',
        ):
            lists = discovery.ListParser()
            found = list(lists.feed(text.encode() + b"\r\n\n"))
            self.assertEqual(found, [json.loads(text), None])

    def test_nonsense_ends_it_with_its_line(self):
        for text in (
            b"noise\n",
            b'{"version":9]\n',
            b'{"version":9,\n"servers":[}\n',
            b"{\nnoise\n",
            b'{"a\n',
            b"}\n",
            b'{"version":\n}\n',
            b"[\n",
            b"{\n}}\n",
            b'{"a":1}{"b":2}\n',
            b'{\n"a":1\n}{\n',
        ):
            with self.assertRaises(discovery.UnreadableListError, msg=text):
                list(discovery.ListParser().feed(text))

    def test_a_list_that_was_cut_ends_it_as_soon_as_another_begins(self):
        for whole in (
            listed(9, "s-2", "s-3"),
            listed(9, "s-2", "s-3", indent=0),
            listed(9, "s-2", "s-3", indent=2),
        ):
            ends = range(
                whole.index(b"version") + 9, len(whole) - 2
            )  # before that only silence tells
            for at, indent, sign in itertools.product(ends, (None, 2), (b"", b"\n", b"\n\n\n")):
                lists, another = discovery.ListParser(), listed(10, "s-4", "s-5", indent=indent)
                with self.assertRaises(discovery.UnreadableListError, msg=whole[:at] + sign):
                    list(lists.feed(whole[:at] + sign + another))
        keys = listed(9, "s-2", indent=2).replace(b'"s-2"', b'"\\"servers\\": ["')
        self.assertEqual(len(list(discovery.ListParser().feed(keys * 3))), 3)

    def test_a_list_without_an_end_is_bounded(self):
        lists, line, fed = discovery.ListParser(), b'"' + b"x" * 60_000 + b'":1,\n', 0
        list(lists.feed(b"{\n"))
        with self.assertRaisesRegex(discovery.UnreadableListError, "too long"):
            while fed < 2 * http.MOST_LINE:
                list(lists.feed(line))
                fed += len(line)
        self.assertLessEqual(fed, http.MOST_LINE)

    def test_a_list_of_five_thousand_pods_is_taken_on_one_line_or_indented(self):
        names = [f"s-{at}" for at in range(5000)]
        for indent in (None, 4):
            body, lists, found = listed(9, *names, indent=indent), discovery.ListParser(), []
            for at in range(0, len(body), 65536):
                found += lists.feed(body[at : at + 65536])
            self.assertEqual([len(one["servers"]) for one in found], [5000])


class OnSockets(unittest.TestCase):
    def setUp(self):
        self.old, self.new = PodPeer(), PodPeer()
        with patient():  # once it serves, a watch has been heard and stands
            self.running = Program(self.old.entry("s-1"))
        self.running.__enter__()
        for last in (self.running.__exit__, self.old.close, self.new.close):
            self.addCleanup(last)

    def goes_to_new(self):
        with self.running.client() as client:
            number = itertools.count()
            until(
                lambda: not self.new.heard.empty(),
                lambda: client.ask("SVC.QUERY", "a", f"{next(number)}", "c=read,d=4000"),
            )

    def whole(self, version, **more):
        return (
            json.dumps(
                {"version": version, "full": True, "servers": [self.new.entry("s-2")]}, **more
            )
            + "\n"
        )

    def test_an_indented_list_in_pieces_beside_signs_of_life(self):
        stood, text = list(self.running.discovery.streams), self.whole(9, indent=4)
        self.running.discovery.say(
            "\n", *(text[at : at + 50] for at in range(0, len(text), 50)), "\n"
        )
        self.goes_to_new()
        self.assertTrue(
            [one for one in stood if one in self.running.discovery.streams]
        )  # none was asked for instead

    def test_nonsense_amid_an_indented_list_ends_the_watch_alone_and_says_why(self):
        self.running.discovery.say('{"version": 9,\n"full": true,\nnoise\n')
        until(lambda: "noise" in self.running.logged("stream ended")["reason"], lambda: None)
        self.running.discovery.asked.get(timeout=PATIENCE)
        self.running.discovery.say(self.whole(10))
        self.goes_to_new()

    def test_dials_that_never_come_up_at_a_new_address_leave_nothing_there(self):
        """Its queue is full: the machine drops what knocks, until those in the queue are taken."""
        with socket.socket() as listener, contextlib.ExitStack() as fillers:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            at = listener.getsockname()
            for _ in range(3):
                filler = fillers.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(at)
            self.running.write({**self.running.told, "discovery": "%s:%d" % at})
            self.running.process.send_signal(signal.SIGHUP)
            for _ in range(2):  # one at the former address may have ended before
                while self.running.logged("stream ended")["address"] != "%s:%d" % at:
                    pass
            body = HEAD + chunk(self.whole(3).encode())

            def answers():
                """The fillers say nothing, and those given up neither; one that asked may be given up unheard."""
                with contextlib.suppress(OSError):
                    while True:
                        connection = fillers.enter_context(listener.accept()[0])
                        connection.settimeout(0.3)
                        with contextlib.suppress(OSError):
                            if connection.recv(4096).startswith(b"GET"):
                                connection.sendall(body)

            answering = threading.Thread(target=answers, daemon=True)
            answering.start()
            fillers.callback(answering.join)
            fillers.callback(listener.shutdown, socket.SHUT_RDWR)
            self.goes_to_new()


if __name__ == "__main__":
    unittest.main()

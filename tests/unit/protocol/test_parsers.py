"""Parsers and writers on whole messages, on every split of them, and on garbage; words and statuses."""

import random
import time
import unittest

from tests.support.programs import command
from thymeknot.interface.actions import CastVote
from thymeknot.interface.enums import EndpointCondition, Outcome, ReleasePhase, UpdateKind, Verdict
from thymeknot.interface.events import Endpoint, EndpointUpdate, FleetCounts, ReleaseUpdate
from thymeknot.protocol import command as commands
from thymeknot.protocol import deployer, discovery, http, pod, resp
from thymeknot.protocol.http_calls import Reply
from thymeknot.protocol.write_progress import (
    NOT_ALL_WRITTEN,
    NOT_CONNECTED,
    WRITTEN,
    BrokenConnection,
)

EVENTS = b"event: progress\ndata: a=1\n\n:\n\ndata:b=2\n\n"
STREAM = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"".join(
        b"%X;x=1\r\n%s\r\n" % (len(part), part) for part in (EVENTS[:5], EVENTS[5:30], EVENTS[30:])
    )
    + b"0\r\nTrailer: x\r\n\r\n"
)
CALL = b"HTTP/1.1 400 Bad\r\nContent-Length: 37\r\n\r\n<Error><Code>throttled</Code></Error>"


def plain(message):
    """A message with its slices copied, so that it can be compared."""
    if isinstance(message, list):
        return [plain(part) for part in message]
    return bytes(message) if isinstance(message, memoryview) else message


def splits(data):
    """The data whole, byte by byte, and in two at each point."""
    yield [data]
    yield [data[at : at + 1] for at in range(len(data))]
    for at in range(1, len(data)):
        yield [data[:at], data[at:]]


class Resp(unittest.TestCase):
    def test_messages_come_whole_however_they_are_split(self):
        data = (
            command("SVC.QUERY", "k", "\r\n$3")
            + b"*3\r\n$0\r\n\r\n$-1\r\n*1\r\n:-12\r\n"
            + b"-ERR failed\r\n"
            + b"+OK\r\n*-1\r\n*0\r\n"
        )
        wanted = [
            [b"SVC.QUERY", b"k", b"\r\n$3"],
            [b"", None, [-12]],
            resp.Failure("ERR failed"),
            resp.Status("OK"),
            None,
            [],
        ]
        for chunks in splits(data):
            parser = resp.Parser()
            self.assertEqual(
                [plain(found) for chunk in chunks for found in parser.feed(chunk)], wanted
            )

    def test_a_long_value_comes_in_pieces_and_is_a_slice_of_what_was_read(self):
        whole, parser = command(b"x" * resp.MOST_BULK), resp.Parser()
        found = [
            plain(message)
            for at in range(0, len(whole), 999)
            for message in parser.feed(whole[at : at + 999])
        ]
        self.assertEqual(found, [[b"x" * resp.MOST_BULK]])
        self.assertIs(next(resp.Parser().feed(whole))[0].obj, whole)

    def test_what_can_be_no_message_is_malformed(self):
        for data in (
            b"PING\r\n",
            b"*x\r\n",
            b"$-2\r\n",
            b"*65\r\n",
            b"$65537\r\n",
            b"$2\r\nabc\r\n",
            b"$\r\n",
            b"*1\r\n" * 5 + b":1\r\n",
            b"+" + b"a" * 5000,
            b"$9999999999999999999\r\n",
        ):
            with self.assertRaises(resp.MalformedRespError, msg=data):
                list(resp.Parser().feed(data))

    def test_garbage_raises_nothing_else(self):
        chance = random.Random(5)
        for _ in range(3000):
            data = bytes(chance.choice(b"*$+-:\r\n0123x") for _ in range(chance.randrange(1, 40)))
            try:
                list(resp.Parser().feed(data))
            except resp.MalformedRespError:
                pass

    def test_writers_write_what_the_parser_reads(self):
        for written, wanted in (
            (resp.command([b"A", b""]), [b"A", b""]),
            (resp.value(memoryview(b"v")), b"v"),
            (resp.status("PONG"), resp.Status("PONG")),
            (resp.failure("ERR a\r\nb"), resp.Failure("ERR a b")),
        ):
            self.assertEqual([plain(found) for found in resp.Parser().feed(written)], [wanted])


class Commands(unittest.TestCase):
    def test_a_command_passes_on_as_it_came_with_the_time_left(self):
        read = commands.read_command(
            [b"SVC.SUBMIT", b"k1", b"id1", b"c=pay,t=acme,d=480,k=5c,r=1", b"BODY"]
        )
        self.assertEqual(
            (read.request_class, read.tenant, read.timeout_ms, read.is_retry),
            ("pay", "acme", 480, True),
        )
        self.assertEqual(
            read.forwarded_words(77),
            [b"SVC.SUBMIT", b"k1", b"id1", b"c=pay,t=acme,d=77,k=5c,r=1", b"BODY"],
        )

    def test_what_is_wrong_with_a_command_is_said(self):
        for words, reason in (
            ([b"Q", b"k", b"i"], "takes a key"),
            ([b"Q", b"k", b"i", b"d=5"], "lane"),
            ([b"Q", b"k", b"i", b"c=a"], "time"),
            ([b"Q", b"k", b"i", b"c=a,d=-5"], "time"),
            ([b"Q", b"k", b"i", b"c=\xff,d=5"], "UTF-8"),
            ([b"Q", b"k", b"", b"c=a,d=5"], "id"),
        ):
            self.assertIn(reason, commands.read_command(words).reason)

    def test_what_is_held_of_a_command_that_is_never_whole_is_bounded_and_so_is_the_work_on_it(
        self,
    ):
        """By the pieces that a connection reads; the arrays are a megabyte, in each other and all but empty."""
        part, nested = b"$%d\r\n%s\r\n" % (resp.MOST_BULK, b"x" * resp.MOST_BULK), b"*64\r\n"
        for data in (
            b"*64\r\n" + 63 * part,
            nested + 63 * (nested + 64 * (nested + 64 * b"*0\r\n")),
            nested + 63 * (nested + 64 * part),
        ):
            parser, began = commands.CommandParser(), time.process_time()
            with self.assertRaises(resp.MalformedRespError):
                for at in range(0, len(data), 65536):
                    list(parser.feed(data[at : at + 65536]))
                    self.assertLessEqual(parser.held, commands.MOST_COMMAND)
            self.assertLess(time.process_time() - began, 0.1)

    def test_what_a_pod_may_answer(self):
        for data, wanted in (
            (b"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\nq=1\r\n", pod.PodResponse(b"v", b"q=1", None)),
            (b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", pod.PodResponse(b"v", None, None)),
            (b"-BUSY\r\n", pod.PodResponse(None, None, "BUSY")),
            (b"+OK\r\n", None),
            (b"*0\r\n", None),
            (b"*1\r\n$-1\r\n", None),
        ):
            self.assertEqual(pod.read_answer(next(resp.Parser().feed(data))), wanted)


class Http(unittest.TestCase):
    def read(self, chunks):
        parser, status, body, ends = http.Parser(), [], b"", 0
        for chunk in chunks:
            for part in parser.feed(chunk):
                if isinstance(part, http.Head):
                    status.append(part.status)
                elif isinstance(part, http.Body):
                    body += bytes(part.content)
                else:
                    ends += 1
        return status, body, ends

    def test_answers_come_whole_however_they_are_split(self):
        wanted = ([200, 400], EVENTS + CALL[-37:], 2)
        for chunks in splits(STREAM + CALL):
            self.assertEqual(self.read(chunks), wanted)

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        parser = http.Parser()
        parts = [
            *parser.feed(b"HTTP/1.1 200 OK\r\n\r\n<a>"),
            *parser.feed(b"1</a>"),
            *parser.closed(),
        ]
        self.assertEqual([bytes(part.content) for part in parts[1:-1]], [b"<a>", b"1</a>"])
        self.assertEqual((type(parts[-1]), http.Parser().closed()), (http.End, []))

    def test_events_come_whole_however_the_stream_is_split(self):
        data = b"event: progress\r\ndata: a=1\n\n:\n\n: sign\ndata:b=2\ndata: c\n\nevent: x\n\n"
        for chunks in splits(data):
            events = http.EventStream()
            self.assertEqual(
                [event for chunk in chunks for event in events.feed(chunk)],
                [("progress", "a=1"), ("message", "b=2\nc")],
            )

    def test_what_is_not_http_is_malformed(self):
        for data in (
            b"SMTP ready\r\n\r\n",
            b"HTTP/1.1 abc\r\n\r\n",
            b"x" * 20000,
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
        ):
            with self.assertRaises(http.MalformedHttpError, msg=data):
                list(http.Parser().feed(data))


class Platform(unittest.TestCase):
    def test_each_status_of_a_vote_has_its_meaning(self):
        good = (
            b'<?xml version="1.0"?>\n<Response><entries><item><version>42</version><step>1</step>'
            b"<status>trial</status><maxWeight>0.28</maxWeight><observedAgoMs>310</observedAgoMs>"
            b"</item></entries></Response>"
        )
        self.assertEqual(
            deployer.read_vote_reply(42, Reply(200, good)),
            ReleaseUpdate(42, 1, ReleasePhase.ON_TRIAL, True, Outcome.DONE, 0.28, 3100),
        )
        error = b"<Error><Code>%s</Code></Error>"
        for end, outcome in (
            (Reply(400, error % b"throttled"), Outcome.REJECTED),
            (Reply(400, error % b"conflict"), Outcome.NOT_SENT),
            (Reply(500, error % b"internal"), Outcome.ERROR),
            (Reply(400, error % b"invalid"), Outcome.ERROR),
            (Reply(200, b"<Response/>"), Outcome.TIMED_OUT),
            (Reply(302, b""), Outcome.TIMED_OUT),
            (BrokenConnection(NOT_CONNECTED, ""), Outcome.ERROR),
            (BrokenConnection(NOT_ALL_WRITTEN, ""), Outcome.ERROR),
            (BrokenConnection(WRITTEN, ""), Outcome.TIMED_OUT),
        ):
            self.assertEqual(
                deployer.read_vote_reply(42, end),
                ReleaseUpdate(42, None, None, True, outcome, None, None),
            )

    def test_a_vote_is_a_form(self):
        call = deployer.vote_request("h:1", CastVote(42, 1, Verdict.ABORT))
        head, body = call.split(b"\r\n\r\n")
        self.assertEqual(body, b"Action=PutApproval&version=42&step=1&vote=abort")
        self.assertIn(b"Content-Length: %d" % len(body), head)

    def test_what_the_stream_tells(self):
        progress = "version=42&step=1&status=released&maxWeight=1&observedAgoMs=310"
        self.assertEqual(
            deployer.read_event("progress", progress),
            ReleaseUpdate(42, 1, ReleasePhase.RELEASED, False, Outcome.DONE, 1.0, 3100),
        )
        metrics = "version=42&kind=a&requests=57&failures=2&avgMs=18.5&observedAgoMs=900"
        self.assertEqual(
            deployer.read_event("metrics", metrics), FleetCounts(42, "a", 57, 2, 185, 9000)
        )
        self.assertIsNone(deployer.read_event("weather", "a=1"))
        for data, field in (
            ("version=x", "version"),
            ("version=1&step=1&status=odd", "status"),
            ("version=1&step=1&status=trial&maxWeight=7", "maxWeight"),
        ):
            with self.assertRaisesRegex(deployer.UnreadableReleaseError, field):
                deployer.read_event("progress", data)


class Discovery(unittest.TestCase):
    def entry(self, **more):
        return {
            "id": "s-1",
            "addr": "127.0.0.1:9",
            "zone": "a",
            "kind": "m2",
            "cell": 3,
            "state": "Ready",
            "weight": 1.5,
            "started_ms": 0,
            "image_id": 41,
            **more,
        }

    def test_lists_and_changes(self):
        listing = discovery.read_list(
            {
                "version": 4,
                "full": True,
                "servers": [self.entry(started_ms=1500), self.entry(id="s-2", state="Terminating")],
            },
            5000,
        )
        self.assertEqual(
            listing,
            discovery.EndpointListing(
                4,
                EndpointUpdate(
                    UpdateKind.FULL,
                    (
                        Endpoint("s-1", "a", 1.5, 3, EndpointCondition.READY, 10000, "m2", 41),
                        Endpoint("s-2", "a", 1.5, 3, EndpointCondition.DRAINING, 0, "m2", 41),
                    ),
                ),
                {"s-1": "127.0.0.1:9", "s-2": "127.0.0.1:9"},
            ),
        )
        gone = discovery.read_json(
            b'{"version":5,"full":false,"servers":[{"id":"s-1","state":"Gone"}]}', 0
        )
        self.assertEqual(
            (gone.update.kind, gone.update.endpoints[0].condition, gone.addresses),
            (UpdateKind.DELTA, EndpointCondition.GONE, {}),
        )

    def test_the_faulty_key_is_named(self):
        for changed, key in (
            ({"state": "Odd"}, "state"),
            ({"addr": "nowhere"}, "addr"),
            ({"weight": 0}, "weight"),
            ({"id": None}, "id"),
        ):
            with self.assertRaisesRegex(discovery.UnreadableListError, f"servers.0.{key}"):
                discovery.read_list({"version": 1, "servers": [self.entry(**changed)]}, 0)
        for text in (b"[]", b"{", b'{"version":1}', b'{"servers":[]}', b"\xff"):
            with self.assertRaises(discovery.UnreadableListError):
                discovery.read_json(text, 0)

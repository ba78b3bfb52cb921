"""Parsers and serializers: complete messages, any chunk boundary, invalid input, and vote outcomes."""

import gc
import random
import time
import tracemalloc
import unittest

from tests.support.programs import encode_command
from thymeknot.interface.actions import CastVote
from thymeknot.interface.enums import EndpointCondition, Outcome, ReleasePhase, UpdateKind, Verdict
from thymeknot.interface.events import Endpoint, EndpointUpdate, FleetCounts, ReleaseUpdate
from thymeknot.protocol import command as commands
from thymeknot.protocol import deployer, discovery, http, pod_response, resp
from thymeknot.protocol.http_calls import Reply
from thymeknot.protocol.write_progress import (
    NOT_ALL_WRITTEN,
    NOT_CONNECTED,
    WRITTEN,
    BrokenConnection,
)

EVENTS = b"event: progress\ndata: a=1\n\n:\n\ndata:b=2\n\n"
CHUNKED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"".join(
        b"%X;x=1\r\n%s\r\n" % (len(part), part) for part in (EVENTS[:5], EVENTS[5:30], EVENTS[30:])
    )
    + b"0\r\nTrailer: x\r\n\r\n"
)
ERROR_RESPONSE = (
    b"HTTP/1.1 400 Bad\r\nContent-Length: 37\r\n\r\n<Error><Code>throttled</Code></Error>"
)


def copied(message):
    """Returns a message with its memoryviews copied to bytes, for comparison."""
    if isinstance(message, list):
        return [copied(part) for part in message]
    return bytes(message) if isinstance(message, memoryview) else message


def chunkings(data):
    """Yields the data in one chunk, byte by byte, and in two chunks split at each offset."""
    yield [data]
    yield [data[at : at + 1] for at in range(len(data))]
    for at in range(1, len(data)):
        yield [data[:at], data[at:]]


class RespTest(unittest.TestCase):
    def test_messages_are_parsed_at_any_chunk_boundary(self):
        data = (
            encode_command("SVC.QUERY", "k", "\r\n$3")
            + b"*3\r\n$0\r\n\r\n$-1\r\n*1\r\n:-12\r\n"
            + b"-ERR failed\r\n"
            + b"+OK\r\n*-1\r\n*0\r\n"
        )
        expected = [
            [b"SVC.QUERY", b"k", b"\r\n$3"],
            [b"", None, [-12]],
            resp.Failure("ERR failed"),
            resp.Status("OK"),
            None,
            [],
        ]
        for chunks in chunkings(data):
            parser = resp.Parser()
            self.assertEqual(
                [copied(found) for chunk in chunks for found in parser.feed(chunk)], expected
            )

    def test_long_value_in_chunks_and_zero_copy_slice(self):
        whole, parser = encode_command(b"x" * resp.MAX_BULK_BYTES), resp.Parser()
        found = [
            copied(message)
            for at in range(0, len(whole), 999)
            for message in parser.feed(whole[at : at + 999])
        ]
        self.assertEqual(found, [[b"x" * resp.MAX_BULK_BYTES]])
        self.assertIs(next(resp.Parser().feed(whole))[0].obj, whole)

    def test_invalid_messages_are_malformed(self):
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

    def test_random_input_raises_only_malformed_error(self):
        rng = random.Random(5)
        for _ in range(3000):
            data = bytes(rng.choice(b"*$+-:\r\n0123x") for _ in range(rng.randrange(1, 40)))
            try:
                list(resp.Parser().feed(data))
            except resp.MalformedRespError:
                pass

    def test_serializers_match_the_parser(self):
        for written, expected in (
            (resp.command([b"A", b""]), [b"A", b""]),
            (resp.value(memoryview(b"v")), b"v"),
            (resp.status("PONG"), resp.Status("PONG")),
            (resp.failure("ERR a\r\nb"), resp.Failure("ERR a b")),
        ):
            self.assertEqual([copied(found) for found in resp.Parser().feed(written)], [expected])


class CommandTest(unittest.TestCase):
    def test_forwarded_command_only_changes_the_timeout(self):
        parsed = commands.read_command(
            [b"SVC.SUBMIT", b"k1", b"id1", b"c=pay,t=acme,d=480,k=5c,r=1", b"BODY"]
        )
        self.assertEqual(
            (parsed.request_class, parsed.tenant, parsed.timeout_ms, parsed.is_retry),
            ("pay", "acme", 480, True),
        )
        self.assertEqual(
            parsed.forwarded_words(77),
            [b"SVC.SUBMIT", b"k1", b"id1", b"c=pay,t=acme,d=77,k=5c,r=1", b"BODY"],
        )

    def test_fields_are_forwarded_as_they_came_and_the_last_of_a_name_counts(self):
        for fields, expected in (
            (b"c=a,x,,=,d=5", ("a", None, 5, b"c=a,x,,=,d=77")),
            (
                b"c=a,c=b,d=1,d=5,t=x,t,dd=5,ad=5",
                ("b", None, 5, b"c=a,c=b,d=77,d=77,t=x,t,dd=5,ad=5"),
            ),
            (b"d=5,t=a=b,c=q=1", ("q=1", "a=b", 5, b"d=77,t=a=b,c=q=1")),
            (b",c=a,d=5,", ("a", None, 5, b",c=a,d=77,")),
        ):
            parsed = commands.read_command([b"SVC.QUERY", b"k", b"i", fields])
            found = parsed.request_class, parsed.tenant, parsed.timeout_ms
            self.assertEqual((*found, parsed.forwarded_words(77)[3]), expected)
        self.assertIn("lane", commands.read_command([b"Q", b"k", b"i", b"c=a,c,d=5"]).reason)

    # Guards against a parsed form hundreds of times larger than the size that is counted.
    def test_command_of_many_short_fields_takes_the_memory_that_it_counts(self):
        for fields in (b"," * 65_000, b"ab," * 10_000, b"a=," * 20_000, b"d=1," * 16_000):
            words = [b"SVC.QUERY", b"k", b"i", fields + b"c=a,d=5"]
            gc.collect()
            tracemalloc.start()
            started_at = time.process_time()
            parsed = commands.read_command(words)
            cpu_seconds = time.process_time() - started_at
            held_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertLess(held_bytes, parsed.size() + 2_048, fields[:8])
            self.assertLess(cpu_seconds, 0.02, fields[:8])

    def test_invalid_command_has_a_reason(self):
        for words, reason in (
            ([b"Q", b"k", b"i"], "takes a key"),
            ([b"Q", b"k", b"i", b"d=5"], "lane"),
            ([b"Q", b"k", b"i", b"c=a"], "time"),
            ([b"Q", b"k", b"i", b"c=a,d=-5"], "time"),
            ([b"Q", b"k", b"i", b"c=\xff,d=5"], "UTF-8"),
            ([b"Q", b"k", b"", b"c=a,d=5"], "id"),
        ):
            self.assertIn(reason, commands.read_command(words).reason)

    def test_incomplete_command_is_bounded_in_memory_and_cpu_time(
        self,
    ):
        """Feeds chunks of the size that a connection reads; the nested, nearly empty arrays take 1 MB."""
        part, nested = (
            b"$%d\r\n%s\r\n" % (resp.MAX_BULK_BYTES, b"x" * resp.MAX_BULK_BYTES),
            b"*64\r\n",
        )
        for data in (
            b"*64\r\n" + 63 * part,
            nested + 63 * (nested + 64 * (nested + 64 * b"*0\r\n")),
            nested + 63 * (nested + 64 * part),
        ):
            gc.collect()  # that of other tests' objects, which must not fall into the measured time
            parser, started_at = commands.CommandParser(), time.process_time()
            with self.assertRaises(resp.MalformedRespError):
                for at in range(0, len(data), 65536):
                    list(parser.feed(data[at : at + 65536]))
                    self.assertLessEqual(parser.buffered_bytes, commands.MAX_COMMAND_BYTES)
            self.assertLess(time.process_time() - started_at, 0.1)

    def test_endpoint_responses(self):
        for data, expected in (
            (
                b"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\nq=1\r\n",
                pod_response.PodResponse(b"v", b"q=1", None),
            ),
            (b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", pod_response.PodResponse(b"v", None, None)),
            (b"-BUSY\r\n", pod_response.PodResponse(None, None, "BUSY")),
            (b"+OK\r\n", None),
            (b"*0\r\n", None),
            (b"*1\r\n$-1\r\n", None),
        ):
            self.assertEqual(pod_response.read_response(next(resp.Parser().feed(data))), expected)


class HttpTest(unittest.TestCase):
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

    def test_responses_are_parsed_at_any_chunk_boundary(self):
        expected = ([200, 400], EVENTS + ERROR_RESPONSE[-37:], 2)
        for chunks in chunkings(CHUNKED_RESPONSE + ERROR_RESPONSE):
            self.assertEqual(self.read(chunks), expected)

    def test_response_without_length_ends_with_its_connection(self):
        parser = http.Parser()
        parts = [
            *parser.feed(b"HTTP/1.1 200 OK\r\n\r\n<a>"),
            *parser.feed(b"1</a>"),
            *parser.end_of_stream(),
        ]
        self.assertEqual([bytes(part.content) for part in parts[1:-1]], [b"<a>", b"1</a>"])
        self.assertEqual((type(parts[-1]), http.Parser().end_of_stream()), (http.End, []))

    def test_events_are_parsed_at_any_chunk_boundary(self):
        data = b"event: progress\r\ndata: a=1\n\n:\n\n: sign\ndata:b=2\ndata: c\n\nevent: x\n\n"
        for chunks in chunkings(data):
            events = http.EventStream()
            self.assertEqual(
                [event for chunk in chunks for event in events.feed(chunk)],
                [("progress", "a=1"), ("message", "b=2\nc")],
            )

    def test_invalid_http_is_malformed(self):
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


class DeployerTest(unittest.TestCase):
    def test_outcome_of_each_vote_response(self):
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

    def test_vote_is_sent_as_a_form(self):
        call = deployer.vote_request("h:1", CastVote(42, 1, Verdict.ABORT))
        head, body = call.split(b"\r\n\r\n")
        self.assertEqual(body, b"Action=PutApproval&version=42&step=1&vote=abort")
        self.assertIn(b"Content-Length: %d" % len(body), head)

    def test_stream_events(self):
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


class DiscoveryTest(unittest.TestCase):
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

    def test_full_lists_and_deltas(self):
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

    def test_error_names_the_invalid_key(self):
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

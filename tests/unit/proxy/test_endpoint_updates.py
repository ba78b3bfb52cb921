"""Updates of the endpoint list: what a change costs, and how the stream's framing matters."""

import json
import random
import sys
import unittest

from tests.unit.proxy.test_proxy import Network, endpoint_entry
from thymeknot.interface.events import EndpointUpdate

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
USUAL_FLEET, LARGE_FLEET = 100, 800


def entry(number, state="Ready", **fields):
    """Returns an entry of an endpoint list, one of three zones."""
    return endpoint_entry(f"s-{number}", state=state, zone="abc"[number % 3], **fields)


def encode_delta(version, *entries):
    return json.dumps({"version": version, "servers": entries}).encode() + b"\n"


def encode_chunk(content):
    return b"%x\r\n%b\r\n" % (len(content), content)


def slices(content, size):
    return [content[start : start + size] for start in range(0, len(content), size)]


def open_stream(network):
    """Returns the watch stream, ready for chunks."""
    stream = network.connect(0)
    stream.dataReceived(HEAD)
    return stream


def count_instructions(call):
    """Returns how many bytecode instructions a call executes, also within comprehensions."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(None)
    return count


def count_instructions_of_changes(size, state, fields):
    """Returns the work of eleven changes, a chunk each, to a fleet of this size."""
    network = Network(*(entry(number) for number in range(size)))
    stream = open_stream(network)
    first, *contents = (
        encode_chunk(encode_delta(8 + number, entry(number, state, **fields)))
        for number in range(12)
    )
    stream.dataReceived(first)
    count = count_instructions(lambda: [stream.dataReceived(content) for content in contents])
    if network.proxy.endpoints.version != 8 + len(contents):
        raise AssertionError("not all changes were applied")
    return count


class ChangeCostTest(unittest.TestCase):
    # Guards against requests that wait for seconds while a zone of a large fleet is lost: each
    # change took a time that grew with the length of the whole list.
    def test_work_for_a_change_does_not_grow_with_the_fleet(self):
        for state, fields in (("Gone", {}), ("Terminating", {}), ("Ready", {"started_ms": 9})):
            usual = count_instructions_of_changes(USUAL_FLEET, state, fields)
            large = count_instructions_of_changes(LARGE_FLEET, state, fields)
            with self.subTest(state, usual=usual, large=large):
                self.assertLess(large, 1.1 * usual)


class FramingTest(unittest.TestCase):
    """The same bytes lead to the same list, however they are cut into chunks and reads."""

    def receive(self, lines, cut):
        """Returns the updates that the engine gets from a stream of lines, and the list."""
        network, updates = Network(*(entry(number) for number in range(8))), []
        handle = network.proxy.engine.handle
        network.proxy.engine.handle = lambda now, events: (
            updates.extend(event for event in events if type(event) is EndpointUpdate)
            or handle(now, events)
        )
        stream = open_stream(network)
        for data in cut(lines):
            stream.dataReceived(data)
        proxy = network.proxy
        known = {name: state.listed for name, state in proxy.engine.context.endpoints.items()}
        self.assertEqual(known, proxy.listed_endpoints)
        result = known, proxy.addresses, proxy.endpoints.version, stream.transport.disconnected
        return len(updates), result

    # Guards against hundreds of updates in one turn of the event loop, which delays all requests:
    # only changes within one chunk were merged.
    def test_chunks_of_one_read_are_one_update(self):
        lines = [encode_delta(8 + number, entry(number % 8, "Gone")) for number in range(300)]
        updates, _ = self.receive(lines, lambda lines: [b"".join(map(encode_chunk, lines))])
        self.assertEqual(updates, 1)

    def test_cuts_do_not_change_the_result(self):
        generator = random.Random(7)
        for _ in range(40):
            lines = [
                encode_delta(
                    8 + number,
                    *(
                        entry(
                            generator.randrange(8),
                            generator.choice(("Ready", "Terminating", "Gone")),
                            started_ms=generator.choice((0, 9)),
                        )
                        for _ in range(generator.randint(0, 3))
                    ),
                )
                for number in range(generator.randint(1, 9))
            ]
            lines.insert(generator.randrange(len(lines) + 1), generator.choice((b"\n", b"noise\n")))
            size = generator.randint(1, 700)
            _, one_by_one = self.receive(lines, lambda lines: map(encode_chunk, lines))
            for cut in (
                lambda lines: [b"".join(map(encode_chunk, lines))],
                lambda lines: [encode_chunk(b"".join(lines))],
                lambda lines, size=size: slices(b"".join(map(encode_chunk, lines)), size),
                lambda lines, size=size: map(encode_chunk, slices(b"".join(lines), size)),
            ):
                self.assertEqual(self.receive(lines, cut)[1], one_by_one, lines)

    def test_changes_before_malformed_chunks_are_applied(self):
        def cut(lines):
            return [b"".join(map(encode_chunk, lines)) + b"nonsense\r\n"]

        _, (known, _, version, disconnected) = self.receive(
            [encode_delta(8, entry(0, "Gone")), encode_delta(9, entry(1, "Gone"))], cut
        )
        self.assertEqual((len(known), version, disconnected), (6, 9, True))


if __name__ == "__main__":
    unittest.main()

"""Updates of the endpoint list: what a change costs, and how the stream's framing matters."""

import json
import sys
import unittest

from tests.unit.proxy.test_proxy import Network, endpoint_entry

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
USUAL_FLEET, LARGE_FLEET = 100, 800


def entry(number, state="Ready", **fields):
    """Returns an entry of an endpoint list, one of three zones."""
    return endpoint_entry(f"s-{number}", state=state, zone="abc"[number % 3], **fields)


def encode_delta(version, *entries):
    return json.dumps({"version": version, "servers": entries}).encode() + b"\n"


def encode_chunk(content):
    return b"%x\r\n%b\r\n" % (len(content), content)


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


if __name__ == "__main__":
    unittest.main()

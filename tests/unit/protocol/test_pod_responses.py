"""Which bytes of an endpoint are a response: whole ones are served, and nothing else is."""

import unittest

from twisted.internet.error import ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from thymeknot.protocol.pod import PodConnection
from thymeknot.protocol.pod_response import PodResponse

VALUE = b"value of car-1 by pod p3"
REPORTS = None, b"n=1,b=0.5", b"q=3,busy=0.52,rate=41", b"n" * 120
MAX_LENGTH_ERROR = 80
CHUNK_STEP = 7
FORMS = (
    # Bytes, whether the value is served, and the load report.
    ("report", b"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\nq=1\r\n", True, b"q=1"),
    ("no report", b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", True, None),
    ("report left out", b"*2\r\n$1\r\nv\r\n$-1\r\n", True, None),
    ("empty value", b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", True, None),
    ("second copy behind", b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n" * 2, True, None),
    ("noise behind", b"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\nq=1\r\nnoise", True, b"q=1"),
    ("report is no string", b"*3\r\n$1\r\nv\r\n$-1\r\n:5\r\n", True, None),
    ("report of an invalid length", b"*3\r\n$1\r\nv\r\n$-1\r\n$x1\r\n", True, None),
    ("report longer than it says", b"*3\r\n$1\r\nv\r\n$-1\r\n$1\r\nq=1\r\n", True, None),
    ("noise as report", b"*3\r\n$1\r\nv\r\n$-1\r\n\xff\xfe\r\n", True, None),
    ("array as report", b"*3\r\n$1\r\nv\r\n$-1\r\n*3\r\n", True, None),
    ("no null", b"*3\r\n$1\r\nv\r\n$3\r\nq=1\r\n$-1\r\n", False, None),
    ("noise as null", b"*3\r\n$1\r\nv\r\nnoise\r\n", False, None),
    ("array as null", b"*3\r\n$1\r\nv\r\n*64\r\n", False, None),
    ("null as value", b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", False, None),
    ("value alone", b"*1\r\n$1\r\nv\r\n", False, None),
    ("four parts", b"*4\r\n$1\r\nv\r\n$-1\r\n$-1\r\n$-1\r\n", False, None),
    ("four parts, one unreadable", b"*4\r\n$1\r\nv\r\n$-1\r\n\xff\r\n", False, None),
    ("status", b"+OK\r\n", False, None),
    ("string without array", b"$1\r\nv\r\n", False, None),
    ("value, cut in the null", b"*3\r\n$1\r\nv\r\n$-", False, None),
    ("value and null, cut", b"*3\r\n$1\r\nv\r\n$-1\r\n", False, None),
    ("cut in the report", b"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\nq=", False, None),
    ("its null in the value, noise", b"*3\r\n$6\r\nv\r\n$-1\r\n$-1\r\nnoise", False, None),
    ("its null in the value, status", b"*3\r\n$6\r\nv\r\n$-1\r\n$-1\r\n+OK\r\n", False, None),
)

FAILURE_FORMS = (
    # Bytes, and the text of the error that they are; None if they are none.
    (b"-BUSY\r\n", "BUSY"),
    (b"-BUSY\r\n" * 2, "BUSY"),
    (b"-BUSY\r\nnoise", "BUSY"),
    (b"-ERR failed\r\n-BUSY\r\n", "ERR failed"),
    (b"-BUSYnoise\r\n", "BUSYnoise"),
    (b"-BUS", None),
    (b"-BUSY\r", None),
    (b"*3\r\n-BUSY\r\n$-1\r\n$-1\r\n", None),
)


class IgnoringOwner:
    """Connection pools that ignore whatever a connection tells them."""

    def __getattr__(self, name):
        return lambda *_: None


class ConnectionOfOneAttempt(PodConnection):
    """A connection whose request was written, on a transport in memory."""

    def __init__(self):
        super().__init__(IgnoringOwner(), None)
        self.results = []
        transport = StringTransport()
        transport.setTcpNoDelay = lambda enabled: None
        transport.abortConnection = lambda: None
        self.makeConnection(transport)
        self.send_command([b"SVC.QUERY"]).addCallback(self.results.append)
        self.resumeProducing()
        self.resumeProducing()

    def is_clean(self):
        return True


def response_to(chunks, reset=False):
    """Returns the response that a connection reports for these chunks; None if it reports none.

    Args:
        chunks: What arrives.
        reset: Whether the connection is then reset.
    """
    connection = ConnectionOfOneAttempt()
    for chunk in chunks:
        connection.dataReceived(chunk)
    if reset:
        connection.connectionLost(Failure(ConnectionLost()))
    responses = [result for result in connection.results if isinstance(result, PodResponse)]
    return responses[0] if responses else None


def serialized(length, report):
    """Returns a response with VALUE whose declared length is `length`."""
    tail = b"$-1\r\n" if report is None else b"$%d\r\n%s\r\n" % (len(report), report)
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n%s" % (length, VALUE, tail)


def endings(content):
    """Yields the chunks of a response in several divisions, and whether a reset follows.

    Nothing, a reset, or a second copy follows.
    """
    for sent, reset in ((content, False), (content, True), (content * 2, False)):
        yield [sent], reset
        for at in range(1, len(sent), CHUNK_STEP):
            yield [sent[:at], sent[at:]], reset


class ResponseFormTest(unittest.TestCase):
    # Guards against values that no endpoint sent: a part of a response taken for its value.
    def test_each_form_is_served_or_not(self):
        for name, content, is_served, report in FORMS:
            for chunks in ([content], [content[at : at + 1] for at in range(len(content))]):
                with self.subTest(name, chunks=len(chunks)):
                    response = response_to(chunks, reset=True)
                    served = response and response.value is not None
                    self.assertEqual(bool(served), is_served)
                    if served:
                        expected = b"" if name == "empty value" else b"v"
                        self.assertEqual(
                            (bytes(response.value), response.report), (expected, report)
                        )

    # Guards against a rejection, by which the request counts as not run, that is only a part.
    def test_only_a_whole_line_is_an_error(self):
        for content, failure in FAILURE_FORMS:
            for chunks in ([content], [content[at : at + 1] for at in range(len(content))]):
                with self.subTest(content, chunks=len(chunks)):
                    response = response_to(chunks, reset=True)
                    self.assertEqual(response and response.failure, failure)

    def test_whole_response_is_served_however_it_arrives(self):
        for report in REPORTS:
            for chunks, reset in endings(serialized(len(VALUE), report)):
                response = response_to(chunks, reset)
                self.assertIsNotNone(response, chunks)
                self.assertEqual((bytes(response.value), response.report), (VALUE, report), chunks)

    # Guards against a value whose declared length is false: it ended with bytes of the protocol.
    def test_response_with_a_false_length_is_never_served(self):
        for report in REPORTS:
            for error in range(1 - len(VALUE), MAX_LENGTH_ERROR + 1):
                if not error:
                    continue
                for chunks, reset in endings(serialized(len(VALUE) + error, report)):
                    response = response_to(chunks, reset)
                    self.assertTrue(response is None or response.value is None, (error, chunks))


if __name__ == "__main__":
    unittest.main()

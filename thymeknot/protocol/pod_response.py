"""The responses of endpoints: which bytes are a response, and the value that they carry.

Source: the endpoint protocol. A response with a value is an array of the value, null, and the load
report or null. The report may be unreadable or left out, and anything may follow the response.
"""

from typing import Any, Final, NamedTuple

from . import resp

MAX_LOAD_REPORT_BYTES: Final = 4 * 1024
"""Maximum size of a load report: parsing a longer one would block the event loop for too long."""
RESPONSE_LENGTH: Final = 3
"""Elements of a response with a value: the value, null, and the load report or null."""
RESPONSE_LENGTHS: Final = (RESPONSE_LENGTH - 1, RESPONSE_LENGTH)
"""The lengths of an array with a value; the shorter one leaves the load report out."""
NULL_AFTER_VALUE: Final = b"\r\n$-1"
"""The end of a value and the null after it, up to the end of that line."""


class PodResponse(NamedTuple):
    """An endpoint's response: a value with an optional load report, or the text of an error."""

    value: memoryview | None
    report: bytes | None
    failure: str | None


def read_response(message: Any) -> PodResponse | None:
    """Returns the response in a complete RESP message, or None if it is not a valid response."""
    if isinstance(message, resp.Failure):
        return PodResponse(None, None, message.text)
    if not isinstance(message, list) or len(message) not in RESPONSE_LENGTHS:
        return None
    value = _value(message, len(message))
    if value is None:
        return None
    report = message[-1] if len(message) == RESPONSE_LENGTH else None
    if report is None or isinstance(report, memoryview):
        return PodResponse(value, _readable_report(report), None)
    return _without_report(value)


def read_response_before_error(elements: list[Any], length: int) -> PodResponse | None:
    """Returns the response in a malformed array whose value and null are complete, or None.

    Args:
        elements: The elements before the malformed one.
        length: The number of elements that the array declares.
    """
    if length != RESPONSE_LENGTH or len(elements) != RESPONSE_LENGTH - 1:
        return None
    value = _value(elements, length)
    return None if value is None else _without_report(value)


def _value(elements: list[Any], length: int) -> memoryview | None:
    """Returns the value of a response that begins with these elements, or None if it has none."""
    value, separator = elements[:2]
    if not isinstance(value, memoryview) or separator is not None:
        return None
    return None if _contains_own_header(value, length) else value


def _readable_report(report: memoryview | None) -> bytes | None:
    if report is None or len(report) > MAX_LOAD_REPORT_BYTES:
        return None
    return bytes(report)


def _without_report(value: memoryview) -> PodResponse | None:
    """Returns the response to which an unreadable load report belongs; None if that is unclear.

    If the declared length of a value is too large by the size of a null, the null after the value
    counts as its last bytes, and a null report as the null after it. What follows the response is
    then in the place of the report.
    """
    if bytes(value[-len(NULL_AFTER_VALUE) :]) == NULL_AFTER_VALUE:
        return None
    return PodResponse(value, None, None)


def _contains_own_header(value: memoryview, length: int) -> bool:
    """Returns whether a value contains the first bytes of the response that carries it.

    The declared length is then too large, and the value contains the first of two copies of the
    response.
    """
    return b"*%d\r\n$%d\r\n" % (length, len(value)) in bytes(value)


class ResponseParser(resp.Parser):
    """Parser of endpoints' responses: rejects nested arrays.

    Without this limit few bytes would make the parser visit many elements again for each chunk.
    """

    def _array(self, buffer: bytes, at: int, length: int, depth: int) -> tuple[Any, int]:
        if depth:
            raise resp.MalformedRespError("nested array in a response")
        return super()._array(buffer, at, length, depth)

    def response_before_error(self) -> PodResponse | None:
        """Returns the response whose load report is malformed, or None if it is not valid.

        Called after `feed` has raised an error; the buffer begins with the malformed message.
        """
        length, elements = self.elements_before_error()
        return read_response_before_error(elements, length)

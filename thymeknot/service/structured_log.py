"""Structured logging: one JSON line per event on standard output.

Events and their levels are declared in log_events. structlog processes the lines and orjson renders
them. Events below the level in THYMEKNOT_LOG (default: info) are not written.
"""

import logging
import os
import time
from collections.abc import Callable, Iterable, MutableMapping
from typing import Any, Final, cast

import orjson
import structlog

from .log_events import LEVELS

LEVEL_VARIABLE: Final = "THYMEKNOT_LOG"
LEVELS_BY_NAME: Final = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
STANDARD_OUTPUT: Final = 1

Fields = MutableMapping[str, Any]


class EventRateLimit:
    """Limits events to one per interval for each event and address."""

    INTERVAL_SECONDS = 1.0
    MAX_KINDS = 100
    """Beyond this many kinds all are forgotten, since addresses change with the configuration."""

    def __init__(self) -> None:
        self._last_written: dict[tuple[str, Any], float] = {}

    def permits(self, kind: tuple[str, Any], now: float) -> bool:
        """Returns whether to write this kind now; if so, records it as written."""
        if len(self._last_written) > self.MAX_KINDS:
            self._last_written.clear()
        if now - self._last_written.get(kind, -self.INTERVAL_SECONDS) < self.INTERVAL_SECONDS:
            return False
        self._last_written[kind] = now
        return True


def _rendered(logger: Any, level: Any, fields: Fields) -> bytes:
    """Renders a line: the time first; the level only if above info."""
    if level > logging.INFO:
        fields["level"] = logging.getLevelName(level).lower()
    return orjson.dumps(
        {"at": round(time.time(), 4), **fields}, default=str, option=orjson.OPT_APPEND_NEWLINE
    )


def _write_line(line: bytes) -> None:
    try:
        os.write(STANDARD_OUTPUT, line)
    except OSError:
        pass  # a failed log write must not stop the service


class _DirectLogger(structlog.BoundLoggerBase):
    """Runs the processors and writes, without a context.

    structlog's own filtering logger copies the context and looks its method up by name for each
    line, which costs three times as much.
    """

    _processors: Iterable[Callable[[Any, Any, Any], Any]]

    def log(self, level: int, fields: Any) -> None:
        """Writes the fields unless their level is below the configured one."""
        if level >= _min_level:
            for process in self._processors:
                fields = process(self._logger, level, fields)
            self._logger(fields)


_min_level = LEVELS_BY_NAME.get(os.environ.get(LEVEL_VARIABLE, "info").lower(), logging.INFO)
_log = (
    structlog.wrap_logger(_write_line, [_rendered], _DirectLogger, cache_logger_on_first_use=True)
    .bind()
    .log
)
_rate_limit = EventRateLimit()


def log(event: str, **fields: Any) -> None:
    """Logs an event declared in log_events; an undeclared one is logged at error level."""
    _log(LEVELS.get(event, logging.ERROR), {"event": event, **fields})


def log_rate_limited(event: str, **fields: Any) -> None:
    """Logs an event that may occur on every request, once a second per event and address."""
    if _rate_limit.permits((event, fields.get("address")), time.monotonic()):
        log(event, **fields)


def log_exception(where: str, error: BaseException) -> None:
    """Logs a caught exception with the line that raised it."""
    trace = error.__traceback__
    location = "unknown"
    while trace is not None:
        file = os.path.basename(trace.tb_frame.f_code.co_filename)
        location = f"{file}:{trace.tb_lineno}"
        trace = trace.tb_next
    log("fault", where=where, error=f"{type(error).__name__}: {error}", at_line=location)


def capture_twisted_errors() -> None:
    """Logs the errors that Twisted logs as events of this log."""
    from twisted.logger import ILogObserver, LogLevel, globalLogBeginner  # noqa: PLC0415 (imported where it is needed)

    def observe(event: Any) -> None:
        if event["log_level"] < LogLevel.error:
            return
        failure = event.get("log_failure")
        error = failure.value if failure else RuntimeError(str(event.get("log_format")))
        log_exception("network library", error)

    globalLogBeginner.beginLoggingTo(
        [cast(ILogObserver, observe)], redirectStandardIO=False, discardBuffer=True
    )

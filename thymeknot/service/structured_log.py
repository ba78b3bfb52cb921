"""Logs: one JSON line an event, on standard output. Events and their levels are declared in events.py; the lines are
structlog's, rendered by orjson. What is below the level in THYMEKNOT_LOG (info, if unset) is not written."""

import logging
import os
import time

import orjson
import structlog

from .log_events import LEVELS

MOST_KINDS = 100
VARIABLE = "THYMEKNOT_LOG"
LEAST = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
_last = {}


def seldom(event, **fields):
    """What may come with every transaction, or again and again, is written once a second at most."""
    now, what = time.monotonic(), (event, fields.get("address"))
    if len(_last) > MOST_KINDS:  # addresses come and go with the configuration
        _last.clear()
    if now - _last.get(what, -1.0) >= 1.0:
        _last[what] = now
        log(event, **fields)


def _rendered(logger, level, fields):
    """The line of fields that begin with the event: its time first, its level where that is above info."""
    if level > logging.INFO:
        fields["level"] = logging.getLevelName(level).lower()
    return orjson.dumps(
        {"at": round(time.time(), 4), **fields}, default=str, option=orjson.OPT_APPEND_NEWLINE
    )


def _written(line):
    try:
        os.write(1, line)
    except OSError:
        pass  # a log that can't be written must not stop the service


class _Bound(structlog.BoundLoggerBase):
    """structlog's own filtering logger copies the context and looks its method up by name for each line, three times
    the cost of the line; here there is no context, one chain and one way out."""

    def log(self, level, fields):
        if level >= _least:
            for process in self._processors:
                fields = process(self._logger, level, fields)
            self._logger(fields)


_least = LEAST.get(os.environ.get(VARIABLE, "info").lower(), logging.INFO)
_log = (
    structlog.wrap_logger(_written, [_rendered], _Bound, cache_logger_on_first_use=True).bind().log
)


def log(event, **fields):
    """An event that events.py declares; an undeclared one is an error in the program, and is written as such."""
    _log(LEVELS.get(event, logging.ERROR), {"event": event, **fields})


def take_over():
    """Has what the network library logs come out as events of the same kind."""
    from twisted.logger import LogLevel, globalLogBeginner

    def observe(event):
        if event["log_level"] >= LogLevel.error:
            failure = event.get("log_failure")
            fault(
                "network library",
                failure.value if failure else RuntimeError(str(event.get("log_format"))),
            )

    globalLogBeginner.beginLoggingTo([observe], redirectStandardIO=False, discardBuffer=True)


def fault(where, error):
    """An exception that was stopped: what it was and where it arose."""
    trace, place = error.__traceback__, "unknown"
    while trace is not None:
        place = f"{os.path.basename(trace.tb_frame.f_code.co_filename)}:{trace.tb_lineno}"
        trace = trace.tb_next
    log("fault", where=where, error=f"{type(error).__name__}: {error}", at_line=place)

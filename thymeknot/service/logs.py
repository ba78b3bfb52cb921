"""Logs: one JSON line an event, on standard output."""

import os
import time

import orjson

MOST_KINDS = 100
_last = {}


def seldom(event, **fields):
    """What may come with every transaction, or again and again, is written once a second at most."""
    now, what = time.monotonic(), (event, fields.get("address"))
    if len(_last) > MOST_KINDS:  # addresses come and go with the configuration
        _last.clear()
    if now - _last.get(what, -1.0) >= 1.0:
        _last[what] = now
        log(event, **fields)


def log(event, **fields):
    line = orjson.dumps({"at": round(time.time(), 4), "event": event, **fields}, default=str,
                        option=orjson.OPT_APPEND_NEWLINE)
    try:
        os.write(1, line)
    except OSError:
        pass  # a log that can't be written must not stop the service


def take_over():
    """Has what the network library logs come out as events of the same kind."""
    from twisted.logger import LogLevel, globalLogBeginner

    def observe(event):
        if event["log_level"] >= LogLevel.error:
            failure = event.get("log_failure")
            fault("network library", failure.value if failure else RuntimeError(str(event.get("log_format"))))
    globalLogBeginner.beginLoggingTo([observe], redirectStandardIO=False, discardBuffer=True)


def fault(where, error):
    """An exception that was stopped: what it was and where it arose."""
    trace, place = error.__traceback__, "unknown"
    while trace is not None:
        place = f"{os.path.basename(trace.tb_frame.f_code.co_filename)}:{trace.tb_lineno}"
        trace = trace.tb_next
    log("fault", where=where, error=f"{type(error).__name__}: {error}", at_line=place)

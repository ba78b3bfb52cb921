"""Judges a run of the tests by its -v output: which failures KNOWN-RED.txt names, and whether it names them rightly.

    known_red.py LOG STATUS [KNOWN-RED.txt]     the output, unittest's exit status, the list

A line of the list names a test by its id and says why: cause and issue. What is named has to fail, as long as it is
named. What no test stands for (a module that can't be loaded, a class that can't be set up) can't be named: it hides
how many tests there are behind it."""

import os
import re
import sys

MOST = 3
BLOCK = re.compile(r"^={70}\n(?:FAIL|ERROR|UNEXPECTED SUCCESS): (\S+) \(([\w.]+)\)", re.M)
BEGUN = re.compile(r"^(\S+) \(([\w.]+)\)", re.M)
RAN = re.compile(r"^Ran (\d+) tests? in ", re.M)
CLOSED = re.compile(r"^(OK|FAILED)(?: \((.*)\))?$", re.M)
COUNTED = "failures", "errors", "unexpected successes"


def is_test(name, place):
    """Whether a name and the place beside it are a test's, and not a class's or a module's."""
    return place.endswith(f".{name}") and not place.startswith("unittest.")


def named(text):
    """The ids that a list names, and what is wrong with it."""
    lines = [line.split(maxsplit=1) for line in text.splitlines() if line.strip()]
    faults = [f"{line[0]}: no cause is told" for line in lines if len(line) == 1]
    ids = [line[0] for line in lines]
    if len(ids) > MOST:
        faults.append(f"{len(ids)} tests are named, {MOST} at most")
    faults += [
        f"{one}: is named twice" for one in sorted({one for one in ids if ids.count(one) > 1})
    ]
    return ids, faults


def judge(log, status, known=""):
    """(faults, those passed over, passed, failed) of a run."""
    ids, faults = named(known)
    ran, closed = RAN.findall(log), CLOSED.findall(log)
    if not ran or not closed or ran[-1] == "0":
        return faults + ["no test ran"], [], 0, 0
    counts = dict(pair.split("=") for pair in closed[-1][1].split(", ") if pair)
    blocks = BLOCK.findall(log)
    red = sorted({place for name, place in blocks if is_test(name, place)})
    other = sorted({f"{name} ({place})" for name, place in blocks if not is_test(name, place)})
    if len(blocks) != sum(int(counts.get(name, 0)) for name in COUNTED):
        faults.append(
            "the output can't be read: it closes with other counts than it tells failures"
        )
    if (status != 0) != bool(blocks):
        faults.append(f"the run ended with status {status} and told {len(blocks)} failures")
    begun = {place for name, place in BEGUN.findall(log) if is_test(name, place)}
    for one in dict.fromkeys(ids):
        if one not in begun:
            faults.append(f"{one}: is named in the list and did not run")
        elif one not in red:
            faults.append(f"{one}: is named in the list and does not fail")
    faults += [f"{one}: failed" for one in red if one not in ids] + [
        f"{one}: failed" for one in other
    ]
    skipped = int(counts.get("skipped", 0))
    # One that stands for no test is not among those that ran, except a module that can't be loaded.
    among = len(red) + sum("_FailedTest" in one for one in other)
    return (
        faults,
        [one for one in red if one in ids],
        max(0, int(ran[-1]) - among - skipped),
        len(red) + len(other),
    )


def main(words):
    log, status = words[0], int(words[1])
    place = words[2] if len(words) > 2 else "KNOWN-RED.txt"
    known = ""
    if os.path.exists(place):
        with open(place, encoding="utf-8") as source:
            known = source.read()
    with open(log, encoding="utf-8", errors="replace") as source:
        faults, over, passed, failed = judge(source.read(), status, known)
    for line in known.splitlines():
        if line.split() and line.split()[0] in over:
            print(f"known red, passed over: {line}")
    for fault in faults:
        print(f"red: {fault}")
    print(f"{passed} passed, {failed} failed")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Judges a run of the tests by its -v output: which failures KNOWN-RED.txt names, and whether it names them rightly.

    known_red.py LOG STATUS [KNOWN-RED.txt [ROADMAP.md]]     the output, unittest's exit status, the list, open issues

An entry of the list is a line of parts with ` | ` between them: a test by its id, then `command`, `seed`, `seen` and
`issue`, each as `name: text`. The issue is a numbered entry under Open of the road map: `docs/ROADMAP.md 7`. An entry
without one of these is refused. What is named has to fail, as long as it is named; one that fails only now and then
says so in a part `fails: at times`. What no test stands for (a module that can't be loaded, a class that can't be set
up) can't be named: it hides how many tests there are behind it."""

import os
import re
import sys
from typing import NamedTuple

REQUIRED_FIELDS = "command", "seed", "seen", "issue"
FAILS_AT_TIMES = "at times"
ISSUE_PATTERN = re.compile(r"docs/ROADMAP\.md (\d+)")
OPEN_SECTION_PATTERN = re.compile(r"^## Open$(.*?)(?=^## |\Z)", re.M | re.S)
NUMBERED_ENTRY_PATTERN = re.compile(r"^(\d+)\. ", re.M)
FAILURE_PATTERN = re.compile(r"^={70}\n(?:FAIL|ERROR|UNEXPECTED SUCCESS): (\S+) \(([\w.]+)\)", re.M)
TEST_PATTERN = re.compile(r"^(\S+) \(([\w.]+)\)", re.M)
TEST_COUNT_PATTERN = re.compile(r"^Ran (\d+) tests? in ", re.M)
SUMMARY_PATTERN = re.compile(r"^(OK|FAILED)(?: \((.*)\))?$", re.M)
FAILURE_KINDS = "failures", "errors", "unexpected successes"


def is_test_id(method_name, qualified_name):
    """Whether a name and the place beside it are a test's, and not a class's or a module's."""
    return qualified_name.endswith(f".{method_name}") and not qualified_name.startswith("unittest.")


class KnownFailure(NamedTuple):
    """A test that is known to fail."""

    test_id: str
    fields: dict

    @classmethod
    def parse(cls, line):
        test, *parts = (part.strip() for part in line.split(" | "))
        pairs = (part.partition(":") for part in parts)
        return cls(test, {field.strip(): value.strip() for field, _, value in pairs})

    def problems(self, open_issue_numbers):
        """What is wrong with it, where these numbers are open."""
        problems = [
            f"{self.test_id}: {field} is not told"
            for field in REQUIRED_FIELDS
            if not self.fields.get(field)
        ]
        issue = self.fields.get("issue")
        issue_match = ISSUE_PATTERN.fullmatch(issue or "")
        if issue and (issue_match is None or issue_match[1] not in open_issue_numbers):
            problems.append(
                f"{self.test_id}: {issue} is no numbered entry under Open of the road map"
            )
        if self.fields.get("fails", FAILS_AT_TIMES) != FAILS_AT_TIMES:
            problems.append(f"{self.test_id}: fails is '{FAILS_AT_TIMES}' or is left out")
        return problems


def open_issues(roadmap):
    """The numbers of the entries under Open."""
    section = OPEN_SECTION_PATTERN.search(roadmap)
    return set(NUMBERED_ENTRY_PATTERN.findall(section[1])) if section else set()


def parse_list(content, roadmap):
    """The entries of a list, and what is wrong with it."""
    entries = [KnownFailure.parse(line) for line in content.splitlines() if line.strip()]
    open_issue_numbers = open_issues(roadmap)
    problems = [problem for entry in entries for problem in entry.problems(open_issue_numbers)]
    test_ids = [entry.test_id for entry in entries]
    problems += [
        f"{test_id}: is named twice"
        for test_id in sorted({test_id for test_id in test_ids if test_ids.count(test_id) > 1})
    ]
    return entries, problems


def check_run(log, status, list_content="", roadmap_content=""):
    """(faults, those passed over, passed, failed) of a run."""
    entries, problems = parse_list(list_content, roadmap_content)
    test_ids = [entry.test_id for entry in entries]
    flaky_ids = {entry.test_id for entry in entries if "fails" in entry.fields}
    test_counts, summaries = TEST_COUNT_PATTERN.findall(log), SUMMARY_PATTERN.findall(log)
    if not test_counts or not summaries or test_counts[-1] == "0":
        return problems + ["no test ran"], [], 0, 0
    counts = dict(pair.split("=") for pair in summaries[-1][1].split(", ") if pair)
    failures = FAILURE_PATTERN.findall(log)
    failed_tests = sorted(
        {qualified_name for name, qualified_name in failures if is_test_id(name, qualified_name)}
    )
    other_failures = sorted(
        {
            f"{name} ({qualified_name})"
            for name, qualified_name in failures
            if not is_test_id(name, qualified_name)
        }
    )
    if len(failures) != sum(int(counts.get(name, 0)) for name in FAILURE_KINDS):
        problems.append(
            "the output can't be read: it closes with other counts than it tells failures"
        )
    if (status != 0) != bool(failures):
        problems.append(f"the run ended with status {status} and told {len(failures)} failures")
    started_tests = {
        qualified_name
        for name, qualified_name in TEST_PATTERN.findall(log)
        if is_test_id(name, qualified_name)
    }
    for test_id in dict.fromkeys(test_ids):
        if test_id not in started_tests:
            problems.append(f"{test_id}: is named in the list and did not run")
        elif test_id not in failed_tests and test_id not in flaky_ids:
            problems.append(f"{test_id}: is named in the list and does not fail")
    problems += [f"{test_id}: failed" for test_id in failed_tests if test_id not in test_ids] + [
        f"{test_id}: failed" for test_id in other_failures
    ]
    skipped = int(counts.get("skipped", 0))
    # One that stands for no test is not among those that ran, except a module that can't be loaded.
    failed_of_run = len(failed_tests) + sum("_FailedTest" in test_id for test_id in other_failures)
    return (
        problems,
        [test_id for test_id in failed_tests if test_id in test_ids],
        max(0, int(test_counts[-1]) - failed_of_run - skipped),
        len(failed_tests) + len(other_failures),
    )


def _read_if_present(path):
    if not os.path.exists(path):
        return ""
    with open(path, encoding="utf-8") as source:
        return source.read()


def main(arguments):
    log_path, status = arguments[0], int(arguments[1])
    list_content = _read_if_present(arguments[2] if len(arguments) > 2 else "KNOWN-RED.txt")
    roadmap_content = _read_if_present(arguments[3] if len(arguments) > 3 else "docs/ROADMAP.md")
    with open(log_path, encoding="utf-8", errors="replace") as source:
        problems, ignored, passed, failed = check_run(
            source.read(), status, list_content, roadmap_content
        )
    for line in list_content.splitlines():
        if line.split() and line.split()[0] in ignored:
            print(f"known red, passed over: {line}")
    for problem in problems:
        print(f"red: {problem}")
    print(f"{passed} passed, {failed} failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

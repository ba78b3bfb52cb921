"""Checks the output of a test run against the list of known failures in KNOWN-RED.txt.

    known_red.py LOG STATUS [KNOWN-RED.txt [ROADMAP.md]]

LOG is the output of `unittest -v` and STATUS its exit status. Failures that the list names are
ignored; any other failure, and any error in the list, fails the run.

An entry of the list is one line with ` | ` between its parts: the id of a test, then the fields
`command`, `seed`, `seen` and `issue`, each as `name: text`. The issue is a numbered entry under
Open in the roadmap, such as `docs/ROADMAP.md 7`. All of these are required.

A listed test must fail for as long as it is listed. One that fails only sometimes has the field
`fails: at times`; it may pass but must run. Only tests can be listed: a module that cannot be
loaded or a class that cannot be set up would hide an unknown number of tests.

A play that CI does not run, such as a soak of another seed or a case in `review/`, has the field
`run: by hand` and any name in place of the id. It is printed, and hides no failure: an entry that
names a test of the run fails it.
"""

import os
import re
import sys
from typing import NamedTuple

REQUIRED_FIELDS = "command", "seed", "seen", "issue"
FAILS_AT_TIMES = "at times"
RUN_BY_HAND = "by hand"
ISSUE_PATTERN = re.compile(r"docs/ROADMAP\.md (\d+)")
OPEN_SECTION_PATTERN = re.compile(r"^## Open$(.*?)(?=^## |\Z)", re.M | re.S)
NUMBERED_ENTRY_PATTERN = re.compile(r"^(\d+)\. ", re.M)
FAILURE_PATTERN = re.compile(r"^={70}\n(?:FAIL|ERROR|UNEXPECTED SUCCESS): (\S+) \(([\w.]+)\)", re.M)
TEST_PATTERN = re.compile(r"^(\S+) \(([\w.]+)\)", re.M)
TEST_COUNT_PATTERN = re.compile(r"^Ran (\d+) tests? in ", re.M)
SUMMARY_PATTERN = re.compile(r"^(OK|FAILED)(?: \((.*)\))?$", re.M)
# The counts in the last line of the output that are reported as failures.
FAILURE_KINDS = "failures", "errors", "unexpected successes"


def is_test_id(method_name, qualified_name):
    """Returns whether these are the names of a test, rather than of a class or a module.

    Args:
        method_name: The first word of a line of the output.
        qualified_name: The name in parentheses after it.
    """
    return qualified_name.endswith(f".{method_name}") and not qualified_name.startswith("unittest.")


class KnownFailure(NamedTuple):
    """An entry of the list: a test that is known to fail."""

    test_id: str
    fields: dict
    """Texts by field name."""

    @classmethod
    def parse(cls, line):
        """Returns the entry on a line of the list."""
        test, *parts = (part.strip() for part in line.split(" | "))
        pairs = (part.partition(":") for part in parts)
        return cls(test, {field.strip(): value.strip() for field, _, value in pairs})

    def problems(self, open_issue_numbers):
        """Returns error messages about this entry; empty if it is valid.

        Args:
            open_issue_numbers: The numbers of the open issues, as texts.
        """
        problems = [
            f"{self.test_id}: {field} is missing"
            for field in REQUIRED_FIELDS
            if not self.fields.get(field)
        ]
        issue = self.fields.get("issue")
        issue_match = ISSUE_PATTERN.fullmatch(issue or "")
        if issue and (issue_match is None or issue_match[1] not in open_issue_numbers):
            problems.append(
                f"{self.test_id}: {issue} is not a numbered entry under Open in the roadmap"
            )
        if self.fields.get("fails", FAILS_AT_TIMES) != FAILS_AT_TIMES:
            problems.append(f"{self.test_id}: fails must be '{FAILS_AT_TIMES}' or absent")
        if self.fields.get("run", RUN_BY_HAND) != RUN_BY_HAND:
            problems.append(f"{self.test_id}: run must be '{RUN_BY_HAND}' or absent")
        return problems

    def is_run_by_hand(self):
        """Returns whether CI does not run it."""
        return self.fields.get("run") == RUN_BY_HAND


def open_issues(roadmap):
    """Returns the numbers of the entries under Open in the roadmap, as texts."""
    section = OPEN_SECTION_PATTERN.search(roadmap)
    return set(NUMBERED_ENTRY_PATTERN.findall(section[1])) if section else set()


def parse_list(content, roadmap):
    """Returns the entries of a list and error messages about it."""
    entries = [KnownFailure.parse(line) for line in content.splitlines() if line.strip()]
    open_issue_numbers = open_issues(roadmap)
    problems = [problem for entry in entries for problem in entry.problems(open_issue_numbers)]
    test_ids = [entry.test_id for entry in entries]
    problems += [
        f"{test_id}: is listed twice"
        for test_id in sorted({test_id for test_id in test_ids if test_ids.count(test_id) > 1})
    ]
    return entries, problems


def check_run(log, status, list_content="", roadmap_content=""):
    """Checks the output of a run against the list.

    Args:
        log: The output of `unittest -v`.
        status: Its exit status.
        list_content: The list of known failures.
        roadmap_content: The roadmap, which has the open issues.

    Returns:
        Error messages, the ids of the ignored tests, and the numbers of passed and failed tests.
        The run is good if there are no error messages.
    """
    all_entries, problems = parse_list(list_content, roadmap_content)
    entries = [entry for entry in all_entries if not entry.is_run_by_hand()]
    ids_by_hand = [entry.test_id for entry in all_entries if entry.is_run_by_hand()]
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
            "the output is inconsistent: its final counts differ from the failures it reports"
        )
    if (status != 0) != bool(failures):
        problems.append(f"the run ended with status {status} and reported {len(failures)} failures")
    started_tests = {
        qualified_name
        for name, qualified_name in TEST_PATTERN.findall(log)
        if is_test_id(name, qualified_name)
    }
    problems += [
        f"{test_id}: is listed as run by hand, but is a test of this run"
        for test_id in ids_by_hand
        if test_id in started_tests or test_id in failed_tests
    ]
    for test_id in dict.fromkeys(test_ids):
        if test_id not in started_tests:
            problems.append(f"{test_id}: is listed but did not run")
        elif test_id not in failed_tests and test_id not in flaky_ids:
            problems.append(f"{test_id}: is listed but did not fail")
    problems += [f"{test_id}: failed" for test_id in failed_tests if test_id not in test_ids] + [
        f"{test_id}: failed" for test_id in other_failures
    ]
    skipped = int(counts.get("skipped", 0))
    # unittest counts a module that cannot be loaded as a test that ran, but not a class that cannot
    # be set up.
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
    """Prints the ignored failures, the error messages and the counts; returns the exit status."""
    log_path, status = arguments[0], int(arguments[1])
    list_content = _read_if_present(arguments[2] if len(arguments) > 2 else "KNOWN-RED.txt")
    roadmap_content = _read_if_present(arguments[3] if len(arguments) > 3 else "docs/ROADMAP.md")
    with open(log_path, encoding="utf-8", errors="replace") as source:
        problems, ignored, passed, failed = check_run(
            source.read(), status, list_content, roadmap_content
        )
    for line in list_content.splitlines():
        if line.split() and line.split()[0] in ignored:
            print(f"known red, ignored: {line}")
        elif line.strip() and KnownFailure.parse(line).is_run_by_hand():
            print(f"known red, run by hand: {line}")
    for problem in problems:
        print(f"red: {problem}")
    print(f"{passed} passed, {failed} failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

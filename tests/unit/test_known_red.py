"""Tests of .ci/known_red.py, which checks test runs against the list of known failures."""

import contextlib
import importlib.util
import io
import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), *[os.pardir] * 2))
CI_DIRECTORY = os.path.join(ROOT, ".ci")
KNOWN_RED_SPEC = importlib.util.spec_from_file_location(
    "known_red", os.path.join(CI_DIRECTORY, "known_red.py")
)
known_red = importlib.util.module_from_spec(KNOWN_RED_SPEC)
KNOWN_RED_SPEC.loader.exec_module(known_red)

SUITE = """
import unittest

class Case(unittest.TestCase):
    def test_good(self):
        pass

    def test_prints(self):
        "A description, which -v prints on a line of its own."
        print("test_other (tests.test_a.Case.test_other) ... ok")

    def test_bad(self):
        self.fail("bad")

    def test_parts(self):
        for part in range(3):
            with self.subTest(part=part):
                self.assertEqual(part, 1)

    def test_raises(self):
        "A description, which -v prints on a line of its own."
        raise ValueError("odd")

    @unittest.expectedFailure
    def test_surprise(self):
        pass

    @unittest.skip("elsewhere")
    def test_skipped(self):
        self.fail("unseen")
"""
FAILING_TESTS = [
    f"tests.test_a.Case.{name}"
    for name in ("test_bad", "test_parts", "test_raises", "test_surprise")
]
ENTRY_FIELDS = " | command: make test | seed: none | seen: it fails | issue: docs/ROADMAP.md 7"
ROADMAP = "# Roadmap\n\n5. Done\n\n## Open\n\n7. A fault.\n8. Another.\n\n## Next\n\n9. Later.\n"
SETUP_FAILURE = """
import unittest

class Up(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        raise ValueError("odd")

    def test_unseen(self):
        pass
"""


def run_suite(**modules):
    """Runs these modules as a test suite; returns the output and the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        os.mkdir(os.path.join(directory, "tests"))
        for name, content in {"__init__": "", **modules}.items():
            with open(
                os.path.join(directory, "tests", f"{name}.py"), "w", encoding="utf-8"
            ) as target:
                target.write(content)
        completed = subprocess.run(
            [sys.executable, "-m", "unittest", "discover", "-s", "tests", "-t", ".", "-v"],
            cwd=directory,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=60,
        )
        return completed.stdout, completed.returncode


def suite_with_passing(*passing):
    """Returns the source of the suite, changed so that these tests pass."""
    suite = (
        SUITE.replace("    @unittest.expectedFailure\n", "")
        if "test_surprise" in passing
        else SUITE
    )
    for name in passing:
        suite = suite.replace(f"def {name}(self):", f"def {name}(self):\n        return")
    return suite


class KnownFailures(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.all_failing, cls.three_failing = (
            run_suite(test_a=SUITE),
            run_suite(test_a=suite_with_passing("test_surprise")),
        )
        cls.all_passing = run_suite(
            test_a=suite_with_passing("test_bad", "test_parts", "test_raises", "test_surprise")
        )

    def check(self, result, *listed):
        return known_red.check_run(
            *result, "".join(f"{test_id}{ENTRY_FIELDS}\n" for test_id in listed), ROADMAP
        )

    def test_run_without_failures_passes(self):
        self.assertEqual(self.check(self.all_passing), ([], [], 6, 0))

    def test_unlisted_failures_of_every_kind_fail_the_run(self):
        problems, ignored, passed, failed = self.check(self.all_failing)
        self.assertEqual(problems, [f"{test_id}: failed" for test_id in FAILING_TESTS])
        self.assertEqual((ignored, passed, failed), ([], 2, 4))

    def test_listed_failures_are_ignored_but_counted(self):
        self.assertEqual(
            self.check(self.three_failing, *FAILING_TESTS[:3]), ([], FAILING_TESTS[:3], 3, 3)
        )

    def test_unlisted_failure_beside_listed_ones_fails_the_run(self):
        self.assertEqual(
            self.check(self.three_failing, *FAILING_TESTS[:2])[0], [f"{FAILING_TESTS[2]}: failed"]
        )

    def test_listed_test_that_passes_fails_the_run(self):
        self.assertEqual(
            self.check(self.all_passing, FAILING_TESTS[0])[0],
            [f"{FAILING_TESTS[0]}: is listed but did not fail"],
        )

    def test_listed_test_that_is_skipped_fails_the_run(self):
        test_id = "tests.test_a.Case.test_skipped"
        self.assertEqual(
            self.check(self.all_passing, test_id)[0],
            [f"{test_id}: is listed but did not fail"],
        )

    def test_listed_test_that_does_not_exist_fails_the_run(self):
        test_id = "tests.test_a.Case.test_gone"
        self.assertEqual(
            self.check(self.all_passing, test_id)[0],
            [f"{test_id}: is listed but did not run"],
        )

    def test_all_failures_may_be_listed(self):
        self.assertEqual(self.check(self.all_failing, *FAILING_TESTS), ([], FAILING_TESTS, 2, 4))

    def test_missing_fields_and_duplicate_entries_fail_the_run(self):
        entry = f"{FAILING_TESTS[0]}{ENTRY_FIELDS}"
        for field in known_red.REQUIRED_FIELDS:
            parts = [part for part in entry.split(" | ") if not part.startswith(field)]
            for line in (" | ".join(parts), " | ".join([*parts, f"{field}:"])):
                problems = known_red.check_run(*self.three_failing, line, ROADMAP)[0]
                self.assertIn(f"{FAILING_TESTS[0]}: {field} is missing", problems)
        problems = self.check(self.three_failing, FAILING_TESTS[0], *FAILING_TESTS[:3])[0]
        self.assertEqual(problems, [f"{FAILING_TESTS[0]}: is listed twice"])

    def test_issue_must_be_a_numbered_entry_under_open(self):
        for issue in ("docs/ROADMAP.md 5", "docs/ROADMAP.md 9", "docs/ROADMAP.md", "7", "page 7"):
            line = f"{FAILING_TESTS[0]}{ENTRY_FIELDS}".replace("docs/ROADMAP.md 7", issue)
            self.assertIn(
                f"{FAILING_TESTS[0]}: {issue} is not a numbered entry under Open in the roadmap",
                known_red.check_run(*self.three_failing, line, ROADMAP)[0],
            )
        self.assertEqual(known_red.open_issues(ROADMAP), {"7", "8"})
        self.assertEqual(known_red.open_issues(""), set())

    def test_test_that_fails_at_times_may_pass_or_fail_but_must_run(self):
        line = f"{FAILING_TESTS[0]}{ENTRY_FIELDS} | fails: at times"
        self.assertEqual(known_red.check_run(*self.all_passing, line, ROADMAP)[0], [])
        others = "".join(f"{test_id}{ENTRY_FIELDS}\n" for test_id in FAILING_TESTS[1:3])
        problems, ignored, _, _ = known_red.check_run(*self.three_failing, others + line, ROADMAP)
        self.assertEqual((problems, ignored), ([], FAILING_TESTS[:3]))
        missing = line.replace("test_bad", "test_gone")
        self.assertIn("did not run", known_red.check_run(*self.all_passing, missing, ROADMAP)[0][0])
        wrong = line.replace("at times", "never")
        self.assertIn(
            "must be 'at times' or absent",
            known_red.check_run(*self.all_passing, wrong, ROADMAP)[0][0],
        )

    def test_play_that_is_run_by_hand_is_printed_and_hides_no_failure(self):
        by_hand = f"review/7/run.sh{ENTRY_FIELDS} | run: by hand"
        self.assertEqual(known_red.check_run(*self.all_passing, by_hand, ROADMAP)[0], [])
        problems, ignored, _, _ = known_red.check_run(*self.all_failing, by_hand, ROADMAP)
        self.assertEqual(problems, [f"{test_id}: failed" for test_id in FAILING_TESTS])
        self.assertEqual(ignored, [])
        # A test that CI runs can't be listed so, whether it fails or passes.
        for result in (self.all_failing, self.all_passing):
            line = f"{FAILING_TESTS[0]}{ENTRY_FIELDS} | run: by hand"
            problems, ignored, _, _ = known_red.check_run(*result, line, ROADMAP)
            self.assertIn(
                f"{FAILING_TESTS[0]}: is listed as run by hand, but is a test of this run", problems
            )
            self.assertEqual(ignored, [])
            self.assertEqual(f"{FAILING_TESTS[0]}: failed" in problems, result is self.all_failing)

    def test_entry_that_is_run_by_hand_has_the_same_fields(self):
        entry = f"review/7/run.sh{ENTRY_FIELDS} | run: by hand"
        for field in known_red.REQUIRED_FIELDS:
            parts = [part for part in entry.split(" | ") if not part.startswith(field)]
            problems = known_red.check_run(*self.all_passing, " | ".join(parts), ROADMAP)[0]
            self.assertEqual(problems, [f"review/7/run.sh: {field} is missing"])
        for wrong, problem in (
            (entry.replace("by hand", "at night"), "run must be 'by hand' or absent"),
            (entry.replace("ROADMAP.md 7", "ROADMAP.md 5"), "is not a numbered entry under Open"),
            (f"{entry}\n{entry}", "is listed twice"),
        ):
            problems = known_red.check_run(*self.all_passing, wrong, ROADMAP)[0]
            self.assertIn(problem, problems[0])

    def test_module_that_cannot_be_loaded_cannot_be_listed(self):
        result = run_suite(test_a=SUITE, test_b="import no_such_module_at_all\n")
        for test_id in ("tests.test_b", "unittest.loader._FailedTest.tests.test_b"):
            problems, _, passed, failed = self.check(result, *FAILING_TESTS[:1], test_id)
            self.assertIn(
                "tests.test_b (unittest.loader._FailedTest.tests.test_b): failed", problems
            )
            self.assertIn(f"{test_id}: is listed but did not run", problems)
            self.assertEqual((passed, failed), (2, 5))

    def test_class_that_cannot_be_set_up_cannot_be_listed(self):
        problems, _, passed, failed = self.check(
            run_suite(
                test_a=suite_with_passing(*(test_id.split(".")[-1] for test_id in FAILING_TESTS)),
                test_b=SETUP_FAILURE,
            ),
            "tests.test_b.Up.test_unseen",
        )
        self.assertIn("setUpClass (tests.test_b.Up): failed", problems)
        self.assertIn("tests.test_b.Up.test_unseen: is listed but did not run", problems)
        self.assertEqual((passed, failed), (6, 1))

    def test_run_without_a_summary_fails(self):
        log, _ = self.all_passing
        for cut in ("", log.split("Ran ")[0], run_suite(test_a="")[0]):
            self.assertEqual(known_red.check_run(cut, 0)[0], ["no test ran"])

    def test_status_and_counts_must_match_the_failures(self):
        self.assertEqual(len(known_red.check_run(self.all_passing[0], 139)[0]), 1)
        self.assertEqual(
            len(
                known_red.check_run(self.all_passing[0].replace("OK (", "FAILED (failures=1, "), 0)[
                    0
                ]
            ),
            1,
        )

    def test_ignored_failures_and_final_counts_are_printed(self):
        with tempfile.TemporaryDirectory() as directory:
            log_path, list_path, roadmap_path = (
                os.path.join(directory, name) for name in ("log", "KNOWN-RED.txt", "ROADMAP.md")
            )
            with open(roadmap_path, "w", encoding="utf-8") as target:
                target.write(ROADMAP)
            with open(log_path, "w", encoding="utf-8") as target:
                target.write(self.three_failing[0])
            by_hand = f"review/7/run.sh{ENTRY_FIELDS} | run: by hand"
            for listed, status in ((FAILING_TESTS[:3], 0), (FAILING_TESTS[:2], 1)):
                with open(list_path, "w", encoding="utf-8") as target:
                    target.write("".join(f"{test_id}{ENTRY_FIELDS}\n" for test_id in listed))
                    target.write(by_hand + "\n")
                output = io.StringIO()
                with contextlib.redirect_stdout(output):
                    self.assertEqual(
                        known_red.main(
                            [log_path, str(self.three_failing[1]), list_path, roadmap_path]
                        ),
                        status,
                    )
                for test_id in listed:
                    self.assertIn(
                        f"known red, ignored: {test_id}{ENTRY_FIELDS}\n", output.getvalue()
                    )
                self.assertIn(f"known red, run by hand: {by_hand}\n", output.getvalue())
                self.assertTrue(output.getvalue().endswith("3 passed, 3 failed\n"))


if __name__ == "__main__":
    unittest.main()

"""Runs the stories of tests/stories with pytest, which their pytest-bdd steps require."""

import re
import subprocess
import sys
import unittest
from pathlib import Path

STORIES = Path(__file__).parent


class StoriesTest(unittest.TestCase):
    def test_all_scenarios_pass(self):
        scenario_count = sum(
            len(re.findall(r"^\s*Scenario:", feature.read_text(), re.M))
            for feature in STORIES.glob("*.feature")
        )
        result = subprocess.run(
            [
                sys.executable,
                "-m",
                "pytest",
                "-q",
                "-x",
                "-p",
                "no:cacheprovider",
                "--no-header",
                str(STORIES / "steps.py"),
            ],
            capture_output=True,
            text=True,
            cwd=STORIES.parent.parent,
        )
        passed = re.search(r"(\d+) passed", result.stdout)
        self.assertEqual(result.returncode, 0, result.stdout[-6000:] + result.stderr[-2000:])
        self.assertEqual(
            int(passed[1]) if passed else 0, scenario_count, "some scenarios did not run"
        )


if __name__ == "__main__":
    unittest.main()

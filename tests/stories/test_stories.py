"""Runs the stories of tests/stories by pytest: they need its given, when and then."""

import re
import subprocess
import sys
import unittest
from pathlib import Path

STORIES = Path(__file__).parent


class Stories(unittest.TestCase):
    def test_every_story_comes_true(self):
        told = sum(
            len(re.findall(r"^\s*Scenario:", one.read_text(), re.M))
            for one in STORIES.glob("*.feature")
        )
        ran = subprocess.run(
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
        passed = re.search(r"(\d+) passed", ran.stdout)
        self.assertEqual(ran.returncode, 0, ran.stdout[-6000:] + ran.stderr[-2000:])
        self.assertEqual(int(passed[1]) if passed else 0, told, "a story did not run")


if __name__ == "__main__":
    unittest.main()

"""A command whose libraries are missing exits with 2 and one line that names what to install."""

import os
import subprocess
import sys
import unittest

from thymeknot.service.required_libraries import MissingLibraryError, libraries_from

# Runs `python -m thymeknot` while the libraries in the first argument can't be imported.
RUN_WITHOUT_LIBRARIES = """
import runpy, sys
for name in sys.argv[1].split(","):
    sys.modules[name] = None
sys.argv = ["thymeknot", *sys.argv[2:]]
runpy.run_module("thymeknot", run_name="__main__", alter_sys=True)
"""


def run_command(missing_libraries, *arguments, **variables):
    return subprocess.run(
        [sys.executable, "-c", RUN_WITHOUT_LIBRARIES, missing_libraries, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, **variables},
    )


class MissingLibraries(unittest.TestCase):
    def assert_library_missing(self, library, requirements, *arguments, **variables):
        completed = run_command(library, *arguments, **variables)
        self.assertEqual(
            (2, "", f"thymeknot: {library} is not installed: pip install -r {requirements}\n"),
            (completed.returncode, completed.stdout, completed.stderr),
        )
        with open(requirements) as lines:
            names = {line.partition("==")[0] for line in lines}
        self.assertIn({"hdrh": "hdrhistogram"}.get(library, library), names)

    def test_every_command_without_click(self):
        for arguments in (["--help"], ["check"], ["load"], ["why", "tally"]):
            with self.subTest(arguments):
                self.assert_library_missing("click", "requirements-why.txt", *arguments)

    def test_commands_that_require_extra_libraries(self):
        for library, requirements, *arguments in (
            ("lark", "requirements-fleet.txt", "--operator", "x", "fleet", "status"),
            ("numpy", "requirements-laboratory.txt", "lab", "run"),
            ("numpy", "requirements-laboratory.txt", "lab", "compare", "now", "now"),
            ("numpy", "requirements-laboratory.txt", "lab", "fleet", "now", "now"),
            ("numpy", "requirements-laboratory.txt", "lab", "search"),
            ("matplotlib", "requirements-laboratory.txt", "lab", "report", "x"),
            ("hdrh", "requirements-load.txt", "load"),
            ("cryptography", "requirements-gossip.txt", "keys", "new", "n1", "x"),
            ("msgspec", "requirements-why.txt", "why", "--file", __file__, "x"),
        ):
            with self.subTest(arguments):
                self.assert_library_missing(library, requirements, *arguments)

    def test_the_keys_module_without_its_libraries(self):
        """The documented command `python -m thymeknot.gossip.keys` ended in a traceback."""
        code = RUN_WITHOUT_LIBRARIES.replace(
            'run_module("thymeknot"', 'run_module("thymeknot.gossip.keys"'
        )
        for library in ("cryptography", "netaddr"):
            with self.subTest(library):
                completed = subprocess.run(
                    [sys.executable, "-c", code, library, "new", "n1", "x"],
                    capture_output=True,
                    text=True,
                    timeout=30,
                )
                expected = (
                    f"keys: {library} is not installed: pip install -r requirements-gossip.txt\n"
                )
                self.assertEqual(
                    (2, "", expected), (completed.returncode, completed.stdout, completed.stderr)
                )

    def test_an_operator_file_whose_libraries_are_missing(self):
        example = "deploy/example.json"
        for library, requirements, file in (
            ("lark", "requirements-why.txt", "deploy/why.cue"),
            ("ddsketch", "requirements-why.txt", "deploy/why.cue"),
            ("cryptography", "requirements-gossip.txt", "deploy/gossip.cue"),
        ):
            for arguments in ([], ["serve"], ["check"]):
                with self.subTest(file=file, arguments=arguments):
                    self.assert_library_missing(
                        library,
                        requirements,
                        *arguments,
                        NODE_CONFIG=example,
                        THYMEKNOT_OPERATOR=file,
                    )

    def test_invalid_options_and_help_require_no_extra_library(self):
        completed = run_command("hdrh", "--no-such-option")
        self.assertEqual(2, completed.returncode)
        self.assertIn("No such option", completed.stderr)
        self.assertEqual(0, run_command("hdrh", "--help").returncode)

    def test_a_missing_module_of_the_program_is_reported_as_a_bug(self):
        with self.assertRaises(ModuleNotFoundError) as raised, libraries_from("x"):
            import thymeknot.no_such_module  # noqa: F401  tests the import
        self.assertNotIsInstance(raised.exception, MissingLibraryError)

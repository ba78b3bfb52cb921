"""A command whose libraries are not installed: status 2, and one line that names the file to install."""

import os
import subprocess
import sys
import unittest

from thymeknot.service.required_libraries import MissingLibraryError, libraries_from

# Runs `python -m thymeknot` where the libraries named in the first word can't be imported.
WITHOUT = """
import runpy, sys
for name in sys.argv[1].split(","):
    sys.modules[name] = None
sys.argv = ["thymeknot", *sys.argv[2:]]
runpy.run_module("thymeknot", run_name="__main__", alter_sys=True)
"""


def ran(missing, *words, **variables):
    return subprocess.run(
        [sys.executable, "-c", WITHOUT, missing, *words],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, **variables},
    )


class MissingLibraries(unittest.TestCase):
    def told(self, library, requirements, *words, **variables):
        ended = ran(library, *words, **variables)
        self.assertEqual(
            (2, "", f"thymeknot: {library} is not installed: pip install -r {requirements}\n"),
            (ended.returncode, ended.stdout, ended.stderr),
        )
        with open(requirements) as lines:
            names = {line.partition("==")[0] for line in lines}
        self.assertIn({"hdrh": "hdrhistogram"}.get(library, library), names)

    def test_any_command_without_click(self):
        for words in (["--help"], ["check"], ["load"], ["why", "tally"]):
            with self.subTest(words):
                self.told("click", "requirements-why.txt", *words)

    def test_commands_with_libraries_of_their_own(self):
        for library, requirements, *words in (
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
            with self.subTest(words):
                self.told(library, requirements, *words)

    def test_the_keys_program_without_its_library(self):
        """`python -m thymeknot.gossip.keys`, as the operators' page words it, ended in a traceback."""
        code = WITHOUT.replace('run_module("thymeknot"', 'run_module("thymeknot.gossip.keys"')
        for library in ("cryptography", "netaddr"):
            with self.subTest(library):
                ended = subprocess.run(
                    [sys.executable, "-c", code, library, "new", "n1", "x"],
                    capture_output=True,
                    text=True,
                    timeout=30,
                )
                wanted = (
                    f"keys: {library} is not installed: pip install -r requirements-gossip.txt\n"
                )
                self.assertEqual((2, "", wanted), (ended.returncode, ended.stdout, ended.stderr))

    def test_an_operator_file_whose_libraries_are_missing(self):
        example = "deploy/example.json"
        for library, requirements, file in (
            ("lark", "requirements-why.txt", "deploy/why.cue"),
            ("ddsketch", "requirements-why.txt", "deploy/why.cue"),
            ("cryptography", "requirements-gossip.txt", "deploy/gossip.cue"),
        ):
            for words in ([], ["serve"], ["check"]):
                with self.subTest(file=file, words=words):
                    self.told(
                        library,
                        requirements,
                        *words,
                        NODE_CONFIG=example,
                        THYMEKNOT_OPERATOR=file,
                    )

    def test_faulty_words_end_as_before(self):
        ended = ran("hdrh", "--no-such-option")
        self.assertEqual(2, ended.returncode)
        self.assertIn("No such option", ended.stderr)
        self.assertEqual(0, ran("hdrh", "--help").returncode)

    def test_a_missing_module_of_the_program_is_its_fault(self):
        with self.assertRaises(ModuleNotFoundError) as raised, libraries_from("x"):
            import thymeknot.no_such_module  # noqa: F401  the import is what is tested
        self.assertNotIsInstance(raised.exception, MissingLibraryError)

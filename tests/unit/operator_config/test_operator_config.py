"""Operator files: grammar, unification, error messages, and startup with and without a file."""

import os
import subprocess
import sys
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from thymeknot.operator_config import evaluation, grammar, loader, unification
from thymeknot.operator_config.errors import OperatorConfigError

KEY = "A" * 43 + "="
MINIMAL_FILE = f'''gossip: {{
    name: "n1", listen: "127.0.0.1:7946", key: "n1.key", from: ["127.0.0.0/8"]
    peers: [{{name: "n2", keys: [{{key: "{KEY}"}}]}}]
}}
'''
DEPLOY_FOLDER = os.path.join(os.path.dirname(__file__), *[os.pardir] * 3, "deploy")


def error_texts(text):
    try:
        return loader.parse_settings(text, "x.cue")
    except OperatorConfigError as error:
        return [str(diagnostic) for diagnostic in error.diagnostics]


def unify_texts(schema, text):
    parsed, diagnostics = grammar.parse(f"a: {text}", "x.cue"), []
    schema_struct = grammar.parse(f"a: {schema}", "schema")
    definitions = {
        name: value for name, (value, _) in schema_struct.fields.items() if name.startswith("#")
    }
    unified_value = unification.unify(
        evaluation.resolve(schema_struct, definitions), parsed, (), diagnostics
    )
    result = evaluation.to_plain(unified_value, (), diagnostics)
    return [diagnostic.message for diagnostic in diagnostics] or result["a"]


class OperatorFileTest(unittest.TestCase):
    def test_defaults_are_filled_in_and_durations_are_ticks(self):
        parsed = loader.parse_settings(MINIMAL_FILE, "x.cue")["gossip"]
        self.assertEqual(
            (parsed["probe_every"], parsed["relays"], parsed["ceiling"]),
            (10_000, 3, {"bytes": 32000, "datagrams": 60}),
        )
        parsed = loader.parse_settings(
            MINIMAL_FILE + 'gossip: probe_timeout: "12ms"\ngossip: hearsay: lapse: "1m30s"', "x.cue"
        )["gossip"]
        self.assertEqual((parsed["probe_timeout"], parsed["hearsay"]["lapse"]), (120, 900_000))

    def test_values_and_constraints(self):
        for schema, text, result in (
            ("int & >=1 & <=64 | *3", "64", 64),
            ("int | *3", "_", 3),
            ("number", "1", 1),
            ("bool", "true", True),
            ("[...int]", "[1, 2,]", [1, 2]),
            ('"a" | "b" | *"c"', '"b"', "b"),
            ('"a" | "b" | *"c"', "_", "c"),
            ("{b: int, ...}", "{b: 1, c: 2}", {"b": 1, "c": 2}),
            ("int & >1 & <3", "2", 2),
            ('string & =~"^x" & !="xy"', '"xz"', "xz"),
            ('duration & <"1s"', '"999ms"', 9990),
            ('duration | *"2s"', "_", 20_000),
            ("(int | string)", '"s"', "s"),
            ("{b?: int}", "{}", {}),
            ('duration | *"2s"', '"2s"', 20_000),
            ('duration | *"2s"', '"2000ms"', 20_000),
            ("int | *3", "3", 3),
            ("int", "1 & >0", 1),
        ):
            self.assertEqual(unify_texts(schema, text), result, (schema, text))

    def test_mismatch_message_names_the_constraint(self):
        for schema, text, error_text in (
            ("int & >=1 & <=64 | *3", "65", "65 violates <=64; expected int & >=1 & <=64"),
            ("int", "1.5", "1.5 is not of type int; expected int"),
            ("int", '"1"', '"1" is not of type int; expected int'),
            ('duration & <"1s"', '"1s"', '"1000ms" violates <"1s"; expected duration & <"1s"'),
            ("duration", '"5 parsecs"', '"5 parsecs" is not a duration such as "250ms" or "1m30s"'),
            ('"a" | "b"', '"c"', '"c" is not one of "a" | "b"'),
            ("int", "_", "is missing; expected int"),
            ("[...int]", "3", "3 does not match [...int]"),
            ("{b: int}", "3", "3 does not match {...}"),
            ('string & =~"^x"', '"y"', '"y" violates =~"^x"; expected string & =~"^x"'),
        ):
            self.assertEqual(unify_texts(schema, text), [error_text], (schema, text))

    def test_all_errors_are_reported_with_line_and_key(self):
        text = (
            MINIMAL_FILE
            + 'gossip: relays: 99\ngossip: probe_evry: "1s"\ngossip: ceiling: bytes: "many"\n'
        )
        self.assertEqual(
            error_texts(text),
            [
                "x.cue:5: gossip.relays: 99 violates <=8; expected int & >=0 & <=8",
                "x.cue:6: gossip.probe_evry: no such field; did you mean probe_every?",
                'x.cue:7: gossip.ceiling.bytes: "many" is not of type int; expected int & >=2000 & <=10000000',
            ],
        )

    def test_syntax_and_reference_errors(self):
        for text, error_text in (
            ("gossip: {", "x.cue:1: unexpected end of file"),
            ("a: ]", "x.cue:1: unexpected ']'"),
            ("\n\na: maybe", "x.cue:3: unknown name: maybe (strings must be quoted)"),
            ("a: #X", "x.cue:1: #X is not defined"),
            ("a: 1\na: 2", "x.cue:2: a: 2 conflicts with 1 (line 1)"),
            ("#X: {x: #X}\na: #X", "x.cue:1: #X refers to itself"),
            ("a: 1", "x.cue:1: a: no such field"),
            (
                'a: "x"\n\na: =~"["',
                'x.cue:3: invalid regular expression: "[": unterminated character set at position 0',
            ),
        ):
            self.assertIn(error_text, error_texts(text), text)

    def test_oversized_numbers_durations_and_nesting(self):
        """Each of these inputs made the start fail with a traceback.

        Python refuses to parse integers of over 4,300 digits, a duration too large for a float becomes infinite,
        and a nesting depth of a thousand exceeds Python's recursion limit.
        """
        digits = "9" * 5_000
        for text, error_text in (
            (f"\na: {digits}", "x.cue:2: number of 5000 characters exceeds the limit of 100"),
            (f"a: >{digits}", "x.cue:1: number of 5000 characters exceeds the limit of 100"),
            ("a: " + "(" * 5_000 + "1" + ")" * 5_000, "x.cue:1: values are nested too deeply"),
            ("a: " * 5_000 + "1", "x.cue:1: values are nested too deeply"),
        ):
            self.assertIn(error_text, error_texts(text), text[:40])
        (message,) = error_texts(MINIMAL_FILE + f'gossip: probe_timeout: "{digits}s"')
        self.assertRegex(message, '^x.cue:5: gossip.probe_timeout: "9+s" is not a duration')

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.text(alphabet='ab#{}[]:,|&*"\\\n ?.<>=!~1-/_', max_size=60))
    def test_no_text_does_more_than_be_refused(self, text):
        try:
            loader.parse_settings(text, "x.cue")
        except OperatorConfigError as error:
            self.assertTrue(
                error.diagnostics and all(fault.file == "x.cue" for fault in error.diagnostics)
            )

    def test_deploy_examples_load(self):
        names = [name for name in os.listdir(DEPLOY_FOLDER) if name.endswith(".cue")]
        self.assertIn("gossip.cue", names)
        for name in names:
            self.assertTrue(loader.load(os.path.join(DEPLOY_FOLDER, name)))


class ProgramTest(unittest.TestCase):
    def run_program(self, *arguments, code=None, **variables):
        environment = {
            **os.environ,
            "NODE_CONFIG": os.path.join(DEPLOY_FOLDER, "example.json"),
            **variables,
        }
        return subprocess.run(
            [sys.executable, *(("-c", code) if code else ("-m", "thymeknot")), *arguments],
            capture_output=True,
            text=True,
            env=environment,
            timeout=30,
        )

    def test_invalid_file_fails_startup_with_each_error(self):
        invalid_file = os.path.join(DEPLOY_FOLDER, "balancer.toml")  # not CUE
        for result in (
            self.run_program("--operator", invalid_file),
            self.run_program(THYMEKNOT_OPERATOR=invalid_file),
        ):
            self.assertEqual(result.returncode, 2)
            self.assertRegex(result.stderr, r"^thymeknot: .*balancer\.toml:1: unexpected")
        self.assertIn("can't be read", self.run_program("--operator", "/nowhere.cue").stderr)

    def test_disabled_features_are_not_imported(self):
        code = (
            "import sys, thymeknot.__main__, thymeknot.proxy.proxy, thymeknot.service.lifecycle as l, thymeknot.service"
            ".features as f; f.Features(None); "
            "print(sorted({name.split('.')[0] for name in sys.modules} & set('lark msgspec cryptography netaddr "
            "argparse click numpy scipy hdrh'.split()) | {name for name in sys.modules if name.startswith(("
            "'thymeknot.gossip', 'thymeknot.operator_config', 'thymeknot.decision_log', 'thymeknot.load_generator', "
            "'thymeknot.simulation'))}))"
        )
        result = self.run_program(code=code)
        self.assertEqual((result.stdout.strip(), result.returncode), ("[]", 0), result.stderr)


if __name__ == "__main__":
    unittest.main()

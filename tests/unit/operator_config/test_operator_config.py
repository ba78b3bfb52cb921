"""The operator's file: grammar, unification, faults; and the program with and without one."""

import os
import subprocess
import sys
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from thymeknot.operator_config import evaluation, grammar, loader, unification
from thymeknot.operator_config.errors import OperatorConfigError

KEY = "A" * 43 + "="
LEAST = f'''gossip: {{
    name: "n1", listen: "127.0.0.1:7946", key: "n1.key", from: ["127.0.0.0/8"]
    peers: [{{name: "n2", keys: [{{key: "{KEY}"}}]}}]
}}
'''
DEPLOY_FOLDER = os.path.join(os.path.dirname(__file__), *[os.pardir] * 3, "deploy")


def faults(text):
    try:
        return loader.read(text, "x.cue")
    except OperatorConfigError as error:
        return [str(fault) for fault in error.diagnostics]


def unified(schema, text):
    told, bad = grammar.parse(f"a: {text}", "x.cue"), []
    asked = grammar.parse(f"a: {schema}", "schema")
    definitions = {name: value for name, (value, _) in asked.fields.items() if name.startswith("#")}
    met = unification.unify(evaluation.resolve(asked, definitions), told, (), bad)
    result = evaluation.to_plain(met, (), bad)
    return [fault.text for fault in bad] or result["a"]


class Reads(unittest.TestCase):
    def test_what_is_left_out_gets_its_default_and_durations_are_tenths_of_a_millisecond(self):
        told = loader.read(LEAST, "x.cue")["gossip"]
        self.assertEqual(
            (told["probe_every"], told["relays"], told["ceiling"]),
            (10_000, 3, {"bytes": 32000, "datagrams": 60}),
        )
        told = loader.read(
            LEAST + 'gossip: probe_timeout: "12ms"\ngossip: hearsay: lapse: "1m30s"', "x.cue"
        )["gossip"]
        self.assertEqual((told["probe_timeout"], told["hearsay"]["lapse"]), (120, 900_000))

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
            self.assertEqual(unified(schema, text), result, (schema, text))

    def test_what_does_not_fit_names_the_constraint(self):
        for schema, text, fault in (
            ("int & >=1 & <=64 | *3", "65", "65 breaks <=64; asked for: int & >=1 & <=64"),
            ("int", "1.5", "1.5 is no int; asked for: int"),
            ("int", '"1"', '"1" is no int; asked for: int'),
            ('duration & <"1s"', '"1s"', '"1000ms" breaks <"1s"; asked for: duration & <"1s"'),
            ("duration", '"5 parsecs"', '"5 parsecs" is no duration, such as "250ms" or "1m30s"'),
            ('"a" | "b"', '"c"', '"c" is none of "a" | "b"'),
            ("int", "_", "is missing; asked for: int"),
            ("[...int]", "3", "3 does not fit [...int]"),
            ("{b: int}", "3", "3 does not fit {...}"),
            ('string & =~"^x"', '"y"', '"y" breaks =~"^x"; asked for: string & =~"^x"'),
        ):
            self.assertEqual(unified(schema, text), [fault], (schema, text))

    def test_all_faults_come_at_once_each_with_its_line_and_key(self):
        text = (
            LEAST + 'gossip: relays: 99\ngossip: probe_evry: "1s"\ngossip: ceiling: bytes: "many"\n'
        )
        self.assertEqual(
            faults(text),
            [
                "x.cue:5: gossip.relays: 99 breaks <=8; asked for: int & >=0 & <=8",
                "x.cue:6: gossip.probe_evry: no such field; did you mean probe_every?",
                'x.cue:7: gossip.ceiling.bytes: "many" is no int; asked for: int & >=2000 & <=10000000',
            ],
        )

    def test_faults_of_form(self):
        for text, fault in (
            ("gossip: {", "x.cue:1: the file ends too early"),
            ("a: ]", "x.cue:1: unexpected ']'"),
            ("\n\na: maybe", "x.cue:3: no such name: maybe (strings stand in quotes)"),
            ("a: #X", "x.cue:1: #X is not defined"),
            ("a: 1\na: 2", "x.cue:2: a: 2 is not 1 (line 1)"),
            ("#X: {x: #X}\na: #X", "x.cue:1: #X refers to itself"),
            ("a: 1", "x.cue:1: a: no such field"),
            (
                'a: "x"\n\na: =~"["',
                'x.cue:3: no regular expression: "[": unterminated character set at position 0',
            ),
        ):
            self.assertIn(fault, faults(text), text)

    def test_numbers_durations_and_depth_without_measure(self):
        """Each of these ended a start in a traceback: Python reads no integer of over 4,300 digits, a duration
        beyond the floats is infinite, and what is nested a thousand deep goes beyond Python's own stack."""
        digits = "9" * 5_000
        for text, fault in (
            (f"\na: {digits}", "x.cue:2: a number of 5000 characters, 100 at most"),
            (f"a: >{digits}", "x.cue:1: a number of 5000 characters, 100 at most"),
            ("a: " + "(" * 5_000 + "1" + ")" * 5_000, "x.cue:1: is nested too deeply"),
            ("a: " * 5_000 + "1", "x.cue:1: is nested too deeply"),
        ):
            self.assertIn(fault, faults(text), text[:40])
        (said,) = faults(LEAST + f'gossip: probe_timeout: "{digits}s"')
        self.assertRegex(said, '^x.cue:5: gossip.probe_timeout: "9+s" is no duration')

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.text(alphabet='ab#{}[]:,|&*"\\\n ?.<>=!~1-/_', max_size=60))
    def test_no_text_does_more_than_be_refused(self, text):
        try:
            loader.read(text, "x.cue")
        except OperatorConfigError as error:
            self.assertTrue(
                error.diagnostics and all(fault.file == "x.cue" for fault in error.diagnostics)
            )

    def test_each_example_under_deploy_is_read(self):
        found = [name for name in os.listdir(DEPLOY_FOLDER) if name.endswith(".cue")]
        self.assertIn("gossip.cue", found)
        for name in found:
            self.assertTrue(loader.load(os.path.join(DEPLOY_FOLDER, name)))


class Program(unittest.TestCase):
    def run_it(self, *arguments, code=None, **more):
        environment = {
            **os.environ,
            "NODE_CONFIG": os.path.join(DEPLOY_FOLDER, "example.json"),
            **more,
        }
        return subprocess.run(
            [sys.executable, *(("-c", code) if code else ("-m", "thymeknot")), *arguments],
            capture_output=True,
            text=True,
            env=environment,
            timeout=30,
        )

    def test_a_faulty_file_ends_the_start_with_each_fault(self):
        faulty = os.path.join(DEPLOY_FOLDER, "balancer.toml")  # some file that is no operator's
        for ended in (self.run_it("--operator", faulty), self.run_it(THYMEKNOT_OPERATOR=faulty)):
            self.assertEqual(ended.returncode, 2)
            self.assertRegex(ended.stderr, r"^thymeknot: .*balancer\.toml:1: unexpected")
        self.assertIn("can't be read", self.run_it("--operator", "/nowhere.cue").stderr)

    def test_what_is_off_is_not_imported(self):
        code = (
            "import sys, thymeknot.__main__, thymeknot.proxy.proxy, thymeknot.service.lifecycle as l, thymeknot.service"
            ".features as f; f.Features(None); "
            "print(sorted({name.split('.')[0] for name in sys.modules} & set('lark msgspec cryptography netaddr "
            "argparse click numpy scipy hdrh'.split()) | {name for name in sys.modules if name.startswith(("
            "'thymeknot.gossip', 'thymeknot.operator_config', 'thymeknot.decision_log', 'thymeknot.load_generator', "
            "'thymeknot.simulation'))}))"
        )
        ended = self.run_it(code=code)
        self.assertEqual((ended.stdout.strip(), ended.returncode), ("[]", 0), ended.stderr)


if __name__ == "__main__":
    unittest.main()

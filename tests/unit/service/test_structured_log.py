"""The declaration of log events and the format of log lines."""

import json
import os
import re
import subprocess
import sys
import unittest

import thymeknot
from thymeknot.service.log_events import LEVELS
from thymeknot.service.structured_log import LEVEL_VARIABLE

CALL = re.compile(
    r'(?:structured_log\.(?:log|log_rate_limited)|\blog_event|self\.log|^\s*log)\(\s*"([^"]+)"|LogEvent\(\s*"([^"]+)"',
    re.M,
)


class StructuredLogTest(unittest.TestCase):
    def lines(self, code, **environment):
        result = subprocess.run(
            [sys.executable, "-c", f"from thymeknot.service import structured_log as logs; {code}"],
            timeout=20,
            capture_output=True,
            text=True,
            env={**os.environ, **environment},
        )
        return [json.loads(line) for line in result.stdout.splitlines()], result.stderr

    def test_every_logged_event_is_declared(self):
        logged = set()
        for folder, _, names in os.walk(os.path.dirname(thymeknot.__file__)):
            for name in names:
                if name.endswith(".py"):
                    with open(os.path.join(folder, name), encoding="utf-8") as source:
                        logged |= {
                            called or constructed
                            for called, constructed in CALL.findall(source.read())
                        }
        self.assertGreater(len(logged), 20)
        self.assertEqual(logged - LEVELS.keys(), set())
        self.assertEqual(LEVELS.keys() - logged, set())

    def test_line_starts_with_the_time_and_has_a_level_above_info(self):
        (vote, fault, other), errors = self.lines(
            "logs.log('vote', build=4); logs.log_exception('here', ValueError('x')); logs.log('undeclared')"
        )
        self.assertEqual(
            (list(vote), vote["event"], vote["build"]), (["at", "event", "build"], "vote", 4)
        )
        self.assertEqual(
            (fault["event"], fault["error"], fault["level"]), ("fault", "ValueError: x", "error")
        )
        self.assertEqual((other["level"], errors), ("error", ""))

    def test_levels_below_the_configured_one_are_not_written(self):
        code = "logs.log('vote'); logs.log('configuration rejected'); logs.log('request overdue')"
        for level, events in (
            ("warning", ["configuration rejected", "request overdue"]),
            ("error", ["request overdue"]),
            ("nonsense", ["vote", "configuration rejected", "request overdue"]),
        ):
            self.assertEqual(
                [line["event"] for line in self.lines(code, **{LEVEL_VARIABLE: level})[0]], events
            )

    def test_failed_write_does_not_stop_the_process(self):
        code = "import os; os.close(1); logs.log('vote'); os.dup2(2, 1); logs.log('vote')"
        self.assertEqual(self.lines(code)[1].count("vote"), 1)


if __name__ == "__main__":
    unittest.main()

"""What a person reads: the logs of a fleet in sums, a day as a page, a comparison with its intervals."""

import itertools
import json
import os
import subprocess
import sys
import tempfile
import unittest

from thymeknot.cli.log_summary import MAX_INTERVALS, Summary
from thymeknot.simulation import large_fleet_scenarios
from thymeknot.simulation.experiments import crowd_figures
from thymeknot.simulation.recording import RecordingSimulator
from thymeknot.simulation.report import written
from thymeknot.simulation.simulator import Simulator, current_engine

SMALL = {"instances": 12, "pods": 9, "seconds": 12, "load": 0.4}


def line(event, at=100.0, **fields):
    return json.dumps({"at": at, "event": event, **fields}).encode() + b"\n"


def ran(*words):
    return subprocess.run(
        [sys.executable, "-m", "thymeknot", *words], capture_output=True, text=True, timeout=120
    )


class Logs(unittest.TestCase):
    def test_what_the_logs_of_two_say_together(self):
        summary = Summary(5.0)
        for whose, text in (
            (
                "a",
                line("requests rejected", deferred={"OVER_LIMIT": 3}, abandoned={"TIME_OVER": 1}),
            ),
            ("b", b"6.916 " + line("requests rejected", 101, deferred={"OVER_LIMIT": 2})),
            ("b", line("vote", 107, verdict=1, outcome="full")),
            ("a", line("vote", verdict=1, outcome="done")),
            ("a", line("fault", at_line="x.py:3")),
            ("a", line("ready")),
            ("a", line("stream ended", refusals=3)),
            ("b", line("stream ended", refusals=0)),
            ("b", line("stream silent")),
        ):
            summary.feed(whose, text)
        self.assertEqual(
            summary.figures(),
            {
                "sidecars": 2,
                "starts": 1,
                "streams": {"refused": 1, "ended": 1, "silent": 1},
                "turned_away": {"deferred OVER_LIMIT": 5, "abandoned TIME_OVER": 1},
                "busiest": {"a": 4, "b": 2},
                "votes": {"on full": 1, "on done": 1},
                "votes_full_share": 0.5,
                "faults": {"fault x.py:3": 1},
                "unread_lines": 0,
            },
        )
        self.assertEqual([at for at, _ in summary.intervals()], [0.0, 5.0])

    def test_what_can_not_be_read_is_counted_and_nothing_grows_without_a_bound(self):
        summary = Summary(0.1)
        for text in (
            b"",
            b"no\n",
            b"{\n",
            b"[1]\n",
            b'{"event":3,"at":1}\n',
            b'{"event":"vote"}\n',
            b"\xff{}\n",
        ):
            summary.feed("a", text)
        self.assertEqual((summary.unreadable_lines, summary.figures()["votes"]), (7, {}))
        for odd in (3, None, "x", [1], {"X": "y"}):
            summary.feed("a", line("requests rejected", deferred=odd))
        self.assertEqual(summary.figures()["turned_away"], {})
        summary.feed("a", line("vote", verdict=9, outcome=None))
        for at in range(MAX_INTERVALS + 50):
            summary.feed("a", line("vote", at, verdict=0, outcome="done"))
        self.assertLessEqual(len(summary.interval_counts), MAX_INTERVALS)

    def test_any_value_in_any_field(self):
        """A vote whose verdict was 1.0 ended `thymeknot logs` in a TypeError: it equals a verdict's number and indexes
        nothing. Each field of each event that is counted is tried with values of each type and at their edges."""
        values = (1.0, 0.5, -1, 4, 1 << 62, 1e308, True, None, "x", [], {}, [1], {"X": 1.0})
        names = ("verdict", "outcome", "refusals", "deferred", "abandoned", "at_line", "at")
        for event, name, value in itertools.product(Summary._COUNTERS, names, values):
            with self.subTest(event=event, name=name, value=value):
                summary = Summary(5.0)
                summary.feed("a", line(**{"event": event, name: value}))
                summary.figures()
                list(summary.intervals())
        summary = Summary(5.0)
        for verdict in (1.0, True, 1):
            summary.feed("a", line("vote", verdict=verdict, outcome="done"))
        self.assertEqual(summary.figures()["votes"], {"unknown done": 2, "on done": 1})

    def test_the_command(self):
        with tempfile.NamedTemporaryFile(suffix=".log") as log:
            log.write(line("requests rejected", deferred={"BY_LOT": 2}))
            log.flush()
            told = ran("logs", "--json", log.name)
        self.assertEqual(
            [json.loads(one) for one in told.stdout.splitlines()][0],
            {"at": 0.0, "deferred BY_LOT": 2},
        )
        self.assertEqual(ran("logs", "/nowhere.log").returncode, 2)


class Pages(unittest.TestCase):
    def test_watching_changes_nothing_and_counts_all(self):
        day, _ = large_fleet_scenarios.drawn(3, "herd", **SMALL)
        plain, watched = (
            Simulator(day, current_engine).play(),
            RecordingSimulator(day, current_engine).play(),
        )
        self.assertEqual(plain.figures(), watched.figures())
        self.assertEqual(sum(watched.how["done"]), plain.results.answers["done"])
        self.assertEqual(
            sum(sum(one) for one in watched.sent.values()),
            sum(plain.results.attempts_by_pod.values()),
        )

    def test_a_page_has_a_picture_for_each_policy_and_its_figures(self):
        day, _ = large_fleet_scenarios.drawn(3, "zone", **SMALL)
        with tempfile.TemporaryDirectory() as folder:
            found = written(
                day, {"now": current_engine, "<now>": current_engine}, folder, "zone & more"
            )
            with open(os.path.join(folder, "index.html"), encoding="utf-8") as page:
                text = page.read()
            for picture in ("day-0.png", "day-1.png"):
                with open(os.path.join(folder, picture), "rb") as source:
                    self.assertEqual(source.read(4), b"\x89PNG")
                self.assertIn(picture, text)
        self.assertEqual(found["now"], found["<now>"])
        self.assertIn(str(found["now"]["service"]), text)
        self.assertTrue("zone &amp; more" in text and "<now>" not in text)

    def test_a_comparison_says_what_one_day_can_not(self):
        one = {
            "kind": "calm",
            "good": True,
            "needless": 0.2,
            "service": 0.8,
            "worst_10s": 0.7,
            "worth": 0.6,
            "recover_s": 9,
            "good_back": False,
            "bad_released": False,
            "bad_kept": False,
            "behind": 0.1,
            "rules_broken": [],
            "breaches": [],
        }
        told = crowd_figures([(one, {**one, "needless": 0.1, "rules_broken": [4]})])
        self.assertEqual(
            told["needless_share"],
            {"before": 0.2, "now": 0.1, "gap": -0.1, "low": None, "high": None},
        )
        self.assertEqual(
            (told["overload_served"], told["bad_kept"], told["rules_broken"]),
            (None, None, [[], [4]]),
        )
        for words in (
            ["lab", "fleet", "now", "now", "--kinds", "no"],
            ["lab", "report", "nowhere", "--kind", "no"],
        ):
            self.assertEqual(ran(*words).returncode, 2)

    def test_the_measurement_in_short(self):
        told = subprocess.run(
            [sys.executable, "-m", "measure.fleet", "--short", "--kinds", "calm", "--workers", "2"],
            capture_output=True,
            text=True,
            timeout=120,
        )
        figures = json.loads(told.stdout.splitlines()[-1])
        self.assertEqual((figures["rules_broken"], figures["days"]), ([[], []], 1), told.stderr)

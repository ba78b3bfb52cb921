"""Tests of reports for operators: log summaries, simulation reports and comparisons."""

import itertools
import json
import os
import subprocess
import sys
import tempfile
import unittest

from thymeknot.cli.log_summary import MAX_INTERVALS, Summary
from thymeknot.simulation import large_fleet_scenarios
from thymeknot.simulation.experiments import summarize_large_fleet_pairs
from thymeknot.simulation.recording import RecordingSimulator
from thymeknot.simulation.report import write_report
from thymeknot.simulation.simulator import Simulator, current_engine

SMALL_FLEET = {"instances": 12, "pods": 9, "seconds": 12, "load": 0.4}


def log_line(event, at=100.0, **fields):
    return json.dumps({"at": at, "event": event, **fields}).encode() + b"\n"


def run_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "thymeknot", *arguments], capture_output=True, text=True, timeout=120
    )


class LogSummaries(unittest.TestCase):
    def test_the_logs_of_two_sidecars_are_combined(self):
        summary = Summary(5.0)
        for sidecar, text in (
            (
                "a",
                log_line(
                    "requests rejected", deferred={"OVER_LIMIT": 3}, abandoned={"TIME_OVER": 1}
                ),
            ),
            ("b", b"6.916 " + log_line("requests rejected", 101, deferred={"OVER_LIMIT": 2})),
            ("b", log_line("vote", 107, verdict=1, outcome="full")),
            ("a", log_line("vote", verdict=1, outcome="done")),
            ("a", log_line("fault", at_line="x.py:3")),
            ("a", log_line("ready")),
            ("a", log_line("stream ended", refusals=3)),
            ("b", log_line("stream ended", refusals=0)),
            ("b", log_line("stream silent")),
        ):
            summary.feed(sidecar, text)
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

    def test_unreadable_lines_are_counted_and_memory_is_bounded(self):
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
        for invalid in (3, None, "x", [1], {"X": "y"}):
            summary.feed("a", log_line("requests rejected", deferred=invalid))
        self.assertEqual(summary.figures()["turned_away"], {})
        summary.feed("a", log_line("vote", verdict=9, outcome=None))
        for at in range(MAX_INTERVALS + 50):
            summary.feed("a", log_line("vote", at, verdict=0, outcome="done"))
        self.assertLessEqual(len(summary.interval_counts), MAX_INTERVALS)

    def test_any_value_in_any_field_is_accepted(self):
        """A vote with the verdict 1.0 made `thymeknot logs` raise a TypeError.

        The float equals the number of a verdict but can't index a table. Each field of each counted
        event is tested with values of all types, including extreme ones.
        """
        values = (1.0, 0.5, -1, 4, 1 << 62, 1e308, True, None, "x", [], {}, [1], {"X": 1.0})
        names = ("verdict", "outcome", "refusals", "deferred", "abandoned", "at_line", "at")
        for event, name, value in itertools.product(Summary._COUNTERS, names, values):
            with self.subTest(event=event, name=name, value=value):
                summary = Summary(5.0)
                summary.feed("a", log_line(**{"event": event, name: value}))
                summary.figures()
                list(summary.intervals())
        summary = Summary(5.0)
        for verdict in (1.0, True, 1):
            summary.feed("a", log_line("vote", verdict=verdict, outcome="done"))
        self.assertEqual(summary.figures()["votes"], {"unknown done": 2, "on done": 1})

    def test_logs_command(self):
        with tempfile.NamedTemporaryFile(suffix=".log") as log:
            log.write(log_line("requests rejected", deferred={"BY_LOT": 2}))
            log.flush()
            completed = run_command("logs", "--json", log.name)
        self.assertEqual(
            [json.loads(text) for text in completed.stdout.splitlines()][0],
            {"at": 0.0, "deferred BY_LOT": 2},
        )
        self.assertEqual(run_command("logs", "/nowhere.log").returncode, 2)


class SimulationReports(unittest.TestCase):
    def test_recording_changes_nothing_and_counts_all_requests(self):
        day, _ = large_fleet_scenarios.draw_standard_day(3, "herd", **SMALL_FLEET)
        plain, recorded = (
            Simulator(day, current_engine).run(),
            RecordingSimulator(day, current_engine).run(),
        )
        self.assertEqual(plain.figures(), recorded.figures())
        self.assertEqual(sum(recorded.answer_counts["done"]), plain.results.answer_counts["done"])
        self.assertEqual(
            sum(sum(counts) for counts in recorded.attempt_counts.values()),
            sum(plain.results.attempts_by_pod.values()),
        )

    def test_a_report_has_a_chart_and_figures_for_each_policy(self):
        day, _ = large_fleet_scenarios.draw_standard_day(3, "zone", **SMALL_FLEET)
        with tempfile.TemporaryDirectory() as folder:
            figures = write_report(
                day, {"now": current_engine, "<now>": current_engine}, folder, "zone & more"
            )
            with open(os.path.join(folder, "index.html"), encoding="utf-8") as page:
                text = page.read()
            for chart in ("day-0.png", "day-1.png"):
                with open(os.path.join(folder, chart), "rb") as source:
                    self.assertEqual(source.read(4), b"\x89PNG")
                self.assertIn(chart, text)
        self.assertEqual(figures["now"], figures["<now>"])
        self.assertIn(str(figures["now"]["service"]), text)
        self.assertTrue("zone &amp; more" in text and "<now>" not in text)

    def test_a_comparison_of_a_single_day_has_no_interval(self):
        day = {
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
        comparison = summarize_large_fleet_pairs(
            [(day, {**day, "needless": 0.1, "rules_broken": [4]})]
        )
        self.assertEqual(
            comparison["needless_share"],
            {"before": 0.2, "now": 0.1, "gap": -0.1, "low": None, "high": None},
        )
        self.assertEqual(
            (comparison["overload_served"], comparison["bad_kept"], comparison["rules_broken"]),
            (None, None, [[], [4]]),
        )
        for arguments in (
            ["lab", "fleet", "now", "now", "--kinds", "no"],
            ["lab", "report", "nowhere", "--kind", "no"],
        ):
            self.assertEqual(run_command(*arguments).returncode, 2)

    def test_the_short_measurement(self):
        completed = subprocess.run(
            [sys.executable, "-m", "measure.fleet", "--short", "--kinds", "calm", "--workers", "2"],
            capture_output=True,
            text=True,
            timeout=120,
        )
        figures = json.loads(completed.stdout.splitlines()[-1])
        self.assertEqual(
            (figures["rules_broken"], figures["days"]), ([[], []], 1), completed.stderr
        )

"""Settings are isolated per instance, compared on reload and validated."""

import copy
import heapq
import json
import os
import random
import subprocess
import sys
import tempfile
import unittest

import orjson

from tests.support.peers import SETTINGS, TIMEOUT_SECONDS, FakeEndpoint
from tests.support.programs import Program
from tests.unit.proxy.test_proxy import Network
from thymeknot.interface.actions import (
    CancelAttempt,
    CastVote,
    Fail,
    FetchEndpoints,
    LogNote,
    Reject,
    SendAttempt,
    SetTimer,
    SubscribeToEndpoints,
)
from thymeknot.interface.enums import (
    EndpointCondition,
    Idempotency,
    Outcome,
    PromotionMode,
    ReleasePhase,
    UpdateKind,
    Verdict,
)
from thymeknot.interface.events import (
    AttemptEnded,
    ClientDisconnected,
    ComplaintReceived,
    Endpoint,
    EndpointUpdate,
    FleetCounts,
    LateResponseSeen,
    ReleaseUpdate,
    RequestReceived,
    ResponseStarted,
    SuspicionReported,
    TimerFired,
)
from thymeknot.policy.engine import DecisionEngine
from thymeknot.service import configuration
from thymeknot.service.configuration import ConfigurationError, flatten
from thymeknot.simulation.invariants import InvariantChecker
from thymeknot.simulator_wire.host import Host
from thymeknot.state.endpoint_state import EndpointState
from thymeknot.state.sliding_window import SlidingWindow

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), *[os.pardir] * 3))
BATCHES, STEP, UNIT = 240, 20_000_000, 100_000
FIRST_BATCH = 5_000_000_000


def example():
    with open(os.path.join(ROOT, "deploy", "example.json"), "rb") as source:
        return orjson.loads(source.read())


def put(value, path, new):
    *inner, last = path.split(".")
    for name in inner:
        value = value[int(name)] if isinstance(value, list) else value[name]
    value[int(last) if isinstance(value, list) else last] = new


def changed(path, new):
    told = example()
    put(told, path, new)
    return told


def other_settings():
    """Settings that differ from the helpers' in everything, with the same names for other classes."""
    told = copy.deepcopy(SETTINGS)
    told.update(
        balancers=40, discovery="subscribe", stats={"names": ["rate"], "source": "piggyback"}
    )
    told["categories"] = [
        {
            "name": name,
            "semantics": effect,
            "key_scope": scope,
            "window": 700_000_000,
            "promise": 400_000_000,
            "give_up": 900_000_000,
            "worth": worth,
            "late_worth": 0.0,
        }
        for name, effect, scope, worth in (
            ("read", "at_most_once", "all", 9.0),
            ("pay", "idempotent", "all", 0.1),
            ("weigh", "deduplicated", "cell", 2.0),
        )
    ]
    told["permissions"].update(
        max_attempts=2, max_retry_after=0, second_copies=True, may_cancel=False, retry_after=False
    )
    told["rules"].update(
        cold_from=0.05, cold=9_000_000_000, fall_multiple=1.1, overload_for=500_000_000
    )
    told["extra"].update(
        window=900_000_000,
        allowance=1.0,
        guarded_stages=1,
        waves=[0.1, 0.2, 1.0],
        counts="each_class",
        keys_stay=False,
        swap="replace",
        decided_by="first_voice",
        vote_life=1_500_000_000,
        calls_per_s=8.0,
    )
    return told


class Played:
    """One instance and its pods, that answer by turns; the same events whatever else the host holds."""

    OUTCOMES = "delivered", "app_error", "delivered", "shed", "delivered", "expired", "dial_failed"

    def __init__(self, name, settings, lanes, zone):
        self.name, self.settings, self.lanes, self.zone = name, settings, lanes, zone
        self.left, self.answers, self.actions = {}, [], []

    def events(self, at, table):
        """The lines of a batch. table: the numbers of its lists."""
        if at == 0:
            pods = [
                f"ENTRY {self.zone} 1 0 on - {self.zone}:{port} m {41 + port % 2}"
                for port in range(5)
            ]
            return [
                f"NEW_INSTANCE {self.name} 77 " + " ".join(flatten(self.settings)),
                f"CENSUS {table} {len(pods)}",
                *pods,
                f"ANNOUNCE {self.name} cached 1 {table}",
                f"ROLLOUT_STATE {self.name} 42 0 0 0 delivered 0.5 0",
            ]
        lines, self.answers = self.answers, []
        for number in range(at % 3):
            lane, name = self.lanes[(at + number) % len(self.lanes)], f"{at:x}a{number}"
            self.left[name] = 0
            lines.append(f"INGRESS {self.name} {name} {lane} - {at % 5} 800000000 - 0 0")
        return lines

    def hear(self, lines, now):
        for line in lines:
            self.actions.append(line)
            word, _, *values = line.split(" ")
            if word == "TRY":
                name, pod = values[:2]
                attempt = self.left[name]
                self.left[name] += 1
                how = self.OUTCOMES[len(self.actions) % len(self.OUTCOMES)]
                self.answers.append(
                    f"RESULT {self.name} {name} {how} {int(how == 'delivered')} {15 * UNIT} {pod} "
                    f"{attempt} -"
                )
            elif word == "NOTIFY_ME":
                self.answers.append(f"TICK_DUE {self.name} {values[1]}")
            elif word == "VERDICT":
                self.answers.append(
                    f"ROLLOUT_STATE {self.name} {values[0]} {values[1]} 0 1 delivered 0.5 0"
                )


def play(*played):
    """All that each of them does in one host."""
    host = Host()
    for at in range(BATCHES):
        lines = [line for table, one in enumerate(played) for line in one.events(at, table)]
        replies = host.batch((FIRST_BATCH + at * STEP) // UNIT, lines)
        for one in played:
            one.hear([line for line in replies if line.split(" ")[1] == one.name], at)
    return [one.actions for one in played]


def made(name="sidecar-2"):
    """Two instances whose settings have nothing in common."""
    return (
        Played("sidecar-1", SETTINGS, ("read", "mark", "pay"), "10.0.0.1"),
        Played(name, other_settings(), ("pay", "weigh", "read"), "10.0.0.2"),
    )


def alone(place, name="sidecar-2"):
    """What one of them does in a process of its own: nothing that another left in this one can reach it."""
    code = (
        "import json; from tests.unit.service.test_settings import made, play; "
        f"print(json.dumps(play(made({name!r})[{place}])))"
    )
    ended = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True, timeout=60
    )
    return json.loads(ended.stdout)[0]


class InstanceIsolationTest(unittest.TestCase):
    def test_two_instances_in_one_process_decide_as_each_alone(self):
        expected = [alone(0), alone(1)]
        self.assertEqual(play(*made()), expected)
        self.assertEqual(play(*reversed(made())), expected[::-1])
        for actions in expected:  # it decided on more than one thing, and never failed
            self.assertGreater(len({line.split(" ")[0] for line in actions}), 2)
            self.assertFalse([line for line in actions if line.startswith("FAULT")])
        self.assertNotEqual(*[[line.split(" ")[0] for line in actions] for actions in expected])

    def test_restarted_instance_keeps_none_of_its_previous_settings(self):
        first, second = made("sidecar-1")
        host = Host()
        for at in range(50):
            first.hear(host.batch((FIRST_BATCH + at * STEP) // UNIT, first.events(at, 0)), at)
        host.batch((FIRST_BATCH + 49 * STEP) // UNIT, [f"KILLED {first.name}"])
        for at in range(BATCHES):
            second.hear(host.batch((FIRST_BATCH + at * STEP) // UNIT, second.events(at, 0)), at)
        self.assertEqual(second.actions, alone(1, "sidecar-1"))


class ReloadTest(unittest.TestCase):
    def later(self, told):
        network = Network()
        network.proxy.start = configuration.parse(example(), 0)
        return network, network.proxy.reconfigure(configuration.parse(told, 0))

    def test_reload_names_every_changed_key_that_needs_a_restart(self):
        cases = {
            "name": ("name", "other"),
            "listen": ("listen", "127.0.0.1:6380"),
            "seed": ("seed", "77"),
            "limits.sockets": ("limits.sockets", 512),
        }
        for key, (path, new) in cases.items():
            self.assertEqual(self.later(changed(path, new))[1], [key])
        settings = {
            "categories.0.name": "other",
            "categories.1.window": 1,
            "permissions.max_attempts": 1,
            "permissions.conn_idle": 1_000_000,
            "permissions.connect_timeout": 1_000_000,
            "permissions.max_open": 7,
            "rules.cold": 0,
            "extra.calls_per_s": 8,
            "discovery": "subscribe",
            "balancers": 7,
            "stats.names": ["rate"],
        }
        for path, new in settings.items():
            self.assertEqual(self.later(changed(f"settings.{path}", new))[1], ["settings"], path)
        told = {**changed("name", "other"), "settings": other_settings(), "seed": "1"}
        self.assertEqual(self.later(told)[1], ["name", "seed", "settings"])

    def test_reload_does_not_name_keys_without_effect(self):
        """Addresses are taken up; the list and the news told how things stood; the rest the program does not read."""
        for path, new in {
            "discovery": "127.0.0.1:8501",
            "deployer.address": "127.0.0.1:6401",
            "known": {"version": 8, "full": True, "servers": []},
            "deployer.news.version": 42,
            "limits.memory_mb": 32,
            "limits.cores": 0.5,
            "settings.unheard": 1,
        }.items():
            self.assertEqual(self.later(changed(path, new))[1], [], path)

    def test_reload_keeps_the_settings_of_the_start(self):
        network = Network()
        proxy = network.proxy
        before = (
            proxy.settings,
            proxy.connection_limits,
            proxy.engine.context.settings,
            proxy.listener.max_clients,
        )
        proxy.reconfigure(configuration.parse({**example(), "settings": other_settings()}, 0))
        self.assertEqual(
            (
                proxy.settings,
                proxy.connection_limits,
                proxy.engine.context.settings,
                proxy.listener.max_clients,
            ),
            before,
        )
        for was, stays in zip(
            before, (proxy.settings, proxy.connection_limits, proxy.engine.context.settings)
        ):
            self.assertIs(was, stays)


class InvalidSettingsTest(unittest.TestCase):
    def refuse(self, told, key):
        with self.assertRaises(ConfigurationError) as caught:
            configuration.parse(told, 0)
        self.assertIn(key, str(caught.exception))

    def test_error_names_invalid_and_out_of_range_numbers(self):
        numbers = ["nan", "inf", "-inf", -1, -(10**18), "", None, True, [], "9" * 5000]
        for path in (
            "balancers",
            "categories.0.give_up",
            "categories.0.worth",
            "permissions.max_open",
            "rules.cold_from",
            "rules.fall_multiple",
            "rules.overload_for",
            "extra.window",
            "extra.allowance",
            "extra.vote_life",
            "extra.calls_per_s",
            "extra.waves.1",
        ):
            for number in numbers:
                named = path.removesuffix(".1") if path.endswith("waves.1") else path
                self.refuse(changed(f"settings.{path}", number), named)
        for path in (
            "categories.0.promise",
            "categories.0.give_up",
            "extra.window",
            "extra.vote_life",
            "extra.vote_wait",
            "rules.overload_for",
            "permissions.conn_idle",
            "permissions.max_attempts",
            "extra.calls_per_s",
            "balancers",
        ):
            self.refuse(changed(f"settings.{path}", 0), path)
        for path in (
            "categories.0.promise",
            "rules.cold",
            "extra.window",
            "extra.vote_life",
            "balancers",
        ):
            for large in (1e300, 2.0**64, 10**19):
                self.refuse(changed(f"settings.{path}", large), path)
        for small in (1e-320, 1e-9):
            self.refuse(changed("settings.extra.calls_per_s", small), "extra.calls_per_s")

    def test_error_names_missing_duplicate_and_unnamed_classes(self):
        self.refuse(changed("settings.categories", []), "categories.count")
        self.refuse(changed("settings.categories.2.name", "read"), "categories.2.name")
        for name in ("", None, "-"):
            self.refuse(changed("settings.categories.1.name", name), "categories.1.name")

    def test_error_names_invalid_addresses(self):
        for path in ("listen", "discovery", "deployer.address"):
            for text in (
                "x:²",
                "²",
                "x:" + "9" * 5000,
                "x:65536",
                "x:0",
                ":80",
                "a" * 300 + ":80",
                "\0:80",
                "a b\n:8",
            ):
                self.refuse(changed(path, text), f"{path}: is not an address")

    def test_error_names_deep_nesting_and_values_in_place_of_objects(self):
        deep = {}
        for _ in range(1020):
            deep = {"a": deep}
        self.refuse(changed("settings.deep", deep), "settings: are nested too deep")
        for path in ("limits", "deployer"):
            for other in (5, "x", [], False):
                self.refuse(changed(path, other), f"{path}: is not an object")
        self.refuse(changed("known.servers.0.started_ms", 1e308), "known")

    def test_error_names_a_file_that_is_not_json(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            for content in (
                b"",
                b"\xff",
                b"NaN",
                b"[]",
                b"[" * 5000,
                json.dumps(example()).encode()[:-1],
            ):
                with open(path, "wb") as target:
                    target.write(content)
                with self.assertRaises(ConfigurationError):
                    configuration.load({"NODE_CONFIG": path}, 0)
            with self.assertRaises(ConfigurationError):
                configuration.load({"NODE_CONFIG": folder}, 0)


class ValidSettingsTest(unittest.TestCase):
    def test_class_names_are_case_sensitive(self):
        told = changed("settings.categories.1.name", "Read")
        lanes = configuration.parse(told, 0).settings.request_classes
        self.assertEqual(
            (lanes["read"].idempotency, lanes["Read"].idempotency),
            (Idempotency.IDEMPOTENT, Idempotency.KEYED),
        )

    def test_thousands_of_classes_and_zero_deduplication_window(self):
        told = example()
        told["settings"]["categories"] = [
            {**told["settings"]["categories"][1], "name": f"c{number}", "window": 0}
            for number in range(5000)
        ]
        read = configuration.parse(told, 0).settings
        self.assertEqual(
            (len(read.request_classes), read.request_classes["c4999"].deduplication_window),
            (5000, 0),
        )

    def test_equivalent_values_are_read_as_equal(self):
        """Whole numbers as others write them, no voter needed, and keys added that could pass for others."""
        same, expected = example()["settings"], configuration.parse(example(), 0)
        for *path, key, new in (
            ("extra", "window", float(same["extra"]["window"])),
            ("balancers", 1.0),
            ("extra", "votes_to_revert", 0),
            ("balancers=9", 9),
            ("extra.window", 5),
            ("extra", "window=1", []),
            ("extra.window", {"a": None}),
            ("added", None),
        ):
            told = example()
            (told["settings"][path[0]] if path else told["settings"])[key] = new
            self.assertEqual(configuration.parse(told, 0)[-2:], expected[-2:], (path, key, new))

    def test_unused_settings_are_optional(self):
        told = example()
        told["settings"].update(
            stats={}, permissions={**told["settings"]["permissions"], "retry_after": False}
        )
        del (
            told["settings"]["rules"]["ask_within"],
            told["settings"]["permissions"]["max_retry_after"],
        )
        for lane in told["settings"]["categories"]:
            if lane["semantics"] != "deduplicated":
                del lane["key_scope"], lane["window"]
        self.assertEqual(
            list(configuration.parse(told, 0).settings.request_classes), ["read", "mark", "pay"]
        )
        for path, new, named in (
            ("discovery", "subscribe", "ask_within"),
            ("permissions.retry_after", True, "max_ret"),
            ("categories.0.semantics", "deduplicated", "categories.0.key_scope"),
        ):
            asked = copy.deepcopy(told)
            put(asked["settings"], path, new)
            with self.assertRaisesRegex(ConfigurationError, named):
                configuration.parse(asked, 0)

    def test_zero_initial_fraction_or_warmup_duration_leaves_some_capacity(self):
        for cold, cold_from in ((0, 0.3), (0, 0.0), (50_000, 0.0)):
            known = EndpointState(
                Endpoint("p", "a", 1.0, 0, EndpointCondition.READY, 70, "m", 1), 10
            )
            terms = configuration.parse(example(), 0).settings._replace(
                warmup_duration=cold, warmup_initial_fraction=cold_from
            )
            for now in (20, 70, 71):  # the clock may be behind the pod's
                self.assertGreater(known.warmup_fraction(now, terms), 0, (cold, cold_from, now))

    def test_short_window_counts_nothing_older(self):
        for span in (1, 7, 150):
            for back in (120, 30, None):
                ring = SlidingWindow(span, 120)
                ring.add(1000)
                later = 1000 + span + ring.bucket_width
                self.assertEqual(
                    (ring.total(1000, False, back), ring.total(later, False, back)), (1, 0), span
                )


# What a value may be, from edge to edge: times in nanoseconds, shares, counts.
EDGES = {
    "balancers": (1, 2, 6, 500),
    "discovery": ("automatic", "subscribe"),
    "stats.names": ([], ["busy"], ["rate", "x y"]),
    "permissions.max_attempts": (1, 2, 4, 1000),
    "permissions.max_retry_after": (0, 1, 5 * 10**8, 10**12),
    "permissions.second_copies": (False, True),
    "permissions.may_cancel": (False, True),
    "permissions.retry_after": (False, True),
    "permissions.connect_timeout": (10**5, 25 * 10**7, 10**11),
    "permissions.conn_idle": (10**5, 5 * 10**8, 10**13),
    "permissions.max_open": (1, 100, 10**6),
    "rules.ask_within": (0, 10**9, 10**10),
    "rules.cold_from": (0, 0.3, 1),
    "rules.cold": (0, 10**6, 5e9, 10**12),
    "rules.fall_multiple": (1, 1.1, 4.0, 100),
    "rules.overload_for": (10**5, 5 * 10**8, 2 * 10**9, 10**11),
    "extra.window": (10**5, 17 * 10**6, 10**9, 3e9, 10**13),
    "extra.allowance": (0, 0.5, 3.0, 10**6),
    "extra.guarded_stages": (0, 1, 7, 10),
    "extra.counts": ("all", "each_class"),
    "extra.keys_stay": (False, True),
    "extra.waves": ([1], [0.1, 1.0], [0, 0.04, 0.1, 0.2, 0.5, 0.9, 1]),
    "extra.swap": ("parallel", "replace"),
    "extra.decided_by": ("first_voice", "by_count", "automatic"),
    "extra.votes_to_revert": (0, 1, 3, 500, 1000),
    "extra.vote_life": (10**5, 5 * 10**7, 4 * 10**9, 10**13),
    "extra.vote_wait": (10**5, 10**9, 10**11),
    "extra.calls_per_s": (1e-6, 0.3, 0.5, 1, 2.5, 150.0, 10**9),
}
LANE_EDGES = {
    "semantics": ("idempotent", "deduplicated", "at_most_once"),
    "key_scope": ("all", "zone", "cell"),
    "window": (0, 99_999, 3 * 10**8, 2 * 10**9, 10**13),
    "promise": (10**5, 10**8, 8 * 10**8, 3 * 10**9, 10**11),
    "give_up": (10**5, 10**8, 2 * 10**9, 10**10),
    "worth": (0, 1e-9, 1, 5.0, 1e9),
    "late_worth": (0, 0.2, 1),
}
NAMES = (
    "read",
    "Read",
    "a b",
    "a=b",
    "a.b",
    "0",
    "count",
    "name",
    "ключ ✓",
    "x" * 300,
    "{}",
    "-1",
    "%",
    "a&b",
)
ADDED = {
    "balancers=1": 0,
    "extra.window": [],
    "parties": [{"name": "é", "share": 0.0}],
    "zones": [],
    "tier": None,
}


def drawn(chance):
    """Whole settings that a deployment may have, each of them at an edge or between."""
    told = example()
    for path, values in EDGES.items():
        put(told["settings"], path, chance.choice(values))
    only = chance.choice([{}, {}, *({"semantics": effect} for effect in LANE_EDGES["semantics"])])
    told["settings"]["categories"] = [
        {**{key: chance.choice(values) for key, values in LANE_EDGES.items()}, "name": name, **only}
        for name in [
            *chance.sample(NAMES, chance.choice((1, 2, 14))),
            *map(str, range(5, chance.choice((5, 21)))),
        ]
    ]
    told["settings"].update(ADDED if chance.random() < 0.5 else {})
    return orjson.loads(orjson.dumps(told))


class World:
    """An instance under drawn settings amid events of every kind, in simulated time, before the checkers' eyes. calm:
    all is well, and a request comes once the one before is answered."""

    TURNS, GRACE = 120, 2_500
    RAN = {
        **dict.fromkeys((Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)),
        Outcome.DONE: True,
        **dict.fromkeys((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT), False),
    }
    PHASES = {
        ReleasePhase.ON_TRIAL: "trial",
        ReleasePhase.ROLLING_BACK: "back",
        ReleasePhase.RELEASED: "released",
        ReleasePhase.WITHDRAWN: "withdrawn",
    }

    def __init__(self, seed, calm=False):
        self.chance, self.calm, self.now, self.number, self.queue = (
            random.Random(seed),
            calm,
            10**9,
            0,
            [],
        )
        self.terms = terms = configuration.parse(drawn(self.chance), 0).settings
        self.checker = InvariantChecker(
            terms.request_classes,
            self.GRACE,
            terms.exposure_window,
            terms.exposure_allowance,
            terms.exposure_by_class,
            guarded=terms.guarded_stages,
        )
        self.made, self.pods, self.held, self.said = (
            DecisionEngine(terms, seed, self.now),
            {},
            {},
            [],
        )
        self.order = 1, 0, ReleasePhase.RELEASED, 1.0
        least = min(lane.latency_objective for lane in terms.request_classes.values())
        self.step = min(2_000, least) if calm else self.chance.choice((1, 100, 2_000, 5_000))
        many = self.chance.choice((1, 4, 12)) if not calm else 8
        self.listed([self.pod(number, 1 + number % 2) for number in range(many)], UpdateKind.CACHED)
        self.tell(self.news())

    # What comes.

    def pod(self, number, build):
        any_of = self.chance.choice
        started = 0 if self.calm else any_of((0, 0, self.now, self.now - 3_000, self.now + 50))
        condition = (
            EndpointCondition.READY
            if self.calm
            else any_of(
                (EndpointCondition.READY,) * 6
                + (EndpointCondition.DRAINING, EndpointCondition.GONE)
            )
        )
        return Endpoint(
            f"p{number}",
            any_of("ab"),
            any_of((0.01, 1.0, 100.0)),
            number % 3,
            condition,
            started,
            "m",
            build,
        )

    def listed(self, pods, kind):
        for pod in pods:
            self.pods[pod.address] = pod
            self.checker.listed(
                self.now,
                0,
                pod.address,
                "ready" if pod.condition == EndpointCondition.READY else "gone",
            )
        self.tell(EndpointUpdate(kind, tuple(pods)))

    def news(self, answers=False, outcome=Outcome.DONE):
        build, stage, phase, cap = self.order
        if outcome != Outcome.DONE:
            return ReleaseUpdate(build, None, None, answers, outcome, None, None)
        self.checker.cap(self.now, 0, build, cap, stage, phase=self.PHASES[phase])
        return ReleaseUpdate(build, stage, phase, answers, Outcome.DONE, cap, 0)

    def moved(self):
        build, stage, phase, _ = self.order
        if phase != ReleasePhase.ON_TRIAL:
            self.order = build + 1, 0, ReleasePhase.ON_TRIAL, self.chance.random()
        elif stage + 1 < len(self.terms.stage_fractions) and self.chance.random() < 0.7:
            self.order = build, stage + 1, phase, self.chance.choice((0.0, 0.1, 1.0))
        else:
            self.order = (
                build,
                stage,
                *self.chance.choice(
                    ((ReleasePhase.RELEASED, 1.0), (ReleasePhase.ROLLING_BACK, 0.0))
                ),
            )
        self.tell(self.news())

    def asked(self):
        name, self.number, lane = (
            f"{self.number:x}",
            self.number + 1,
            self.chance.choice(list(self.terms.request_classes)),
        )
        limit = self.terms.request_classes[lane].outer_limit
        left = limit if self.calm else min(limit, self.chance.choice((1, 100, 5_000, 20_000)))
        key = None if self.calm else self.chance.choice((None, "k", "ключ", name))
        self.held[name] = {
            "lane": lane,
            "ends": self.now + left,
            "key": key,
            "over": False,
            "sent": [],
            "streams": 0,
        }
        self.checker.taken(self.now, 0, name, lane, self.now + left)
        self.tell(
            RequestReceived(
                name,
                lane,
                self.chance.choice((None, "tenant é")),
                key,
                left,
                None,
                self.chance.random() < 0.2,
                False,
            )
        )

    def turn(self):
        any_of, build, lane = (
            self.chance.choice,
            self.order[0],
            self.chance.choice(list(self.terms.request_classes)),
        )
        for _ in range(1 if self.calm else any_of((0, 1, 1, 3))):
            self.asked()
        if self.chance.random() < 0.1:
            self.moved()
        if self.calm:
            return
        pod, spread = any_of(list(self.pods)), any_of((1, 100, 5_000))
        what = any_of(
            ("list", "tally", "complaint", "doubt", "unheard", "left", "stream", "", "", "", "", "")
        )
        if what == "list":
            self.listed(
                [
                    self.pod(any_of(range(14)), max(1, build - any_of((-1, 0, 0, 1, 1))))
                    for _ in range(any_of((0, 1, 5)))
                ],
                any_of((UpdateKind.DELTA, UpdateKind.DELTA, UpdateKind.FULL)),
            )
        elif what == "tally":
            self.tell(
                *(
                    FleetCounts(
                        some,
                        lane,
                        any_of((0, 1, 50)),
                        any_of((0, 0, 1, 20)),
                        spread,
                        any_of((0, 5_000)),
                    )
                    for some in (build - 1, build)
                )
            )
        elif what in ("complaint", "doubt", "unheard"):
            self.tell(
                {
                    "complaint": ComplaintReceived(spread, pod, lane),
                    "unheard": LateResponseSeen("k", build - 1),
                    "doubt": SuspicionReported(
                        pod, self.pods[pod].build, self.pods[pod].started, self.now + spread
                    ),
                }[what]
            )
        elif waiting := [name for name, held in self.held.items() if not held["over"]]:
            name = any_of(waiting)
            if what == "left":
                self.over(name, "left")
                self.tell(ClientDisconnected(name))
            elif what == "stream" and len(sent := self.held[name]["sent"]) == 1 and sent[0]["out"]:
                self.held[name]["streams"] = 1
                self.tell(ResponseStarted(name, sent[0]["pod"], 0, 1))

    # What the instance does.

    def over(self, name, how):
        self.held[name]["over"] = True
        self.checker.answered(self.now, 0, name, how)

    def at(self, moment, act, *values):
        self.number += 1
        heapq.heappush(self.queue, (max(moment, self.now), self.number, act, values))

    def tell(self, *events):
        actions = self.made.handle(self.now, events)
        self.said.append(repr(actions))
        for action in actions:
            self.ACTIONS[type(action)](self, action)

    def deliver(self, action):
        held, pod = self.held[action.id], self.pods[action.endpoint]
        self.checker.sent(
            self.now,
            0,
            action.id,
            action.endpoint,
            pod.build,
            lane=held["lane"],
            key=held["key"] or action.id,
        )
        if (
            held["over"]
            or sum(one["out"] for one in held["sent"]) > self.terms.hedging_allowed
            or action.timeout <= 0
        ):
            self.checker._broke(2, self.now, f"{action}: {held}")
        held["sent"].append(
            {"out": True, "pod": action.endpoint, "build": pod.build, "at": self.now}
        )
        if len(held["sent"]) > self.terms.max_attempts:
            self.checker._broke(2, self.now, f"{action}: one too many")
        within = min(action.timeout, held["ends"] - self.now)
        after = self.chance.choice((0, 1, 50, 2_000, 10**6)) if not self.calm else self.step // 8
        outcome = self.chance.choice(
            [Outcome.DONE] * 6 + [one for one in self.RAN if one != Outcome.CANCELLED]
        )
        self.at(
            self.now + min(after, within),
            self.end,
            action.id,
            len(held["sent"]) - 1,
            Outcome.DONE if self.calm else Outcome.TIMED_OUT if after > within else outcome,
        )

    def end(self, name, number, outcome):
        held = self.held[name]
        attempt = held["sent"][number]
        if not attempt["out"]:
            return
        attempt["out"] = False
        self.checker.proved(0, name, number, self.RAN[outcome])
        if (outcome == Outcome.DONE or held["streams"]) and not held["over"]:
            self.over(name, "done")
        if outcome == Outcome.DONE and self.terms.sticky_keys:
            self.checker.key_answered(0, held["key"] or name, attempt["build"])
        load = (
            (float("nan"),) * len(self.terms.load_metrics) if self.chance.random() < 0.1 else None
        )
        self.tell(
            AttemptEnded(
                name, outcome, held["over"], self.now - attempt["at"], attempt["pod"], number, load
            )
        )

    def recall(self, action):
        if self.held[action.id]["sent"][action.number]["out"]:
            self.at(self.now, self.end, action.id, action.number, Outcome.CANCELLED)

    def ask(self, _):
        self.at(
            self.now + 100,
            self.tell,
            EndpointUpdate(self.chance.choice((UpdateKind.FETCH_FAILED, UpdateKind.DELTA)), ()),
        )

    def vote(self, action):
        allowed = {
            Verdict.PROMOTE: self.terms.promotion_mode != PromotionMode.TIMER,
            Verdict.PAUSE: self.terms.promotion_mode == PromotionMode.TIMER,
        }
        if not allowed.get(action.verdict, True):
            self.checker._broke(5, self.now, f"{action} is no vote here")
        self.at(
            self.now + self.chance.choice((1, 500)),
            lambda how: self.tell(self.news(True, how)),
            self.chance.choice(
                (Outcome.DONE, Outcome.DONE, Outcome.REJECTED, Outcome.NOT_SENT, Outcome.TIMED_OUT)
            ),
        )

    ACTIONS = {
        SendAttempt: deliver,
        CancelAttempt: recall,
        SubscribeToEndpoints: ask,
        FetchEndpoints: ask,
        CastVote: vote,
        Reject: lambda self, action: self.over(action.id, "deferred"),
        Fail: lambda self, action: self.over(action.id, "abandoned"),
        SetTimer: lambda self, action: self.at(action.at, self.tell, TimerFired(action.token)),
        LogNote: lambda self, action: None,
    }

    def play(self):
        """Turn by turn; then what is open ends. Gives the breaches, among them what is left over."""
        for turn in range(self.TURNS):
            self.at(self.now + self.step * turn, self.turn)
        last = (
            self.now
            + self.step * self.TURNS
            + max(lane.outer_limit for lane in self.terms.request_classes.values())
            + 1
        )
        while self.queue[0][0] <= last:
            self.now, _, act, values = heapq.heappop(self.queue)
            act(*values)
            yield
        self.checker.ended(last + 100)
        if self.made.requests.open or self.checker.open:
            self.checker._broke(
                1, last, f"open yet: {list(self.made.requests.open)} {list(self.checker.open)}"
            )
        if not any(values and values[0] == TimerFired(0) for _, _, _, values in self.queue):
            self.checker._broke(0, last, "it has stopped looking")


def played(*worlds):
    """What each says, turn and turn about."""
    plays = [world.play() for world in worlds]
    while plays:
        plays = [play for play in plays if next(play, plays) is not plays]
    return [world.said for world in worlds]


class RandomSettingsTest(unittest.TestCase):
    """Settings drawn by seed, always the same ones."""

    SEEDS = range(80)

    def faults(self, seed, calm):
        world = World(seed, calm)
        played(world)
        served = {held["lane"] for held in world.held.values()}
        unserved = [how for how in world.checker.over.values() if how != "done"] if calm else []
        return world.checker.broken[:3], unserved, bool(served)

    def test_random_settings_answer_every_request_once_in_time_and_keep_the_invariants(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(self.faults(seed, False), ([], [], True))

    def test_without_faults_every_class_is_served(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(self.faults(seed, True), ([], [], True))

    def test_two_alternating_instances_decide_as_each_alone(self):
        for seed in self.SEEDS[::6]:
            with self.subTest(seed=seed):
                alone = [played(World(seed))[0], played(World(seed + 1))[0]]
                self.assertEqual(played(World(seed), World(seed + 1)), alone)


class SettingsLimitsTest(unittest.TestCase):
    """The program itself, at all lower edges and at all upper ones together; its classes have times to be served in."""

    def changed(self, edge):
        def change(told):
            for path, values in EDGES.items():
                put(told["settings"], path, values[edge])
            told["settings"].update(ADDED, discovery="automatic")
            if (
                not edge
            ):  # nothing is promised to who gives a connection a tenth of a millisecond to come up
                put(told["settings"], "permissions.connect_timeout", 10**9)
            lane, effects = told["settings"]["categories"][0], LANE_EDGES["semantics"]
            told["settings"]["categories"] = [
                {**lane, "name": name, "semantics": effects[number % 3], "worth": edge + 1}
                for number, name in enumerate(NAMES)
            ]
            put(
                told,
                "limits",
                [{"sockets": 64}, {"cores": 0.05, "sockets": None, "memory_mb": None}][edge],
            )
            for key in ("zone", "kind", "cell", "weight"):
                del told["known"]["servers"][0][key]

        return change

    def test_sidecar_serves_every_class_at_each_limit(self):
        for edge in (0, -1):
            pod = FakeEndpoint()
            self.addCleanup(pod.close)
            with (
                Program(pod.entry("пoд №1 {x}"), change=self.changed(edge)) as program,
                program.client() as client,
            ):
                for number, name in enumerate(NAMES * 2):
                    said = client.request(
                        "SVC.SUBMIT", "k", f"{number:x}", f"c={name},t=té nant,d=5000,k=a", "BODY"
                    )
                    self.assertEqual(said, b"%x" % number, (edge, name))
                program.process.terminate()
                self.assertEqual(program.process.wait(TIMEOUT_SECONDS), 0)
                faults = [line for line in list(program.lines.queue) if b'"level":"error"' in line]
                self.assertEqual(faults, [])


if __name__ == "__main__":
    unittest.main()

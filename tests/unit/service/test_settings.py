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
BATCH_COUNT, BATCH_INTERVAL_NS, TICK_NS = 240, 20_000_000, 100_000
FIRST_BATCH_NS = 5_000_000_000


def example():
    with open(os.path.join(ROOT, "deploy", "example.json"), "rb") as source:
        return orjson.loads(source.read())


def set_path(value, path, new):
    *inner, last = path.split(".")
    for name in inner:
        value = value[int(name)] if isinstance(value, list) else value[name]
    value[int(last) if isinstance(value, list) else last] = new


def changed(path, new):
    document = example()
    set_path(document, path, new)
    return document


def other_settings():
    """Returns settings that differ from SETTINGS in every value, but share class names."""
    settings = copy.deepcopy(SETTINGS)
    settings.update(
        balancers=40, discovery="subscribe", stats={"names": ["rate"], "source": "piggyback"}
    )
    settings["categories"] = [
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
    settings["permissions"].update(
        max_attempts=2, max_retry_after=0, second_copies=True, may_cancel=False, retry_after=False
    )
    settings["rules"].update(
        cold_from=0.05, cold=9_000_000_000, fall_multiple=1.1, overload_for=500_000_000
    )
    settings["extra"].update(
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
    return settings


class ScriptedInstance:
    """An instance with endpoints whose outcomes rotate, whatever other instances do."""

    OUTCOMES = "delivered", "app_error", "delivered", "shed", "delivered", "expired", "dial_failed"

    def __init__(self, name, settings, class_names, zone):
        self.name, self.settings, self.class_names, self.zone = name, settings, class_names, zone
        self.attempt_counts, self.pending_results, self.actions = {}, [], []

    def events(self, batch, table):
        """Returns the lines of a batch; `table` is the number of its endpoint list."""
        if batch == 0:
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
        lines, self.pending_results = self.pending_results, []
        for number in range(batch % 3):
            class_name, request_id = (
                self.class_names[(batch + number) % len(self.class_names)],
                f"{batch:x}a{number}",
            )
            self.attempt_counts[request_id] = 0
            lines.append(
                f"INGRESS {self.name} {request_id} {class_name} - {batch % 5} 800000000 - 0 0"
            )
        return lines

    def receive(self, lines, now):
        for line in lines:
            self.actions.append(line)
            word, _, *values = line.split(" ")
            if word == "TRY":
                request_id, endpoint = values[:2]
                attempt = self.attempt_counts[request_id]
                self.attempt_counts[request_id] += 1
                outcome = self.OUTCOMES[len(self.actions) % len(self.OUTCOMES)]
                self.pending_results.append(
                    f"RESULT {self.name} {request_id} {outcome} {int(outcome == 'delivered')} "
                    f"{15 * TICK_NS} {endpoint} "
                    f"{attempt} -"
                )
            elif word == "NOTIFY_ME":
                self.pending_results.append(f"TICK_DUE {self.name} {values[1]}")
            elif word == "VERDICT":
                self.pending_results.append(
                    f"ROLLOUT_STATE {self.name} {values[0]} {values[1]} 0 1 delivered 0.5 0"
                )


def run_batches(*scripted):
    """Runs the instances in one host; returns the actions of each."""
    host = Host()
    for batch in range(BATCH_COUNT):
        lines = [
            line
            for table, instance in enumerate(scripted)
            for line in instance.events(batch, table)
        ]
        replies = host.batch((FIRST_BATCH_NS + batch * BATCH_INTERVAL_NS) // TICK_NS, lines)
        for instance in scripted:
            instance.receive(
                [line for line in replies if line.split(" ")[1] == instance.name], batch
            )
    return [instance.actions for instance in scripted]


def instances(name="sidecar-2"):
    """Returns two instances whose settings have nothing in common."""
    return (
        ScriptedInstance("sidecar-1", SETTINGS, ("read", "mark", "pay"), "10.0.0.1"),
        ScriptedInstance(name, other_settings(), ("pay", "weigh", "read"), "10.0.0.2"),
    )


def run_in_process(index, name="sidecar-2"):
    """Returns the actions of one instance in a process of its own, free of state left by another."""
    code = (
        "import json; from tests.unit.service.test_settings import instances, run_batches; "
        f"print(json.dumps(run_batches(instances({name!r})[{index}])))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True, timeout=60
    )
    return json.loads(result.stdout)[0]


class InstanceIsolationTest(unittest.TestCase):
    def test_two_instances_in_one_process_decide_as_each_alone(self):
        expected = [run_in_process(0), run_in_process(1)]
        self.assertEqual(run_batches(*instances()), expected)
        self.assertEqual(run_batches(*reversed(instances())), expected[::-1])
        for actions in expected:  # more than one kind of action, and no fault
            self.assertGreater(len({line.split(" ")[0] for line in actions}), 2)
            self.assertFalse([line for line in actions if line.startswith("FAULT")])
        self.assertNotEqual(*[[line.split(" ")[0] for line in actions] for actions in expected])

    def test_restarted_instance_keeps_none_of_its_previous_settings(self):
        first, second = instances("sidecar-1")
        host = Host()
        for batch in range(50):
            first.receive(
                host.batch(
                    (FIRST_BATCH_NS + batch * BATCH_INTERVAL_NS) // TICK_NS, first.events(batch, 0)
                ),
                batch,
            )
        host.batch((FIRST_BATCH_NS + 49 * BATCH_INTERVAL_NS) // TICK_NS, [f"KILLED {first.name}"])
        for batch in range(BATCH_COUNT):
            second.receive(
                host.batch(
                    (FIRST_BATCH_NS + batch * BATCH_INTERVAL_NS) // TICK_NS, second.events(batch, 0)
                ),
                batch,
            )
        self.assertEqual(second.actions, run_in_process(1, "sidecar-1"))


class ReloadTest(unittest.TestCase):
    def reload(self, document):
        network = Network()
        network.proxy.start = configuration.parse(example(), 0)
        return network, network.proxy.reconfigure(configuration.parse(document, 0))

    def test_reload_names_every_changed_key_that_needs_a_restart(self):
        cases = {
            "name": ("name", "other"),
            "listen": ("listen", "127.0.0.1:6380"),
            "seed": ("seed", "77"),
            "limits.sockets": ("limits.sockets", 512),
        }
        for key, (path, new) in cases.items():
            self.assertEqual(self.reload(changed(path, new))[1], [key])
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
            self.assertEqual(self.reload(changed(f"settings.{path}", new))[1], ["settings"], path)
        document = {**changed("name", "other"), "settings": other_settings(), "seed": "1"}
        self.assertEqual(self.reload(document)[1], ["name", "seed", "settings"])

    def test_reload_does_not_name_keys_without_effect(self):
        """Addresses are applied; the list and the news describe the state at start; the rest is not read."""
        for path, new in {
            "discovery": "127.0.0.1:8501",
            "deployer.address": "127.0.0.1:6401",
            "known": {"version": 8, "full": True, "servers": []},
            "deployer.news.version": 42,
            "limits.memory_mb": 32,
            "limits.cores": 0.5,
            "settings.unheard": 1,
        }.items():
            self.assertEqual(self.reload(changed(path, new))[1], [], path)

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
    def assert_rejected(self, document, key):
        with self.assertRaises(ConfigurationError) as caught:
            configuration.parse(document, 0)
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
                self.assert_rejected(changed(f"settings.{path}", number), named)
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
            self.assert_rejected(changed(f"settings.{path}", 0), path)
        for path in (
            "categories.0.promise",
            "rules.cold",
            "extra.window",
            "extra.vote_life",
            "balancers",
        ):
            for large in (1e300, 2.0**64, 10**19):
                self.assert_rejected(changed(f"settings.{path}", large), path)
        for small in (1e-320, 1e-9):
            self.assert_rejected(changed("settings.extra.calls_per_s", small), "extra.calls_per_s")

    def test_error_names_missing_duplicate_and_unnamed_classes(self):
        self.assert_rejected(changed("settings.categories", []), "categories.count")
        self.assert_rejected(changed("settings.categories.2.name", "read"), "categories.2.name")
        for name in ("", None, "-"):
            self.assert_rejected(changed("settings.categories.1.name", name), "categories.1.name")

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
                self.assert_rejected(changed(path, text), f"{path}: is not an address")

    def test_error_names_deep_nesting_and_values_in_place_of_objects(self):
        deep = {}
        for _ in range(1020):
            deep = {"a": deep}
        self.assert_rejected(changed("settings.deep", deep), "settings: are nested too deeply")
        for path in ("limits", "deployer"):
            for other in (5, "x", [], False):
                self.assert_rejected(changed(path, other), f"{path}: is not an object")
        self.assert_rejected(changed("known.servers.0.started_ms", 1e308), "known")

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
        document = changed("settings.categories.1.name", "Read")
        request_classes = configuration.parse(document, 0).settings.request_classes
        self.assertEqual(
            (request_classes["read"].idempotency, request_classes["Read"].idempotency),
            (Idempotency.IDEMPOTENT, Idempotency.KEYED),
        )

    def test_thousands_of_classes_and_zero_deduplication_window(self):
        document = example()
        document["settings"]["categories"] = [
            {**document["settings"]["categories"][1], "name": f"c{number}", "window": 0}
            for number in range(5000)
        ]
        settings = configuration.parse(document, 0).settings
        self.assertEqual(
            (len(settings.request_classes), settings.request_classes["c4999"].deduplication_window),
            (5000, 0),
        )

    def test_equivalent_values_are_read_as_equal(self):
        """Integers written as floats, no required votes, and added keys that resemble paths."""
        original, expected = example()["settings"], configuration.parse(example(), 0)
        for *path, key, new in (
            ("extra", "window", float(original["extra"]["window"])),
            ("balancers", 1.0),
            ("extra", "votes_to_revert", 0),
            ("balancers=9", 9),
            ("extra.window", 5),
            ("extra", "window=1", []),
            ("extra.window", {"a": None}),
            ("added", None),
        ):
            document = example()
            (document["settings"][path[0]] if path else document["settings"])[key] = new
            self.assertEqual(configuration.parse(document, 0)[-2:], expected[-2:], (path, key, new))

    def test_unused_settings_are_optional(self):
        document = example()
        document["settings"].update(
            stats={}, permissions={**document["settings"]["permissions"], "retry_after": False}
        )
        del (
            document["settings"]["rules"]["ask_within"],
            document["settings"]["permissions"]["max_retry_after"],
        )
        for category in document["settings"]["categories"]:
            if category["semantics"] != "deduplicated":
                del category["key_scope"], category["window"]
        self.assertEqual(
            list(configuration.parse(document, 0).settings.request_classes), ["read", "mark", "pay"]
        )
        for path, new, named in (
            ("discovery", "subscribe", "ask_within"),
            ("permissions.retry_after", True, "max_ret"),
            ("categories.0.semantics", "deduplicated", "categories.0.key_scope"),
        ):
            variant = copy.deepcopy(document)
            set_path(variant["settings"], path, new)
            with self.assertRaisesRegex(ConfigurationError, named):
                configuration.parse(variant, 0)

    def test_zero_initial_fraction_or_warmup_duration_leaves_some_capacity(self):
        for warmup_duration, initial_fraction in ((0, 0.3), (0, 0.0), (50_000, 0.0)):
            endpoint = EndpointState(
                Endpoint("p", "a", 1.0, 0, EndpointCondition.READY, 70, "m", 1), 10
            )
            settings = configuration.parse(example(), 0).settings._replace(
                warmup_duration=warmup_duration, warmup_initial_fraction=initial_fraction
            )
            for now in (20, 70, 71):  # the clock may be behind the endpoint's
                self.assertGreater(
                    endpoint.warmup_fraction(now, settings),
                    0,
                    (warmup_duration, initial_fraction, now),
                )

    def test_short_window_counts_nothing_older(self):
        for span in (1, 7, 150):
            for span_back in (120, 30, None):
                window = SlidingWindow(span, 120)
                window.add(1000)
                later = 1000 + span + window.bucket_width
                self.assertEqual(
                    (window.total(1000, False, span_back), window.total(later, False, span_back)),
                    (1, 0),
                    span,
                )


# Valid values including both limits: times in nanoseconds, fractions, counts.
SETTING_EDGES = {
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
    "rules.drain_grace": (0, 10**5, 25 * 10**7, 10**10),
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
CLASS_EDGES = {
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
UNKNOWN_SETTINGS = {
    "balancers=1": 0,
    "extra.window": [],
    "parties": [{"name": "é", "share": 0.0}],
    "zones": [],
    "tier": None,
}


def random_configuration(random_source):
    """Returns a valid configuration with random settings, at or between their limits."""
    document = example()
    for path, values in SETTING_EDGES.items():
        set_path(document["settings"], path, random_source.choice(values))
    overrides = random_source.choice(
        [{}, {}, *({"semantics": semantics} for semantics in CLASS_EDGES["semantics"])]
    )
    document["settings"]["categories"] = [
        {
            **{key: random_source.choice(values) for key, values in CLASS_EDGES.items()},
            "name": name,
            **overrides,
        }
        for name in [
            *random_source.sample(NAMES, random_source.choice((1, 2, 14))),
            *map(str, range(5, random_source.choice((5, 21)))),
        ]
    ]
    document["settings"].update(UNKNOWN_SETTINGS if random_source.random() < 0.5 else {})
    return orjson.loads(orjson.dumps(document))


class RandomInstance:
    """An engine with random settings and events of every kind, in simulated time, under the checker.

    If `calm`, nothing fails, and each request is sent after the response to the previous one.
    """

    TURNS, GRACE_TICKS = 120, 2_500
    MAY_HAVE_RUN_BY_OUTCOME = {
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
        self.random, self.calm, self.now, self.number, self.queue = (
            random.Random(seed),
            calm,
            10**9,
            0,
            [],
        )
        self.settings = settings = configuration.parse(
            random_configuration(self.random), 0
        ).settings
        self.checker = InvariantChecker(
            settings.request_classes,
            self.GRACE_TICKS,
            settings.exposure_window,
            settings.exposure_allowance,
            settings.exposure_by_class,
            guarded_stages=settings.guarded_stages,
        )
        self.engine, self.endpoints, self.requests, self.action_log = (
            DecisionEngine(settings, seed, self.now),
            {},
            {},
            [],
        )
        self.release = 1, 0, ReleasePhase.RELEASED, 1.0
        min_objective = min(
            request_class.latency_objective for request_class in settings.request_classes.values()
        )
        self.step = (
            min(2_000, min_objective) if calm else self.random.choice((1, 100, 2_000, 5_000))
        )
        endpoint_count = self.random.choice((1, 4, 12)) if not calm else 8
        self.update_endpoints(
            [self.random_endpoint(number, 1 + number % 2) for number in range(endpoint_count)],
            UpdateKind.CACHED,
        )
        self.handle(self.release_update())

    # Events.

    def random_endpoint(self, number, build):
        choose = self.random.choice
        started = 0 if self.calm else choose((0, 0, self.now, self.now - 3_000, self.now + 50))
        condition = (
            EndpointCondition.READY
            if self.calm
            else choose(
                (EndpointCondition.READY,) * 6
                + (EndpointCondition.DRAINING, EndpointCondition.GONE)
            )
        )
        return Endpoint(
            f"p{number}",
            choose("ab"),
            choose((0.01, 1.0, 100.0)),
            number % 3,
            condition,
            started,
            "m",
            build,
        )

    def update_endpoints(self, endpoints, kind):
        for endpoint in endpoints:
            self.endpoints[endpoint.address] = endpoint
            self.checker.record_endpoint_state(
                self.now,
                0,
                endpoint.address,
                "ready" if endpoint.condition == EndpointCondition.READY else "gone",
            )
        self.handle(EndpointUpdate(kind, tuple(endpoints)))

    def release_update(self, answers=False, outcome=Outcome.DONE):
        build, stage, phase, cap = self.release
        if outcome != Outcome.DONE:
            return ReleaseUpdate(build, None, None, answers, outcome, None, None)
        self.checker.record_release_state(self.now, 0, build, cap, stage, phase=self.PHASES[phase])
        return ReleaseUpdate(build, stage, phase, answers, Outcome.DONE, cap, 0)

    def advance_release(self):
        build, stage, phase, _ = self.release
        if phase != ReleasePhase.ON_TRIAL:
            self.release = build + 1, 0, ReleasePhase.ON_TRIAL, self.random.random()
        elif stage + 1 < len(self.settings.stage_fractions) and self.random.random() < 0.7:
            self.release = build, stage + 1, phase, self.random.choice((0.0, 0.1, 1.0))
        else:
            self.release = (
                build,
                stage,
                *self.random.choice(
                    ((ReleasePhase.RELEASED, 1.0), (ReleasePhase.ROLLING_BACK, 0.0))
                ),
            )
        self.handle(self.release_update())

    def send_request(self):
        request_id, self.number, class_name = (
            f"{self.number:x}",
            self.number + 1,
            self.random.choice(list(self.settings.request_classes)),
        )
        limit = self.settings.request_classes[class_name].outer_limit
        time_left = limit if self.calm else min(limit, self.random.choice((1, 100, 5_000, 20_000)))
        key = None if self.calm else self.random.choice((None, "k", "ключ", request_id))
        self.requests[request_id] = {
            "request_class": class_name,
            "expires_at": self.now + time_left,
            "key": key,
            "closed": False,
            "attempts": [],
            "streaming": 0,
        }
        self.checker.record_request(self.now, 0, request_id, class_name, self.now + time_left)
        self.handle(
            RequestReceived(
                request_id,
                class_name,
                self.random.choice((None, "tenant é")),
                key,
                time_left,
                None,
                self.random.random() < 0.2,
                False,
            )
        )

    def turn(self):
        choose, build, class_name = (
            self.random.choice,
            self.release[0],
            self.random.choice(list(self.settings.request_classes)),
        )
        for _ in range(1 if self.calm else choose((0, 1, 1, 3))):
            self.send_request()
        if self.random.random() < 0.1:
            self.advance_release()
        if self.calm:
            return
        endpoint, spread = choose(list(self.endpoints)), choose((1, 100, 5_000))
        event = choose(
            (
                "listing",
                "fleet counts",
                "complaint",
                "suspicion",
                "late response",
                "disconnect",
                "stream",
                "",
                "",
                "",
                "",
                "",
            )
        )
        if event == "listing":
            self.update_endpoints(
                [
                    self.random_endpoint(
                        choose(range(14)), max(1, build - choose((-1, 0, 0, 1, 1)))
                    )
                    for _ in range(choose((0, 1, 5)))
                ],
                choose((UpdateKind.DELTA, UpdateKind.DELTA, UpdateKind.FULL)),
            )
        elif event == "fleet counts":
            self.handle(
                *(
                    FleetCounts(
                        some,
                        class_name,
                        choose((0, 1, 50)),
                        choose((0, 0, 1, 20)),
                        spread,
                        choose((0, 5_000)),
                    )
                    for some in (build - 1, build)
                )
            )
        elif event in ("complaint", "suspicion", "late response"):
            self.handle(
                {
                    "complaint": ComplaintReceived(spread, endpoint, class_name),
                    "late response": LateResponseSeen("k", build - 1),
                    "suspicion": SuspicionReported(
                        endpoint,
                        self.endpoints[endpoint].build,
                        self.endpoints[endpoint].started,
                        self.now + spread,
                    ),
                }[event]
            )
        elif waiting := [
            request_id for request_id, request in self.requests.items() if not request["closed"]
        ]:
            request_id = choose(waiting)
            if event == "disconnect":
                self.close(request_id, "left")
                self.handle(ClientDisconnected(request_id))
            elif (
                event == "stream"
                and len(attempts := self.requests[request_id]["attempts"]) == 1
                and attempts[0]["in_flight"]
            ):
                self.requests[request_id]["streaming"] = 1
                self.handle(ResponseStarted(request_id, attempts[0]["endpoint"], 0, 1))

    # Actions of the engine.

    def close(self, request_id, outcome):
        self.requests[request_id]["closed"] = True
        self.checker.record_answer(self.now, 0, request_id, outcome)

    def schedule(self, moment, callback, *values):
        self.number += 1
        heapq.heappush(self.queue, (max(moment, self.now), self.number, callback, values))

    def handle(self, *events):
        actions = self.engine.handle(self.now, events)
        self.action_log.append(repr(actions))
        for action in actions:
            self.ACTIONS[type(action)](self, action)

    def deliver(self, action):
        request, endpoint = self.requests[action.id], self.endpoints[action.endpoint]
        self.checker.record_attempt(
            self.now,
            0,
            action.id,
            action.endpoint,
            endpoint.build,
            lane=request["request_class"],
            key=request["key"] or action.id,
        )
        if (
            request["closed"]
            or sum(attempt["in_flight"] for attempt in request["attempts"])
            > self.settings.hedging_allowed
            or action.timeout <= 0
        ):
            self.checker._add_violation(2, self.now, f"{action}: {request}")
        request["attempts"].append(
            {
                "in_flight": True,
                "endpoint": action.endpoint,
                "build": endpoint.build,
                "started_at": self.now,
            }
        )
        if len(request["attempts"]) > self.settings.max_attempts:
            self.checker._add_violation(2, self.now, f"{action}: exceeds max_attempts")
        within = min(action.timeout, request["expires_at"] - self.now)
        after = self.random.choice((0, 1, 50, 2_000, 10**6)) if not self.calm else self.step // 8
        outcome = self.random.choice(
            [Outcome.DONE] * 6
            + [other for other in self.MAY_HAVE_RUN_BY_OUTCOME if other != Outcome.CANCELLED]
        )
        self.schedule(
            self.now + min(after, within),
            self.end,
            action.id,
            len(request["attempts"]) - 1,
            Outcome.DONE if self.calm else Outcome.TIMED_OUT if after > within else outcome,
        )

    def end(self, request_id, number, outcome):
        request = self.requests[request_id]
        attempt = request["attempts"][number]
        if not attempt["in_flight"]:
            return
        attempt["in_flight"] = False
        self.checker.record_attempt_end(
            0, request_id, number, self.MAY_HAVE_RUN_BY_OUTCOME[outcome]
        )
        if (outcome == Outcome.DONE or request["streaming"]) and not request["closed"]:
            self.close(request_id, "done")
        if outcome == Outcome.DONE and self.settings.sticky_keys:
            self.checker.record_key_answer(0, request["key"] or request_id, attempt["build"])
        load = (
            (float("nan"),) * len(self.settings.load_metrics)
            if self.random.random() < 0.1
            else None
        )
        self.handle(
            AttemptEnded(
                request_id,
                outcome,
                request["closed"],
                self.now - attempt["started_at"],
                attempt["endpoint"],
                number,
                load,
            )
        )

    def cancel(self, action):
        if self.requests[action.id]["attempts"][action.number]["in_flight"]:
            self.schedule(self.now, self.end, action.id, action.number, Outcome.CANCELLED)

    def fetch(self, _):
        self.schedule(
            self.now + 100,
            self.handle,
            EndpointUpdate(self.random.choice((UpdateKind.FETCH_FAILED, UpdateKind.DELTA)), ()),
        )

    def vote(self, action):
        allowed = {
            Verdict.PROMOTE: self.settings.promotion_mode != PromotionMode.TIMER,
            Verdict.PAUSE: self.settings.promotion_mode == PromotionMode.TIMER,
        }
        if not allowed.get(action.verdict, True):
            self.checker._add_violation(
                5, self.now, f"{action} is not allowed with this promotion mode"
            )
        self.schedule(
            self.now + self.random.choice((1, 500)),
            lambda outcome: self.handle(self.release_update(True, outcome)),
            self.random.choice(
                (Outcome.DONE, Outcome.DONE, Outcome.REJECTED, Outcome.NOT_SENT, Outcome.TIMED_OUT)
            ),
        )

    ACTIONS = {
        SendAttempt: deliver,
        CancelAttempt: cancel,
        SubscribeToEndpoints: fetch,
        FetchEndpoints: fetch,
        CastVote: vote,
        Reject: lambda self, action: self.close(action.id, "deferred"),
        Fail: lambda self, action: self.close(action.id, "abandoned"),
        SetTimer: lambda self, action: self.schedule(
            action.at, self.handle, TimerFired(action.token)
        ),
        LogNote: lambda self, action: None,
    }

    def play(self):
        """Runs all turns, then ends what is in flight; open requests and a missing tick are violations."""
        for turn in range(self.TURNS):
            self.schedule(self.now + self.step * turn, self.turn)
        last = (
            self.now
            + self.step * self.TURNS
            + max(
                request_class.outer_limit
                for request_class in self.settings.request_classes.values()
            )
            + 1
        )
        while self.queue[0][0] <= last:
            self.now, _, callback, values = heapq.heappop(self.queue)
            callback(*values)
            yield
        self.checker.record_day_end(last + 100)
        if self.engine.requests.open or self.checker.open_requests:
            self.checker._add_violation(
                1,
                last,
                f"still open: {list(self.engine.requests.open)} {list(self.checker.open_requests)}",
            )
        if not any(values and values[0] == TimerFired(0) for _, _, _, values in self.queue):
            self.checker._add_violation(0, last, "the tick timer is not set")


def run_alternately(*random_instances):
    """Runs the instances alternately; returns the actions of each."""
    runs = [instance.play() for instance in random_instances]
    while runs:
        runs = [run for run in runs if next(run, runs) is not runs]
    return [instance.action_log for instance in random_instances]


class RandomSettingsTest(unittest.TestCase):
    """Settings from fixed seeds."""

    SEEDS = range(80)

    def faults(self, seed, calm):
        instance = RandomInstance(seed, calm)
        run_alternately(instance)
        served = {request["request_class"] for request in instance.requests.values()}
        unserved = (
            [outcome for outcome in instance.checker.answers.values() if outcome != "done"]
            if calm
            else []
        )
        return instance.checker.violations[:3], unserved, bool(served)

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
                expected = [
                    run_alternately(RandomInstance(seed))[0],
                    run_alternately(RandomInstance(seed + 1))[0],
                ]
                self.assertEqual(
                    run_alternately(RandomInstance(seed), RandomInstance(seed + 1)), expected
                )


class SettingsLimitsTest(unittest.TestCase):
    """The sidecar process with all settings at their lower, then at their upper limits.

    The times of its classes are excepted, so that requests can be served.
    """

    def change_settings(self, edge):
        def change(document):
            for path, values in SETTING_EDGES.items():
                set_path(document["settings"], path, values[edge])
            document["settings"].update(UNKNOWN_SETTINGS, discovery="automatic")
            if not edge:  # a connection timeout of 0.1 ms would let no request through
                set_path(document["settings"], "permissions.connect_timeout", 10**9)
            category, semantics = document["settings"]["categories"][0], CLASS_EDGES["semantics"]
            document["settings"]["categories"] = [
                {
                    **category,
                    "name": class_name,
                    "semantics": semantics[number % 3],
                    "worth": edge + 1,
                }
                for number, class_name in enumerate(NAMES)
            ]
            set_path(
                document,
                "limits",
                [{"sockets": 64}, {"cores": 0.05, "sockets": None, "memory_mb": None}][edge],
            )
            for key in ("zone", "kind", "cell", "weight"):
                del document["known"]["servers"][0][key]

        return change

    def test_sidecar_serves_every_class_at_each_limit(self):
        for edge in (0, -1):
            endpoint = FakeEndpoint()
            self.addCleanup(endpoint.close)
            with (
                Program(endpoint.entry("пoд №1 {x}"), change=self.change_settings(edge)) as program,
                program.client() as client,
            ):
                for number, class_name in enumerate(NAMES * 2):
                    response = client.request(
                        "SVC.SUBMIT",
                        "k",
                        f"{number:x}",
                        f"c={class_name},t=té nant,d=5000,k=a",
                        "BODY",
                    )
                    self.assertEqual(response, b"%x" % number, (edge, class_name))
                program.process.terminate()
                self.assertEqual(program.process.wait(TIMEOUT_SECONDS), 0)
                faults = [line for line in list(program.lines.queue) if b'"level":"error"' in line]
                self.assertEqual(faults, [])


if __name__ == "__main__":
    unittest.main()

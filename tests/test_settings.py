"""Settings: none reaches another instance, none that differs is passed over, none is taken that can't be used."""

import copy
import json
import os
import subprocess
import sys
import tempfile
import unittest

import orjson

from tests.helpers import SETTINGS
from tests.test_sidecar import Network
from thymeknot import interface as i
from thymeknot.benchlink import Host
from thymeknot.records import Known, Ring
from thymeknot.service import configuration
from thymeknot.service.configuration import Faulty, pairs

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
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
    told.update(balancers=40, discovery="subscribe", stats={"names": ["rate"], "source": "piggyback"})
    told["categories"] = [
        {"name": name, "semantics": effect, "key_scope": scope, "window": 700_000_000, "promise": 400_000_000,
         "give_up": 900_000_000, "worth": worth, "late_worth": 0.0}
        for name, effect, scope, worth in (("read", "at_most_once", "all", 9.0), ("pay", "idempotent", "all", 0.1),
                                           ("weigh", "deduplicated", "cell", 2.0))]
    told["permissions"].update(max_attempts=2, max_retry_after=0, second_copies=True, may_cancel=False,
                               retry_after=False)
    told["rules"].update(cold_from=0.05, cold=9_000_000_000, fall_multiple=1.1, overload_for=500_000_000)
    told["extra"].update(window=900_000_000, allowance=1.0, guarded_stages=1, waves=[0.1, 0.2, 1.0],
                         counts="each_class", keys_stay=False, swap="replace", decided_by="first_voice",
                         vote_life=1_500_000_000, calls_per_s=8.0)
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
            pods = [f"ENTRY {self.zone} 1 0 on - {self.zone}:{port} m {41 + port % 2}" for port in range(5)]
            return [f"NEW_INSTANCE {self.name} 77 " + " ".join(pairs(self.settings)),
                    f"CENSUS {table} {len(pods)}", *pods, f"ANNOUNCE {self.name} cached 1 {table}",
                    f"ROLLOUT_STATE {self.name} 42 0 0 0 delivered 0.5 0"]
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
                self.answers.append(f"RESULT {self.name} {name} {how} {int(how == 'delivered')} {15 * UNIT} {pod} "
                                    f"{attempt} -")
            elif word == "NOTIFY_ME":
                self.answers.append(f"TICK_DUE {self.name} {values[1]}")
            elif word == "VERDICT":
                self.answers.append(f"ROLLOUT_STATE {self.name} {values[0]} {values[1]} 0 1 delivered 0.5 0")


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
    return (Played("sidecar-1", SETTINGS, ("read", "mark", "pay"), "10.0.0.1"),
            Played(name, other_settings(), ("pay", "weigh", "read"), "10.0.0.2"))


def alone(place, name="sidecar-2"):
    """What one of them does in a process of its own: nothing that another left in this one can reach it."""
    code = f"import json; from tests.test_settings import made, play; print(json.dumps(play(made({name!r})[{place}])))"
    ended = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True, timeout=60)
    return json.loads(ended.stdout)[0]


class Interleaved(unittest.TestCase):
    def test_two_with_other_settings_in_one_process_decide_as_each_alone(self):
        expected = [alone(0), alone(1)]
        self.assertEqual(play(*made()), expected)
        self.assertEqual(play(*reversed(made())), expected[::-1])
        for actions in expected:  # it decided on more than one thing, and never failed
            self.assertGreater(len({line.split(" ")[0] for line in actions}), 2)
            self.assertFalse([line for line in actions if line.startswith("FAULT")])
        self.assertNotEqual(*[[line.split(" ")[0] for line in actions] for actions in expected])

    def test_one_that_starts_anew_with_other_settings_keeps_nothing_of_the_former(self):
        first, second = made("sidecar-1")
        host = Host()
        for at in range(50):
            first.hear(host.batch((FIRST_BATCH + at * STEP) // UNIT, first.events(at, 0)), at)
        host.batch((FIRST_BATCH + 49 * STEP) // UNIT, [f"KILLED {first.name}"])
        for at in range(BATCHES):
            second.hear(host.batch((FIRST_BATCH + at * STEP) // UNIT, second.events(at, 0)), at)
        self.assertEqual(second.actions, alone(1, "sidecar-1"))


class Reloaded(unittest.TestCase):
    def later(self, told):
        network = Network()
        network.sidecar.start = configuration.read(example(), 0)
        return network, network.sidecar.reconfigure(configuration.read(told, 0))

    def test_each_key_that_waits_for_a_start_is_named(self):
        cases = {"name": ("name", "other"), "listen": ("listen", "127.0.0.1:6380"), "seed": ("seed", "77"),
                 "limits.sockets": ("limits.sockets", 512)}
        for key, (path, new) in cases.items():
            self.assertEqual(self.later(changed(path, new))[1], [key])
        settings = {"categories.0.name": "other", "categories.1.window": 1, "permissions.max_attempts": 1,
                    "permissions.conn_idle": 1_000_000, "permissions.connect_timeout": 1_000_000,
                    "permissions.max_open": 7, "rules.cold": 0, "extra.calls_per_s": 8, "discovery": "subscribe",
                    "balancers": 7, "stats.names": ["rate"]}
        for path, new in settings.items():
            self.assertEqual(self.later(changed(f"settings.{path}", new))[1], ["settings"], path)
        told = {**changed("name", "other"), "settings": other_settings(), "seed": "1"}
        self.assertEqual(self.later(told)[1], ["name", "seed", "settings"])

    def test_what_nothing_waits_for_is_not_named(self):
        """Addresses are taken up; the list and the news told how things stood; the rest the program does not read."""
        for path, new in {"discovery": "127.0.0.1:8501", "deployer.address": "127.0.0.1:6401",
                          "known": {"version": 8, "full": True, "servers": []}, "deployer.news.version": 42,
                          "limits.memory_mb": 32, "limits.cores": 0.5, "settings.unheard": 1}.items():
            self.assertEqual(self.later(changed(path, new))[1], [], path)

    def test_the_settings_it_started_with_stay_whole(self):
        network = Network()
        sidecar = network.sidecar
        before = sidecar.terms, sidecar.reach, sidecar.balancer.terms, sidecar.most_clients
        sidecar.reconfigure(configuration.read({**example(), "settings": other_settings()}, 0))
        self.assertEqual((sidecar.terms, sidecar.reach, sidecar.balancer.terms, sidecar.most_clients), before)
        for was, stays in zip(before, (sidecar.terms, sidecar.reach, sidecar.balancer.terms)):
            self.assertIs(was, stays)


class Refused(unittest.TestCase):
    def refuse(self, told, key):
        with self.assertRaises(Faulty) as caught:
            configuration.read(told, 0)
        self.assertIn(key, str(caught.exception))

    def test_numbers_that_are_none_or_out_of_bounds_are_named(self):
        numbers = ["nan", "inf", "-inf", -1, -10**18, "", None, True, [], "9" * 5000]
        for path in ("balancers", "categories.0.give_up", "categories.0.worth", "permissions.max_open",
                     "rules.cold_from", "rules.fall_multiple", "rules.overload_for", "extra.window",
                     "extra.allowance", "extra.vote_life", "extra.calls_per_s", "extra.waves.1"):
            for number in numbers:
                named = path.removesuffix(".1") if path.endswith("waves.1") else path
                self.refuse(changed(f"settings.{path}", number), named)
        for path in ("categories.0.promise", "categories.0.give_up", "extra.window", "extra.vote_life",
                     "extra.vote_wait", "rules.overload_for", "permissions.conn_idle", "permissions.max_attempts",
                     "extra.calls_per_s", "balancers"):
            self.refuse(changed(f"settings.{path}", 0), path)
        for small in (1e-320, 1e-9):
            self.refuse(changed("settings.extra.calls_per_s", small), "extra.calls_per_s")

    def test_no_class_a_class_twice_and_one_without_a_name_are_named(self):
        self.refuse(changed("settings.categories", []), "categories.count")
        self.refuse(changed("settings.categories.2.name", "read"), "categories.2.name")
        for name in ("", None, "-"):
            self.refuse(changed("settings.categories.1.name", name), "categories.1.name")

    def test_addresses_that_nothing_can_be_reached_at_are_named(self):
        for path in ("listen", "discovery", "deployer.address"):
            for text in ("x:²", "²", "x:" + "9" * 5000, "x:65536", "x:0", ":80", "a" * 300 + ":80", "\0:80", "a b\n:8"):
                self.refuse(changed(path, text), f"{path}: is no address")

    def test_what_is_nested_too_deep_or_stands_in_place_of_an_object_is_named(self):
        deep = {}
        for _ in range(1020):
            deep = {"a": deep}
        self.refuse(changed("settings.deep", deep), "settings: are nested too deep")
        for path in ("limits", "deployer"):
            for other in (5, "x", [], False):
                self.refuse(changed(path, other), f"{path}: is no object")
        self.refuse(changed("known.servers.0.started_ms", 1e308), "known")

    def test_a_file_that_is_no_text_of_json_is_named(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            for content in (b"", b"\xff", b"NaN", b"[]", b"[" * 5000, json.dumps(example()).encode()[:-1]):
                with open(path, "wb") as target:
                    target.write(content)
                with self.assertRaises(Faulty):
                    configuration.load({"NODE_CONFIG": path}, 0)
            with self.assertRaises(Faulty):
                configuration.load({"NODE_CONFIG": folder}, 0)


class Taken(unittest.TestCase):
    def test_names_that_differ_in_case_are_classes_of_their_own(self):
        told = changed("settings.categories.1.name", "Read")
        lanes = configuration.read(told, 0).terms.lanes
        self.assertEqual((lanes["read"].effect, lanes["Read"].effect), (i.RETRIABLE, i.FINGERPRINTED))

    def test_thousands_of_classes_and_no_time_for_repeats(self):
        told = example()
        told["settings"]["categories"] = [{**told["settings"]["categories"][1], "name": f"c{number}", "window": 0}
                                          for number in range(5000)]
        read = configuration.read(told, 0).terms
        self.assertEqual((len(read.lanes), read.lanes["c4999"].window), (5000, 0))

    def test_what_means_the_same_is_read_as_the_same(self):
        """Whole numbers as others write them, no voter needed, and keys added that could pass for others."""
        same, expected = example()["settings"], configuration.read(example(), 0)
        for *path, key, new in (("extra", "window", float(same["extra"]["window"])), ("balancers", 1.0),
                                ("extra", "votes_to_revert", 0), ("balancers=9", 9), ("extra.window", 5),
                                ("extra", "window=1", []), ("extra.window", {"a": None}), ("added", None)):
            told = example()
            (told["settings"][path[0]] if path else told["settings"])[key] = new
            self.assertEqual(configuration.read(told, 0)[-2:], expected[-2:], (path, key, new))

    def test_what_no_decision_looks_at_may_be_left_out(self):
        told = example()
        told["settings"].update(stats={}, permissions={**told["settings"]["permissions"], "retry_after": False})
        del told["settings"]["rules"]["ask_within"], told["settings"]["permissions"]["max_retry_after"]
        for lane in told["settings"]["categories"]:
            if lane["semantics"] != "deduplicated":
                del lane["key_scope"], lane["window"]
        self.assertEqual(list(configuration.read(told, 0).terms.lanes), ["read", "mark", "pay"])
        for path, new, named in (("discovery", "subscribe", "ask_within"), ("permissions.retry_after", True, "max_ret"),
                                 ("categories.0.semantics", "deduplicated", "categories.0.key_scope")):
            asked = copy.deepcopy(told)
            put(asked["settings"], path, new)
            with self.assertRaisesRegex(Faulty, named):
                configuration.read(asked, 0)

    def test_a_pod_that_starts_at_nothing_or_at_once_has_some_capacity(self):
        for cold, cold_from in ((0, 0.3), (0, 0.0), (50_000, 0.0)):
            known = Known(i.Pod("p", "a", 1.0, 0, i.READY, 70, "m", 1), 10)
            terms = configuration.read(example(), 0).terms._replace(cold=cold, cold_from=cold_from)
            for now in (20, 70, 71):  # the clock may be behind the pod's
                self.assertGreater(known.share(now, terms), 0, (cold, cold_from, now))

    def test_a_short_span_counts_nothing_older(self):
        for span in (1, 7, 150):
            for back in (120, 30, None):
                ring = Ring(span, 120)
                ring.add(1000)
                later = 1000 + span + ring.width
                self.assertEqual((ring.total(1000, False, back), ring.total(later, False, back)), (1, 0), span)


if __name__ == "__main__":
    unittest.main()

"""The sites of our own: names of their own, and what each is meant to bring out."""

import json
import os
import re
import tomllib
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), *[os.pardir] * 2))
FOLDER = os.path.join(ROOT, "deploy", "sites")
NAMED = "class", "tenant"


def sites():
    read = {}
    for file in sorted(os.listdir(FOLDER)):
        if file.endswith(".toml"):
            with open(os.path.join(FOLDER, file), "rb") as source:
                read[file.removesuffix(".toml")] = tomllib.load(source)
    return read


def names(site):
    """What a deployment names by itself: classes, tenants, zones, tiers and kinds of machine."""
    found = [one["name"] for table in NAMED for one in site.get(table, ())] + site["net"]["zones"]
    for tier in site["tier"]:
        found += [tier["name"]] + [kind["name"] for kind in tier["kind"]]
    return [site["name"]] + found


class Sites(unittest.TestCase):
    def setUp(self):
        self.sites = sites()

    def test_each_has_its_file_s_name_and_says_what_it_is_for(self):
        with open(os.path.join(FOLDER, "README.md"), encoding="utf-8") as source:
            told = source.read()
        self.assertEqual(len(self.sites), 2)
        for name, site in self.sites.items():
            self.assertEqual(site["name"], name)
            self.assertIn(f"| `{name}` |", told)

    def test_no_name_comes_twice(self):
        found = [name for site in self.sites.values() for name in names(site)]
        self.assertEqual(sorted(found), sorted(set(found)))

    def test_nothing_in_the_program_or_the_deploy_file_knows_a_name_of_theirs(self):
        places = [
            os.path.join(ROOT, "deploy", file)
            for file in os.listdir(os.path.join(ROOT, "deploy"))
            if file.endswith((".toml", ".json", ".cue"))
        ]
        for folder, _, files in os.walk(os.path.join(ROOT, "thymeknot")):
            places += [
                os.path.join(folder, file)
                for file in files
                if file.endswith((".py", ".cue", ".json"))
            ]
        self.assertGreater(len(places), 50)
        found = {name for site in self.sites.values() for name in names(site)}
        for place in places:
            with open(place, encoding="utf-8") as source:
                text = source.read()
            for name in found:
                self.assertNotRegex(text, rf"(?<![\w-]){name}(?![\w-])", f"{place} names {name}")

    def test_deploy_files_show_no_lane_but_the_example_s(self):
        folder = os.path.dirname(FOLDER)
        with open(os.path.join(folder, "example.json"), encoding="utf-8") as source:
            known = {lane["name"] for lane in json.load(source)["settings"]["categories"]}
        shown = set()
        for file in os.listdir(folder):
            if file.endswith((".toml", ".json", ".cue")):
                with open(os.path.join(folder, file), encoding="utf-8") as source:
                    shown.update(re.findall(r"--lane[ =]([^\s`]+)", source.read()))
        self.assertTrue(shown and shown <= known, shown - known)

    def test_one_has_every_effect_and_scope_the_other_few_classes_and_short_times(self):
        many, few = self.sites["harbour-permits"]["class"], self.sites["kiln-orders"]
        self.assertEqual(
            {(one["effect"], one.get("group")) for one in many},
            {
                ("safe", None),
                ("keyed", "all"),
                ("keyed", "zone"),
                ("keyed", "cell"),
                ("unsafe", None),
            },
        )
        self.assertEqual((len(many), len(few["class"])), (6, 2))
        for one in few["class"]:
            self.assertLess(one.get("window_ms", 0), one["deadline_ms"])
        self.assertEqual(
            [site["discovery"]["mode"] for site in self.sites.values()], ["ask", "push"]
        )


if __name__ == "__main__":
    unittest.main()

"""Tests of the sites in deploy/sites: their names are unique, and they differ as intended."""

import json
import os
import re
import tomllib
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), *[os.pardir] * 2))
SITES_DIRECTORY = os.path.join(ROOT, "deploy", "sites")
NAMED_TABLES = "class", "tenant"


def read_sites():
    """Returns the content of each site file, by site name."""
    contents = {}
    for file in sorted(os.listdir(SITES_DIRECTORY)):
        if file.endswith(".toml"):
            with open(os.path.join(SITES_DIRECTORY, file), "rb") as source:
                contents[file.removesuffix(".toml")] = tomllib.load(source)
    return contents


def declared_names(site):
    """Returns the names that a site declares: its own and those of its parts.

    The parts are request classes, tenants, zones, tiers and kinds of machine.
    """
    names = [entry["name"] for table in NAMED_TABLES for entry in site.get(table, ())] + site[
        "net"
    ]["zones"]
    for tier in site["tier"]:
        names += [tier["name"]] + [kind["name"] for kind in tier["kind"]]
    return [site["name"]] + names


class Sites(unittest.TestCase):
    def setUp(self):
        self.sites = read_sites()

    def test_sites_are_named_like_their_files_and_described(self):
        with open(os.path.join(SITES_DIRECTORY, "README.md"), encoding="utf-8") as source:
            readme = source.read()
        self.assertEqual(len(self.sites), 2)
        for name, site in self.sites.items():
            self.assertEqual(site["name"], name)
            self.assertIn(f"| `{name}` |", readme)

    def test_declared_names_are_unique(self):
        names = [name for site in self.sites.values() for name in declared_names(site)]
        self.assertEqual(sorted(names), sorted(set(names)))

    def test_program_and_deploy_files_contain_no_name_of_a_site(self):
        paths = [
            os.path.join(ROOT, "deploy", file)
            for file in os.listdir(os.path.join(ROOT, "deploy"))
            if file.endswith((".toml", ".json", ".cue"))
        ]
        for directory, _, files in os.walk(os.path.join(ROOT, "thymeknot")):
            paths += [
                os.path.join(directory, file)
                for file in files
                if file.endswith((".py", ".cue", ".json"))
            ]
        self.assertGreater(len(paths), 50)
        names = {name for site in self.sites.values() for name in declared_names(site)}
        for path in paths:
            with open(path, encoding="utf-8") as source:
                text = source.read()
            for name in names:
                self.assertNotRegex(text, rf"(?<![\w-]){name}(?![\w-])", f"{path} names {name}")

    def test_commands_in_deploy_files_use_request_classes_of_the_example(self):
        directory = os.path.dirname(SITES_DIRECTORY)
        with open(os.path.join(directory, "example.json"), encoding="utf-8") as source:
            example_classes = {
                category["name"] for category in json.load(source)["settings"]["categories"]
            }
        shown_classes = set()
        for file in os.listdir(directory):
            if file.endswith((".toml", ".json", ".cue")):
                with open(os.path.join(directory, file), encoding="utf-8") as source:
                    shown_classes.update(re.findall(r"--lane[ =]([^\s`]+)", source.read()))
        self.assertTrue(
            shown_classes and shown_classes <= example_classes, shown_classes - example_classes
        )

    def test_sites_differ_in_classes_scopes_deadlines_and_discovery(self):
        harbour_classes, kiln_orders = (
            self.sites["harbour-permits"]["class"],
            self.sites["kiln-orders"],
        )
        self.assertEqual(
            {
                (request_class["effect"], request_class.get("group"))
                for request_class in harbour_classes
            },
            {
                ("safe", None),
                ("keyed", "all"),
                ("keyed", "zone"),
                ("keyed", "cell"),
                ("unsafe", None),
            },
        )
        self.assertEqual((len(harbour_classes), len(kiln_orders["class"])), (6, 2))
        for request_class in kiln_orders["class"]:
            self.assertLess(request_class.get("window_ms", 0), request_class["deadline_ms"])
        self.assertEqual(
            [site["discovery"]["mode"] for site in self.sites.values()], ["ask", "push"]
        )


if __name__ == "__main__":
    unittest.main()

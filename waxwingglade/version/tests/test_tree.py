"""Tests of the tree: precedence, checks, explanations and the nested form."""

import math
import unittest
from pathlib import Path

from waxwingglade.base import FormatError, SettingsError
from waxwingglade.settings import ProgramPolicy, Urgency, read_yaml
from waxwingglade.version import apply_changes, explain, nested_tree, parse_tree, resolve
from waxwingglade.version.approval import operators_of, unusable_rules
from waxwingglade.version.tests.builders import NESTED_TREE, PATH, make_tree, set_value
from waxwingglade.version.tree import check_changes, tree_hash

EXAMPLES = Path(__file__).parents[3] / "examples"


class TestResolve(unittest.TestCase):
    def test_more_specific_levels_take_precedence_and_tenants_over_zones(self):
        policy = resolve(make_tree(), PATH)
        self.assertEqual(policy.queue_limit, 800)  # of the tenant, not of the zone
        self.assertEqual(policy.weight, 3.0)  # of the class in the zone, not of the tenant
        self.assertEqual(policy.urgency, Urgency.URGENT)
        self.assertEqual((policy.budget.tokens, policy.budget.turns), (100_000, 40))

    def test_empty_tree_gives_defaults(self):
        self.assertEqual(resolve(parse_tree(None, "x"), PATH), ProgramPolicy())

    def test_explain_names_the_level_of_each_value(self):
        origin = {each.setting: (each.value, each.level) for each in explain(make_tree(), PATH)}
        self.assertEqual(origin["weight"], (3.0, "zone:helsinki-1/booking"))
        self.assertEqual(origin["budget.tokens"], (100_000, "firm"))
        self.assertEqual(origin["deadline_s"], (120.0, "default"))
        program = "tenant:job-centres/booking/appointment-chat"
        self.assertEqual(origin["budget.turns"], (40, program))

    def test_removal_of_an_override_inherits_again_and_does_not_modify_the_old_tree(self):
        tree = make_tree()
        after = apply_changes(tree, [set_value(None, "queue_limit", "tenant:job-centres")])
        self.assertEqual(resolve(after, PATH).queue_limit, 500)
        self.assertEqual(resolve(tree, PATH).queue_limit, 800)


class TestChecks(unittest.TestCase):
    def assert_rejected(self, change, *parts):
        with self.assertRaises(SettingsError) as caught:
            check_changes(make_tree(), [change])
        for part in parts:
            self.assertIn(part, str(caught.exception))

    def test_each_error_names_level_and_reason(self):
        tenant = "tenant:job-centres/booking"
        self.assert_rejected(
            set_value(1, "queue_limt", tenant), tenant, "did you mean `queue_limit`"
        )
        self.assert_rejected(set_value("many", "queue_limit", tenant), tenant, "`queue_limit`")
        self.assert_rejected(set_value(True, "queue_limit"), "firm", "`queue_limit`")
        self.assert_rejected(set_value(-1, "budget.tokens"), "firm", "`budget.tokens`")
        self.assert_rejected(set_value(math.inf, "deadline_s"), "firm", "finite")
        self.assert_rejected(set_value(math.nan, "deadline_s"), "firm", "`deadline_s`")
        self.assert_rejected(set_value(1.1, "latency_weight"), "firm", "`latency_weight`")
        self.assert_rejected(set_value({"tokens": 1}, "budget"), "firm", "group", "budget.tokens")
        self.assert_rejected(set_value(1, level="tenant:A b"), "tenant:A b", "not a name")
        self.assert_rejected(set_value(1, level="tenant:a/b/c/d"), "too many parts")
        self.assert_rejected(set_value(1, level="tennant:a"), "is not a level")
        self.assert_rejected(set_value("boss", "aino", "operators"), "operators", "`aino`")
        self.assert_rejected(
            set_value([{"name": "x", "approvls": 1}], "rules", "approval"), "approvls"
        )
        self.assert_rejected(set_value(None, "weight"), "firm", "no override to remove")

    def test_two_changes_of_one_setting_are_rejected(self):
        with self.assertRaises(SettingsError):
            check_changes(make_tree(), [set_value(1), set_value(2)])

    def test_stored_form_does_not_depend_on_how_a_number_was_written(self):
        one = check_changes(make_tree(), [set_value(5, "weight")])
        other = check_changes(make_tree(), [set_value(5.0, "weight")])
        self.assertEqual(repr(one), repr(other))


class TestNestedForm(unittest.TestCase):
    def test_round_trip(self):
        tree = make_tree()
        written = nested_tree(tree)
        # Rules are stored with their defaults, which a later release therefore cannot change.
        self.assertEqual(written.pop("approval")["rules"][1]["role"], "approver")
        expected = {key: value for key, value in NESTED_TREE.items() if key != "approval"}
        self.assertEqual(written, expected)
        self.assertEqual(tree_hash(parse_tree(nested_tree(tree), "x")), tree_hash(tree))

    def test_all_errors_are_named_with_their_levels(self):
        data = {
            "firm": {"urgencey": "urgent", "budget": {"tokns": 1}},
            "tenants": {"acme": {"clases": {}, "classes": {"booking": {"weight": "x"}}}},
            "zone": {},
        }
        with self.assertRaises(SettingsError) as caught:
            parse_tree(data, "tree.yaml")
        message = str(caught.exception)
        for part in (
            "tree.yaml: firm: unknown setting `urgencey` (did you mean `urgency`?)",
            "firm: unknown setting `budget.tokns` (did you mean `budget.tokens`?)",
            "tenant:acme: unknown setting `clases` (did you mean `classes`?)",
            "tenant:acme/booking: `weight`",
            "tree: unknown setting `zone` (did you mean `zones`?)",
        ):
            self.assertIn(part, message)

    def test_newer_format_is_rejected(self):
        with self.assertRaises(FormatError):
            parse_tree({"format": 2, "surprise": 1}, "tree.yaml")

    def test_example_trees_of_both_firms_can_be_used_and_changed(self):
        for name in ("kettu-tree.yaml", "kiprono-tree.yaml"):
            tree = parse_tree(read_yaml(EXAMPLES / name), name)
            self.assertEqual(unusable_rules(tree), [])
            self.assertGreaterEqual(len(operators_of(tree)), 3)


if __name__ == "__main__":
    unittest.main()

"""Tests of the approval rules."""

import unittest

from waxwingglade.base import ErrorCode, Ok
from waxwingglade.version import Approval, ApprovalRule, HoursUtc, Proposal, digest_of
from waxwingglade.version.approval import (
    governing_rules,
    never_met_reasons,
    unmet_reasons,
    unusable_rules,
)
from waxwingglade.version.proposal import change_text, with_approval
from waxwingglade.version.rule import allowed_hours
from waxwingglade.version.tests.builders import (
    AINO,
    EERO,
    HELMI,
    NOON_S,
    PEKKA,
    make_tree,
    set_value,
)
from waxwingglade.version.tree import apply_changes


def proposal_of(tree, change, *operators):
    text = change_text(tree, [change])
    approvals = [Approval(operator, digest_of(text), 0.0) for operator in operators]
    return Proposal("p1", 1, PEKKA, [change], text, 0.0, approvals)


def tree_with_rules(*rules):
    return apply_changes(make_tree(), [set_value(list(rules), "rules", "approval")])


class TestRules(unittest.TestCase):
    def test_the_first_rule_that_covers_a_change_applies_to_it(self):
        tree = make_tree()
        names = [
            governing_rules(tree, [change])[0].name
            for change in (
                set_value(1, "budget.tokens"),
                set_value("admin", "helmi", "operators"),
                set_value(1),
            )
        ]
        self.assertEqual(names, ["budgets", "governing", "default"])

    def test_approvals_are_counted_from_others_with_the_role_and_for_this_text(self):
        tree = make_tree()
        change = set_value(5, "budget.tokens")
        enough = proposal_of(tree, change, EERO, HELMI)
        self.assertEqual(unmet_reasons(tree, enough, NOON_S), [])
        for operators in ((EERO,), (EERO, PEKKA), (EERO, EERO), (EERO, "stranger")):
            with self.subTest(operators=operators):
                short = proposal_of(tree, change, *operators)
                self.assertTrue(unmet_reasons(tree, short, NOON_S))
        # The same approvals no longer count when the old value, and with it the text, has changed.
        moved = apply_changes(tree, [set_value(77, "budget.tokens")])
        self.assertTrue(unmet_reasons(moved, enough, NOON_S))

    def test_a_rule_may_restrict_the_hours_and_span_midnight(self):
        tree = tree_with_rules({"name": "night", "approvals": 0, "hours": {"start": 22, "end": 4}})
        proposal = proposal_of(tree, set_value(1))
        self.assertTrue(unmet_reasons(tree, proposal, NOON_S))
        self.assertEqual(unmet_reasons(tree, proposal, 23 * 3600.0), [])
        hours = allowed_hours(ApprovalRule(name="x", hours=HoursUtc(start=22, end=4)))
        self.assertEqual(hours, {22, 23, 0, 1, 2, 3})

    def test_a_change_of_the_rules_always_needs_an_approval(self):
        tree = tree_with_rules({"name": "free", "approvals": 0})
        proposal = proposal_of(tree, set_value([], "rules", "approval"))
        self.assertTrue(unmet_reasons(tree, proposal, NOON_S))

    def test_rules_that_can_never_be_met_are_found(self):
        self.assertEqual(unusable_rules(make_tree()), [])
        for rule in (
            {"name": "many", "approvals": 4},
            {"name": "alone", "approvals": 2, "operators": ["eero"]},
            {"name": "admins", "approvals": 2, "role": "admin"},
            {"name": "never", "hours": {"start": 5, "end": 5}},
        ):
            with self.subTest(rule=rule["name"]):
                self.assertIn(rule["name"], " ".join(unusable_rules(tree_with_rules(rule))))

    def test_a_change_that_can_never_be_approved_is_found(self):
        tree = tree_with_rules(
            {"name": "eero", "settings": ["weight"], "operators": ["eero"]},
            {"name": "early", "settings": ["queue_limit"], "hours": {"start": 1, "end": 2}},
            {"name": "late", "settings": ["deadline_s"], "hours": {"start": 3, "end": 4}},
        )
        self.assertTrue(never_met_reasons(tree, [set_value(2.0, "weight")], EERO))
        self.assertFalse(never_met_reasons(tree, [set_value(2.0, "weight")], AINO))
        both = [set_value(1), set_value(9.0, "deadline_s")]
        self.assertIn("no hour in common", " ".join(never_met_reasons(tree, both, AINO)))


class TestApprove(unittest.TestCase):
    def test_the_proposer_or_another_text_is_rejected_and_a_repeat_changes_nothing(self):
        proposal = proposal_of(make_tree(), set_value(5))
        text_digest = digest_of(proposal.text)
        own = with_approval(proposal, Approval(PEKKA, text_digest, 0.0))
        other = with_approval(proposal, Approval(EERO, digest_of("other"), 0.0))
        self.assertEqual(own.err_value.code, ErrorCode.FORBIDDEN)
        self.assertEqual(other.err_value.code, ErrorCode.CONFLICT)
        once = with_approval(proposal, Approval(EERO, text_digest, 1.0)).unwrap()
        self.assertEqual(with_approval(once, Approval(EERO, text_digest, 2.0)), Ok(once))


if __name__ == "__main__":
    unittest.main()

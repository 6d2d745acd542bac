"""The firm's approval rules, applied to changes and proposals.

The rules and the operators' roles are part of the tree.  Like any other change, a change to them is
subject to the rules that are in force before it.
"""

from fnmatch import fnmatchcase

import msgspec

from waxwingglade.base import OperatorId
from waxwingglade.settings import Role
from waxwingglade.version.level import (
    APPROVAL,
    GOVERNING_LEVELS,
    OPERATORS,
    RULES,
    LevelPath,
    SettingName,
)
from waxwingglade.version.proposal import Proposal, change_text, digest_of
from waxwingglade.version.rule import (
    ALL_HOURS,
    DEFAULT_RULE,
    ApprovalRule,
    allowed_hours,
    hour_of,
    role_at_least,
)
from waxwingglade.version.tree import Change, Tree

MIN_GOVERNING_APPROVALS = 1
"""Minimum number of approvals of a change to rules or operators, even if a rule requires fewer."""


def rules_of(tree: Tree) -> list[ApprovalRule]:
    """Return the approval rules of a tree, in order of precedence."""
    return msgspec.convert(tree.levels.get(APPROVAL, {}).get(RULES, []), list[ApprovalRule])


def operators_of(tree: Tree) -> dict[OperatorId, Role]:
    """Return the operators in a tree with their roles."""
    return msgspec.convert(tree.levels.get(OPERATORS, {}), dict[OperatorId, Role])


def has_role(tree: Tree, operator: OperatorId, least: Role) -> bool:
    """Return whether an operator has the role `least`, or a higher one, in the tree."""
    role = operators_of(tree).get(operator)
    return role is not None and role_at_least(role, least)


def governing_rules(tree: Tree, changes: list[Change]) -> list[ApprovalRule]:
    """Return the rules that apply to changes: for each change, the first rule that covers it."""
    rules = rules_of(tree)
    chosen: dict[str, ApprovalRule] = {}
    for change in changes:
        rule = _governing_rule(rules, change.level, change.setting)
        chosen[msgspec.json.encode(rule).decode()] = rule
    return list(chosen.values())


def unmet_reasons(tree: Tree, proposal: Proposal, now_s: float) -> list[str]:
    """Return why a proposal cannot be accepted yet under the rules of `tree`.

    Parameters
    ----------
    tree : Tree
        Tree of the version in force.
    proposal : Proposal
        Only its changes, proposer and approvals are used.
    now_s : float
        Seconds since 1970.

    Returns
    -------
    list of str
        One line for each unmet requirement of a rule; empty if the proposal may be accepted.
    """
    digest = digest_of(change_text(tree, proposal.changes))
    given = {each.operator for each in proposal.approvals if each.text_digest == digest}
    reasons = []
    for rule in governing_rules(tree, proposal.changes):
        counted = given & eligible_approvers(tree, rule, proposal.proposer)
        if len(counted) < rule.approvals:
            reasons.append(f"rule {rule.name}: {len(counted)} of {rule.approvals} approvals")
        if hour_of(now_s) not in allowed_hours(rule):
            reasons.append(f"rule {rule.name}: not at this hour (UTC)")
    return reasons


def never_met_reasons(tree: Tree, changes: list[Change], proposer: OperatorId) -> list[str]:
    """Return why changes by a proposer can never be accepted under the rules of `tree`.

    The list is empty if they can be accepted.
    """
    reasons = []
    hours = ALL_HOURS
    for rule in governing_rules(tree, changes):
        hours = hours & allowed_hours(rule)
        possible = len(eligible_approvers(tree, rule, proposer))
        if possible < rule.approvals:
            reasons.append(
                f"rule {rule.name} needs {rule.approvals} approvals, "
                f"only {possible} operators may give one"
            )
    if not hours:
        reasons.append("its rules have no hour in common: propose the changes one by one")
    return reasons


def unusable_rules(tree: Tree) -> list[str]:
    """Return one line for each rule of a tree that no proposal can ever meet.

    The rules that apply to changes of rules and operators are checked, too.  So a tree for which
    the list is empty can always be changed.
    """
    operators = operators_of(tree)
    proposers = [name for name, role in operators.items() if role_at_least(role, Role.PROPOSER)]
    governing = [_governing_rule(rules_of(tree), APPROVAL, RULES)]
    governing += [_governing_rule(rules_of(tree), OPERATORS, SettingName(n)) for n in operators]
    reasons: dict[str, None] = {}
    for rule in [*rules_of(tree), DEFAULT_RULE, *governing]:
        if not allowed_hours(rule):
            reasons[f"rule {rule.name} allows no hour"] = None
        if not any(_could_meet(tree, rule, proposer) for proposer in proposers):
            reasons[f"rule {rule.name} can never be met by the operators there are"] = None
    return list(reasons)


def eligible_approvers(tree: Tree, rule: ApprovalRule, proposer: OperatorId) -> set[OperatorId]:
    """Return the operators whose approval of a change by `proposer` counts for a rule."""
    return {
        operator
        for operator, role in operators_of(tree).items()
        if operator != proposer
        and role_at_least(role, rule.role)
        and (not rule.operators or operator in rule.operators)
    }


def _could_meet(tree: Tree, rule: ApprovalRule, proposer: OperatorId) -> bool:
    """Return whether enough other operators may approve the changes of `proposer`."""
    return len(eligible_approvers(tree, rule, proposer)) >= rule.approvals


def _governing_rule(
    rules: list[ApprovalRule], level: LevelPath, setting: SettingName
) -> ApprovalRule:
    """Return the first rule that covers a setting of a level, with its minimum of approvals."""
    rule = next((rule for rule in rules if _covers(rule, level, setting)), DEFAULT_RULE)
    if level in GOVERNING_LEVELS and rule.approvals < MIN_GOVERNING_APPROVALS:
        return msgspec.structs.replace(rule, approvals=MIN_GOVERNING_APPROVALS)
    return rule


def _covers(rule: ApprovalRule, level: str, setting: str) -> bool:
    """Return whether a rule's patterns match a setting of a level."""
    return any(fnmatchcase(level, pattern) for pattern in rule.levels) and any(
        fnmatchcase(setting, pattern) for pattern in rule.settings
    )

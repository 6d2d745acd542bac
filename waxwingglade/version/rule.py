"""Approval rules: which changes need whose approval, and when they may be accepted."""

from typing import Annotated

import msgspec

from waxwingglade.base import OperatorId
from waxwingglade.settings import Role
from waxwingglade.settings.strict import Name, Strict

SECONDS_PER_HOUR = 3600
HOURS_PER_DAY = 24
MAX_APPROVALS = 20

ALL_HOURS = frozenset(range(HOURS_PER_DAY))
ROLE_ORDER = [Role.VIEWER, Role.PROPOSER, Role.APPROVER, Role.ADMIN]


class HoursUtc(Strict):
    """Hours of the day (UTC) from `start` up to but excluding `end`; may span midnight."""

    start: Annotated[int, msgspec.Meta(ge=0, le=23)]
    end: Annotated[int, msgspec.Meta(ge=0, le=24)]


class ApprovalRule(Strict):
    """Requirements for the acceptance of the changes that the rule covers.

    Parameters
    ----------
    name : str
        Name of the rule, used in messages.
    levels, settings : list of str
        Patterns (``*`` and ``?``) of the level paths and setting names that the rule covers.
    approvals : int
        Number of operators, other than the proposer, who have to approve.
    role : Role
        Lowest role of an operator whose approval counts.
    operators : list of OperatorId
        If not empty, only approvals of these operators count.
    hours : HoursUtc or None
        Hours at which the change may be accepted; None for any time.
    """

    name: Name
    levels: list[str] = msgspec.field(default_factory=lambda: ["*"])
    settings: list[str] = msgspec.field(default_factory=lambda: ["*"])
    approvals: Annotated[int, msgspec.Meta(ge=0, le=MAX_APPROVALS)] = 1
    role: Role = Role.APPROVER
    operators: list[OperatorId] = msgspec.field(default_factory=list)
    hours: HoursUtc | None = None


DEFAULT_RULE = ApprovalRule(name="default")
"""Applies to each change that no rule of the tree covers."""


def role_at_least(role: Role, least: Role) -> bool:
    """Return whether `role` includes `least`."""
    return ROLE_ORDER.index(role) >= ROLE_ORDER.index(least)


def allowed_hours(rule: ApprovalRule) -> frozenset[int]:
    """Return the hours of the day (UTC) at which the rule allows a change to be accepted."""
    if rule.hours is None:
        return ALL_HOURS
    start, end = rule.hours.start, rule.hours.end
    if start < end:
        return frozenset(range(start, end))
    if start == end:
        return frozenset()
    return ALL_HOURS - frozenset(range(end, start))


def hour_of(at_s: float) -> int:
    """Return the hour of the day (UTC) of a time in seconds since 1970."""
    return int(at_s // SECONDS_PER_HOUR) % HOURS_PER_DAY

"""Names of the tree's levels, and the levels that apply to a program.

A level is identified by its path: ``firm``, ``zone:NAME`` or ``tenant:NAME``, and below a zone or
tenant ``.../CLASS`` and ``.../CLASS/PROGRAM``.  Two more levels control changes: ``approval``, with
the setting ``rules``, and ``operators``, with a setting for each operator whose value is the role.
"""

from typing import NewType

import msgspec

from waxwingglade.base import ClassName, ProgramName, TenantId, ZoneId
from waxwingglade.base.ids import NAME_PATTERN

LevelPath = NewType("LevelPath", str)
SettingName = NewType("SettingName", str)

FIRM = LevelPath("firm")
APPROVAL = LevelPath("approval")
OPERATORS = LevelPath("operators")
RULES = SettingName("rules")
GOVERNING_LEVELS = frozenset({APPROVAL, OPERATORS})

ZONE_PREFIX = "zone:"
TENANT_PREFIX = "tenant:"
MAX_PARTS = 3


class PolicyPath(msgspec.Struct, frozen=True):
    """The path of a program, which determines the levels that apply to it.

    Parameters
    ----------
    zone : ZoneId
        Home availability zone.
    tenant : TenantId
        Tenant, a customer of the firm.
    program_class : ClassName
        Class of the program.
    program : ProgramName or None
        Name of the agent program, given at its creation; None if it has no name.
    """

    zone: ZoneId
    tenant: TenantId
    program_class: ClassName
    program: ProgramName | None = None


def zone_level(zone: ZoneId) -> LevelPath:
    """Return the level of an availability zone."""
    return LevelPath(ZONE_PREFIX + zone)


def tenant_level(tenant: TenantId) -> LevelPath:
    """Return the level of a tenant."""
    return LevelPath(TENANT_PREFIX + tenant)


def governing_levels(path: PolicyPath) -> list[LevelPath]:
    """Return the levels whose overrides apply to a program, in ascending precedence.

    A more specific level takes precedence.  Of two equally specific levels, the tenant's takes
    precedence over the zone's.
    """
    zone = ZONE_PREFIX + path.zone
    tenant = TENANT_PREFIX + path.tenant
    zone_class = f"{zone}/{path.program_class}"
    tenant_class = f"{tenant}/{path.program_class}"
    levels = [FIRM, zone, tenant, zone_class, tenant_class]
    if path.program is not None:
        levels += [f"{zone_class}/{path.program}", f"{tenant_class}/{path.program}"]
    return levels


def level_error(level: str) -> str | None:
    """Return why `level` is not the path of a level, or None if it is one."""
    if level == FIRM or level in GOVERNING_LEVELS:
        return None
    for prefix in (ZONE_PREFIX, TENANT_PREFIX):
        if level.startswith(prefix):
            return _names_error(level.removeprefix(prefix).split("/"))
    return "is not a level: firm, zone:NAME, tenant:NAME, approval, operators"


def _names_error(names: list[str]) -> str | None:
    """Return why the names in a path below a zone or tenant are invalid, or None if valid."""
    if len(names) > MAX_PARTS:
        return "has too many parts: a program is the lowest level"
    for name in names:
        if not NAME_PATTERN.match(name):
            return f"`{name}` is not a name (lower case, digits and hyphens, 40 at most)"
    return None

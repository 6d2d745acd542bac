"""Settings that the levels of the tree may have, and checks of their values."""

import difflib
import math
from typing import Annotated, Any

import msgspec

from waxwingglade.base import SettingsError
from waxwingglade.base.ids import NAME_PATTERN
from waxwingglade.settings import ProgramPolicy, Role
from waxwingglade.version.level import APPROVAL, OPERATORS, RULES, LevelPath, SettingName
from waxwingglade.version.rule import ApprovalRule

GROUP_SEPARATOR = "."
MAX_RULES = 200

POSITIVE = msgspec.Meta(gt=0)
NOT_NEGATIVE = msgspec.Meta(ge=0)
FRACTION = msgspec.Meta(ge=0, le=1)

LIMITS = {
    "weight": POSITIVE,
    "latency_weight": FRACTION,
    "deadline_s": POSITIVE,
    "model_timeout_s": POSITIVE,
    "tool_timeout_s": POSITIVE,
    "max_output_tokens": POSITIVE,
    "budget.wall_s": POSITIVE,
}
"""Limits of numeric settings; those that are not listed may not be negative."""


def _flat_types(model: type[msgspec.Struct], group: str = "") -> dict[SettingName, Any]:
    """Return the type of each setting of a settings class, with dotted names for groups."""
    types: dict[SettingName, Any] = {}
    for field in msgspec.structs.fields(model):
        name = group + field.encode_name
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            types.update(_flat_types(field.type, name + GROUP_SEPARATOR))
            continue
        is_number = field.type in (int, float)
        limit = LIMITS.get(name, NOT_NEGATIVE)
        types[SettingName(name)] = Annotated[field.type, limit] if is_number else field.type
    return types


POLICY_TYPES = _flat_types(ProgramPolicy)
GROUPS = frozenset(name.split(GROUP_SEPARATOR)[0] for name in POLICY_TYPES if "." in name)
RULES_TYPE = Annotated[list[ApprovalRule], msgspec.Meta(max_length=MAX_RULES)]


def check_value(level: LevelPath, setting: str, value: object) -> Any:
    """Return `value` in its stored form.

    Raises
    ------
    SettingsError
        If the level has no such setting or the value is invalid; names the level and the setting.
    """
    value_type = _type_of(level, setting)
    try:
        checked = msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{level}: `{setting}`: {error}") from error
    if isinstance(checked, float) and not math.isfinite(checked):
        raise SettingsError(f"{level}: `{setting}`: must be a finite number")
    return msgspec.to_builtins(checked)


def is_known(level: LevelPath, setting: str) -> bool:
    """Return whether this release supports a setting of a level."""
    return level == OPERATORS or setting in (POLICY_TYPES if level != APPROVAL else (RULES,))


def unknown_setting(level: str, name: object, valid: list[str]) -> SettingsError:
    """Return the error for an unknown name, which suggests the most similar valid name."""
    similar = difflib.get_close_matches(str(name), valid, n=1)
    hint = f" (did you mean `{similar[0]}`?)" if similar else ""
    return SettingsError(f"{level}: unknown setting `{name}`{hint}")


def to_nested(values: dict[SettingName, Any]) -> dict[str, Any]:
    """Return settings with dotted names as nested mappings."""
    result: dict[str, Any] = {}
    for name, value in values.items():
        group, separator, member = name.partition(GROUP_SEPARATOR)
        if not separator:
            result[name] = value
            continue
        result.setdefault(group, {})[member] = value
    return result


def _type_of(level: LevelPath, setting: str) -> Any:
    """Return the type of a setting of a level, or raise `SettingsError`."""
    if level == APPROVAL:
        if setting != RULES:
            raise unknown_setting(level, setting, [RULES])
        return RULES_TYPE
    if level == OPERATORS:
        _check_operator(setting)
        return Role
    if setting in GROUPS:
        members = ", ".join(name for name in POLICY_TYPES if name.startswith(setting + "."))
        raise SettingsError(f"{level}: `{setting}` is a group; name one of {members}")
    if setting not in POLICY_TYPES:
        raise unknown_setting(level, setting, list(POLICY_TYPES))
    return POLICY_TYPES[SettingName(setting)]


def _check_operator(name: str) -> None:
    """Raise `SettingsError` if `name` is not a valid name of an operator."""
    if not NAME_PATTERN.match(name):
        raise SettingsError(f"{OPERATORS}: `{name}` is not an operator's name")

"""The configuration tree: overrides at its levels, and the resulting policy of a program."""

from typing import Any

import msgspec
import xxhash

from waxwingglade.base import SettingsError
from waxwingglade.settings import ProgramPolicy
from waxwingglade.version.level import (
    LevelPath,
    PolicyPath,
    SettingName,
    governing_levels,
    level_error,
)
from waxwingglade.version.schema import POLICY_TYPES, check_value, to_nested

DEFAULT_LEVEL = LevelPath("default")
"""Level that `explain` returns for values that no level overrides, the `ProgramPolicy` defaults."""

_canonical = msgspec.msgpack.Encoder(order="deterministic")


class Tree(msgspec.Struct, frozen=True):
    """Overrides by level and setting; must not be modified in place.

    Settings in groups have dotted names, such as ``budget.tokens``.
    """

    levels: dict[LevelPath, dict[SettingName, Any]] = {}


class Change(msgspec.Struct, frozen=True):
    """An override to set, or to remove if `value` is None, so that the level inherits again."""

    level: LevelPath
    setting: SettingName
    value: Any = None


class Explanation(msgspec.Struct, frozen=True):
    """A resolved value, and the level that it comes from."""

    setting: SettingName
    value: Any
    level: LevelPath


def resolve(tree: Tree, path: PolicyPath) -> ProgramPolicy:
    """Return the policy of a program: the defaults, overridden level by level."""
    values: dict[SettingName, Any] = {}
    for level in governing_levels(path):
        overrides = tree.levels.get(level)
        if overrides is not None:
            values.update(overrides)
    return msgspec.convert(to_nested(values), ProgramPolicy)


def explain(tree: Tree, path: PolicyPath) -> list[Explanation]:
    """Return every setting of a program's policy with the level that it comes from."""
    resolved = msgspec.to_builtins(resolve(tree, path))
    origin = dict.fromkeys(POLICY_TYPES, DEFAULT_LEVEL)
    for level in governing_levels(path):
        for setting in tree.levels.get(level, {}):
            origin[setting] = level
    return [
        Explanation(setting, _value_at(resolved, setting), level)
        for setting, level in origin.items()
    ]


def apply_changes(tree: Tree, changes: list[Change]) -> Tree:
    """Return the tree with changes applied; `check_changes` must have accepted them."""
    levels = dict(tree.levels)
    for change in changes:
        overrides = dict(levels.get(change.level, {}))
        if change.value is None:
            overrides.pop(change.setting, None)
        else:
            overrides[change.setting] = change.value
        levels[change.level] = overrides
        if not overrides:
            del levels[change.level]
    return Tree(levels)


def check_changes(tree: Tree, changes: list[Change]) -> list[Change]:
    """Return the changes with their values in stored form.

    Raises
    ------
    SettingsError
        If changes are invalid for `tree`; names the level and the reason of each error.
    """
    errors = [] if changes else ["nothing is changed"]
    touched: set[tuple[LevelPath, SettingName]] = set()
    for change in changes:
        present = override_of(tree, change.level, change.setting)
        if (change.level, change.setting) in touched:
            errors.append(f"{change.level}: `{change.setting}` is changed twice")
        if change.value is None and present is None:
            errors.append(f"{change.level}: `{change.setting}` has no override to remove")
        touched.add((change.level, change.setting))
    if errors:
        raise SettingsError("; ".join(errors))
    return stored_form(changes)


def stored_form(changes: list[Change]) -> list[Change]:
    """Return changes with their values in stored form, without checks against a tree.

    Raises
    ------
    SettingsError
        If levels, settings or values are invalid; names the level and the reason of each error.
    """
    errors: list[str] = []
    stored: list[Change] = []
    for change in changes:
        try:
            stored.append(_stored_change(change))
        except SettingsError as error:
            errors.append(str(error))
    if errors:
        raise SettingsError("; ".join(errors))
    return stored


def override_of(tree: Tree, level: LevelPath, setting: SettingName) -> Any | None:
    """Return the value that a level overrides, or None if the level inherits it."""
    return tree.levels.get(level, {}).get(setting)


def tree_hash(tree: Tree) -> str:
    """Return a hash of a tree's content that does not depend on the order of its items."""
    return xxhash.xxh3_128_hexdigest(_canonical.encode(tree))


def encoded_size(tree: Tree) -> int:
    """Return the size of an encoded tree in bytes, before compression."""
    return len(_canonical.encode(tree))


def _stored_change(change: Change) -> Change:
    """Return one change with its value in stored form, or raise `SettingsError`."""
    reason = level_error(change.level)
    if reason is not None:
        raise SettingsError(f"{change.level}: {reason}")
    if change.value is None:
        return change
    value = check_value(change.level, change.setting, change.value)
    return Change(change.level, change.setting, value)


def _value_at(resolved: dict[str, Any], setting: SettingName) -> Any:
    """Return the value of a setting with a dotted name."""
    value: Any = resolved
    for part in setting.split("."):
        value = value[part]
    return value

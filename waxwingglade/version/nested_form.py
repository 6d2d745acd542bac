"""Conversion between a tree and the nested form in which operators write it in YAML."""

from typing import Any

from waxwingglade.base import FormatError, SettingsError
from waxwingglade.base.ids import NAME_PATTERN
from waxwingglade.version.level import (
    APPROVAL,
    FIRM,
    GOVERNING_LEVELS,
    OPERATORS,
    TENANT_PREFIX,
    ZONE_PREFIX,
    LevelPath,
    SettingName,
)
from waxwingglade.version.schema import (
    GROUP_SEPARATOR,
    GROUPS,
    POLICY_TYPES,
    check_value,
    to_nested,
    unknown_setting,
)
from waxwingglade.version.tree import Tree

TREE_FORMAT = 1

FORMAT_KEY = "format"
ZONES_KEY = "zones"
TENANTS_KEY = "tenants"
CHILD_KEYS = ["classes", "programs"]
"""Keys of the children of a zone or tenant, and of a class."""

BRANCHES = {ZONES_KEY: ZONE_PREFIX, TENANTS_KEY: TENANT_PREFIX}
SINGLE_LEVELS = [FIRM, APPROVAL, OPERATORS]
TOP_KEYS = [FORMAT_KEY, *SINGLE_LEVELS, *BRANCHES]


def parse_tree(data: object, source: str) -> Tree:
    """Check a tree in nested form and return it.

    Parameters
    ----------
    data : object
        Plain data, as read from a YAML file.
    source : str
        Source of the data, named in errors.

    Raises
    ------
    SettingsError
        If the tree is invalid; names the source, the level and the reason of each error.
    FormatError
        If the tree has a newer format.
    """
    if data is None:
        return Tree()
    if not isinstance(data, dict):
        raise SettingsError(f"{source}: the tree must be a mapping")
    _check_format(data.get(FORMAT_KEY, TREE_FORMAT), source)
    reader = _Reader()
    for key, content in data.items():
        _read_top(reader, key, content)
    if reader.errors:
        raise SettingsError("; ".join(f"{source}: {error}" for error in reader.errors))
    return Tree(reader.levels)


def nested_tree(tree: Tree) -> dict[str, Any]:
    """Return a tree in the nested form that `parse_tree` reads."""
    result: dict[str, Any] = {FORMAT_KEY: TREE_FORMAT}
    for level in sorted(tree.levels):
        overrides = tree.levels[level]
        node = _node_of(result, level)
        node.update(overrides if level in GOVERNING_LEVELS else to_nested(overrides))
    return result


class _Reader:
    """The levels read so far, and the errors found."""

    def __init__(self) -> None:
        self.levels: dict[LevelPath, dict[SettingName, Any]] = {}
        self.errors: list[str] = []


def _check_format(found: object, source: str) -> None:
    """Raise `SettingsError` or `FormatError` if the tree's format cannot be read."""
    if not isinstance(found, int) or found < 1:
        raise SettingsError(f"{source}: `format` must be a whole number from 1")
    if found > TREE_FORMAT:
        raise FormatError(
            f"{source}: the tree has format {found}, this release reads up to {TREE_FORMAT}"
        )


def _read_top(reader: _Reader, key: object, content: object) -> None:
    """Read the content of one top-level key."""
    if key == FORMAT_KEY or content is None:
        return
    if key in SINGLE_LEVELS:
        _read_level(reader, LevelPath(str(key)), content, [])
        return
    if key not in BRANCHES:
        reader.errors.append(str(unknown_setting("tree", key, TOP_KEYS)))
        return
    _read_children(reader, BRANCHES[str(key)], str(key), content, CHILD_KEYS)


def _read_children(
    reader: _Reader, prefix: str, location: str, content: object, child_keys: list[str]
) -> None:
    """Read the levels in a mapping of names; `child_keys` are the keys of their descendants."""
    if not isinstance(content, dict):
        reader.errors.append(f"{location}: must be a mapping of names")
        return
    for name, node in content.items():
        level = LevelPath(f"{prefix}{name}")
        if not isinstance(name, str) or not NAME_PATTERN.match(name):
            reader.errors.append(f"{level}: `{name}` is not a name")
            continue
        _read_level(reader, level, node, child_keys)


def _read_level(reader: _Reader, level: LevelPath, node: object, child_keys: list[str]) -> None:
    """Read the overrides of a level, and the levels below it."""
    if node is None:
        return
    if not isinstance(node, dict):
        reader.errors.append(f"{level}: must be a mapping of settings")
        return
    overrides = dict(node)
    if child_keys and child_keys[0] in overrides:
        children = overrides.pop(child_keys[0])
        location = f"{level}: `{child_keys[0]}`"
        _read_children(reader, f"{level}/", location, children, child_keys[1:])
    is_policy = level not in GOVERNING_LEVELS
    flat = _flatten(overrides) if is_policy else overrides
    values = _check_overrides(reader, level, flat, child_keys)
    if values:
        reader.levels[level] = values


def _check_overrides(
    reader: _Reader, level: LevelPath, overrides: dict[Any, Any], child_keys: list[str]
) -> dict[SettingName, Any]:
    """Return the valid overrides of a level in stored form, and record the errors."""
    values: dict[SettingName, Any] = {}
    valid = [*POLICY_TYPES, *GROUPS, *child_keys[:1]]
    for name, value in overrides.items():
        try:
            if level not in GOVERNING_LEVELS and name not in valid:
                raise unknown_setting(level, name, valid)
            values[SettingName(name)] = check_value(level, str(name), value)
        except SettingsError as error:
            reader.errors.append(str(error))
    return values


def _flatten(overrides: dict[Any, Any]) -> dict[Any, Any]:
    """Return overrides with dotted names for the members of groups."""
    flat: dict[Any, Any] = {}
    for name, value in overrides.items():
        if name not in GROUPS or not isinstance(value, dict):
            flat[name] = value
            continue
        for member, member_value in value.items():
            flat[f"{name}{GROUP_SEPARATOR}{member}"] = member_value
    return flat


def _node_of(result: dict[str, Any], level: LevelPath) -> dict[str, Any]:
    """Return the nested mapping of a level; create it if it is missing."""
    for key, prefix in BRANCHES.items():
        if not level.startswith(prefix):
            continue
        names = level.removeprefix(prefix).split("/")
        node = result.setdefault(key, {}).setdefault(names[0], {})
        for child_key, name in zip(CHILD_KEYS, names[1:], strict=False):
            node = node.setdefault(child_key, {}).setdefault(name, {})
        return node
    return result.setdefault(level, {})

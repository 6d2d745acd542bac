"""Validates a settings file, including the initial configuration in it."""

from pathlib import Path

from waxwingglade.base import FormatError, SettingsError
from waxwingglade.settings import ProcessSettings, load_settings, read_yaml
from waxwingglade.version import Tree, parse_tree
from waxwingglade.version.approval import unusable_rules

CONFIG_KEY = "config"


def check_file(path: str | Path) -> ProcessSettings:
    """Return the settings in a file, or raise `SettingsError` with a line for every error."""
    errors: list[str] = []
    settings: ProcessSettings | None = None
    try:
        settings = load_settings(path)
    except SettingsError as error:
        errors += str(error).splitlines()
    data = read_yaml(path)
    if isinstance(data, dict):
        errors += config_errors(data.get(CONFIG_KEY), f"{path}: $.{CONFIG_KEY}")
    if settings is None or errors:
        raise SettingsError("\n".join(errors))
    return settings


def config_errors(data: object, source: str) -> list[str]:
    """Return every error of a configuration tree in nested form."""
    try:
        tree = parse_tree(data, source)
    except SettingsError as error:
        return str(error).split("; ")
    except FormatError as error:
        return [str(error)]
    if tree == Tree():
        return []
    return [f"{source}: {reason}" for reason in unusable_rules(tree)]

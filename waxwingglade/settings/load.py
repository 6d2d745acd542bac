"""Reading and validation of settings files."""

from pathlib import Path
from typing import TypeVar

import msgspec
import yaml

from waxwingglade.base import SettingsError
from waxwingglade.settings.check import find_errors
from waxwingglade.settings.consistency import find_inconsistencies
from waxwingglade.settings.process import ProcessSettings

S = TypeVar("S")


def load_settings(path: str | Path) -> ProcessSettings:
    """Read and validate the settings of one entry.

    Parameters
    ----------
    path : str or Path
        Path of the YAML file.

    Returns
    -------
    ProcessSettings
        Valid settings, with defaults for missing keys.

    Raises
    ------
    SettingsError
        If settings are invalid; names the file, the path inside it and the reason of each error,
        one per line.
    """
    settings = parse_settings(read_yaml(path), ProcessSettings, str(path))
    errors = find_inconsistencies(settings)
    if errors:
        raise SettingsError("\n".join(f"{path}: {error}" for error in errors))
    return settings


def read_yaml(path: str | Path) -> object:
    """Return the plain data in a YAML file, or raise `SettingsError`."""
    try:
        return yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        reason = " ".join(str(error).split())
        raise SettingsError(f"{path}: not valid YAML: {reason}") from error


def parse_settings(data: object, model: type[S], source: str) -> S:
    """Return plain data as an instance of a settings class.

    Raises
    ------
    SettingsError
        If the data is invalid; names `source`, the path inside it and the reason of each error.
    """
    errors = find_errors(data, model)
    if errors:
        raise SettingsError("\n".join(f"{source}: {error}" for error in errors))
    return msgspec.convert(data, model)

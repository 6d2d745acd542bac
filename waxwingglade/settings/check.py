"""Validation of plain data against a settings class; reports all errors, not only the first."""

import difflib
import math
import types
import typing
from typing import Any

import msgspec

ROOT = "$"


def find_errors(data: object, model: Any, path: str = ROOT) -> list[str]:
    """Return all errors in plain data, each with its path inside the data and the reason.

    Parameters
    ----------
    data : object
        Plain data, as read from a YAML file.
    model : type
        Settings class, or the type of one of its fields.
    path : str
        Path of `data`, used in the errors.
    """
    if _is_settings(model):
        return _errors_of_fields(data, model, path)
    if typing.get_origin(model) is list and isinstance(data, list):
        (item_type,) = typing.get_args(model)
        return [
            error
            for number, item in enumerate(data)
            for error in find_errors(item, item_type, f"{path}[{number}]")
        ]
    return _errors_of_value(data, model, path)


def _errors_of_fields(data: object, model: Any, path: str) -> list[str]:
    if not isinstance(data, dict):
        return [f"{path}: must be a mapping, not {_type_in_words(data)}"]
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    errors = [f"{path}: {_unknown_key(name, list(fields))}" for name in data if name not in fields]
    for name, field in fields.items():
        if name in data:
            errors += find_errors(data[name], field.type, f"{path}.{name}")
        elif field.required:
            errors.append(f"{path}: `{name}` is missing")
    return errors


def _errors_of_value(data: object, model: Any, path: str) -> list[str]:
    try:
        value = msgspec.convert(data, model)
    except msgspec.ValidationError as error:
        reason, _, inner = str(error).partition(" - at `")
        return [f"{path}{inner.rstrip('`').removeprefix(ROOT)}: {reason}"]
    if isinstance(value, float) and not math.isfinite(value):
        return [f"{path}: must be a finite number"]
    return []


def _is_settings(model: Any) -> bool:
    return isinstance(model, type) and issubclass(model, msgspec.Struct)


def _unknown_key(name: object, valid: list[str]) -> str:
    similar = difflib.get_close_matches(str(name), valid, n=1)
    hint = f" (did you mean `{similar[0]}`?)" if similar else ""
    return f"unknown key `{name}`{hint}"


def _type_in_words(data: object) -> str:
    names: dict[type, str] = {list: "a list", str: "text", types.NoneType: "empty"}
    return names.get(type(data), f"`{data}`")

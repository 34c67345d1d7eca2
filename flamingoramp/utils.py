"""Validators for attrs classes, and conversion of JSON documents to them."""

from __future__ import annotations

import functools
import json
import os
import typing
from collections.abc import Callable
from typing import Any, TypeVar

import attrs

from flamingoramp import errors

T = TypeVar("T")


def between(low: float, high: float, unit: str) -> Callable[[Any, attrs.Attribute, Any], None]:
    """Return an attrs validator that accepts numbers from ``low`` to ``high``, both included."""

    def _check(_instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if not low <= value <= high:
            raise ValueError(f"{attribute.name}: found {value!r}, takes {low} to {high} {unit}")

    return _check


def one_of(*choices: str) -> Callable[[Any, attrs.Attribute, Any], None]:
    """Return an attrs validator that accepts any of several strings."""

    def _check(_instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if value not in choices:
            allowed = ", ".join(choices)
            raise ValueError(f"{attribute.name}: found {value!r}, takes one of {allowed}")

    return _check


def name_field() -> Any:
    """Return an attrs field for an identifier of 1 to 64 letters, digits, ``-``, ``_`` or ``.``."""

    def _check(_instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if not value or len(value) > 64 or not all(c.isalnum() or c in "-_." for c in value):
            allowed = "1 to 64 letters, digits, '-', '_' or '.'"
            raise ValueError(f"{attribute.name}: found {value!r}, takes {allowed}")

    return attrs.field(validator=_check)


_DESCRIPTIONS = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}
_get_type_hints = functools.cache(typing.get_type_hints)


def _structure(data: Any, target: Any, path: str, problems: list[str]) -> Any:
    """Convert plain data to a type; add what is wrong to ``problems``, with the key path."""
    item_types = typing.get_args(target)
    if attrs.has(target):
        return _structure_object(data, target, path, problems)
    if item_types and isinstance(data, list | tuple):
        return tuple(
            [
                _structure(item, item_types[0], f"{path}[{position}]", problems)
                for position, item in enumerate(data)
            ]
        )
    if target is float and type(data) is int:
        return float(data)
    if type(data) is not target:
        description = "a list" if item_types else _DESCRIPTIONS[target]
        problems.append(f"found {data!r}, takes {description} @ {path}")
    return data


def _structure_object(data: Any, cls: type[T], path: str, problems: list[str]) -> T | None:
    """Convert an object to an attrs class and validate it; None if there are problems."""
    if not isinstance(data, dict):
        problems.append(f"found {data!r}, takes an object @ {path}")
        return None
    problem_count = len(problems)
    hints = _get_type_hints(cls)
    values = {}
    for attribute in attrs.fields(cls):
        if attribute.name in data:
            values[attribute.name] = _structure(
                data[attribute.name],
                hints[attribute.name],
                f"{path}.{attribute.name}",
                problems,
            )
        elif attribute.default is attrs.NOTHING:
            problems.append(f"key {attribute.name!r} is missing @ {path}")
    if unknown_keys := data.keys() - hints.keys():
        problems.append(f"unknown keys {', '.join(sorted(unknown_keys))} @ {path}")
    if len(problems) > problem_count:
        return None
    try:
        return cls(**values)
    except ValueError as error:
        problems.append(f"{error} @ {path}")
        return None


def structure(data: Any, cls: type[T], source: str) -> T:
    """Convert plain data to an instance of an attrs class, and validate it.

    Parameters
    ----------
    data : dict
        Decoded JSON object.
    cls : type
        attrs class of the result.
    source : str
        Origin of the data, such as a file name, for error messages.

    Raises
    ------
    flamingoramp.errors.SettingsError
        If the data is invalid; names the source, the key path, the value and the allowed values.
    """
    problems: list[str] = []
    result = _structure_object(data, cls, "$", problems)
    if problems:
        raise errors.SettingsError(f"{source}: " + "; ".join(problems))
    return result


def _read_text(path: str | os.PathLike) -> str:
    with open(path, encoding="utf-8") as file:
        return file.read()


def read_json(path: str | os.PathLike) -> Any:
    """Return the decoded content of a JSON file.

    Raises
    ------
    flamingoramp.errors.SettingsError
        If the file can't be read or isn't valid JSON.
    """
    try:
        return json.loads(_read_text(path))
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(f"{path}: not JSON: {error}") from error


def load(path: str | os.PathLike, cls: type[T]) -> T:
    """Convert a JSON file to an instance of an attrs class, and validate it."""
    return structure(read_json(path), cls, str(path))


def check_unique(names: list[str], label: str, source: str) -> None:
    """Raise `SettingsError` if a name occurs twice; ``label`` says what the names denote."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise errors.SettingsError(f"{source}: {label} {name!r} stands twice; names are unique")
        seen.add(name)

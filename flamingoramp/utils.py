"""Checks and conversions that several packages share."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs import errors as cattrs_errors
from cattrs import gen

from flamingoramp import errors

Kind = TypeVar("Kind")


def between(low: float, high: float, unit: str) -> Callable[[Any, attrs.Attribute, Any], None]:
    """Return an attrs validator for a range."""

    def _check(_instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if not low <= value <= high:
            raise ValueError(f"{attribute.name}: found {value!r}, takes {low} to {high} {unit}")

    return _check


def one_of(*choices: str) -> Callable[[Any, attrs.Attribute, Any], None]:
    """Return an attrs validator for a choice of names."""

    def _check(_instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if value not in choices:
            takes = ", ".join(choices)
            raise ValueError(f"{attribute.name}: found {value!r}, takes one of {takes}")

    return _check


def name_field() -> Any:
    """Return an attrs field for the name of something."""

    def _check(_instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if not value or len(value) > 64 or not all(c.isalnum() or c in "-_." for c in value):
            takes = "1 to 64 letters, digits, '-', '_' or '.'"
            raise ValueError(f"{attribute.name}: found {value!r}, takes {takes}")

    return attrs.field(validator=_check)


def _strict(kind: type, takes: str) -> Callable[[Any, Any], Any]:
    def _structure(value: Any, _kind: Any) -> Any:
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise TypeError(f"found {value!r}, takes {takes}")
        return value

    return _structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict(str, "a text"))
    converter.register_structure_hook(int, _strict(int, "a whole number"))
    converter.register_structure_hook(float, _strict(float, "a number"))
    converter.register_structure_hook(bool, _strict(bool, "true or false"))
    converter.register_structure_hook_factory(attrs.has, _structure_class)
    return converter


def _structure_class(kind: type) -> Callable[[Any, Any], Any]:
    inner = gen.make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=True)

    def _structure(value: Any, target: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError(f"found {value!r}, takes an object")
        return inner(value, target)

    return _structure


converter: cattrs.Converter = _make_converter()


def _describe(error: BaseException, _kind: type | None) -> str:
    if isinstance(error, KeyError):
        return f"key {error} is missing"
    if isinstance(error, cattrs_errors.ForbiddenExtraKeysError):
        return f"unknown keys {', '.join(sorted(error.extra_fields))}"
    if isinstance(error, ValueError | TypeError):
        return str(error)
    return "invalid value"


def structure(data: Any, kind: type[Kind], source: str) -> Kind:
    """Check plain data against an attrs class.

    Parameters
    ----------
    data : dict
        As read from JSON.
    kind : type
        attrs class to make.
    source : str
        File or place that errors name.

    Raises
    ------
    flamingoramp.errors.SettingsError
        Names source, key path, what was found and what it takes.
    """
    try:
        return converter.structure(data, kind)
    except Exception as error:
        problems = cattrs.transform_error(error, format_exception=_describe)
        raise errors.SettingsError(f"{source}: " + "; ".join(problems)) from error


def read_json(path: str | pathlib.Path) -> Any:
    """Read a JSON file.

    Raises
    ------
    flamingoramp.errors.SettingsError
        If the file can't be read or is no JSON.
    """
    try:
        return json.loads(pathlib.Path(path).read_text())
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise errors.SettingsError(f"{path}: not JSON: {error}") from error


def load(path: str | pathlib.Path, kind: type[Kind]) -> Kind:
    """Read a JSON file and check it against an attrs class."""
    return structure(read_json(path), kind, str(path))


def check_unique(names: list[str], what: str, source: str) -> None:
    """Refuse a name that stands twice."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise errors.SettingsError(f"{source}: {what} {name!r} stands twice; names are unique")
        seen.add(name)

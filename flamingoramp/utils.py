"""Validators for attrs classes, and conversion of JSON documents to them."""

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


def _exact_type_hook(expected: type, description: str) -> Callable[[Any, Any], Any]:
    def _structure(value: Any, _target: Any) -> Any:
        if expected is float and type(value) is int:
            return float(value)
        if type(value) is not expected:
            raise TypeError(f"found {value!r}, takes {description}")
        return value

    return _structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _exact_type_hook(str, "a text"))
    converter.register_structure_hook(int, _exact_type_hook(int, "a whole number"))
    converter.register_structure_hook(float, _exact_type_hook(float, "a number"))
    converter.register_structure_hook(bool, _exact_type_hook(bool, "true or false"))
    converter.register_structure_hook_factory(attrs.has, _attrs_class_hook)
    return converter


def _attrs_class_hook(cls: type) -> Callable[[Any, Any], Any]:
    structure_attributes = gen.make_dict_structure_fn(
        cls, converter, _cattrs_forbid_extra_keys=True
    )

    def _structure(value: Any, target: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError(f"found {value!r}, takes an object")
        return structure_attributes(value, target)

    return _structure


converter: cattrs.Converter = _make_converter()


def _format_problem(error: BaseException, _cls: type | None) -> str:
    if isinstance(error, KeyError):
        return f"key {error} is missing"
    if isinstance(error, cattrs_errors.ForbiddenExtraKeysError):
        return f"unknown keys {', '.join(sorted(error.extra_fields))}"
    if isinstance(error, ValueError | TypeError):
        return str(error)
    return "invalid value"


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
    try:
        return converter.structure(data, cls)
    except Exception as error:
        problems = cattrs.transform_error(error, format_exception=_format_problem)
        raise errors.SettingsError(f"{source}: " + "; ".join(problems)) from error


def read_json(path: str | pathlib.Path) -> Any:
    """Return the decoded content of a JSON file.

    Raises
    ------
    flamingoramp.errors.SettingsError
        If the file can't be read or isn't valid JSON.
    """
    try:
        return json.loads(pathlib.Path(path).read_text())
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise errors.SettingsError(f"{path}: not JSON: {error}") from error


def load(path: str | pathlib.Path, cls: type[T]) -> T:
    """Convert a JSON file to an instance of an attrs class, and validate it."""
    return structure(read_json(path), cls, str(path))


def check_unique(names: list[str], label: str, source: str) -> None:
    """Raise `SettingsError` if a name occurs twice; ``label`` says what the names denote."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise errors.SettingsError(f"{source}: {label} {name!r} stands twice; names are unique")
        seen.add(name)

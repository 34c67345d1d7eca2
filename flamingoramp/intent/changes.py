"""Differences between two declarations, which a plan shows to an operator."""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp.intent import declarations


@attrs.frozen
class Change:
    """Added, removed or changed part of a declaration.

    Parameters
    ----------
    action : str
        ``add``, ``remove`` or ``change``.
    subject : str
        Kind and name of the part, such as ``service design-llm``.
    detail : str
        Changed keys, each with the old and the new value.
    """

    action: str
    subject: str
    detail: str = ""


def compare(old: declarations.Declaration, new: declarations.Declaration) -> tuple[Change, ...]:
    """Return the changes from one declaration to another, empty if they are equal."""
    changes: list[Change] = []
    changes += _compare_by_name("service", old.services, new.services)
    changes += _compare_by_name("workspace", old.workspaces, new.workspaces)
    detail = _describe_difference(old.policy, new.policy)
    if detail:
        changes.append(Change("change", "policy", detail))
    return tuple(changes)


def _compare_by_name(kind: str, old: tuple[Any, ...], new: tuple[Any, ...]) -> list[Change]:
    old_by_name = {item.name: item for item in old}
    new_by_name = {item.name: item for item in new}
    changes = [
        Change("remove", f"{kind} {name}") for name in old_by_name if name not in new_by_name
    ]
    for name, item in new_by_name.items():
        if name not in old_by_name:
            changes.append(Change("add", f"{kind} {name}"))
        elif item != old_by_name[name]:
            changes.append(
                Change("change", f"{kind} {name}", _describe_difference(old_by_name[name], item))
            )
    return changes


def _describe_difference(old: Any, new: Any) -> str:
    parts = []
    for attribute in attrs.fields(type(old)):
        old_value, new_value = getattr(old, attribute.name), getattr(new, attribute.name)
        if old_value != new_value:
            parts.append(f"{attribute.name}: {_format(old_value)} -> {_format(new_value)}")
    return "; ".join(parts)


def _format(value: Any) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(_format(item) for item in value) + "]"
    return getattr(value, "name", None) or str(value)

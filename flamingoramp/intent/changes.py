"""Difference between two declarations, as a plan shows it to an operator."""

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
    listed: list[Change] = []
    listed += _compare_by_name("service", old.services, new.services)
    listed += _compare_by_name("workspace", old.workspaces, new.workspaces)
    detail = _describe_difference(old.policy, new.policy)
    if detail:
        listed.append(Change("change", "policy", detail))
    return tuple(listed)


def _compare_by_name(kind: str, old: tuple[Any, ...], new: tuple[Any, ...]) -> list[Change]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    listed = [Change("remove", f"{kind} {name}") for name in before if name not in after]
    for name, item in after.items():
        if name not in before:
            listed.append(Change("add", f"{kind} {name}"))
        elif item != before[name]:
            listed.append(
                Change("change", f"{kind} {name}", _describe_difference(before[name], item))
            )
    return listed


def _describe_difference(old: Any, new: Any) -> str:
    parts = []
    for attribute in attrs.fields(type(old)):
        before, after = getattr(old, attribute.name), getattr(new, attribute.name)
        if before != after:
            parts.append(f"{attribute.name}: {_format(before)} -> {_format(after)}")
    return "; ".join(parts)


def _format(value: Any) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(_format(item) for item in value) + "]"
    return getattr(value, "name", None) or str(value)

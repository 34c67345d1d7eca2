"""The effects of replacing one declaration by another."""

from __future__ import annotations

from typing import Any

import attrs

from flamingoramp.intent import declarations


@attrs.frozen
class Change:
    """One effect of a plan.

    Parameters
    ----------
    action : str
        ``add``, ``remove`` or ``change``.
    subject : str
        What it concerns, such as ``service design-llm``.
    detail : str
        Keys that change, from what to what.
    """

    action: str
    subject: str
    detail: str = ""


def compare(old: declarations.Declaration, new: declarations.Declaration) -> tuple[Change, ...]:
    """List what a plan changes; an unchanged declaration gives an empty plan."""
    found: list[Change] = []
    found += _compare_named("service", old.services, new.services)
    found += _compare_named("workspace", old.workspaces, new.workspaces)
    detail = _differences(old.policy, new.policy)
    if detail:
        found.append(Change("change", "policy", detail))
    return tuple(found)


def _compare_named(kind: str, old: tuple[Any, ...], new: tuple[Any, ...]) -> list[Change]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    found = [Change("remove", f"{kind} {name}") for name in before if name not in after]
    for name, item in after.items():
        if name not in before:
            found.append(Change("add", f"{kind} {name}"))
        elif item != before[name]:
            found.append(Change("change", f"{kind} {name}", _differences(before[name], item)))
    return found


def _differences(old: Any, new: Any) -> str:
    parts = []
    for attribute in attrs.fields(type(old)):
        before, after = getattr(old, attribute.name), getattr(new, attribute.name)
        if before != after:
            parts.append(f"{attribute.name}: {_show(before)} -> {_show(after)}")
    return "; ".join(parts)


def _show(value: Any) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(_show(item) for item in value) + "]"
    return getattr(value, "name", None) or str(value)

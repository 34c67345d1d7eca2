"""Base classes of attrs classes that share their comparison and representation.

attrs would compile these methods for each class, which is half of the cost of making it, and a
process makes about seventy classes when it starts. Classes with one of these bases are made with
``eq=False, repr=False``.
"""

from __future__ import annotations

import functools
import operator
from collections.abc import Callable
from typing import Any

import attrs


@functools.cache
def _get_reader(cls: type) -> Callable[[Any], Any]:
    """Return a function that returns the values of the fields of an instance."""
    names = [attribute.name for attribute in attrs.fields(cls)]
    return operator.attrgetter(*names) if names else lambda _instance: ()


class MutableValue:
    """Base of an attrs class whose instances are equal if all their fields are."""

    __slots__ = ()
    __hash__ = None

    def __eq__(self, other: object) -> bool:
        if other.__class__ is not self.__class__:
            return NotImplemented
        read = _get_reader(self.__class__)
        return read(self) == read(other)

    def __repr__(self) -> str:
        values = [
            f"{attribute.name}={getattr(self, attribute.name)!r}"
            for attribute in attrs.fields(self.__class__)
        ]
        return f"{self.__class__.__name__}({', '.join(values)})"


class Value(MutableValue):
    """Base of a frozen attrs class, whose instances can be hashed, too."""

    __slots__ = ()

    def __hash__(self) -> int:
        return hash(_get_reader(self.__class__)(self))

"""Tests of the comparison and representation that attrs classes share."""

from __future__ import annotations

import unittest

import attrs

from flamingoramp import value_classes


@attrs.frozen(eq=False, repr=False)
class _Point(value_classes.Value):
    x: int = 0
    y: str = ""


@attrs.frozen(eq=False, repr=False)
class _OtherPoint(value_classes.Value):
    x: int = 0
    y: str = ""


@attrs.frozen(eq=False, repr=False)
class _Empty(value_classes.Value):
    pass


@attrs.define(eq=False, repr=False)
class _Counter(value_classes.MutableValue):
    count: int = 0


class TestValueClasses(unittest.TestCase):
    """The methods return what those that attrs generates would."""

    def test_instances_of_one_class_with_equal_fields_are_equal(self):
        self.assertEqual(_Point(1, "a"), _Point(1, "a"))
        self.assertEqual(hash(_Point(1, "a")), hash(_Point(1, "a")))
        self.assertNotEqual(_Point(1, "a"), _Point(1, "b"))
        self.assertNotEqual(_Point(1, "a"), _OtherPoint(1, "a"))
        self.assertNotEqual(_Point(1, "a"), (1, "a"))
        self.assertEqual(_Empty(), _Empty())
        self.assertEqual(_Counter(2), _Counter(2))
        self.assertNotEqual(_Counter(2), _Counter(3))

    def test_only_frozen_instances_can_be_hashed(self):
        self.assertEqual(len({_Point(1), _Point(1), _Point(2)}), 2)
        with self.assertRaises(TypeError):
            hash(_Counter(1))

    def test_representation_names_class_and_fields(self):
        self.assertEqual(repr(_Point(1, "a")), "_Point(x=1, y='a')")
        self.assertEqual(repr(_Empty()), "_Empty()")

    def test_classes_have_slots(self):
        with self.assertRaises(AttributeError):
            _Counter(1).other = 2

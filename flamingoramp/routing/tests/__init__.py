"""Unit tests of the routing package."""

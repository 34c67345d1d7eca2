"""Checks and limits applied to a caller's request."""

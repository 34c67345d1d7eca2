"""Wiring of the entry and control processes."""

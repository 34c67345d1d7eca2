"""Operators' intent: declarations, plans and their confirmation."""

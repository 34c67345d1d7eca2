"""Declarative configuration by operators: declarations, and plans that put them in force."""

"""Soak of real processes under stops, starts, signals, pauses and changes in series."""

"""Tasks, transports, settings, logs, metrics and the time line."""

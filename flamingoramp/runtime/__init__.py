"""Event loops, transports, HTTP, settings, logs, metrics and the event timeline."""

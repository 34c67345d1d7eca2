"""Structured logs on standard error through `logging`, as text or as JSON lines."""

from __future__ import annotations

import json
import logging
import sys

FORMATS = ("text", "json")


class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a JSON object on one line."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


class _TextFormatter(logging.Formatter):
    def __init__(self):
        super().__init__("%(asctime)s %(levelname)-7s %(name)s: %(message)s")

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as text, followed by its fields."""
        line = super().format(record)
        fields = getattr(record, "fields", {})
        return line + "".join(f" {name}={value}" for name, value in fields.items())


def configure(*, log_format: str, level: str) -> None:
    """Write the logs of this process to standard error in one of `FORMATS`."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter() if log_format == "json" else _TextFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("werkzeug").setLevel(logging.ERROR)


def log_change(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log a state change at level INFO, with its details as named fields."""
    logger.info(event, extra={"fields": fields})

"""Structured logs through `logging`."""

from __future__ import annotations

import json
import logging
import sys

FORMATS = ("text", "json")


class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
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
        """Return the line of a record."""
        line = super().format(record)
        fields = getattr(record, "fields", {})
        return line + "".join(f" {name}={value}" for name, value in fields.items())


def configure(*, log_format: str, level: str) -> None:
    """Send the logs of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter() if log_format == "json" else _TextFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("werkzeug").setLevel(logging.ERROR)


def log_change(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log a change of state with its details."""
    logger.info(event, extra={"fields": fields})

"""Logs: one line of key=value pairs for each event."""

import sys
from typing import Any

from loguru import logger

SECRET_KEYS = frozenset({"key", "authorization", "token", "secret"})
"""Fields that are never written, whatever a caller of `log_event` passes."""


def setup_logs(program: str, level: str = "INFO") -> None:
    """Send events to standard error as key=value lines."""
    logger.remove()
    logger.configure(extra={"program": program})
    logger.add(sys.stderr, level=level, format=format_record, colorize=False)


def format_record(record: Any) -> str:
    """Return the format string of one record, with its message escaped."""
    stamp = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z")
    line = (
        f"time={stamp} level={record['level'].name.lower()} "
        f"program={record['extra'].get('program', '-')} {record['message']}"
    )
    return line.replace("{", "{{").replace("}", "}}").replace("<", r"\<") + "\n"


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one event; values with spaces or quotes are quoted."""
    pairs = " ".join(
        f"{name}={format_value(value)}"
        for name, value in fields.items()
        if name not in SECRET_KEYS
    )
    logger.log(level, f"event={event} {pairs}".rstrip())


def format_value(value: Any) -> str:
    """Return `value` so that it stays one field of one line."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(mark in text for mark in ' "=\n\r\t'):
        return text
    return '"' + text.encode("unicode_escape").decode().replace('"', r"\"") + '"'

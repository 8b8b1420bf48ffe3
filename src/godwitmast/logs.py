"""Logging: one line of key=value pairs per event, rate-limited and non-blocking."""

import logging
import os
import sys
import time
from collections.abc import Hashable
from enum import Enum
from typing import Any

from loguru import logger

SECRET_KEYS = frozenset({"key", "authorization", "token", "secret"})
"""Fields that `log_event` never writes, whatever its caller passes."""

LINES_PER_S = 400.0
"""Rate limit of one process: twice the lines of an entry at its share of 3,000 requests a
second among 350 nodes, with five lines for each request when many fail."""

BURST_LINES = 2_000.0
"""Enough to log a configuration of some hundred routes, or a fleet of servers, at once."""


MAX_LOGGED_ROWS = 1000
"""Rows of which one reader remembers that they were logged."""


class LogTarget(Enum):
    """The output of a program's log lines; the value is the file descriptor."""

    STDOUT = 1
    STDERR = 2


class LineSink:
    """Writes lines to a file descriptor without ever blocking the process.

    Load pattern: the reader of the pipe stalls, or an outage makes every request log
    its failures. A write that blocks would stop the event loop, and with it every
    stream of the entry. So a line that does not fit is dropped, and the next line that
    is written reports how many were dropped.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
    ) -> None:
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.burst = burst
        self.allowed_lines = burst
        self.filled_at = time.monotonic()
        self.dropped = 0

    def __call__(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        if not self.take_line(time.monotonic()):
            self.dropped += 1
            return
        if self.dropped:
            line = f"{line.rstrip()} dropped={self.dropped}\n"
        if self.write_bytes(line.encode()):
            self.dropped = 0
        else:
            self.dropped += 1

    def take_line(self, now: float) -> bool:
        """Consume one line of the rate limit; return whether one was left."""
        refilled = self.allowed_lines + (now - self.filled_at) * self.lines_per_s
        self.allowed_lines = min(self.burst, refilled)
        self.filled_at = now
        if self.allowed_lines < 1:
            return False
        self.allowed_lines -= 1
        return True

    def write_bytes(self, content: bytes) -> bool:
        """Write the line, or the part of it that fits; return whether anything was written."""
        try:
            os.write(self.descriptor, content)
        except BlockingIOError:
            return False
        except OSError:
            # The log has no reader any more; that must not stop the service.
            return False
        return True


def setup_logs(
    program: str, level: str = "INFO", target: LogTarget = LogTarget.STDERR
) -> None:
    """Send events as key=value lines to standard error, or to `target`."""
    logger.remove()
    logger.configure(extra={"program": program})
    sink: Any = sys.stderr
    if target is LogTarget.STDOUT:
        os.set_blocking(target.value, False)
        sink = LineSink(target.value)
    logger.add(sink, level=level, format=format_record, colorize=False)


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
    """Return `value` as text, quoted if it would not be a single field."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(char in text for char in ' "=\n\r\t'):
        return text
    return '"' + text.encode("unicode_escape").decode().replace('"', r"\"") + '"'


class RowLog:
    """Logs rows that cannot be used, each once for each of its contents.

    Rows are read whenever any other one of their table changes.
    """

    def __init__(self, event: str, level: str = "WARNING") -> None:
        self.event = event
        self.level = level
        self.logged: dict[str, Hashable] = {}

    def record(self, row: str, content: Hashable, error: object) -> None:
        """Log a row whose content, or the version of it, was not logged yet."""
        if row in self.logged and self.logged[row] == content:
            return
        if len(self.logged) >= MAX_LOGGED_ROWS:
            self.logged.clear()
        self.logged[row] = content
        log_event(self.event, self.level, row=row, error=str(error))


def silent_logger(name: str) -> logging.Logger:
    """Return a logger that discards a library's lines about failed handshakes.

    Such a failure is logged as an event instead; the library's line has a traceback.
    """
    library_logger = logging.getLogger(name)
    library_logger.addHandler(logging.NullHandler())
    library_logger.propagate = False
    return library_logger

"""Logs: one line of key=value pairs for each event, bounded and never in the way."""

import logging
import os
import sys
import time
from enum import Enum
from typing import Any

from loguru import logger

SECRET_KEYS = frozenset({"key", "authorization", "token", "secret"})
"""Fields that are never written, whatever a caller of `log_event` passes."""

LINES_PER_S = 400.0
"""What one process writes at most: twice the lines of an entry at its share of 3,000
requests a second among 350 nodes, with five lines to each request in a bad hour."""

BURST_LINES = 2_000.0
"""A configuration of some hundred routes, or a fleet of servers, at once."""


class LogTarget(Enum):
    """Where a program writes its lines; the value is the descriptor."""

    STDOUT = 1
    STDERR = 2


class LineSink:
    """Writes lines to a descriptor that must not hold the process up.

    Load pattern: whoever reads the pipe stands still, or an outage makes every request
    log its failures. A write that blocks would stop the event loop, and with it every
    stream of the entry. So a line that does not fit is dropped, and the next one that
    does says how many were.
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
        self.level = burst
        self.filled_at = time.monotonic()
        self.dropped = 0

    def __call__(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        if not self.may_write(time.monotonic()):
            self.dropped += 1
            return
        if self.dropped:
            line = f"{line.rstrip()} dropped={self.dropped}\n"
        if self.put_out(line.encode()):
            self.dropped = 0
        else:
            self.dropped += 1

    def may_write(self, now: float) -> bool:
        """Take a line from what is allowed; return whether there was one left."""
        grown = self.level + (now - self.filled_at) * self.lines_per_s
        self.level = min(self.burst, grown)
        self.filled_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def put_out(self, content: bytes) -> bool:
        """Return whether the line is out, or the part of it that fitted."""
        try:
            os.write(self.descriptor, content)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the log any more; that is no reason to serve no one.
            return False
        return True


def setup_logs(
    program: str, level: str = "INFO", target: LogTarget = LogTarget.STDERR
) -> None:
    """Send events as key=value lines to standard error, or where `target` says."""
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
    """Return `value` so that it stays one field of one line."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(mark in text for mark in ' "=\n\r\t'):
        return text
    return '"' + text.encode("unicode_escape").decode().replace('"', r"\"") + '"'


def quiet_logger(name: str) -> logging.Logger:
    """Return a logger for a library that would log each failed handshake.

    Such a failure is an event of ours; the library's line has a traceback.
    """
    quiet = logging.getLogger(name)
    quiet.addHandler(logging.NullHandler())
    quiet.propagate = False
    return quiet

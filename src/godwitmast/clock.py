"""Clocks: an interface, so that the code can run in virtual time, and two clocks."""

import time
from typing import Protocol


class Clock(Protocol):
    """The clock that drivers use; code without I/O gets `now` as an argument instead."""

    def now(self) -> float:
        """Return seconds on a monotonic clock."""

    def wall(self) -> float:
        """Return seconds since the epoch, on a clock that may jump."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock that moves only when `advance` is called."""

    def __init__(self, now: float = 0.0) -> None:
        self.seconds = now

    def now(self) -> float:
        return self.seconds

    def wall(self) -> float:
        return self.seconds

    def advance(self, seconds: float) -> None:
        self.seconds += seconds

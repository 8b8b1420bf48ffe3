"""Where time comes from, so that decisions can be driven in virtual time."""

import time
from typing import Protocol


class Clock(Protocol):
    """What the drivers need of a clock; the decisions take `now` instead."""

    def now(self) -> float:
        """Return seconds on a clock that never goes back."""

    def wall(self) -> float:
        """Return seconds since the epoch, which may jump."""


class SystemClock:
    """The machine's clocks."""

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class ManualClock:
    """A clock that moves only when it is told to."""

    def __init__(self, now: float = 0.0) -> None:
        self.seconds = now

    def now(self) -> float:
        return self.seconds

    def wall(self) -> float:
        return self.seconds

    def advance(self, seconds: float) -> None:
        self.seconds += seconds

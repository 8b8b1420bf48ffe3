"""The rate budget and the circuit breaker of platform calls, without I/O.

They keep one process from overloading the platform.
"""

import random
from enum import Enum

FAILURES_TO_OPEN = 5
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 4.0


class Priority(Enum):
    """The order in which calls may use a scarce budget."""

    CONTROL = "control"
    """Leases, configuration, heartbeats and frozen windows: few, and each is critical."""
    BULK = "bulk"
    """Claims and answers: their number grows with the callers' requests."""


class RateBudget:
    """A token bucket of rows a second, with a reserve that only control calls may use.

    Load pattern: a burst of claims exceeds the rate limit of the platform, which then
    also throttles the lease and the heartbeat of the same process.
    """

    RESERVE_SHARE = 0.25

    def __init__(self, rows_per_s: float) -> None:
        self.rows_per_s = rows_per_s
        self.available_rows = rows_per_s
        self.filled_at: float | None = None

    def take_or_delay(self, rows: int, priority: Priority, now: float) -> float:
        """Take `rows` and return 0, or take none and return the seconds until a retry."""
        if self.filled_at is not None:
            refilled = self.available_rows + (now - self.filled_at) * self.rows_per_s
            self.available_rows = min(self.rows_per_s, refilled)
        self.filled_at = now
        reserve = self.rows_per_s * self.RESERVE_SHARE
        floor = reserve if priority is Priority.BULK else 0.0
        # A call of more rows than the bucket holds may go when the bucket is full, and
        # leaves it overdrawn.
        needed = min(float(rows), self.rows_per_s - floor)
        if self.available_rows - floor >= needed:
            self.available_rows -= rows
            return 0.0
        return (needed - (self.available_rows - floor)) / self.rows_per_s

    def record_throttled(self, now: float) -> None:
        """Empty the bucket, since the platform reported that its limit is exceeded."""
        self.available_rows = min(self.available_rows, 0.0)
        self.filled_at = now


class CircuitBreaker:
    """A circuit breaker: fails calls at once while the platform does not answer.

    Otherwise each call during an outage would wait for its whole time-out, and callers
    of claimed requests would wait with it. While open, one probe call at a time is let
    through. Intervals between probes have jitter and double up to a few seconds, so
    that recovery is quick and processes do not return in step.
    """

    def __init__(
        self, jitter: random.Random | None = None, open_max_s: float = MAX_OPEN_S
    ) -> None:
        self.jitter = jitter or random.Random()
        self.open_max_s = open_max_s
        self.failures = 0
        self.open_until = 0.0
        self.open_s = INITIAL_OPEN_S
        self.probing = False

    @property
    def is_open(self) -> bool:
        return self.failures >= FAILURES_TO_OPEN

    def allow_call(self, now: float) -> bool:
        """Return whether a call may be made; while open, one probe at a time may."""
        if not self.is_open:
            return True
        if now < self.open_until or self.probing:
            return False
        self.probing = True
        return True

    def record_success(self) -> None:
        self.failures = 0
        self.open_s = INITIAL_OPEN_S

    def record_failure(self, now: float) -> None:
        self.failures += 1
        if self.is_open:
            self.open_until = now + self.open_s * self.jitter.uniform(0.5, 1.0)
            self.open_s = min(self.open_max_s, self.open_s * 2)

    def end_call(self) -> None:
        """Record that a call has ended, whatever its outcome, so the next may probe."""
        self.probing = False

"""What keeps one process from overrunning the platform, without I/O."""

import random
from enum import Enum

FAILURES_TO_OPEN = 5
OPEN_S = 0.5
OPEN_MAX_S = 4.0


class Priority(Enum):
    """Which calls go first when the budget is short."""

    CONTROL = "control"
    """Leases, configuration, heartbeats and frozen windows: few, and each matters."""
    BULK = "bulk"
    """Claims and answers: as many as callers send."""


class Budget:
    """A token bucket of rows a second; bulk leaves a reserve to control.

    Without it a burst of claims would be throttled by the platform, and the lease and
    the heartbeat of the same process along with them.
    """

    RESERVE_SHARE = 0.25

    def __init__(self, rows_per_s: float) -> None:
        self.rows_per_s = rows_per_s
        self.level = rows_per_s
        self.filled_at: float | None = None

    def delay(self, rows: int, priority: Priority, now: float) -> float:
        """Take `rows` and return 0, or return how long to wait before asking again."""
        if self.filled_at is not None:
            grown = self.level + (now - self.filled_at) * self.rows_per_s
            self.level = min(self.rows_per_s, grown)
        self.filled_at = now
        reserve = self.rows_per_s * self.RESERVE_SHARE
        floor = reserve if priority is Priority.BULK else 0.0
        # More rows than the bucket holds go when it is full, and leave it in debt.
        wanted = min(float(rows), self.rows_per_s - floor)
        if self.level - floor >= wanted:
            self.level -= rows
            return 0.0
        return (wanted - (self.level - floor)) / self.rows_per_s

    def throttled(self, now: float) -> None:
        """Start anew from nothing, since the platform says that it is too much."""
        self.level = min(self.level, 0.0)
        self.filled_at = now


class Breaker:
    """Stops asking a platform that does not answer, and tries it now and then.

    While it is away each call would otherwise wait out its whole time-out, with the
    callers of claimed requests waiting behind it. Times are jittered and double up to
    a few seconds, so that recovery is quick and not all at once.
    """

    def __init__(
        self, jitter: random.Random | None = None, open_max_s: float = OPEN_MAX_S
    ) -> None:
        self.jitter = jitter or random.Random()
        self.open_max_s = open_max_s
        self.failures = 0
        self.open_until = 0.0
        self.open_s = OPEN_S
        self.trying = False

    @property
    def open(self) -> bool:
        return self.failures >= FAILURES_TO_OPEN

    def may_try(self, now: float) -> bool:
        """Return whether to ask; while open, one call at a time tries."""
        if not self.open:
            return True
        if now < self.open_until or self.trying:
            return False
        self.trying = True
        return True

    def answered(self) -> None:
        self.failures = 0
        self.open_s = OPEN_S

    def failed(self, now: float) -> None:
        self.failures += 1
        if self.open:
            self.open_until = now + self.open_s * self.jitter.uniform(0.5, 1.0)
            self.open_s = min(self.open_max_s, self.open_s * 2)

    def ended(self) -> None:
        """Let the next call try, whatever became of this one."""
        self.trying = False

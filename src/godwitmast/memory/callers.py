"""How fast callers take their answers, and which of them yield when memory is short.

Load pattern: some hundred callers read slowly, or have stopped, and hold all the memory
that answers may take. Waiting for them would delay every other caller.

A caller that yields loses its connection in the middle of its answer. The slowest that hold
the most yield first: the cost of a caller is the bytes that it holds, times the seconds in
which it would take them at its present rate.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

RATE_HALF_LIFE_S = 0.5
"""Half-life of what a caller took: long enough to span a retransmission of 200 ms."""

SLOW_AFTER_S = 0.2
"""A caller for which bytes have waited for less doesn't yield. The most urgent requests have
a third of a second to their first token, which leaves a tenth for all else."""

FAST_WITHIN_S = 0.5
"""A caller that will have taken all that waits for it within this time doesn't yield."""

MAX_LEFT_S = 600.0
"""Stands for the time that a caller still needs if it has stopped reading."""


@dataclass(slots=True)
class CallerFlow:
    """Bytes that wait for one caller, and how fast it takes them."""

    waiting: int = 0
    waits_since: float = 0.0
    """Since when bytes have been waiting for it without interruption."""
    taken: float = 0.0
    """Bytes taken, where older ones count less; `counted_s` likewise for the time."""
    counted_s: float = 0.0
    updated_at: float = 0.0

    def record_arrival(self, count: int, now: float) -> None:
        """Record bytes that now wait for the caller."""
        if not self.waiting:
            self.waits_since = self.updated_at = now
        self.update(now)
        self.waiting += count

    def record_taken(self, count: int, now: float) -> None:
        """Record bytes that the caller took."""
        self.update(now)
        self.waiting -= count
        self.taken += count

    def update(self, now: float) -> None:
        """Let what was counted before count less; time without bytes doesn't count."""
        passed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        fading = math.exp2(-passed_s / RATE_HALF_LIFE_S)
        self.taken *= fading
        self.counted_s = self.counted_s * fading + passed_s

    def left_s(self, now: float) -> float:
        """Return the seconds in which the caller will have taken all that waits."""
        self.update(now)
        if self.taken < 1:
            return MAX_LEFT_S
        return min(MAX_LEFT_S, self.waiting * self.counted_s / self.taken)

    def is_slow(self, now: float) -> bool:
        if not self.waiting or now - self.waits_since < SLOW_AFTER_S:
            return False
        return self.left_s(now) > FAST_WITHIN_S

    def cost(self, now: float) -> float:
        """Return what the caller costs, in byte-seconds."""
        return self.waiting * self.left_s(now)


def choose_yielding(flows: Iterable[CallerFlow], now: float) -> CallerFlow | None:
    """Return the caller that yields first, or None if all are fast."""
    slow = [flow for flow in flows if flow.is_slow(now)]
    return max(slow, key=lambda flow: flow.cost(now), default=None)

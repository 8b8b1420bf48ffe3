"""Takes servers out of the choice that fail or lag behind their peers, and back.

Load pattern: crashes, hangs and stragglers, whose load reports lag behind. Without
this a dead server, which is always the least loaded, attracts every request. With too
much of it, a busy spell ejects one server after the other until none is left.

- A refused or broken connection counts at once: there is nothing to average over.
- Three errors in a row, or two slow windows or time-outs in a row, count as well.
- A server that is out for slowness must be `SLOW_FACTOR` times slower than the pool's
  median, and no more than `MAX_OUT_SHARE` of a pool is out for it: with more than that
  slow, slow is usual, and the rest could not carry the load.
- After a while, doubled at each failure in a row and jittered so that entries do not
  return at once, one request at a time probes the server. Envoy's outlier detection
  and the half-open state of circuit breakers work alike.
"""

import random
from dataclasses import dataclass
from enum import Enum

SLOW_FACTOR = 5.0
"""An engine that reads a chunk of a long prompt in each step of a window is up to four
times slower than its peers, and healthy."""

HEALTHY_FACTOR = 2.5
SLOW_STRIKES = 2
ERROR_STRIKES = 3
MAX_OUT_SHARE = 0.34

FIRST_OUT_S = {"down": 0.5, "slow": 5.0}
MAX_OUT_S = 60.0
JITTER = 0.2


class Condition(Enum):
    """Whether a server gets requests."""

    IN = "in"
    DOWN = "down"
    SLOW = "slow"


@dataclass(slots=True)
class Health:
    """What one server's failures have led to."""

    condition: Condition = Condition.IN
    out_until: float = 0.0
    times_out: int = 0
    slow_strikes: int = 0
    error_strikes: int = 0

    def is_in(self) -> bool:
        return self.condition is Condition.IN

    def may_probe(self, now: float) -> bool:
        return self.condition is not Condition.IN and now >= self.out_until

    def take_out(self, condition: Condition, now: float, draw: random.Random) -> None:
        """Take the server out, for longer each time in a row."""
        first = FIRST_OUT_S[condition.value]
        seconds = min(MAX_OUT_S, first * 2.0**self.times_out)
        self.times_out = min(self.times_out + 1, 10)
        self.condition = condition
        self.out_until = now + seconds * draw.uniform(1 - JITTER, 1 + JITTER)
        self.slow_strikes = self.error_strikes = 0

    def bring_back(self) -> None:
        self.condition = Condition.IN
        self.slow_strikes = self.error_strikes = 0

    def strike_slow(self) -> bool:
        """Count a slow window or a time-out; return whether that is enough."""
        self.slow_strikes += 1
        return self.slow_strikes >= SLOW_STRIKES

    def strike_error(self) -> bool:
        self.error_strikes += 1
        return self.error_strikes >= ERROR_STRIKES

    def served(self) -> None:
        """Note a whole answer."""
        self.error_strikes = 0
        if self.condition is Condition.IN:
            self.times_out = max(0, self.times_out - 1)


def may_eject(out: int, servers: int) -> bool:
    """Return whether one more server of a pool may be out for slowness."""
    return servers > 1 and out + 1 <= max(1, int(servers * MAX_OUT_SHARE))

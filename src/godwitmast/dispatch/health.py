"""Ejection of servers that fail or are slower than their peers, and their readmission.

Load pattern: crashes, hangs and stragglers, whose load reports lag behind. Without
ejection a dead server, which is always the least loaded, attracts every request. With
too much of it, a period of high load ejects one server after the other until none is
left.

- A refused or broken connection ejects at once, as there is nothing to average.
- A malformed answer speaks against its connection, on which bytes may have been left
  over. Three in a row, without an answer of the server's own in between, eject it too,
  but not the last server of a pool in rotation. So do three answers in a row that are
  malformed after they began, whatever else begins in between.
- Three errors in a row, or two slow windows or time-outs in a row, eject as well.
- A server that is ejected as slow must be `SLOW_FACTOR` times slower than the pool's
  median, and no more than `MAX_SLOW_SHARE` of a pool is ejected as slow: if more are
  slow, that is the pool's normal speed, and the rest could not carry the load.
- After a time that doubles with each ejection, with jitter so that entries do not probe
  at the same time, one request at a time probes the server. Each complete answer of a
  server in rotation lowers its count of ejections by one. Envoy's outlier detection and
  the half-open state of circuit breakers work alike.
"""

import math
import random
from dataclasses import dataclass
from enum import Enum

SLOW_FACTOR = 5.0
"""An engine that prefills a chunk of a long prompt in each step of a window is up to
four times slower than its peers, and healthy."""

HEALTHY_FACTOR = 2.5
SLOW_TO_EJECT = 2
ERRORS_TO_EJECT = 3
MALFORMED_TO_EJECT = 3
MAX_SLOW_SHARE = 0.34

FIRST_EJECTION_S = {"down": 0.5, "slow": 5.0}
MAX_EJECTION_S = 60.0
JITTER_SHARE = 0.2


class Condition(Enum):
    """Whether a server gets requests."""

    IN = "in"
    DOWN = "down"
    SLOW = "slow"


@dataclass(slots=True)
class Health:
    """The ejection state of one server."""

    condition: Condition = Condition.IN
    ejected_at: float = -math.inf
    ejected_until: float = 0.0
    ejection_count: int = 0
    consecutive_slow: int = 0
    consecutive_errors: int = 0
    consecutive_malformed: int = 0
    consecutive_broken: int = 0
    """Answers that began, and were malformed further on."""
    is_unreachable: bool = False
    """It was ejected as a connection was refused or broke, not by what it answered."""

    def is_in_rotation(self) -> bool:
        return self.condition is Condition.IN

    def may_probe(self, now: float) -> bool:
        return self.condition is not Condition.IN and now >= self.ejected_until

    def eject(self, condition: Condition, now: float, rng: random.Random) -> None:
        """Eject the server, for a time that doubles with each counted ejection."""
        first = FIRST_EJECTION_S[condition.value]
        seconds = min(MAX_EJECTION_S, first * 2.0**self.ejection_count)
        self.ejection_count = min(self.ejection_count + 1, 10)
        self.condition = condition
        self.is_unreachable = False
        self.ejected_at = now
        self.ejected_until = now + seconds * rng.uniform(
            1 - JITTER_SHARE, 1 + JITTER_SHARE
        )
        self.reset_counts()

    def readmit(self) -> None:
        self.condition = Condition.IN
        self.is_unreachable = False
        self.reset_counts()

    def reset_counts(self) -> None:
        self.consecutive_slow = self.consecutive_errors = 0
        self.consecutive_malformed = self.consecutive_broken = 0

    def record_slow(self) -> bool:
        """Count a slow window or a time-out; return whether the server is to be
        ejected."""
        self.consecutive_slow += 1
        return self.consecutive_slow >= SLOW_TO_EJECT

    def record_error(self) -> bool:
        """Count an error; return whether the server is to be ejected."""
        self.record_answer()
        self.consecutive_broken = 0
        self.consecutive_errors += 1
        return self.consecutive_errors >= ERRORS_TO_EJECT

    def record_malformed(self, started_at: float, has_begun: bool = False) -> bool:
        """Count a malformed answer to a request that was sent at `started_at`.

        Return whether the server is to be ejected, or its ejection extended: requests
        that were sent before that tell nothing new.
        """
        if not self.is_in_rotation():
            return started_at > self.ejected_at
        if has_begun:
            self.consecutive_broken += 1
        else:
            self.consecutive_malformed += 1
        most = max(self.consecutive_malformed, self.consecutive_broken)
        return most >= MALFORMED_TO_EJECT

    def record_answer(self) -> None:
        """Record that the server's own answer to a request began; it may be an error."""
        self.consecutive_malformed = 0

    def record_success(self) -> None:
        """Record a complete answer."""
        self.record_answer()
        self.consecutive_errors = self.consecutive_broken = 0
        if self.condition is Condition.IN:
            self.ejection_count = max(0, self.ejection_count - 1)


def may_eject_as_slow(ejected: int, servers: int) -> bool:
    """Return whether one more server of a pool may be ejected as slow."""
    return servers > 1 and ejected + 1 <= max(1, int(servers * MAX_SLOW_SHARE))

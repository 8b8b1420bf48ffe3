"""A bound on what all routers together send to a server that has just started.

Load pattern: a server that has just started is the least loaded one, so that each of
hundreds of routers sends it its next request in the same second. A cold server crashes
under that load. Routers share no count of what they send, learn of the start at
different times, and a partitioned router learns nothing more.

So each router has periodic turns at a cold server (`turns`). Their rate is the router's
share of what the server can handle, set so that more than that in one second is very
unlikely.
"""

import math
import random
from dataclasses import dataclass, field
from functools import lru_cache
from typing import NamedTuple

from godwitmast.dispatch.turns import Turns

TURN_S = 0.25
"""How long a turn may be used."""

MAX_EXCESS_PROBABILITY = 1e-6
"""Probability that the requests of one second exceed what a cold server can handle."""

RESTART_DETECTION_S = 5.0
"""How long after a refused connection it may take to learn that the server restarted
cold: its row expires after some heartbeats, or the new start's row arrives with a
batched read."""

MAX_REPORTED_COLD_S = 60.0
"""Longest remaining warm-up time that is accepted from a server."""


class WarmupLimit(NamedTuple):
    """What a cold server can handle from all routers together.

    That is `per_s` requests a second, and never more than `most` in one second. A
    server stays cold for `start_s` after its start.
    """

    per_s: float
    most: float
    start_s: float


@lru_cache
def safe_rate_per_s(limit: WarmupLimit) -> float:
    """Return the highest total rate of requests at which an excess is unlikely
    enough."""
    low, high = 0.0, limit.per_s
    if excess_probability(high * (1 + TURN_S), limit.most) <= MAX_EXCESS_PROBABILITY:
        return high
    for _ in range(40):
        rate = (low + high) / 2
        if excess_probability(rate * (1 + TURN_S), limit.most) > MAX_EXCESS_PROBABILITY:
            high = rate
        else:
            low = rate
    return low


def excess_probability(mean: float, most: float) -> float:
    """Return the probability that a Poisson variable exceeds `most`."""
    term = within = math.exp(-mean)
    for count in range(1, int(most) + 1):
        term *= mean / count
        within += term
    return max(0.0, 1.0 - within)


@dataclass(slots=True)
class Warmup:
    """One router's turns at one server that is, or may be, cold."""

    reported_until: float = -math.inf
    assumed_until: float = -math.inf
    turns: Turns = field(default_factory=lambda: Turns(TURN_S))

    def record_report(self, left_s: float, now: float) -> None:
        """Record the reported remaining warm-up time; the server may become cold again
        later."""
        self.reported_until = (
            now + min(MAX_REPORTED_COLD_S, left_s) if left_s > 0 else -math.inf
        )

    def assume_cold(self, until: float) -> None:
        """Treat the server as cold until then, whatever it reports."""
        self.assumed_until = max(self.assumed_until, until)

    def is_cold(self, now: float) -> bool:
        return now < max(self.reported_until, self.assumed_until)

    def advance(self, period_s: float, now: float, rng: random.Random) -> None:
        """Move on to the first turn that has not expired, if the server is cold."""
        if self.is_cold(now):
            self.turns.advance(period_s, now, rng)
        else:
            self.turns.stop()

    def may_send(self, now: float) -> bool:
        return not self.is_cold(now) or self.turns.is_open(now)

    def use_turn(self, period_s: float, now: float) -> None:
        """Record a request, which uses up the turn."""
        if self.is_cold(now):
            self.turns.use(period_s)

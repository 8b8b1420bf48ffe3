"""A bound on what all routers together send to a server that has just started.

Load pattern: a server that has just started is the least loaded one, so that each of
hundreds of routers sends it its next request in the same second. A cold server crashes
under that load. Routers share no count of what they send, learn of the start at
different times, and a partitioned router learns nothing more.

So each router has periodic turns at a cold server. A turn is a slot in time for sending
one request to it. The rate of the turns is the router's share of what the server can
handle, and their phase is random. The sum at the server is then close to a Poisson
process, whatever the routers' clocks show and whichever of them restart, and its rate
is set so that more than the server can handle in one second is very unlikely. A turn
that is not used soon expires: if turns were kept, many would be used at the same time.
"""

import math
import random
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

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
    turn_at: float = math.inf
    """Start of the current or next turn."""

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
        """Move on to the first turn that has not expired; an infinite period has no
        turns."""
        if not self.is_cold(now) or math.isinf(period_s):
            self.turn_at = math.inf
        elif math.isinf(self.turn_at):
            self.turn_at = now + rng.random() * period_s
        elif now >= self.turn_at + TURN_S:
            over = math.ceil((now - self.turn_at - TURN_S) / period_s)
            self.turn_at += max(1, over) * period_s

    def may_send(self, now: float) -> bool:
        if not self.is_cold(now):
            return True
        return self.turn_at <= now < self.turn_at + TURN_S

    def use_turn(self, period_s: float, now: float) -> None:
        """Record a request, which uses up the turn."""
        if self.is_cold(now):
            self.turn_at += period_s

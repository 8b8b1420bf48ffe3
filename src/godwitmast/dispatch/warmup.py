"""Bounds what all routers together send to a server that has just started.

Load pattern: a server that has just started is the least loaded one, so that each of
hundreds of routers sends it its next request in the same second. A cold server crashes
under that. Routers share no count of what they send, learn of the start at different
times, and one that is partitioned learns nothing more.

So each router takes turns at a cold server, as many a second as its part of what the
server bears, from a start that it draws at random. What adds up at the server is then
close to a Poisson process, whatever the routers' clocks say and whoever of them restarts,
and its rate is chosen so that more than the server bears in one second hardly happens.
A turn that is not used is soon lost: kept for later, turns would be used together.
"""

import math
import random
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

TURN_S = 0.25
"""How long a turn may be used."""

EXCESS_CHANCE = 1e-6
"""How likely a second is to bring more than a cold server bears."""

RESTART_NEWS_S = 5.0
"""How long after a refused connection the news may take that its server restarted cold:
its row lapses after some heartbeats, or the new start's row comes with a gathered read."""

LONGEST_S = 60.0
"""More than that is not believed of a server that tells how long it stays cold."""


class WarmupLimit(NamedTuple):
    """What a cold server bears of all routers together.

    That is `per_s` requests a second, and never more than `most` in one second. A server
    stays cold for `start_s` after its start.
    """

    per_s: float
    most: float
    start_s: float


@lru_cache
def safe_rate(limit: WarmupLimit) -> float:
    """Return the requests a second whose random sum stays below what is borne."""
    low, high = 0.0, limit.per_s
    if excess_chance(high * (1 + TURN_S), limit.most) <= EXCESS_CHANCE:
        return high
    for _ in range(40):
        rate = (low + high) / 2
        if excess_chance(rate * (1 + TURN_S), limit.most) > EXCESS_CHANCE:
            high = rate
        else:
            low = rate
    return low


def excess_chance(mean: float, most: float) -> float:
    """Return the chance that a Poisson variable exceeds `most`."""
    term = within = math.exp(-mean)
    for count in range(1, int(most) + 1):
        term *= mean / count
        within += term
    return max(0.0, 1.0 - within)


@dataclass(slots=True)
class Warmup:
    """One router's turns at one server while that is, or may be, cold."""

    told_until: float = -math.inf
    assumed_until: float = -math.inf
    turn_at: float = math.inf
    """When the present or next turn begins."""

    def told(self, left_s: float, now: float) -> None:
        """Record what the server reports; it may become cold again at any time."""
        self.told_until = now + min(LONGEST_S, left_s) if left_s > 0 else -math.inf

    def assume(self, until: float) -> None:
        """Treat the server as cold until then, whatever it reports."""
        self.assumed_until = max(self.assumed_until, until)

    def is_cold(self, now: float) -> bool:
        return now < max(self.told_until, self.assumed_until)

    def advance(self, period_s: float, now: float, draw: random.Random) -> None:
        """Move on to the turn that is not over yet; none comes without a period."""
        if not self.is_cold(now) or math.isinf(period_s):
            self.turn_at = math.inf
        elif math.isinf(self.turn_at):
            self.turn_at = now + draw.random() * period_s
        elif now >= self.turn_at + TURN_S:
            over = math.ceil((now - self.turn_at - TURN_S) / period_s)
            self.turn_at += max(1, over) * period_s

    def may_send(self, now: float) -> bool:
        if not self.is_cold(now):
            return True
        return self.turn_at <= now < self.turn_at + TURN_S

    def sent(self, period_s: float, now: float) -> None:
        """Record a request, which uses the turn up."""
        if self.is_cold(now):
            self.turn_at += period_s

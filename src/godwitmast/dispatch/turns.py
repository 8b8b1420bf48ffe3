"""One router's turns at a server that all routers may send only so much together.

Routers share no count of what they send. If each sends in turns of its own, at its share of
the rate and with a random phase, the sum at the server is close to a Poisson process,
whichever of them restart. A turn that is not used soon expires: if turns were kept, many
would be used at the same time.
"""

import math
import random
from dataclasses import dataclass

MIN_PERIOD_S = 1e-6
"""Shorter periods are all the same, as a turn may be used for far longer."""


@dataclass(slots=True)
class Turns:
    """Turns that recur with a period; each may be used once, for `valid_s`."""

    valid_s: float
    turn_at: float = math.inf
    """Start of the current or next turn."""

    def stop(self) -> None:
        self.turn_at = math.inf

    def advance(self, period_s: float, now: float, rng: random.Random) -> None:
        """Move on to the first turn that has not expired; an infinite period has no
        turns."""
        if math.isinf(period_s):
            self.stop()
        elif self.turn_at > now + period_s:
            # There was no turn yet, or the router's share has grown.
            self.turn_at = now + rng.random() * period_s
        elif now >= self.turn_at + self.valid_s:
            period_s = max(MIN_PERIOD_S, period_s)
            over = math.ceil((now - self.turn_at - self.valid_s) / period_s)
            self.turn_at += max(1, over) * period_s

    def is_open(self, now: float) -> bool:
        """Return whether the current turn may be used now."""
        return self.turn_at <= now < self.turn_at + self.valid_s

    def use(self, period_s: float) -> None:
        self.turn_at += period_s

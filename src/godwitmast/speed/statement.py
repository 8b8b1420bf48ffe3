"""How long work takes on a server by its own statements, and how soon they age.

Load pattern: servers that share their machines with other work. About one in seven
takes two and a half times as long, and every 0.6 s that is another one. A statement
tells what holds now, and nothing a second later; what holds then is what is usual for
the server.
"""

import math
from dataclasses import dataclass

VALIDITY_S = 0.3
"""A statement of this age counts for 1/e: of 0.6 s, the time that a slow phase lasts,
half has passed on average when it is made."""

FORGOTTEN_S = 10 * VALIDITY_S
"""A statement of this age is not reckoned with any more: it would count 1/20,000."""

USUAL_WEIGHT = 0.05
"""Weight of one statement in a server's usual percentage, which the last twenty or so
determine."""

MIN_FACTOR, MAX_FACTOR = 0.1, 20.0
"""Limits on what a statement is taken for, which one server's fault may exceed."""


@dataclass(slots=True)
class Stated:
    """The last statement of one server, and its usual one; 1 is as usual."""

    factor: float = 1.0
    usual: float = 1.0
    made_at: float = -math.inf

    def record(self, percent: int, made_at: float) -> bool:
        """Record a statement, unless a later one is known; return whether it was."""
        if made_at <= self.made_at or percent <= 0:
            return False
        self.factor = min(MAX_FACTOR, max(MIN_FACTOR, percent / 100))
        self.usual += USUAL_WEIGHT * (self.factor - self.usual)
        self.made_at = made_at
        return True

    def expect(self, now: float) -> float:
        """Return how long work is expected to take now, relative to usual work."""
        age_s = max(0.0, now - self.made_at)
        if age_s > FORGOTTEN_S:
            return self.usual
        return self.usual + (self.factor - self.usual) * math.exp(-age_s / VALIDITY_S)

"""A limit on requests a second that a backend server states for all routers together.

Load pattern: a server in need states a rate far below its usual share. Each of many
routers keeps to the rate alone, and together they send the server a multiple of it; or the
limit on requests that run at a time admits them, as short ones soon make room again.

So each router that was told sends in turns (`turns`), at its share of the rate. What it may
not send there goes to other servers or waits. Each answer states the rate again or ends the
limit.
"""

import random
from dataclasses import dataclass, field

from godwitmast.dispatch.turns import Turns

TURN_S = 1.0
"""How long a turn may be used: routers with few requests would miss shorter ones."""

ASSUMED_ROUTERS = 64
"""Routers among which a rate is divided while they are not counted."""

MIN_PER_S = 0.01
"""Lowest rate that is kept to; with none at all the end of the limit is never heard."""


@dataclass(slots=True)
class RateLimit:
    """The rate that one server states, and this router's turns at it."""

    per_s: float | None = None
    stated_at: float = 0.0
    turns: Turns = field(default_factory=lambda: Turns(TURN_S))

    def record_statement(self, per_s: float | None, sent_at: float, now: float) -> bool:
        """Record the rate that an answer states, or none; return whether it changed.

        An answer to a request that was sent before the server stated a limit does not
        end it, since answers on several connections may overtake each other.
        """
        if per_s is None and sent_at < self.stated_at:
            return False
        previous = self.per_s
        if per_s is None:
            self.per_s = None
            self.turns.stop()
        else:
            self.per_s, self.stated_at = max(MIN_PER_S, per_s), now
        return self.per_s != previous

    def period_s(self, routers: float) -> float:
        """Return the time between two turns of one of so many routers."""
        assert self.per_s is not None, "only a stated rate has turns"
        return routers / self.per_s

    def advance(self, routers: float, now: float, rng: random.Random) -> None:
        if self.per_s is not None:
            self.turns.advance(self.period_s(routers), now, rng)

    def may_send(self, now: float) -> bool:
        return self.per_s is None or self.turns.is_open(now)

    def use_turn(self, routers: float) -> None:
        """Record a request, which uses up the turn."""
        if self.per_s is not None:
            self.turns.use(self.period_s(routers))

"""The rest that an overloaded backend server asks for as it turns a request away.

Load pattern: a server with more work than it can take asks each router whose request it turns
away to send nothing for some seconds. Routers that go by timers of their own keep it
overloaded; routers that all return as the rest ends overload it again.

Until the rest is over a router sends nothing there, whatever the request and however the
server was chosen. Then it sends one request, at a random moment that spreads the routers
over about one request a second for each place of the server, and the next ones once that was
answered.
"""

import random
from dataclasses import dataclass

MAX_SPREAD_S = 30.0
"""Longest time over which routers spread their return."""


@dataclass(slots=True)
class Rest:
    """The rest that one server asked this router for, and the router's return to it."""

    until: float = 0.0
    returns_at: float = 0.0
    is_returning: bool = False
    is_awaiting: bool = False
    """The first request after the rest is on its way."""

    def record_statement(
        self, rest_s: float, spread_s: float, now: float, rng: random.Random
    ) -> None:
        """Record a rest; one that ends earlier does not shorten what was asked before."""
        self.until = max(self.until, now + rest_s)
        self.returns_at = self.until + rng.random() * min(spread_s, MAX_SPREAD_S)
        self.is_returning, self.is_awaiting = True, False

    def record_answer(self, sent_at: float) -> None:
        """End the return with an answer to a request that was sent after the rest."""
        if sent_at >= self.until:
            self.is_returning = self.is_awaiting = False

    def record_start(self) -> None:
        self.is_awaiting = self.is_returning

    def record_end(self) -> None:
        self.is_awaiting = False

    def left_s(self, now: float) -> float:
        """Return the seconds until this router sends there again."""
        return max(0.0, self.returns_at - now)

    def may_send(self, now: float) -> bool:
        return now >= self.returns_at and not self.is_awaiting

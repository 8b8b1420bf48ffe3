"""A limit on rejections a second that a backend server can bear.

Load pattern: a burst at servers that crash when they have to reject too many
requests in a second. Each of many routers sees little of a server's load, sends it one
request more than it has room for, and together they crash it; the others then
get its load and follow.

While a server states the limit, only what fits into part of its places by its latest
report is sent freely, and of what is left each router claims its share. The report does
not age, since a router that guesses that places were freed risks a rejection. Beyond
that routers take turns (`turns`), at part of the stated rate for all of them together;
turns also bring a new report.
"""

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.dispatch.other_load import OtherLoad
from godwitmast.dispatch.turns import Turns

TURN_S = 1.0
"""How long a turn may be used; see `rate_limit`."""

RISK_SHARE = 0.5
"""Share of the stated rejections that all routers risk by turns. The rest is for those
that a router did not foresee."""

SPARE_SHARE = 0.8
"""Share of the places that is filled by reports; the rest is for what is under way."""

ALONE_ROUTERS = 1.5
"""An upper bound on the routers below which there is one: it counts all places."""

MIN_PER_S = 0.1
"""Lowest rate of turns; without any, a server that is full is never asked again."""


class ServerUsage(NamedTuple):
    """Requests of this router on a server, those of others, and who shares it."""

    in_flight: int
    others: OtherLoad
    places: float
    routers: float

    def has_spare_places(self) -> bool:
        """Return whether the server has room by its latest report, however old."""
        used = self.in_flight + self.others.others
        share = SPARE_SHARE if self.routers > ALONE_ROUTERS else 1.0
        return used + 1 <= share * self.places and self.others.claimable >= 1


@dataclass(slots=True)
class RejectionLimit:
    """The rejections a second that one server states, and this router's turns at it."""

    per_s: float | None = None
    stated_at: float = 0.0
    turns: Turns = field(default_factory=lambda: Turns(TURN_S))

    def record_statement(self, per_s: float | None, sent_at: float, now: float) -> bool:
        """Record the limit that an answer states, or none; return whether it changed.

        An answer to a request that was sent before the statement does not end it.
        """
        if per_s is None and sent_at < self.stated_at:
            return False
        previous = self.per_s
        self.per_s = per_s
        if per_s is None:
            self.turns.stop()
        else:
            self.stated_at = now
        return per_s != previous

    def period_s(self, routers: float) -> float:
        """Return the time between two turns of one of so many routers."""
        assert self.per_s is not None, "only a stated limit has turns"
        return routers / max(MIN_PER_S, self.per_s * RISK_SHARE)

    def advance(self, routers: float, now: float, rng: random.Random) -> None:
        if self.per_s is not None:
            self.turns.advance(self.period_s(routers), now, rng)

    def may_send(self, usage: ServerUsage, now: float) -> bool:
        """Return whether one more request probably has room, or it is our turn."""
        if self.per_s is None or usage.has_spare_places():
            return True
        return self.turns.is_open(now)

    def use_turn(self, usage: ServerUsage) -> None:
        """Record a request, which uses up the turn if it needs one."""
        if self.per_s is not None and not usage.has_spare_places():
            self.turns.use(self.period_s(usage.routers))

"""Moves streams off a server before it is taken away.

Load pattern: a zone of cheap servers gets 5 s of notice. Without a plan all its streams
break at once at the end, and their prompts are read again elsewhere in one burst that
delays every stream there. To move them all at the notice makes the same burst at once,
and reads again prompts of answers that would have ended in time.

So each stream goes on while it can, and those that are left are moved over the last
part of the notice, evenly: those with the fewest tokens first, as they have the most
left to say and the least to be read again.
"""

from typing import NamedTuple

from godwitmast.dispatch.flights import Flight
from godwitmast.types import BackendId

SAFETY_S = 1.0
"""All are off the server this long before its end: clocks differ, and so do notices."""

STAY_SHARE = 0.25
"""The first part of the notice in which nothing is moved."""


class Notice(NamedTuple):
    """A server's end, and when it was learned of."""

    backend_id: BackendId
    heard_at: float
    gone_at: float

    def to_leave(self, flights: list[Flight], now: float) -> list[Flight]:
        """Return the flights that are to be moved by `now`."""
        end = self.gone_at - SAFETY_S
        begin = self.heard_at + STAY_SHARE * max(0.0, end - self.heard_at)
        movable = [flight for flight in flights if flight.may_move]
        if now < begin or not movable:
            return []
        left = end - now
        if left <= 0:
            return movable
        # What is left is spread over the time that is left, in steps of a tick.
        count = max(1, round(len(movable) * min(1.0, STEP_S / left)))
        return sorted(movable, key=lambda flight: flight.tokens)[:count]


STEP_S = 0.05
"""How often the router looks; see `entry.driver.TICK_S`."""

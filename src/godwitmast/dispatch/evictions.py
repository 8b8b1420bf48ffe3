"""Moves streams off a server before it is taken away.

Load pattern: a zone of cheap servers gets 5 s of notice. Without a plan all its streams
break at the same time at the end, and their prompts are prefilled again elsewhere in
one burst that delays every stream there. Moving all of them at the notice causes the
same burst at once, and prefills again the prompts of answers that would have ended in
time.

So each stream continues as long as it can, and those that have not ended are moved at
an even rate over the last part of the notice: those with the fewest tokens first, as
they have the most tokens to generate and the fewest to prefill again.
"""

from typing import NamedTuple

from godwitmast.dispatch.active_requests import ActiveRequest
from godwitmast.types import BackendId

SAFETY_MARGIN_S = 1.0
"""All streams are off the server this long before its removal, since clocks and notices
differ."""

NO_MOVE_SHARE = 0.25
"""First part of the notice, in which nothing is moved."""


class RemovalNotice(NamedTuple):
    """A server's announced removal, and when the announcement was received."""

    backend_id: BackendId
    received_at: float
    removal_at: float

    def select_to_move(
        self, running: list[ActiveRequest], now: float
    ) -> list[ActiveRequest]:
        """Return the requests that are to be moved by `now`."""
        end = self.removal_at - SAFETY_MARGIN_S
        begin = self.received_at + NO_MOVE_SHARE * max(0.0, end - self.received_at)
        movable = [active for active in running if active.may_move]
        if now < begin or not movable:
            return []
        left_s = end - now
        if left_s <= 0:
            return movable
        # The remaining requests are spread evenly over the ticks of the remaining time.
        count = max(1, round(len(movable) * min(1.0, TICK_S / left_s)))
        return sorted(movable, key=lambda active: active.tokens)[:count]


TICK_S = 0.05
"""Interval between calls by the router; see `entry.driver.TICK_S`."""

"""The number of routers among which an allowance is divided."""

import math
from dataclasses import dataclass

COUNT_MARGIN = 4 / 3
"""Factor by which the routers that use the allowance may outnumber the counted ones."""

COUNT_RETENTION_S = 30.0
"""How long routers that are no longer counted are assumed to continue."""


@dataclass
class RouterCount:
    """The highest recent count, since partitioned routers are not counted but
    continue."""

    routers: int = 0
    counted_at: float = -math.inf

    def update(self, routers: int, now: float) -> bool:
        """Record a count, 0 if it is not known; return whether it replaces the last
        one."""
        if routers < 1:
            return False
        if routers < self.routers and now < self.counted_at + COUNT_RETENTION_S:
            return False
        self.routers, self.counted_at = routers, now
        return True

    @property
    def upper_bound(self) -> float:
        """Return an upper bound on the number of routers, infinite while that is not
        known."""
        return COUNT_MARGIN * self.routers if self.routers else math.inf

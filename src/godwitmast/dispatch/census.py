"""How many routers share an allowance of which each may use its part."""

import math
from dataclasses import dataclass

COUNT_MARGIN = 4 / 3
"""By how much routers that spend may outnumber those that were counted."""

COUNT_KEPT_S = 30.0
"""How long routers that are no longer counted are taken to go on."""


@dataclass
class RouterCount:
    """The highest count of late; routers that are cut off are not counted but go on."""

    routers: int = 0
    counted_at: float = -math.inf

    def note(self, routers: int, now: float) -> bool:
        """Record a count, 0 if it is not known; return whether it replaces the last one."""
        if routers < 1:
            return False
        if routers < self.routers and now < self.counted_at + COUNT_KEPT_S:
            return False
        self.routers, self.counted_at = routers, now
        return True

    @property
    def most(self) -> float:
        """Return how many there may be; infinite while that is not known."""
        return COUNT_MARGIN * self.routers if self.routers else math.inf

"""The epoch of the platform's table, which rises each time the table is restored."""

import math
from collections.abc import Callable

from godwitmast.clock import Clock
from godwitmast.logs import log_event


class TableEpoch:
    """The latest epoch that this process knows of; 0 if the platform tells none.

    A restored table lacks the latest transactions, and gives their versions to others.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.current = 0
        self.known_since = -math.inf
        self.restored = False
        """Whether this process saw the epoch rise."""
        self.listeners: list[Callable[[], None]] = []

    def observe(self, epoch: int) -> None:
        """Record the epoch of an answer; an earlier one than the current is ignored."""
        if epoch <= self.current:
            return
        previous, self.current = self.current, epoch
        self.restored = math.isfinite(self.known_since)
        self.known_since = self.clock.now()
        if self.restored:
            log_event("table_restored", level="WARNING", epoch=epoch, previous=previous)
            for listener in self.listeners:
                listener()

"""The epoch of the platform's table, which rises each time the table is restored.

A restored table lacks the latest transactions, and gives their versions to others. A
version here therefore includes the epoch in its high bits, so that one integer orders
all versions, and those of two epochs are never equal.
"""

import math
from collections.abc import Callable

from godwitmast.clock import Clock
from godwitmast.logs import log_event

NUMBER_BITS = 40
"""Bits of a version for the platform's own number: a billion writes a day for three years."""

MAX_EPOCH = 2**23 - 1
"""So that a version fits 63 bits."""


def make_version(epoch: int, number: int) -> int:
    return (epoch << NUMBER_BITS) | number


def epoch_of(version: int) -> int:
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    return version & ((1 << NUMBER_BITS) - 1)


def may_lack_rows(epoch: int, restored: bool, first_start: bool) -> bool:
    """Return whether a row that is missing may be one that a restore lost.

    `restored` is whether this process saw the epoch rise. One that knows no epoch but
    the present one can't tell whether there was a restore before, unless that epoch is 0
    (or the table tells none), or it belongs to the first start of the whole system.
    """
    return restored or (epoch > 0 and not first_start)


class TableEpoch:
    """The latest epoch that this process knows of; 0 if the platform tells none."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.current = 0
        self.known_since = -math.inf
        self.restored = False
        """Whether this process saw the epoch rise."""
        self.listeners: list[Callable[[], None]] = []

    @property
    def known(self) -> bool:
        return math.isfinite(self.known_since)

    def observe(self, epoch: int) -> None:
        """Record the epoch of an answer; an earlier one than the current is ignored."""
        if self.known and epoch <= self.current:
            return
        previous, self.current = self.current, epoch
        self.restored = self.known
        self.known_since = self.clock.now()
        if not self.restored:
            log_event("table_epoch", epoch=epoch)
            return
        log_event("table_restored", level="WARNING", epoch=epoch, previous=previous)
        for listener in self.listeners:
            listener()

    def is_current(self, version: int) -> bool:
        """Return whether a version is of the current epoch."""
        return epoch_of(version) == self.current

"""A common time of day for all VMs, whose own clocks may jump, without I/O.

A VM's time of day may jump by minutes and back. A VM that reports usage by such a clock
freezes windows that lie in the future, and later finds the true ones already frozen. A
VM that counts by it assigns its requests to windows that are never reported. The
platform's store sends its own clock with each answer; that clock never jumps, but
counts from an unknown origin. The first VM stores the difference between the two clocks
once; every VM adds it to the store's clock, and uses its own monotonic clock only to
extrapolate between answers.

A restore of the table may lose that row. Each VM that knows the difference reads the
row again after each restore, and writes it if it is missing. A VM that starts and finds
no row that may be lost writes a difference of its own, which nobody uses for `SETTLE_S`:
a VM that knows the earlier one replaces it within the first `REPLACE_S`. After that
it is the difference of all VMs, also of one that knew another and comes back late.
"""

import math
from collections.abc import Callable

from godwitmast.clock import Clock
from godwitmast.platform_api.messages import Conflict
from godwitmast.platform_api.steps import Failure, Read, Rows, Steps, Transact
from godwitmast.types import Json

CLOCK_KEY = "clock"
"""The row with the difference. It is written again only after a restore of the table."""

REPLACE_S = 3.0
"""Time in which VMs in touch with the store learn of a restore and write the row again."""

SETTLE_S = 9.0
"""Longer than `REPLACE_S` by the 6 s for which a write may arrive late, as in
`LeaseTiming.late_s`."""


class AgreedClock:
    """A `Clock` whose time of day is the common one, once that is known."""

    def __init__(self, own: Clock) -> None:
        self.local = own
        self.difference_s: float | None = None
        self.proposed_difference_s: float | None = None
        """One that is not in use yet. A VM that stops before it is has no better one."""
        self.store_s = 0.0
        self.updated_at: float | None = None

    def update_store_time(self, store_s: float) -> None:
        """Update the store's clock from an answer that has just arrived.

        Answers may arrive out of order, so an older time is ignored.
        """
        if self.updated_at is None or store_s >= self.store_now():
            self.store_s, self.updated_at = store_s, self.local.now()

    def store_now(self) -> float:
        """Return the present time by the store's clock, extrapolated from its last answer."""
        assert self.updated_at is not None, (
            "the store's clock is unknown before its first answer"
        )
        return self.store_s + self.local.now() - self.updated_at

    def now(self) -> float:
        return self.local.now()

    def wall(self) -> float:
        difference_s = self.difference_s
        if difference_s is None:
            difference_s = self.proposed_difference_s
        if difference_s is None or self.updated_at is None:
            return self.local.wall()
        return self.store_now() + difference_s

    def age_of(self, row: Json) -> float:
        """Return the seconds since a difference was proposed; infinite if it wasn't."""
        proposed_s = row.get("proposed_s")
        if not isinstance(proposed_s, int | float):
            return math.inf
        # The answer with the row may be older than the clock of the VM that wrote it.
        return abs(self.store_now() - proposed_s)

    def is_in_use(self, row: Json) -> bool:
        """Return whether a row holds the difference that this clock uses."""
        return row["difference_s"] == self.difference_s and self.age_of(row) >= SETTLE_S

    def row_to_write(self, may_be_lost: bool) -> Json:
        """Return the row with the known difference, or with one by the own clock.

        The latter is only proposed if a restore may have lost an earlier one.
        """
        if self.difference_s is not None:
            return {"difference_s": self.difference_s}
        row = {"difference_s": self.local.wall() - self.store_now()}
        return {**row, "proposed_s": self.store_now()} if may_be_lost else row


def agree_on_time(
    clock: AgreedClock, may_be_lost: Callable[[], bool] = lambda: False
) -> Steps[bool]:
    """Read the stored clock difference, or store it; return whether it is in use.

    `may_be_lost` returns whether a restore may have lost the row, if it is missing.
    """
    found = yield Read([CLOCK_KEY])
    if not isinstance(found, Rows) or clock.updated_at is None:
        return False
    row = found.value(CLOCK_KEY)
    if row is None or (
        clock.difference_s is not None and clock.age_of(row) < REPLACE_S
    ):
        row = clock.row_to_write(may_be_lost())
        result = yield Transact({CLOCK_KEY: found.version(CLOCK_KEY)}, {CLOCK_KEY: row})
        match result:
            case Conflict():
                return (yield from agree_on_time(clock, may_be_lost))
            case Failure():
                return False
    if clock.age_of(row) < SETTLE_S:
        clock.proposed_difference_s = row["difference_s"]
        return False
    clock.difference_s = row["difference_s"]
    return True

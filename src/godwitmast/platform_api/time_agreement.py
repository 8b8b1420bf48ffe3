"""One time of day for all VMs, though single clocks jump, without I/O.

A VM's time of day may jump by minutes and back. Whoever reports usage by such a clock
freezes windows that have not been yet, and finds later that theirs are taken; a VM that
counts by it puts its requests into windows that nobody reports. The platform's store
answers with a clock of its own that never jumps, but that counts from an unknown
moment. The first VM writes down by how much the two differ, once and for all; every VM
adds that to the store's clock, and its own only carries it from answer to answer.
"""

from godwitmast.clock import Clock
from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import Read, Rows, Steps, Transact

CLOCK_KEY = "clock"
"""The row with the difference, which never changes."""


class AgreedClock:
    """A `Clock` whose time of day is the agreed one as soon as there is one."""

    def __init__(self, own: Clock) -> None:
        self.own = own
        self.difference_s: float | None = None
        self.store_s = 0.0
        self.heard_at: float | None = None

    def heard(self, store_s: float) -> None:
        """Take the store's clock from an answer that has just come.

        Answers overtake each other; the latest clock is the best one.
        """
        if self.heard_at is None or store_s >= self.store_now():
            self.store_s, self.heard_at = store_s, self.own.now()

    def store_now(self) -> float:
        """Return the store's clock as far as is known now."""
        assert self.heard_at is not None, "the store has answered"
        return self.store_s + self.own.now() - self.heard_at

    def now(self) -> float:
        return self.own.now()

    def wall(self) -> float:
        if self.difference_s is None or self.heard_at is None:
            return self.own.wall()
        return self.store_now() + self.difference_s


def agree_on_time(clock: AgreedClock) -> Steps[bool]:
    """Take the difference that was written down, or write it down; return whether
    there is one now."""
    found = yield Read([CLOCK_KEY])
    if not isinstance(found, Rows) or clock.heard_at is None:
        return False
    row = found.value(CLOCK_KEY)
    if row is not None:
        clock.difference_s = row["difference_s"]
        return True
    difference_s = clock.own.wall() - clock.store_now()
    result = yield Transact({CLOCK_KEY: 0}, {CLOCK_KEY: {"difference_s": difference_s}})
    match result:
        case Written():
            clock.difference_s = difference_s
            return True
        case Conflict():
            return (yield from agree_on_time(clock))
    return False

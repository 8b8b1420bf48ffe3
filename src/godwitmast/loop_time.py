"""Times that leave out those in which the event loop stood still.

After a pause, timers come before what arrived meanwhile is taken in, as if the other side
had taken that long.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from godwitmast.clock import Clock

TICKS = 6
"""Parts of a time-out, of each of which no more than its length counts."""

TICK_S = 0.05
MAX_TICK_S = 0.1
"""Interval in which a clock follows the loop, and the most that counts of one."""


@contextmanager
def fail_after_loop_time(timeout_s: float | None) -> Iterator[None]:
    """Raise TimeoutError once the event loop has run for `timeout_s`; never for None."""
    if timeout_s is None:
        yield
        return
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    scope = anyio.CancelScope()
    timer: asyncio.TimerHandle

    def tick(number: int) -> None:
        nonlocal timer
        if number == TICKS:
            scope.cancel()
        else:
            timer = loop.call_later(timeout_s / TICKS, tick, number + 1)

    timer = loop.call_later(timeout_s / TICKS, tick, 1)
    try:
        with scope:
            yield
    finally:
        timer.cancel()
    if scope.cancelled_caught:
        took_s = loop.time() - began_at
        raise TimeoutError(f"{timeout_s} s of the event loop, {took_s:.3f} s passed")


class LoopClock:
    """Seconds in which the event loop ran, while it is followed."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lost_s = 0.0
        self.ticked_at: float | None = None

    def now(self) -> float:
        now = self.clock.now()
        if self.ticked_at is not None:
            now = min(now, self.ticked_at + MAX_TICK_S)
        return now - self.lost_s

    def follow(self, is_needed: Callable[[], bool]) -> None:
        """Follow the loop with a timer for as long as this is needed."""
        if self.ticked_at is None:
            self.schedule(is_needed)

    def schedule(self, is_needed: Callable[[], bool]) -> None:
        self.ticked_at = self.clock.now()
        asyncio.get_running_loop().call_later(TICK_S, self.tick, is_needed)

    def tick(self, is_needed: Callable[[], bool]) -> None:
        assert self.ticked_at is not None, "only a clock that is followed ticks"
        self.lost_s += max(0.0, self.clock.now() - self.ticked_at - MAX_TICK_S)
        self.ticked_at = None
        if is_needed():
            self.schedule(is_needed)

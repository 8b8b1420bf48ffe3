"""Time-outs that leave out the time in which the event loop stood still."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

TICKS = 6
"""Parts of a time-out, of each of which no more than its length counts."""


@contextmanager
def fail_after_loop_time(timeout_s: float | None) -> Iterator[None]:
    """Raise TimeoutError once the event loop has run for `timeout_s`; never for None.

    After a pause, a usual time-out ends what only waits for a few more turns of the loop,
    as if the other side had taken that long.
    """
    if timeout_s is None:
        yield
        return
    loop = asyncio.get_running_loop()
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
        raise TimeoutError

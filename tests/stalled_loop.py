"""A stall of the event loop, as of a process that is suspended."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def stall_loop(stall_s: float, turn: int) -> Iterator[None]:
    """Have the loop stand still once, after this many turns."""
    loop = asyncio.get_running_loop()

    def count_down(left: int) -> None:
        nonlocal handle
        if left == 0:
            time.sleep(stall_s)
        else:
            handle = loop.call_soon(count_down, left - 1)

    handle = loop.call_soon(count_down, turn)
    try:
        yield
    finally:
        handle.cancel()

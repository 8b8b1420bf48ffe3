"""Loops that end before what they use is closed."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup


class Background:
    """A daemon's loops, with explicit start and close.

    A loop that outlived its HTTP client asked it once more, and the client's
    RuntimeError ended a daemon that was stopping in good order. `close` returns only
    when every loop has ended, so what they use can be closed after it.
    """

    def __init__(self, *loops: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self.loops = loops
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    async def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.run)

    async def run(self) -> None:
        try:
            with self.scope:
                async with anyio.create_task_group() as group:
                    for loop in self.loops:
                        group.start_soon(loop)
        finally:
            self.ended.set()

    async def close(self) -> None:
        self.scope.cancel()
        await self.ended.wait()

"""Background loops that `close` ends and awaits, before their resources are closed."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup


class BackgroundTasks:
    """A daemon's background loops, with explicit start and close.

    `close` cancels the loops and returns only when every one has ended, so that the resources they use can
    be closed after it. A loop that outlives its HTTP client makes another call on it,
    and the client's RuntimeError then fails a daemon during a clean shutdown.
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

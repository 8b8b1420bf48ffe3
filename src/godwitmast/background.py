"""Background loops that go on after an exception, and that `close` ends and awaits."""

import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

from godwitmast.supervision import TaskHealth, keep_running


class BackgroundTasks:
    """A daemon's background loops, with explicit start and close.

    `close` cancels the loops and returns only when every one has ended, so that the resources they use can
    be closed after it. A loop that outlives its HTTP client makes another call on it,
    and the client's RuntimeError then fails a daemon during a clean shutdown.
    """

    def __init__(self, *loops: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self.loops = loops
        self.health = [TaskHealth() for _ in loops]
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    async def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.run)

    async def run(self) -> None:
        try:
            with self.scope:
                async with anyio.create_task_group() as group:
                    for loop, health in zip(self.loops, self.health, strict=True):
                        group.start_soon(keep_running, task_name(loop), loop, health)
        finally:
            self.ended.set()

    def is_failing(self) -> bool:
        """Return whether one of the loops fails again and again."""
        now = time.monotonic()
        return any(health.is_failing(now) for health in self.health)

    async def close(self) -> None:
        self.scope.cancel()
        await self.ended.wait()


def task_name(loop: Callable[[], Coroutine[Any, Any, None]]) -> str:
    """Return a loop's name in logs and metrics, such as `RouterDriver.run_ticks`."""
    return getattr(loop, "__qualname__", type(loop).__name__)

"""A context manager that starts and closes a daemon around a test's body."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import anyio

T = TypeVar("T", bound=Any)

CLOSE_TIMEOUT_S = 20


@asynccontextmanager
async def running(daemon: T) -> AsyncIterator[T]:
    """Start `daemon`, and close it after the body, also if the body raises."""
    async with anyio.create_task_group() as tasks:
        await daemon.start(tasks)
        try:
            yield daemon
        finally:
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await daemon.close()
            tasks.cancel_scope.cancel()

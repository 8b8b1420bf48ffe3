"""Tasks that go on after an exception, which is logged and counted."""

import math
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from prometheus_client import Counter

from godwitmast.logs import log_event

RESTART_S = 0.5
"""Time after which a task that failed runs again."""

STEADY_S = 5.0
"""A task that has run for this long since its last failure is no longer failing."""

FAILURES_TO_TELL = 3
"""A task that failed so often, without running steadily in between, is failing."""

TASK_FAILURES = Counter(
    "godwit_task_failures",
    "Exceptions that ended a turn of a task; the task goes on.",
    ["task"],
    registry=None,
)
"""Failures of this process; each registry whose page shows them registers it."""


class TaskHealth:
    """Whether a task fails again and again, by the times of its failures."""

    def __init__(self) -> None:
        self.failures = 0
        self.failed_at = -math.inf

    def record_failure(self, now: float) -> None:
        steady = now >= self.failed_at + STEADY_S
        self.failures = 1 if steady else self.failures + 1
        self.failed_at = now

    def is_failing(self, now: float) -> bool:
        """Return whether the last failures came without a steady run between them."""
        return self.failures >= FAILURES_TO_TELL and now < self.failed_at + STEADY_S


def record_task_failure(task: str, error: Exception, **fields: Any) -> None:
    """Log and count an exception that ended a turn of a task."""
    TASK_FAILURES.labels(task).inc()
    log_event(
        "task_failed",
        level="ERROR",
        task=task,
        error=repr(error),
        trace="".join(traceback.format_exception(error)),
        **fields,
    )


async def keep_running(
    task: str, run: Callable[[], Awaitable[None]], health: TaskHealth | None = None
) -> None:
    """Run a task until it returns; one that fails is run again after a pause.

    Without this, one exception in a periodic task ends the process, and with it every
    request that it serves.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            record_task_failure(task, error)
            if health is not None:
                health.record_failure(time.monotonic())
        await anyio.sleep(RESTART_S)


async def run_once(task: str, run: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Run a task that isn't repeated; one that fails ends no other."""
    try:
        await run(*args)
    except Exception as error:
        record_task_failure(task, error)

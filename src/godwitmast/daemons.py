"""The life cycle of a daemon process: start, signals, close and exit code."""

import gc
import signal
from collections.abc import Callable
from typing import Protocol, runtime_checkable

import anyio
from anyio.abc import TaskGroup

from godwitmast.errors import GodwitError
from godwitmast.logs import LogTarget, log_event, setup_logs
from godwitmast.settings import LogSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
"""Also used for invalid settings."""


class Daemon(Protocol):
    """A service that runs until a signal stops it."""

    async def start(self, tasks: TaskGroup) -> None: ...

    async def close(self) -> None: ...


@runtime_checkable
class Reloadable(Protocol):
    """A daemon that can reload its settings file while it runs."""

    def reload(self) -> None: ...


def run_until_signalled(
    program: str,
    log: LogSettings,
    make: Callable[[], Daemon],
    target: LogTarget = LogTarget.STDERR,
) -> int:
    """Run a daemon until SIGTERM or SIGINT, close it, and return the exit code.

    While it closes, SIGINT ends it at once, and another SIGTERM changes nothing. SIGHUP
    reloads the settings file; a daemon that cannot reload ignores it.
    """
    setup_logs(program, log.level, target)
    try:
        anyio.run(run_until_signal, make)
    except GodwitError as error:
        log_event("daemon_failed", level="ERROR", error=error)
        return EXIT_FAILED
    return EXIT_OK


async def run_until_signal(make: Callable[[], Daemon]) -> None:
    daemon = make()
    stop_signals = (signal.SIGTERM, signal.SIGINT)
    with anyio.open_signal_receiver(*stop_signals, signal.SIGHUP) as signals:
        async with anyio.create_task_group() as tasks:
            await daemon.start(tasks)
            # A full collection would visit all modules, and delay every answer meanwhile.
            gc.freeze()
            async for signum in signals:
                if signum in stop_signals:
                    break
                if isinstance(daemon, Reloadable):
                    daemon.reload()
            async with anyio.create_task_group() as closing_tasks:
                closing_tasks.start_soon(end_on_interrupt, signals, tasks)
                await daemon.close()
                closing_tasks.cancel_scope.cancel()
            tasks.cancel_scope.cancel()


async def end_on_interrupt(signals: object, tasks: TaskGroup) -> None:
    """End a daemon that is closing on SIGINT, which cuts its open requests.

    Service managers repeat SIGTERM, and a daemon that goes on closing loses nothing.
    """
    async for signum in signals:  # type: ignore[attr-defined]
        if signum == signal.SIGINT:
            tasks.cancel_scope.cancel()

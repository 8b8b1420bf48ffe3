"""Runs what serves until it is told to stop, without a command line."""

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
"""Also for settings that are not valid."""


class Daemon(Protocol):
    """What runs until a signal."""

    async def start(self, tasks: TaskGroup) -> None: ...

    async def close(self) -> None: ...


@runtime_checkable
class Reloadable(Protocol):
    """A daemon whose settings file may change while it runs."""

    def reload(self) -> None: ...


def run_until_told(
    program: str,
    log: LogSettings,
    make: Callable[[], Daemon],
    target: LogTarget = LogTarget.STDERR,
) -> int:
    """Run a daemon until SIGTERM or SIGINT, close it, and return the exit code.

    A second signal ends it at once. SIGHUP says that the settings file has changed; a
    daemon that reads it only at its start runs on as it is.
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
    stops = (signal.SIGTERM, signal.SIGINT)
    with anyio.open_signal_receiver(*stops, signal.SIGHUP) as signals:
        async with anyio.create_task_group() as tasks:
            await daemon.start(tasks)
            async for signum in signals:
                if signum in stops:
                    break
                if isinstance(daemon, Reloadable):
                    daemon.reload()
            async with anyio.create_task_group() as closing:
                closing.start_soon(end_on_second_signal, signals, tasks)
                await daemon.close()
                closing.cancel_scope.cancel()
            tasks.cancel_scope.cancel()


async def end_on_second_signal(signals: object, tasks: TaskGroup) -> None:
    async for signum in signals:  # type: ignore[attr-defined]
        if signum != signal.SIGHUP:
            tasks.cancel_scope.cancel()

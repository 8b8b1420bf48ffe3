"""What the programs share: options, exit codes, signals and running until told."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Protocol, TypeVar, runtime_checkable

import anyio
import typer
from anyio.abc import TaskGroup

from godwitmast import __version__
from godwitmast.errors import GodwitError, SettingsError
from godwitmast.logs import LogTarget, log_event, setup_logs
from godwitmast.settings import LogSettings, load_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
"""Also for settings that are not valid."""

T = TypeVar("T")


class Daemon(Protocol):
    """What runs until a signal."""

    async def start(self, tasks: TaskGroup) -> None: ...

    async def close(self) -> None: ...


@runtime_checkable
class Reloadable(Protocol):
    """A daemon whose settings file may change while it runs."""

    def reload(self) -> None: ...


def show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(__version__)
        raise typer.Exit


SettingsOption = Annotated[
    Path | None,
    typer.Option("--settings", help="TOML file; GODWIT__TABLE__KEY overrides a key."),
]
CheckOption = Annotated[
    bool, typer.Option("--check", help="Validate the settings, then exit 0 or 2.")
]
VersionOption = Annotated[
    bool,
    typer.Option(
        "--version",
        callback=show_version,
        is_eager=True,
        help="Print the version, then exit.",
    ),
]


def read_settings(path: Path | None, schema: type[T], check: bool) -> T:
    """Return the settings, or end the program as `--check` or an error asks."""
    try:
        settings = load_settings(path, schema)
    except SettingsError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    if check:
        typer.echo("settings are valid")
        raise typer.Exit(EXIT_OK)
    return settings


def run_daemon(
    program: str,
    log: LogSettings,
    make: Callable[[], Daemon],
    target: LogTarget = LogTarget.STDERR,
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then close it; a second one kills.

    SIGHUP says that the settings file has changed; a daemon that reads it only at its
    start runs on as it is.
    """
    setup_logs(program, log.level, target)
    try:
        anyio.run(run_until_signal, make)
    except GodwitError as error:
        log_event("daemon_failed", level="ERROR", error=error)
        raise typer.Exit(EXIT_FAILED) from None


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

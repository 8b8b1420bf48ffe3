"""Options and helpers that the programs' command lines share."""

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer

from godwitmast import __version__
from godwitmast.daemons import EXIT_OK, EXIT_USAGE, Daemon, run_until_signalled
from godwitmast.errors import SettingsError
from godwitmast.logs import LogTarget
from godwitmast.settings import LogSettings, load_settings

T = TypeVar("T")


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
    """Return the settings, or exit with `--check` or on an error."""
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
    """Run a daemon until a signal stops it, and exit with an error if it failed."""
    code = run_until_signalled(program, log, make, target)
    if code != EXIT_OK:
        raise typer.Exit(code)

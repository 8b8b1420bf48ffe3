"""The command line of the process of one VM."""

from collections.abc import Callable
from pathlib import Path

import typer

from godwitmast.program import CheckOption, SettingsOption, VersionOption


def run(serve: Callable[[Path | None, bool], int]) -> None:
    """Parse the command line, and run `serve` with its options."""

    def node(
        settings: SettingsOption = None,
        check: CheckOption = False,
        version: VersionOption = False,
    ) -> None:
        """Serve callers on one VM of the platform, and contend for its duties."""
        raise typer.Exit(serve(settings, check))

    typer.run(node)

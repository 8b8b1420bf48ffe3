"""Starts the process of one VM from the settings file that the platform wrote."""

import os
from pathlib import Path

import typer

from godwitmast.logs import LogTarget
from godwitmast.platform.daemon import Node
from godwitmast.platform.settings import PlatformFile
from godwitmast.program import (
    CheckOption,
    SettingsOption,
    VersionOption,
    read_settings,
    run_daemon,
)
from godwitmast.settings import LogSettings

FILE_VARIABLE = "GODWITMAST_NODE_FILE"


def run(
    settings: SettingsOption = None,
    check: CheckOption = False,
    version: VersionOption = False,
) -> None:
    """Serve callers on one entry VM of the platform, and contend for its duties."""
    path = settings or Path(os.environ.get(FILE_VARIABLE, "settings.toml"))
    read = read_settings(path, PlatformFile, check)
    run_daemon("godwit-node", LogSettings(), lambda: Node(read, path), LogTarget.STDOUT)


if __name__ == "__main__":
    typer.run(run)

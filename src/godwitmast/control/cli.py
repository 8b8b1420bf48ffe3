"""The program `godwit-control`."""

import typer

from godwitmast.control.daemon import Control
from godwitmast.control.settings import ControlSettings
from godwitmast.program import (
    CheckOption,
    SettingsOption,
    VersionOption,
    read_settings,
    run_daemon,
)

app = typer.Typer(add_completion=False)


@app.command()
def control(
    settings: SettingsOption = None,
    check: CheckOption = False,
    version: VersionOption = False,
) -> None:
    """Compete for the leases of the control duties until SIGTERM.

    Exit codes: 0 stopped or settings valid, 1 failed, 2 settings not valid.
    """
    read = read_settings(settings, ControlSettings, check)
    run_daemon("godwit-control", read.log, lambda: Control(read))


def main() -> None:
    app()


if __name__ == "__main__":
    main()

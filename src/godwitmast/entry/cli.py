"""The program `godwit-entry`."""

import typer

from godwitmast.entry.daemon import Entry
from godwitmast.entry.settings import EntrySettings
from godwitmast.program import (
    CheckOption,
    SettingsOption,
    VersionOption,
    read_settings,
    run_daemon,
)

app = typer.Typer(add_completion=False)


@app.command()
def entry(
    settings: SettingsOption = None,
    check: CheckOption = False,
    version: VersionOption = False,
) -> None:
    """Serve callers on an entry VM until SIGTERM, then finish open requests.

    Exit codes: 0 stopped or settings valid, 1 failed, 2 settings not valid.
    """
    read = read_settings(settings, EntrySettings, check)
    run_daemon("godwit-entry", read.log, lambda: Entry(read))


def main() -> None:
    app()


if __name__ == "__main__":
    main()

"""The program `godwit-standin`."""

import typer

from godwitmast.program import (
    CheckOption,
    SettingsOption,
    VersionOption,
    read_settings,
    run_daemon,
)
from godwitmast.standins.engine import StandinEngine
from godwitmast.standins.fleet import FleetStandin
from godwitmast.standins.platform import StandinPlatform
from godwitmast.standins.service import StandinService
from godwitmast.standins.settings import (
    EngineSettings,
    FleetSettings,
    PlatformStandinSettings,
    ServiceSettings,
)

app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def standin(version: VersionOption = False) -> None:
    """Run stand-ins of outside systems, for trials and tests.

    Exit codes: 0 stopped or settings valid, 1 failed, 2 settings not valid.
    """


@app.command()
def engine(settings: SettingsOption = None, check: CheckOption = False) -> None:
    """Run a model engine with continuous batching; faults are set over HTTP."""
    read = read_settings(settings, EngineSettings, check)
    run_daemon("godwit-standin", read.log, lambda: StandinEngine(read))


@app.command()
def service(settings: SettingsOption = None, check: CheckOption = False) -> None:
    """Run a plain service that records every call that it ran."""
    read = read_settings(settings, ServiceSettings, check)
    run_daemon("godwit-standin", read.log, lambda: StandinService(read))


@app.command()
def platform(settings: SettingsOption = None, check: CheckOption = False) -> None:
    """Run the platform: table, objects, orders, usage intake and lists."""
    read = read_settings(settings, PlatformStandinSettings, check)
    run_daemon("godwit-standin", read.log, lambda: StandinPlatform(read))


@app.command()
def fleet(settings: SettingsOption = None, check: CheckOption = False) -> None:
    """Run the store and the backend servers of the users' platform."""
    read = read_settings(settings, FleetSettings, check)
    run_daemon("godwit-standin", read.log, lambda: FleetStandin(read))


def main() -> None:
    app()


if __name__ == "__main__":
    main()

"""The program `godwit-dev`."""

import anyio
import typer
from rich.console import Console

from godwitmast.daemons import EXIT_FAILED
from godwitmast.dev.demo import run_demo
from godwitmast.dev.document import TEAMS, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.logs import setup_logs
from godwitmast.program import VersionOption, run_daemon
from godwitmast.settings import LogSettings

app = typer.Typer(add_completion=False)


@app.command()
def dev(
    serve: bool = typer.Option(False, "--serve", help="Stay up until SIGTERM."),
    version: VersionOption = False,
) -> None:
    """Run the whole system in this process, serve some requests, and report.

    Exit codes: 0 every answer was complete, 1 some were not, 2 bad usage.
    """
    if serve:
        typer.echo(f"keys: {', '.join(dev_key(team) for team in TEAMS)}")
        run_daemon("godwit-dev", LogSettings(), DevSystem)
        return
    setup_logs("godwit-dev", "WARNING")
    if not anyio.run(run_demo, Console()):
        raise typer.Exit(EXIT_FAILED)


def main() -> None:
    app()


if __name__ == "__main__":
    main()

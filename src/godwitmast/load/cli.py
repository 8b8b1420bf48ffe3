"""The program `godwit-load`."""

from typing import Annotated

import typer

from godwitmast.load.mixes import MIXES
from godwitmast.load.spend import measure
from godwitmast.program import EXIT_FAILED, VersionOption

app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def load(version: VersionOption = False) -> None:
    """Play scenarios in virtual time, and send load over HTTP.

    Exit codes: 0 done, 1 failed, 2 bad usage or settings not valid.
    """


@app.command()
def spend(
    mix: Annotated[
        list[str] | None, typer.Option(help="trust or coop; both by default.")
    ] = None,
    seeds: Annotated[int, typer.Option(min=1)] = 10,
    zone_loss: Annotated[bool, typer.Option(help="Lose a zone at the peak.")] = False,
    processes: Annotated[int, typer.Option(min=1)] = 2,
) -> None:
    """Measure the capacity plan against a fixed fleet and a utilisation scaler."""
    if not measure(mix or list(MIXES), seeds, zone_loss, processes):
        raise typer.Exit(EXIT_FAILED)


def main() -> None:
    app()


if __name__ == "__main__":
    main()

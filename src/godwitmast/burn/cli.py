"""The program `godwit-burn`."""

import json
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

from godwitmast.burn.page import render_page, render_png
from godwitmast.burn.report import as_json, make_report
from godwitmast.burn.snapshot import Snapshot, load, save, scrape
from godwitmast.burn.tables import print_report
from godwitmast.daemons import EXIT_FAILED, EXIT_USAGE
from godwitmast.program import VersionOption

app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def burn(version: VersionOption = False) -> None:
    """Report attainment and the burn of error budgets.

    Exit codes: 0 done, 1 failed or a burn alert fires, 2 bad usage.
    """


UrlOption = Annotated[
    list[str] | None, typer.Option(help="An entry or a control; give it often.")
]
FileOption = Annotated[Path | None, typer.Option(help="Snapshots, one JSON a line.")]


@app.command()
def report(
    url: UrlOption = None,
    snapshots: FileOption = None,
    as_json_: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    page: Annotated[Path | None, typer.Option(help="Write an HTML page.")] = None,
    plot: Annotated[Path | None, typer.Option(help="Write the plot as PNG.")] = None,
) -> None:
    """Report from `--url`s scraped now, after the snapshots of a file if given."""
    seen = read_snapshots(url, snapshots)
    if not seen:
        typer.echo("error: give --url or a --snapshots file that holds some", err=True)
        raise typer.Exit(EXIT_USAGE)
    result = make_report(seen)
    if page:
        page.write_text(render_page(result))
    if plot:
        plot.write_bytes(render_png(result))
    if as_json_:
        typer.echo(json.dumps(as_json(result), indent=2))
    else:
        print_report(result, Console())
    if result.alerts or result.silent:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def snapshot(
    url: Annotated[list[str], typer.Option(help="An entry or a control.")],
    to: Annotated[Path, typer.Option(help="File that the snapshot is added to.")],
    teams: Annotated[bool, typer.Option(help="With the counters by team.")] = True,
) -> None:
    """Scrape once and keep it: run it every few minutes for the long windows."""
    scraped = scrape(url, teams)
    save(scraped, to)
    if scraped.silent:
        typer.echo(f"error: no answer from {', '.join(scraped.silent)}", err=True)
        raise typer.Exit(EXIT_FAILED)


def read_snapshots(urls: list[str] | None, path: Path | None) -> list[Snapshot]:
    """Return the file's snapshots, and one that is scraped now."""
    try:
        seen = load(path) if path else []
    except (OSError, ValueError, KeyError, TypeError) as error:
        typer.echo(f"error: {path}: not snapshots: {error!r}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    if urls:
        seen.append(scrape(urls))
    return seen


def main() -> None:
    app()


if __name__ == "__main__":
    main()

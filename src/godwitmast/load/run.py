"""The commands `godwit-load run` and `godwit-load compare`."""

import os
from functools import partial
from pathlib import Path
from typing import Annotated, NamedTuple

import anyio
import typer
from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn

from godwitmast.daemons import EXIT_USAGE
from godwitmast.errors import SettingsError
from godwitmast.load.http_load import KEY_PREFIX, MOST_OPEN, HttpLoad
from godwitmast.load.mixes import MIXES
from godwitmast.load.result import (
    RunResult,
    compare_table,
    load_result,
    plans_differ,
    result_table,
    save_result,
)
from godwitmast.load.schedule import RunPlan
from godwitmast.settings import check_settings


def run(
    url: Annotated[str, typer.Option(help="An entry.")],
    mix: Annotated[str, typer.Option(help="trust or coop.")] = "trust",
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 5.0,
    seconds: Annotated[float, typer.Option(help="At most 3600.")] = 30.0,
    seed: int = 1,
    burst: Annotated[float, typer.Option(help="Times the rate, middle third.")] = 1.0,
    hog: Annotated[str | None, typer.Option(help="A team that sends more.")] = None,
    hog_factor: float = 10.0,
    resend: Annotated[float, typer.Option(help="Share of callers that resend.")] = 0.0,
    answer_tokens: Annotated[
        int | None, typer.Option(help="Every answer's length.")
    ] = None,
    cpu_of: Annotated[
        int | None, typer.Option(help="Process whose processor time is shown.")
    ] = None,
    key_prefix: Annotated[str, typer.Option(help="Before the team.")] = KEY_PREFIX,
    most_open: Annotated[int, typer.Option(min=1, max=10_000)] = MOST_OPEN,
    out: Annotated[Path | None, typer.Option(help="Result file.")] = None,
    against: Annotated[
        str | None, typer.Option(help="A bare pass-through, run after it.")
    ] = None,
) -> None:
    """Send an open-loop load over HTTP, and count latency from intended sending."""
    plan = check_plan(
        {
            "mix": mix,
            "rate": rate,
            "seconds": seconds,
            "seed": seed,
            "burst": burst,
            "hog": hog,
            "hog_factor": hog_factor,
            "resend": resend,
            "answer_tokens": answer_tokens,
        }
    )
    console = Console()
    before = read_process(cpu_of) if cpu_of else None
    result = run_shown(plan, url, key_prefix, most_open, console)
    if cpu_of and before:
        show_process(before, read_process(cpu_of), result, console)
    if out:
        save_result(result, out)
    if against:
        bare = run_shown(plan, against, key_prefix, most_open, console)
        if out:
            save_result(bare, out.with_suffix(".against" + out.suffix))
        console.print(compare_table(bare, result))


class ProcessUse(NamedTuple):
    """What Linux says that a process has used."""

    cpu_s: float
    resident_mib: float
    peak_mib: float


def read_process(pid: int) -> ProcessUse:
    """Return a process's processor time and memory, from /proc."""
    place = Path(f"/proc/{pid}")
    try:
        fields = (place / "stat").read_text().rpartition(")")[2].split()
        status = (place / "status").read_text()
    except OSError as error:
        typer.echo(f"error: --cpu-of {pid}: {error.strerror}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    ticks = int(fields[11]) + int(fields[12])
    sizes = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
    resident, peak = (int(sizes[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM"))
    return ProcessUse(ticks / os.sysconf("SC_CLK_TCK"), resident, peak)


def show_process(
    before: ProcessUse, after: ProcessUse, result: RunResult, console: Console
) -> None:
    """Print what the watched process used in the run, by request and by token."""
    used = 1000 * (after.cpu_s - before.cpu_s)
    requests = sum(item.total for item in result.classes.values())
    tokens = sum(item.tokens for item in result.classes.values())
    console.print(
        f"watched process: {used:.0f} ms of processor time for {requests} requests and "
        f"{tokens} tokens, {used / max(1, requests):.2f} ms a request; resident "
        f"{before.resident_mib:.0f} MiB before, {after.resident_mib:.0f} after, "
        f"{after.peak_mib:.0f} at its peak"
    )


def check_plan(raw: dict[str, object]) -> RunPlan:
    """Return the plan, or end the program naming what is wrong with it."""
    if raw["mix"] not in MIXES:
        typer.echo(f"error: --mix {raw['mix']}: one of {', '.join(MIXES)}", err=True)
        raise typer.Exit(EXIT_USAGE)
    try:
        return check_settings(raw, RunPlan, "run")
    except SettingsError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None


def run_shown(
    plan: RunPlan, url: str, key_prefix: str, most_open: int, console: Console
) -> RunResult:
    """Run with progress on a terminal, and print what came of it."""
    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task(f"sending to {url}")

        def show(result: RunResult, waiting: int) -> None:
            done = sum(item.total for item in result.classes.values())
            text = f"{url}: {done} done, {waiting} open"
            progress.update(task, description=text)

        load = HttpLoad(plan, MIXES[plan.mix], url, key_prefix, most_open, show)
        result = anyio.run(partial(load.run))
    console.print(result_table(result))
    worst = result.worst_team
    if worst:
        console.print(f"worst-served team: {worst[0]}, {worst[1]:.1%} met")
    console.print(
        f"took {result.took_s:.1f} s; the tool was at most "
        f"{1000 * result.sent_late_s:.1f} ms behind its schedule"
    )
    return result


def compare(a: Path, b: Path) -> None:
    """Show two result files side by side."""
    console = Console()
    try:
        first, second = load_result(a), load_result(b)
    except (OSError, ValueError, KeyError, TypeError) as error:
        typer.echo(f"error: not a result file: {error!r}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    for difference in plans_differ(first, second):
        console.print(f"[yellow]the runs differ in {difference}")
    console.print(compare_table(first, second))

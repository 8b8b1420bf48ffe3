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
from godwitmast.load.http_load import KEY_PREFIX, MAX_OPEN, HttpLoad
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
    url: Annotated[str, typer.Option(help="URL of an entry.")],
    mix: Annotated[str, typer.Option(help="trust or coop.")] = "trust",
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 5.0,
    seconds: Annotated[float, typer.Option(help="Duration, at most 3600.")] = 30.0,
    seed: int = 1,
    burst: Annotated[
        float, typer.Option(help="Factor of the rate in the middle third.")
    ] = 1.0,
    hog: Annotated[str | None, typer.Option(help="A team that sends more.")] = None,
    hog_factor: float = 10.0,
    resend: Annotated[float, typer.Option(help="Share of callers that resend.")] = 0.0,
    answer_tokens: Annotated[
        int | None, typer.Option(help="Length of every answer.")
    ] = None,
    cpu_of: Annotated[
        int | None, typer.Option(help="Id of a process whose use is shown.")
    ] = None,
    key_prefix: Annotated[
        str, typer.Option(help="Prefix of keys, before the team.")
    ] = KEY_PREFIX,
    most_open: Annotated[int, typer.Option(min=1, max=10_000)] = MAX_OPEN,
    out: Annotated[Path | None, typer.Option(help="Result file.")] = None,
    against: Annotated[
        str | None, typer.Option(help="URL of a bare pass-through, run next.")
    ] = None,
) -> None:
    """Send an open-loop load over HTTP; latencies count from the scheduled sending."""
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
    result = run_with_progress(plan, url, key_prefix, most_open, console)
    if cpu_of and before:
        show_process(before, read_process(cpu_of), result, console)
    if out:
        save_result(result, out)
    if against:
        bare_result = run_with_progress(plan, against, key_prefix, most_open, console)
        if out:
            save_result(bare_result, out.with_suffix(".against" + out.suffix))
        console.print(compare_table(bare_result, result))


class ProcessUse(NamedTuple):
    """Processor time and memory of a process, from Linux's /proc."""

    cpu_s: float
    resident_mib: float
    peak_mib: float


def read_process(pid: int) -> ProcessUse:
    """Return what a process has used; exit with EXIT_USAGE if it cannot be read."""
    proc_dir = Path(f"/proc/{pid}")
    try:
        fields = (proc_dir / "stat").read_text().rpartition(")")[2].split()
        status = (proc_dir / "status").read_text()
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
    """Print the watched process's use of processor time and memory during the run."""
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
    """Return the plan; print the error and exit with EXIT_USAGE if it is not valid."""
    if raw["mix"] not in MIXES:
        typer.echo(f"error: --mix {raw['mix']}: one of {', '.join(MIXES)}", err=True)
        raise typer.Exit(EXIT_USAGE)
    try:
        return check_settings(raw, RunPlan, "run")
    except SettingsError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None


def run_with_progress(
    plan: RunPlan, url: str, key_prefix: str, most_open: int, console: Console
) -> RunResult:
    """Run with progress on a terminal, and print the result."""
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

"""The burn report as tables in a terminal."""

from rich.console import Console
from rich.table import Table

from godwitmast.burn.budget import DEFAULT_GOAL, Tally, WindowReport
from godwitmast.burn.report import Report

MAX_TEAMS_SHOWN = 10


def print_report(report: Report, console: Console) -> None:
    """Print alerts first, then tables of classes, teams, service and spend."""
    for url in report.silent:
        console.print(f"[red]no answer from {url}: its requests are missing below")
    if not report.alerts:
        console.print("no burn alert fires")
    for alert in report.alerts:
        console.print(
            f"[bold red]{alert.severity}[/]: {alert.class_name} burns its budget "
            f"{alert.burn:.1f} times too fast over {format_duration(alert.long_s)}"
        )
    console.print(class_table(report))
    console.print(team_table(report.windows[-1]))
    console.print(service_table(report))


def class_table(report: Report) -> Table:
    """Return attainment and burn rate by class and window."""
    table = Table(title="Attainment and burn by class")
    table.add_column("class")
    table.add_column("goal")
    for window in report.windows:
        table.add_column(window_heading(window))
    for name in report.windows[-1].classes:
        goal = report.goals.get(name, DEFAULT_GOAL)
        cells = [
            format_tally(window.classes.get(name, Tally()), goal)
            for window in report.windows
        ]
        table.add_row(name, f"{goal:.1%}", *cells)
    return table


def window_heading(window: WindowReport) -> str:
    """Return a window's length, and how much of it the snapshots cover."""
    name = format_duration(window.window_s)
    if window.covered_s >= window.window_s:
        return name
    covered = format_duration(window.covered_s) if window.covered_s else "since start"
    return f"{name} ({covered})"


def format_tally(tally: Tally, goal: float) -> str:
    if tally.attainment is None:
        return "-"
    return f"{tally.attainment:.2%}, burn {tally.burn_rate(goal):.1f}"


def team_table(window: WindowReport) -> Table:
    """Return the teams with the lowest attainment."""
    table = Table(title=f"Worst-served teams, {window_heading(window)}")
    for name in ("team", "class", "met", "requests"):
        table.add_column(name)
    ranked = sorted(
        (item for item in window.teams.items() if item[1].total),
        key=lambda item: (item[1].attainment, item[0]),
    )
    for (team, class_name), tally in ranked[:MAX_TEAMS_SHOWN]:
        table.add_row(team, class_name, f"{tally.attainment:.2%}", f"{tally.total:.0f}")
    return table


def service_table(report: Report) -> Table:
    """Return goodput, waste, spend, the share of cheap servers and usage windows."""
    service = report.service
    table = Table(title="Service and spend")
    table.add_column("what")
    table.add_column("figure")
    rows: list[tuple[str, float | None, str]] = [
        ("requests within their targets", service.met, ",.0f"),
        ("tokens of those (goodput)", service.good_tokens, ",.0f"),
        ("tokens wasted", service.wasted_tokens, ",.0f"),
        ("share wasted", service.wasted_share, ".2%"),
        ("share of tokens from cheap servers", service.cheap_share, ".1%"),
        ("spend", service.spend, ",.2f"),
        ("spend per 1000 within targets", service.spend_per_1000_met, ",.4f"),
        ("last usage window reported after, s", service.report_lag_s, ",.1f"),
        (
            "usage windows with late usage of earlier ones",
            service.corrected_windows,
            ",.0f",
        ),
    ]
    for what, value, form in rows:
        table.add_row(what, "not reported" if value is None else format(value, form))
    return table


def format_duration(seconds: float) -> str:
    if seconds >= 3600:
        return f"{seconds / 3600:.3g} h"
    if seconds >= 60:
        return f"{seconds / 60:.3g} min"
    return f"{seconds:.3g} s"

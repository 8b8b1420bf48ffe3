"""`godwit-load play`: scenarios in virtual time, under the policy and baselines."""

import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated, NamedTuple

import typer
from rich.console import Console
from rich.table import Table

from godwitmast.daemons import EXIT_FAILED, EXIT_USAGE
from godwitmast.load.scenario import Scenario
from godwitmast.load.simulation import POLICIES, Simulation
from godwitmast.load.steps import ScenarioInvalid, read_scenarios


class PlayResult(NamedTuple):
    """Measures and failed checks of one simulation of a scenario."""

    scenario: str
    policy: str
    seed: int
    values: dict[str, float]
    failures: list[str]


def play_once(scenario: Scenario, policy: str, seed: int) -> PlayResult:
    """Simulate a scenario once and return its measures."""
    score = Simulation(scenario, policy, seed).run()
    values = {name: score.attainment(name) for name in scenario.classes}
    values |= {
        "goodput t/s": score.goodput,
        "wasted": score.wasted,
        "late": score.late,
        "worst team": score.worst_team,
        "starved": float(score.starved),
        "cut": float(score.cut),
    }
    if score.recovery_s is not None:
        values["recovery s"] = score.recovery_s
    if score.poison_crashes:
        values["poison crashes"] = float(score.poison_crashes)
    return PlayResult(scenario.name, policy, seed, values, score.failures())


def play(
    files: Annotated[list[Path], typer.Argument(help="Scenario files.")],
    policy: Annotated[
        list[str] | None, typer.Option(help=f"Of {', '.join(POLICIES)}; default all.")
    ] = None,
    seed: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, help="How many seeds.")] = 1,
    processes: Annotated[int, typer.Option(min=1, help="Simulations at once.")] = 3,
) -> None:
    """Simulate scenarios in virtual time and print the median (and the range).

    Exit 0 if the checks of each scenario hold for the policy `godwit`, else 1.
    """
    unknown = set(policy or ()) - set(POLICIES)
    if unknown:
        typer.echo(f"error: no policy {', '.join(sorted(unknown))}", err=True)
        raise typer.Exit(EXIT_USAGE)
    try:
        scenarios = [item for path in files for item in read_scenarios(path)]
    except ScenarioInvalid as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    console = Console()
    failed = False
    # Processes as workers are allowed here, since the load tool is no daemon.
    with ProcessPoolExecutor(processes) as pool:
        for scenario in scenarios:
            results = run_all(pool, scenario, policy or list(POLICIES), seed, seeds)
            console.print(result_table(scenario, results))
            for result in results:
                if result.policy == "godwit" and result.failures:
                    failed = True
                    why = "; ".join(result.failures)
                    console.print(f"seed {result.seed}: {why}", style="red")
    if failed:
        raise typer.Exit(EXIT_FAILED)


def run_all(
    pool: ProcessPoolExecutor,
    scenario: Scenario,
    policies: list[str],
    seed: int,
    seeds: int,
) -> list[PlayResult]:
    """Simulate a scenario under each policy with each seed."""
    futures = [
        pool.submit(play_once, scenario, policy, number)
        for policy in policies
        for number in range(seed, seed + seeds)
    ]
    return [future.result() for future in futures]


def result_table(scenario: Scenario, results: list[PlayResult]) -> Table:
    """Return a table of medians, with the range where seeds differ."""
    policies = list(dict.fromkeys(result.policy for result in results))
    table = Table(title=scenario.name)
    for heading in ("measure", *policies):
        table.add_column(heading)
    for name in dict.fromkeys(name for r in results for name in r.values):
        cells = [
            format_values(
                [r.values.get(name, 0.0) for r in results if r.policy == policy]
            )
            for policy in policies
        ]
        table.add_row(name, *cells)
    return table


def format_values(values: list[float]) -> str:
    median = statistics.median(values)
    if min(values) == max(values):
        return f"{median:.4g}"
    return f"{median:.4g} ({min(values):.3g}-{max(values):.3g})"

"""`godwit-load spend`: spend and attainment of the capacity plan and two baselines."""

import math
import statistics
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Annotated, NamedTuple

import typer
from rich.console import Console
from rich.table import Table

from godwitmast.capacity.messages import ServerKind
from godwitmast.capacity.planner import Planner
from godwitmast.capacity.sizing import PLANNED_UTILISATION
from godwitmast.config.document import CapacityPolicy
from godwitmast.daemons import EXIT_FAILED
from godwitmast.load.fleet_model import FleetModel, FleetResult, Scaler
from godwitmast.load.mixes import MIXES, Mix
from godwitmast.load.scalers import FixedFleet, TargetUtilisation
from godwitmast.types import PoolName, ZoneName

ROUNDING = 1e-9
"""Attainments of the same day differ by this much, as sums of fractions of requests."""

POLICIES = ("plan", "fixed", "utilisation")


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


class Trial(NamedTuple):
    """One simulation of a policy on a mix."""

    mix: str
    policy: str
    seed: int
    zone_loss: bool


def make_capacity_policy(mix: Mix) -> CapacityPolicy:
    """Return the capacity policy that both example configurations have."""
    return CapacityPolicy(
        min_servers=3, max_servers=12, zones=frozenset(mix.zones), cheap_share=0.6
    )


def fixed_fleet_size(mix: Mix) -> int:
    """Return the servers that the mix's peak rate needs at the planned utilisation."""
    capacity_policy = make_capacity_policy(mix)
    mean_work_s = sum(
        c.share
        * (
            c.prompt.mean / capacity_policy.prompt_tokens_per_s
            + c.answer.mean / capacity_policy.output_tokens_per_s
        )
        for c in mix.classes
    )
    return math.ceil(peak_rate(mix)[1] * mean_work_s / PLANNED_UTILISATION)


def peak_rate(mix: Mix) -> tuple[int, float]:
    """Return the time of the highest rate, in seconds, and that rate."""
    times = range(0, int(mix.duration_s), 60)
    second = max(times, key=mix.rate)
    return second, mix.rate(second)


def make_scaler(policy: str, mix: Mix) -> Scaler:
    capacity_policy = make_capacity_policy(mix)
    zones = [ZoneName(zone) for zone in mix.zones]
    match policy:
        case "plan":
            return Planner(PoolName(mix.model), zones, capacity_policy)
        case "utilisation":
            return TargetUtilisation(PoolName(mix.model), zones, capacity_policy)
        case _:
            return FixedFleet()


def run_trial(trial: Trial) -> FleetResult:
    """Simulate one policy on one mix with one seed."""
    mix = MIXES[trial.mix]
    count = fixed_fleet_size(mix)
    kinds: list[ServerKind] = ["on_demand"] * count
    if trial.policy == "plan":
        kinds = ["on_demand" if n % 5 < 2 else "cheap" for n in range(count)]
    start = [(ZoneName(mix.zones[n % 3]), kind) for n, kind in enumerate(kinds)]
    loss_at = peak_rate(mix)[0] if trial.zone_loss else None
    model = FleetModel(mix, trial.seed, make_capacity_policy(mix), start, loss_at)
    model.run(make_scaler(trial.policy, mix))
    return model.result()


def measure(mixes: list[str], seeds: int, zone_loss: bool, processes: int) -> bool:
    """Print the comparison; return whether the plan meets all its aims."""
    console = Console(width=110)
    aims_met = True
    for name in mixes:
        trials = [
            Trial(name, policy, seed, zone_loss)
            for policy in POLICIES
            for seed in range(1, seeds + 1)
        ]
        with ProcessPoolExecutor(processes) as pool:
            results = list(pool.map(run_trial, trials))
        by_policy = {
            policy: [
                r for t, r in zip(trials, results, strict=True) if t.policy == policy
            ]
            for policy in POLICIES
        }
        console.print(compare_table(name, seeds, by_policy))
        aims_met &= print_verdict(console, by_policy)
    return aims_met


def compare_table(
    name: str, seeds: int, by_policy: dict[str, list[FleetResult]]
) -> Table:
    classes = list(by_policy["plan"][0].attainment)
    table = Table(
        title=f"{name}: mean of {seeds} seeds; by class, missed of 100,000 (worst seed)"
    )
    for heading in ("policy", "spend", "per 1000 met", "server h", *classes):
        table.add_column(heading)
    for heading in ("ordered/ released", "evicted", "harmed", "cheap work"):
        table.add_column(heading)
    for policy, results in by_policy.items():
        mean = partial(mean_of, results)
        table.add_row(
            policy,
            f"{mean('spend'):.1f}",
            f"{mean('spend_per_1000_met'):.4f}",
            f"{mean('server_hours'):.1f}",
            *(show_missed(results, c) for c in classes),
            f"{mean('ordered'):.0f}/{mean('released'):.0f}",
            f"{mean('evicted'):.1f}",
            f"{mean('harmed'):.1f}",
            f"{mean('cheap_work'):.0%}",
        )
    return table


def mean_of(results: list[FleetResult], field: str) -> float:
    return statistics.fmean(getattr(r, field) for r in results)


def show_missed(results: list[FleetResult], name: str) -> str:
    missed = [max(0.0, 100_000 * (1 - r.attainment[name])) for r in results]
    return f"{statistics.fmean(missed):.1f} ({max(missed):.1f})"


def print_verdict(console: Console, by_policy: dict[str, list[FleetResult]]) -> bool:
    """Print each aim with the result; return whether all are met."""
    plan, fixed = by_policy["plan"], by_policy["fixed"]
    spend_saved = 1 - mean_of(plan, "spend") / mean_of(fixed, "spend")
    hours_saved = 1 - mean_of(plan, "server_hours") / mean_of(fixed, "server_hours")
    cheap = mean_of(plan, "cheap_work")
    worst = min(
        statistics.fmean(
            p.attainment[name] - f.attainment[name]
            for p, f in zip(plan, fixed, strict=True)
        )
        for name in plan[0].attainment
    )
    aims = [
        (
            spend_saved >= 0.30,
            f"spend against fixed: {-spend_saved:+.1%} (aim at most -30%)",
        ),
        (
            worst >= -ROUNDING,
            f"worst class against fixed: {100 * worst:+.3f} points (aim 0)",
        ),
        (cheap >= 0.5, f"work on cheap servers: {cheap:.0%} (aim 50%)"),
    ]
    if plan[0].zone_loss:
        names = list(plan[0].zone_loss)[:2]
        points_lost = max(r.zone_loss[name] for r in plan for name in names)
        aims.append(
            (
                points_lost <= 1,
                f"top two tiers, zone lost, worst seed: -{points_lost:.2f} points",
            )
        )
    for met, text in aims:
        console.print(f"{'met   ' if met else 'MISSED'} {text}")
    console.print(
        f"       server hours against fixed: {-hours_saved:+.1%}, at any price"
    )
    return all(met for met, _ in aims)

"""`godwit-load slopes`: how costs grow with the size of a deployment.

Each cost is processor time or bytes of the product's code at several sizes, with a
straight line fitted through the points. docs/CAPACITY.md extrapolates from the lines to
larger deployments.
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from prometheus_client import generate_latest
from rich.console import Console
from rich.table import Table

from godwitmast.capacity.demand import DemandAggregator, DemandKey, DemandMeter
from godwitmast.capacity.fleet import (
    SERVERS_KEY,
    FleetRow,
    PublishedServer,
    dump_fleet,
    load_fleet,
)
from godwitmast.capacity.messages import ClassDemand, PlanInput, ServerState, ServerView
from godwitmast.capacity.planner import Planner
from godwitmast.config.document import CapacityPolicy, RequestClass
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import BackendSpec, RequestSpec, Start
from godwitmast.dispatch.router import Router
from godwitmast.entry.metrics import EntryMetrics, Timing
from godwitmast.keys.hashing import hash_key
from godwitmast.types import (
    BackendId,
    ClassName,
    PoolName,
    RequestId,
    TeamName,
    ZoneName,
)
from godwitmast.usage.meter import UsageKey, UsageSum
from godwitmast.usage.rows import NodeRow, dump_node

REPEATS = 3
"""Runs of a timing, of which the fastest counts."""

CLASSES = 7
POOLS = 28


class Slope(NamedTuple):
    """A cost at several sizes, and the line fitted through them."""

    name: str
    per: str
    unit: str
    points: list[tuple[int, float]]

    @property
    def fit(self) -> tuple[float, float]:
        """Return the fixed cost and the slope, by least squares."""
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in self.points) / spread
        return mean_y - slope * mean_x, slope


def slopes() -> None:
    """Measure the slopes from which docs/CAPACITY.md is calculated."""
    console = Console(width=110)
    table = Table(title="Slopes, processor time of this machine")
    for heading in ("cost", "points", "fixed", "slope", "per"):
        table.add_column(heading)
    for measure in (
        measure_config_size,
        measure_config_parse,
        measure_config_memory,
        measure_scrape_size,
        measure_scrape_time,
        measure_class_scrape_size,
        measure_router_cost,
        measure_usage_row_size,
        measure_fleet_row_size,
        measure_fleet_row_parse,
        measure_demand_row_size,
        measure_demand_apply,
        measure_plan_step,
    ):
        slope = measure()
        fixed, per_unit = slope.fit
        points = ", ".join(f"{x}: {y:.4g}" for x, y in slope.points)
        table.add_row(
            f"{slope.name}, {slope.unit}",
            points,
            f"{fixed:.3g}",
            f"{per_unit:.3g}",
            slope.per,
        )
    console.print(table)


def best_cpu_ms(work: Callable[[], object]) -> float:
    """Return the least processor time of REPEATS runs, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        gc.collect()
        started_at = time.process_time()
        work()
        times.append(time.process_time() - started_at)
    return 1000 * min(times)


def make_document(teams: int) -> dict[str, Any]:
    """Return a configuration with two keys a team, 28 models and 850 servers."""
    zones = [f"zone-{n}" for n in range(7)]
    models: dict[str, Any] = {f"model-{n}": {} for n in range(POOLS)}
    return {
        "classes": {
            f"class-{n}": {"tier": n + 1, "first_token_s": 1.2} for n in range(CLASSES)
        },
        "teams": {
            f"team-{n:05}": {"weight": 1.0 + n % 3, "tokens_per_s": 5000.0}
            for n in range(teams)
        },
        "keys": {
            hash_key(f"key-{n}"): {
                "team": f"team-{n // 2:05}",
                "default_class": "class-0",
            }
            for n in range(2 * teams)
        },
        "models": models,
        "backends": {
            f"server-{n:04}": {
                "url": f"http://10.0.{n // 250}.{n % 250}:8000",
                "zone": zones[n % 7],
                "pools": [f"model-{n % POOLS}"],
            }
            for n in range(850)
        },
        "capacity": {name: {} for name in models},
    }


TEAM_COUNTS = (100, 1600, 3200, 6300)


def measure_config_size() -> Slope:
    """Measure the configuration document, by its teams."""
    points = [(n, len(json.dumps(make_document(n))) / 1024) for n in TEAM_COUNTS]
    return Slope("configuration document", "team with 2 keys", "KiB", points)


def measure_config_parse() -> Slope:
    """Measure parsing the configuration document, by its teams."""
    points = []
    for teams in TEAM_COUNTS:
        raw = make_document(teams)
        points.append((teams, best_cpu_ms(partial(parse_document, raw))))
    return Slope("parse and check a configuration", "team", "ms", points)


def measure_config_memory() -> Slope:
    """Measure the parsed document together with the raw one, which is kept too."""
    points = []
    for teams in TEAM_COUNTS:
        text = json.dumps(make_document(teams))
        tracemalloc.start()
        raw = json.loads(text)
        retained = (raw, parse_document(raw))
        points.append((teams, tracemalloc.get_traced_memory()[0] / 2**20))
        tracemalloc.stop()
        del retained
    return Slope("configuration in memory", "team", "MiB", points)


def fill_metrics(teams: int) -> EntryMetrics:
    """Return metrics after each team had an answer and a refusal in two classes."""
    metrics = EntryMetrics()
    target = RequestClass(1, first_token_s=1.2)
    for team in range(teams):
        for number in range(2):
            name = f"class-{(team + number) % CLASSES}"
            metrics.record_answer(f"team-{team:05}", name, target, Timing(0.5, 2.0, 50))
            metrics.record_refusal(f"team-{team:05}", name, "shed")
    return metrics


def measure_scrape_size() -> Slope:
    """Measure the answer to a scrape of the metrics by team, by the number of teams."""
    points = [
        (n, len(generate_latest(fill_metrics(n).team_registry)) / 1024)
        for n in TEAM_COUNTS
    ]
    return Slope("/metrics/teams", "team", "KiB", points)


def measure_scrape_time() -> Slope:
    """Measure generating the metrics by team, by the number of teams."""
    points = []
    for teams in TEAM_COUNTS:
        registry = fill_metrics(teams).team_registry
        points.append((teams, best_cpu_ms(partial(generate_latest, registry))))
    return Slope("write /metrics/teams", "team", "ms", points)


def measure_class_scrape_size() -> Slope:
    """Measure the answer to a scrape of /metrics, by the number of teams."""
    points = [
        (n, len(generate_latest(fill_metrics(n).registry)) / 1024) for n in TEAM_COUNTS
    ]
    return Slope("/metrics", "team", "KiB", points)


ROUTED_REQUESTS = 3000


def measure_router_cost() -> Slope:
    """Measure the decisions of a request, by the number of servers of its model."""
    document = parse_document(make_document(1600))
    points = []
    for servers in (20, 120, 400, 850):
        specs = [
            BackendSpec(
                BackendId(f"s{n}"), ZoneName(f"zone-{n % 7}"), frozenset(["model-0"])
            )
            for n in range(servers)
        ]
        router = Router(document, ZoneName("zone-0"))
        router.update_backends(specs, 0.0)
        points.append(
            (
                servers,
                1000 * best_cpu_ms(partial(route_requests, router)) / ROUTED_REQUESTS,
            )
        )
    return Slope("decisions of a request", "server of its model", "us", points)


def route_requests(router: Router) -> None:
    """Submit requests and complete them, with up to a hundred running at once."""
    now = 0.0
    started: list[Start] = []
    for number in range(ROUTED_REQUESTS):
        now += 0.01
        request = RequestSpec(
            RequestId(f"r{number}"),
            TeamName(f"team-{number % 1600:05}"),
            ClassName(f"class-{number % CLASSES}"),
            PoolName("model-0"),
            now,
            prompt_tokens=300,
        )
        started += [a for a in router.submit(request, now) if isinstance(a, Start)]
        if len(started) > 100:
            first = started.pop(0)
            router.record_tokens(first.request_id, first.attempt_id, 100, now)
            router.record_completion(first.request_id, first.attempt_id, now)
    for start in started:
        router.record_completion(start.request_id, start.attempt_id, now)


SERVER_COUNTS = (50, 200, 400, 850)


def make_fleet(servers: int) -> FleetRow:
    return FleetRow(
        1,
        {
            f"server-{n:04}": PublishedServer(
                f"http://10.0.{n // 250}.{n % 250}:8000",
                f"zone-{n % 7}",
                "cheap",
                [f"model-{n % POOLS}"],
                f"7-{n}",
            )
            for n in range(servers)
        },
    )


def measure_usage_row_size() -> Slope:
    """Measure an entry's journal row, by its sums of a team, class and model."""
    points = []
    for count in (50, 250, 500, 1000):
        sums = {
            UsageKey(f"team-{n:05}", f"class-{n % CLASSES}", f"model-{n % POOLS}"): (
                UsageSum(n, 300 * n, 450 * n)
            )
            for n in range(count)
        }
        row = NodeRow("node-1", "zone-1", "node-1.0a1b", 9, 9, 60, {60: sums}, {})
        points.append((count, len(json.dumps(dump_node(row))) / 1024))
    return Slope("an entry's usage row", "team, class and model", "KiB", points)


def measure_fleet_row_size() -> Slope:
    """Measure the row of the published servers, by their number."""
    points = [
        (n, len(json.dumps(dump_fleet(make_fleet(n))[SERVERS_KEY])) / 1024)
        for n in SERVER_COUNTS
    ]
    return Slope("fleet row", "server", "KiB", points)


def measure_fleet_row_parse() -> Slope:
    """Measure reading the row of the published servers, by their number."""
    points = []
    for servers in SERVER_COUNTS:
        text = json.dumps(dump_fleet(make_fleet(servers))[SERVERS_KEY])
        points.append((servers, best_cpu_ms(partial(read_fleet, text))))
    return Slope("read the fleet row", "server", "ms", points)


def make_demand(pools: int) -> DemandMeter:
    meter = DemandMeter()
    for pool in range(pools):
        for number in range(CLASSES):
            key = DemandKey(f"model-{pool}", f"class-{number}")
            meter.record_request(key, 123_456)
            meter.record_answer(key, 12_345)
    return meter


def read_fleet(text: str) -> FleetRow:
    return load_fleet(json.loads(text))


def measure_demand_row_size() -> Slope:
    """Measure an entry's demand row, by its models."""
    points = [
        (n, len(json.dumps(make_demand(n).dump("0a1b2c3d", {}))) / 1024)
        for n in (1, 7, 14, POOLS)
    ]
    return Slope("an entry's demand row", "model with 7 classes", "KiB", points)


CHANGED_SHARE = 0.22
"""Share of an entry's 196 demand sums that change in 5 s, when 350 entries share 3,000
requests a second."""


def measure_demand_apply() -> Slope:
    """Measure adding up all entries' rows, as the lease holder for orders does."""
    points = []
    for nodes in (9, 100, 200, 350):
        meter, aggregator = make_demand(POOLS), DemandAggregator()
        first = meter.dump("0a1b2c3d", {})
        keys = sorted(meter.sums)
        for key in keys[: int(CHANGED_SHARE * len(keys))]:
            meter.record_request(key, 300)
        values = [first, meter.dump("0a1b2c3d", {})]
        points.append(
            (nodes, best_cpu_ms(partial(apply_twice, aggregator, nodes, values)) / 2)
        )
    return Slope("add up the demand rows", "entry", "ms", points)


def apply_twice(aggregator: DemandAggregator, nodes: int, values: list[Any]) -> None:
    """Apply two rounds of rows with increasing versions."""
    for value in values:
        now = (aggregator.updated_at or 0.0) + 5.0
        rows = {f"demand/{n}": (int(now), value) for n in range(nodes)}
        aggregator.apply_rows(rows, now)


def measure_plan_step() -> Slope:
    """Measure one planning round for all 28 models."""
    zones = [ZoneName(f"zone-{n}") for n in range(7)]
    points = []
    for servers in SERVER_COUNTS:
        planners = [
            Planner(PoolName(f"model-{n}"), zones, CapacityPolicy())
            for n in range(POOLS)
        ]
        plan_inputs = [make_plan_input(servers // POOLS, zones) for _ in planners]
        points.append(
            (servers, best_cpu_ms(partial(plan_round, planners, plan_inputs)))
        )
    return Slope("plan a round for 28 models", "server", "ms", points)


def plan_round(planners: list[Planner], plan_inputs: list[PlanInput]) -> None:
    for planner, plan_input in zip(planners, plan_inputs, strict=True):
        planner.step(plan_input)


def make_plan_input(servers: int, zones: list[ZoneName]) -> PlanInput:
    demand = [ClassDemand(ClassName(f"c{n}"), n + 1, servers / 12) for n in range(7)]
    plan_inputs = [
        ServerView(BackendId(f"s{n}"), zones[n % 7], "cheap", ServerState.SERVING)
        for n in range(servers)
    ]
    return PlanInput(0.0, demand, plan_inputs)

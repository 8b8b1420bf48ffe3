"""`godwit-load decision-cost`: cost of one decision, and its growth with the size.

A router runs as many requests as its servers' limits allow, with more of them waiting.
Each timed cycle completes one request, starts the next in its place and submits a new
one, which are all decisions of a request but those for its tokens.
"""

import itertools
import math
import random
import statistics
import time
from typing import Annotated, Any, NamedTuple

import typer
from rich.console import Console
from rich.table import Table

from godwitmast.config.document import Document
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import Action, BackendSpec, RequestSpec, Start
from godwitmast.dispatch.router import Router
from godwitmast.types import (
    AttemptId,
    BackendId,
    ClassName,
    PoolName,
    RequestId,
    TeamName,
    ZoneName,
)

TIERS = 7
MODELS = 28
ZONES = 7
WARM_UP_CYCLES = 200


class Size(NamedTuple):
    """Size of a system."""

    waiting: int
    teams: int
    replicas: int


FULL_SIZE = Size(waiting=1000, teams=6300, replicas=850)
"""Size that the users expect within two years, on one entry VM."""

SIZES = {
    "waiting": (10, 100, 1000, 4000),
    "teams": (63, 630, 6300),
    "replicas": (85, 280, 850),
}


class Cost(NamedTuple):
    """Microseconds of one cycle (end, start, submit) and of one token."""

    cycle_us: float
    token_us: float


def make_document(teams: int) -> Document:
    """Return a configuration with this many teams."""
    return parse_document(
        {
            "classes": {
                f"class-{tier}": {"tier": tier, "completion_s": 100_000.0}
                for tier in range(1, TIERS + 1)
            },
            "teams": {f"team-{n}": {} for n in range(teams)},
            "models": {f"model-{n}": {} for n in range(MODELS)},
        }
    )


class Bench:
    """A router with all servers at their limits and `size.waiting` waiting requests."""

    def __init__(self, size: Size, seed: int) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.router = Router(make_document(size.teams), ZoneName("zone-0"), seed)
        self.numbers = itertools.count()
        self.now = 1.0
        self.running: list[tuple[RequestId, AttemptId]] = []
        self.router.update_backends(
            [
                BackendSpec(
                    BackendId(f"replica-{n}"),
                    ZoneName(f"zone-{n // MODELS % ZONES}"),
                    frozenset([f"model-{n % MODELS}"]),
                )
                for n in range(size.replicas)
            ],
            self.now,
        )
        while self.router.admission.waiting < size.waiting:
            self.submit()

    def draw_request(self) -> RequestSpec:
        draw = self.random
        number = next(self.numbers)
        return RequestSpec(
            RequestId(str(number)),
            TeamName(f"team-{draw.randrange(self.size.teams)}"),
            ClassName(f"class-{draw.randint(1, TIERS)}"),
            PoolName(f"model-{number % MODELS}"),
            self.now,
            prompt_tokens=200,
            fingerprint=str(number),
            prefix=f"prefix-{draw.randrange(50)}",
        )

    def record_starts(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self.running.append((action.request_id, action.attempt_id))

    def submit(self) -> None:
        self.record_starts(self.router.submit(self.draw_request(), self.now))

    def draw_running(self) -> tuple[RequestId, AttemptId]:
        index = self.random.randrange(len(self.running))
        self.running[index], self.running[-1] = self.running[-1], self.running[index]
        return self.running.pop()

    def cycle(self) -> float:
        """Complete a request, start the next and submit another; return the seconds."""
        ids = self.draw_running()
        request = self.draw_request()
        self.now += 0.001
        started_at = time.perf_counter()
        ended = self.router.record_completion(*ids, self.now)
        submitted = self.router.submit(request, self.now)
        seconds = time.perf_counter() - started_at
        self.record_starts([*ended, *submitted])
        while self.router.admission.waiting < self.size.waiting:
            self.submit()
        return seconds

    def pass_token(self) -> float:
        ids = self.random.choice(self.running)
        self.now += 0.001
        started_at = time.perf_counter()
        actions = self.router.record_tokens(*ids, 1, self.now)
        seconds = time.perf_counter() - started_at
        self.record_starts(actions)
        return seconds


def measure(size: Size, cycles: int, seed: int) -> Cost:
    """Return the median costs at a size."""
    bench = Bench(size, seed)
    for _ in range(WARM_UP_CYCLES):
        bench.cycle()
    cycle = statistics.median(bench.cycle() for _ in range(cycles))
    token = statistics.median(bench.pass_token() for _ in range(cycles))
    return Cost(cycle * 1e6, token * 1e6)


def exponent(points: list[tuple[float, float]]) -> float:
    """Return the exponent with which a cost grows with the size, by least squares."""
    logs = [(math.log(size), math.log(cost)) for size, cost in points]
    return statistics.linear_regression(*zip(*logs, strict=True)).slope


def decision_cost(
    cycles: Annotated[int, typer.Option(min=10, help="Decisions at each size.")] = 2000,
    seed: Annotated[int, typer.Option(help="Seed of the random draws.")] = 1,
) -> None:
    """Print the cost of a decision in µs, and its growth exponent for each size."""
    table = Table(title="One decision: end, start and submit; and one token")
    for heading in ("varied", "waiting", "teams", "replicas", "cycle µs", "token µs"):
        table.add_column(heading)
    fits = []
    for name, values in SIZES.items():
        points: list[tuple[float, float]] = []
        for value in values:
            sizes: dict[str, Any] = {name: value}
            size = FULL_SIZE._replace(**sizes)
            cost = measure(size, cycles, seed)
            points.append((value, cost.cycle_us))
            table.add_row(
                name, *map(str, size), f"{cost.cycle_us:.0f}", f"{cost.token_us:.1f}"
            )
        fits.append(f"cycle grows with {name} to the power {exponent(points):.2f}")
    console = Console()
    console.print(table)
    for line in fits:
        console.print(line)

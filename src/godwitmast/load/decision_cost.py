"""`godwit-load decision-cost`: what one decision costs, and how that grows.

A router is filled to its servers' limits with requests waiting on top. Then, over and
over, one request ends, the one that goes next is started in its place, and a new one
comes: its time is what a request costs in decisions, tokens aside.
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
WARM_UP = 200


class Size(NamedTuple):
    """How large a system is."""

    waiting: int
    teams: int
    replicas: int


WHOLE = Size(waiting=1000, teams=6300, replicas=850)
"""What the users expect within two years, on one entry VM."""

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
    """A router that is kept full."""

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

    def request(self) -> RequestSpec:
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

    def note(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self.running.append((action.request_id, action.attempt_id))

    def submit(self) -> None:
        self.note(self.router.submit(self.request(), self.now))

    def draw_running(self) -> tuple[RequestId, AttemptId]:
        place = self.random.randrange(len(self.running))
        self.running[place], self.running[-1] = self.running[-1], self.running[place]
        return self.running.pop()

    def cycle(self) -> float:
        """End a request, start the next and take a new one; return the seconds."""
        ids = self.draw_running()
        request = self.request()
        self.now += 0.001
        began = time.perf_counter()
        ended = self.router.record_completion(*ids, self.now)
        taken = self.router.submit(request, self.now)
        seconds = time.perf_counter() - began
        self.note([*ended, *taken])
        while self.router.admission.waiting < self.size.waiting:
            self.submit()
        return seconds

    def token(self) -> float:
        ids = self.random.choice(self.running)
        self.now += 0.001
        began = time.perf_counter()
        actions = self.router.record_tokens(*ids, 1, self.now)
        seconds = time.perf_counter() - began
        self.note(actions)
        return seconds


def measure(size: Size, cycles: int, seed: int) -> Cost:
    """Return the median costs at a size."""
    bench = Bench(size, seed)
    for _ in range(WARM_UP):
        bench.cycle()
    cycle = statistics.median(bench.cycle() for _ in range(cycles))
    token = statistics.median(bench.token() for _ in range(cycles))
    return Cost(cycle * 1e6, token * 1e6)


def exponent(points: list[tuple[float, float]]) -> float:
    """Return the power of the size with which a cost grows, by least squares."""
    logs = [(math.log(size), math.log(cost)) for size, cost in points]
    return statistics.linear_regression(*zip(*logs, strict=True)).slope


def decision_cost(
    cycles: Annotated[int, typer.Option(min=10, help="Decisions at each size.")] = 2000,
    seed: Annotated[int, typer.Option(help="Seed of what is drawn.")] = 1,
) -> None:
    """Print what a decision costs in µs, and the power of each size it grows with."""
    table = Table(title="One decision: end, start and submit; and one token")
    for heading in ("varied", "waiting", "teams", "replicas", "cycle µs", "token µs"):
        table.add_column(heading)
    fits = []
    for name, values in SIZES.items():
        points: list[tuple[float, float]] = []
        for value in values:
            sizes: dict[str, Any] = {name: value}
            size = WHOLE._replace(**sizes)
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

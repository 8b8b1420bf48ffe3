"""Replays in which the model of the servers' speed is told the truth of some things.

The error of predicted first tokens and the spread over engines have several causes at a
time. Telling the model one thing shows what that one costs, whatever the others do.
"""

import itertools
import sys
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Literal, cast, get_args

from godwitmast.dispatch.router import Router
from godwitmast.measurements.view import FleetView
from godwitmast.speed.model import PoolSpeed
from godwitmast.speed.placement import Engine as Placed
from godwitmast.speed.placement import Option, Question, TimePlacement
from godwitmast.speed.prediction import Cached, PrefillAgain, PrefixUse, Queue
from godwitmast.types import BackendId
from speed_replay import (
    END_S,
    KINDS,
    LOADS,
    POOL,
    WARM_S,
    Engine,
    Load,
    SpeedReplay,
)

Truth = Literal["loads", "speeds", "queues", "caches"]
"""The requests on each engine, how long work takes there, the prompt tokens that are
queued there, and the prefixes that it holds."""


@dataclass(slots=True)
class TrueLoad:
    """An engine whose number of requests is known."""

    engine: Placed
    requests: float

    def __getattr__(self, name: str) -> object:
        return getattr(self.engine, name)

    def expected_load(self, mean: float, now: float) -> float:
        return self.requests


@dataclass(slots=True)
class InformedSpeed(PoolSpeed):
    """Speeds of engines as they are."""

    engines: dict[BackendId, Engine] = field(default_factory=dict)

    def slowness(
        self, backend_id: BackendId, incarnation: int, view: FleetView, now: float
    ) -> float:
        PoolSpeed.slowness(self, backend_id, incarnation, view, now)
        fastest = min(engine.slowness for engine in self.engines.values())
        return 1 / self.engines[backend_id].model.rates.speed / fastest


@dataclass
class InformedPlacement(TimePlacement):
    """A VM's placement that is told the truth of some things."""

    engines: dict[BackendId, Engine] = field(default_factory=dict)
    truths: Collection[Truth] = ()

    def consider(self, question: Question, engine: Placed, view: FleetView) -> Option:
        if "loads" not in self.truths:
            return super().consider(question, engine, view)
        model = self.engines[engine.backend_id].model
        requests = len(model.running) + len(model.waiting)
        known = cast(Placed, TrueLoad(engine, requests))
        return super().consider(question, known, view)

    def queue_at(
        self, question: Question, engine: Placed, load: float, ahead: float
    ) -> Queue:
        queue = super().queue_at(question, engine, load, ahead)
        if "queues" not in self.truths:
            return queue
        model = self.engines[engine.backend_id].model
        running = sum(item.prefill_left for item in model.running.values())
        waiting = sum(
            max(1, item.prompt_tokens - model.cache.get(item.prefix, 0))
            for item in model.waiting
        )
        return Queue(running + waiting, 0.0, queue.place_s)

    def prefix_use(self, question: Question, engine: Placed) -> PrefixUse:
        shared = question.prompt.parts[:-1]
        if "caches" not in self.truths or not shared:
            return super().prefix_use(question, engine)
        model = self.engines[engine.backend_id].model
        name = shared[0].part_id
        if name in model.cache or any(item.prefix == name for item in model.waiting):
            return Cached()
        return PrefillAgain(float(shared[0].tokens))


class InformedReplay(SpeedReplay):
    """A replay whose VMs are told the truth of some things."""

    def __init__(
        self, vms: int, load: Load, truths: Collection[Truth], seed: int = 1
    ) -> None:
        self.truths = truths
        super().__init__(vms, load, "on", seed)

    def make_router(self, number: int, vms: int) -> Router:
        router = super().make_router(number, vms)
        speeds = router.backends.speeds
        placement = InformedPlacement(
            rng=speeds.random, engines=self.engines, truths=self.truths
        )
        if "speeds" in self.truths:
            placement.speed = InformedSpeed(engines=self.engines)
        speeds.pools[POOL] = placement
        return router


def replay_informed(
    vms: int, load: Load, truths: Collection[Truth], seed: int = 1
) -> InformedReplay:
    """Play a load to its end."""
    pool = InformedReplay(vms, load, truths, seed)
    pool.start_load(END_S)
    pool.run(END_S + 16.0)
    return pool


def print_causes() -> None:
    """Print the figures of load 'all' by what the model is told."""
    sizes = [int(text) for text in (sys.argv[1:2] or ["1,62"])[0].split(",")]
    seeds = range(1, 1 + int((sys.argv[2:3] or ["1"])[0]))
    names: tuple[Truth, ...] = get_args(Truth)
    told: list[tuple[Truth, ...]] = [
        (),
        *((name,) for name in names),
        ("speeds", "queues"),
        names,
    ]
    for vms, truths, seed in itertools.product(sizes, told, seeds):
        pool = replay_informed(vms, LOADS["all"], truths, seed)
        shares = [f"{pool.good_share(kind.name, WARM_S, END_S):.3f}" for kind in KINDS]
        print(
            f"vms={vms:3} seed={seed} told={'+'.join(truths) or 'nothing':28} "
            f"error={pool.median_error(WARM_S, END_S):.2f} "
            f"busiest={pool.busiest_ratio:.2f} good={'/'.join(shares)} "
            f"again={pool.prefilled_again / 1e6:.2f}M",
            flush=True,
        )


if __name__ == "__main__":
    print_causes()

"""Measures what a stream loses when its server is evicted, by how it goes on.

Its context is read again by another engine, or its KV cache is moved there. Half of
an evicted server's streams go to each of two survivors that are half full.
"""

import statistics
from collections import deque
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from godwitmast.standins.engine_model import EngineModel, Sequence

KV_BYTES_PER_TOKEN = 131_072
"""Of a 7-billion-parameter model with grouped queries: 32 layers, 8 heads of 128
values, keys and values of 2 bytes."""

GIGABITS = (10.0, 25.0, 100.0)
"""Speeds of the leaving server's link, which all its streams share."""

CONTEXTS = (256, 1024, 4096, 16_384)
RESIDENT = 16
MOVED = 8
"""Streams that each survivor has, and that come to it."""

PLAYED_S = 60.0


class Moved(NamedTuple):
    """Seconds that moved streams stood still, and the residents' token gaps."""

    pause_mean_s: float
    pause_worst_s: float
    resident_gap_s: float


def moves() -> None:
    """Measure recomputing a stream's context beside moving its KV cache."""
    table = Table(title="Pause of a moved stream, mean / worst, s; residents' gap, ms")
    table.add_column("context, tokens")
    table.add_column("recompute")
    for speed in GIGABITS:
        table.add_column(f"move, {speed:g} Gb/s")
    for context in CONTEXTS:
        cells = [show(play_moves(context, None))]
        cells += [show(play_moves(context, speed)) for speed in GIGABITS]
        table.add_row(str(context), *cells)
    Console(width=110).print(table)


def show(moved: Moved) -> str:
    return (
        f"{moved.pause_mean_s:.2f} / {moved.pause_worst_s:.2f}; "
        f"{1000 * moved.resident_gap_s:.0f}"
    )


def play_moves(context: int, gigabits: float | None) -> Moved:
    """Play one survivor; a speed of None recomputes."""
    engine = EngineModel()
    for number in range(RESIDENT):
        engine.submit(Sequence(f"resident-{number}", 1, 100_000))
    while any(s.unread for s in engine.running.values()) or engine.waiting:
        engine.step()
    arrivals = deque(plan_arrivals(context, gigabits))
    pauses: dict[str, float] = {}
    gaps: list[float] = []
    now = 0.0
    while len(pauses) < MOVED and now < PLAYED_S:
        while arrivals and arrivals[0][0] <= now:
            engine.submit(arrivals.popleft()[1])
        step = engine.step()
        now += step.duration_s
        gaps.append(step.duration_s)
        for event in step.events:
            if event.sequence_id.startswith("moved"):
                pauses.setdefault(event.sequence_id, now)
    seen = list(pauses.values()) + [PLAYED_S] * (MOVED - len(pauses))
    return Moved(statistics.fmean(seen), max(seen), statistics.fmean(gaps))


def plan_arrivals(context: int, gigabits: float | None) -> list[tuple[float, Sequence]]:
    """Return when each stream can go on, counted from the notice.

    The link carries the streams of both survivors in turn, one cache after another.
    """
    arrivals = []
    for number in range(MOVED):
        sequence = Sequence(f"moved-{number}", context, 100_000, generated=1)
        at = 0.0
        if gigabits is not None:
            one_s = context * KV_BYTES_PER_TOKEN * 8 / (gigabits * 1e9)
            at = 2 * (number + 1) * one_s
            sequence.imported = context
        arrivals.append((at, sequence))
    return arrivals

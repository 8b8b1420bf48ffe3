"""`godwit-load moves`: pause of a stream whose server is evicted, by how it resumes.

Either another engine prefills its context again, or its KV cache is moved there. Half
of the evicted server's streams resume on each of two servers that are half full.
"""

import statistics
from collections import deque
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from godwitmast.standins.engine_model import EngineModel, Sequence

KV_BYTES_PER_TOKEN = 131_072
"""For a 7-billion-parameter model with grouped-query attention: 32 layers, 8 heads of
128 values, keys and values of 2 bytes."""

LINK_GBIT_S = (10.0, 25.0, 100.0)
"""Link speeds of the leaving server, shared by all its streams."""

CONTEXT_TOKENS = (256, 1024, 4096, 16_384)
RESIDENT_STREAMS = 16
MOVED_STREAMS = 8
"""Streams that run on each remaining server, and that are moved to it."""

TIME_LIMIT_S = 60.0


class MovePauses(NamedTuple):
    """Pauses of the moved streams and the mean token gap of the resident ones."""

    pause_mean_s: float
    pause_worst_s: float
    resident_gap_s: float


def moves() -> None:
    """Compare recomputing a stream's context with moving its KV cache."""
    table = Table(title="Pause of a moved stream, mean / worst, s; residents' gap, ms")
    table.add_column("context, tokens")
    table.add_column("recompute")
    for speed in LINK_GBIT_S:
        table.add_column(f"move, {speed:g} Gb/s")
    for context in CONTEXT_TOKENS:
        cells = [show(simulate_moves(context, None))]
        cells += [show(simulate_moves(context, speed)) for speed in LINK_GBIT_S]
        table.add_row(str(context), *cells)
    Console(width=110).print(table)


def show(pauses: MovePauses) -> str:
    return (
        f"{pauses.pause_mean_s:.2f} / {pauses.pause_worst_s:.2f}; "
        f"{1000 * pauses.resident_gap_s:.0f}"
    )


def simulate_moves(context: int, link_gbit_s: float | None) -> MovePauses:
    """Simulate one remaining server; without a link speed contexts are recomputed."""
    engine = EngineModel()
    for number in range(RESIDENT_STREAMS):
        engine.submit(Sequence(f"resident-{number}", 1, 100_000))
    while any(s.prefill_left for s in engine.running.values()) or engine.waiting:
        engine.step()
    arrivals = deque(schedule_arrivals(context, link_gbit_s))
    pauses: dict[str, float] = {}
    gaps: list[float] = []
    now = 0.0
    while len(pauses) < MOVED_STREAMS and now < TIME_LIMIT_S:
        while arrivals and arrivals[0][0] <= now:
            engine.submit(arrivals.popleft()[1])
        step = engine.step()
        now += step.duration_s
        gaps.append(step.duration_s)
        for event in step.events:
            if event.sequence_id.startswith("moved"):
                pauses.setdefault(event.sequence_id, now)
    all_pauses = list(pauses.values()) + [TIME_LIMIT_S] * (MOVED_STREAMS - len(pauses))
    return MovePauses(
        statistics.fmean(all_pauses), max(all_pauses), statistics.fmean(gaps)
    )


def schedule_arrivals(
    context: int, link_gbit_s: float | None
) -> list[tuple[float, Sequence]]:
    """Return when each stream can resume, in seconds after the notice.

    The link transfers one cache after another, alternately to the two servers.
    """
    arrivals = []
    for number in range(MOVED_STREAMS):
        sequence = Sequence(f"moved-{number}", context, 100_000, generated=1)
        at = 0.0
        if link_gbit_s is not None:
            transfer_s = context * KV_BYTES_PER_TOKEN * 8 / (link_gbit_s * 1e9)
            at = 2 * (number + 1) * transfer_s
            sequence.imported_tokens = context
        arrivals.append((at, sequence))
    return arrivals

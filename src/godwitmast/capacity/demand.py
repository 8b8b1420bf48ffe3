"""Demand of callers, counted by each entry and summed by the lease holder."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from godwitmast.capacity.messages import ClassDemand
from godwitmast.config.document import CapacityPolicy, Document
from godwitmast.types import ClassName, Json, PoolName

DEMAND_KEY_PREFIX = "demand/"
"""Prefix of the demand rows, one per entry. They are separate from the usage journal,
whose rows hold a sum for each team: reading those of every entry in each round would
transfer megabytes."""

OPEN_REQUESTS_KEY = "open"
"""Key of an entry's load under which it reports how many requests run or wait there, by
pool."""

NODE_EXPIRY_S = 60.0
"""An entry whose row has not changed for this long was replaced, and is dropped."""


class DemandKey(NamedTuple):
    """Pool and class that demand is counted by."""

    pool: str
    class_name: str


class DemandSum(NamedTuple):
    """Counts since the entry started, except `waiting`, which is the current number."""

    requests: int = 0
    prompt_tokens: int = 0
    answers: int = 0
    answer_tokens: int = 0
    waiting: int = 0


class DemandMeter:
    """Demand counters of one entry.

    A request counts when it arrives, whether it is admitted or not: a fleet sized by
    the requests that were served would never grow beyond what it can already serve.
    """

    def __init__(self) -> None:
        self.sums: dict[DemandKey, DemandSum] = {}

    def record_request(self, key: DemandKey, prompt_tokens: int) -> None:
        old = self.sums.get(key, DemandSum())
        self.sums[key] = old._replace(
            requests=old.requests + 1, prompt_tokens=old.prompt_tokens + prompt_tokens
        )

    def record_answer(self, key: DemandKey, tokens: int) -> None:
        old = self.sums.get(key, DemandSum())
        self.sums[key] = old._replace(
            answers=old.answers + 1, answer_tokens=old.answer_tokens + tokens
        )

    def dump(self, incarnation: str, waiting: dict[DemandKey, int]) -> Json:
        """Return the row to write to the table."""
        sums = [
            [*key, *counts._replace(waiting=waiting.get(key, 0))]
            for key, counts in sorted(self.sums.items())
        ]
        return {"incarnation": incarnation, "sums": sums}


@dataclass
class NodeDemand:
    """The last row of one entry, and when it was read."""

    version: int
    incarnation: str
    cells: dict[tuple[str, str], list[int]]
    updated_at: float
    ended: frozenset[str] = frozenset()
    """Earlier starts of the entry, whose last write may still arrive."""


@dataclass
class DemandAggregator:
    """Sums the demand rows of all entries and converts them to server time."""

    nodes: dict[str, NodeDemand] = field(default_factory=dict)
    updated_at: float | None = None
    interval_s: float = 0.0
    increments: dict[DemandKey, DemandSum] = field(default_factory=dict)
    totals: dict[DemandKey, DemandSum] = field(default_factory=dict)
    last_change_at: float = -math.inf

    def apply_rows(self, rows: dict[str, tuple[int, Json]], now: float) -> None:
        """Read the demand rows of all entries, each as its version and value."""
        increments: dict[DemandKey, DemandSum] = {}
        for key, (version, value) in rows.items():
            self.apply_row(key, version, value, now, increments)
        for key in [
            k for k, n in self.nodes.items() if now - n.updated_at > NODE_EXPIRY_S
        ]:
            del self.nodes[key]
        self.interval_s = now - self.updated_at if self.updated_at is not None else 0.0
        self.updated_at = now
        self.increments = increments
        for demand_key, sums in increments.items():
            old = self.totals.get(demand_key, DemandSum())
            self.totals[demand_key] = add_sums(old, sums)

    def apply_row(
        self,
        key: str,
        version: int,
        value: Any,
        now: float,
        increments: dict[DemandKey, DemandSum],
    ) -> None:
        old = self.nodes.get(key)
        if old is not None and old.version == version:
            return
        start = value["incarnation"]
        if old is not None and start in old.ended:
            old.version = version
            return
        # Most counts of an entry have not changed since the last round, five seconds
        # ago. Comparing lists first keeps a round of 350 entries from blocking the
        # event loop of the lease holder.
        cells = {(row[0], row[1]): row[2:] for row in value["sums"]}
        ended: frozenset[str] = frozenset()
        if old is not None:
            ended = (old.ended | {old.incarnation}) - {start}
        self.nodes[key] = NodeDemand(version, start, cells, now, ended)
        if old is None:
            # The first row covers an unknown time, so that no rate follows from it.
            return
        self.last_change_at = now
        old_cells = old.cells if old.incarnation == start else {}
        for cell_key, counts in cells.items():
            old_counts = old_cells.get(cell_key)
            if counts != old_counts:
                increment = [
                    n - w
                    for n, w in zip(counts, old_counts or ZERO_COUNTS, strict=True)
                ]
                demand_key = DemandKey(*cell_key)
                increments[demand_key] = add_sums(
                    increments.get(demand_key, DemandSum()), increment
                )

    def demand(
        self, pool: PoolName, document: Document, policy: CapacityPolicy
    ) -> list[ClassDemand]:
        """Return the pool's demand by class, between the last two rounds."""
        demands = []
        for key, increment in sorted(self.increments.items()):
            target = document.classes.get(key.class_name)
            if key.pool != pool or target is None or self.interval_s <= 0:
                continue
            answer_s = self.mean_answer_tokens(key) / policy.output_tokens_per_s
            work = (
                increment.prompt_tokens / policy.prompt_tokens_per_s
                + increment.requests * answer_s
            )
            backlog = self.waiting_requests(key) * answer_s
            name = ClassName(key.class_name)
            demands.append(
                ClassDemand(name, target.tier, work / self.interval_s, backlog)
            )
        return demands

    def mean_answer_tokens(self, key: DemandKey) -> float:
        """Return the mean answer length of a class so far, in tokens."""
        counts = self.totals.get(key, DemandSum())
        return counts.answer_tokens / counts.answers if counts.answers else 0.0

    def waiting_requests(self, key: DemandKey) -> int:
        return sum(
            node.cells[key][WAITING_INDEX]
            for node in self.nodes.values()
            if key in node.cells
        )

    def age_s(self, now: float) -> float:
        """Return how many seconds ago the row of any entry last changed."""
        return now - self.last_change_at


ZERO_COUNTS = list(DemandSum())
WAITING_INDEX = DemandSum._fields.index("waiting")


def add_sums(a: DemandSum, b: Iterable[int]) -> DemandSum:
    return DemandSum(*(x + y for x, y in zip(a, b, strict=True)))

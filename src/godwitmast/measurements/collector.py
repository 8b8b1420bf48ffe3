"""The reports of one VM: what its parts measured, bounded in size and rate.

Load pattern: 350 VMs that each measure up to 850 servers. A report covers the servers
that fail, and of the others those that were not reported for longest, so that bytes a
second do not grow with their number.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from godwitmast.measurements.messages import (
    MAX_POOLS,
    Outcomes,
    PoolRoom,
    ServerReport,
    SpeedSample,
    VmReport,
    server_digest,
)
from godwitmast.types import BackendId

REPORT_S = 1.0
URGENT_S = 0.1
"""Time between reports, and before one with new failures: a tenth of a second is two
requests of a pool to a failing server."""

MAX_REPORTED = 24
"""Servers in one report: about 1.5 KB."""

ServerStart = tuple[BackendId, int]
"""A server and its incarnation."""


class Collector:
    """Makes the reports of one VM from what its parts offer.

    Each source is called for each report; those of servers return a mapping from
    `ServerStart`, or a tuple like it. `is_urgent` tells once that failures are new.
    """

    def __init__(self, vm: str, start: int) -> None:
        self.vm = vm
        self.start = start
        self.number = 0
        self.outcomes: Callable[[float], Mapping[Any, Outcomes]] = lambda now: {}
        self.speeds: Callable[[float], Mapping[Any, SpeedSample]] = lambda now: {}
        self.rooms: Callable[[float], Sequence[PoolRoom]] = lambda now: ()
        self.memory_left: Callable[[], float] = lambda: 1.0
        self.is_urgent: Callable[[], bool] = lambda: False
        self.reported_at: dict[ServerStart, float] = {}
        self.last_at: float | None = None
        self.urgent = False
        self.last_report: VmReport | None = None

    def due_report(self, now: float) -> VmReport | None:
        """Return the next report if one is due."""
        self.urgent |= self.is_urgent()
        if now < self.due_at():
            return None
        self.last_at, self.urgent = now, False
        self.number += 1
        self.last_report = VmReport(
            self.vm,
            self.start,
            self.number,
            self.server_reports(now),
            tuple(self.rooms(now))[:MAX_POOLS],
            min(1.0, max(0.0, self.memory_left())),
        )
        return self.last_report

    def due_at(self) -> float:
        """Return when the next report is due, by the failures that are known."""
        wait_s = URGENT_S if self.urgent else REPORT_S
        return self.last_at + wait_s if self.last_at is not None else -math.inf

    def server_reports(self, now: float) -> tuple[ServerReport, ...]:
        """Return the reports of the servers that fail or were not reported for longest."""
        outcomes, speeds = self.outcomes(now), self.speeds(now)

        def order(server: ServerStart) -> tuple[bool, float]:
            item = outcomes.get(server)
            fails = item is not None and item.failure_age_s < item.success_age_s
            return not fails, self.reported_at.get(server, float("-inf"))

        known = outcomes.keys() | speeds.keys()
        chosen = sorted(known, key=order)[:MAX_REPORTED]
        self.reported_at = {k: v for k, v in self.reported_at.items() if k in known}
        self.reported_at.update(dict.fromkeys(chosen, now))
        return tuple(
            ServerReport(
                server_digest(*server), 0.0, speeds.get(server), outcomes.get(server)
            )
            for server in chosen
        )

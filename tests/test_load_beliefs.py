"""What many routers, each with a part of the traffic, believe of the servers' load."""

import heapq
import random
from collections import Counter

import pytest

from godwitmast.dispatch.backends import BackendTable
from godwitmast.dispatch.messages import BackendSpec, LoadReport, RequestSpec
from godwitmast.types import (
    BackendId,
    ClassName,
    PoolName,
    RequestId,
    TeamName,
    ZoneName,
)

POOL = PoolName("godwit-lm")
PLACES = 16
SERVERS = [
    BackendSpec(BackendId(f"engine-{n}"), ZoneName("a"), frozenset([POOL]), places=16)
    for n in range(30)
]
REQUEST = RequestSpec(
    RequestId("r"), TeamName("arima"), ClassName("question"), POOL, 0.0
)

RATE_PER_S = 280.0
"""As much as the servers have places for, and more."""
HOLD_S = 2.0
REPORT_S = 0.4
"""After how long a server's first answer tells its load."""


class Fleet:
    """Routers that hear of a server only with the answers to their own requests."""

    def __init__(self, routers: int) -> None:
        self.random = random.Random(1)
        self.loads: Counter[BackendId] = Counter()
        self.tables = [BackendTable(ZoneName("a"), seed) for seed in range(routers)]
        for made in self.tables:
            made.update(SERVERS, 0.0)
        self.due: list[tuple[float, int, bool, BackendTable, BackendId]] = []
        self.started = 0

    def send(self, now: float) -> None:
        """Let a router start a request, if it finds room for it."""
        made = self.random.choice(self.tables)
        chosen = made.choose(REQUEST, set(), now)
        if chosen is None:
            return
        made.started(chosen, now)
        self.loads[chosen] += 1
        hold_s = REPORT_S + self.random.expovariate(1 / HOLD_S)
        for at, ends in ((now + REPORT_S, False), (now + hold_s, True)):
            self.started += 1
            heapq.heappush(self.due, (at, self.started, ends, made, chosen))

    def advance(self, now: float) -> None:
        """Let reports come and requests end until `now`."""
        while self.due and self.due[0][0] <= now:
            at, _, ends, made, server = heapq.heappop(self.due)
            load = self.loads[server]
            if ends:
                self.loads[server] -= 1
                made.ended(server, at)
            else:
                report = LoadReport(min(PLACES, load), max(0, load - PLACES))
                made.load_reported(server, report, at)

    def mean_error(self, now: float) -> float:
        """Return how far beliefs are off, as a part of the mean load."""
        errors = [
            abs(state.load(now) - self.loads[name])
            for made in self.tables
            for name, state in made.states.items()
        ]
        mean_load = sum(self.loads.values()) / len(SERVERS)
        return sum(errors) / len(errors) / mean_load


@pytest.mark.parametrize("routers", [6, 60, 195])
def test_beliefs_of_load_hold_however_many_routers_share_the_traffic(
    routers: int,
) -> None:
    """Guards against full servers that look idle to those who rarely send there."""
    fleet = Fleet(routers)
    now = 0.0
    while now < 14.0:
        now += fleet.random.expovariate(RATE_PER_S)
        fleet.advance(now)
        fleet.send(now)
    assert sum(fleet.loads.values()) >= 0.9 * PLACES * len(SERVERS)
    assert fleet.mean_error(now) <= 0.33

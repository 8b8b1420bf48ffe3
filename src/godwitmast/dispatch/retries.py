"""Bounds how much work is run again, and when.

Load pattern: a failure of many servers, or a retry storm. If each failed request is
run again at once, the servers that are left get the failed ones' load on top of their
own, fail too, and the system stays down after its cause is gone (Bronson et al.,
"Metastable Failures in Distributed Systems", 2021).

Every repeat draws on its pool's budget, which successes there fill: a share of
`SUCCESS_SHARE` is what Finagle and Envoy use by default, within a factor of two.
`RESERVE` lets the streams of a crashed server or two resume at once on a quiet system.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from godwitmast.dispatch.census import RouterCount
from godwitmast.types import PoolName, RequestId

SUCCESS_SHARE = 0.1
RESERVE = 100.0
"""The most that the budget holds: the streams of three engines of 32, so that the crash
of a few servers does not cut what could be resumed."""

UNKNOWN_ROUTERS = 64
UNKNOWN_RESERVE = 4.0
"""What a router has until the others are counted, which takes a second after its start:
its part among many, and what a failing server or two cost."""

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0

SUSPECT_BACKOFF_S = (0.1, 0.2)
"""A suspect waits long enough for the other entries to have heard of it, and then for
them to hear of the server that it is to start on: see `poison`."""


class RetryBudget:
    """What may still be run again.

    `reserve` is the most that it holds, and `share` what each success adds. Where
    several routers draw on one allowance, each gets its part of the reserve.
    """

    def __init__(self, reserve: float = RESERVE, share: float = SUCCESS_SHARE) -> None:
        self.reserve = reserve
        self.share = share
        self.left = reserve

    def succeeded(self) -> None:
        self.left = min(self.reserve, self.left + self.share)

    def take(self) -> bool:
        """Spend one repeat; return whether there was one to spend."""
        if self.left < 1:
            return False
        self.left -= 1
        return True


class RetryBudgets:
    """A budget for each pool, so that one that fails takes no repeats from another."""

    def __init__(self, make: Callable[[], RetryBudget] = RetryBudget) -> None:
        self.make = make
        self.budgets: dict[PoolName, RetryBudget] = {}

    def of(self, pool: PoolName) -> RetryBudget:
        if pool not in self.budgets:
            self.budgets[pool] = self.make()
        return self.budgets[pool]


class DividedBudgets(RetryBudgets):
    """A part of the allowances, one for each pool, that all routers draw on.

    Load pattern: a fault that every router sees at once, such as the loss of a zone's
    servers. Each spends its whole part in the same second, so the parts have to add up
    to the allowance however many routers there are. Routers that were not counted yet,
    or are cut off and no longer counted, spend theirs as well: see `RouterCount`.
    """

    def __init__(self, allowance: float, share: float) -> None:
        super().__init__(lambda: RetryBudget(self.reserve, share))
        self.allowance = allowance
        self.reserve = min(allowance, max(UNKNOWN_RESERVE, allowance / UNKNOWN_ROUTERS))
        self.count = RouterCount()

    def divide(self, routers: int, now: float) -> None:
        """Take how many routers there are; 0 if that is not known."""
        first = self.count.routers == 0
        if not self.count.note(routers, now):
            return
        self.reserve = self.allowance / self.count.most
        for budget in self.budgets.values():
            budget.reserve = self.reserve
            budget.left = self.reserve if first else min(budget.left, self.reserve)


def backoff_s(failures: int, suspect: bool, draw: random.Random) -> float:
    """Return how long a failed request waits, with full jitter.

    The first failure hardly waits: its server is out of the choice by then, and a
    stream's caller sees each millisecond.
    """
    if suspect:
        return draw.uniform(*SUSPECT_BACKOFF_S) * failures
    longest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 4.0 ** (failures - 1))
    return draw.uniform(0.0, longest)


class Due(NamedTuple):
    """A request whose wait ends at a time."""

    at: float
    number: int
    request_id: RequestId


class RetryQueue:
    """Requests that wait before they may run again."""

    def __init__(self) -> None:
        self.heap: list[Due] = []
        self.held: dict[RequestId, int] = {}
        self.numbers = itertools.count()

    def add(self, request_id: RequestId, at: float) -> None:
        number = next(self.numbers)
        self.held[request_id] = number
        heapq.heappush(self.heap, Due(at, number, request_id))

    def discard(self, request_id: RequestId) -> None:
        """Forget a request; its place in the heap goes when its time comes."""
        self.held.pop(request_id, None)

    def take_due(self, now: float) -> list[RequestId]:
        """Return the requests whose wait is over."""
        due = []
        while self.heap and self.heap[0].at <= now:
            item = heapq.heappop(self.heap)
            if self.held.get(item.request_id) == item.number:
                del self.held[item.request_id]
                due.append(item.request_id)
        return due

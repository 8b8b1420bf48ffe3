"""Retry budgets, backoff and the queue of requests that wait for a retry.

Load pattern: a failure of many servers, or a retry storm. If each failed request is
retried at once, the remaining servers get the failed ones' load on top of their own and
fail too, and the system stays down after the cause is gone (Bronson et al., "Metastable
Failures in Distributed Systems", 2021).

Every retry spends from its pool's budget, which completed requests of the pool refill:
a share of `RETRIES_PER_SUCCESS` is the default of Finagle and Envoy, within a factor of
two. `BUDGET_CAPACITY` lets the streams of a crashed server or two resume at once in a
lightly loaded system.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from godwitmast.dispatch.router_count import RouterCount
from godwitmast.types import PoolName, RequestId

RETRIES_PER_SUCCESS = 0.1
BUDGET_CAPACITY = 100.0
"""Most retries that a budget holds: the streams of three engines with 32 places each,
so that the crash of a few servers does not cut streams that could be resumed."""

ASSUMED_ROUTERS = 64
MIN_INITIAL_CAPACITY = 4.0
"""Capacity until the other routers are counted, which takes a second after the start:
the share of one among many routers, and enough for the failure of a server or two."""

BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0

SUSPECT_BACKOFF_S = (0.1, 0.2)
"""A suspect waits long enough for the other entries to learn of the crash, and then for
them to learn on which server it will start: see `poison`."""


class RetryBudget:
    """Retries that may still be made.

    `capacity` is the most that it holds, and `per_success` is what each completed
    request adds. Where several routers share one allowance, each gets its share of the
    capacity.
    """

    def __init__(
        self,
        capacity: float = BUDGET_CAPACITY,
        per_success: float = RETRIES_PER_SUCCESS,
    ) -> None:
        self.capacity = capacity
        self.per_success = per_success
        self.remaining = capacity

    def record_success(self) -> None:
        self.remaining = min(self.capacity, self.remaining + self.per_success)

    def try_spend(self) -> bool:
        """Spend one retry; return whether one was available."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True


class RetryBudgets:
    """A retry budget for each pool, so that the failures of one pool use up no retries
    of another."""

    def __init__(self, make_budget: Callable[[], RetryBudget] = RetryBudget) -> None:
        self.make_budget = make_budget
        self.budgets: dict[PoolName, RetryBudget] = {}

    def for_pool(self, pool: PoolName) -> RetryBudget:
        if pool not in self.budgets:
            self.budgets[pool] = self.make_budget()
        return self.budgets[pool]


class SharedRetryBudgets(RetryBudgets):
    """This router's share of retry budgets, one for each pool, that all routers share.

    Load pattern: a fault that every router sees at once, such as the loss of a zone's
    servers. Each spends its whole share in the same second, so that the shares have to
    add up to no more than the allowance however many routers there are. Routers that
    are not counted yet, or that are partitioned and no longer counted, spend theirs as
    well: see `RouterCount`.
    """

    def __init__(self, total_capacity: float, per_success: float) -> None:
        super().__init__(lambda: RetryBudget(self.capacity, per_success))
        self.total_capacity = total_capacity
        self.capacity = min(
            total_capacity, max(MIN_INITIAL_CAPACITY, total_capacity / ASSUMED_ROUTERS)
        )
        self.router_count = RouterCount()

    def set_router_count(self, routers: int, now: float) -> None:
        """Set the share from the number of routers; 0 if that is not known."""
        is_first_count = self.router_count.routers == 0
        if not self.router_count.update(routers, now):
            return
        self.capacity = self.total_capacity / self.router_count.upper_bound
        for budget in self.budgets.values():
            budget.capacity = self.capacity
            budget.remaining = (
                self.capacity
                if is_first_count
                else min(budget.remaining, self.capacity)
            )


def backoff_s(failures: int, suspect: bool, rng: random.Random) -> float:
    """Return how many seconds a failed request waits.

    A suspect waits `SUSPECT_BACKOFF_S` times its failures; full jitter is for requests
    that are no suspects. Their wait after the first failure is at most
    `BASE_BACKOFF_S`: its server is out of rotation by then, and a stream's caller
    notices each millisecond.
    """
    if suspect:
        return rng.uniform(*SUSPECT_BACKOFF_S) * failures
    longest = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 4.0 ** (failures - 1))
    return rng.uniform(0.0, longest)


class ScheduledRetry(NamedTuple):
    """A request whose backoff ends at a time."""

    at: float
    number: int
    request_id: RequestId


class RetryQueue:
    """Requests in backoff, by the time at which it ends."""

    def __init__(self) -> None:
        self.heap: list[ScheduledRetry] = []
        self.pending: dict[RequestId, int] = {}
        self.sequence = itertools.count()

    def add(self, request_id: RequestId, at: float) -> None:
        number = next(self.sequence)
        self.pending[request_id] = number
        heapq.heappush(self.heap, ScheduledRetry(at, number, request_id))

    def discard(self, request_id: RequestId) -> None:
        """Remove a request; its heap entry stays until its time comes."""
        self.pending.pop(request_id, None)

    def pop_due(self, now: float) -> list[RequestId]:
        """Remove and return the requests whose backoff is over."""
        due = []
        while self.heap and self.heap[0].at <= now:
            item = heapq.heappop(self.heap)
            if self.pending.get(item.request_id) == item.number:
                del self.pending[item.request_id]
                due.append(item.request_id)
        return due

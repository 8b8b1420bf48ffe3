"""Planning rounds under the lease that send each zone's desired number of servers."""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio
from prometheus_client import CollectorRegistry, Counter

from godwitmast.bounds import RequestCount
from godwitmast.capacity.demand import OPEN_REQUESTS_KEY
from godwitmast.capacity.messages import OrderOutcome
from godwitmast.capacity.zonal import (
    DesiredServers,
    ListedServer,
    ZonalLimits,
    ZonalPlanner,
)
from godwitmast.clock import Clock
from godwitmast.config.document import Backend
from godwitmast.decoding import convert
from godwitmast.errors import PlatformError, PlatformOutcomeUnknown, Undecodable
from godwitmast.lease.calls import DutyCall
from godwitmast.lease.machine import Guard
from godwitmast.logs import RowLog, log_event
from godwitmast.platform_api.port import WriteHook
from godwitmast.types import PoolName, ZoneName

ROUND_S = 0.5
"""Interval between two rounds: an eighth of the shortest start time of a server."""


class ServerOrderer(Protocol):
    """Interface for ordering a number of servers of a kind in a zone."""

    async def order_servers(
        self,
        pool: PoolName,
        wanted: DesiredServers,
        fence: int,
        before_write: WriteHook,
    ) -> OrderOutcome:
        """Order a number of servers; raise PlatformError on failure or uncertainty."""


OPEN_REQUESTS_LOG = RowLog("open_requests_bad")


def sum_open_requests(
    loads: Iterable[Mapping[str, Any]], pool: PoolName
) -> float | None:
    """Return a pool's open requests over all entries; None if no entry reported any."""
    reports = [
        report for load in loads if (report := read_open_requests(load)) is not None
    ]
    return sum(report.get(pool, 0) for report in reports) if reports else None


def read_open_requests(load: Mapping[str, Any]) -> dict[str, int] | None:
    """Return an entry's open requests by pool, None if it reported none that are valid."""
    if OPEN_REQUESTS_KEY not in load:
        return None
    try:
        return convert(load[OPEN_REQUESTS_KEY], dict[str, RequestCount])
    except Undecodable as error:
        # The report itself, of any size, isn't kept.
        OPEN_REQUESTS_LOG.record(OPEN_REQUESTS_KEY, str(error), error)
        return None


@dataclass
class ZonalDuty:
    """Keeps the servers of each pool at the planned numbers while the lease is held."""

    platform: ServerOrderer
    clock: Clock
    limits: Callable[[], Mapping[PoolName, ZonalLimits]]
    listed: Callable[[], Mapping[str, Backend]]
    open_requests: Callable[[PoolName], float | None]
    registry: CollectorRegistry | None = None
    order_timeout_s: float = 1.5
    evacuated_zones: Callable[[], Collection[ZoneName]] = frozenset
    name: str = "orders"
    planners: dict[PoolName, ZonalPlanner] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.orders = Counter(
            "godwit_zonal_orders",
            "Numbers of servers that were ordered, by what came of them.",
            ["kind", "outcome"],
            registry=self.registry,
        )

    async def run(self, guard: Guard) -> None:
        """Run a planning round for each pool at each interval, until cancelled."""
        self.planners = {}
        while True:
            for planner in self.update_planners():
                await self.run_round(planner, guard)
            await anyio.sleep(ROUND_S)

    def update_planners(self) -> list[ZonalPlanner]:
        """Return one planner for each pool whose servers may be ordered."""
        limits = self.limits()
        self.planners = {p: v for p, v in self.planners.items() if p in limits}
        for pool, allowed in limits.items():
            planner = self.planners.setdefault(pool, ZonalPlanner(pool, allowed))
            planner.limits = allowed
        return list(self.planners.values())

    async def run_round(self, planner: ZonalPlanner, guard: Guard) -> None:
        servers = [
            ListedServer(ZoneName(item.zone), item.kind, item.leaving)
            for item in self.listed().values()
            if planner.pool in item.pools
        ]
        demand = self.open_requests(planner.pool)
        now = self.clock.now()
        for wanted in planner.step(servers, demand, now, self.evacuated_zones()):
            outcome = await self.send(planner.pool, wanted, guard)
            if outcome is OrderOutcome.STALE:
                return
            planner.record_outcome(wanted, outcome, self.clock.now())

    async def send(
        self, pool: PoolName, wanted: DesiredServers, guard: Guard
    ) -> OrderOutcome:
        """Send a number if the lease is held, and return the outcome."""
        call = DutyCall.begin(guard, self.clock)
        if call is None:
            return OrderOutcome.STALE
        outcome = OrderOutcome.UNKNOWN
        error: str | None = "cancelled"
        try:
            outcome, error = await self.send_call(pool, wanted, call)
        finally:
            self.orders.labels(wanted.kind, outcome.value).inc()
            log_event(
                "servers_ordered",
                pool=pool,
                zone=wanted.zone,
                kind=wanted.kind,
                number=wanted.number,
                outcome=outcome.value,
                error=error,
                **call.log_fields(),
            )
        return outcome

    async def send_call(
        self, pool: PoolName, wanted: DesiredServers, call: DutyCall
    ) -> tuple[OrderOutcome, str | None]:
        """Send a number, and return the outcome with the error, if any."""
        try:
            with call.settling(), anyio.fail_after(self.order_timeout_s):
                outcome = await self.platform.order_servers(
                    pool, wanted, call.fence, call.before_write
                )
        except (PlatformOutcomeUnknown, TimeoutError) as failure:
            return OrderOutcome.UNKNOWN, repr(failure)
        except PlatformError as failure:
            return OrderOutcome.NOT_SENT, repr(failure)
        return outcome, None

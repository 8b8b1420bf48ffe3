"""Orders backend servers under the orders lease, for as long as it is held."""

from dataclasses import dataclass, field
from functools import partial

import anyio
from prometheus_client import CollectorRegistry, Counter, Gauge

from godwitmast.backends.client import BackendClient
from godwitmast.capacity.demand import DEMAND_PREFIX, DemandBook
from godwitmast.capacity.fleet import (
    EMPTY,
    SERVERS_KEY,
    FleetRow,
    dump_fleet,
    load_fleet,
)
from godwitmast.capacity.messages import (
    Decision,
    Drain,
    Order,
    OrderOutcome,
    Release,
    Undrain,
    View,
)
from godwitmast.capacity.orders import OrderBook
from godwitmast.capacity.planner import Planner
from godwitmast.clock import Clock
from godwitmast.config.document import CapacityIntention, Document
from godwitmast.config.follower import ConfigFollower
from godwitmast.errors import PlatformError, PlatformUnavailable
from godwitmast.lease.intents import (
    Intent,
    Recorded,
    drop_intent,
    read_intents,
    record_intent,
)
from godwitmast.lease.machine import Guard
from godwitmast.logs import log_event
from godwitmast.platform_api.client import PlatformClient
from godwitmast.platform_api.messages import FleetServer, Written
from godwitmast.platform_api.runner import run_steps
from godwitmast.types import PoolName, ZoneName

ROUND_S = 5.0
ORDER_TIMEOUT_S = 2.0
"""Shorter than the lease's guard: an order that is still out when the lease lapses
has ended before any other process can hold it."""

LOAD_TIMEOUT_S = 0.8


class CapacityMetrics:
    """What a control shows of the fleet; spend counts only while it holds the lease."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.held = Gauge(
            "godwit_capacity_held",
            "Whether this process orders backend servers.",
            registry=registry,
        )
        self.orders = Counter(
            "godwit_orders",
            "Orders to the platform, by what came of them.",
            ["action", "outcome"],
            registry=registry,
        )
        self.servers = Gauge(
            "godwit_servers",
            "Ordered servers, as the platform shows them.",
            ["kind", "state"],
            registry=registry,
        )
        self.spend = Counter(
            "godwit_spend",
            "Price of the ordered servers, in the unit of the capacity intentions.",
            ["kind"],
            registry=registry,
        )


@dataclass
class CapacityDuty:
    """The duty of the holder of the lease `orders`."""

    platform: PlatformClient
    follower: ConfigFollower
    client: BackendClient
    clock: Clock
    registry: CollectorRegistry
    round_s: float = ROUND_S
    name: str = "orders"
    planners: dict[str, Planner] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.metrics = CapacityMetrics(self.registry)
        self.book = OrderBook()
        self.demand = DemandBook()
        self.counted_at: float | None = None

    async def run(self, guard: Guard) -> None:
        """Plan and order each round, until cancelled."""
        self.demand = DemandBook()
        self.planners = {}
        self.counted_at = None
        self.metrics.held.set(1)
        try:
            while not await self.resume():
                await anyio.sleep(self.round_s)
            while True:
                await self.round(guard)
                await anyio.sleep(self.round_s)
        finally:
            self.metrics.held.set(0)

    async def resume(self) -> bool:
        """Read what the last holder left; nothing is ordered before that is known."""
        intents = await run_steps(self.platform, read_intents(self.name))
        if intents is None:
            return False
        try:
            rows = await self.platform.read([SERVERS_KEY])
        except PlatformError:
            return False
        row = rows.get(SERVERS_KEY)
        self.book = OrderBook()
        self.book.resume(intents, load_fleet(row.value) if row else EMPTY)
        return True

    async def round(self, guard: Guard) -> None:
        """Settle what is out, publish the fleet, then plan.

        When the platform does not answer, the round ends there: the fleet stays as
        it is, entries go on with the row that they have, and no order leaves.
        """
        try:
            await self.settle_pending(guard)
            fleet = await self.platform.fleet()
            rows = await self.platform.scan(DEMAND_PREFIX)
        except PlatformError as error:
            log_event("capacity_frozen", level="WARNING", error=error)
            return
        self.count(fleet)
        now = self.clock.now()
        self.demand.take({k: (r.version, r.value) for k, r in rows.items()}, now)
        if not await self.publish(guard, self.book.publish(fleet)):
            return
        await self.ask_draining()
        config = self.follower.current
        if config is None:
            return
        for pool, intention in config.document.capacity.items():
            view = self.view(PoolName(pool), config.document, intention, fleet, now)
            planner = self.planner(pool, config.document, intention)
            for decision in planner.step(view):
                if not await self.carry_out(guard, planner, decision):
                    return

    def planner(
        self, pool: str, document: Document, intention: CapacityIntention
    ) -> Planner:
        zones = intention.zones or frozenset(
            item.zone for item in document.backends.values() if pool in item.pools
        )
        names = [ZoneName(zone) for zone in sorted(zones)]
        planner = self.planners.get(pool)
        if planner is None:
            planner = Planner(PoolName(pool), names, intention)
            self.planners[pool] = planner
        planner.update(names, intention)
        return planner

    def view(
        self,
        pool: PoolName,
        document: Document,
        intention: CapacityIntention,
        fleet: list[FleetServer],
        now: float,
    ) -> View:
        wall = self.clock.wall()
        return View(
            now,
            self.demand.demand(pool, document, intention),
            self.book.view(pool, fleet, document.backends, wall),
            self.demand.age_s(now),
            wall,
        )

    async def carry_out(
        self, guard: Guard, planner: Planner, decision: Decision
    ) -> bool:
        """Carry out a decision; False when this process is no longer to decide."""
        match decision:
            case Drain() | Undrain():
                log_event("capacity_drain", decision=decision)
                changed = self.book.drained(decision, self.clock.wall())
                return await self.publish(guard, changed)
            case Order() | Release():
                return await self.give(guard, planner, decision)

    async def give(
        self, guard: Guard, planner: Planner, decision: Order | Release
    ) -> bool:
        """Write an order down under the lease, then send it."""
        fence = guard.fence_if_held(self.clock.now(), self.clock.wall())
        if fence is None:
            return False
        intent = self.book.intend(decision, fence)
        if intent is None:
            return True
        recorded = await run_steps(
            self.platform, record_intent(self.name, guard, intent)
        )
        if recorded is not Recorded.WRITTEN:
            return False
        self.book.recorded(intent)
        outcome = await self.send(guard, intent)
        if outcome is OrderOutcome.UNAVAILABLE and isinstance(decision, Order):
            planner.cheap_refused(decision.zone, self.clock.now())
        return outcome is not OrderOutcome.STALE

    async def settle_pending(self, guard: Guard) -> None:
        """Send again each order whose outcome is not known, under its own id."""
        for intent in list(self.book.pending.values()):
            if await self.send(guard, intent) is OrderOutcome.STALE:
                return

    async def send(self, guard: Guard, intent: Intent) -> OrderOutcome:
        """Send an intent's order and forget the intent once its outcome is known."""
        fence = guard.fence_if_held(self.clock.now(), self.clock.wall())
        if fence is None:
            return OrderOutcome.STALE
        body = {**intent.order, "order_id": intent.intent_id, "fence": fence}
        outcome = await self.ask(body)
        action = intent.order["action"]
        self.metrics.orders.labels(action, outcome.value).inc()
        log_event("capacity_order", outcome=outcome.value, **body)
        if outcome in (OrderOutcome.DONE, OrderOutcome.UNAVAILABLE):
            self.book.settled(intent.intent_id)
            # Were this write lost, the order would be sent again and count once.
            await run_steps(
                self.platform, drop_intent(self.name, guard, intent.intent_id)
            )
        return outcome

    async def ask(self, body: dict[str, object]) -> OrderOutcome:
        try:
            answer = await self.platform.order(body, ORDER_TIMEOUT_S)
        except PlatformUnavailable:
            return OrderOutcome.NOT_SENT
        except PlatformError:
            return OrderOutcome.UNKNOWN
        if answer.status_code == 200:
            return OrderOutcome.DONE
        stale = answer.json().get("error") == "stale_fence"
        return OrderOutcome.STALE if stale else OrderOutcome.UNAVAILABLE

    async def publish(self, guard: Guard, row: FleetRow) -> bool:
        """Write the fleet row under the lease, if it changed."""
        if row == self.book.published:
            return True
        try:
            written = await self.platform.transact(guard.checks, dump_fleet(row))
        except PlatformError as error:
            log_event("fleet_not_published", level="WARNING", error=error)
            self.book.unsure = True
            return False
        if not isinstance(written, Written):
            return False
        self.book.published = row
        self.book.unsure = False
        return True

    async def ask_draining(self) -> None:
        """Ask the servers that drain, and only those, what still runs there."""
        draining = {
            name: server.url
            for name, server in self.book.published.servers.items()
            if server.draining_since is not None
        }
        self.book.running = {}
        async with anyio.create_task_group() as tasks:
            for name, url in draining.items():
                tasks.start_soon(partial(self.ask_running, name, url))

    async def ask_running(self, name: str, url: str) -> None:
        said = await self.client.get_json(f"{url}/load", LOAD_TIMEOUT_S)
        try:
            running = int(said["running"]) + int(said["waiting"])  # type: ignore
        except (KeyError, TypeError, ValueError):
            self.book.running[name] = None
            return
        self.book.running[name] = running

    def count(self, fleet: list[FleetServer]) -> None:
        """Show the fleet, and add what it cost since the last round."""
        now = self.clock.now()
        hours = (now - self.counted_at) / 3600 if self.counted_at is not None else 0.0
        self.counted_at = now
        self.metrics.servers.clear()
        capacity = (
            self.follower.current.document.capacity if self.follower.current else {}
        )
        for server in fleet:
            self.metrics.servers.labels(server.kind, server.state).inc()
            intention = next(
                (capacity[p] for p in server.pools if p in capacity),
                CapacityIntention(),
            )
            cheap = server.kind == "cheap"
            price = intention.cheap_per_hour if cheap else intention.on_demand_per_hour
            self.metrics.spend.labels(server.kind).inc(price * hours)

"""Planning rounds under the orders lease: publish the fleet and order servers."""

from dataclasses import dataclass, field
from functools import partial

import anyio
import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge

from godwitmast.backends.client import BackendClient, LoadDocument
from godwitmast.capacity.demand import DEMAND_KEY_PREFIX, DemandAggregator
from godwitmast.capacity.fleet import (
    EMPTY_FLEET,
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
    PlanInput,
    Release,
    Undrain,
)
from godwitmast.capacity.orders import OrderBook
from godwitmast.capacity.planner import Planner
from godwitmast.clock import Clock
from godwitmast.config.document import CapacityPolicy, Document
from godwitmast.config.follower import ConfigFollower
from godwitmast.decoding import decode_json
from godwitmast.errors import PlatformError, PlatformUnavailable, Undecodable
from godwitmast.lease.calls import DutyCall
from godwitmast.lease.intents import (
    Intent,
    RecordOutcome,
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
"""Less than the guard time of the lease, for which a process that stops waits for its
calls."""

LOAD_TIMEOUT_S = 0.8


class OrderRefusal(msgspec.Struct):
    """The body of a refused order."""

    error: str


class CapacityMetrics:
    """Fleet metrics of a control process; only the lease holder counts spend."""

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
    """Orders servers while this process holds the lease `orders`."""

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
        self.demand = DemandAggregator()
        self.metrics_updated_at: float | None = None

    async def run(self, guard: Guard) -> None:
        """Run a planning round at each interval, until cancelled."""
        self.demand = DemandAggregator()
        self.planners = {}
        self.metrics_updated_at = None
        self.metrics.held.set(1)
        try:
            while not await self.resume():
                await anyio.sleep(self.round_s)
            while True:
                await self.run_round(guard)
                await anyio.sleep(self.round_s)
        finally:
            self.metrics.held.set(0)

    async def resume(self) -> bool:
        """Load the previous holder's state; return False if it cannot be read yet.

        Nothing is ordered before it is known.
        """
        intents = await run_steps(self.platform, read_intents(self.name))
        if intents is None:
            return False
        try:
            rows = await self.platform.read([SERVERS_KEY])
        except PlatformError:
            return False
        row = rows.get(SERVERS_KEY)
        self.book = OrderBook()
        self.book.resume(intents, load_fleet(row.value) if row else EMPTY_FLEET)
        self.book.row_version = row.version if row else 0
        return True

    async def run_round(self, guard: Guard) -> None:
        """Resend pending orders, publish the fleet, then plan.

        If the platform does not answer, the round ends: the fleet stays as it is,
        entries keep the row that they have, and no order is sent.
        """
        if not await self.record_again(guard):
            return
        try:
            await self.resend_pending(guard)
            fleet = await self.platform.fleet()
            rows = await self.platform.scan(DEMAND_KEY_PREFIX)
        except PlatformError as error:
            log_event("capacity_frozen", level="WARNING", error=error)
            return
        self.update_metrics(fleet)
        now = self.clock.now()
        self.demand.apply_rows({k: (r.version, r.value) for k, r in rows.items()}, now)
        if not await self.publish(guard, self.book.make_row(fleet)):
            return
        await self.update_running_requests()
        config = self.follower.current
        if config is None:
            return
        for pool, policy in config.document.capacity.items():
            view = self.make_view(PoolName(pool), config.document, policy, fleet, now)
            planner = self.planner(pool, config.document, policy)
            for decision in planner.step(view):
                if not await self.carry_out(guard, planner, decision):
                    return

    def planner(self, pool: str, document: Document, policy: CapacityPolicy) -> Planner:
        zones = policy.zones or frozenset(
            item.zone for item in document.backends.values() if pool in item.pools
        )
        names = [ZoneName(zone) for zone in sorted(zones)]
        planner = self.planners.get(pool)
        if planner is None:
            planner = Planner(PoolName(pool), names, policy)
            self.planners[pool] = planner
        planner.update(names, policy)
        return planner

    def make_view(
        self,
        pool: PoolName,
        document: Document,
        policy: CapacityPolicy,
        fleet: list[FleetServer],
        now: float,
    ) -> PlanInput:
        wall = self.clock.wall()
        return PlanInput(
            now,
            self.demand.demand(pool, document, policy),
            self.book.list_servers(pool, fleet, document.backends, wall),
            self.demand.age_s(now),
            wall,
        )

    async def carry_out(
        self, guard: Guard, planner: Planner, decision: Decision
    ) -> bool:
        """Carry out a decision; return False if the round must end.

        That is the case if the lease was lost, or if a write or an intent could not be
        recorded.
        """
        match decision:
            case Drain() | Undrain():
                log_event("capacity_drain", decision=decision)
                changed = self.book.set_draining(decision, self.clock.wall())
                return await self.publish(guard, changed)
            case Order() | Release():
                return await self.record_and_send(guard, planner, decision)

    async def record_and_send(
        self, guard: Guard, planner: Planner, decision: Order | Release
    ) -> bool:
        """Record an order as an intent under the lease, then send it."""
        fence = guard.fence_for_call(self.clock.now(), self.clock.wall())
        if fence is None:
            return False
        intent = self.book.make_intent(decision, fence)
        if intent is None:
            return True
        self.book.unrecorded = intent
        if not await self.record_again(guard):
            return False
        outcome = await self.send(guard, intent)
        if outcome is OrderOutcome.UNAVAILABLE and isinstance(decision, Order):
            planner.record_cheap_refusal(decision.zone, self.clock.now())
        return outcome is not OrderOutcome.STALE

    async def record_again(self, guard: Guard) -> bool:
        """Record the intent that is not recorded yet, if any; return False on failure.

        Its record may arrive late, and the next holder would then send its order. So no
        other order takes its place.
        """
        intent = self.book.unrecorded
        if intent is None:
            return True
        recorded = await run_steps(
            self.platform, record_intent(self.name, guard, intent)
        )
        # Ids are unique, so a record that exists is the one of an earlier try.
        if recorded not in (RecordOutcome.WRITTEN, RecordOutcome.EXISTS):
            return False
        self.book.unrecorded = None
        self.book.add_pending(intent)
        return True

    async def resend_pending(self, guard: Guard) -> None:
        """Resend every pending order under its own id."""
        for intent in list(self.book.pending.values()):
            if await self.send(guard, intent) is OrderOutcome.STALE:
                return

    async def send(self, guard: Guard, intent: Intent) -> OrderOutcome:
        """Send the order of an intent; drop the intent once its outcome is known."""
        call = DutyCall.begin(guard, self.clock)
        if call is None:
            return OrderOutcome.STALE
        body = {**intent.order, "order_id": intent.intent_id}
        outcome = OrderOutcome.UNKNOWN
        try:
            outcome = await self.request_order({**body, "fence": call.fence}, call)
        finally:
            action = intent.order["action"]
            self.metrics.orders.labels(action, outcome.value).inc()
            fields = call.log_fields()
            log_event("capacity_order", outcome=outcome.value, **body, **fields)
        if outcome in (OrderOutcome.DONE, OrderOutcome.UNAVAILABLE):
            self.book.remove_pending(intent.intent_id)
            # If this write is lost, the order is sent again, and counts only once.
            await run_steps(
                self.platform, drop_intent(self.name, guard, intent.intent_id)
            )
        return outcome

    async def request_order(
        self, body: dict[str, object], call: DutyCall
    ) -> OrderOutcome:
        try:
            with call.settling(), anyio.fail_after(ORDER_TIMEOUT_S):
                answer = await self.platform.order(
                    body, ORDER_TIMEOUT_S, call.before_write
                )
        except PlatformUnavailable:
            return OrderOutcome.NOT_SENT
        except (PlatformError, TimeoutError):
            return OrderOutcome.UNKNOWN
        if answer.status_code == 200:
            return OrderOutcome.DONE
        try:
            refusal = decode_json(answer.content, OrderRefusal)
        except Undecodable:
            return OrderOutcome.UNKNOWN
        stale = refusal.error == "stale_fence"
        return OrderOutcome.STALE if stale else OrderOutcome.UNAVAILABLE

    async def publish(self, guard: Guard, row: FleetRow) -> bool:
        """Write the fleet row if it changed; return False if that failed.

        The row's version is checked: an earlier write without an answer could otherwise
        take effect after this one.
        """
        if row == self.book.published:
            return True
        checks = {**guard.checks, SERVERS_KEY: self.book.row_version}
        try:
            written = await self.platform.transact(checks, dump_fleet(row))
        except PlatformError as error:
            log_event("fleet_not_published", level="WARNING", error=error)
            self.book.is_write_uncertain = True
            return False
        self.book.row_version = written.versions.get(SERVERS_KEY, self.book.row_version)
        if not isinstance(written, Written):
            self.book.is_write_uncertain = True
            return False
        self.book.published = row
        self.book.is_write_uncertain = False
        return True

    async def update_running_requests(self) -> None:
        """Query the load of the draining servers."""
        draining = {
            name: server.url
            for name, server in self.book.published.servers.items()
            if server.draining_since is not None
        }
        self.book.running_requests = {}
        async with anyio.create_task_group() as tasks:
            for name, url in draining.items():
                tasks.start_soon(partial(self.read_running_requests, name, url))

    async def read_running_requests(self, name: str, url: str) -> None:
        load = await self.client.get_json(f"{url}/load", LoadDocument, LOAD_TIMEOUT_S)
        running = load.running + load.waiting if load is not None else None
        self.book.running_requests[name] = running

    def update_metrics(self, fleet: list[FleetServer]) -> None:
        """Set the fleet gauges, and add the spend since the previous round."""
        now = self.clock.now()
        hours = (
            (now - self.metrics_updated_at) / 3600
            if self.metrics_updated_at is not None
            else 0.0
        )
        self.metrics_updated_at = now
        self.metrics.servers.clear()
        capacity = (
            self.follower.current.document.capacity if self.follower.current else {}
        )
        for server in fleet:
            self.metrics.servers.labels(server.kind, server.state).inc()
            policy = next(
                (capacity[p] for p in server.pools if p in capacity),
                CapacityPolicy(),
            )
            cheap = server.kind == "cheap"
            price = policy.cheap_per_hour if cheap else policy.on_demand_per_hour
            self.metrics.spend.labels(server.kind).inc(price * hours)

"""Orders for backend servers: recorded first, never executed twice, under a lease."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import httpx
import pytest
from prometheus_client import CollectorRegistry

from fakes import ORDERS_LEASE, FakeGuard
from godwitmast.backends.client import BackendClient
from godwitmast.capacity.demand import (
    DemandAggregator,
    DemandKey,
    DemandMeter,
    DemandSum,
)
from godwitmast.capacity.duty import CapacityDuty
from godwitmast.capacity.fleet import SERVERS_KEY, FleetRow, load_fleet, merge_backends
from godwitmast.capacity.messages import Drain, Order, Release, ServerState
from godwitmast.capacity.orders import MIN_DRAIN_S, SILENT_DRAIN_TIMEOUT_S, OrderBook
from godwitmast.clock import ManualClock
from godwitmast.config.document import CapacityPolicy
from godwitmast.config.follower import ConfigFollower
from godwitmast.config.parsing import parse_document
from godwitmast.dev.document import MODEL, dev_document, dev_key
from godwitmast.entry.daemon import Entry
from godwitmast.entry.settings import EntrySettings
from godwitmast.lease.intents import Intent, record_intent
from godwitmast.platform_api.client import PlatformClient
from godwitmast.platform_api.messages import FleetServer
from godwitmast.platform_api.runner import run_steps
from godwitmast.settings import PlatformSettings
from godwitmast.standins.engine import StandinEngine
from godwitmast.standins.platform import StandinPlatform
from godwitmast.standins.settings import (
    EngineSettings,
    PlatformStandinSettings,
    SpareServer,
)
from godwitmast.types import BackendId, PoolName, ZoneName
from running import running

pytestmark = pytest.mark.anyio


@dataclass
class CapacityHarness:
    """A stand-in platform with engines to order, and a duty with a fake lease."""

    platform: StandinPlatform
    engines: list[StandinEngine]
    client: PlatformClient
    guard: FakeGuard
    clock: ManualClock
    duty: CapacityDuty

    def new_duty(self) -> CapacityDuty:
        follower = ConfigFollower(self.client)
        follower.adopt(1, self.document())
        return CapacityDuty(
            self.client, follower, BackendClient(), self.clock, CollectorRegistry()
        )

    def document(self) -> dict:
        raw = dev_document([], "http://127.0.0.1:1")
        raw["capacity"] = {
            MODEL: {"min_servers": 2, "zones": ["a", "b"], "cheap_share": 0.5}
        }
        return raw

    async def rounds(self, count: int) -> None:
        """Run planning rounds, with an entry that reports no demand."""
        for number in range(count):
            self.clock.advance(5.0)
            row = DemandMeter().dump("x", {}) | {"number": number}
            self.platform.table.transact({}, {"demand/e1": row})
            await self.duty.run_round(self.guard)

    @property
    def order_ids(self) -> list[str]:
        return [
            o["order_id"] for o in self.platform.order_log if o["action"] == "order"
        ]


@pytest.fixture
async def harness() -> AsyncIterator[CapacityHarness]:
    engines = [StandinEngine(EngineSettings(name=f"e{n}")) for n in range(4)]
    for engine in engines:
        engine.models = {MODEL}
    platform = StandinPlatform(PlatformStandinSettings(boot_s=0.0))
    async with anyio.create_task_group() as tasks:
        for engine in engines:
            await engine.start(tasks)
        kinds = ("on_demand", "cheap", "on_demand", "cheap")
        spares = [
            SpareServer(f"spare-{n}", engine.server.url, "aabb"[n], kinds[n])  # type: ignore[arg-type]
            for n, engine in enumerate(engines)
        ]
        platform.settings = platform.settings._replace(spares=spares)
        await platform.start(tasks)
        _, versions = platform.table.transact({}, {ORDERS_LEASE: {"holder": "me"}})
        settings = PlatformSettings(platform.server.url, timeout_s=0.5)
        async with PlatformClient(settings, "n1") as client:
            guard = FakeGuard(versions[ORDERS_LEASE])
            made = CapacityHarness(
                platform, engines, client, guard, ManualClock(1e6), None
            )  # type: ignore[arg-type]
            made.duty = made.new_duty()
            with anyio.fail_after(20):
                while not await made.duty.resume():
                    await anyio.sleep(0.01)
            yield made
        await platform.close()
        for engine in engines:
            await engine.close()
        tasks.cancel_scope.cancel()


async def test_a_cold_start_orders_the_minimum_and_publishes_it(
    harness: CapacityHarness,
) -> None:
    await harness.rounds(4)
    assert len(harness.platform.servers) == 2
    row = load_fleet(harness.platform.table.rows[SERVERS_KEY].value)
    assert set(row.servers) == set(harness.platform.servers)
    assert not [k for k in harness.platform.table.rows if k.startswith("intent/")]


async def test_a_lost_answer_orders_no_second_server(harness: CapacityHarness) -> None:
    """Guards against a second server when the answer to an order is lost.

    The platform may not list the ordered server yet, so that a new order would pay for
    two. The order is resent under its own id, which counts once.
    """
    await harness.rounds(1)
    # The first lost answer is that to the intent's write, the second that to the order.
    harness.platform.faults.lose_answers = 2
    await harness.rounds(1)
    assert harness.duty.book.pending
    harness.platform.faults.lose_answers = 0
    await harness.rounds(4)
    assert len(harness.platform.servers) == 2
    assert len(harness.order_ids) > len(set(harness.order_ids)) == 2
    assert not harness.duty.book.pending


async def test_a_successor_sends_the_recorded_intent_and_nothing_more(
    harness: CapacityHarness,
) -> None:
    """The holder stops after recording an order, before its outcome is known.

    The successor cannot tell whether the order was sent. A new order would double it,
    and dropping it would lose track of a server that may be running.
    """
    body = {"action": "order", "zone": "a", "kind": "cheap", "pools": [MODEL]}
    intent = Intent("1-77", 1, body)
    await run_steps(harness.client, record_intent("orders", harness.guard, intent))
    harness.duty = harness.new_duty()
    harness.guard.fence = 2
    assert await harness.duty.resume()
    await harness.rounds(4)
    assert harness.order_ids[0] == "1-77"
    assert len(harness.platform.servers) == 2


async def test_a_deposed_holder_orders_and_publishes_nothing(
    harness: CapacityHarness,
) -> None:
    """A paused holder resumes after its lease has passed to another process.

    Any order it sent then would start a second fleet.
    """
    harness.platform.table.transact({}, {ORDERS_LEASE: {"holder": "other"}})
    await harness.rounds(2)
    harness.guard.fence = None
    await harness.rounds(2)
    assert harness.platform.order_log == []
    assert SERVERS_KEY not in harness.platform.table.rows


async def test_an_outage_freezes_the_fleet(harness: CapacityHarness) -> None:
    await harness.rounds(3)
    before = len(harness.platform.order_log)
    harness.platform.faults.outage = True
    await harness.rounds(3)
    assert len(harness.platform.order_log) == before
    harness.platform.faults.outage = False
    await harness.rounds(3)
    assert len(harness.platform.servers) == 2


async def test_notice_of_eviction_is_published_and_replaced_in_another_zone(
    harness: CapacityHarness, http: httpx.AsyncClient
) -> None:
    await harness.rounds(4)
    cheap = next(
        s for s in harness.platform.servers.values() if s.spare.kind == "cheap"
    ).spare
    url = harness.platform.server.url
    await http.post(
        f"{url}/_standin/evict", json={"zone": cheap.zone, "notice_s": 60.0}
    )
    await harness.rounds(4)
    row = load_fleet(harness.platform.table.rows[SERVERS_KEY].value)
    assert row.servers[cheap.backend_id].leaving
    staying = [s for s in row.servers.values() if not s.leaving]
    assert len(staying) == 2
    new = [s for s in staying if s.kind == "cheap"]
    assert all(s.zone != cheap.zone for s in new)


async def test_an_unavailable_cheap_server_is_ordered_on_demand(
    harness: CapacityHarness,
) -> None:
    harness.platform.faults.cheap_unavailable = ["a", "b"]
    await harness.rounds(6)
    kinds = [s.spare.kind for s in harness.platform.servers.values()]
    assert kinds == ["on_demand", "on_demand"]


async def test_an_ordered_server_serves_callers_and_an_outage_does_not_stop_it(
    harness: CapacityHarness, http: httpx.AsyncClient
) -> None:
    raw = harness.document()
    parse_document(raw)
    head = {"number": 1, "document": raw}
    await harness.rounds(4)
    settings = EntrySettings(
        "e1", "a", PlatformSettings(harness.platform.server.url), balancer_wait_s=0.0
    )
    entry = Entry(settings)
    entry.follower.adopt(1, head["document"])
    entry.app.config_changed(entry.follower.current)
    body = {"model": MODEL, "messages": [{"role": "user", "content": "length=3"}]}
    headers = {"Authorization": f"Bearer {dev_key('arima')}"}
    async with running(entry):
        url = f"{entry.server.url}/v1/chat/completions"
        with anyio.fail_after(20):
            while not entry.driver.fleet.servers:
                await anyio.sleep(0.05)
        assert (await http.post(url, json=body, headers=headers)).status_code == 200
        harness.platform.faults.outage = True
        assert (await http.post(url, json=body, headers=headers)).status_code == 200
        key = DemandKey(MODEL, "question")
        assert entry.app.demand.sums[key].answers == 2


def listed(backend_id: str, state: str = "serving", order: str = "1-1") -> FleetServer:
    return FleetServer(backend_id, "http://x", "a", "cheap", ["m"], order, state)


def test_a_starting_server_counts_as_capacity_but_gets_no_requests() -> None:
    book = OrderBook()
    row = book.make_row([listed("s1", "starting")])
    assert row.servers == {}
    [view] = book.list_servers("m", [listed("s1", "starting")], {}, 0.0)
    assert view.state is ServerState.STARTING


def test_an_order_that_the_platform_does_not_list_yet_counts_once() -> None:
    book = OrderBook()
    order = Order(PoolName("m"), ZoneName("a"), "cheap", "demand")
    intent = book.make_intent(order, fence=3)
    assert intent is not None
    book.add_pending(intent)
    assert [v.state for v in book.list_servers("m", [], {}, 0.0)] == [
        ServerState.ORDERED
    ]
    fleet = [listed("s1", "starting", intent.intent_id)]
    assert len(book.list_servers("m", fleet, {}, 0.0)) == 1


def test_a_drain_waits_for_the_entries_then_for_the_requests() -> None:
    book = OrderBook()
    book.published = book.make_row([listed("s1")])
    book.published = book.set_draining(Drain(BackendId("s1"), "surplus"), wall=100.0)
    assert book.published.servers["s1"].leaving
    after = 100.0 + MIN_DRAIN_S
    book.running_requests = {"s1": 0}
    assert book.open_requests("s1", after - 1) == 1
    assert book.open_requests("s1", after) == 0
    book.running_requests = {"s1": None}
    assert book.open_requests("s1", after) == 1
    assert book.open_requests("s1", 101.0 + SILENT_DRAIN_TIMEOUT_S) == 0
    assert book.make_row([listed("s1")]).servers["s1"].leaving


def test_a_release_names_its_order_and_goes_out_once() -> None:
    """A release whose answer was lost is sent again.

    Meanwhile the platform may have reused the server for a new order, and the release
    must not end that one.
    """
    book = OrderBook()
    book.published = book.make_row([listed("s1", order="1-1")])
    intent = book.make_intent(Release(BackendId("s1")), fence=1)
    assert intent is not None
    assert intent.order["of_order"] == "1-1"
    book.add_pending(intent)
    assert book.make_intent(Release(BackendId("s1")), fence=1) is None


def test_number_of_a_row_of_unknown_outcome_is_not_reused() -> None:
    book = OrderBook()
    lost = book.make_row([listed("s1")])
    book.is_write_uncertain = True
    assert book.make_row([]).number > lost.number


def test_the_operators_own_servers_count_and_are_never_drained() -> None:
    document = parse_document(dev_document(["http://x"], "http://y"))
    [view] = OrderBook().list_servers(MODEL, [], document.backends, 0.0)
    assert view.state is ServerState.SERVING
    assert not view.ordered
    merged = merge_backends(document.backends, FleetRow(1, {}))
    assert merged == document.backends


def test_demand_counts_arrivals_rather_than_answers() -> None:
    document = parse_document(dev_document([], "http://y"))
    intention = CapacityPolicy()
    meter, book = DemandMeter(), DemandAggregator()
    key = DemandKey(MODEL, "question")
    book.apply_rows({"demand/e": (1, meter.dump("i", {}))}, 0.0)
    for number in range(20):
        meter.record_request(key, 600)
        if number < 10:
            meter.record_answer(key, 140)
    book.apply_rows({"demand/e": (2, meter.dump("i", {key: 10}))}, 10.0)
    [demand] = book.demand(PoolName(MODEL), document, intention)
    assert demand.work == pytest.approx(20 * (600 / 12_000 + 140 / 1400) / 10)
    assert demand.backlog == pytest.approx(10 * 140 / 1400)
    book.apply_rows({"demand/e": (2, meter.dump("i", {}))}, 20.0)
    assert book.age_s(50.0) == 40.0


def test_a_restarted_entry_neither_inflates_nor_loses_demand() -> None:
    book = DemandAggregator()
    key = DemandKey(MODEL, "question")
    old, new = DemandMeter(), DemandMeter()
    for _ in range(1000):
        old.record_request(key, 1200)
    book.apply_rows({"demand/e": (1, old.dump("i1", {}))}, 0.0)
    new.record_request(key, 1200)
    book.apply_rows({"demand/e": (2, new.dump("i2", {}))}, 10.0)
    assert book.increments[key].requests == 1


def test_late_row_of_an_entrys_last_start_is_not_counted_again() -> None:
    """Guards against servers that are ordered for demand of the past: the last write of
    an entry that restarted takes effect after the first one of its new start."""
    book = DemandAggregator()
    key = DemandKey(MODEL, "question")
    old, new = DemandMeter(), DemandMeter()
    for _ in range(1000):
        old.record_request(key, 1200)
    new.record_request(key, 1200)
    rows = [(old, "i1"), (new, "i2"), (old, "i1"), (new, "i2")]
    requests = []
    for number, (meter, start) in enumerate(rows):
        book.apply_rows({"demand/e": (number, meter.dump(start, {}))}, number * 5.0)
        requests.append(book.increments.get(key, DemandSum()).requests)
    assert requests == [0, 1, 0, 0]

"""Orders for backend servers: written down first, never given twice, under a lease."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import httpx
import pytest
from prometheus_client import CollectorRegistry

from fakes import ORDERS_LEASE, FakeGuard
from godwitmast.backends.client import BackendClient
from godwitmast.capacity.demand import DemandBook, DemandKey, DemandMeter
from godwitmast.capacity.duty import CapacityDuty
from godwitmast.capacity.fleet import SERVERS_KEY, FleetRow, load_fleet, merge_backends
from godwitmast.capacity.messages import Drain, Order, Release, ServerState
from godwitmast.capacity.orders import MIN_DRAIN_S, SILENT_DRAIN_TIMEOUT_S, OrderBook
from godwitmast.clock import ManualClock
from godwitmast.config.document import CapacityIntention
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
class Site:
    """A platform with engines to order, and a duty that has no lease to wait for."""

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
        """Play rounds with an entry that reports that nobody asks for anything."""
        for number in range(count):
            self.clock.advance(5.0)
            row = DemandMeter().dump("x", {}) | {"number": number}
            self.platform.table.transact({}, {"demand/e1": row})
            await self.duty.run_round(self.guard)

    @property
    def placed(self) -> list[str]:
        return [
            o["order_id"] for o in self.platform.order_log if o["action"] == "order"
        ]


@pytest.fixture
async def site() -> AsyncIterator[Site]:
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
            made = Site(platform, engines, client, guard, ManualClock(1e6), None)  # type: ignore[arg-type]
            made.duty = made.new_duty()
            with anyio.fail_after(20):
                while not await made.duty.resume():
                    await anyio.sleep(0.01)
            yield made
        await platform.close()
        for engine in engines:
            await engine.close()
        tasks.cancel_scope.cancel()


async def test_a_cold_start_orders_the_minimum_and_publishes_it(site: Site) -> None:
    await site.rounds(4)
    assert len(site.platform.servers) == 2
    row = load_fleet(site.platform.table.rows[SERVERS_KEY].value)
    assert set(row.servers) == set(site.platform.servers)
    assert not [k for k in site.platform.table.rows if k.startswith("intent/")]


async def test_a_lost_answer_orders_no_second_server(site: Site) -> None:
    """
    The platform takes an order and its answer is lost. The duty cannot know, and the
    platform may not show the server yet: ordering anew would pay for two. The order
    goes out again under its own id, which counts once.
    """
    await site.rounds(1)
    # The first lost answer is to the intent's write, the second to the order itself.
    site.platform.faults.lose_answers = 2
    await site.rounds(1)
    assert site.duty.book.pending
    site.platform.faults.lose_answers = 0
    await site.rounds(4)
    assert len(site.platform.servers) == 2
    assert len(site.placed) > len(set(site.placed)) == 2
    assert not site.duty.book.pending


async def test_a_successor_sends_what_was_written_down_and_nothing_more(
    site: Site,
) -> None:
    """
    The holder stops between writing an order down and sending it, or hearing of it.
    Its successor cannot tell which. Ordering on its own would double it, and dropping
    it would lose a server that may be running.
    """
    body = {"action": "order", "zone": "a", "kind": "cheap", "pools": [MODEL]}
    intent = Intent("1-77", 1, body)
    await run_steps(site.client, record_intent("orders", site.guard, intent))
    site.duty = site.new_duty()
    site.guard.fence = 2
    assert await site.duty.resume()
    await site.rounds(4)
    assert site.placed[0] == "1-77"
    assert len(site.platform.servers) == 2


async def test_a_deposed_holder_orders_and_publishes_nothing(site: Site) -> None:
    """
    A paused holder wakes up after its lease went to another. Its next order would be
    the second fleet's first server.
    """
    site.platform.table.transact({}, {ORDERS_LEASE: {"holder": "other"}})
    await site.rounds(2)
    site.guard.fence = None
    await site.rounds(2)
    assert site.platform.order_log == []
    assert SERVERS_KEY not in site.platform.table.rows


async def test_an_outage_freezes_the_fleet(site: Site) -> None:
    await site.rounds(3)
    before = len(site.platform.order_log)
    site.platform.faults.outage = True
    await site.rounds(3)
    assert len(site.platform.order_log) == before
    site.platform.faults.outage = False
    await site.rounds(3)
    assert len(site.platform.servers) == 2


async def test_notice_of_eviction_is_published_and_replaced_in_another_zone(
    site: Site, http: httpx.AsyncClient
) -> None:
    await site.rounds(4)
    cheap = next(
        s for s in site.platform.servers.values() if s.spare.kind == "cheap"
    ).spare
    url = site.platform.server.url
    await http.post(
        f"{url}/_standin/evict", json={"zone": cheap.zone, "notice_s": 60.0}
    )
    await site.rounds(4)
    row = load_fleet(site.platform.table.rows[SERVERS_KEY].value)
    assert row.servers[cheap.backend_id].leaving
    staying = [s for s in row.servers.values() if not s.leaving]
    assert len(staying) == 2
    new = [s for s in staying if s.kind == "cheap"]
    assert all(s.zone != cheap.zone for s in new)


async def test_no_cheap_server_to_be_had_orders_one_on_demand(site: Site) -> None:
    site.platform.faults.cheap_unavailable = ["a", "b"]
    await site.rounds(6)
    kinds = [s.spare.kind for s in site.platform.servers.values()]
    assert kinds == ["on_demand", "on_demand"]


async def test_an_ordered_server_serves_callers_and_an_outage_does_not_stop_it(
    site: Site, http: httpx.AsyncClient
) -> None:
    raw = site.document()
    parse_document(raw)
    head = {"number": 1, "document": raw}
    await site.rounds(4)
    settings = EntrySettings(
        "e1", "a", PlatformSettings(site.platform.server.url), balancer_wait_s=0.0
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
        site.platform.faults.outage = True
        assert (await http.post(url, json=body, headers=headers)).status_code == 200
        key = DemandKey(MODEL, "question")
        assert entry.app.demand.sums[key].answers == 2


def shown(backend_id: str, state: str = "serving", order: str = "1-1") -> FleetServer:
    return FleetServer(backend_id, "http://x", "a", "cheap", ["m"], order, state)


def test_a_starting_server_is_capacity_but_gets_no_work() -> None:
    book = OrderBook()
    row = book.make_row([shown("s1", "starting")])
    assert row.servers == {}
    [view] = book.list_servers("m", [shown("s1", "starting")], {}, 0.0)
    assert view.state is ServerState.STARTING


def test_an_order_that_the_platform_does_not_show_yet_counts_once() -> None:
    book = OrderBook()
    order = Order(PoolName("m"), ZoneName("a"), "cheap", "demand")
    intent = book.make_intent(order, fence=3)
    assert intent is not None
    book.add_pending(intent)
    assert [v.state for v in book.list_servers("m", [], {}, 0.0)] == [
        ServerState.ORDERED
    ]
    fleet = [shown("s1", "starting", intent.intent_id)]
    assert len(book.list_servers("m", fleet, {}, 0.0)) == 1


def test_a_drain_waits_for_the_entries_then_for_the_requests() -> None:
    book = OrderBook()
    book.published = book.make_row([shown("s1")])
    book.published = book.set_draining(Drain(BackendId("s1"), "surplus"), wall=100.0)
    assert book.published.servers["s1"].leaving
    after = 100.0 + MIN_DRAIN_S
    book.running_requests = {"s1": 0}
    assert book.open_requests("s1", after - 1) == 1
    assert book.open_requests("s1", after) == 0
    book.running_requests = {"s1": None}
    assert book.open_requests("s1", after) == 1
    assert book.open_requests("s1", 101.0 + SILENT_DRAIN_TIMEOUT_S) == 0
    assert book.make_row([shown("s1")]).servers["s1"].leaving


def test_a_release_names_its_order_and_goes_out_once() -> None:
    """
    A release whose answer was lost is sent again. Meanwhile the platform may have
    handed the same server out under a new order, which the release must not end.
    """
    book = OrderBook()
    book.published = book.make_row([shown("s1", order="1-1")])
    intent = book.make_intent(Release(BackendId("s1")), fence=1)
    assert intent is not None
    assert intent.order["of_order"] == "1-1"
    book.add_pending(intent)
    assert book.make_intent(Release(BackendId("s1")), fence=1) is None


def test_a_row_of_unknown_outcome_never_shares_its_number() -> None:
    book = OrderBook()
    lost = book.make_row([shown("s1")])
    book.is_write_uncertain = True
    assert book.make_row([]).number > lost.number


def test_the_operators_own_servers_count_and_are_never_drained() -> None:
    document = parse_document(dev_document(["http://x"], "http://y"))
    [view] = OrderBook().list_servers(MODEL, [], document.backends, 0.0)
    assert view.state is ServerState.SERVING
    assert not view.ordered
    merged = merge_backends(document.backends, FleetRow(1, {}))
    assert merged == document.backends


def test_demand_is_what_came_not_what_was_served() -> None:
    document = parse_document(dev_document([], "http://y"))
    intention = CapacityIntention()
    meter, book = DemandMeter(), DemandBook()
    key = DemandKey(MODEL, "question")
    book.take({"demand/e": (1, meter.dump("i", {}))}, 0.0)
    for number in range(20):
        meter.arrived(key, 600)
        if number < 10:
            meter.answered(key, 140)
    book.take({"demand/e": (2, meter.dump("i", {key: 10}))}, 10.0)
    [demand] = book.demand(PoolName(MODEL), document, intention)
    assert demand.work == pytest.approx(20 * (600 / 12_000 + 140 / 1400) / 10)
    assert demand.backlog == pytest.approx(10 * 140 / 1400)
    book.take({"demand/e": (2, meter.dump("i", {}))}, 20.0)
    assert book.age_s(50.0) == 40.0


def test_an_entry_that_started_again_is_no_flood_and_no_gap() -> None:
    book = DemandBook()
    key = DemandKey(MODEL, "question")
    old, new = DemandMeter(), DemandMeter()
    for _ in range(1000):
        old.arrived(key, 1200)
    book.take({"demand/e": (1, old.dump("i1", {}))}, 0.0)
    new.arrived(key, 1200)
    book.take({"demand/e": (2, new.dump("i2", {}))}, 10.0)
    assert book.increments[key].requests == 1

"""Calls of a lease holder that the platform performs late, over real sockets."""

from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpcore
import httpx
import pytest

from fakes import FakePlatform
from fleet import Fleet, settings_of
from godwitmast.backends.transport import HeadCountingStream
from godwitmast.capacity.zonal import DesiredServers
from godwitmast.clock import ManualClock
from godwitmast.errors import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from godwitmast.http_server import Send
from godwitmast.lease.calls import DutyCall
from godwitmast.lease.machine import LeaseMachine
from godwitmast.platform import daemon
from godwitmast.platform.daemon import Node
from godwitmast.platform.settings import PlatformFile
from godwitmast.platform.store import DutyClient
from godwitmast.platform.wire import ORDER_SERVERS, REPORT_USAGE
from godwitmast.platform_api.client import PlatformClient
from godwitmast.platform_api.http import PlatformHttp
from godwitmast.settings import PlatformSettings, check_settings
from godwitmast.standins.store import DutyArrival, LateCall, StoreStandin
from godwitmast.types import PoolName, ZoneName
from running import running
from test_lease import TIMING, hold
from test_platform_path import SCALED
from test_restored_store import RestoredFleet, lose_power

pytestmark = pytest.mark.anyio

LATE_S = 6.0
"""Longest time from the writing of a call to its arrival that the design assumes."""

HANDOVER_WITHIN_S = 30.0
"""Limit for a test that hangs; a new holder that waits for late calls needs 12 s."""

LONG_GUARD_S = 60.0
"""A handover within `READY_WITHIN_S` can't be the lapse of a lease with this guard time."""

STOP_DELAYS_S = [1.0, 3.0, 4.5]
LAPSE_DELAYS_S = [1.0, 3.0, 4.5, 5.8]
"""A lapsed lease is taken over after 2.3 s, and a new holder orders 3 s after that."""


@pytest.fixture
async def fleet() -> AsyncIterator[RestoredFleet]:
    async with running(RestoredFleet()) as started:
        yield started


def order_violations(arrivals: list[DutyArrival]) -> list[str]:
    """Return what is wrong with the tokens of calls, by duty and subject."""
    by_subject: defaultdict[tuple[str, ...], list[DutyArrival]] = defaultdict(list)
    for arrival in arrivals:
        by_subject[arrival.subject].append(arrival)
    found = []
    for calls in by_subject.values():
        found += [
            f"after token {earlier.fence}: {later}"
            for earlier, later in zip(calls, calls[1:], strict=False)
            if later.fence < earlier.fence
        ]
        holders: defaultdict[int, set[str]] = defaultdict(set)
        for call in calls:
            holders[call.fence].add(call.holder)
        found += [
            f"token {fence} of {sorted(names)}"
            for fence, names in holders.items()
            if len(names) > 1
        ]
    return found


def check_arrivals(store: StoreStandin) -> None:
    """Check that no call came after a later holder's, and no window has two counts."""
    counts: defaultdict[int, list[dict[str, int]]] = defaultdict(list)
    for report in store.reports:
        if report.counts not in counts[report.window]:
            counts[report.window].append(report.counts)
    different = {window: found for window, found in counts.items() if len(found) > 1}
    assert (order_violations(store.arrivals), different) == ([], {})


def holder_of(fleet: Fleet) -> Node:
    return next(node for node in fleet.nodes if node.lease.held)


@asynccontextmanager
async def call_on_the_way(
    fleet: Fleet, late: LateCall, vms: int = 2
) -> AsyncIterator[Node]:
    """Yield the holder once the platform has received its call, which is late.

    The body ends the holder's lease. Afterwards both that call and one with a higher token
    have arrived.
    """
    for number in range(2, vms + 1):
        await fleet.add_vm(f"front-{number}")
    if late.path == ORDER_SERVERS:
        await fleet.configure(2, services=SCALED)
    else:
        await fleet.wait_until(lambda: fleet.store.reports)
    store = fleet.store
    store.faults.late_call = late
    await fleet.wait_until(lambda: store.faults.late_call is None)
    received_s = store.seconds()
    # A lease of 0.3 s may lapse, and be regained, while the process stands still.
    await fleet.wait_until(lambda: any(node.lease.held for node in fleet.nodes))
    holder = holder_of(fleet)
    assert holder.lease.machine.held_lease is not None
    fence = holder.lease.machine.held_lease.fence
    yield holder
    duty = "usage" if late.path == REPORT_USAGE else "order"

    def have_arrived() -> bool:
        calls = [call for call in store.arrivals if call.subject[0] == duty]
        is_performed = store.seconds() > received_s + late.wait_s and any(
            call.performed_s - call.received_s >= late.wait_s for call in calls
        )
        return is_performed and any(call.fence > fence for call in calls)

    with anyio.fail_after(HANDOVER_WITHIN_S):
        while not have_arrived():
            await anyio.sleep(0.01)


async def send_requests(
    fleet: Fleet, http: httpx.AsyncClient, ended: list[Node]
) -> None:
    """Send requests to all VMs but those that have ended, until cancelled."""
    while True:
        for node in fleet.nodes:
            if node not in ended:
                await fleet.request(http, "/peek/1", node=node)
        await anyio.sleep(0.05)


async def play_end(
    fleet: Fleet,
    http: httpx.AsyncClient,
    late: LateCall,
    end: Callable[[Node], Awaitable[None]],
    vms: int = 2,
) -> None:
    """End a holder's lease while its call is on the way, and check what arrived."""
    ended: list[Node] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_requests, fleet, http, ended)
        async with call_on_the_way(fleet, late, vms) as holder:
            ended.append(holder)
            tasks.start_soon(end, holder)
        tasks.cancel_scope.cancel()
    check_arrivals(fleet.store)


def end_calls(client: PlatformHttp) -> None:
    """Have all further calls of a client fail, as if its link were cut."""

    async def fail(*args: Any, **content: Any) -> httpx.Response:
        raise PlatformOutcomeUnknown("link cut")

    client.request = fail


async def lose_store(node: Node) -> None:
    """End the calls of a VM to the store, but not those to the platform's API."""
    end_calls(node.store)


async def lose_all(node: Node) -> None:
    """End all calls of a VM, those on the way too, as if it had lost power.

    A call that finds its client closed just before it is sent would raise RuntimeError.
    """
    end_calls(node.store)
    end_calls(node.store.duties)
    await lose_power(node)


@pytest.mark.parametrize("vms", [2, 6])
@pytest.mark.parametrize("wait_s", STOP_DELAYS_S)
async def test_usage_report_of_a_holder_that_stops_arrives_before_its_successors(
    fleet: RestoredFleet, http: httpx.AsyncClient, wait_s: float, vms: int
) -> None:
    """Guards against a lease that is released while a usage report may still arrive."""
    await play_end(fleet, http, LateCall(REPORT_USAGE, wait_s), Node.close, vms)


@pytest.mark.parametrize("vms", [2, 6])
async def test_order_of_a_holder_that_stops_arrives_before_its_successors(
    fleet: RestoredFleet, http: httpx.AsyncClient, vms: int
) -> None:
    """Guards against a lease that is released while an order may still arrive."""
    await play_end(fleet, http, LateCall(ORDER_SERVERS, 4.5), Node.close, vms)


@pytest.mark.parametrize("wait_s", LAPSE_DELAYS_S)
@pytest.mark.parametrize("path", [REPORT_USAGE, ORDER_SERVERS])
async def test_call_of_a_killed_holder_arrives_before_its_successors(
    fleet: RestoredFleet, http: httpx.AsyncClient, path: str, wait_s: float
) -> None:
    """Guards against a successor that calls while a killed holder's call may arrive."""
    await play_end(fleet, http, LateCall(path, wait_s), lose_all)


@pytest.mark.parametrize("wait_s", LAPSE_DELAYS_S)
@pytest.mark.parametrize("path", [REPORT_USAGE, ORDER_SERVERS])
async def test_call_of_a_holder_that_lost_the_store_arrives_before_its_successors(
    fleet: RestoredFleet, http: httpx.AsyncClient, path: str, wait_s: float
) -> None:
    """Guards against a successor that calls while a cut-off holder's call may arrive."""
    await play_end(fleet, http, LateCall(path, wait_s), lose_store)


def calls_are_stopped(node: Node) -> bool:
    return node.lease.machine.calls_stopped


def lease_is_released(node: Node) -> bool:
    return node.lease.machine.released


@pytest.mark.parametrize(
    ("path", "second_signal_once", "vms"),
    [
        (REPORT_USAGE, calls_are_stopped, 2),
        (REPORT_USAGE, lease_is_released, 6),
        (ORDER_SERVERS, calls_are_stopped, 6),
        (ORDER_SERVERS, lease_is_released, 2),
    ],
)
async def test_call_of_a_holder_that_is_stopped_twice_arrives_before_its_successors(
    fleet: RestoredFleet,
    http: httpx.AsyncClient,
    path: str,
    second_signal_once: Callable[[Node], bool],
    vms: int,
) -> None:
    """Guards against a lease that is handed over as if its last call had ended, as a second
    signal ends the stop."""

    async def stop_twice(node: Node) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.close)
            while not second_signal_once(node):
                await anyio.sleep(0.001)
            tasks.cancel_scope.cancel()
        await lose_all(node)

    await play_end(fleet, http, LateCall(path, 4.5), stop_twice, vms)


@pytest.mark.parametrize(
    ("away_s", "wait_s"), [(0.0, 3.0), (0.0, 4.5), (0.5, 3.0), (0.5, 4.5), (2.5, 5.8)]
)
@pytest.mark.parametrize("path", [REPORT_USAGE, ORDER_SERVERS])
async def test_call_from_before_a_restore_arrives_before_those_after_it(
    fleet: RestoredFleet,
    http: httpx.AsyncClient,
    path: str,
    away_s: float,
    wait_s: float,
) -> None:
    """Guards against calls under a new epoch's token while an older one may arrive.

    After a short absence of the store the holder claims its lease again, by a higher
    token; after a long one another may take it.
    """

    async def restore(holder: Node) -> None:
        backup = fleet.store.backup()
        fleet.store.faults.refusal_status = 503 if away_s else None
        await anyio.sleep(away_s)
        fleet.come_back(backup)

    await play_end(fleet, http, LateCall(path, wait_s), restore)


async def next_holder(fleet: Fleet, stopped: Node) -> Node:
    """Return the VM that holds the lease after one that stops."""

    def others() -> list[Node]:
        return [n for n in fleet.nodes if n is not stopped and n.lease.held]

    await fleet.wait_until(others)
    return others()[0]


@pytest.mark.parametrize("vms", [2, 6])
async def test_holder_without_a_call_on_the_way_hands_over_at_once(
    monkeypatch: pytest.MonkeyPatch, vms: int
) -> None:
    """Guards against handovers and first reports that wait for calls that no one made."""
    monkeypatch.setattr(daemon, "LEASE_GUARD_S", LONG_GUARD_S)
    async with running(Fleet()) as fleet:
        for number in range(2, vms + 1):
            await fleet.add_vm(f"front-{number}")
        await fleet.wait_until(lambda: len(fleet.store.reports) > 1)
        holder = holder_of(fleet)
        await holder.lease.close()
        released_s = fleet.store.seconds()
        successor = await next_holder(fleet, holder)
        name = successor.settings.node
        await fleet.wait_until(lambda: fleet.store.reports[-1].holder == name)
        # A successor that waited for late calls would report after this time.
        assert fleet.store.arrivals[-1].received_s < released_s + LATE_S
        check_arrivals(fleet.store)


async def test_store_of_the_fixture_tells_its_epoch_in_every_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lease taken before its epoch is known, then free for nobody."""
    epochs = []
    respond = StoreStandin.respond

    async def record_epoch(
        store: StoreStandin, send: Send, status: int, content: bytes
    ) -> None:
        epochs.append(store.epoch)
        await respond(store, send, status, content)

    monkeypatch.setattr(StoreStandin, "respond", record_epoch)
    async with running(RestoredFleet()):
        assert set(epochs) == {1}


async def test_holder_waits_for_the_answer_to_its_call_and_hands_over_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that are given up although their answers are due."""
    monkeypatch.setattr(daemon, "LEASE_GUARD_S", LONG_GUARD_S)
    late = LateCall(REPORT_USAGE, 0.8, answered=True)
    async with running(RestoredFleet()) as fleet:
        async with call_on_the_way(fleet, late) as holder:
            await holder.lease.close()
            released_s = fleet.store.seconds()
            successor = await next_holder(fleet, holder)
            performed = [
                call
                for call in fleet.store.arrivals
                if call.performed_s - call.received_s >= late.wait_s
            ]
            assert performed
            assert performed[0].holder == holder.settings.node
            await fleet.wait_until(
                lambda: fleet.store.reports[-1].holder == successor.settings.node
            )
            assert fleet.store.arrivals[-1].received_s < released_s + LATE_S
        check_arrivals(fleet.store)


async def test_handover_adds_no_calls_to_the_table(fleet: RestoredFleet) -> None:
    """Guards against calls besides renewals, a challenger's reads, release and takeover."""
    await fleet.add_vm("front-2")
    await fleet.wait_until(lambda: fleet.store.reports)
    holder = holder_of(fleet)
    timing, key = holder.lease.machine.timing, holder.lease.machine.lease_key
    written: Counter[str] = Counter()
    read: Counter[str] = Counter()
    transact, read_rows = fleet.store.transact, fleet.store.read

    def count_writes(transaction: Any) -> tuple[int, bytes]:
        written.update(item["key"] for item in transaction["puts"])
        return transact(transaction)

    def count_reads(query: dict[str, str]) -> bytes:
        read[query.get("from", "")] += 1
        return read_rows(query)

    since_s = fleet.store.seconds()
    fleet.store.transact, fleet.store.read = count_writes, count_reads
    # Long enough for a challenger to read the lease several times.
    reports = len(fleet.store.reports)
    await fleet.wait_until(lambda: len(fleet.store.reports) > reports + 2)
    await holder.lease.close()
    successor = await next_holder(fleet, holder)
    challenged_s = fleet.store.seconds() - since_s
    reports = len(fleet.store.reports)
    await fleet.wait_until(lambda: len(fleet.store.reports) > reports + 1)
    passed_s = fleet.store.seconds() - since_s
    assert successor.lease.held
    assert written[key] == 2
    # Two more, as a renewal may be due at once, and the takeover writes this row too.
    assert written[f"{key}/beat"] <= passed_s / timing.renew_s + 2
    # One more, as a read may be due at once.
    assert read[key] <= challenged_s / timing.watch_s + 1


ClientCall = Callable[[StoreStandin, DutyCall], Awaitable[Any]]


def duty_client(store: StoreStandin) -> DutyClient:
    raw = settings_of(store.server.port)
    return DutyClient(check_settings(raw, PlatformFile, "settings"))


def platform_client(store: StoreStandin) -> PlatformClient:
    return PlatformClient(PlatformSettings(store.server.url), "front-1")


def report_of(call: DutyCall) -> dict[str, Any]:
    return {"start": 10, "end": 11, "figures": [], "late": [], "fence": call.fence}


async def report_usage(store: StoreStandin, call: DutyCall) -> None:
    client = duty_client(store)
    try:
        await client.report_usage(report_of(call), call.before_write)
    finally:
        await client.close()


async def order_numbers(store: StoreStandin, call: DutyCall) -> None:
    client = duty_client(store)
    wanted = DesiredServers(ZoneName("z1"), "cheap", 2)
    try:
        await client.order_servers(
            PoolName("lm"), wanted, call.fence, call.before_write
        )
    finally:
        await client.close()


async def order_one(store: StoreStandin, call: DutyCall) -> None:
    async with platform_client(store) as client:
        await client.order({"fence": call.fence}, 1.5, call.before_write)


async def report_journal(store: StoreStandin, call: DutyCall) -> None:
    async with platform_client(store) as client:
        await client.report_usage(report_of(call), call.before_write)


def stall_while_connecting(
    monkeypatch: pytest.MonkeyPatch, stand_still: Callable[[], None]
) -> None:
    connect = httpcore.AnyIOBackend.connect_tcp

    async def connect_slowly(*args: Any, **options: Any) -> Any:
        stream = await connect(*args, **options)
        stand_still()
        return stream

    monkeypatch.setattr(httpcore.AnyIOBackend, "connect_tcp", connect_slowly)


def stall_after_head(
    monkeypatch: pytest.MonkeyPatch, stand_still: Callable[[], None]
) -> None:
    write = HeadCountingStream.write

    async def write_slowly(
        stream: HeadCountingStream, buffer: bytes, timeout: float | None = None
    ) -> None:
        await write(stream, buffer, timeout)
        if buffer.startswith(b"POST "):
            stand_still()

    monkeypatch.setattr(HeadCountingStream, "write", write_slowly)


def stall_before_turn(
    monkeypatch: pytest.MonkeyPatch, stand_still: Callable[[], None]
) -> None:
    """Have the call get its turn among the open calls once the lease is over."""
    request = PlatformHttp.request

    async def request_late(
        client: PlatformHttp, *args: Any, **content: Any
    ) -> httpx.Response:
        stand_still()
        return await request(client, *args, **content)

    monkeypatch.setattr(PlatformHttp, "request", request_late)


def stall_for_budget(
    monkeypatch: pytest.MonkeyPatch, stand_still: Callable[[], None]
) -> None:
    """Have the process's rate budget allow the call once the lease is over."""
    wait_for_budget = PlatformHttp.wait_for_budget

    async def wait_long(client: PlatformHttp, *args: Any) -> None:
        await wait_for_budget(client, *args)
        stand_still()

    monkeypatch.setattr(PlatformHttp, "wait_for_budget", wait_long)


STALLS = [
    stall_while_connecting,
    stall_after_head,
    stall_before_turn,
    stall_for_budget,
]


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize(
    "make_call", [report_usage, order_numbers, order_one, report_journal]
)
async def test_call_is_not_written_after_its_lease(
    monkeypatch: pytest.MonkeyPatch,
    make_call: ClientCall,
    stall: Callable[[pytest.MonkeyPatch, Callable[[], None]], None],
) -> None:
    """Guards against a process that stood still between its check and its socket."""
    clock = ManualClock(100.0)
    machine: LeaseMachine = hold(FakePlatform(), "a", clock.now())
    stall(monkeypatch, lambda: clock.advance(TIMING.ttl_s + 0.1))
    async with running(StoreStandin()) as store:
        call = DutyCall.begin(machine, clock)
        assert call is not None
        error: PlatformError | None = None
        try:
            with call.settling():
                await make_call(store, call)
        except PlatformError as failure:
            error = failure
        assert clock.now() > 100.0 + TIMING.ttl_s
        assert store.calls == []
        assert isinstance(error, PlatformUnavailable)
        assert call.settled

"""Calls, writes and answers that arrive later than the state that allowed them."""

import math
import time
from collections.abc import AsyncIterator
from typing import Any

import anyio
import h11
import httpx
import pytest
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from prometheus_client import CollectorRegistry

from fakes import ORDERS_LEASE, FakeGuard, FakePlatform, Fate
from fleet import Fleet
from godwitmast.backends.client import BackendClient
from godwitmast.capacity.duty import CapacityDuty
from godwitmast.capacity.fleet import SERVERS_KEY, load_fleet
from godwitmast.capacity.messages import Order
from godwitmast.capacity.planner import Planner
from godwitmast.clock import ManualClock
from godwitmast.config.change import MAX_WRITE_ATTEMPTS, OutcomeUnknown
from godwitmast.config.document import CapacityPolicy
from godwitmast.config.follower import ConfigFollower
from godwitmast.config.rows import HEAD_KEY, first_objects, first_rows
from godwitmast.ctl.session import Session, new_patch
from godwitmast.dispatch.messages import UNKNOWN_VERSION
from godwitmast.entry.outbound import AttemptRequest
from godwitmast.entry.pool_versions import PoolVersions
from godwitmast.entry.stream_versions import ListedServer, StreamVersions
from godwitmast.errors import PlatformOutcomeUnknown, PlatformUnavailable
from godwitmast.platform.frontend import RoutedRequest
from godwitmast.platform.wire import ATTEMPT_ID, NOT_EXECUTED, READY
from godwitmast.platform_api.messages import (
    Conflict,
    FleetServer,
    Row,
    TransactOutcome,
    Written,
)
from godwitmast.platform_api.port import WriteHook
from godwitmast.platform_api.steps import Read, Result, Rows, Scan, Transact
from godwitmast.platform_api.time_agreement import AgreedClock
from godwitmast.types import BackendId, Json, PoolName, ZoneName
from running import running

FIRST_CONFIG = {
    "classes": {"question": {"tier": 1, "first_token_s": 1.0}},
    "teams": {"a": {}},
}

pytestmark = pytest.mark.anyio

STOPPED_S = 0.8
"""How long a process stands still: longer than the deadline of its request."""


class RejectingFront:
    """A server on whose connections the answer to an earlier request arrives late.

    The first request of each connection is answered at once. To each later one the late
    answer comes first: a rejection of the first request, while the later one runs.
    """

    def __init__(self, status: int, header: str) -> None:
        self.status = status
        self.header = header
        self.port = 0
        self.ran: list[str] = []

    async def start(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self.serve)

    async def serve(self, stream: SocketStream) -> None:
        parser = h11.Connection(h11.SERVER)
        first = ""
        async with stream:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    try:
                        parser.receive_data(await stream.receive())
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return
                elif isinstance(event, h11.Request):
                    headers = {k.decode(): v.decode() for k, v in event.headers}
                    attempt_id = headers[ATTEMPT_ID.lower()]
                elif isinstance(event, h11.EndOfMessage):
                    self.ran.append(attempt_id)
                    if first:
                        await stream.send(answer_of(self.status, first, self.header))
                        return
                    first = attempt_id
                    await stream.send(answer_of(200, attempt_id))
                    parser = h11.Connection(h11.SERVER)
                elif isinstance(event, h11.ConnectionClosed):
                    return


def answer_of(status: int, attempt_id: str, more: str = "") -> bytes:
    head = f"HTTP/1.1 {status} x\r\n{ATTEMPT_ID}: {attempt_id}\r\n{more}"
    return f"{head}Content-Length: 2\r\n\r\nok".encode()


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


async def serve_behind(fleet: Fleet, front: RejectingFront) -> None:
    """Have the front be the only server of the plain service."""
    await front.start(fleet.tasks)
    first, second = fleet.plain
    first.port = front.port
    first.publish_row(READY)
    fleet.store.remove_server(second.server_id)

    def is_listed() -> bool:
        listed = fleet.node.driver.listed_backends
        return second.server_id not in listed and listed[first.server_id].url.endswith(
            f":{front.port}"
        )

    await fleet.wait_until(is_listed)


@pytest.mark.parametrize(
    ("status", "header"), [(503, f"{NOT_EXECUTED}: 1\r\n"), (421, "")]
)
async def test_late_rejection_of_an_earlier_request_is_no_promise_for_the_next(
    fleet: Fleet, http: httpx.AsyncClient, status: int, header: str
) -> None:
    """Guards against a request that is refused as not run, or run again, though it ran:
    the rejection that was read was the late answer to another one."""
    front = RejectingFront(status, header)
    await serve_behind(fleet, front)
    earlier = await fleet.request(http, "/pay/1", "POST", Attempt_Id="a1")
    assert earlier.status_code == 200
    answer = await fleet.request(http, "/pay/2", "POST", Attempt_Id="a2")
    assert front.ran == ["a1", "a2"]
    assert answer.status_code == 502


class LateTable:
    """A table whose transactions meet the fate that a test sets."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.fate = Fate.ANSWERED
        self.order_ids: list[str] = []
        self.away_after = math.inf
        """Number of transactions after which the platform is away."""

    async def read(self, keys: list[str]) -> dict[str, Row]:
        return self.rows_of(self.platform.take(Read(keys)))

    async def scan(self, prefix: str, after: str = "") -> dict[str, Row]:
        return self.rows_of(self.platform.take(Scan(prefix, after)))

    async def fleet(self) -> list[FleetServer]:
        return []

    async def order(
        self, body: Json, timeout_s: float, before_write: WriteHook
    ) -> httpx.Response:
        """Execute an order whose answer is lost."""
        self.order_ids.append(body["order_id"])
        raise PlatformOutcomeUnknown("no answer")

    async def get_object(self, name: str) -> bytes | None:
        return self.platform.objects.get(name)

    def rows_of(self, found: Result) -> dict[str, Row]:
        if not isinstance(found, Rows):
            raise PlatformUnavailable("away")
        return found.rows

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        result = self.platform.take(Transact(checks, writes), self.fate)
        self.away_after -= 1
        self.platform.away = self.away_after <= 0
        if not isinstance(result, Written | Conflict):
            raise PlatformOutcomeUnknown("no answer")
        return result

    def values(self, prefix: str) -> list[Json]:
        rows = self.platform.table.scan(prefix, "", 100)
        return [row.value for _, row in rows]


@pytest.mark.parametrize("arrives_first", [False, True])
async def test_late_write_of_a_stream_does_not_undo_that_its_version_is_in_doubt(
    arrives_first: bool,
) -> None:
    """Guards against a stream that goes on at a version that did not begin it, as the
    version written first arrives after the row that says that it is not known."""
    table = LateTable()
    clock = ManualClock(100.0)
    pool_versions = PoolVersions(
        AgreedClock(clock),
        table,  # type: ignore[arg-type]
        vm_count=lambda: 1,
        may_lack_rows=lambda: False,
        first_start=True,
        own_key=lambda: "node/1",
    )
    versions = StreamVersions(
        clock,
        table,  # type: ignore[arg-type]
        table,  # type: ignore[arg-type]
        pool_versions,
        CollectorRegistry(),
    )
    pools = frozenset(["lm"])
    listed = {
        BackendId("e1"): ListedServer(pools, "v1", 1),
        BackendId("e2"): ListedServer(pools, "v2", 1),
    }
    versions.update_servers(listed)
    versions.record_begin("arima", "a1", PoolName("lm"), BackendId("e1"))
    table.fate = Fate.DELAYED
    await versions.write()
    restarted = ListedServer(pools, "v2", 2)
    versions.update_servers({**listed, BackendId("e1"): restarted})
    table.fate = Fate.ANSWERED
    if arrives_first:
        table.platform.arrive(0)
    while versions.pending:
        await versions.write()
    if not arrives_first:
        table.platform.arrive(0)
    assert table.values("stream/") == [UNKNOWN_VERSION]


async def test_patch_that_may_still_arrive_is_not_reported_as_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an operator who is told that nothing was written, though a write
    of the patch without an answer takes effect after the platform is back."""
    monkeypatch.setattr("godwitmast.ctl.session.RETRY_S", 0.0)
    table = LateTable()
    table.platform.objects |= first_objects(FIRST_CONFIG)
    table.platform.take(Transact({}, first_rows(FIRST_CONFIG)))
    table.fate = Fate.DELAYED
    table.away_after = MAX_WRITE_ATTEMPTS
    session = Session(table)  # type: ignore[arg-type]
    outcome = await session.patch(new_patch(1, {"teams": {"b": {}}}, ""))
    table.platform.away = False
    table.platform.arrive(0)
    head = table.platform.take(Read([HEAD_KEY]))
    assert isinstance(head, Rows)
    assert head.value(HEAD_KEY)["number"] == 2
    assert isinstance(outcome, OutcomeUnknown)


@pytest.fixture
def table() -> LateTable:
    """Return a table in which this process holds the lease on orders."""
    table = LateTable()
    table.platform.table.transact({}, {ORDERS_LEASE: {"holder": "me"}})
    return table


def capacity_duty(table: LateTable) -> CapacityDuty:
    return CapacityDuty(
        table,  # type: ignore[arg-type]
        ConfigFollower(table),  # type: ignore[arg-type]
        BackendClient(),
        ManualClock(100.0),
        CollectorRegistry(),
    )


async def test_late_write_of_the_fleet_does_not_replace_a_newer_one(
    table: LateTable,
) -> None:
    """Guards against an entry that starts with servers that were drained meanwhile: a
    write of an older fleet row takes effect after that of a newer one."""
    guard = FakeGuard(table.platform.table.version(ORDERS_LEASE))
    duty = capacity_duty(table)
    serving = FleetServer("e1", "http://e1", "a", "on_demand", ["lm"], "1-1", "serving")
    table.fate = Fate.DELAYED
    await duty.publish(guard, duty.book.make_row([serving]))
    table.fate = Fate.ANSWERED
    leaving = serving._replace(state="leaving")
    while not await duty.publish(guard, duty.book.make_row([leaving])):
        pass
    table.platform.arrive(0)
    [servers] = table.values(SERVERS_KEY)
    assert load_fleet(servers).servers["e1"].leaving


async def test_order_whose_record_arrives_late_is_sent_once(table: LateTable) -> None:
    """Guards against two servers for one need: the holder couldn't record an order and
    placed another one, then the record arrives, and its successor sends the order."""
    guard = FakeGuard(table.platform.table.version(ORDERS_LEASE))
    duty = capacity_duty(table)
    planner = Planner(PoolName("lm"), [ZoneName("a")], CapacityPolicy())
    order = Order(PoolName("lm"), ZoneName("a"), "cheap", "demand")
    table.fate = Fate.DELAYED
    assert not await duty.carry_out(guard, planner, order)
    table.fate = Fate.ANSWERED
    await duty.run_round(guard)
    if not duty.book.pending:
        await duty.carry_out(guard, planner, order)
    table.platform.arrive(0)
    successor = capacity_duty(table)
    assert await successor.resume()
    await successor.resend_pending(guard)
    assert len(set(table.order_ids)) == 1


@pytest.mark.parametrize("is_connected", [False, True])
async def test_request_is_not_sent_after_its_deadline_by_a_vm_that_stood_still(
    fleet: Fleet,
    http: httpx.AsyncClient,
    monkeypatch: pytest.MonkeyPatch,
    is_connected: bool,
) -> None:
    """Guards against a server that runs a request which its caller has given up: the VM
    stood still after it stated the time that is left, and then sent the request."""
    if is_connected:
        for _ in range(4):
            await fleet.request(http, "/pay/1", "POST")
    for replica in fleet.plain:
        replica.served.clear()
    build_attempt = RoutedRequest.build_attempt

    def stand_still(self: RoutedRequest, *args: Any) -> AttemptRequest:
        built = build_attempt(self, *args)
        time.sleep(STOPPED_S)
        return built

    monkeypatch.setattr(RoutedRequest, "build_attempt", stand_still)
    answer = await fleet.request(http, "/pay/2", "POST", Deadline_Ms="300")
    await anyio.sleep(0.3)
    ran = [request for replica in fleet.plain for request in replica.served]
    assert answer.status_code == 504
    assert not ran


async def test_request_that_was_sent_and_given_up_is_not_answered_as_not_run(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a caller that sends a request again which a server still runs: its
    bytes were written before the deadline cancelled the attempt."""
    for replica in fleet.plain:
        replica.faults.hangs = True
    answer = await fleet.request(http, "/pay/1", "POST", Deadline_Ms="300")
    assert sum(len(replica.served) for replica in fleet.plain) == 1
    assert answer.status_code == 504

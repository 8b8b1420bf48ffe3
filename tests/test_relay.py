"""A relay and its followers in one zone, over real sockets."""

import random
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack

import anyio
import cbor2
import httpx
import msgspec
import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection

from fakes import FakePlatform, Fate
from fleet import Fleet
from godwitmast.clock import SystemClock
from godwitmast.errors import (
    PeerError,
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from godwitmast.platform_api.group_commit import GroupCommit
from godwitmast.platform_api.messages import Conflict, Row, TransactOutcome, Written
from godwitmast.platform_api.steps import Failure, Read, Rows, Transact
from godwitmast.platform_api.time_agreement import AgreedClock
from godwitmast.relay import driver, machine
from godwitmast.relay.codec import MAX_FRAME_BYTES, decode_frame, encode_frame
from godwitmast.relay.driver import RelayDriver
from godwitmast.relay.feed import SharedFeed
from godwitmast.relay.messages import Beat, TableTold, TransactAsked
from godwitmast.relay.table import MAX_WRITE_BYTES
from godwitmast.relay.table_copy import Sharing
from godwitmast.settings import Listen
from godwitmast.types import Json
from running import running

pytestmark = pytest.mark.anyio

GATHER_S = 0.05
LONG_GATHER_S = 600.0
"""Longer than a VM has for its stop."""
SHARING = Sharing(confirm_s=0.1, fresh_s=0.2, wait_s=10.0)
WITHIN_S = 10.0


class StoreOfOne:
    """The platform's table as one VM reaches it, with its calls and faults."""

    def __init__(self, platform: FakePlatform) -> None:
        self.platform = platform
        self.calls = 0
        self.fate = Fate.ANSWERED

    async def read(self, keys: list[str]) -> dict[str, Row]:
        self.calls += 1
        await anyio.sleep(0.02)
        found = self.platform.take(Read(keys), self.fate)
        if not isinstance(found, Rows):
            raise PlatformUnavailable("refused")
        return found.rows

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        self.calls += 1
        result = self.platform.take(Transact(checks, writes), self.fate)
        if result is Failure.UNKNOWN:
            raise PlatformOutcomeUnknown("lost")
        if not isinstance(result, Written | Conflict):
            raise PlatformUnavailable("refused")
        return result


class ZoneOfThree:
    """Three VMs of one zone."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.stores = [StoreOfOne(self.platform) for _ in range(3)]
        self.vms = [
            RelayDriver(
                store,  # type: ignore[arg-type]
                SystemClock(),
                f"vm-{number}",
                "a",
                Listen(),
                GATHER_S,
                SharedFeed(store, AgreedClock(SystemClock()), SHARING),  # type: ignore[arg-type]
                lambda: 3,
            )
            for number, store in enumerate(self.stores)
        ]

    async def settle(self, vms: list[RelayDriver]) -> RelayDriver:
        """Wait until one VM is the relay of the others; return it."""
        with anyio.fail_after(WITHIN_S):
            while True:
                serving = [vm for vm in vms if vm.machine.serving]
                linked = [vm for vm in vms if vm.machine.relay_available]
                if len(serving) == 1 and len(linked) == len(vms) - 1:
                    return serving[0]
                await anyio.sleep(0.01)


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the waits before a claim, so that a zone elects its relay soon."""
    monkeypatch.setattr(machine, "CLAIM_WAIT_S", (0.02, 0.1))
    monkeypatch.setattr(driver, "CHECK_EVERY_S", 0.02)


@pytest.fixture
async def zone() -> AsyncIterator[ZoneOfThree]:
    zone = ZoneOfThree()
    async with AsyncExitStack() as stack:
        for vm in zone.vms:
            await stack.enter_async_context(running(vm))
        await zone.settle(zone.vms)
        yield zone


def calls(zone: ZoneOfThree) -> int:
    return sum(store.calls for store in zone.stores)


async def write_all(
    vms: list[RelayDriver], write: Callable[[RelayDriver, int], Awaitable[None]]
) -> None:
    with anyio.fail_after(WITHIN_S):
        async with anyio.create_task_group() as tasks:
            for number, vm in enumerate(vms):
                tasks.start_soon(write, vm, number)


async def test_rows_of_a_zone_are_written_in_one_call(zone: ZoneOfThree) -> None:
    before = calls(zone)
    outcomes: dict[int, TransactOutcome] = {}

    async def write(vm: RelayDriver, number: int) -> None:
        key = f"node/{number}"
        outcomes[number] = await vm.table.transact({key: 0}, {key: {"n": number}})

    await write_all(zone.vms, write)
    assert calls(zone) - before == 1
    for number, outcome in outcomes.items():
        key = f"node/{number}"
        row = zone.platform.table.rows[key]
        assert outcome == Written({key: row.version})
        assert row.value == {"n": number}


async def test_conflict_of_one_vm_leaves_the_others_written(zone: ZoneOfThree) -> None:
    """One VM's row has changed; the others of its batch must not get a conflict."""
    zone.platform.table.transact({}, {"node/1": "closed"})
    outcomes: dict[int, TransactOutcome] = {}

    async def write(vm: RelayDriver, number: int) -> None:
        key = f"node/{number}"
        outcomes[number] = await vm.table.transact({key: 0}, {key: number})

    await write_all(zone.vms, write)
    kinds = [type(outcomes[number]) for number in range(3)]
    assert kinds == [Written, Conflict, Written]
    assert zone.platform.table.rows["node/1"].value == "closed"


async def test_lost_answer_is_unknown_to_each_vm_and_not_refused(
    zone: ZoneOfThree,
) -> None:
    """The rows are written but the answer is lost: a new write would count twice."""
    relay = await zone.settle(zone.vms)
    zone.stores[zone.vms.index(relay)].fate = Fate.ANSWER_LOST
    errors: list[PlatformError] = []

    async def write(vm: RelayDriver, number: int) -> None:
        key = f"node/{number}"
        try:
            await vm.table.transact({key: 0}, {key: number})
        except PlatformError as error:
            errors.append(error)

    await write_all(zone.vms, write)
    assert [type(error) for error in errors] == [PlatformOutcomeUnknown] * 3


async def test_follower_of_a_relay_that_is_turned_away_writes_directly(
    zone: ZoneOfThree,
) -> None:
    relay = await zone.settle(zone.vms)
    zone.stores[zone.vms.index(relay)].fate = Fate.REFUSED
    follower = next(vm for vm in zone.vms if vm is not relay)
    outcome = await follower.table.transact({"node/x": 0}, {"node/x": 1})
    assert isinstance(outcome, Written)
    assert not follower.table.through_link


async def test_killed_relay_is_replaced_and_its_open_writes_are_unknown(
    zone: ZoneOfThree,
) -> None:
    relay = await zone.settle(zone.vms)
    others = [vm for vm in zone.vms if vm is not relay]
    relay.group.gather_s = 60.0
    errors: list[PlatformError] = []

    async def write(vm: RelayDriver, number: int) -> None:
        try:
            await vm.table.transact({"node/x": 0}, {"node/x": 1})
        except PlatformError as error:
            errors.append(error)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(write, others[0], 0)
        await anyio.sleep(0.1)
        await relay.close()
    assert [type(error) for error in errors] == [PlatformOutcomeUnknown]
    successor = await zone.settle(others)
    assert successor is not relay
    assert (
        zone.platform.table.rows["relay/a"].value["holder"]
        == successor.machine.own_row.holder
    )


async def test_row_that_is_too_large_does_not_fail_others_of_its_batch(
    zone: ZoneOfThree,
) -> None:
    """The store refuses the whole transaction if one row is over its limit."""
    relay = await zone.settle(zone.vms)
    follower = next(vm for vm in zone.vms if vm is not relay)
    store = zone.stores[zone.vms.index(follower)]
    before = store.calls
    await follower.table.transact({"node/x": 0}, {"node/x": "x" * MAX_WRITE_BYTES})
    assert store.calls == before + 1


async def test_rows_that_all_vms_read_are_read_once(zone: ZoneOfThree) -> None:
    zone.platform.table.transact({}, {"usage/head": {"frozen": 5}})
    before = calls(zone)
    relay = await zone.settle(zone.vms)
    for vm in [relay, *zone.vms]:
        rows = await vm.table.read_recent(["usage/head"])
        assert rows["usage/head"].value == {"frozen": 5}
    assert calls(zone) - before == 1


async def test_rows_that_vms_read_concurrently_are_read_once(zone: ZoneOfThree) -> None:
    """All VMs of a zone started together, and so read in the same moment."""
    before = calls(zone)

    async def read(vm: RelayDriver, number: int) -> None:
        await vm.table.read_recent(["usage/head"])

    await write_all([*zone.vms, *zone.vms], read)
    assert calls(zone) - before == 1


async def test_malformed_frame_closes_only_its_own_link(
    zone: ZoneOfThree,
) -> None:
    relay = await zone.settle(zone.vms)
    address = relay.machine.own_row.address
    not_json = cbor2.dumps([1, 5, {"node/x": 0}, {"node/x": cbor2.undefined}])
    for malformed in (b"\xff", b"", cbor2.dumps([99, 1]), not_json):
        async with connect(f"ws://{address}/", proxy=None) as socket:
            await socket.recv()
            await socket.send(malformed)
            with anyio.fail_after(WITHIN_S):
                await socket.wait_closed()
    assert await zone.settle(zone.vms) is relay


def test_frames_survive_encoding_and_malformed_ones_raise_peer_error() -> None:
    for frame in (Beat(True, 195), TransactAsked(7, {"a": 0}, {"a": {"x": [1, "2"]}})):
        assert decode_frame(encode_frame(frame)) == frame
    billion = cbor2.dumps([5, True, 10**9])
    for data in (b"", b"\x81\x05", cbor2.dumps([5, "yes", 3]), billion, "text"):
        with pytest.raises(PeerError):
            decode_frame(data)


async def test_group_commit_keeps_to_the_size_limit_of_a_transaction() -> None:
    """The store refuses transactions of more than 100 checks and writes together."""
    sizes: list[int] = []

    async def send(checks: dict[str, int], writes: dict[str, Json]) -> Written:
        sizes.append(len(checks) + len(writes))
        return Written(dict.fromkeys(writes, 1))

    group = GroupCommit(send, GATHER_S)
    async with anyio.create_task_group() as tasks:
        await group.start(tasks)
        async with anyio.create_task_group() as writers:
            for number in range(70):
                key = f"node/{number}"
                writers.start_soon(group.transact, {key: 0}, {key: number})
        tasks.cancel_scope.cancel()
    assert sizes == [100, 40]


async def test_group_commit_does_not_wait_for_others_after_a_failure() -> None:
    """The table answers again after an outage, when all waiting rows are already late."""
    failures = [PlatformUnavailable("away")]
    sent_at: list[float] = []

    async def send(checks: dict[str, int], writes: dict[str, Json]) -> Written:
        sent_at.append(anyio.current_time())
        if failures:
            raise failures.pop()
        return Written(dict.fromkeys(writes, 1))

    group = GroupCommit(send, gather_s=0.5)
    async with anyio.create_task_group() as tasks:
        await group.start(tasks)
        with pytest.raises(PlatformUnavailable):
            await group.transact({"a": 0}, {"a": 1})
        await group.transact({"a": 0}, {"a": 1})
        tasks.cancel_scope.cancel()
    assert sent_at[1] - sent_at[0] < group.gather_s


async def test_urgent_write_does_not_wait_for_others() -> None:
    """Guards against rows that others look for before the relay has written them."""
    sent: list[dict[str, Json]] = []

    async def send(checks: dict[str, int], writes: dict[str, Json]) -> Written:
        sent.append(writes)
        return Written(dict.fromkeys(writes, 1))

    group = GroupCommit(send, gather_s=5.0)
    async with anyio.create_task_group() as tasks:
        await group.start(tasks)
        with anyio.fail_after(1.0):
            async with anyio.create_task_group() as writers:
                writers.start_soon(group.transact, {}, {"usage": 1})
                await anyio.sleep(GATHER_S)
                writers.start_soon(group.transact, {}, {"urgent": 1}, GATHER_S)
        tasks.cancel_scope.cancel()
    assert sent == [{"usage": 1, "urgent": 1}]


async def test_relay_that_stops_writes_its_last_usage(http: httpx.AsyncClient) -> None:
    """Guards against usage that is lost as the last write waits for one being gathered."""
    async with running(Fleet()) as fleet:
        node = fleet.node
        await fleet.wait_until(lambda: node.relay.machine.serving)
        node.relay.group.gather_s = LONG_GATHER_S
        answer = await fleet.request(http, "/peek/1")
        assert answer.status_code == 200
        await fleet.wait_until(lambda: node.relay.group.queue)
        await node.close()
        journal = node.writer.journal
        assert journal.last is not None and journal.last.ended
        assert journal.holds_all


def large_config() -> bytes:
    """Return a configuration of 1,700 routes in an operator's format."""
    draw = random.Random(1)
    routes = [
        {
            "name": f"r-{draw.randbytes(4).hex()}",
            "host": f"{draw.randbytes(3).hex()}.example",
            "prefix": f"/{draw.randbytes(4).hex()}/",
            "kind": "streaming",
            "timeoutMs": 10_000,
            "sloMs": 2_063,
            "priority": 2,
            "split": [{"service": "huvo11a", "weight": 90}],
            "attempts": 1,
            "public": False,
            "sticky": True,
        }
        for _ in range(1_700)
    ]
    return msgspec.json.encode({"version": 7, "routes": routes})


def test_large_table_reaches_twenty_followers_over_a_slow_link() -> None:
    """A configuration grows by 1,700 routes; a relay sends it to 20 VMs over 10 Mbit/s.

    Uncompressed, the frames filled its link for ten seconds. Its heartbeats were
    delayed, so that it was replaced, and the next relay sent the same frames; its own
    callers' requests were stalled meanwhile.
    """
    frame = TableTold("op", 9, [("config", large_config())], 3.5)
    data = encode_frame(frame)
    assert decode_frame(data) == frame
    assert 20 * 8 * len(data) <= 1.5 * 10_000_000


@pytest.mark.parametrize("cut", [1, 100])
def test_truncated_compressed_frame_is_an_error(cut: int) -> None:
    data = encode_frame(TableTold("op", 9, [("config", large_config())], 3.5))
    with pytest.raises(PeerError):
        decode_frame(data[:-cut])


def test_frame_over_the_size_limit_is_not_decompressed() -> None:
    with pytest.raises(PeerError):
        decode_frame(zlib.compress(bytes(MAX_FRAME_BYTES + 1)))


async def test_large_frames_are_sent_to_one_follower_after_the_other(
    zone: ZoneOfThree, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One follower does not read; the other still gets its frame."""
    relay = await zone.settle(zone.vms)
    first, second = relay.links
    sending: list[ServerConnection] = []
    most = 0

    async def send(socket: ServerConnection, data: bytes) -> None:
        nonlocal most
        sending.append(socket)
        most = max(most, len(sending))
        try:
            await anyio.sleep(60.0 if socket is first else 0.0)
        finally:
            sending.remove(socket)

    monkeypatch.setattr(relay, "send", send)
    monkeypatch.setattr(driver, "LARGE_WAIT_S", 0.05)
    frame = TableTold("op", 9, [("config", random.randbytes(50_000))], 3.5)
    with anyio.fail_after(WITHIN_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(relay.send_table, first, frame)
            tasks.start_soon(relay.send_table, second, frame)
    assert most == 1

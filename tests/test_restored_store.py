"""VMs on a store that comes back from a copy, without its latest transactions."""

from collections import Counter, defaultdict
from collections.abc import AsyncIterator
from typing import Any

import anyio
import httpx
import pytest

from fleet import Fleet, config_of
from godwitmast.dispatch.messages import Quarantine
from godwitmast.entry.crash_reports import Observation
from godwitmast.entry.stream_versions import KnownStream
from godwitmast.errors import PlatformError
from godwitmast.platform.daemon import Node
from godwitmast.platform.store import (
    CRASHES_TABLE,
    OWN_TABLE,
    restore_key,
)
from godwitmast.platform.wire import DRAINING, OPERATOR_TABLE, SERVERS_TABLE
from godwitmast.platform_api.feed import OLDER_GRACE_S, RETURN_GRACE_S
from godwitmast.platform_api.time_agreement import CLOCK_KEY
from godwitmast.standins.store import StoreBackup
from godwitmast.types import BackendId, PoolName
from godwitmast.usage.rows import NodeRow
from running import running
from usage_fleet import play_restores

pytestmark = pytest.mark.anyio

AWAY_S = 0.5
SLOW_CALL_S = 0.6
"""Added to each way of a call; with a little more, calls exceed their time-out."""

SETTLE_S = 6.0
"""By then all windows of a test are reported."""

RECORD_KEY = restore_key(2)
"""The row that records the first restore."""

Loss = Counter[int]


class RestoredFleet(Fleet):
    """VMs whose store tells its epoch and can be restored."""

    async def start(self, tasks: Any) -> None:
        self.settings = {"bootstrap": True, **self.settings}
        self.epoch = 1
        await super().start(tasks)
        # A VM that first hears of an epoch after a restore can't know of it.
        await self.wait_until(lambda: self.node.store.epoch.current == 1)

    async def add_vm(self, name: str, **changes: Any) -> Node:
        """Start one more VM, which doesn't belong to the first start of the system."""
        return await super().add_vm(name, **{"bootstrap": False, **changes})

    async def lose_seconds(self, lost_s: float, away_s: float = AWAY_S) -> None:
        """Lose what is written from now on, as the store then comes back from a copy."""
        backup = self.store.backup()
        await anyio.sleep(lost_s)
        self.store.faults.refusal_status = 503
        await anyio.sleep(away_s)
        self.come_back(backup)

    def write_rows(self, count: int) -> None:
        """Write rows in a table that no VM follows."""
        for number in range(count):
            self.store.put("other", str(number), b"")

    def come_back(self, backup: StoreBackup) -> None:
        """Restore a copy; operators and servers write their latest rows again."""
        latest = dict(self.store.rows)
        self.store.restore(backup)
        for table in (OPERATOR_TABLE, SERVERS_TABLE):
            rows = {key: row for key, row in latest.items() if key[0] == table}
            if rows:
                self.store.write([*rows.values()])
        self.store.faults.refusal_status = None


@pytest.fixture
async def fleet() -> AsyncIterator[RestoredFleet]:
    async with running(RestoredFleet()) as started:
        yield started


def counts_by_window(fleet: Fleet) -> dict[int, set[int]]:
    """Return the numbers of requests that were reported for each window."""
    counts = defaultdict(set)
    for report in fleet.store.reports:
        counts[report.window].add(sum(report.counts.values()))
    return counts


def reported_twice(fleet: Fleet) -> dict[int, set[int]]:
    windows = counts_by_window(fleet)
    return {window: counts for window, counts in windows.items() if len(counts) > 1}


def reported_requests(fleet: Fleet) -> int:
    return sum(max(counts) for counts in counts_by_window(fleet).values())


def shared_fences(fleet: Fleet) -> set[int]:
    """Return the fencing tokens under which more than one VM reported."""
    holders = defaultdict(set)
    for report in fleet.store.reports:
        holders[report.fence].add(report.holder)
    return {fence for fence, names in holders.items() if len(names) > 1}


async def send_requests(
    fleet: Fleet, http: httpx.AsyncClient, counted: Loss, stop: anyio.Event
) -> None:
    """Send requests to all VMs in turn until stopped."""
    while not stop.is_set():
        node: Node = fleet.nodes[counted.total() % len(fleet.nodes)]
        answer = await fleet.request(http, "/peek/1", node=node)
        assert answer.status_code == 200
        counted[0] += 1
        await anyio.sleep(0.02)


@pytest.mark.parametrize(("vms", "restores"), [(1, 1), (1, 2), (3, 1), (6, 2)])
@pytest.mark.parametrize("lost_s", [4.0, 9.0, 14.0])
@pytest.mark.parametrize("slow", ["none", "first", "last", "all"])
def test_each_window_is_reported_once_though_the_store_is_restored(
    vms: int, restores: int, lost_s: float, slow: str
) -> None:
    """Guards against windows that are frozen again, or without VMs that are slow, once the
    store forgot that they were.

    In virtual time: beside load, VMs over sockets need longer than a window's grace.
    """
    numbers = {"none": [], "first": [0], "last": [vms - 1], "all": range(vms)}[slow]
    played = play_restores(
        vms, restores, lost_s=lost_s, slow=dict.fromkeys(numbers, SLOW_CALL_S)
    )
    assert played.reported_twice == {}
    assert played.reported == played.counted
    assert played.store.late == 0


async def test_fencing_token_is_not_given_out_again_after_a_restore(
    fleet: RestoredFleet, http: httpx.AsyncClient
) -> None:
    """Guards against two holders with one fencing token, as its row went back."""
    other = await fleet.add_vm("front-2")
    await fleet.wait_until(lambda: len(fleet.store.reports) > 0)
    holder = next(node for node in fleet.nodes if node.lease.held)
    backup = fleet.store.backup()
    await holder.lease.close()
    successor = other if holder is fleet.node else fleet.node
    reports = len(fleet.store.reports)
    await fleet.wait_until(lambda: len(fleet.store.reports) > reports)
    third = await fleet.add_vm("front-3")
    fleet.store.faults.refusal_status = 503
    await successor.lease.close()
    await anyio.sleep(AWAY_S)
    fleet.come_back(backup)
    await fleet.wait_until(lambda: third.lease.held)
    reports = len(fleet.store.reports)
    await fleet.wait_until(lambda: len(fleet.store.reports) > reports)
    assert shared_fences(fleet) == set()
    assert reported_twice(fleet) == {}
    fences = [report.fence for report in fleet.store.reports]
    assert fences == sorted(fences)


async def test_configuration_after_a_restore_is_in_force(fleet: RestoredFleet) -> None:
    """Guards against a follower that asks for what comes after a version of lost rows."""
    await fleet.configure(2)
    backup = fleet.store.backup()
    fleet.write_rows(100)
    await fleet.configure(3)
    fleet.store.faults.refusal_status = 503
    await anyio.sleep(AWAY_S)
    fleet.store.restore(backup)
    fleet.store.put_config(config_of(4))
    # Others bring the store's counter past what the VM had read.
    fleet.write_rows(200)
    fleet.store.faults.refusal_status = None
    with anyio.fail_after(2.0):
        while fleet.node.config_version() != 4:
            await anyio.sleep(0.01)


async def test_leaving_server_gets_no_requests_while_its_row_is_an_older_one(
    fleet: RestoredFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a server that is ready again by the row of a restored store."""
    leaving, staying = fleet.plain
    for server in fleet.plain:
        server.publish_row("ready", sequence=1, born=1)
    await fleet.wait_until(lambda: len(fleet.node.driver.listed_backends) == 4)
    backup = fleet.store.backup()
    leaving.publish_row(DRAINING, sequence=2, born=1)
    await fleet.wait_until(
        lambda: fleet.node.driver.listed_backends[leaving.server_id].leaving
    )
    fleet.store.faults.refusal_status = 503
    await anyio.sleep(AWAY_S)
    fleet.store.restore(backup)
    fleet.store.put_config(config_of(1))
    fleet.store.faults.refusal_status = None
    received = len(leaving.served)
    for _ in range(60):
        await fleet.request(http, "/peek/1")
        await anyio.sleep(0.02)
    assert len(leaving.served) == received


async def test_evacuation_that_is_written_again_late_after_a_restore_holds(
    fleet: RestoredFleet,
) -> None:
    """Guards against requests to an evacuated zone while its row is lost."""
    backup = fleet.store.backup()
    fleet.store.put(OPERATOR_TABLE, "evacuate/z2", b"{}")
    await fleet.wait_until(lambda: "z2" in fleet.node.driver.evacuated)
    fleet.store.faults.refusal_status = 503
    await anyio.sleep(AWAY_S)
    fleet.store.restore(backup)
    fleet.store.faults.refusal_status = None
    await fleet.wait_until(lambda: fleet.node.store.epoch.current == 2)
    await anyio.sleep(RETURN_GRACE_S + 1.0)
    assert "z2" in fleet.node.driver.evacuated
    fleet.store.put(OPERATOR_TABLE, "evacuate/z2", b"{}")
    await anyio.sleep(OLDER_GRACE_S - RETURN_GRACE_S)
    assert "z2" in fleet.node.driver.evacuated


async def lose_power(node: Node) -> None:
    """End all calls of a VM, as if it had lost power."""
    await node.store.http.aclose()
    await node.store.duties.http.aclose()


async def test_windows_that_a_lost_holder_may_have_reported_are_held_back(
    fleet: RestoredFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a successor that reports lost windows with figures of its own."""
    successor = await fleet.add_vm("front-2")
    sent: Loss = Counter()
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_requests, fleet, http, sent, stop)
        await fleet.wait_until(lambda: len(fleet.store.reports) > 2)
        holder = next(node for node in fleet.nodes if node.lease.held)
        successor = next(node for node in fleet.nodes if node is not holder)
        backup = fleet.store.backup()
        await anyio.sleep(4.0)
        fleet.store.faults.refusal_status = 503
        await lose_power(holder)
        reports = len(fleet.store.reports)
        await anyio.sleep(AWAY_S)
        fleet.come_back(backup)
        await fleet.wait_until(lambda: len(fleet.store.reports) > reports + 1)
        stop.set()
    assert {report.holder for report in fleet.store.reports[reports:]} == {
        successor.settings.node
    }
    assert reported_twice(fleet) == {}
    assert successor.app.metrics.registry.get_sample_value(
        "godwit_usage_held_back_windows_total"
    )


async def test_last_usage_of_a_vm_that_stopped_is_not_lost_with_its_row(
    fleet: RestoredFleet, http: httpx.AsyncClient
) -> None:
    """Guards against usage of ended runs that only the lost transactions held."""
    stopping = await fleet.add_vm("front-2")
    await fleet.wait_until(lambda: fleet.node.lease.held)
    backup = fleet.store.backup()
    for _ in range(10):
        await fleet.request(http, "/peek/1", node=stopping)
    await stopping.writer.close()
    await fleet.wait_until(
        lambda: any(row.ended for row in fleet_rows(fleet.node).values())
    )
    await lose_power(stopping)
    fleet.store.faults.refusal_status = 503
    await anyio.sleep(AWAY_S)
    fleet.come_back(backup)
    await anyio.sleep(SETTLE_S)
    assert reported_twice(fleet) == {}
    assert reported_requests(fleet) == 10


def fleet_rows(node: Node) -> dict[str, NodeRow]:
    """Return the rows of ended runs that a holder knows of."""
    duty = next(duty for duty in node.lease.duty.duties if duty.name == "usage")
    return duty.ledger.ended_rows


async def test_crash_reports_are_written_again(fleet: RestoredFleet) -> None:
    """Guards against VMs that start without the crashes of the lost seconds."""
    reports = fleet.node.crash_reports
    backup = fleet.store.backup()
    quarantine = Quarantine("deadly", 30.0)
    now = fleet.node.agreed_clock.store_now()
    reports.pending["quarantine", "deadly"] = Observation(quarantine, now)
    await reports.write()
    key = (CRASHES_TABLE, f"{reports.own_prefix}0")
    assert key in fleet.store.rows
    fleet.come_back(backup)
    assert key not in fleet.store.rows
    await fleet.wait_until(lambda: key in fleet.store.rows)


async def test_crash_report_that_arrives_after_a_restore_is_written_again(
    fleet: RestoredFleet,
) -> None:
    """Guards against a crash that no other VM learns of: the table refused its report,
    as another VM had recorded a restore of which this one didn't know yet."""
    reports = fleet.node.crash_reports
    recorded = (OWN_TABLE, restore_key(2))
    fleet.store.put(*recorded, b"{}")
    now = fleet.node.agreed_clock.store_now()
    observed = Observation(Quarantine("deadly", 30.0), now)
    reports.pending["quarantine", "deadly"] = observed
    with pytest.raises(PlatformError):
        await reports.write()
    assert reports.pending
    fleet.store.remove(*recorded)
    await reports.write()
    assert not reports.pending
    keys = [key for table, key in fleet.store.rows if table == CRASHES_TABLE]
    assert len(keys) == 1


async def test_versions_of_streams_are_written_again(fleet: RestoredFleet) -> None:
    """Guards against streams that no other VM can take up, as their version is lost."""
    versions = fleet.node.stream_versions
    backup = fleet.store.backup()
    versions.known["stream/a"] = KnownStream(
        "v1", BackendId("e1"), versions.clock.now(), PoolName("lm")
    )
    versions.pending["stream/a"] = "v1"
    versions.changed.set()
    key = (OWN_TABLE, "stream/a")
    await fleet.wait_until(lambda: key in fleet.store.rows)
    fleet.come_back(backup)
    assert key not in fleet.store.rows
    await fleet.wait_until(lambda: key in fleet.store.rows)


async def test_clock_difference_is_stored_again(fleet: RestoredFleet) -> None:
    """Guards against VMs with another time of day, as the agreed one is lost."""
    key = (OWN_TABLE, CLOCK_KEY)
    await fleet.wait_until(lambda: key in fleet.store.rows)
    agreed = fleet.store.rows[key].value
    backup = fleet.store.backup()
    del backup.rows[key]
    fleet.come_back(backup)
    await fleet.wait_until(lambda: key in fleet.store.rows)
    assert fleet.store.rows[key].value == agreed


async def test_clock_difference_is_stored_again_though_an_answer_is_lost(
    fleet: RestoredFleet,
) -> None:
    """Guards against a row that is lost as the call that recorded the restore, or the one
    that writes the row again, got no answer."""
    key = (OWN_TABLE, CLOCK_KEY)
    await fleet.wait_until(lambda: key in fleet.store.rows)
    agreed = fleet.store.rows[key].value
    backup = fleet.store.backup()
    del backup.rows[key]
    transact = fleet.store.transact
    lost = set()

    def lose_answer(transaction: Any) -> tuple[int, bytes]:
        puts = {item["key"] for item in transaction["puts"]}
        if CLOCK_KEY in puts - lost:
            lost.add(CLOCK_KEY)
            raise ConnectionError
        answer = transact(transaction)
        if RECORD_KEY in puts - lost:
            lost.add(RECORD_KEY)
            raise ConnectionError
        return answer

    fleet.store.transact = lose_answer
    fleet.come_back(backup)
    await fleet.wait_until(lambda: key in fleet.store.rows)
    await fleet.wait_until(lambda: lost == {CLOCK_KEY, RECORD_KEY})
    assert fleet.store.rows[key].value == agreed


async def test_vm_that_starts_between_two_restores_reports_no_window_twice(
    fleet: RestoredFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a VM that knows only the restored table."""
    sent: Loss = Counter()
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_requests, fleet, http, sent, stop)
        await fleet.wait_until(lambda: len(fleet.store.reports) > 2)
        await fleet.lose_seconds(3.0)
        newcomer = await fleet.add_vm("front-2")
        await fleet.lose_seconds(2.0)
        reports = len(fleet.store.reports)
        await lose_power(fleet.node)
        await fleet.wait_until(lambda: newcomer.lease.held)
        await fleet.wait_until(lambda: len(fleet.store.reports) > reports + 2)
        stop.set()
    assert reported_twice(fleet) == {}
    assert shared_fences(fleet) == set()

"""The client of the platform's store, over sockets."""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from fleet import settings_of
from godwitmast.errors import PlatformOutcomeUnknown, PlatformUnavailable
from godwitmast.platform.settings import PlatformFile
from godwitmast.platform.store import StoreClient
from godwitmast.platform.wire import OPERATOR_TABLE
from godwitmast.platform_api.epoch import epoch_of
from godwitmast.platform_api.http import MAX_OPEN_CALLS
from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.port import HistoryLost
from godwitmast.settings import check_settings
from godwitmast.standins.store import StoreStandin
from running import running

pytestmark = pytest.mark.anyio

WITHIN_S = 10.0
NO_TIMEOUT_S = 60.0


@pytest.fixture
async def store() -> AsyncIterator[StoreStandin]:
    async with running(StoreStandin()) as started:
        yield started


@pytest.fixture
async def client(store: StoreStandin) -> AsyncIterator[StoreClient]:
    raw = settings_of(store.server.port)
    client = StoreClient(check_settings(raw, PlatformFile, "settings"))
    client.http.timeout = httpx.Timeout(NO_TIMEOUT_S)
    yield client
    await client.close()


async def cancel_calls(client: StoreClient, count: int) -> None:
    """Make calls that get no answer, and cancel them together."""
    with anyio.move_on_after(0.2):
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(client.read, ["a"])
                tasks.start_soon(client.changes, OPERATOR_TABLE, 0, 10.0)


async def wait_for_calls(store: StoreStandin, count: int) -> None:
    with anyio.fail_after(WITHIN_S):
        while len(store.calls) < count:
            await anyio.sleep(0.01)


async def test_calls_are_answered_after_others_were_cancelled(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against a connection pool that cancelled calls leave without a place."""
    store.faults.silent = True
    await cancel_calls(client, 20)
    store.faults.silent = False
    with anyio.fail_after(WITHIN_S):
        await client.snapshot(OPERATOR_TABLE)
        assert await client.read(["a"]) == {}


async def test_open_calls_are_bounded_and_do_not_hold_up_calls_for_changes(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against calls for changes that queue behind calls without an answer."""
    store.faults.silent = True
    async with anyio.create_task_group() as tasks:
        for _ in range(2 * MAX_OPEN_CALLS):
            tasks.start_soon(client.read, ["a"])
        await wait_for_calls(store, MAX_OPEN_CALLS)
        store.faults.silent = False
        with anyio.fail_after(WITHIN_S):
            await client.snapshot(OPERATOR_TABLE)
        assert len(store.calls) == MAX_OPEN_CALLS + 1
        tasks.cancel_scope.cancel()


async def test_call_that_finds_too_many_open_is_not_sent(
    store: StoreStandin, client: StoreClient
) -> None:
    client.timeout_s = 0.2
    store.faults.silent = True
    async with anyio.create_task_group() as tasks:
        for _ in range(MAX_OPEN_CALLS):
            tasks.start_soon(client.read, ["a"])
        await wait_for_calls(store, MAX_OPEN_CALLS)
        with pytest.raises(PlatformUnavailable):
            await client.read(["b"])
        assert len(store.calls) == MAX_OPEN_CALLS
        tasks.cancel_scope.cancel()


async def write(client: StoreClient, key: str, value: str) -> int:
    """Write a row without a check, and return its version."""
    outcome = await client.transact({}, {key: value})
    assert isinstance(outcome, Written)
    return outcome.versions[key]


async def test_transaction_of_before_a_restore_is_not_performed_after_it(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against a late write whose expected versions were given out again."""
    store.epoch = 1
    version = await write(client, "a", "old")
    backup = store.backup()
    store.faults.late_s = 0.5
    with anyio.move_on_after(0.2):
        await client.transact({"a": version}, {"a": "late"})
    store.faults.late_s = 0.0
    store.restore(backup)
    assert (await client.read(["a"]))["a"].value == "old"
    await write(client, "b", "first write after the restore")
    await anyio.sleep(0.6)
    assert (await client.read(["a"]))["a"].value == "old"


async def test_late_transaction_fails_though_a_second_restore_lost_the_first(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against a record of restores that a restore loses."""
    store.epoch = 1
    version = await write(client, "a", "old")
    backup = store.backup()
    store.faults.late_s = 0.5
    with anyio.move_on_after(0.2):
        await client.transact({"a": version}, {"a": "late"})
    store.faults.late_s = 0.0
    for _ in range(2):
        store.restore(backup)
        await client.read(["a"])
        await write(client, "b", "first write after a restore")
    await anyio.sleep(0.6)
    assert (await client.read(["a"]))["a"].value == "old"


async def test_version_of_before_a_restore_is_in_conflict(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against compare-and-set on a version that another write has by now."""
    store.epoch = 1
    version = await write(client, "a", "old")
    store.restore(store.backup())
    row = (await client.read(["a"]))["a"]
    assert row.version > version
    calls = len(store.calls)
    assert isinstance(await client.transact({"a": version}, {"a": "new"}), Conflict)
    assert len(store.calls) <= calls + 1
    outcome = await client.transact({"a": row.version}, {"a": "new"})
    assert isinstance(outcome, Written)


async def test_there_is_no_history_across_a_restore(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against changes after a version that the table has reached a second time."""
    store.epoch = 1
    snapshot = await client.snapshot(OPERATOR_TABLE)
    store.restore(store.backup())
    for number in range(5):
        store.put(OPERATOR_TABLE, "config", b"%d" % number)
    found = await client.changes(OPERATOR_TABLE, snapshot.version, 0.0)
    assert isinstance(found, HistoryLost)


async def test_answer_of_before_a_restore_is_refused(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against a late answer that takes a VM back to before a restore."""
    store.epoch = 2
    await client.snapshot(OPERATOR_TABLE)
    store.epoch = 1
    with pytest.raises(PlatformOutcomeUnknown):
        await client.read(["a"])
    assert client.epoch.current == 2


@pytest.mark.parametrize("header", [None, "", "x", "-1", "1.5", "9" * 30])
async def test_store_without_a_readable_epoch_is_used_as_before(
    store: StoreStandin, client: StoreClient, header: str | None
) -> None:
    """Guards against a header that keeps a VM from the store."""
    store.epoch = header  # type: ignore[assignment]
    version = await write(client, "a", "1")
    assert epoch_of(version) == 0
    assert isinstance(await client.transact({"a": version}, {"a": "2"}), Written)
    assert store.calls.count("/api/rows-tx") == 2


async def test_epoch_that_stays_costs_no_call(
    store: StoreStandin, client: StoreClient
) -> None:
    """Guards against calls for a restore that has not happened."""
    store.epoch = 7
    version = await write(client, "a", "1")
    await client.transact({"a": version}, {"a": "2"})
    assert store.calls.count("/api/rows-tx") == 2
    assert len(store.calls) == 2

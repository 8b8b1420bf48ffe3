"""The client of the platform's store, over sockets."""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from fleet import settings_of
from godwitmast.errors import PlatformUnavailable
from godwitmast.platform.settings import PlatformFile
from godwitmast.platform.store import StoreClient
from godwitmast.platform.wire import OPERATOR_TABLE
from godwitmast.platform_api.http import MAX_OPEN_CALLS
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

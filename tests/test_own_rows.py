"""The router's own rows in the platform's table, written by another program."""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from fleet import Fleet
from godwitmast.platform.store import CRASHES_TABLE, OWN_TABLE
from running import running
from test_foreign_rows import UNREADABLE

pytestmark = pytest.mark.anyio

FOREIGN = {
    "lists": UNREADABLE["open lists"],
    "closed lists": UNREADABLE["closed lists"],
    "not text": UNREADABLE["not text"],
    "no bytes": b"",
    "null": b"null",
    "an object": b"{}",
    "a list": b"[]",
    "a text": b'"x"',
    "other fields": b'{"holder": [], "fence": "x", "frozen": {}, "segments": 7}',
}


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


def own_keys(fleet: Fleet) -> set[str]:
    return {key for table, key in fleet.store.rows if table == OWN_TABLE}


@pytest.mark.parametrize("content", FOREIGN.values(), ids=FOREIGN.keys())
async def test_foreign_bytes_under_own_keys_end_no_vm(
    fleet: Fleet, http: httpx.AsyncClient, content: bytes
) -> None:
    """Guards against rows of another writer under the keys of the router's own."""
    await fleet.request(http, "/peek/1")
    await fleet.wait_until(
        lambda: {"clock", "usage/head", "usage/reported"} <= own_keys(fleet)
    )
    for key in own_keys(fleet):
        fleet.store.put(OWN_TABLE, key, content)
    for key in ("node/other", "usage/window/000000000001", "lease/x/beat", "stream/x"):
        fleet.store.put(OWN_TABLE, key, content)
    fleet.store.put(CRASHES_TABLE, "crash/other", content)
    await anyio.sleep(1.0)
    new = await fleet.add_vm("front-2")
    await anyio.sleep(1.0)
    for node in (fleet.node, new):
        answer = await fleet.request(http, "/peek/1", node=node)
        assert answer.status_code == 200


async def test_foreign_row_of_a_run_does_not_stop_the_reports_of_usage(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against one row of another writer that holds all usage back."""
    for content in FOREIGN.values():
        fleet.store.put(OWN_TABLE, f"node/{len(content)}", content)
    await fleet.request(http, "/peek/1")
    await fleet.wait_until(lambda: fleet.store.reports)

"""Backend servers that state in their answers that they are leaving."""

from collections.abc import AsyncIterator

import httpx
import pytest

from fleet import Fleet
from godwitmast.platform.wire import READY
from godwitmast.standins.replica import ReplicaStandin
from running import running

pytestmark = pytest.mark.anyio


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


async def send(
    fleet: Fleet, http: httpx.AsyncClient, path: str, count: int
) -> list[int]:
    """Send requests one after the other; return the statuses of the answers."""
    answers = [await fleet.request(http, path, "POST") for _ in range(count)]
    return [answer.status_code for answer in answers]


async def send_until_stated(
    fleet: Fleet, http: httpx.AsyncClient, path: str, server: ReplicaStandin
) -> None:
    """Send requests until the server has answered one."""
    while not server.served and not server.shed:
        await fleet.request(http, path, "POST")


@pytest.mark.parametrize("row", ["unchanged", "written_anew", "store_away"])
async def test_server_that_says_it_leaves_gets_no_request_while_its_row_is_ready(
    fleet: Fleet, http: httpx.AsyncClient, row: str
) -> None:
    """Guards against a row that counts more than the answers of the server itself."""
    if row == "store_away":
        fleet.store.faults.refusal_status = 503
    leaving = fleet.plain[0]
    leaving.faults.leaving = True
    await send_until_stated(fleet, http, "/pay/1", leaving)
    if row == "written_anew":
        leaving.publish_row(READY, coldLeftMs=1)
        listed = fleet.node.driver.listed_backends
        await fleet.wait_until(lambda: fleet.node.driver.listed_backends is not listed)
    before = len(leaving.served)
    assert await send(fleet, http, "/pay/1", 12) == [200] * 12
    assert len(leaving.served) == before

"""Backend servers that state in their answers that they are leaving."""

from collections.abc import AsyncIterator

import httpx
import pytest

from fleet import Fleet
from godwitmast.dispatch.departures import RETENTION_S, Departures
from godwitmast.platform.wire import READY
from godwitmast.standins.replica import ReplicaFaults, ReplicaStandin
from godwitmast.types import BackendId
from running import running

SERVER = BackendId("s1")

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


@pytest.mark.parametrize(
    ("path", "faults"),
    [
        ("/chat/1", ReplicaFaults(leaving=True)),
        ("/pay/1", ReplicaFaults(leaving=True, status=500)),
        ("/peek/1", ReplicaFaults(leaving=True, status=500)),
        ("/peek/1", ReplicaFaults(leaving=True, sheds=True)),
        ("/chat/1", ReplicaFaults(leaving=True, cut_after=2)),
    ],
    ids=["stream", "error", "retried", "rejection", "broken_stream"],
)
async def test_each_kind_of_answer_says_that_its_server_leaves(
    fleet: Fleet, http: httpx.AsyncClient, path: str, faults: ReplicaFaults
) -> None:
    """Guards against a statement that is read in some answers only."""
    leaving = (fleet.engines if path == "/chat/1" else fleet.plain)[0]
    leaving.faults = faults
    await send_until_stated(fleet, http, path, leaving)
    leaving.faults = ReplicaFaults()
    before = len(leaving.served)
    assert await send(fleet, http, path, 12) == [200] * 12
    assert len(leaving.served) == before


async def test_server_that_started_again_under_its_id_is_used(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a statement that outlives the start of the server that made it."""
    server = fleet.plain[0]
    server.faults.leaving = True
    await send_until_stated(fleet, http, "/pay/1", server)
    server.faults.leaving = False
    before = len(server.served)
    server.publish_row(READY, born=1_780_000_000_000)
    await fleet.wait_until(lambda: not fleet.node.driver.count_departures())
    assert await send(fleet, http, "/pay/1", 12) == [200] * 12
    assert len(server.served) > before


async def test_pool_whose_servers_all_leave_refuses_what_it_did_not_run(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    for server in fleet.plain:
        server.faults.leaving = True
    while fleet.node.driver.count_departures() < len(fleet.plain):
        await fleet.request(http, "/pay/1", "POST")
    before = sum(len(server.served) for server in fleet.plain)
    answer = await fleet.request(http, "/pay/1", "POST")
    assert (answer.status_code, answer.headers["godwit-not-run"]) == (503, "true")
    assert float(answer.headers["retry-after"]) > 0
    assert sum(len(server.served) for server in fleet.plain) == before


async def test_open_stream_of_a_server_that_leaves_is_completed(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against streams that are cut as their server says that it leaves."""
    for engine in fleet.engines:
        engine.faults.leaving, engine.events = True, 30
    answer = await fleet.request(http, "/digest/1", "POST")
    assert answer.text.count("id: ") == 30


def test_departure_holds_for_one_start_of_a_server() -> None:
    departures = Departures()
    assert departures.record_statement(SERVER, 1, now=0.0)
    assert not departures.record_statement(SERVER, 1, now=1.0)
    departures.update({SERVER: 1}, now=2.0)
    assert departures.is_leaving(SERVER, 1)
    assert not departures.is_leaving(SERVER, 2)
    departures.update({SERVER: 2}, now=3.0)
    assert not departures.by_server


def test_departure_outlasts_an_outage_in_which_the_list_loses_its_server() -> None:
    """Guards against a server that is used again as its entry comes back."""
    departures = Departures()
    departures.record_statement(SERVER, 1, now=0.0)
    departures.update({SERVER: 1}, now=50.0)
    departures.update({}, now=50.0 + RETENTION_S - 1)
    assert departures.is_leaving(SERVER, 1)
    departures.update({}, now=50.0 + RETENTION_S)
    assert not departures.by_server

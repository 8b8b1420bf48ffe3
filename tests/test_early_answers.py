"""Answers that begin, or end, before their request has been sent."""

import ssl
from collections.abc import AsyncIterator

import anyio
import httpx
import pytest
import trustme

from fleet import PROMPT, Fleet
from godwitmast.backends.client import AttemptFailed, BackendClient
from godwitmast.config.document import AnswerLimits
from godwitmast.dispatch.messages import FailureKind
from godwitmast.platform.wire import READY
from godwitmast.standins.early import EarlyServer, Ending
from godwitmast.types import PoolName
from partition import Cut, Partition
from running import running

pytestmark = pytest.mark.anyio

UPLOAD = b"u" * 300_000
"""Fits into the sender's buffers, so that writing it doesn't fail."""

POOL = PoolName("app")
PATHS = ["/pay/1", "/peek/1", "/digest/1", "/chat/1"]


@pytest.fixture(params=[0, 300], ids=["memory unbounded", "memory bounded"])
async def fleet(request: pytest.FixtureRequest) -> AsyncIterator[Fleet]:
    settings = {"limits": {"memoryMb": request.param}} if request.param else {}
    fleet = Fleet(settings=settings)
    async with running(fleet):
        await fleet.configure(2, limits={"maxBodyBytes": 1_000_000})
        yield fleet


async def replace_servers(fleet: Fleet, early: EarlyServer) -> None:
    """Have an early server stand in for all servers, and wait until the VMs know."""
    await early.start(fleet.tasks)
    for replica in fleet.replicas:
        replica.port = early.port
        replica.publish_row(READY)

    def known() -> bool:
        return all(
            {httpx.URL(url).port for url in node.driver.urls.values()} == {early.port}
            for node in fleet.nodes
        )

    await fleet.wait_until(known)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("wait_s", [0.0, 0.1])
async def test_answer_that_is_reset_while_its_request_is_sent_is_not_complete(
    fleet: Fleet, http: httpx.AsyncClient, path: str, wait_s: float
) -> None:
    """Guards against a part of an answer that its caller gets as all of it: the server
    ends its side, and resets the connection before it has taken the request."""
    await replace_servers(fleet, EarlyServer(Ending.RESET, wait_s))
    answer = await fleet.request(http, path, "POST", UPLOAD, **PROMPT)
    assert answer.status_code == 502
    assert "server-seal" not in answer.headers


@pytest.mark.parametrize("path", ["/pay/1", "/peek/1"])
async def test_answer_of_a_server_that_takes_no_more_of_its_request_is_not_complete(
    fleet: Fleet, http: httpx.AsyncClient, path: str
) -> None:
    await replace_servers(fleet, EarlyServer(Ending.STALL))
    with anyio.fail_after(10):
        answer = await fleet.request(http, path, "POST", UPLOAD)
    assert answer.status_code in (502, 504)


@pytest.mark.parametrize("size", [0, len(UPLOAD)])
async def test_early_answer_of_a_server_that_reads_on_is_whole(
    fleet: Fleet, http: httpx.AsyncClient, size: int
) -> None:
    """Guards against sound servers that may answer before they have read a long body."""
    early = EarlyServer(Ending.READ_ON, body=b"all of it")
    await replace_servers(fleet, early)
    answer = await fleet.request(http, "/pay/1", "POST", UPLOAD[:size])
    assert (answer.status_code, answer.content) == (200, b"all of it")
    assert early.requests == 1


async def test_part_of_an_answer_is_not_complete_through_another_vm(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a part that becomes whole as another VM passes it on."""
    await fleet.add_vm("front-2")
    early = EarlyServer(Ending.READ_ON)
    await replace_servers(fleet, early)
    await fleet.wait_until(lambda: len(fleet.rows_of_vms()) == 2)
    Partition(fleet.node).set(Cut.RESET)
    forwarder = fleet.node.forwarder
    with anyio.fail_after(10):
        while not forwarder.choice.is_available(POOL, fleet.node.clock.now()):
            await fleet.request(http, "/peek/1")
    answer = await fleet.request(http, "/pay/1", "POST", UPLOAD)
    assert answer.status_code == 200
    early.ending = Ending.RESET
    answer = await fleet.request(http, "/pay/1", "POST", UPLOAD)
    assert answer.status_code == 502
    assert "server-seal" not in answer.headers


@pytest.mark.parametrize("is_secured", [False, True], ids=["plain", "TLS"])
@pytest.mark.parametrize("ending", [Ending.RESET, Ending.STALL, Ending.READ_ON])
async def test_early_end_of_an_answer_below_tls(
    ending: Ending, is_secured: bool
) -> None:
    """Guards against an end of the connection that the TLS layer reports as usual."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    trustme.CA().issue_cert("127.0.0.1").configure_cert(context)
    early = EarlyServer(ending, tls=context if is_secured else None)
    client = BackendClient(tls=ssl._create_unverified_context())
    scheme = "https" if is_secured else "http"
    outcomes: list[bytes | FailureKind] = []
    async with anyio.create_task_group() as tasks:
        await early.start(tasks)
        server = f"{scheme}://127.0.0.1:{early.port}"
        length = [("content-length", str(len(UPLOAD)))]
        try:
            async with client.exchange("POST", server, "/", length, UPLOAD) as answer:
                outcomes.append(await answer.aread())
        except AttemptFailed as failure:
            outcomes.append(failure.kind)
        await client.close()
        tasks.cancel_scope.cancel()
    whole = ending is Ending.READ_ON
    assert outcomes == [b"a part" if whole else FailureKind.CUT]


@pytest.mark.parametrize("status", [b"000", b"600", b"999", b"101"])
@pytest.mark.parametrize("path", PATHS)
async def test_status_that_is_none_is_no_answer(
    fleet: Fleet, http: httpx.AsyncClient, path: str, status: bytes
) -> None:
    """Guards against bytes that are no answer in the protocol, passed on as one."""
    early = EarlyServer(Ending.READ_ON, status=status, stated_length=6)
    await replace_servers(fleet, early)
    answer = await fleet.request(http, path, "POST", b"short", **PROMPT)
    assert answer.status_code == 502
    assert "server-seal" not in answer.headers


@pytest.mark.parametrize("status", [b"600", b"999"])
async def test_status_that_is_none_is_no_document(status: bytes) -> None:
    """Guards against health checks, load polls and the store's answers with such one."""
    client = BackendClient()
    client.set_limits(AnswerLimits())
    async with anyio.create_task_group() as tasks:
        early = EarlyServer(Ending.READ_ON, body=b"{}", status=status, stated_length=2)
        await early.start(tasks)
        with pytest.raises(httpx.RemoteProtocolError):
            await client.http.get(f"http://127.0.0.1:{early.port}/")
        await client.close()
        tasks.cancel_scope.cancel()

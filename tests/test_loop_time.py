"""Short time-outs of a VM whose event loop stands still."""

import asyncio
import ssl
import time
from collections.abc import AsyncIterator

import anyio
import httpx
import pytest
import trustme
from anyio.abc import SocketStream

from fleet import PROMPT, Fleet
from godwitmast.backends.client import CONNECT_TIMEOUT_S, AttemptFailed, BackendClient
from godwitmast.dispatch.connectivity import ProbeOutcome
from godwitmast.dispatch.messages import FailureKind
from godwitmast.entry.forwarding import ASK_TIMEOUT_S
from godwitmast.entry.stream_versions import FIND_S, OWN_CONFIRM_S, ListCheck
from godwitmast.loop_time import TICKS, fail_after_loop_time
from godwitmast.platform.wire import READY
from godwitmast.platform_api.confirmation import Confirmation
from godwitmast.standins.early import EarlyServer, Ending
from godwitmast.types import BackendId, PoolName
from mixed_fleet import MixedFleet
from running import running
from stalled_loop import stall_loop

pytestmark = pytest.mark.anyio

STALL_S = CONNECT_TIMEOUT_S + 0.1
LAST_TURN = 14
"""Turns of the loop after which a connection is open, also with TLS, and some more."""


@pytest.fixture
async def client() -> AsyncIterator[BackendClient]:
    client = BackendClient(tls=ssl._create_unverified_context())
    yield client
    await client.close()


async def exchange(client: BackendClient, url: str) -> bytes:
    async with client.exchange("POST", url, "/", [], b"") as answer:
        return await answer.aread()


@pytest.mark.parametrize("is_secured", [False, True], ids=["plain", "TLS"])
@pytest.mark.parametrize("turn", range(1, LAST_TURN, 2))
async def test_connection_that_was_opening_as_the_loop_stood_still_is_used(
    client: BackendClient, turn: int, is_secured: bool
) -> None:
    """Guards against servers that are ejected because the VM itself was suspended."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    trustme.CA().issue_cert("127.0.0.1").configure_cert(context)
    server = EarlyServer(Ending.READ_ON, tls=context if is_secured else None)
    async with anyio.create_task_group() as tasks:
        await server.start(tasks)
        scheme = "https" if is_secured else "http"
        with stall_loop(STALL_S, turn):
            answer = await exchange(client, f"{scheme}://127.0.0.1:{server.port}")
        tasks.cancel_scope.cancel()
    assert answer == b"a part"


async def test_server_that_does_not_secure_its_connection_is_left_in_time(
    client: BackendClient,
) -> None:
    """Guards against connections that stay open once their request went elsewhere."""
    ended = anyio.Event()

    async def read(caller: SocketStream) -> None:
        async with caller:
            async for _ in caller:
                pass
        ended.set()

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, read)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        began_at = time.monotonic()
        with pytest.raises(AttemptFailed) as failure:
            await exchange(client, f"https://127.0.0.1:{port}")
        assert failure.value.kind is FailureKind.CONNECT
        assert time.monotonic() >= began_at + CONNECT_TIMEOUT_S
        with anyio.fail_after(5):
            await ended.wait()
        tasks.cancel_scope.cancel()


async def test_pauses_count_for_a_tick_at_most() -> None:
    turns = 0
    error = pytest.raises(TimeoutError, match=r"0\.12 s of the event loop, 0\.\d+ s")
    with error, fail_after_loop_time(0.12):
        while True:
            await asyncio.sleep(0.001)
            time.sleep(0.06)
            turns += 1
    assert turns >= TICKS - 1


async def test_servers_stay_in_rotation_as_their_vm_stands_still(
    http: httpx.AsyncClient,
) -> None:
    """Guards against requests that wait for servers that were sound all along."""
    fleet = Fleet()
    async with running(fleet):
        await fleet.configure(2)
        # Closes each connection, so that each request opens one.
        server = EarlyServer(Ending.READ_ON, wait_s=0.0)
        await server.start(fleet.tasks)
        for replica in fleet.replicas:
            replica.port = server.port
            replica.publish_row(READY)
        driver = fleet.node.driver

        def all_moved() -> bool:
            ports = {httpx.URL(url).port for url in driver.urls.values()}
            return ports == {server.port}

        await fleet.wait_until(all_moved)
        assert driver.router is not None
        for turn in range(2, 36, 3):
            with stall_loop(STALL_S, turn):
                answer = await fleet.request(http, "/peek/1", "POST", **PROMPT)
            assert answer.status_code == 200
            states = driver.router.backends.states.values()
            assert all(state.health.is_in_rotation() for state in states)


async def test_silent_server_fails_its_probe_although_the_loop_is_late() -> None:
    """Guards against a VM that is cut off and has much work, and never finds out."""
    fleet = Fleet()
    async with running(fleet):
        probes = fleet.node.probes
        probes.connect = lambda host, port: anyio.sleep_forever()

        async def be_late() -> None:
            while True:
                time.sleep(CONNECT_TIMEOUT_S / 3)
                await anyio.sleep(0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(be_late)
            outcome = await probes.try_connecting(BackendId("e1"))
            tasks.cancel_scope.cancel()
        assert outcome is ProbeOutcome.FAILED


async def test_vm_that_stood_still_as_it_asked_another_has_its_answer() -> None:
    """Guards against requests that are refused, as another VM seems not to answer."""
    fleet = Fleet()
    async with running(fleet):
        await fleet.configure(2)
        other = await fleet.add_vm("front-2")
        await fleet.wait_until(lambda: other.config_version() == 2)
        forwarder = fleet.node.forwarder
        await fleet.wait_until(lambda: len(fleet.rows_of_vms()) == 2)
        assert await forwarder.read_peers()
        [state] = forwarder.choice.states.values()
        for turn in range(1, 40, 5):
            with stall_loop(ASK_TIMEOUT_S + 0.1, turn):
                await forwarder.ask(state.peer, PoolName("app"))


@pytest.fixture
async def mixed_fleet() -> AsyncIterator[MixedFleet]:
    async with running(MixedFleet()) as fleet:
        yield fleet


async def test_stream_is_found_by_a_vm_that_stood_still(
    mixed_fleet: MixedFleet, http: httpx.AsyncClient
) -> None:
    """Guards against streams that are refused, as the time for the look-up ran out while
    the VM was suspended."""
    fleet = mixed_fleet
    await fleet.wait_until(
        lambda: all(node.relay.batches_writes for node in fleet.nodes)
    )
    url = fleet.url + "/chat/1"
    async with http.stream("GET", url, headers=fleet.headers("s1")) as answer:
        await anext(answer.aiter_raw())
    [begun] = fleet.streams()
    # The stream's row isn't written yet.
    asyncio.get_running_loop().call_later(0.1, time.sleep, FIND_S + 0.1)
    answer = await fleet.resume(http, fleet.nodes[1], "1", "s1")
    assert answer.status_code == 200
    assert {engine.version for engine in fleet.streams()} == {begun.version}


async def test_list_is_confirmed_for_own_streams_of_a_vm_that_stood_still(
    mixed_fleet: MixedFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against streams that go on without a look at the list."""
    streams = mixed_fleet.node.stream_versions

    async def confirm_late() -> bool:
        await anyio.sleep(0.1)
        await anyio.sleep(0.01)
        return True

    monkeypatch.setattr(Confirmation, "is_overdue", True)
    monkeypatch.setattr(streams.confirmation, "up_to_now", confirm_late)
    asyncio.get_running_loop().call_later(0.05, time.sleep, OWN_CONFIRM_S + 0.1)
    check = ListCheck()
    await streams.confirm_overdue_list(check)
    assert check.confirmed

"""What the pool of connections to servers does for each request, and for idle ones."""

import os
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from godwitmast.backends.client import BackendClient
from godwitmast.backends.transport import HeadCountingNetwork, HeadCountingStream
from godwitmast.sockets import DEAD_PEER_OPTIONS
from godwitmast.tls import tls_without_authorities

pytestmark = pytest.mark.anyio

SERVERS, REQUESTS = 12, 10
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest.fixture
async def connection() -> AsyncIterator[tuple[HeadCountingStream, SocketStream]]:
    """Yield a connection of the client, and its server's end."""
    accepted: list[SocketStream] = []

    async def serve(stream: SocketStream) -> None:
        accepted.append(stream)
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        stream = await HeadCountingNetwork(1000).connect_tcp("127.0.0.1", port)
        assert isinstance(stream, HeadCountingStream)
        while not accepted:
            await anyio.sleep(0.001)
        yield stream, accepted[0]
        tasks.cancel_scope.cancel()
        await stream.aclose()
        await listener.aclose()


async def wait_readable(stream: HeadCountingStream) -> None:
    with anyio.fail_after(5):
        while not stream.get_extra_info("is_readable"):
            await anyio.sleep(0.001)


async def test_idle_connection_shows_bytes_and_its_end(
    connection: tuple[HeadCountingStream, SocketStream],
) -> None:
    """Guards against a request on a connection that its server has closed."""
    stream, server = connection
    assert not stream.get_extra_info("is_readable")
    await server.send(b"x")
    await wait_readable(stream)
    assert await stream.read(1) == b"x"
    assert not stream.get_extra_info("is_readable")
    await server.aclose()
    await wait_readable(stream)


async def test_closed_connection_counts_as_ended_whoever_has_its_number(
    connection: tuple[HeadCountingStream, SocketStream],
) -> None:
    """Guards against a look at another socket that got the number of a closed one."""
    stream, _ = connection
    assert not stream.get_extra_info("is_readable")
    number = stream.socket.fileno()
    await stream.aclose()
    async with await anyio.create_udp_socket(local_host="127.0.0.1") as other:
        await anyio.sleep(0.01)
        raw = other.extra(anyio.abc.SocketAttribute.raw_socket)
        if raw.fileno() != number:
            os.dup2(raw.fileno(), number)
        assert stream.get_extra_info("is_readable")
        if raw.fileno() != number:
            os.close(number)


async def test_sockets_of_idle_connections_are_looked_up_once(
    connection: tuple[HeadCountingStream, SocketStream],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a look-up of the socket of each idle connection, twice a request,
    which took as long as the rest of the pool's work."""
    looked_up: Counter[str] = Counter()
    kind = type(connection[0].stream)
    get_extra_info = kind.get_extra_info

    def counted(stream: Any, info: str) -> Any:
        looked_up[info] += 1
        return get_extra_info(stream, info)

    async def serve(stream: SocketStream) -> None:
        async with stream:
            async for _ in stream:
                await stream.send(ANSWER)

    async def call(client: BackendClient, url: str) -> None:
        async with client.exchange("GET", url, "/", [], b"") as answer:
            assert await answer.aread() == b"ok"

    monkeypatch.setattr(kind, "get_extra_info", counted)
    client = BackendClient(
        socket_options=DEAD_PEER_OPTIONS, tls=tls_without_authorities()
    )
    async with anyio.create_task_group() as tasks:
        urls = []
        for _ in range(SERVERS):
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, serve)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            urls.append(f"http://127.0.0.1:{port}")
        for url in urls:
            await call(client, url)
        looked_up.clear()
        for _ in range(REQUESTS):
            await call(client, urls[0])
        assert looked_up["is_readable"] + looked_up["socket"] <= SERVERS
        await client.close()
        tasks.cancel_scope.cancel()

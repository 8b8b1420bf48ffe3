"""Answers that stop within their head."""

import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from godwitmast.backends.answer_limits import read_raw
from godwitmast.backends.client import AttemptFailed, BackendClient
from godwitmast.dispatch.messages import FailureKind
from godwitmast.standins.unframed import RESET_ON_CLOSE

pytestmark = pytest.mark.anyio

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s.a1\r\nContent-Type: text/plain\r\n"
WHOLE = {
    "length": HEAD + b"Content-Length: 4\r\n\r\ndone",
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    "close": HEAD + b"\r\ndone",
    "after an interim answer": b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
    + HEAD
    + b"Content-Length: 4\r\n\r\ndone",
}


@dataclass
class TruncatingServer:
    """Answers each request with the first bytes of an answer, and ends the connection."""

    content: bytes = b""
    resets: bool = False
    answered: int = 0
    keeps: int = 0
    """Number of answers on each connection that are whole, before the truncated one."""
    whole: bytes = b""
    url: str = ""

    async def serve(self, caller: SocketStream) -> None:
        async with caller:
            for _ in range(self.keeps):
                await caller.receive()
                await caller.send(self.whole)
            await caller.receive()
            await caller.send(self.content)
            if self.resets:
                raw = caller.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.answered += 1


@pytest.fixture
async def server() -> AsyncIterator[TruncatingServer]:
    server = TruncatingServer()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    server.url = f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve)
        yield server
        tasks.cancel_scope.cancel()


@pytest.fixture
async def client() -> AsyncIterator[BackendClient]:
    client = BackendClient()
    yield client
    await client.close()


async def call(client: BackendClient, url: str) -> bytes:
    headers = [("host", "x"), ("attempt-id", "a1")]
    async with client.exchange("GET", url, "/", headers, b"") as answer:
        return await read_raw(answer, client.limits.body_bytes, client.bodies)


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kept", [0, 1], ids=["new", "used"])
@pytest.mark.parametrize("whole", WHOLE.values(), ids=WHOLE.keys())
async def test_answer_that_stops_at_any_byte_of_its_head_is_a_failure(
    server: TruncatingServer,
    client: BackendClient,
    whole: bytes,
    kept: int,
    resets: bool,
) -> None:
    """Guards against a success with an empty body for half a head."""
    server.resets, server.keeps = resets, kept
    server.whole = WHOLE["length"]
    head_bytes = whole.index(b"\r\n\r\n", whole.index(b"Seal")) + 4
    for length in range(head_bytes):
        server.content = whole[:length]
        for _ in range(kept):
            assert await call(client, server.url) == b"done"
        with pytest.raises(AttemptFailed) as failure:
            await call(client, server.url)
        assert failure.value.kind is FailureKind.CUT
    assert server.answered == head_bytes


@pytest.mark.parametrize("whole", WHOLE.values(), ids=WHOLE.keys())
async def test_whole_answer_is_no_failure(
    server: TruncatingServer, client: BackendClient, whole: bytes
) -> None:
    server.content = whole
    assert await call(client, server.url) == b"done"


@pytest.mark.parametrize("framing", ["length", "chunked"])
async def test_answer_that_stops_at_any_byte_of_its_body_is_a_failure(
    server: TruncatingServer, client: BackendClient, framing: str
) -> None:
    """Guards against half a body that looks whole."""
    whole = WHOLE[framing]
    head_bytes = whole.index(b"\r\n\r\n") + 4
    for length in range(head_bytes, len(whole)):
        server.content = whole[:length]
        with pytest.raises(AttemptFailed) as failure:
            await call(client, server.url)
        assert failure.value.kind is FailureKind.CUT

"""Answers that end where a read ends, with bytes behind them."""

from collections.abc import AsyncIterator

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from godwitmast.backends.client import BackendClient
from godwitmast.backends.transport import HEAD_READ_BYTES

pytestmark = pytest.mark.anyio

BODY_READ_BYTES = 64 * 1024
"""Bytes of a body that the HTTP library reads at a time."""

EXTRA = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
SIZES = [
    HEAD_READ_BYTES,
    HEAD_READ_BYTES + BODY_READ_BYTES,
    HEAD_READ_BYTES + 2 * BODY_READ_BYTES,
]


def answer_of(size: int) -> bytes:
    """Return an answer of this length, with its head."""
    length = size
    while len(answer := sized_answer(length)) > size:
        length -= 1
    return answer


def sized_answer(length: int) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (length, b"x" * length)


async def answer_with_extra(stream: SocketStream, answer: bytes) -> None:
    async with stream:
        try:
            while await stream.receive():
                await stream.send(answer + EXTRA)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return


@pytest.fixture
async def client() -> AsyncIterator[BackendClient]:
    client = BackendClient()
    yield client
    await client.close()


@pytest.fixture
async def tasks() -> AsyncIterator[TaskGroup]:
    async with anyio.create_task_group() as group:
        yield group
        group.cancel_scope.cancel()


@pytest.mark.parametrize("off", [-1, 0, 1])
@pytest.mark.parametrize("size", SIZES)
async def test_bytes_behind_a_read_are_no_answer(
    client: BackendClient, tasks: TaskGroup, size: int, off: int
) -> None:
    """Guards against an answer to the next request from bytes that neither the parser nor
    the socket holds."""
    answer = answer_of(size + off)
    assert len(answer) == size + off
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    tasks.start_soon(listener.serve, lambda stream: answer_with_extra(stream, answer))
    url = f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    for _ in range(3):
        async with client.exchange("GET", url, "/", [], b"") as received:
            assert await received.aread() == answer.partition(b"\r\n\r\n")[2]

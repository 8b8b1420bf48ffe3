"""A backend server that answers every request with the same bytes."""

from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup


@dataclass
class RawServer:
    """Keeps connections open; `requests` holds what arrived, apart from load polls."""

    answer: bytes
    requests: list[bytes] = field(default_factory=list)

    async def start(self, tasks: TaskGroup) -> None:
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.url = f"http://127.0.0.1:{self.listener.extra(SocketAttribute.local_port)}"
        self.scope = anyio.CancelScope()
        tasks.start_soon(self.run)

    async def close(self) -> None:
        self.scope.cancel()

    async def run(self) -> None:
        with self.scope:
            async with self.listener:
                await self.listener.serve(self.serve)

    async def serve(self, stream: SocketStream) -> None:
        """Answer each request that arrives in one piece, as short ones do."""
        async with stream:
            async for request in stream:
                if not request.startswith(b"GET /load "):
                    self.requests.append(request)
                await stream.send(self.answer)


def answer_of(body: bytes, *headers: bytes) -> bytes:
    """Return a whole answer with status 200."""
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join([*lines, b"", body])

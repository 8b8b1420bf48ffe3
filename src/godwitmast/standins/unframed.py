"""A TCP front of a stand-in that removes the framing from the answers of its server."""

import socket

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

READ_BYTES = 64 * 1024
FRAMING_HEADERS = frozenset([b"content-length", b"transfer-encoding", b"connection"])

RESET_ON_CLOSE = b"\x01\0\0\0\0\0\0\0"
"""Value of SO_LINGER with which closing a socket resets its connection."""


class UnframedFront:
    """Relays each connection's first answer without a length or chunks.

    The end of the answer is the end of its connection; so is a break of the server's,
    unless `resets` has the front reset the connection then. Of a body only the first
    `max_bytes` are passed on.
    """

    def __init__(
        self, server_port: int, resets: bool = False, max_bytes: int | None = None
    ) -> None:
        self.server_port = server_port
        self.resets = resets
        self.max_bytes = max_bytes
        self.port = 0

    async def start(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self.relay)

    async def relay(self, caller: SocketStream) -> None:
        async with (
            caller,
            await anyio.connect_tcp("127.0.0.1", self.server_port) as server,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self.relay_request, caller, server)
            await self.relay_answer(caller, server)
            tasks.cancel_scope.cancel()

    async def relay_request(self, caller: SocketStream, server: SocketStream) -> None:
        """Pass on what the caller sends; close the server's connection after it."""
        try:
            async for data in caller:
                await server.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        await server.aclose()

    async def relay_answer(self, caller: SocketStream, server: SocketStream) -> None:
        parser = h11.Connection(h11.CLIENT)
        # The parser accepts an answer only after a request.
        parser.send(h11.Request(method="POST", target="/", headers=[("host", "front")]))
        parser.send(h11.EndOfMessage())
        try:
            while not isinstance(event := parser.next_event(), h11.EndOfMessage):
                match event:
                    case h11.Response():
                        await caller.send(unframed_head(event))
                    case h11.Data():
                        await caller.send(bytes(event.data)[: self.max_bytes])
                    case _:
                        parser.receive_data(await receive(server))
        except h11.RemoteProtocolError:
            if self.resets:
                raw = caller.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The caller has left.
            return


async def receive(stream: SocketStream) -> bytes:
    """Return the next bytes, or none at the end of the connection."""
    try:
        return await stream.receive(READ_BYTES)
    except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        return b""


def unframed_head(answer: h11.Response) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (answer.status_code, bytes(answer.reason))]
    lines += [
        name + b": " + value
        for name, value in answer.headers
        if name not in FRAMING_HEADERS
    ]
    return b"\r\n".join([*lines, b"connection: close", b"", b""])

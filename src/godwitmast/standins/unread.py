"""A TCP front of a stand-in that reads requests slowly, or not at all."""

import socket

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

RECEIVE_BYTES = 16 * 1024
"""Receive buffer, so that what isn't read stays at the sender."""

READ_BYTES = 4096


class UnreadFront:
    """Accepts connections; reads `bytes_per_s` of each, and never answers."""

    def __init__(self, bytes_per_s: float = 0.0) -> None:
        self.bytes_per_s = bytes_per_s
        self.port = 0
        self.requests = 0
        """Connections on which a request began; those of health checks send nothing."""

    async def start(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        raw = listener.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self.serve)

    async def serve(self, caller: SocketStream) -> None:
        async with caller:
            try:
                # The library reads by itself until the first call.
                await caller.receive(1)
                self.requests += 1
                while True:
                    await self.wait()
                    await caller.receive(READ_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def wait(self) -> None:
        """Wait until the next piece may be read."""
        if not self.bytes_per_s:
            await anyio.sleep_forever()
        await anyio.sleep(READ_BYTES / self.bytes_per_s)

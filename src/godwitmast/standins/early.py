"""A stand-in of a backend server that answers before it has read a long request."""

import socket
import ssl
from enum import Enum

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketStream, TaskGroup
from anyio.streams.tls import TLSStream

from godwitmast.standins.unframed import RESET_ON_CLOSE

RECEIVE_BYTES = 8 * 1024
"""Receive buffer, so that what isn't read stays at the sender."""

READ_BYTES = 4096


class Ending(Enum):
    """What follows the answer."""

    RESET = "reset"
    """The server ends its side of the connection, and resets the connection later."""
    READ_ON = "read_on"
    """It ends its side, reads the rest of the request and closes the connection."""
    STALL = "stall"
    """It ends its side, and reads no more."""


class EarlyServer:
    """Answers each connection's request as soon as its head has been read.

    The answer has no length unless `stated_length` is given, and `status` as it is.
    """

    def __init__(
        self,
        ending: Ending = Ending.RESET,
        wait_s: float = 0.1,
        body: bytes = b"a part",
        status: bytes = b"200",
        stated_length: int | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.ending = ending
        self.wait_s = wait_s
        self.body = body
        self.status = status
        self.stated_length = stated_length
        self.tls = tls
        self.port = 0
        self.requests = 0
        self.read_whole = 0

    async def start(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        raw = listener.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self.serve)

    async def serve(self, caller: SocketStream) -> None:
        async with caller:
            raw = caller.extra(SocketAttribute.raw_socket)
            try:
                stream: ByteStream = caller
                if self.tls is not None:
                    stream = await TLSStream.wrap(
                        caller, ssl_context=self.tls, standard_compatible=False
                    )
                await self.answer(stream, raw, await read_head(stream))
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def answer(self, caller: ByteStream, raw: socket.socket, head: bytes) -> None:
        self.requests += 1
        lines = [b"HTTP/1.1 " + self.status + b" OK", b"server-seal: s"]
        lines += [
            line
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"attempt-id:")
        ]
        if self.stated_length is not None:
            lines.append(b"content-length: %d" % self.stated_length)
        await caller.send(b"\r\n".join([*lines, b"", b""]) + self.body)
        raw.shutdown(socket.SHUT_WR)
        match self.ending:
            case Ending.RESET:
                await anyio.sleep(self.wait_s)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            case Ending.READ_ON:
                await anyio.sleep(self.wait_s)
                await read_rest(caller, head)
                self.read_whole += 1
            case Ending.STALL:
                await anyio.sleep_forever()


async def read_head(caller: ByteStream) -> bytes:
    """Return what has been read once a head is whole."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await caller.receive(READ_BYTES)
    return data


async def read_rest(caller: ByteStream, data: bytes) -> None:
    """Read the rest of a request of which `data` has been read."""
    head, _, body = data.partition(b"\r\n\r\n")
    lengths = [
        int(line.split(b":")[1])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length:")
    ]
    left = max(lengths, default=0) - len(body)
    while left > 0:
        left -= len(await caller.receive(READ_BYTES))

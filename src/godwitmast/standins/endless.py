"""A stand-in of a backend server that answers each request with bytes without end."""

import re
from enum import Enum

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from godwitmast.platform.wire import ATTEMPT_ID

REQUEST_END = b"\r\n\r\n"
PIECE_BYTES = 64 * 1024
PIECES_PER_S = 20
"""Pieces in which a slow sender sends what it may send in a second."""

STATUS = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"%s: %%s\r\ncontent-type: %%s\r\n" % ATTEMPT_ID.encode()
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
ONE_BYTE_CHUNK = b"1\r\nx\r\n"

PLAIN = b"text/plain"
EVENTS = b"text/event-stream"


class Flood(Enum):
    """What is sent without end, after bytes that begin an answer."""

    HEADERS = "headers"
    STATUS_LINE = "status_line"
    NOT_HTTP = "not_http"
    INTERIM = "interim"
    CHUNK_SIZE = "chunk_size"
    TRAILERS = "trailers"
    BODY = "body"
    """It has no length, and would end with its connection."""
    CHUNKED_BODY = "chunked_body"
    SMALL_CHUNKS = "small_chunks"
    DECLARED_BODY = "declared_body"
    ERROR_BODY = "error_body"
    EVENT = "event"
    """One event of a stream, in an answer without a length."""
    CHUNKED_EVENT = "chunked_event"


def head(
    status: bytes, content_type: bytes, attempt_id: bytes, framing: bytes
) -> bytes:
    return status + FIELDS % (attempt_id, content_type) + framing


def beginning(flood: Flood, attempt_id: bytes) -> bytes:
    """Return what is sent once, before that which has no end."""
    match flood:
        case Flood.HEADERS:
            return STATUS
        case Flood.STATUS_LINE:
            return STATUS.rstrip()
        case Flood.NOT_HTTP | Flood.INTERIM:
            return b""
        case Flood.CHUNK_SIZE | Flood.CHUNKED_BODY | Flood.SMALL_CHUNKS:
            return head(STATUS, PLAIN, attempt_id, CHUNKED)
        case Flood.TRAILERS:
            return head(STATUS, PLAIN, attempt_id, CHUNKED) + CHUNK + b"0\r\n"
        case Flood.BODY:
            return head(STATUS, PLAIN, attempt_id, b"\r\n")
        case Flood.DECLARED_BODY:
            return head(
                STATUS, PLAIN, attempt_id, b"content-length: %d\r\n\r\n" % 10**15
            )
        case Flood.ERROR_BODY:
            status = b"HTTP/1.1 500 Internal Server Error\r\n"
            return head(status, PLAIN, attempt_id, b"\r\n")
        case Flood.EVENT:
            return head(STATUS, EVENTS, attempt_id, b"\r\n") + b"data: "
        case Flood.CHUNKED_EVENT:
            return head(STATUS, EVENTS, attempt_id, CHUNKED) + b"6\r\ndata: \r\n"


REPEATED = {
    Flood.HEADERS: b"name: value\r\n",
    Flood.NOT_HTTP: b"\0\1\2\3",
    Flood.INTERIM: b"HTTP/1.1 102 Processing\r\n\r\n",
    Flood.CHUNK_SIZE: b"1",
    Flood.TRAILERS: b"name: value\r\n",
    Flood.CHUNKED_BODY: CHUNK,
    Flood.SMALL_CHUNKS: ONE_BYTE_CHUNK,
    Flood.CHUNKED_EVENT: CHUNK,
}
"""What is repeated without end; else the letter x."""


class EndlessSender:
    """Answers requests with bytes without end, as fast as they are read by default."""

    def __init__(self, flood: Flood, bytes_per_s: int | None = None) -> None:
        self.flood = flood
        self.bytes_per_s = bytes_per_s
        self.port = 0
        self.requests = 0
        self.sent = 0
        self.closed = 0
        """Connections that the receiver closed."""

    async def start(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self.serve)

    async def serve(self, caller: SocketStream) -> None:
        async with caller:
            received = b""
            try:
                while REQUEST_END not in received:
                    received += await caller.receive()
                self.requests += 1
                await self.send_forever(caller, read_attempt_id(received))
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                # Probes of the connection send no request.
                self.closed += REQUEST_END in received

    async def send_forever(self, caller: SocketStream, attempt_id: bytes) -> None:
        await caller.send(beginning(self.flood, attempt_id))
        unit = REPEATED.get(self.flood, b"x")
        rate = self.bytes_per_s
        size = PIECE_BYTES if rate is None else rate // PIECES_PER_S
        piece = unit * max(1, size // len(unit))
        while True:
            await caller.send(piece)
            self.sent += len(piece)
            if rate is not None:
                await anyio.sleep(len(piece) / rate)


def read_attempt_id(request: bytes) -> bytes:
    pattern = rb"(?im)^%s: *(\S+)" % ATTEMPT_ID.encode()
    found = re.search(pattern, request)
    return found[1] if found else b"none"


class EndlessFront:
    """A TCP front of a stand-in that passes bytes on, until its answers get no end."""

    def __init__(self, server_port: int) -> None:
        self.server_port = server_port
        self.sender: EndlessSender | None = None
        self.port = 0
        self.relayed: set[anyio.CancelScope] = set()

    async def start(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self.serve)

    def flood(self, sender: EndlessSender | None) -> None:
        """Close all connections; have `sender` answer what is sent from now on."""
        self.sender = sender
        for scope in list(self.relayed):
            scope.cancel()

    async def serve(self, caller: SocketStream) -> None:
        if self.sender is not None:
            await self.sender.serve(caller)
            return
        with anyio.CancelScope() as scope:
            self.relayed.add(scope)
            async with (
                caller,
                await anyio.connect_tcp("127.0.0.1", self.server_port) as server,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(relay, caller, server, scope)
                tasks.start_soon(relay, server, caller, scope)
        self.relayed.discard(scope)


async def relay(
    source: SocketStream, target: SocketStream, scope: anyio.CancelScope
) -> None:
    """Pass bytes on until a connection ends, and end both."""
    try:
        async for data in source:
            await target.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        pass
    scope.cancel()

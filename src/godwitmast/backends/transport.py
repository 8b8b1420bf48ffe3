"""An httpx transport over httpcore that bounds the head of each answer.

The HTTP library reads informational (1xx) answers before the final one by itself, as many
as a server sends. So the bytes are counted below it, at the connection.
"""

import fcntl
import os
import re
import select
import socket
import ssl
import sys
import termios
import time
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import contextmanager
from itertools import count
from typing import Any, TypeAlias

import anyio
import anyio.lowlevel
import httpcore
import httpx

from godwitmast.backends.answer_limits import AnswerPart, check_length
from godwitmast.backends.connection_use import (
    ConnectionUse,
    DroppedConnection,
    DropReason,
)
from godwitmast.backends.framing import Framing, framing_of
from godwitmast.backends.late_answers import LateAnswerFilter, expected_id
from godwitmast.logs import log_event
from godwitmast.loop_time import fail_after_loop_time

SocketOptions: TypeAlias = Iterable[tuple[int, int, int]]

CONNECTION = "reusable_connection"
"""Extension of a request that holds the connection on which it was sent."""

ENCODED_PIECE_BYTES = 4096
"""Encoded bodies are decoded in pieces of this size, which expand to 4 MB at most."""

HEAD_READ_BYTES = 8192
"""Bytes of a head that are read at a time. The library parses the informational answers
in them without a pause: 64 KiB of those take 40 ms, and more on a small VM."""

RECEIVE_BYTES = 256 * 1024
"""Bytes that the event loop takes from a socket at a time. Of a read of fewer, the rest would
wait in the library's stream, where `is_readable` can't see it."""

UNSENT_TIMEOUT_S = 2.0
"""How long a server may take to read the rest of a request whose answer has ended."""

UNSENT_CHECK_S = 0.01

FINAL_STATUSES = range(200, 600)
"""Statuses of final answers. 101 would change the protocol, which no request asks for."""

ANSWER_ID = "answer_id"
"""Extension of a request: the id that its answer bears."""

SINGLE_USE = "single_use"
"""Extension of a request: its connection carries no other one."""

MAX_EXCHANGES = 1000
"""Requests that a connection carries at most, so that the hashes of their ids take 8 KB."""

HASH_BYTES = 8

ERRORS: dict[type[BaseException], type[httpx.TransportError]] = {
    httpcore.ConnectTimeout: httpx.ConnectTimeout,
    httpcore.ReadTimeout: httpx.ReadTimeout,
    httpcore.WriteTimeout: httpx.WriteTimeout,
    httpcore.PoolTimeout: httpx.PoolTimeout,
    httpcore.TimeoutException: httpx.TimeoutException,
    httpcore.ConnectError: httpx.ConnectError,
    httpcore.ReadError: httpx.ReadError,
    httpcore.WriteError: httpx.WriteError,
    httpcore.NetworkError: httpx.NetworkError,
    httpcore.ProxyError: httpx.ProxyError,
    httpcore.UnsupportedProtocol: httpx.UnsupportedProtocol,
    httpcore.LocalProtocolError: httpx.LocalProtocolError,
    httpcore.RemoteProtocolError: httpx.RemoteProtocolError,
    httpcore.ProtocolError: httpx.ProtocolError,
}


@contextmanager
def translated_errors() -> Iterator[None]:
    """Raise errors of httpcore as those of httpx."""
    try:
        yield
    except tuple(ERRORS) as error:
        kind = next(ERRORS[kind] for kind in type(error).__mro__ if kind in ERRORS)
        raise kind(str(error)) from error


STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")


def holds_status_line(answer: httpcore.Response) -> bool:
    """Return whether a head was joined from two, of which the first was broken off.

    That may happen within the reason or a value of the first one.
    """
    reason = answer.extensions.get("reason_phrase", b"")
    values = [reason, *(value for name, value in answer.headers)]
    return any(STATUS_LINE.search(value) for value in values)


def fault_of(answer: httpcore.Response) -> str | None:
    """Return why a head that the library took for an answer is none."""
    if answer.status not in FINAL_STATUSES:
        return f"status {answer.status} is none of a final answer"
    if holds_status_line(answer):
        return "the head holds the start of another answer"
    return None


def is_first_exchange(answer: httpx.Response) -> bool:
    """Return whether no request was sent on the connection of an answer before."""
    connection = answer.extensions.get("network_stream")
    return not isinstance(connection, HeadCountingStream) or connection.exchanges == 1


def connection_use(request: httpx.Request) -> ConnectionUse | None:
    """Return which exchange of which connection a request is, once it has one."""
    connection = request.extensions.get(CONNECTION)
    if not isinstance(connection, ReusableConnection):
        return None
    stream = connection.network_stream
    return stream.use if stream is not None else None


def end_connection(answer: httpx.Response) -> None:
    """Have the connection of an answer closed once that has been read."""
    connection = answer.extensions.get("network_stream")
    if isinstance(connection, HeadCountingStream):
        connection.is_ending = True


class HeadCountingStream(httpcore.AsyncNetworkStream):
    """A connection that counts the bytes read before the final head of an answer.

    Bytes that arrive between two exchanges belong to neither: the next request is not
    sent on such a connection. Whole answers to earlier requests that arrive after it was
    sent are dropped.
    """

    def __init__(
        self,
        stream: httpcore.AsyncNetworkStream,
        network: "HeadCountingNetwork",
        server: str = "",
    ) -> None:
        self.stream = stream
        self.network = network
        self.server = server
        self.number = next(network.numbers)
        self.opened_at = time.monotonic()
        self.awaits_head = True
        self.exchanges = 0
        """Requests that were sent, or begun."""
        self.received = 0
        self.unread = b""
        """Bytes that were received, and not read yet."""
        self.is_secured = False
        self.is_ending = False
        """Whether no further request may be sent."""
        self.may_end = False
        """Whether the end of the connection is that of the answer."""
        self.socket: Any = None
        self.poll: select.poll | None = None
        self.holds_decrypted_bytes = False
        self.late_answers: LateAnswerFilter | None = None
        """Passes on the bytes of the exchange; None if there can't be a late answer."""
        self.sent_ids: bytes | bytearray = b""
        """Hashes of the ids of earlier requests, as `ReusableConnection` keeps them."""
        self.may_tell_length = True
        """Whether the head of a late answer tells its length, as to a HEAD it doesn't."""

    @property
    def use(self) -> ConnectionUse:
        """Return the exchange that is in progress, or was the last one."""
        age_s = time.monotonic() - self.opened_at
        return ConnectionUse(self.number, self.exchanges, age_s)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if not self.awaits_head:
            data = await self.receive(max_bytes, timeout)
            if not data and not self.may_end:
                raise httpcore.ReadError("the connection ended within the body")
            if not data:
                await self.wait_until_sent()
            return data
        passed_on = b""
        while not passed_on:
            data = await self.read_head(max_bytes, timeout)
            passed_on = self.without_late_answers(data)
        return passed_on

    async def receive(self, max_bytes: int, timeout: float | None) -> bytes:
        """Return bytes of the connection, b"" at its end."""
        if self.unread:
            await anyio.lowlevel.checkpoint()
        elif self.is_secured:
            # What is left of a record is found by `has_decrypted_bytes`.
            return await self.stream.read(max_bytes, timeout)
        else:
            self.unread = await self.stream.read(RECEIVE_BYTES, timeout)
        data, self.unread = self.unread[:max_bytes], self.unread[max_bytes:]
        return data

    async def wait_until_sent(self) -> None:
        """Wait until the server has taken the request, after its answer has ended.

        Such an answer ends with its connection, which the server may still reset: the
        answer then isn't whole. A sound server that answers early reads the rest.
        """
        connection = self.stream.get_extra_info("socket")
        if connection is None:
            return
        with anyio.move_on_after(UNSENT_TIMEOUT_S):
            while True:
                if is_broken(connection):
                    raise httpcore.ReadError("the connection was reset after its end")
                if not unsent_bytes(connection):
                    return
                await anyio.sleep(UNSENT_CHECK_S)
        raise httpcore.ReadError("the answer ended before its request was taken")

    async def read_head(self, max_bytes: int, timeout: float | None) -> bytes:
        # All bytes so far belong to the head, as more of it is needed.
        check_length(AnswerPart.HEAD, self.network.head_bytes, self.received)
        data = await self.receive(min(max_bytes, HEAD_READ_BYTES), timeout)
        if not data:
            where = "within the head" if self.received else "without an answer"
            raise httpcore.ReadError(f"the connection ended {where}")
        self.received += len(data)
        return data

    def without_late_answers(self, data: bytes) -> bytes:
        """Return the received bytes that are no part of a late answer."""
        late = self.late_answers
        if late is None:
            return data
        dropped, dropped_bytes = late.dropped, late.dropped_bytes
        passed_on = late.feed(data)
        self.received -= late.dropped_bytes - dropped_bytes
        if late.dropped > dropped:
            log_event(
                "late_answers_dropped",
                level="WARNING",
                server=self.server,
                connection=self.number,
                exchange=self.exchanges,
                answers=late.dropped,
                bytes=late.dropped_bytes,
            )
        return passed_on

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a part of a request, whose answer is read only after all of it.

        The pool sends a request that raises ConnectionNotAvailable on another connection.
        """
        if not self.awaits_head or self.exchanges == 0:
            if self.exchanges and self.is_readable():
                self.report_unread()
                raise httpcore.ConnectionNotAvailable
            self.begin_exchange(buffer)
        self.awaits_head = True
        self.may_end = False
        self.received = 0
        await self.stream.write(buffer, timeout)

    def begin_exchange(self, request_head: bytes) -> None:
        self.exchanges += 1
        self.late_answers = None
        header = self.network.id_header
        if header and self.exchanges > 1 and self.may_tell_length:
            expected = expected_id(header, request_head)
            if expected is not None:
                self.late_answers = LateAnswerFilter(expected, self.was_sent)
        if request_head.startswith(b"HEAD "):
            self.may_tell_length = False

    def was_sent(self, answer_id: bytes) -> bool:
        """Return whether an earlier request was sent that has this id."""
        digest = id_digest(answer_id.decode("latin-1"))
        return answer_id != b"" and digest in self.sent_ids

    async def aclose(self) -> None:
        await self.stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        try:
            with connect_timeout(timeout):
                secured = await self.stream.start_tls(ssl_context, server_hostname)
        except httpcore.ConnectTimeout:
            # The stream closes itself on other failures only.
            await self.stream.aclose()
            raise
        connection = HeadCountingStream(secured, self.network, self.server)
        connection.is_secured = True
        return connection

    def get_extra_info(self, info: str) -> Any:
        if info == "is_readable":
            return self.is_readable()
        return self.stream.get_extra_info(info)

    def is_readable(self) -> bool:
        """Return whether bytes, or the end of the connection, wait to be read.

        One that is to end counts as such. The pool asks this of all idle connections at
        the start and at the end of each request, so that the socket is looked up only
        once.
        """
        if self.is_ending or self.unread:
            return True
        if self.poll is None:
            self.socket = self.stream.get_extra_info("socket")
            if self.socket is None or self.socket.fileno() < 0:
                return True
            self.poll = select.poll()
            self.poll.register(self.socket, select.POLLIN)
        # Once the socket is closed, its number may be that of another one.
        if self.socket.fileno() < 0 or self.poll.poll(0):
            return True
        self.holds_decrypted_bytes = self.has_decrypted_bytes()
        return self.holds_decrypted_bytes

    def report_unread(self) -> None:
        """Report what was found on this connection between two requests, if anything."""
        reason = self.unread_reason()
        if reason is not None:
            self.network.report_drop(self, reason)

    def unread_reason(self) -> DropReason | None:
        """Return what `is_readable` found."""
        if self.unread:
            return DropReason.PARSER
        if self.poll is None or self.socket.fileno() < 0:
            return DropReason.ENDED
        if self.poll.poll(0):
            is_end = is_at_end(self.socket.fileno())
            return DropReason.ENDED if is_end else DropReason.SOCKET
        return DropReason.TLS if self.holds_decrypted_bytes else None

    def has_decrypted_bytes(self) -> bool:
        """Return whether bytes that the socket no longer holds wait in the TLS layer."""
        tls = self.stream.get_extra_info("ssl_object")
        if tls is None:
            return False
        try:
            tls.read(1)
        except ssl.SSLWantReadError:
            return False
        except ssl.SSLError:
            return True
        return True


def id_digest(answer_id: str) -> bytes:
    return hash(answer_id).to_bytes(HASH_BYTES, "little", signed=True)


def unsent_bytes(connection: Any) -> int:
    """Return how many sent bytes the peer's kernel has not acknowledged; 0 if unknown."""
    count = bytearray(4)
    try:
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def is_broken(connection: Any) -> bool:
    """Return whether a connection was reset, or closed here."""
    if connection.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(connection, 0)
    return any(events & select.POLLERR for _, events in poll.poll(0))


def is_at_end(descriptor: int) -> bool:
    """Return whether a readable socket holds the end of its connection and no bytes."""
    try:
        with socket.socket(fileno=os.dup(descriptor)) as copy:
            return not copy.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return True


@contextmanager
def connect_timeout(timeout_s: float | None) -> Iterator[None]:
    """Raise ConnectTimeout once the event loop has run for `timeout_s`.

    A VM that was suspended would otherwise eject the servers to which it was connecting.
    """
    try:
        with fail_after_loop_time(timeout_s):
            yield
    except TimeoutError as error:
        raise httpcore.ConnectTimeout(str(error)) from error


class HeadCountingNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections that allow `head_bytes` for the head of an answer.

    `id_header` is the header by which an answer names its request; empty without one.
    """

    def __init__(self, head_bytes: int, id_header: str = "") -> None:
        self.head_bytes = head_bytes
        self.id_header = id_header.encode()
        self.numbers = count(1)
        self.drop_listeners: list[Callable[[DroppedConnection], None]] = []
        self.backend: httpcore.AsyncNetworkBackend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        with connect_timeout(timeout):
            stream = await self.backend.connect_tcp(
                host,
                port,
                local_address=local_address,
                socket_options=socket_options,
            )
        return HeadCountingStream(stream, self, f"{host}:{port}")

    async def sleep(self, seconds: float) -> None:
        await self.backend.sleep(seconds)

    def report_drop(self, stream: HeadCountingStream, reason: DropReason) -> None:
        """Report a connection that isn't used again; what is usual isn't logged."""
        dropped = DroppedConnection(stream.server, stream.use, reason)
        if reason not in (DropReason.ENDED, DropReason.RETIRED):
            log_event(
                "connection_dropped",
                level="WARNING",
                server=dropped.server,
                connection=dropped.last_use.connection,
                exchanges=dropped.last_use.exchange,
                age_s=dropped.last_use.age_s,
                reason=reason.value,
            )
        for listener in self.drop_listeners:
            listener(dropped)


class ReusableConnection(httpcore.AsyncHTTPConnection):
    """A connection that is used again only if nothing followed its last answer.

    Bytes after the end of an answer would be read as the beginning of the next one. A
    request that it carried is not sent on it again: a late second answer to the first
    send has the same id as the answer to the second.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.sent_ids = bytearray()
        """Hashes of the ids of the requests that were answered. A match across two of
        them costs a connection, and no more."""
        self.is_retired = False

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request, unless an earlier one had its id: the pool sends that on another
        connection."""
        answer_id = request.extensions.get(ANSWER_ID, "")
        digest = id_digest(answer_id)
        if answer_id and digest in self.sent_ids:
            self.is_retired = True
            raise httpcore.ConnectionNotAvailable
        request.extensions[CONNECTION] = self
        answer = await super().handle_async_request(request)
        self.sent_ids += digest
        if self.network_stream is not None:
            self.network_stream.sent_ids = self.sent_ids
        self.is_retired |= len(self.sent_ids) >= MAX_EXCHANGES * HASH_BYTES
        return answer

    @property
    def network_stream(self) -> HeadCountingStream | None:
        """Return the connection below the parser, once it is open."""
        connection = self._connection
        if not isinstance(connection, httpcore.AsyncHTTP11Connection):
            return None
        # The library gives it out only with an answer.
        stream = connection._network_stream
        return stream if isinstance(stream, HeadCountingStream) else None

    def has_expired(self) -> bool:
        if super().has_expired():
            if self.network_stream is not None:
                self.network_stream.report_unread()
            return True
        reason = self.drop_reason() if self.is_idle() else None
        if reason is not None and self.network_stream is not None:
            self.network_stream.network.report_drop(self.network_stream, reason)
        return reason is not None

    def drop_reason(self) -> DropReason | None:
        """Return why this connection is not used again, whatever its socket holds."""
        if self.has_unread_bytes():
            return DropReason.PARSER
        return DropReason.RETIRED if self.is_retired else None

    def has_unread_bytes(self) -> bool:
        """Return whether the parser holds bytes that are no part of the last answer."""
        connection = self._connection
        if not isinstance(connection, httpcore.AsyncHTTP11Connection):
            return False
        # The library offers no other way to its parser.
        return connection._h11_state.trailing_data[0] != b""


class ConnectionPool(httpcore.AsyncConnectionPool):
    """A pool of HTTP/1.1 connections that are checked before each use."""

    def create_connection(self, origin: httpcore.Origin) -> ReusableConnection:
        return ReusableConnection(
            origin=origin,
            ssl_context=self._ssl_context,
            keepalive_expiry=self._keepalive_expiry,
            network_backend=self._network_backend,
            socket_options=self._socket_options,
        )


class BodyStream(httpx.AsyncByteStream):
    """The body of an answer, as it is received."""

    def __init__(self, answer: httpcore.Response) -> None:
        self.answer = answer
        names = (name.lower() for name, value in answer.headers)
        self.is_encoded = b"content-encoding" in names

    async def __aiter__(self) -> AsyncIterator[bytes]:
        assert not isinstance(self.answer.stream, Iterable)
        with translated_errors():
            async for piece in self.answer.stream:
                if not self.is_encoded:
                    yield piece
                    continue
                for start in range(0, len(piece), ENCODED_PIECE_BYTES):
                    yield piece[start : start + ENCODED_PIECE_BYTES]

    async def aclose(self) -> None:
        with translated_errors():
            await self.answer.aclose()


class BoundedTransport(httpx.AsyncBaseTransport):
    """A pool of HTTP/1.1 connections on which the head of an answer is bounded.

    Reading a longer one raises AnswerTooLong, and the connection is closed.
    """

    def __init__(
        self,
        head_bytes: int,
        limits: httpx.Limits,
        tls: ssl.SSLContext,
        socket_options: SocketOptions = (),
        id_header: str = "",
    ) -> None:
        self.network = HeadCountingNetwork(head_bytes, id_header)
        self.tls = tls
        self.limits = limits
        self.socket_options = list(socket_options)
        self.pool = self.make_pool(limits.max_keepalive_connections)
        self.single_use_pool = self.make_pool(0)

    def make_pool(self, kept: int | None) -> ConnectionPool:
        """Return a pool that keeps so many idle connections, or all of them."""
        return ConnectionPool(
            ssl_context=self.tls,
            max_connections=self.limits.max_connections,
            max_keepalive_connections=kept,
            keepalive_expiry=self.limits.keepalive_expiry,
            socket_options=self.socket_options,
            network_backend=self.network,
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        url = request.url
        sent = httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=url.raw_scheme,
                host=url.raw_host,
                port=url.port,
                target=url.raw_path,
            ),
            headers=request.headers.raw,
            content=request.stream,
            extensions=request.extensions,
        )
        is_single = request.extensions.get(SINGLE_USE, False)
        pool = self.single_use_pool if is_single else self.pool
        with translated_errors():
            answer = await pool.handle_async_request(sent)
        response = httpx.Response(
            answer.status,
            headers=answer.headers,
            stream=BodyStream(answer),
            extensions=answer.extensions,
            request=request,
        )
        connection = answer.extensions.get("network_stream")
        if isinstance(connection, HeadCountingStream):
            connection.awaits_head = False
            connection.may_end = framing_of(response) is Framing.CLOSE
        fault = fault_of(answer)
        if fault is not None:
            await response.aclose()
            raise httpx.RemoteProtocolError(fault)
        return response

    async def aclose(self) -> None:
        await self.pool.aclose()
        await self.single_use_pool.aclose()

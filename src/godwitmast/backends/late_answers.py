"""Drops whole answers to earlier requests ahead of the awaited one, without I/O.

A server may answer a request twice, the second time where the answer to the next request
on the connection is expected. The id in its head tells them apart.
"""

import re
from collections.abc import Callable
from functools import lru_cache
from typing import NamedTuple

import h11
import httpx

MAX_DROPPED_BYTES = 256 * 1024
"""Bytes of late answers that are read before an exchange is given up."""

HEAD_START = b"HTTP/1."
HEAD_END_BYTES = 4
HEAD_END = re.compile(rb"\r?\n\r?\n")


class LateAnswerUnusable(httpx.RemoteProtocolError):
    """A late answer is not followed by the awaited one, or too late."""


class AnswerId(NamedTuple):
    """The header that ties an answer to its request, and its value."""

    header: bytes
    value: bytes


@lru_cache
def id_line(header: bytes) -> re.Pattern[bytes]:
    """Return a pattern for the line of a head that has a header."""
    name = re.escape(header)
    return re.compile(rb"^" + name + rb":[ \t]*(.*?)[ \t]*\r?$", re.I | re.M)


def expected_id(header: bytes, request_head: bytes) -> AnswerId | None:
    """Return the id that the answer to a request bears; None if it has none."""
    found = id_line(header).search(request_head)
    return AnswerId(header, found[1]) if found and found[1] else None


class LateAnswerFilter:
    """Passes on the bytes of a connection from the awaited answer on.

    Only answers with the id of an earlier request on the connection are dropped, and only
    where their head tells how long they are. What else is no answer to the request is
    passed on, and fails it.
    """

    def __init__(self, expected: AnswerId, was_sent: Callable[[bytes], bool]) -> None:
        self.expected = expected
        self.was_sent = was_sent
        """Returns whether the connection carried a request with this id before."""
        self.buffer = bytearray()
        self.searched = 0
        """Bytes of the buffer in which no end of a head was found."""
        self.last_dropped = b""
        """The last bytes of a late answer's body, in which an id may have begun."""
        self.late_answer: h11.Connection | None = None
        """Parser of a late answer of which a part is still to come."""
        self.passes_on = False
        self.dropped = 0
        """Late answers that were dropped whole."""
        self.dropped_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return those that are no part of a late answer."""
        if self.passes_on:
            return data
        if self.late_answer is not None:
            self.drop(data)
        else:
            self.buffer += data
        while self.late_answer is None:
            head_end = HEAD_END.search(self.buffer, self.searched)
            if head_end is None and is_head_start(self.buffer):
                self.searched = max(0, len(self.buffer) - HEAD_END_BYTES)
                return b""
            head = b"" if head_end is None else bytes(self.buffer[: head_end.start()])
            if not self.is_late(head):
                return self.pass_on()
            self.late_answer = answer_parser()
            self.drop(self.take_buffer())
        return b""

    def take_buffer(self) -> bytes:
        received, self.buffer = bytes(self.buffer), bytearray()
        self.searched = 0
        return received

    def pass_on(self) -> bytes:
        """Return what was held back, and hold back nothing from now on."""
        self.passes_on = True
        return self.take_buffer()

    def is_late(self, head: bytes) -> bool:
        """Return whether a head is of an answer to another request, of known length."""
        found = id_line(self.expected.header).findall(head)
        if self.expected.value in found or not any(map(self.was_sent, found)):
            return False
        parser = answer_parser()
        try:
            parser.receive_data(head + b"\r\n\r\n")
            answer = parser.next_event()
        except h11.RemoteProtocolError:
            return False
        if not isinstance(answer, h11.Response):
            return False
        names = {name for name, value in answer.headers}
        return not names.isdisjoint((b"content-length", b"transfer-encoding"))

    def drop(self, data: bytes) -> None:
        """Read on in a late answer; keep what follows it."""
        assert self.late_answer is not None
        self.dropped_bytes += len(data)
        if self.dropped_bytes > MAX_DROPPED_BYTES:
            raise LateAnswerUnusable(f"over {MAX_DROPPED_BYTES} bytes of late answers")
        self.late_answer.receive_data(data)
        while (event := self.read_event(self.late_answer)) is not h11.NEED_DATA:
            if isinstance(event, h11.Data):
                self.check_body(event.data)
            if isinstance(event, h11.EndOfMessage):
                self.buffer = bytearray(self.late_answer.trailing_data[0])
                self.last_dropped = b""
                self.dropped_bytes -= len(self.buffer)
                self.late_answer = None
                self.dropped += 1
                return

    def check_body(self, data: bytes) -> None:
        """Check that a late answer's body doesn't hold the awaited answer."""
        body = self.last_dropped + data
        if self.expected.value in body:
            raise LateAnswerUnusable("a late answer ended within its body")
        self.last_dropped = body[-len(self.expected.value) :]

    def read_event(self, parser: h11.Connection) -> object:
        try:
            return parser.next_event()
        except h11.RemoteProtocolError as error:
            raise LateAnswerUnusable(f"a late answer is malformed: {error}") from None


def is_head_start(data: bytes | bytearray) -> bool:
    """Return whether data may be the beginning of a head."""
    return data.startswith(HEAD_START) or HEAD_START.startswith(
        bytes(data[: len(HEAD_START)])
    )


def answer_parser() -> h11.Connection:
    """Return a parser that expects the answer to a request."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "server")]))
    parser.send(h11.EndOfMessage())
    return parser

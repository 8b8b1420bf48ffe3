"""Bounds on the bytes of one answer, and readers of bodies that enforce them.

Load pattern: a server, the platform's store or another VM sends bytes that are not an
answer, without end, until the receiver closes the connection. What is held of one answer
must stay small against a VM of 160 MB, and nothing of it may be taken for an answer.
"""

from collections.abc import AsyncIterator
from enum import Enum

import anyio
import httpx

from godwitmast.backends.framing import Framing, framing_of

MAX_SMALL_PIECES = 8192
SMALL_PIECE_BYTES = 64
"""A body may have more pieces than that only if they have so many bytes on average. Each
costs 20 to 50 us of processor time whatever its size, so that 8 MiB in chunks of one byte
would take minutes; events and lines of documents are larger."""

ALL_BODIES_BYTES = 16 * 1024 * 1024
"""With the largest body read on from there, 24 MiB by default: a VM of 160 MB uses 60 MB
otherwise, and an allocator needs up to twice the bytes of buffers that grow."""

SMALL_BODY_BYTES = 256 * 1024
"""Bodies up to this size never wait for others; answers have 800 bytes on average."""


class AnswerPart(Enum):
    """A part of an answer that has a limit."""

    HEAD = "head"
    """The head, with the informational (1xx) answers before it."""
    BODY = "body"
    EVENT = "event"
    PIECES = "pieces"
    """The number of pieces of a body, where these are small."""


class AnswerTooLong(httpx.RemoteProtocolError):
    """A part of an answer is longer than allowed.

    `found` is the number of bytes that were received or declared.
    """

    def __init__(self, part: AnswerPart, allowed: int, found: int) -> None:
        super().__init__(f"{part.value} over {allowed}, with {found} bytes")
        self.part = part
        self.allowed = allowed
        self.found = found


def check_length(part: AnswerPart, allowed: int, found: int) -> None:
    """Raise AnswerTooLong if a part of an answer is longer than allowed."""
    if found > allowed:
        raise AnswerTooLong(part, allowed, found)


class BodiesInProgress:
    """The bodies that are being read, which share a bound on their bytes.

    Load pattern: many servers send without end at the same time. While all bodies
    together have more than `ALL_BODIES_BYTES`, only the largest is read on, until it ends
    or exceeds its own limit; other large ones wait, and so do their senders. None fails
    because of the others, unless its time is up.
    """

    def __init__(self) -> None:
        self.bodies: dict[int, bytearray] = {}
        self.total = 0
        self.ended = anyio.Event()

    async def collect(self, pieces: AsyncIterator[bytes]) -> bytes:
        """Return the joined pieces of a body, which `bound` bounds.

        They are added to one buffer: a list of pieces of one byte each would take forty
        times their size.
        """
        body = bytearray()
        self.bodies[id(body)] = body
        try:
            async for piece in pieces:
                body += piece
                self.total += len(piece)
                while self.must_wait(body):
                    await self.ended.wait()
            return bytes(body)
        finally:
            del self.bodies[id(body)]
            self.total -= len(body)
            # An error that is kept for a while would keep the buffer, by its traceback.
            body.clear()
            self.ended.set()
            self.ended = anyio.Event()

    def must_wait(self, body: bytearray) -> bool:
        """Return whether a body has to wait for larger ones to end."""
        if self.total <= ALL_BODIES_BYTES or len(body) <= SMALL_BODY_BYTES:
            return False
        return body is not max(self.bodies.values(), key=len)


async def read_raw(
    answer: httpx.Response, allowed: int, bodies: BodiesInProgress
) -> bytes:
    """Return a body as received, without decoding its content encoding."""
    return await bodies.collect(read_pieces(answer, allowed))


async def read_decoded(
    answer: httpx.Response, allowed: int, bodies: BodiesInProgress
) -> bytes:
    """Return a body without its content encoding, which may expand it a thousandfold."""
    check_declared(answer, allowed)
    return await bodies.collect(bound(answer.aiter_bytes(), allowed))


async def read_pieces(answer: httpx.Response, allowed: int) -> AsyncIterator[bytes]:
    """Yield the pieces of a body as received, without decoding its content encoding."""
    check_declared(answer, allowed)
    async for piece in bound(answer.aiter_raw(), allowed):
        yield piece


def check_declared(answer: httpx.Response, allowed: int) -> None:
    """Raise AnswerTooLong if the head declares a body that is longer than allowed."""
    if framing_of(answer) is Framing.LENGTH:
        declared = int(answer.headers["content-length"])
        check_length(AnswerPart.BODY, allowed, declared)


async def bound(pieces: AsyncIterator[bytes], allowed: int) -> AsyncIterator[bytes]:
    """Yield the pieces of a body, and raise AnswerTooLong beyond its limits."""
    count = length = 0
    async for piece in pieces:
        count += 1
        length += len(piece)
        check_length(AnswerPart.BODY, allowed, length)
        if count > MAX_SMALL_PIECES and length < count * SMALL_PIECE_BYTES:
            raise AnswerTooLong(AnswerPart.PIECES, MAX_SMALL_PIECES, length)
        yield piece

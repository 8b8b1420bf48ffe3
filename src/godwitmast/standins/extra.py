"""A TCP front of a stand-in that sends bytes after the answers of its server."""

from collections.abc import Callable
from enum import Enum
from typing import TypeAlias

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from godwitmast.standins.unframed import READ_BYTES, receive

LATE_S = 0.005
PIECE_S = 0.002
"""Pause after each piece of an answer that is repeated."""

Extra: TypeAlias = bytes | Callable[[bytes], bytes]
"""Bytes that are added, or what makes them from the answer that they follow."""

ENDS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.RemoteProtocolError,
)
"""Errors where one of the two sides has closed its connection."""


class ExtraTime(Enum):
    """When the bytes are sent."""

    TOGETHER = "together"
    """In one piece with the end of the answer."""
    LATE = "late"
    """`LATE_S` after the answer."""
    NEXT = "next"
    """Once the next request on the connection has arrived, before its answer."""


class ExtraFront:
    """Passes requests and answers on, and adds bytes after every `every`-th answer."""

    def __init__(
        self, server_port: int, extra: Extra, at: ExtraTime, every: int = 2
    ) -> None:
        self.server_port = server_port
        self.extra = extra
        self.at = at
        self.every = every
        self.port = 0
        self.answers = 0
        self.added = 0
        self.connections = 0

    async def start(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self.relay)

    async def relay(self, caller: SocketStream) -> None:
        self.connections += 1
        async with caller, await anyio.connect_tcp("127.0.0.1", self.server_port) as s:
            try:
                while data := await receive(caller):
                    await self.relay_exchange(caller, s, data)
            except* ENDS:
                pass

    async def relay_exchange(
        self, caller: SocketStream, server: SocketStream, request: bytes
    ) -> None:
        """Pass on one request, of which the first bytes have arrived, and its answer."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.relay_request, caller, server, request)
            answer, last = await self.relay_answer(caller, server)
            tasks.cancel_scope.cancel()
        await self.end_answer(caller, server, answer, last)

    async def relay_request(
        self, caller: SocketStream, server: SocketStream, data: bytes
    ) -> None:
        while data:
            await server.send(data)
            data = await receive(caller)
        await server.aclose()

    async def relay_answer(
        self, caller: SocketStream, server: SocketStream
    ) -> tuple[bytes, bytes]:
        """Pass on an answer but for its last bytes; return all of it, and these."""
        parser = h11.Connection(h11.CLIENT)
        # The parser accepts an answer only after a request.
        parser.send(h11.Request(method="POST", target="/", headers=[("host", "front")]))
        parser.send(h11.EndOfMessage())
        answer = data = b""
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                await caller.send(data)
                data = await server.receive(READ_BYTES)
                parser.receive_data(data)
                answer += data
        return answer, data

    async def end_answer(
        self, caller: SocketStream, server: SocketStream, answer: bytes, data: bytes
    ) -> None:
        """Send the last bytes of an answer, and the bytes that follow it if any do."""
        self.answers += 1
        is_due = self.every > 0 and self.answers % self.every == 0
        extra = self.make_extra(answer) if is_due else b""
        self.added += is_due
        match self.at:
            case ExtraTime.TOGETHER:
                await caller.send(data + extra)
            case ExtraTime.LATE:
                await caller.send(data)
                await anyio.sleep(LATE_S)
                await caller.send(extra)
            case ExtraTime.NEXT:
                await caller.send(data)
                if extra:
                    await self.send_before_next(caller, server, extra)

    def make_extra(self, answer: bytes) -> bytes:
        return self.extra if isinstance(self.extra, bytes) else self.extra(answer)

    async def send_before_next(
        self, caller: SocketStream, server: SocketStream, extra: bytes
    ) -> None:
        request = await receive(caller)
        if request:
            await caller.send(extra)
            await self.relay_exchange(caller, server, request)


class RepeatingFront(ExtraFront):
    """Repeats the answer before on a connection, once the next request has arrived.

    Of the answer's `bytes` only the first `kept(bytes)` are sent again, in `pieces` and
    `ahead_s` before the next answer.
    """

    def __init__(
        self,
        server_port: int,
        kept: Callable[[bytes], int] = len,
        pieces: int = 1,
        ahead_s: float = 0.0,
        every: int = 1,
    ) -> None:
        super().__init__(server_port, b"", ExtraTime.TOGETHER, every)
        self.kept = kept
        self.pieces = pieces
        self.ahead_s = ahead_s
        self.sent: dict[SocketStream, bytes] = {}
        """The newest answer on each connection, if it is repeated."""

    async def relay(self, caller: SocketStream) -> None:
        try:
            await super().relay(caller)
        finally:
            self.sent.pop(caller, None)

    async def end_answer(
        self, caller: SocketStream, server: SocketStream, answer: bytes, data: bytes
    ) -> None:
        self.answers += 1
        if self.every and self.answers % self.every == 0:
            self.sent[caller] = answer
        await caller.send(data)

    async def relay_answer(
        self, caller: SocketStream, server: SocketStream
    ) -> tuple[bytes, bytes]:
        await self.repeat(caller, self.sent.pop(caller, b""))
        return await super().relay_answer(caller, server)

    async def repeat(self, caller: SocketStream, answer: bytes) -> None:
        """Send an earlier answer again, if there is one."""
        if not answer:
            return
        self.added += 1
        rest = answer[: self.kept(answer)]
        size = max(1, -(-len(rest) // self.pieces))
        for start in range(0, len(rest), size):
            await caller.send(rest[start : start + size])
            await anyio.sleep(PIECE_S)
        await anyio.sleep(self.ahead_s)

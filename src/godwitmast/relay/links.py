"""Websocket link between a follower and the relay of its availability zone."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.protocol import State

from godwitmast.errors import PeerError, PlatformOutcomeUnknown, PlatformUnavailable
from godwitmast.logs import log_event, silent_logger
from godwitmast.platform_api.messages import (
    Conflict,
    Row,
    TransactOutcome,
    Written,
)
from godwitmast.relay.codec import MAX_FRAME_BYTES, decode_frame, encode_frame
from godwitmast.relay.machine import DIAL_TIMEOUT_S
from godwitmast.relay.messages import (
    Beat,
    Frame,
    Outcome,
    ReadAnswered,
    ReadAsked,
    TableChanged,
    TableTold,
    TransactAnswered,
    TransactAsked,
    VmMeasured,
    ZoneMeasured,
)
from godwitmast.types import Json

CLOSE_TIMEOUT_S = 0.5

WEBSOCKET_LOGGER = silent_logger("godwitmast.relay.websockets")

OPTIONS: dict[str, Any] = {
    "max_size": MAX_FRAME_BYTES,
    "max_queue": 16,
    "compression": None,
    "ping_interval": None,
    "close_timeout": CLOSE_TIMEOUT_S,
    "logger": WEBSOCKET_LOGGER,
}

UNREAD_BYTES = 1024 * 1024
"""What may still arrive on a link that is not open. The handshake has a few hundred bytes,
and a link that closes may have some frames on their way."""


class BoundedConnection(Connection):
    """A link that is aborted if bytes without end arrive while it is not open.

    The library discards what follows a frame that is too large, or a handshake that
    failed, until the sender stops or a time-out is over, which may be never.
    """

    unread_bytes = 0

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self.state is State.OPEN:
            return
        self.unread_bytes += len(data)
        if self.unread_bytes > UNREAD_BYTES:
            log_event(
                "relay_link_flooded",
                level="WARNING",
                peer=self.remote_address,
                limit="link",
                allowed=UNREAD_BYTES,
                bytes=self.unread_bytes,
            )
            self.transport.abort()


class BoundedClientConnection(BoundedConnection, ClientConnection):
    """A follower's end of a link."""


class BoundedServerConnection(BoundedConnection, ServerConnection):
    """A relay's end of a link."""


async def read_frames(
    socket: Connection, handle: Callable[[Frame], Awaitable[None]]
) -> None:
    """Pass on each frame until the link closes; a malformed one closes it."""
    try:
        async for data in socket:
            await handle(decode_frame(data))
    except ConnectionClosed:
        return
    except PeerError as error:
        remote = socket.remote_address
        log_event("relay_bad_frame", level="WARNING", peer=remote, error=error)
        await socket.close()


class PendingRequest:
    """A request in flight, and its answer once there is one."""

    def __init__(self) -> None:
        self.answer: TransactAnswered | ReadAnswered | None = None
        self.ended = anyio.Event()


class RelayLink:
    """A follower's link to its relay."""

    def __init__(
        self,
        on_beat: Callable[[Beat], None],
        on_table: Callable[[TableTold | TableChanged], None],
    ) -> None:
        self.on_beat = on_beat
        self.on_table = on_table
        self.on_zone_report: Callable[[bytes], None] = lambda report: None
        self.socket: Connection | None = None
        self.pending: dict[int, PendingRequest] = {}
        self.last_number = 0

    async def run(self, address: str, opened: Callable[[], None]) -> str:
        """Connect and read frames until the link closes; return the reason."""
        try:
            async with connect(
                f"ws://{address}/",
                proxy=None,
                open_timeout=DIAL_TIMEOUT_S,
                create_connection=BoundedClientConnection,
                **OPTIONS,
            ) as socket:
                self.socket = socket
                opened()
                await read_frames(socket, self.handle_frame)
                return f"closed with {socket.close_code}"
        except (OSError, TimeoutError, WebSocketException, EOFError) as error:
            return repr(error)
        finally:
            self.socket = None
            self.fail_waiting()

    def fail_waiting(self) -> None:
        for pending in self.pending.values():
            pending.ended.set()
        self.pending.clear()

    async def handle_frame(self, frame: Frame) -> None:
        match frame:
            case Beat():
                self.on_beat(frame)
            case TableTold() | TableChanged():
                self.on_table(frame)
            case ZoneMeasured():
                self.on_zone_report(frame.report)
            case TransactAnswered(number=number) | ReadAnswered(number=number):
                pending = self.pending.pop(number, None)
                if pending is not None:
                    pending.answer = frame
                    pending.ended.set()
            case _:
                raise PeerError(
                    f"unexpected frame from a relay: {type(frame).__name__}"
                )

    async def send_report(self, report: bytes) -> None:
        """Send this VM's report; one that is lost is followed by the next."""
        if self.socket is None:
            return
        try:
            await self.socket.send(encode_frame(VmMeasured(report)))
        except ConnectionClosed:
            return

    async def transact(
        self,
        checks: dict[str, int],
        writes: dict[str, Json],
        timeout_s: float,
        gather_s: float | None = None,
    ) -> TransactOutcome:
        """Write through the relay; raise PlatformError as the platform's client."""
        self.last_number += 1
        message = TransactAsked(self.last_number, checks, writes, gather_s)
        answer = await self.request(message, timeout_s)
        match answer:
            case TransactAnswered(outcome=Outcome.WRITTEN):
                return Written(answer.versions)
            case TransactAnswered(outcome=Outcome.CONFLICT):
                return Conflict(answer.versions)
            case TransactAnswered(outcome=Outcome.NOT_DONE):
                raise PlatformUnavailable("the relay did not write")
        raise PlatformOutcomeUnknown("the relay reported no outcome")

    async def read(self, keys: list[str], timeout_s: float) -> dict[str, Row]:
        """Read rows through the relay, at most a few seconds old."""
        self.last_number += 1
        answer = await self.request(ReadAsked(self.last_number, keys), timeout_s)
        if not isinstance(answer, ReadAnswered) or not answer.found:
            raise PlatformUnavailable("the relay did not read")
        return {key: Row(*row) for key, row in answer.rows.items()}

    async def request(
        self, message: TransactAsked | ReadAsked, timeout_s: float
    ) -> TransactAnswered | ReadAnswered | None:
        """Return the relay's answer, or None without one in `timeout_s`."""
        pending = self.pending[message.number] = PendingRequest()
        try:
            with anyio.move_on_after(timeout_s):
                if self.socket is not None:
                    await self.socket.send(encode_frame(message))
                    await pending.ended.wait()
        except ConnectionClosed:
            return None
        finally:
            self.pending.pop(message.number, None)
        return pending.answer

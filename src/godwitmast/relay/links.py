"""A link between two VMs of an availability zone, over a websocket."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed, WebSocketException

from godwitmast.errors import PeerError, PlatformOutcomeUnknown, PlatformUnavailable
from godwitmast.logs import log_event, quiet_logger
from godwitmast.platform_api.messages import (
    Conflict,
    Row,
    TransactOutcome,
    Written,
)
from godwitmast.relay.codec import MAX_FRAME_BYTES, decode_frame, encode_frame
from godwitmast.relay.machine import DIAL_S
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
)
from godwitmast.types import Json

CLOSE_S = 0.5

QUIET = quiet_logger("godwitmast.relay.websockets")

OPTIONS: dict[str, Any] = {
    "max_size": MAX_FRAME_BYTES,
    "max_queue": 16,
    "compression": None,
    "ping_interval": None,
    "close_timeout": CLOSE_S,
    "logger": QUIET,
}


async def read_frames(
    socket: Connection, take: Callable[[Frame], Awaitable[None]]
) -> None:
    """Hand over each frame until either end closes the link; a bad one closes it."""
    try:
        async for data in socket:
            await take(decode_frame(data))
    except ConnectionClosed:
        return
    except PeerError as error:
        remote = socket.remote_address
        log_event("relay_bad_frame", level="WARNING", peer=remote, error=error)
        await socket.close()


class Waiting:
    """A question that is out, and its answer once there is one."""

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
        self.socket: Connection | None = None
        self.waiting: dict[int, Waiting] = {}
        self.number = 0

    async def run(self, address: str, opened: Callable[[], None]) -> str:
        """Serve the link while it lasts; return why it ended."""
        try:
            async with connect(
                f"ws://{address}/", proxy=None, open_timeout=DIAL_S, **OPTIONS
            ) as socket:
                self.socket = socket
                opened()
                await read_frames(socket, self.take)
                return f"closed with {socket.close_code}"
        except (OSError, TimeoutError, WebSocketException, EOFError) as error:
            return repr(error)
        finally:
            self.socket = None
            self.fail_waiting()

    def fail_waiting(self) -> None:
        for waiting in self.waiting.values():
            waiting.ended.set()
        self.waiting.clear()

    async def take(self, frame: Frame) -> None:
        match frame:
            case Beat():
                self.on_beat(frame)
            case TableTold() | TableChanged():
                self.on_table(frame)
            case TransactAnswered(number=number) | ReadAnswered(number=number):
                waiting = self.waiting.pop(number, None)
                if waiting is not None:
                    waiting.answer = frame
                    waiting.ended.set()
            case _:
                raise PeerError(f"a relay sent {type(frame).__name__}")

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json], timeout_s: float
    ) -> TransactOutcome:
        """Write through the relay; raise PlatformError like the platform itself."""
        self.number += 1
        asked = TransactAsked(self.number, checks, writes)
        answer = await self.ask(asked, timeout_s)
        match answer:
            case TransactAnswered(outcome=Outcome.WRITTEN):
                return Written(answer.versions)
            case TransactAnswered(outcome=Outcome.CONFLICT):
                return Conflict(answer.versions)
            case TransactAnswered(outcome=Outcome.NOT_DONE):
                raise PlatformUnavailable("the relay could not write")
        raise PlatformOutcomeUnknown("the relay gave no outcome")

    async def read(self, keys: list[str], timeout_s: float) -> dict[str, Row]:
        """Read rows that are a few seconds old at most."""
        self.number += 1
        answer = await self.ask(ReadAsked(self.number, keys), timeout_s)
        if not isinstance(answer, ReadAnswered) or not answer.found:
            raise PlatformUnavailable("the relay could not read")
        return {key: Row(*row) for key, row in answer.rows.items()}

    async def ask(
        self, asked: TransactAsked | ReadAsked, timeout_s: float
    ) -> TransactAnswered | ReadAnswered | None:
        """Return the relay's answer, or None if none came."""
        waiting = self.waiting[asked.number] = Waiting()
        try:
            with anyio.move_on_after(timeout_s):
                if self.socket is not None:
                    await self.socket.send(encode_frame(asked))
                    await waiting.ended.wait()
        except ConnectionClosed:
            return None
        finally:
            self.waiting.pop(asked.number, None)
        return waiting.answer

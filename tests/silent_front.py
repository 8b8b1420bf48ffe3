"""A TCP front of a server that can hold back what passes through it."""

from enum import Enum

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

ENDED = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class Silence(Enum):
    """Which bytes are held back."""

    BOTH_WAYS = "both_ways"
    ANSWERS = "answers"


class SilentFront:
    """Passes bytes on; those of a silence are delivered when it is over, if they still
    can be."""

    def __init__(self, server_port: int) -> None:
        self.server_port = server_port
        self.port = 0
        self.silence: Silence | None = None
        self.changed = anyio.Event()

    async def start(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self.serve)

    def be_silent(self, silence: Silence | None) -> None:
        """Begin a silence, or end it."""
        self.silence = silence
        self.changed.set()
        self.changed = anyio.Event()

    def holds(self, is_answer: bool) -> bool:
        match self.silence:
            case None:
                return False
            case Silence.BOTH_WAYS:
                return True
            case Silence.ANSWERS:
                return is_answer

    async def serve(self, caller: SocketStream) -> None:
        async with (
            caller,
            await anyio.connect_tcp("127.0.0.1", self.server_port) as server,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self.relay, caller, server, False, tasks.cancel_scope)
            tasks.start_soon(self.relay, server, caller, True, tasks.cancel_scope)

    async def relay(
        self,
        source: SocketStream,
        target: SocketStream,
        is_answer: bool,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive()
                while self.holds(is_answer):
                    await self.changed.wait()
                await target.send(data)
        except ENDED:
            scope.cancel()

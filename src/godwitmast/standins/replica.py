"""A stand-in of a backend server of the users' platform, with faults on command."""

from dataclasses import dataclass, field
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from godwitmast.entry.refusals import send_response
from godwitmast.http_server import HttpServer, Receive, Scope, Send
from godwitmast.platform.wire import (
    ATTEMPT_ID,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    READY,
    SERVER_LOAD,
)
from godwitmast.settings import Listen
from godwitmast.standins.store import StoreStandin, read_all
from godwitmast.types import Json

SEAL = b"server-seal"
"""Stands for the platform's signature of an answer, which callers check."""


class Served(NamedTuple):
    """A request as it came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class ReplicaFaults:
    """What is wrong with the server now."""

    status: int = 200
    sheds: bool = False
    """It runs nothing, and says so."""
    cut_after: int | None = None
    """Its streams break off after so many events; a plain answer half-way."""
    wrong_id: bool = False
    """Its answers bear another request's id."""
    hangs: bool = False
    """It never answers."""


@dataclass
class ReplicaStandin:
    """A server that streams numbered events, or answers in one piece."""

    store: StoreStandin
    server_id: str
    service: str
    streams: bool = False
    zone: str = "z1"
    events: int = 5
    event_s: float = 0.01
    places: int = 8
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    served: list[Served] = field(default_factory=list)
    running: int = 0
    left: int = 0
    """How many callers closed their connection before the answer's end."""

    def __post_init__(self) -> None:
        self.server = HttpServer(self, Listen(), grace_s=0.1)

    async def start(self, tasks: TaskGroup) -> None:
        await self.server.start(tasks)
        self.say(READY)

    async def close(self) -> None:
        await self.server.close()

    def say(self, state: str, **others: Json) -> None:
        """Write this server's row."""
        row = {
            "service": self.service,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": self.zone,
            "version": "v1",
            "batchSlots": self.places,
            "state": state,
            "coldLeftMs": 0,
            "sequence": len(self.served),
        }
        self.store.put_server(self.server_id, {**row, **others})

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body = await read_all(receive)
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        if headers.get(EXPECT_INSTANCE, self.server_id) != self.server_id:
            await send_response(send, 421, [], b"")
            return
        if self.faults.sheds:
            await send_response(send, 503, [(NOT_EXECUTED.encode(), b"1")], b"")
            return
        target = scope["raw_path"].decode()
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode()
        self.served.append(Served(scope["method"], target, headers, body))
        self.running += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.watch, receive, tasks.cancel_scope)
                await self.answer(headers, send)
                tasks.cancel_scope.cancel()
        finally:
            self.running -= 1

    async def watch(self, receive: Receive, scope: anyio.CancelScope) -> None:
        """Stop work when the caller closes its connection, as most servers do."""
        while (await receive())["type"] != "http.disconnect":
            pass
        self.left += 1
        scope.cancel()

    async def answer(self, headers: dict[str, str], send: Send) -> None:
        if self.faults.hangs:
            await anyio.sleep_forever()
        attempt_id = "another" if self.faults.wrong_id else headers.get(ATTEMPT_ID, "")
        head = [
            (ATTEMPT_ID.encode(), attempt_id.encode()),
            (SEAL, self.server_id.encode()),
            (SERVER_LOAD.encode(), f"{self.running},0,{self.places}".encode()),
        ]
        if self.streams and self.faults.status == 200:
            await self.stream(int(headers.get(LAST_EVENT_ID, "0")), head, send)
            return
        body = f"answer of {self.service}".encode()
        if self.faults.cut_after is None:
            await send_response(send, self.faults.status, head, body)
            return
        length = (b"content-length", str(len(body)).encode())
        await self.open(send, self.faults.status, [*head, length])
        half = body[: len(body) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})

    async def stream(
        self, after: int, head: list[tuple[bytes, bytes]], send: Send
    ) -> None:
        """Send the events past `after`; without its last message it is cut."""
        await self.open(send, 200, [*head, (b"content-type", b"text/event-stream")])
        for number in range(after + 1, self.events + 1):
            if self.faults.cut_after is not None and number > self.faults.cut_after:
                half = f"id: {number}\nda".encode()
                await send(
                    {"type": "http.response.body", "body": half, "more_body": True}
                )
                return
            await anyio.sleep(self.event_s)
            event = f"id: {number}\ndata: event {number}\n\n".encode()
            await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    async def open(
        self, send: Send, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

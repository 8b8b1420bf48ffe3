"""A stand-in of a backend server of the users' platform, with faults."""

from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from hypercorn.utils import UnexpectedMessageError

from godwitmast.entry.refusals import send_response
from godwitmast.http_server import HttpServer, Receive, Scope, Send
from godwitmast.platform.wire import (
    ATTEMPT_ID,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    READY,
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
)
from godwitmast.settings import Listen
from godwitmast.standins.store import StoreStandin, read_body
from godwitmast.standins.unframed import UnframedFront
from godwitmast.types import Json

SEAL_HEADER = b"server-seal"
"""Header that stands for the platform's signature of an answer, which callers check."""


ROW_EXPIRY_S = 0.5
"""How long after its crash a server's row is removed."""


LONG_EVENT_BYTES = 512 * 1024


class ReceivedRequest(NamedTuple):
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class ReplicaFaults:
    """Faults that are switched on at the moment."""

    status: int = 200
    sheds: bool = False
    """It refuses every request with a header that says that it was not executed."""
    cut_after: int | None = None
    """Streams break off within the event after this number; plain answers half-way."""
    content_type: str = "text/event-stream"
    """Type that it gives for its streams."""
    cut_between: bool = False
    """Streams break off before that event instead."""
    wrong_id: bool = False
    """Its answers carry the attempt id of another request."""
    hangs: bool = False
    """It accepts requests and never answers."""
    rate_limit: str | None = None
    """Requests a second that it states to take, in each of its answers."""
    rejection_limit: str | None = None
    """Rejections a second that it says it bears, in each of its answers."""
    leaving: bool = False
    """It states in each of its answers that it is leaving."""
    retry_after: str | None = None
    """For how long it says, with each refusal, that it wants no more requests."""
    long_event: int | None = None
    """In streams the event with this number is `LONG_EVENT_BYTES` long."""
    body_bytes: int | None = None
    """Length of its plain answers."""
    answer_bytes: int | None = None
    """Length of its plain answers, and of each event of its streams."""
    crash_on: bytes | None = None
    """A request whose body is this crashes it: all of its answers break off."""


@dataclass
class ReplicaStandin:
    """A backend server that streams numbered events, or answers in one piece."""

    store: StoreStandin
    server_id: str
    service: str
    streams: bool = False
    zone: str = "z1"
    events: int = 5
    event_s: float = 0.01
    places: int = 8
    work_s: float = 0.0
    """How long it works on a plain answer."""
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    served: list[ReceivedRequest] = field(default_factory=list)
    running: int = 0
    crashes: int = 0
    shed: int = 0
    disconnects: int = 0
    """Number of callers that closed their connection before the end of the answer."""
    version: str = "v1"
    """Version of its software, in its row."""

    def __post_init__(self) -> None:
        self.server = HttpServer(self, Listen(), grace_s=0.1)
        self.running_scopes: set[anyio.CancelScope] = set()
        self.crashed_scopes: set[anyio.CancelScope] = set()
        self.port = 0

    async def start(self, tasks: TaskGroup) -> None:
        await self.server.start(tasks)
        self.port = self.server.port
        self.publish_row(READY)

    async def remove_framing(self, tasks: TaskGroup, resets: bool = False) -> None:
        """Answer without a length or chunks from now on; see `UnframedFront`."""
        front = UnframedFront(self.server.port, resets)
        await front.start(tasks)
        self.port = front.port
        self.publish_row(READY)

    async def close(self) -> None:
        await self.server.close()

    def publish_row(self, state: str, **more_fields: Json) -> None:
        """Write this server's row to the store; `more_fields` replace or add to it."""
        row = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "batchSlots": self.places,
            "state": state,
            "coldLeftMs": 0,
            "sequence": len(self.served),
        }
        self.store.put_server(self.server_id, {**row, **more_fields})

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        if headers.get(EXPECT_INSTANCE, self.server_id) != self.server_id:
            await send_response(send, 421, [], b"")
            return
        if self.faults.sheds:
            self.shed += 1
            refusal = [(NOT_EXECUTED.encode(), b"1"), *self.stated_headers()]
            if self.faults.retry_after is not None:
                refusal.append((b"retry-after", self.faults.retry_after.encode()))
            await send_response(send, 503, refusal, b"")
            return
        target = scope["raw_path"].decode()
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode()
        self.served.append(ReceivedRequest(scope["method"], target, headers, body))
        self.running += 1
        try:
            async with anyio.create_task_group() as tasks:
                self.running_scopes.add(tasks.cancel_scope)
                tasks.start_soon(self.cancel_on_disconnect, receive, tasks.cancel_scope)
                if self.faults.crash_on is not None and body == self.faults.crash_on:
                    await anyio.sleep(self.event_s)
                    self.crash()
                    await anyio.sleep_forever()
                await self.answer(headers, send)
                tasks.cancel_scope.cancel()
            if tasks.cancel_scope in self.crashed_scopes:
                await self.break_off(headers, send)
        finally:
            self.running_scopes.discard(tasks.cancel_scope)
            self.crashed_scopes.discard(tasks.cancel_scope)
            self.running -= 1

    def crash(self) -> None:
        """Break off all answers; the server is back at once, under another id."""
        self.crashes += 1
        if self.store.tasks is not None:
            self.store.tasks.start_soon(self.remove_row_later, self.server_id)
        self.server_id = f"{self.server_id.partition('-')[0]}-{self.crashes}"
        self.publish_row(READY)
        self.crashed_scopes |= self.running_scopes
        for scope in self.running_scopes:
            scope.cancel()

    async def break_off(self, headers: dict[str, str], send: Send) -> None:
        """End the connection within the answer; without any, the library sends a 500."""
        attempt_id = headers.get(ATTEMPT_ID, "").encode()
        with suppress(UnexpectedMessageError):
            await self.send_head(send, 200, [(ATTEMPT_ID.encode(), attempt_id)])
        await send({"type": "http.response.body", "body": b"\n", "more_body": True})

    async def remove_row_later(self, server_id: str) -> None:
        """Remove the row of a server that crashed, as its heartbeats are missing."""
        await anyio.sleep(ROW_EXPIRY_S)
        self.store.remove_server(server_id)

    async def cancel_on_disconnect(
        self, receive: Receive, scope: anyio.CancelScope
    ) -> None:
        """Cancel the work when the caller closes its connection, as most servers do."""
        while (await receive())["type"] != "http.disconnect":
            pass
        self.disconnects += 1
        scope.cancel()

    async def answer(self, headers: dict[str, str], send: Send) -> None:
        if self.faults.hangs:
            await anyio.sleep_forever()
        attempt_id = "another" if self.faults.wrong_id else headers.get(ATTEMPT_ID, "")
        head = [
            (ATTEMPT_ID.encode(), attempt_id.encode()),
            (SEAL_HEADER, self.server_id.encode()),
            (SERVER_LOAD.encode(), f"{self.running},0,{self.places}".encode()),
            *self.stated_headers(),
        ]
        if self.streams and self.faults.status == 200:
            await self.send_events(int(headers.get(LAST_EVENT_ID, "0")), head, send)
            return
        await anyio.sleep(self.work_s)
        body = f"answer of {self.service}".encode()
        if self.faults.body_bytes is not None:
            body = b"x" * self.faults.body_bytes
        if self.faults.answer_bytes is not None and self.is_large(headers):
            body = b"x" * self.faults.answer_bytes
        if self.faults.cut_after is None:
            await send_response(send, self.faults.status, head, body)
            return
        length = (b"content-length", str(len(body)).encode())
        await self.send_head(send, self.faults.status, [*head, length])
        half = body[: len(body) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})

    def is_large(self, headers: dict[str, str]) -> bool:
        """Return whether a request asks for an answer of the length in the faults."""
        return "x-large" in headers

    def stated_headers(self) -> list[tuple[bytes, bytes]]:
        faults = self.faults
        stated = [
            (SERVER_LEAVING, "1" if faults.leaving else None),
            (SERVER_LIMIT, faults.rate_limit),
            (SERVER_BRITTLE, faults.rejection_limit),
        ]
        return [
            (name.encode(), value.encode())
            for name, value in stated
            if value is not None
        ]

    async def send_events(
        self, after: int, head: list[tuple[bytes, bytes]], send: Send
    ) -> None:
        """Send the events after number `after`; the fault `cut_after` breaks off the stream."""
        content_type = (b"content-type", self.faults.content_type.encode())
        await self.send_head(send, 200, [*head, content_type])
        for number in range(after + 1, self.events + 1):
            if self.faults.cut_after is not None and number > self.faults.cut_after:
                half = b"" if self.faults.cut_between else f"id: {number}\nda".encode()
                await send(
                    {"type": "http.response.body", "body": half, "more_body": True}
                )
                return
            await anyio.sleep(self.event_s)
            data = f"event {number}"
            if self.faults.answer_bytes is not None:
                data = data.ljust(self.faults.answer_bytes, "x")
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if number == self.faults.long_event:
                event = b"data: " + b"x" * LONG_EVENT_BYTES
            await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    async def send_head(
        self, send: Send, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

"""A stand-in of the users' platform: its store, and its intake of usage."""

import base64
import time
from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import parse_qs

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitmast.entry.refusals import send_json, send_response
from godwitmast.http_server import HttpServer, Receive, Scope, Send
from godwitmast.platform.wire import (
    CONFIG_KEY,
    DUTY_HOLDER,
    FENCING_TOKEN,
    FOLLOW_ROWS,
    GET_OBJECT,
    OPERATOR_TABLE,
    ORDER_SERVERS,
    PUT_OBJECT,
    READ_ROWS,
    REPORT_USAGE,
    SERVERS_TABLE,
    TRANSACT,
    StoredRow,
)
from godwitmast.settings import Listen
from godwitmast.types import Json

FOREVER_S = 3600.0


class UsageReport(NamedTuple):
    """A report as it came."""

    holder: str
    fence: int
    window: int
    counts: dict[str, int]


class ServersOrder(NamedTuple):
    """An order for a number of servers as it came."""

    holder: str
    fence: int
    service: str
    zone: str
    kind: str
    number: int


@dataclass
class StoreFaults:
    """What is wrong with the store now."""

    refused: int | None = None
    """Every call is answered with this status, and nothing is done."""
    silent: bool = False
    """No call is answered or done."""
    answers_lost: bool = False
    """Calls are done, and their answers do not come."""
    dry: bool = False
    """No server that may be taken away is to be had."""
    late_s: float = 0.0
    """Transactions without an answer are done so much later, if they still may."""


@dataclass
class StoreStandin:
    """Rows with one counter of versions, a feed of changes, and objects."""

    listen: Listen = field(default_factory=Listen)
    rows: dict[tuple[str, str], StoredRow] = field(default_factory=dict)
    history: list[StoredRow] = field(default_factory=list)
    objects: dict[str, bytes] = field(default_factory=dict)
    reports: list[UsageReport] = field(default_factory=list)
    orders: list[ServersOrder] = field(default_factory=list)
    calls: list[str] = field(default_factory=list)
    faults: StoreFaults = field(default_factory=StoreFaults)
    version: int = 0
    forgotten: int = 0
    """The history up to this version is no longer told."""

    def __post_init__(self) -> None:
        self.server = HttpServer(self, self.listen, grace_s=0.1)
        self.changed = anyio.Event()
        self.started_at = time.monotonic()
        self.tasks: TaskGroup | None = None

    async def start(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        await self.server.start(tasks)

    async def close(self) -> None:
        await self.server.close()

    def write(self, puts: list[StoredRow]) -> None:
        """Put rows, or remove them, in one transaction."""
        self.version += 1
        for row in puts:
            row.ver = self.version
            place = (row.table, row.key)
            if row.removed:
                self.rows.pop(place, None)
            else:
                self.rows[place] = row
            self.history.append(row)
        self.changed.set()
        self.changed = anyio.Event()

    def put_config(self, config: Json) -> None:
        """Write a configuration, as the operator does."""
        self.put(OPERATOR_TABLE, CONFIG_KEY, msgspec.json.encode(config))

    def put_server(self, server_id: str, said: Json) -> None:
        """Write what a backend server says of itself."""
        self.put(SERVERS_TABLE, server_id, msgspec.json.encode(said))

    def remove_server(self, server_id: str) -> None:
        self.remove(SERVERS_TABLE, server_id)

    def remove(self, table: str, key: str) -> None:
        self.write([StoredRow(key, table, removed=True)])

    def put(self, table: str, key: str, content: bytes) -> None:
        value = base64.b64encode(content).decode()
        self.write([StoredRow(key, table, value=value)])

    def forget_history(self) -> None:
        """Drop all changes so far, as the store may at any time."""
        self.forgotten = self.version
        self.history.clear()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body = await read_all(receive)
        path = scope["path"]
        self.calls.append(path)
        if self.faults.silent:
            await anyio.sleep(FOREVER_S)
        if self.faults.refused is not None:
            await send_json(send, self.faults.refused, {})
            return
        if path == TRANSACT and self.faults.late_s and self.tasks:
            self.tasks.start_soon(self.transact_later, body, self.faults.late_s)
            await anyio.sleep(FOREVER_S)
        await self.answer(scope, body, send)

    async def transact_later(self, body: bytes, wait_s: float) -> None:
        await anyio.sleep(wait_s)
        self.transact(msgspec.json.decode(body))

    async def answer(self, scope: Scope, body: bytes, send: Send) -> None:
        path = scope["path"]
        query = {
            name: values[0]
            for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        status, content = 200, b"{}"
        if path == TRANSACT:
            status, content = self.transact(msgspec.json.decode(body))
        elif path == READ_ROWS:
            content = self.read(query)
        elif path == FOLLOW_ROWS:
            status, content = await self.follow(query)
        elif path.startswith(PUT_OBJECT):
            self.objects[path.removeprefix(PUT_OBJECT)] = body
        elif path.startswith(GET_OBJECT):
            found = self.objects.get(path.removeprefix(GET_OBJECT))
            status, content = (404, b"") if found is None else (200, found)
        elif path == REPORT_USAGE:
            self.take_report(scope, msgspec.json.decode(body))
        elif path == ORDER_SERVERS:
            status = self.take_order(scope, msgspec.json.decode(body))
        else:
            status = 404
        if self.faults.answers_lost:
            await anyio.sleep(FOREVER_S)
        await send_response(
            send, status, [(b"content-type", b"application/json")], content
        )

    def transact(self, asked: Json) -> tuple[int, bytes]:
        """Do all of a transaction, or nothing."""
        expected = asked["expected"]
        found = [self.rows.get((item["table"], item["key"])) for item in expected]
        versions = [row.ver if row else 0 for row in found]
        if versions != [item["ver"] for item in expected]:
            return 412, self.encode([row for row in found if row])
        puts = [
            StoredRow(item["key"], item["table"], value=item["value"])
            for item in asked["puts"]
        ]
        gone = [
            StoredRow(item["key"], item["table"], removed=True)
            for item in asked["remove"]
        ]
        self.write(puts + gone)
        return 200, self.encode([])

    def read(self, query: dict[str, str]) -> bytes:
        """Return the rows of a range."""
        start, end = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and key >= start and (end is None or key < end)
        ]
        limit = int(query.get("limit", "500"))
        return self.encode(rows[:limit], len(rows) > limit)

    async def follow(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return what changed after a version, once something has."""
        after = int(query["afterRevision"])
        with anyio.move_on_after(int(query["waitMs"]) / 1000):
            while after >= self.forgotten and not self.since(after, query["table"]):
                await self.changed.wait()
        if after < self.forgotten:
            return 410, b"{}"
        return 200, self.encode(self.since(after, query["table"]))

    def since(self, version: int, table: str) -> list[StoredRow]:
        return [row for row in self.history if row.ver > version and row.table == table]

    def encode(self, rows: list[StoredRow], truncated: bool = False) -> bytes:
        now_ms = (time.monotonic() - self.started_at) * 1000
        return msgspec.json.encode(
            {"rows": rows, "truncated": truncated, "ver": self.version, "nowMs": now_ms}
        )

    def take_order(self, scope: Scope, order: Json) -> int:
        """Note an order; whoever plays the platform carries it out, or not."""
        holder, fence = duty_of(scope)
        spot = order.get("spot", False)
        if spot and self.faults.dry:
            return 409
        kind = "spot" if spot else "standard"
        asked = order["service"], order["zone"], kind, order["desired"]
        self.orders.append(ServersOrder(holder, fence, *asked))
        return 200

    def take_report(self, scope: Scope, report: Json) -> None:
        holder, fence = duty_of(scope)
        self.reports.append(
            UsageReport(holder, fence, report["window"], report["counts"])
        )


def duty_of(scope: Scope) -> tuple[str, int]:
    """Return the holder and the fencing token that a call of a duty names."""
    headers = {name.decode(): value.decode() for name, value in scope["headers"]}
    return headers[DUTY_HOLDER.lower()], int(headers[FENCING_TOKEN.lower()])


async def read_all(receive: Receive) -> bytes:
    """Return a whole body."""
    pieces = []
    more = True
    while more:
        message = await receive()
        pieces.append(message.get("body", b""))
        more = message.get("more_body", False)
    return b"".join(pieces)

"""A stand-in of the users' platform: its store, usage intake and orders of servers."""

import base64
import time
from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import parse_qs

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitmast.entry.refusals import send_response
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
    STORE_ERA,
    TRANSACT,
    StoredRow,
)
from godwitmast.settings import Listen
from godwitmast.types import Json

NO_ANSWER_S = 3600.0
"""Time for which a call without an answer is held; longer than any caller waits."""


class UsageReport(NamedTuple):
    """A usage report as received."""

    holder: str
    fence: int
    window: int
    counts: dict[str, int]


class ServersOrder(NamedTuple):
    """An order for a number of backend servers as received."""

    holder: str
    fence: int
    service: str
    zone: str
    kind: str
    number: int


class DutyArrival(NamedTuple):
    """A call of a lease holder that was performed; the times are the stand-in's."""

    holder: str
    fence: int
    subject: tuple[str, ...]
    received_s: float
    performed_s: float


class LateCall(NamedTuple):
    """The next call to a path is performed late, also if its caller is gone by then."""

    path: str
    wait_s: float
    answered: bool = False


class StoreBackup(NamedTuple):
    """The content of the store as of one moment."""

    rows: dict[tuple[str, str], StoredRow]
    history: list[StoredRow]
    objects: dict[str, bytes]
    version: int


@dataclass
class StoreFaults:
    """Faults that are switched on at the moment."""

    refusal_status: int | None = None
    """Status with which every call is refused; nothing is executed."""
    silent: bool = False
    """No call is executed or answered."""
    answers_lost: bool = False
    """Calls are executed, but not answered."""
    spot_unavailable: bool = False
    """Orders of spot servers are refused, as there are none."""
    late_s: float = 0.0
    """If above 0, transactions get no answer and are executed after this delay, unless a
    row has another version by then."""
    late_call: LateCall | None = None
    """One usage report or order that is performed late; None again once it is received."""


@dataclass
class StoreStandin:
    """Rows that share one version counter, a feed of their changes, and objects."""

    listen: Listen = field(default_factory=Listen)
    rows: dict[tuple[str, str], StoredRow] = field(default_factory=dict)
    history: list[StoredRow] = field(default_factory=list)
    objects: dict[str, bytes] = field(default_factory=dict)
    reports: list[UsageReport] = field(default_factory=list)
    orders: list[ServersOrder] = field(default_factory=list)
    arrivals: list[DutyArrival] = field(default_factory=list)
    """Usage reports and orders, in the order in which they were performed."""
    calls: list[str] = field(default_factory=list)
    faults: StoreFaults = field(default_factory=StoreFaults)
    version: int = 0
    epoch: int | None = None
    """Sent with each answer; none if the store tells no epoch."""
    compacted_version: int = 0
    """Changes up to this version are no longer in the history."""

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

    def seconds(self) -> float:
        """Return the seconds since the stand-in was made."""
        return time.monotonic() - self.started_at

    def write(self, puts: list[StoredRow]) -> None:
        """Write or remove rows in one transaction, without checks."""
        self.version += 1
        for row in puts:
            row.ver = self.version
            location = (row.table, row.key)
            if row.removed:
                self.rows.pop(location, None)
            else:
                self.rows[location] = row
            self.history.append(row)
        self.changed.set()
        self.changed = anyio.Event()

    def put_config(self, config: Json) -> None:
        """Write a configuration as the operator does."""
        self.put(OPERATOR_TABLE, CONFIG_KEY, msgspec.json.encode(config))

    def put_server(self, server_id: str, row: Json) -> None:
        """Write the row in which a backend server describes itself."""
        self.put(SERVERS_TABLE, server_id, msgspec.json.encode(row))

    def remove_server(self, server_id: str) -> None:
        self.remove(SERVERS_TABLE, server_id)

    def remove(self, table: str, key: str) -> None:
        self.write([StoredRow(key, table, removed=True)])

    def put(self, table: str, key: str, content: bytes) -> None:
        value = base64.b64encode(content).decode()
        self.write([StoredRow(key, table, value=value)])

    def backup(self) -> StoreBackup:
        """Return a copy of the store's present content."""
        return StoreBackup(
            dict(self.rows), list(self.history), dict(self.objects), self.version
        )

    def restore(self, backup: StoreBackup) -> None:
        """Go back to a copy, and break off the calls that wait for changes.

        The operators and the servers then write their rows again; a test does that.
        """
        self.rows = dict(backup.rows)
        self.history = list(backup.history)
        self.objects = dict(backup.objects)
        self.version = backup.version
        self.epoch = (self.epoch or 0) + 1
        self.changed.set()
        self.changed = anyio.Event()

    def compact_history(self) -> None:
        """Drop the history of all changes so far, as the store may at any time."""
        self.compacted_version = self.version
        self.history.clear()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        if not is_whole(scope, body):
            return
        path = scope["path"]
        self.calls.append(path)
        if self.faults.silent:
            await anyio.sleep(NO_ANSWER_S)
        if self.faults.refusal_status is not None:
            await self.respond(send, self.faults.refusal_status, b"{}")
            return
        if path == TRANSACT and self.faults.late_s and self.tasks:
            self.tasks.start_soon(self.transact_later, body, self.faults.late_s)
            await anyio.sleep(NO_ANSWER_S)
        if path in (REPORT_USAGE, ORDER_SERVERS):
            status = await self.receive_duty_call(scope, body)
            if self.faults.answers_lost:
                await anyio.sleep(NO_ANSWER_S)
            await self.respond(send, status, b"{}")
            return
        await self.answer(scope, body, send)

    async def receive_duty_call(self, scope: Scope, body: bytes) -> int:
        """Perform a duty's call, perhaps late, and return its status."""
        received_s = self.seconds()
        late = self.faults.late_call
        if late is None or late.path != scope["path"] or self.tasks is None:
            return self.perform_duty_call(scope, body, received_s)
        self.faults.late_call = None
        statuses: list[int] = []
        performed = anyio.Event()

        async def perform_late() -> None:
            await anyio.sleep(late.wait_s)
            statuses.append(self.perform_duty_call(scope, body, received_s))
            performed.set()

        # A task of the stand-in: the one of the request may end with its connection.
        self.tasks.start_soon(perform_late)
        await performed.wait()
        if not late.answered:
            await anyio.sleep(NO_ANSWER_S)
        return statuses[0]

    def perform_duty_call(self, scope: Scope, body: bytes, received_s: float) -> int:
        """Record a duty's call as arrived now, and return its status."""
        content = msgspec.json.decode(body)
        subject: tuple[str, ...] = ("usage",)
        status = 200
        if scope["path"] == REPORT_USAGE:
            self.record_report(scope, content)
        else:
            status = self.record_order(scope, content)
            kind = "spot" if content.get("spot", False) else "standard"
            subject = ("order", content["service"], content["zone"], kind)
        holder, fence = read_duty_headers(scope)
        self.arrivals.append(
            DutyArrival(holder, fence, subject, received_s, self.seconds())
        )
        return status

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
        else:
            status = 404
        if self.faults.answers_lost:
            await anyio.sleep(NO_ANSWER_S)
        await self.respond(send, status, content)

    async def respond(self, send: Send, status: int, content: bytes) -> None:
        headers = [(b"content-type", b"application/json")]
        if self.epoch is not None:
            headers.append((STORE_ERA.encode(), str(self.epoch).encode()))
        await send_response(send, status, headers, content)

    def transact(self, transaction: Json) -> tuple[int, bytes]:
        """Execute a transaction if all expected versions match; return status and body."""
        expected = transaction["expected"]
        found = [self.rows.get((item["table"], item["key"])) for item in expected]
        versions = [row.ver if row else 0 for row in found]
        if versions != [item["ver"] for item in expected]:
            return 412, self.encode_rows([row for row in found if row])
        puts = [
            StoredRow(item["key"], item["table"], value=item["value"])
            for item in transaction["puts"]
        ]
        gone = [
            StoredRow(item["key"], item["table"], removed=True)
            for item in transaction["remove"]
        ]
        self.write(puts + gone)
        return 200, self.encode_rows([])

    def read(self, query: dict[str, str]) -> bytes:
        """Return the rows of a table in a range of keys, up to the limit asked for."""
        start, end = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and key >= start and (end is None or key < end)
        ]
        limit = int(query.get("limit", "500"))
        return self.encode_rows(rows[:limit], len(rows) > limit)

    async def follow(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return status and body of a call that waits for changes after a version.

        It returns as soon as there are any, or none at the end of the wait. The status
        is 410 if the history does not reach back to that version, or the store has not
        reached it, and 503 if the store is restored meanwhile.
        """
        after = int(query["afterRevision"])
        epoch = self.epoch
        with anyio.move_on_after(int(query["waitMs"]) / 1000):
            while self.has_history(after) and not self.changes_after(
                after, query["table"]
            ):
                await self.changed.wait()
                if self.epoch != epoch:
                    return 503, b"{}"
        if not self.has_history(after):
            return 410, b"{}"
        return 200, self.encode_rows(self.changes_after(after, query["table"]))

    def has_history(self, version: int) -> bool:
        """Return whether the changes after a version are known."""
        return self.compacted_version <= version <= self.version

    def changes_after(self, version: int, table: str) -> list[StoredRow]:
        return [row for row in self.history if row.ver > version and row.table == table]

    def encode_rows(self, rows: list[StoredRow], truncated: bool = False) -> bytes:
        now_ms = self.seconds() * 1000
        return msgspec.json.encode(
            {"rows": rows, "truncated": truncated, "ver": self.version, "nowMs": now_ms}
        )

    def record_order(self, scope: Scope, order: Json) -> int:
        """Record an order and return the status; a test starts the servers, or not."""
        holder, fence = read_duty_headers(scope)
        spot = order.get("spot", False)
        if spot and self.faults.spot_unavailable:
            return 409
        kind = "spot" if spot else "standard"
        requested = order["service"], order["zone"], kind, order["desired"]
        self.orders.append(ServersOrder(holder, fence, *requested))
        return 200

    def record_report(self, scope: Scope, report: Json) -> None:
        holder, fence = read_duty_headers(scope)
        self.reports.append(
            UsageReport(holder, fence, report["window"], report["counts"])
        )


def read_duty_headers(scope: Scope) -> tuple[str, int]:
    """Return the holder and the fencing token from the headers of a duty's call."""
    headers = {name.decode(): value.decode() for name, value in scope["headers"]}
    return headers[DUTY_HOLDER.lower()], int(headers[FENCING_TOKEN.lower()])


def is_whole(scope: Scope, body: bytes) -> bool:
    """Return whether a body is as long as announced, so not broken off."""
    headers = dict(scope["headers"])
    return len(body) == int(headers.get(b"content-length", len(body)))


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    chunks = []
    more = True
    while more:
        message = await receive()
        chunks.append(message.get("body", b""))
        more = message.get("more_body", False)
    return b"".join(chunks)

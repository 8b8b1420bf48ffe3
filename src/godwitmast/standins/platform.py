"""A stand-in of the platform that `platform_api` calls, over HTTP, with faults.

It offers the table, objects, orders of servers, the usage intake, and the lists of VMs
and servers. The stand-ins of the users' platform are in `store` and `replica`.
"""

import json
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send

from godwitmast.config.parsing import parse_document
from godwitmast.config.rows import (
    HEAD_KEY,
    Delta,
    Head,
    Snapshot,
    delta_key,
    encode_snapshot,
    first_objects,
    first_rows,
    snapshot_name,
)
from godwitmast.http_server import HttpServer
from godwitmast.standins.settings import (
    PlatformStandinSettings,
    SpareServer,
    VmEntry,
)
from godwitmast.standins.table import Table
from godwitmast.types import Json

LOST_ANSWER_S = 30.0
"""Time for which a lost answer is held back; longer than the client's time-out."""

SCAN_LIMIT = 1000


@dataclass
class PlatformFaults:
    """Faults that are switched on at the moment."""

    outage: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_answers_share: float = 0.0
    cheap_unavailable: list[str] = field(default_factory=list)


@dataclass
class TokenBucket:
    """Token bucket that limits the platform's reads or writes."""

    rate: float
    filled_at: float = 0.0

    def __post_init__(self) -> None:
        self.level = self.rate

    def try_take(self, amount: float, now: float) -> bool:
        refilled = self.level + (now - self.filled_at) * self.rate
        self.level = min(self.rate, refilled)
        self.filled_at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


@dataclass
class OrderedServer:
    """A backend server that was ordered, and the times of its changes of state."""

    spare: SpareServer
    order_id: str
    pools: list[str]
    ordered_at: float
    evict_at: float | None = None


@dataclass
class StandinPlatform:
    """The platform's HTTP interface, its records and its faults."""

    settings: PlatformStandinSettings
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    table: Table = field(default_factory=Table)

    def __post_init__(self) -> None:
        settings = self.settings
        self.objects: dict[str, bytes] = {}
        self.reads = TokenBucket(settings.reads_per_s)
        self.writes = TokenBucket(settings.writes_per_s)
        self.random = random.Random(1)
        self.closing = anyio.Event()
        self.requests: dict[str, int] = {}
        self.order_log: list[dict[str, Any]] = []
        self.usage_reports: list[dict[str, Any]] = []
        self.servers: dict[str, OrderedServer] = {}
        self.orders: dict[str, str] = {}
        self.fence = 0
        self.vms = {vm.node: vm for vm in settings.vms}
        self.vm_history: list[tuple[float, list[Any]]] = []
        self.app = Starlette(
            routes=[
                Route("/table/read", self.read, methods=["POST"]),
                Route("/table/scan", self.scan, methods=["POST"]),
                Route("/table/transact", self.transact, methods=["POST"]),
                Route("/objects/{name:path}", self.get_object, methods=["GET"]),
                Route("/objects/{name:path}", self.put_object, methods=["PUT"]),
                Route("/orders", self.execute_order, methods=["POST"]),
                Route("/orders/{order_id}", self.get_order),
                Route("/fleet", self.fleet),
                Route("/vms", self.list_vms, methods=["GET"]),
                Route("/usage", self.record_usage, methods=["POST"]),
                Route("/_standin/faults", self.set_faults, methods=["POST"]),
                Route("/_standin/evict", self.evict, methods=["POST"]),
                Route("/_standin/vms", self.set_vm, methods=["POST"]),
                Route("/_standin/records", self.records),
            ]
        )
        if settings.config:
            self.load_config(Path(settings.config))
        self.server = HttpServer(FaultMiddleware(self), settings.listen, grace_s=1.0)

    def load_config(self, path: Path) -> None:
        """Put the configuration of a file in force, as version 1."""
        self.put_config(json.loads(path.read_text()))

    def put_config(self, document: Json) -> int:
        """Put a whole document in force as if by one patch; return its number."""
        parse_document(document)
        row = self.table.read([HEAD_KEY]).get(HEAD_KEY)
        if row is None:
            self.objects |= first_objects(document)
            self.table.transact({HEAD_KEY: 0}, first_rows(document))
            return 1
        number = row.value["number"] + 1
        name = snapshot_name(number, "whole")
        self.objects[name] = encode_snapshot(Snapshot(number, document))
        head = Head(number, name, number)
        delta = Delta(number, document, f"whole-{number}", reason="whole document")
        self.table.transact(
            {HEAD_KEY: row.version},
            {HEAD_KEY: head._asdict(), delta_key(number): delta._asdict()},
        )
        return number

    async def start(self, tasks: TaskGroup) -> None:
        await self.server.start(tasks)

    async def close(self) -> None:
        self.closing.set()
        await self.server.close()

    async def read(self, request: Request) -> Response:
        keys = (await request.json())["keys"]
        if not self.reads.try_take(max(1, len(keys)), anyio.current_time()):
            return throttled()
        return JSONResponse({"rows": rows_by_key(self.table.read(keys).items())})

    async def scan(self, request: Request) -> Response:
        body = await request.json()
        if not self.reads.try_take(1, anyio.current_time()):
            return throttled()
        limit = min(int(body.get("limit", SCAN_LIMIT)), SCAN_LIMIT)
        found = self.table.scan(body["prefix"], body.get("after", ""), limit)
        return JSONResponse({"rows": rows_by_key(found), "more": len(found) == limit})

    async def transact(self, request: Request) -> Response:
        body = await request.json()
        writes = body.get("writes", {})
        if not self.writes.try_take(max(1, len(writes)), anyio.current_time()):
            return throttled()
        written, versions = self.table.transact(body.get("checks", {}), writes)
        await self.maybe_lose_answer()
        return JSONResponse({"versions": versions}, 200 if written else 409)

    async def maybe_lose_answer(self) -> None:
        """Hold back the answer to a write that took effect, if the faults say so."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
        elif self.random.random() >= self.faults.lose_answers_share:
            return
        with anyio.move_on_after(LOST_ANSWER_S):
            await self.closing.wait()

    async def get_object(self, request: Request) -> Response:
        if not self.reads.try_take(1, anyio.current_time()):
            return throttled()
        content = self.objects.get(request.path_params["name"])
        if content is None:
            return JSONResponse({"error": "not_found"}, 404)
        return Response(content, media_type="application/octet-stream")

    async def put_object(self, request: Request) -> Response:
        if not self.writes.try_take(1, anyio.current_time()):
            return throttled()
        self.objects[request.path_params["name"]] = await request.body()
        await self.maybe_lose_answer()
        return JSONResponse({"ok": True})

    async def execute_order(self, request: Request) -> Response:
        """Order one server in a zone, or release one; a repeated order has no effect."""
        body = await request.json()
        now = anyio.current_time()
        fence = int(body["fence"])
        stale = fence < self.fence
        self.order_log.append({**body, "at": now, "stale": stale})
        if stale and self.settings.checks_fences:
            return JSONResponse({"error": "stale_fence"}, 409)
        self.fence = max(self.fence, fence)
        if body["action"] == "release":
            self.release(body["backend_id"], body.get("of_order"))
            return JSONResponse({"state": "released"})
        if body["order_id"] not in self.orders:
            spare = self.find_spare(body["zone"], body["kind"])
            if spare is None:
                return JSONResponse({"error": "unavailable"}, 409)
            self.orders[body["order_id"]] = spare.backend_id
            self.servers[spare.backend_id] = OrderedServer(
                spare, body["order_id"], body["pools"], now
            )
        await self.maybe_lose_answer()
        return JSONResponse({"backend_id": self.orders[body["order_id"]]})

    def release(self, backend_id: str, of_order: str | None) -> None:
        """Take a server back, unless another order has got it since."""
        server = self.servers.get(backend_id)
        if server is not None and of_order in (None, server.order_id):
            del self.servers[backend_id]

    def find_spare(self, zone: str, kind: str) -> SpareServer | None:
        if kind == "cheap" and zone in self.faults.cheap_unavailable:
            return None
        for spare in self.settings.spares:
            wanted = spare.zone == zone and spare.kind == kind
            if wanted and spare.backend_id not in self.servers:
                return spare
        return None

    async def get_order(self, request: Request) -> Response:
        backend_id = self.orders.get(request.path_params["order_id"])
        if backend_id is None:
            return JSONResponse({"error": "not_found"}, 404)
        return JSONResponse({"backend_id": backend_id})

    async def fleet(self, request: Request) -> Response:
        """List the ordered servers with their states."""
        now = anyio.current_time()
        return JSONResponse(
            {"servers": [self.describe_server(s, now) for s in self.servers.values()]}
        )

    def describe_server(self, server: OrderedServer, now: float) -> dict[str, Any]:
        state = "serving"
        if server.evict_at is not None:
            state = "leaving"
        elif now < server.ordered_at + self.settings.boot_s:
            state = "starting"
        return {
            "backend_id": server.spare.backend_id,
            "url": server.spare.url,
            "zone": server.spare.zone,
            "kind": server.spare.kind,
            "pools": server.pools,
            "order_id": server.order_id,
            "state": state,
            "leaves_in_s": None if server.evict_at is None else server.evict_at - now,
        }

    async def evict(self, request: Request) -> Response:
        """Give the cheap servers of a zone notice; they are listed as leaving from now on."""
        body = await request.json()
        now = anyio.current_time()
        for server in self.servers.values():
            if server.spare.zone == body["zone"] and server.spare.kind == "cheap":
                server.evict_at = now + float(body["notice_s"])
        return JSONResponse({"ok": True})

    async def list_vms(self, request: Request) -> Response:
        """List the VMs as they were `list_lag_s` ago."""
        now = anyio.current_time()
        self.record_vms(now)
        old_enough = [
            item
            for item in self.vm_history
            if item[0] <= now - self.settings.list_lag_s
        ]
        listed = old_enough[-1][1] if old_enough else self.vm_history[0][1]
        return JSONResponse({"vms": [vm._asdict() for vm in listed]})

    def record_vms(self, now: float) -> None:
        listed = list(self.vms.values())
        if not self.vm_history or self.vm_history[-1][1] != listed:
            self.vm_history.append((now, listed))

    async def set_vm(self, request: Request) -> Response:
        """Add, change or remove a VM of the list."""
        body = await request.json()
        now = anyio.current_time()
        self.record_vms(now)
        if body.get("state") == "gone":
            self.vms.pop(body["node"], None)
        else:
            self.vms[body["node"]] = VmEntry(**body)
        self.record_vms(now)
        return JSONResponse({"ok": True})

    async def record_usage(self, request: Request) -> Response:
        """Record a usage report and the time at which it came."""
        body = await request.json()
        self.usage_reports.append({**body, "at": anyio.current_time()})
        await self.maybe_lose_answer()
        return JSONResponse({"ok": True})

    async def set_faults(self, request: Request) -> Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return JSONResponse({"ok": True})

    async def records(self, request: Request) -> Response:
        """Return orders, usage reports, request counts and writes since the start."""
        return JSONResponse(
            {
                "orders": self.order_log,
                "usage": self.usage_reports,
                "requests": self.requests,
                "writes": self.table.writes,
            }
        )


@dataclass
class FaultMiddleware:
    """Middleware that counts requests by node, and adds delays and outages."""

    platform: StandinPlatform

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        app: ASGIApp = self.platform.app
        if scope["type"] != "http" or scope["path"].startswith("/_standin/"):
            await app(scope, receive, send)
            return
        headers = dict(scope["headers"])
        node = headers.get(b"godwit-node", b"-").decode()
        name = f"{node} {scope['path'].split('/')[1]} {scope['path'].split('/')[-1]}"
        if not scope["path"].startswith(("/objects", "/orders/")):
            self.platform.requests[name] = self.platform.requests.get(name, 0) + 1
        faults = self.platform.faults
        if faults.slow_s:
            await anyio.sleep(faults.slow_s)
        if faults.outage:
            await JSONResponse({"error": "outage"}, 503)(scope, receive, send)
            return
        await app(scope, receive, send)


def throttled() -> Response:
    return JSONResponse({"error": "throttled"}, 429)


def rows_by_key(rows: Any) -> dict[str, Any]:
    return {key: {"value": row.value, "version": row.version} for key, row in rows}

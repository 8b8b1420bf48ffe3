"""A stand-in of a plain service that records every call that it ran."""

import hashlib
import os
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from godwitmast.http_server import HttpServer
from godwitmast.standins.settings import ServiceSettings

ANY_METHOD = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


@dataclass
class ServiceFaults:
    """Faults that are switched on at the moment."""

    work_s: float = 0.0
    break_after_run: int = 0
    refuse: int = 0
    exit_after_run: bool = False


class AnswerLost(Exception):
    """Raised to break the connection of a call that ran, so that its answer is lost."""


@dataclass
class StandinService:
    """A service whose records show which calls ran, and how often."""

    settings: ServiceSettings
    records: list[dict[str, Any]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.faults = ServiceFaults(work_s=self.settings.work_s)
        self.app = Starlette(
            routes=[
                Route("/_standin/records", self.list_records),
                Route("/_standin/faults", self.set_faults, methods=["POST"]),
                Route("/health", self.health),
                Route("/load", self.load),
                Route("/{path:path}", self.call, methods=ANY_METHOD),
            ]
        )
        self.running = 0
        self.server = HttpServer(self.app, self.settings.listen, grace_s=1.0)

    async def start(self, tasks: TaskGroup) -> None:
        await self.server.start(tasks)

    async def close(self) -> None:
        await self.server.close()

    async def call(self, request: Request) -> Response:
        """Run a call: record it, work for `work_s`, answer."""
        body = await request.body()
        if self.faults.refuse:
            self.faults.refuse -= 1
            return JSONResponse(
                {"error": "busy"}, 503, headers={"Engine-Not-Run": "true"}
            )
        record = {
            "number": len(self.records) + 1,
            "method": request.method,
            "path": request.scope["path"],
            "query": str(request.url.query),
            "headers": dict(request.headers),
            "idempotency_key": request.headers.get("idempotency-key"),
            "body_hash": hashlib.sha256(body).hexdigest(),
        }
        self.records.append(record)
        self.running += 1
        try:
            await anyio.sleep(self.faults.work_s)
        finally:
            self.running -= 1
        if self.faults.exit_after_run:
            os._exit(70)
        if self.faults.break_after_run:
            self.faults.break_after_run -= 1
            raise AnswerLost
        return JSONResponse({"number": record["number"], "path": record["path"]})

    async def list_records(self, request: Request) -> Response:
        return JSONResponse(self.records)

    async def set_faults(self, request: Request) -> Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return JSONResponse({"ok": True})

    async def health(self, request: Request) -> Response:
        return JSONResponse({"ok": True})

    async def load(self, request: Request) -> Response:
        return JSONResponse({"running": self.running, "waiting": 0, "age_s": 0.0})

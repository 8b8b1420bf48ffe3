"""The control daemon: its admin interface and the duties that it competes for."""

import anyio
from anyio.abc import TaskGroup
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from godwitmast.backends.client import BackendClient
from godwitmast.capacity.duty import CapacityDuty
from godwitmast.clock import SystemClock
from godwitmast.config.follower import CONTROL_PULL_INTERVAL_S, ConfigFollower
from godwitmast.control.settings import ControlSettings
from godwitmast.http_server import HttpServer
from godwitmast.lease.driver import Duty, LeaseDriver
from godwitmast.logs import log_event
from godwitmast.platform_api.client import PlatformClient
from godwitmast.usage.duty import UsageDuty


class Control:
    """One control daemon."""

    def __init__(self, settings: ControlSettings) -> None:
        self.settings = settings
        self.platform = PlatformClient(settings.platform, settings.node)
        self.follower = ConfigFollower(self.platform, CONTROL_PULL_INTERVAL_S)
        self.registry = CollectorRegistry()
        self.clock = SystemClock()
        self.leases: list[LeaseDriver] = []
        self.add_duty(
            UsageDuty(self.platform, self.clock, settings.usage, self.registry)
        )
        self.client = BackendClient()
        self.add_duty(
            CapacityDuty(
                self.platform, self.follower, self.client, self.clock, self.registry
            )
        )
        self.app = Starlette(
            routes=[
                Route("/livez", self.livez),
                Route("/readyz", self.readyz),
                Route("/metrics", self.metrics),
            ]
        )
        self.server = HttpServer(self.app, settings.listen, settings.tls, grace_s=2.0)

    def add_duty(self, duty: Duty) -> None:
        """Compete for the duty's lease, and run the duty while the lease is held."""
        settings = self.settings
        self.leases.append(
            LeaseDriver(self.platform, self.clock, duty, settings.node, settings.lease)
        )

    async def start(self, tasks: TaskGroup) -> None:
        await self.follower.start(tasks)
        await self.server.start(tasks)
        for lease in self.leases:
            await lease.start(tasks)
        log_event("control_started", node=self.settings.node, url=self.server.url)

    async def close(self) -> None:
        """Release the leases, then stop."""
        async with anyio.create_task_group() as tasks:
            for lease in self.leases:
                tasks.start_soon(lease.close)
        await self.server.close()
        await self.follower.close()
        await self.client.close()
        await self.platform.close()
        log_event("control_stopped", node=self.settings.node)

    async def livez(self, request: Request) -> Response:
        return JSONResponse({"live": True})

    async def readyz(self, request: Request) -> Response:
        config = self.follower.current
        return JSONResponse(
            {"ready": config is not None, "config": config.version if config else None},
            200 if config else 503,
        )

    async def metrics(self, request: Request) -> Response:
        return Response(generate_latest(self.registry), media_type=CONTENT_TYPE_LATEST)

"""The entry daemon: its parts, and how they are started and closed."""

import anyio
from anyio.abc import TaskGroup

from godwitmast.backends.client import BackendClient
from godwitmast.capacity.fleet import HEAD_KEY as FLEET_HEAD_KEY
from godwitmast.capacity.follower import FleetFollower
from godwitmast.claims.keeper import ClaimKeeper
from godwitmast.clock import SystemClock
from godwitmast.config.follower import ConfigFollower
from godwitmast.entry.app import EntryApp
from godwitmast.entry.driver import RouterDriver
from godwitmast.entry.openai import OpenAiFrontend
from godwitmast.entry.peering import Peering
from godwitmast.entry.sending import EntryMemory
from godwitmast.entry.settings import EntrySettings
from godwitmast.http_server import HttpServer
from godwitmast.logs import log_event
from godwitmast.memory.budget import MemoryBudget, limit_of
from godwitmast.platform_api.client import PlatformClient
from godwitmast.supervision import keep_running
from godwitmast.usage.journal import Journal
from godwitmast.usage.meter import Meter
from godwitmast.usage.writer import NodeWriter

KEY_CHECK_INTERVAL_S = 1.0


class Entry:
    """One entry; a process can contain several."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.platform = PlatformClient(settings.platform, settings.node)
        self.client = BackendClient()
        self.meter = Meter()
        self.follower = ConfigFollower(self.platform)
        usage = settings.usage
        self.journal = Journal(settings.node, settings.zone, usage.window_s)
        self.node_writer = NodeWriter(
            self.platform,
            self.clock,
            self.journal,
            usage,
            lambda: self.follower.version,
            lambda: {"open": len(self.app.exchanges)},
            lambda: self.fleet.demand_row(),
        )
        self.meter.listeners.append(self.node_writer.count)
        self.driver = RouterDriver(settings.zone, self.clock, self.client)
        budget = MemoryBudget(limit_of(settings.memory_mb))
        self.claims = ClaimKeeper(self.platform, self.clock, settings.node, budget)
        frontend = OpenAiFrontend(
            settings.node, settings.limits, self.clock, self.claims
        )
        memory = EntryMemory(budget, self.clock)
        self.app = EntryApp(
            self.clock, self.driver, self.client, self.meter, frontend, memory
        )
        self.follower.listeners += [
            self.app.config_changed,
            self.node_writer.config_changed,
        ]
        self.peering: Peering | None = None
        if settings.peers:
            self.peering = Peering(
                settings,
                settings.peers,
                self.clock,
                self.platform,
                self.follower,
                self.app,
            )
        self.fleet = FleetFollower(
            self.platform,
            settings.node,
            self.app.demand,
            self.app.count_waiting,
            self.driver.fleet_changed,
        )
        self.follower.watch_row(FLEET_HEAD_KEY, self.fleet.check_head)
        self.server = HttpServer(
            self.app,
            settings.listen,
            settings.tls,
            settings.stop_timeout_s,
            memory.is_bounded,
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Listen and follow the configuration; the entry is ready once it has one."""
        await self.driver.start(tasks)
        if self.peering:
            await self.peering.start(tasks)
        await self.follower.start(tasks)
        tasks.start_soon(keep_running, "Entry.run_key_checks", self.run_key_checks)
        await self.claims.start(tasks)
        await self.node_writer.start(tasks)
        await self.fleet.start(tasks)
        await self.server.start(tasks)
        log_event("entry_started", node=self.settings.node, url=self.server.url)

    async def run_key_checks(self) -> None:
        """End streams whose key expires or whose team's offline grace is exceeded."""
        self.app.seconds_since_contact = self.follower.seconds_since_contact
        while True:
            await anyio.sleep(KEY_CHECK_INTERVAL_S)
            if self.peering and self.peering.is_linked_to_other_zone():
                self.follower.record_contact()
            if self.follower.current:
                self.app.end_withdrawn_streams()

    async def close(self) -> None:
        """Stop without cutting off a request.

        The load balancer still sends requests for a while after this entry has become
        unready, so new requests are accepted for `balancer_wait_s`.
        """
        log_event("entry_stopping", node=self.settings.node)
        self.app.stop(self.settings.balancer_wait_s + self.server.grace_s)
        await anyio.sleep(self.settings.balancer_wait_s)
        async with anyio.create_task_group() as ending_tasks:
            ending_tasks.start_soon(self.app.end_exchanges)
            await self.server.close()
            ending_tasks.cancel_scope.cancel()
        await self.claims.close()
        await self.node_writer.close()
        if self.peering:
            await self.peering.close()
        await self.fleet.close()
        await self.follower.close()
        await self.driver.close()
        await self.client.close()
        await self.platform.close()
        log_event("entry_stopped", node=self.settings.node)

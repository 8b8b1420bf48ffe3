"""Probes that open a connection to backend servers, and report what they find."""

from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import anyio
from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry, Counter, Gauge

from godwitmast.backends.client import CONNECT_TIMEOUT_S
from godwitmast.background import BackgroundTasks
from godwitmast.dispatch.connectivity import ProbeOutcome
from godwitmast.entry.driver import RouterDriver
from godwitmast.logs import log_event
from godwitmast.types import BackendId

SUSPENDED_S = 0.2
"""A probe that takes this much longer than its time-out was suspended with its process."""

Connect = Callable[[str, int], Awaitable[None]]


async def open_connection(host: str, port: int) -> None:
    """Open a TCP connection and close it; raise OSError if it cannot be opened."""
    stream = await anyio.connect_tcp(host, port)
    await stream.aclose()


class ConnectionProbes:
    """Probes backend servers when the router's driver suspects that none is reachable."""

    def __init__(
        self,
        driver: RouterDriver,
        registry: CollectorRegistry,
        connect: Connect = open_connection,
    ) -> None:
        self.driver = driver
        self.connectivity = driver.connectivity
        self.connect = connect
        self.background = BackgroundTasks(self.run)
        self.group: TaskGroup | None = None
        driver.tick_listeners.append(self.check)
        self.probes = Counter(
            "godwit_connection_probes_total",
            "Connections opened only to see whether a backend server accepts them.",
            ["outcome"],
            registry=registry,
        )
        unreachable = Gauge(
            "godwit_servers_unreachable_seconds",
            "Since no backend server accepts connections from this VM; 0 if one does.",
            registry=registry,
        )
        unreachable.set_function(self.unreachable_s)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    async def run(self) -> None:
        async with anyio.create_task_group() as self.group:
            await anyio.sleep_forever()

    def unreachable_s(self) -> float:
        since = self.connectivity.unreachable_since
        return 0.0 if since is None else self.driver.clock.now() - since

    def check(self, now: float) -> None:
        """Start the probes that are due."""
        self.send(self.connectivity.due_probes(self.driver.oldest_attempt_at(), now))

    def send(self, backend_ids: list[BackendId]) -> None:
        if self.group is not None:
            for backend_id in backend_ids:
                self.group.start_soon(self.probe, backend_id)

    async def probe(self, backend_id: BackendId) -> None:
        """Probe one server, and continue with those that are next."""
        began = self.driver.clock.now()
        outcome = await self.try_connecting(backend_id)
        now = self.driver.clock.now()
        if outcome is ProbeOutcome.FAILED and now > began + (
            CONNECT_TIMEOUT_S + SUSPENDED_S
        ):
            outcome = ProbeOutcome.INCONCLUSIVE
        self.probes.labels(outcome.value).inc()
        since = self.connectivity.unreachable_since
        following = self.connectivity.record_probe(backend_id, outcome, now)
        self.log_change(since, now)
        self.send(following)

    async def try_connecting(self, backend_id: BackendId) -> ProbeOutcome:
        address = urlsplit(self.driver.urls.get(backend_id, ""))
        if address.hostname is None or address.port is None:
            return ProbeOutcome.INCONCLUSIVE
        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                await self.connect(address.hostname, address.port)
            except OSError:
                return ProbeOutcome.FAILED
            return ProbeOutcome.CONNECTED
        return ProbeOutcome.FAILED

    def log_change(self, since: float | None, now: float) -> None:
        """Log that servers became unreachable, or reachable, from this VM."""
        connectivity = self.connectivity
        if since is None and connectivity.is_unreachable:
            log_event(
                "servers_unreachable",
                level="WARNING",
                servers=len(connectivity.servers),
                heard_s=now - connectivity.last_heard_at,
            )
        elif since is not None and not connectivity.is_unreachable:
            log_event("servers_reachable", after_s=now - since)

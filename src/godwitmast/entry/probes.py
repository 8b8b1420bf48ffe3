"""Probes that open a connection to backend servers, and report what they find."""

from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import anyio
from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry, Counter, Gauge

from godwitmast.backends.client import CONNECT_TIMEOUT_S
from godwitmast.background import BackgroundTasks
from godwitmast.dispatch.connectivity import Connectivity, ProbeOutcome
from godwitmast.entry.driver import RouterDriver
from godwitmast.logs import log_event
from godwitmast.loop_time import fail_after_loop_time
from godwitmast.types import BackendId, PoolName

FRESH_S = 0.5
"""How long a sign of a server shows that this VM reaches servers."""

Connect = Callable[[str, int], Awaitable[None]]
Listener = Callable[[PoolName, bool], None]


async def open_connection(host: str, port: int) -> None:
    """Open a TCP connection and close it; raise OSError if it cannot be opened."""
    stream = await anyio.connect_tcp(host, port)
    await stream.aclose()


def parse_address(url: str) -> tuple[str, int] | None:
    """Return host and port of a server's URL, None if it has no usable ones."""
    try:
        parts = urlsplit(url)
        host, port = parts.hostname, parts.port
    except ValueError:
        return None
    return None if host is None or port is None else (host, port)


class ConnectionProbes:
    """Probes a pool's servers when it seems that none of them can be reached."""

    def __init__(
        self,
        driver: RouterDriver,
        registry: CollectorRegistry,
        connect: Connect = open_connection,
    ) -> None:
        self.driver = driver
        self.connect = connect
        self.background = BackgroundTasks(self.run)
        self.group: TaskGroup | None = None
        self.change_listeners: list[Listener] = []
        """Called when a pool becomes unreachable (True), or reachable again."""
        driver.tick_listeners.append(self.check)
        self.probes = Counter(
            "godwit_connection_probes_total",
            "Connections opened only to see whether a backend server accepts them.",
            ["outcome"],
            registry=registry,
        )
        unreachable = Gauge(
            "godwit_servers_unreachable_seconds",
            "Longest time since no server of a pool accepts connections from this VM.",
            registry=registry,
        )
        unreachable.set_function(self.unreachable_s)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as self.group:
                await anyio.sleep_forever()
        finally:
            # The router still ticks while the VM stops, after the probes have ended.
            self.group = None

    @property
    def pools(self) -> dict[PoolName, Connectivity]:
        return self.driver.connectivity.pools

    def unreachable_s(self) -> float:
        now = self.driver.clock.now()
        since = [item.unreachable_since for item in self.pools.values()]
        return max((now - at for at in since if at is not None), default=0.0)

    def check(self, now: float) -> None:
        """Start the probes that are due."""
        oldest = self.driver.oldest_attempts()
        for pool, connectivity in self.pools.items():
            self.send(pool, connectivity.due_probes(oldest.get(pool), now))

    def send(self, pool: PoolName, backend_ids: list[BackendId]) -> None:
        if self.group is not None:
            for backend_id in backend_ids:
                self.group.start_soon(self.probe, pool, backend_id)

    async def probe(self, pool: PoolName, backend_id: BackendId) -> None:
        """Probe one server, and continue with those that are next."""
        outcome = await self.try_connecting(backend_id)
        connectivity = self.pools.get(pool)
        if connectivity is None:
            return
        now = self.driver.clock.now()
        since = connectivity.unreachable_since
        following = connectivity.record_probe(backend_id, outcome, now)
        if (since is None) == connectivity.is_unreachable:
            self.report_change(pool, connectivity, since, now)
        self.send(pool, following)

    async def try_connecting(self, backend_id: BackendId) -> ProbeOutcome:
        """Open a connection to a server, and return the outcome."""
        address = parse_address(self.driver.urls.get(backend_id, ""))
        if address is None:
            return ProbeOutcome.INCONCLUSIVE
        try:
            with fail_after_loop_time(CONNECT_TIMEOUT_S):
                await self.connect(*address)
            outcome = ProbeOutcome.CONNECTED
        except OSError:
            outcome = ProbeOutcome.FAILED
        self.probes.labels(outcome.value).inc()
        return outcome

    async def verify(self, pool: PoolName, connects: bool = False) -> bool:
        """Return whether a server of a pool accepts connections from this VM.

        Unless `connects`, a server that was heard of just now counts as well.
        """
        connectivity = self.pools.get(pool)
        if connectivity is None or connectivity.is_unreachable:
            return False
        now = self.driver.clock.now()
        if not connects and now < connectivity.last_heard_at + FRESH_S:
            return True
        for backend_id in connectivity.sample_servers():
            if await self.try_connecting(backend_id) is ProbeOutcome.CONNECTED:
                connectivity.last_heard_at = self.driver.clock.now()
                return True
        connectivity.record_failure()
        return False

    def report_change(
        self,
        pool: PoolName,
        connectivity: Connectivity,
        since: float | None,
        now: float,
    ) -> None:
        """Log and report that a pool became unreachable, or reachable, from this VM."""
        if since is None:
            log_event(
                "servers_unreachable",
                level="WARNING",
                pool=pool,
                servers=len(connectivity.servers),
                heard_s=now - connectivity.last_heard_at,
            )
        else:
            log_event("servers_reachable", pool=pool, after_s=now - since)
        self.driver.record_reachability(pool, connectivity.is_unreachable)
        for listener in self.change_listeners:
            listener(pool, connectivity.is_unreachable)

"""One process a VM: the entry with the duties inside, on the platform's ports."""

from functools import partial
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Gauge,
    generate_latest,
)

from godwitmast.backends.client import BackendClient
from godwitmast.capacity.zonal import ZonalLimits
from godwitmast.capacity.zonal_duty import ZonalDuty, sum_open_requests
from godwitmast.clock import SystemClock
from godwitmast.dispatch.retries import SharedRetryBudgets
from godwitmast.entry.app import EntryApp, with_connection_close
from godwitmast.entry.driver import RouterDriver
from godwitmast.entry.refusals import send_json, send_response
from godwitmast.entry.request_parsing import CallerGone
from godwitmast.errors import ConfigInvalid, SettingsError
from godwitmast.http_server import HttpServer, Receive, Scope, Send
from godwitmast.lease.driver import DutyGroup, LeaseDriver
from godwitmast.lease.machine import LeaseTiming
from godwitmast.logs import log_event
from godwitmast.platform.catalog import (
    ColdBounds,
    read_config,
    read_evacuations,
    read_servers,
)
from godwitmast.platform.front import ReplicaHeaderParser, RouteFront
from godwitmast.platform.settings import BoundsTable, PlatformFile
from godwitmast.platform.store import StoreClient
from godwitmast.platform.wire import (
    CONFIG_KEY,
    OPERATOR_TABLE,
    READY_PATH,
    SERVERS_TABLE,
)
from godwitmast.platform_api.feed import WAIT_S, FeedFollower
from godwitmast.platform_api.runner import run_steps
from godwitmast.platform_api.time_agreement import AgreedClock, agree_on_time
from godwitmast.relay.driver import RelayDriver
from godwitmast.relay.feed import SharedFeed
from godwitmast.relay.table_copy import Sharing
from godwitmast.settings import Listen, load_settings
from godwitmast.sockets import DEAD_PEER_OPTIONS
from godwitmast.tls import tls_without_authorities
from godwitmast.types import PoolName
from godwitmast.usage.duty import UsageDuty
from godwitmast.usage.journal import Journal
from godwitmast.usage.meter import Meter
from godwitmast.usage.windows import UsageTiming
from godwitmast.usage.writer import NodeWriter

METRICS_PORT = 9464
"""The port that deploy/system.toml names for metrics."""

BALANCER_WAIT_S = 2.5
"""The balancer asks each second and takes a VM out after two misses."""

REQUESTS_UNTIL = 0.875
"""The part of the grace in which open requests may end. One that a server still works on
in the last sixth of it may be cut; ended earlier, it would be lost."""

USAGE_SHARE = 0.0625
"""The part of the grace for the last usage, after the requests."""

USAGE_GRACE_SHARE = 0.85
WRITES_A_WINDOW = 5

GATHER_SHARE = 0.4
"""The part of the time to stop sending to a leaving server for which changes gather. The
first change of a group comes at once; servers that start or leave one after the other
otherwise wake every VM for each of them. What is left, 1.2 s, is five times what a call
takes from a store that is sixty times slower than it should be."""

REPEATS_SHARE = 0.75
"""The part of the allowed share of repeats that is used. A repeated run may call another
service itself, and that counts there as a repeat."""

CONFIRM_SHARE = 0.3
FRESH_SHARE = 0.5
"""Parts of the time in which a change must be in force. What a relay told is gone by for
half of it; the other half is for the call that a follower then makes itself."""

LEASE_GUARD_S = 2.0
REPORT_TIMEOUT_S = 1.5
"""Below the lease's guard: a report that is out when the lease lapses has arrived or
failed before the next holder sends one."""

AGREE_EVERY_S = 0.5
"""How often a store that does not answer is asked for the agreed time."""

SETTINGS_EVERY_S = 1.0
"""How often the settings file is looked at, as it may change without a signal."""


def usage_timing(bounds: BoundsTable) -> UsageTiming:
    """Return how usage is counted so that each window is reported in time.

    Each VM writes some times a window, since what it has not written is lost with it.
    One that the store turns away has nearly all of the time that a report may take to
    come back: without its figures the report would be wrong, and is no better for being
    early. The rest is some ten calls' time.
    """
    grace_s = bounds.usage_late_s * USAGE_GRACE_SHARE
    return UsageTiming(
        window_s=bounds.window_s,
        flush_s=bounds.window_s / WRITES_A_WINDOW,
        grace_s=grace_s,
        seal_s=grace_s,
        keep_s=60.0,
        stop_s=bounds.grace_s * USAGE_SHARE,
    )


def feed_sharing(bounds: BoundsTable) -> Sharing:
    """Return how fresh what a relay tells must be, by the shorter of two bounds."""
    bound_s = min(bounds.drain_ms, bounds.config_deadline_ms) / 1000
    return Sharing(bound_s * CONFIRM_SHARE, bound_s * FRESH_SHARE, WAIT_S)


def cold_bounds(bounds: BoundsTable) -> ColdBounds:
    return ColdBounds(bounds.cold_over, bounds.cold_slack)


def lease_timing(bounds: BoundsTable) -> LeaseTiming:
    """Return a lease that outlasts the platform's own, and is soon taken over."""
    ttl_s = bounds.lease_ms / 1000
    return LeaseTiming(ttl_s, LEASE_GUARD_S, renew_s=ttl_s / 3, watch_s=ttl_s * 0.8)


def read_bytes(path: Path) -> bytes:
    """Return a file's content; a file that cannot be read has none."""
    try:
        return path.read_bytes()
    except OSError:
        return b""


class Node:
    """Everything that runs on one entry VM."""

    def __init__(
        self,
        settings: PlatformFile,
        path: Path | None = None,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        self.settings = settings
        self.path = path
        self.settings_read: bytes | None = None
        bounds = settings.bounds
        self.clock = SystemClock()
        self.true_time = AgreedClock(self.clock)
        self.store = StoreClient(settings, self.true_time.update_store_time)
        self.client = BackendClient(
            header_parser=ReplicaHeaderParser(),
            socket_options=DEAD_PEER_OPTIONS,
            tls=tls_without_authorities(),
        )
        self.front = RouteFront()
        self.budgets = SharedRetryBudgets(
            bounds.budget_slack, bounds.retry_budget_ratio * REPEATS_SHARE
        )
        self.driver = RouterDriver(settings.zone, self.clock, self.client, self.budgets)
        self.driver.should_poll = lambda backend_id: False
        self.meter = Meter()
        self.app = EntryApp(
            self.clock, self.driver, self.client, self.meter, self.front
        )
        self.app.ends_withdrawn_streams = bounds.strict_revoke
        self.servers_known = False
        self.app.ready_checks.append(lambda: self.servers_known)
        gather_s = bounds.drain_ms / 1000 * GATHER_SHARE
        self.feed = SharedFeed(self.store, self.true_time, feed_sharing(bounds))
        self.followers = [
            FeedFollower(self.feed, self.clock, OPERATOR_TABLE, self.take_operator),
            FeedFollower(
                self.feed,
                self.clock,
                SERVERS_TABLE,
                self.take_servers,
                lambda: self.feed.gather_s(gather_s),
            ),
        ]
        self.store.failure_listeners.append(self.doubt_feeds)
        timing = usage_timing(bounds)
        self.relay = RelayDriver(
            self.store,
            self.clock,
            settings.node,
            settings.zone,
            Listen(settings.ip, settings.port_range[0]),
            timing.flush_s,
            self.feed,
            self.count_vms,
            self.app.metrics.registry,
        )
        self.relay.table.on_failure = self.doubt_feeds
        journal = Journal(settings.node, settings.zone, timing.window_s)
        self.writer = NodeWriter(
            self.relay.table,
            self.true_time,
            journal,
            timing,
            self.config_version,
            self.driver.load_row,
            entry_count=lambda: 1 if self.relay.batches_writes else self.count_vms(),
            read_recent=self.relay.table.read_recent,
        )
        self.meter.listeners.append(self.writer.count)
        duty = UsageDuty(
            self.store,
            self.clock,
            timing,
            self.app.metrics.registry,
            REPORT_TIMEOUT_S,
            self.true_time,
        )
        orders = ZonalDuty(
            self.store.duties,
            self.clock,
            self.orderable,
            lambda: self.driver.listed_backends,
            lambda pool: sum_open_requests(duty.loads(), pool),
            self.app.metrics.registry,
            REPORT_TIMEOUT_S,
            lambda: self.driver.closed_zones,
        )
        self.lease = LeaseDriver(
            self.store,
            self.clock,
            DutyGroup("duties", [duty, orders]),
            settings.node,
            lease_timing(bounds),
            lambda: len(duty.loads()),
            candidates_only=lambda: self.relay.machine.relay_available,
        )
        self.add_metrics(self.app.metrics.registry)
        self.callers = HttpServer(
            self.serve_caller,
            settings.listen.front,
            grace_s=bounds.grace_s * REQUESTS_UNTIL - BALANCER_WAIT_S,
        )
        self.balancer = HttpServer(self.serve_own, settings.listen.ready, grace_s=0.1)
        self.scrapes = HttpServer(
            self.serve_own, Listen(settings.ip, metrics_port), grace_s=0.1
        )

    def add_metrics(self, registry: CollectorRegistry) -> None:
        """Show what this VM asks of the platform, and how old what it knows is."""
        registry.register(self.store.calls)
        age = Gauge(
            "godwit_relay_table_age_seconds",
            "Since the platform last confirmed a table that this VM goes by.",
            ["table"],
            registry=registry,
        )
        evacuated = Gauge(
            "godwit_zone_evacuated",
            "Availability zones whose servers get no new work.",
            registry=registry,
        )
        evacuated.set_function(lambda: len(self.driver.closed_zones))
        cold = Gauge(
            "godwit_cold_servers",
            "Servers that are, or may be, cold: this VM takes turns at them.",
            registry=registry,
        )
        cold.set_function(self.driver.count_cold_servers)
        share = Gauge(
            "godwit_cold_turns_per_second",
            "Requests a second that this VM may send to one cold server.",
            registry=registry,
        )
        share.set_function(self.driver.cold_turns_per_s)
        for table in (OPERATOR_TABLE, SERVERS_TABLE):
            age.labels(table).set_function(partial(self.feed.age_s, table))

    def orderable(self) -> dict[PoolName, ZonalLimits]:
        """Return which servers may be ordered, once both lists are known."""
        catalog = self.front.catalog
        return catalog.fleets if catalog is not None and self.servers_known else {}

    def count_vms(self) -> int:
        """Return how many VMs there are, or 0 if this one does not know."""
        if self.relay.machine.relay_available:
            return self.relay.machine.vm_count
        return self.lease.machine.vm_count

    def config_version(self) -> int:
        return self.app.config.version if self.app.config else 0

    async def start(self, tasks: TaskGroup) -> None:
        """Listen, and follow configuration and servers; not ready before both."""
        await self.driver.start(tasks)
        for follower in self.followers:
            await follower.start(tasks)
        tasks.start_soon(self.start_duties, tasks)
        for server in (self.callers, self.balancer, self.scrapes):
            await server.start(tasks)
        tasks.start_soon(self.run_settings)
        log_event("node_started", node=self.settings.node, zone=self.settings.zone)

    async def start_duties(self, tasks: TaskGroup) -> None:
        """Agree on the time of day, and then count and report usage by it.

        Windows that were entered by a clock that is ahead cannot be left again. The
        lease goes by the VM's own clocks, as only they tell that it was suspended.
        """
        while not await run_steps(self.store, agree_on_time(self.true_time)):
            await anyio.sleep(AGREE_EVERY_S)
        log_event("time_agreed", difference_s=self.true_time.difference_s)
        await self.relay.start(tasks)
        await self.writer.start(tasks)
        await self.lease.start(tasks)

    async def close(self) -> None:
        """Stop within the platform's grace, without cutting a request.

        The balancer goes on sending for a while after it saw that this VM is not ready,
        so new requests are still taken during that wait, and told to come elsewhere
        with their next one.
        """
        log_event("node_stopping", node=self.settings.node)
        self.app.stopping = True
        async with anyio.create_task_group() as closing_tasks:
            closing_tasks.start_soon(self.lease.close)
            await anyio.sleep(BALANCER_WAIT_S)
        await self.callers.close()
        await self.relay.close()
        await self.writer.close()
        for follower in self.followers:
            await follower.close()
        for server in (self.balancer, self.scrapes):
            await server.close()
        await self.driver.close()
        await self.client.close()
        await self.store.close()
        log_event("node_stopped", node=self.settings.node)

    def doubt_feeds(self) -> None:
        """Reissue all calls that wait for changes."""
        for follower in self.followers:
            follower.reissue_wait()

    def take_operator(self, rows: dict[str, bytes]) -> None:
        """Apply evacuations first: a VM is ready from its first configuration on."""
        self.driver.set_evacuated_zones(read_evacuations(rows))
        self.take_config(rows)

    def take_config(self, rows: dict[str, bytes]) -> None:
        """Put the operator's configuration in force if it is newer."""
        content = rows.get(CONFIG_KEY)
        if content is None:
            return
        try:
            catalog = read_config(content, cold_bounds(self.settings.bounds))
        except ConfigInvalid as error:
            log_event("config_rejected", level="ERROR", error=str(error))
            return
        if catalog.config.version <= self.config_version():
            return
        log_event("config_in_force", number=catalog.config.version)
        self.front.take_catalog(catalog)
        self.app.config_changed(catalog.config)
        limits = catalog.limits
        self.callers.set_connection_limits(
            limits.max_header_bytes, limits.idle_timeout_ms / 1000
        )

    def take_servers(self, rows: dict[str, bytes]) -> None:
        """Take the backend servers that name themselves in the store."""
        servers = read_servers(rows)
        known = self.driver.listed_backends
        for name in servers.keys() | known.keys():
            if servers.get(name) != known.get(name):
                server = servers.get(name)
                state = "gone" if server is None else "in"
                if server is not None and server.leaving:
                    state = "leaving"
                cold_s = server.cold_s if server is not None else None
                log_event("server_listed", server=name, state=state, cold_s=cold_s)
        self.servers_known = True
        self.driver.update_listed_backends(servers)

    async def serve_caller(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve the callers' address."""
        if scope["type"] != "http":
            return
        if self.app.stopping:
            send = with_connection_close(send)
        try:
            await self.app.handle_request(scope, receive, send)
        except CallerGone:
            return

    async def serve_own(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve the balancer's question, and the metrics."""
        if scope["type"] != "http":
            return
        match scope["path"]:
            case path if path == READY_PATH:
                ready = self.app.ready
                await send_json(send, 200 if ready else 503, {"ready": ready})
            case "/metrics":
                headers = [(b"content-type", CONTENT_TYPE_LATEST.encode())]
                body = generate_latest(self.app.metrics.registry)
                await send_response(send, 200, headers, body)
            case _:
                await send_json(send, 404, {"error": "not found"})

    async def run_settings(self) -> None:
        """Notice a settings file that changed without a signal, and VMs that came."""
        while True:
            await anyio.sleep(SETTINGS_EVERY_S)
            vms = self.count_vms()
            self.budgets.set_router_count(vms, self.clock.now())
            self.driver.set_entry_count(vms)
            self.reload()

    def reload(self) -> None:
        """Read the settings file again; a bad one changes nothing.

        Addresses and identity are those of the start; what may change in place is the
        rule for keys that were withdrawn.
        """
        if self.path is None:
            return
        content = read_bytes(self.path)
        if content == self.settings_read:
            return
        self.settings_read = content
        try:
            settings = load_settings(self.path, PlatformFile, {})
        except SettingsError as error:
            log_event("settings_rejected", level="ERROR", error=str(error))
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.app.ends_withdrawn_streams = settings.bounds.strict_revoke
        log_event("settings_reloaded", path=self.path)

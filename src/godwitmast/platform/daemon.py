"""The process of one VM: entry and control duties, on the platform's ports."""

from collections.abc import Sequence
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
from godwitmast.check_times import until_check_s
from godwitmast.clock import SystemClock
from godwitmast.config.document import Backend
from godwitmast.dispatch.retries import SharedRetryBudgets
from godwitmast.dispatch.router import Router
from godwitmast.entry.app import EntryApp
from godwitmast.entry.crash_reports import CrashReports
from godwitmast.entry.driver import RouterDriver
from godwitmast.entry.forwarding import (
    ForwardedRequests,
    PeerHeaderParser,
    RequestForwarder,
    forwarding_load,
)
from godwitmast.entry.last_servers import LastServers
from godwitmast.entry.pool_versions import PoolVersions
from godwitmast.entry.probes import ConnectionProbes
from godwitmast.entry.refusals import send_json, send_response
from godwitmast.entry.request_parsing import CallerGone
from godwitmast.entry.sending import EntryMemory
from godwitmast.entry.stream_versions import ListedServer, StreamVersions
from godwitmast.errors import ConfigInvalid, PlatformError, SettingsError
from godwitmast.forwarding.peers import PeerChoice
from godwitmast.http_server import HttpServer, Receive, Scope, Send
from godwitmast.lease.driver import DutyGroup, LeaseDriver
from godwitmast.lease.machine import LeaseTiming
from godwitmast.logs import RowLog, log_event
from godwitmast.memory.budget import MemoryBudget, limit_of
from godwitmast.outliers.sharing import OutlierSharing
from godwitmast.peers.rendezvous import short_hash
from godwitmast.platform.catalog import (
    ColdBounds,
    fleet_policy,
    operator_row_order,
    read_config,
    read_evacuations,
    read_server,
    read_servers,
    server_row_order,
)
from godwitmast.platform.frontend import ReplicaHeaderParser, RouteFrontend
from godwitmast.platform.settings import BoundsTable, PlatformFile
from godwitmast.platform.store import CRASHES_TABLE, StoreClient
from godwitmast.platform.wire import (
    CONFIG_KEY,
    OPERATOR_TABLE,
    READY_PATH,
    SERVERS_TABLE,
)
from godwitmast.platform_api.confirmation import Confirmation
from godwitmast.platform_api.epoch import may_lack_rows, number_of
from godwitmast.platform_api.feed import OLDER_GRACE_S, FeedFollower, long_poll_s
from godwitmast.platform_api.port import FeedRow
from godwitmast.platform_api.runner import run_steps
from godwitmast.platform_api.time_agreement import (
    CLOCK_KEY,
    AgreedClock,
    agree_on_time,
)
from godwitmast.relay.driver import RelayDriver
from godwitmast.relay.exchange import MeasurementLinks
from godwitmast.relay.feed import SharedFeed
from godwitmast.relay.table_copy import Sharing
from godwitmast.settings import Listen, load_settings
from godwitmast.sockets import DEAD_PEER_OPTIONS
from godwitmast.supervision import keep_running
from godwitmast.tls import tls_without_authorities
from godwitmast.types import BackendId, PoolName
from godwitmast.usage.duty import UsageDuty
from godwitmast.usage.journal import Journal
from godwitmast.usage.meter import Meter
from godwitmast.usage.windows import UsageTiming
from godwitmast.usage.writer import NodeWriter

METRICS_PORT = 9464
"""The port for metrics in deploy/system.toml."""

BALANCER_WAIT_S = 2.5
"""The load balancer checks readiness every second, and stops sending to a VM after two
failed checks."""

REQUESTS_GRACE_SHARE = 0.875
"""Share of the stop grace period for which open requests may run on. A request that a
server still processes may be cut in the last sixth of the period; cut earlier, a request
would be lost that its server would have completed in time."""

USAGE_STOP_SHARE = 0.0625
"""Share of the stop grace period that is left for writing the last usage, after the
requests. If they end earlier, there is more."""

LATE_USAGE_SHARE = 0.85
WRITES_PER_WINDOW = 5

KEPT_SHARE = 0.35
"""Share of the time for which a server goes on serving after its entry was removed, for
which it is used if its pool has no other. Half of that time may pass until the removal is
known here; the rest is for requests on their way."""

GATHER_SHARE = 0.4
"""Share of the time within which a leaving server must get no more new requests, for which
changes are collected into one batch. The first change of a batch is applied at once;
without batches, servers that start or leave one after the other would wake every VM for
each of them. The remaining 1.2 s is five times the duration of a call to a store that is
sixty times slower than normal."""

CRASH_GATHER_S = 0.25
"""All VMs that had requests on a server report its crash in the same tenth of a second."""

RETRY_RATIO_SHARE = 0.75
"""Share of the allowed retry ratio that this router uses. A retried run may itself call
another service, which counts as a retry there."""

CONFIRM_SHARE = 0.3
FRESH_SHARE = 0.5
"""Shares of the time in which a change must be in force. Data from a relay is used for
half of that time; the other half is left for the call that a follower then makes
itself."""

LEASE_GUARD_S = 2.0
REPORT_TIMEOUT_S = 1.5
"""Shorter than the lease's guard time, for which a VM that stops waits for its calls."""

AGREE_INTERVAL_S = 0.5
"""Interval between attempts to agree on the time while the store does not answer."""

SETTINGS_POLL_INTERVAL_S = 1.0
"""Interval at which the settings file is read, since it may change without a signal."""


def usage_timing(bounds: BoundsTable) -> UsageTiming:
    """Return the timing of usage counts with which each window is reported in time.

    Each VM writes its counts several times a window, since unwritten counts are lost
    with the VM. A VM whose writes the store rejects is awaited for nearly all of the
    time that a report may take: without its counts the report would be wrong, and an
    early report has no advantage. The rest suffices for some ten calls.
    """
    grace_s = bounds.usage_late_s * LATE_USAGE_SHARE
    return UsageTiming(
        window_s=bounds.window_s,
        flush_s=bounds.window_s / WRITES_PER_WINDOW,
        grace_s=grace_s,
        seal_s=grace_s,
        keep_s=60.0,
        stop_s=bounds.grace_s * USAGE_STOP_SHARE,
    )


def feed_sharing(bounds: BoundsTable) -> Sharing:
    """Return how fresh data from a relay must be, by the shorter of two bounds."""
    bound_s = min(bounds.drain_ms, bounds.config_deadline_ms) / 1000
    wait_s = long_poll_s(bounds.contact_ms / 1000)
    return Sharing(bound_s * CONFIRM_SHARE, bound_s * FRESH_SHARE, wait_s)


def cold_bounds(bounds: BoundsTable) -> ColdBounds:
    return ColdBounds(bounds.cold_over, bounds.cold_slack)


def lease_timing(bounds: BoundsTable) -> LeaseTiming:
    """Return a lease that lapses after the platform's own, and is soon taken over."""
    ttl_s = bounds.lease_ms / 1000
    return LeaseTiming(ttl_s, LEASE_GUARD_S, renew_s=ttl_s / 3, watch_s=ttl_s * 0.8)


def forwarding_port(port_range: tuple[int, int]) -> int:
    """Return the port for requests of other VMs; the first port is the relay's."""
    first, last = port_range
    return first + 1 if first < last else 0


def read_bytes(path: Path) -> bytes:
    """Return a file's content, or no bytes if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError:
        return b""


def listed_server(server: Backend) -> ListedServer:
    """Return what the versions of streams depend on."""
    return ListedServer(server.pools, server.version, server.incarnation)


class Node:
    """All components of one entry VM."""

    def __init__(
        self,
        settings: PlatformFile,
        path: Path | None = None,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        self.settings = settings
        self.path = path
        self.settings_content: bytes | None = None
        bounds = settings.bounds
        self.clock = SystemClock()
        self.agreed_clock = AgreedClock(self.clock)
        self.store = StoreClient(
            settings, self.agreed_clock.update_store_time, self.clock
        )
        self.client = BackendClient(
            header_parser=ReplicaHeaderParser(),
            socket_options=DEAD_PEER_OPTIONS,
            tls=tls_without_authorities(),
        )
        self.frontend = RouteFrontend()
        self.budgets = SharedRetryBudgets(
            bounds.budget_slack, bounds.retry_budget_ratio * RETRY_RATIO_SHARE
        )
        self.driver = RouterDriver(
            settings.zone,
            self.clock,
            self.client,
            self.budgets,
            announces_suspects=False,
        )
        self.driver.should_poll = lambda backend_id: False
        self.driver.last_servers = LastServers(bounds.drain_ms / 1000 * KEPT_SHARE)
        self.meter = Meter()
        budget = MemoryBudget(limit_of(settings.limits.memory_mb))
        self.memory = EntryMemory(budget, self.clock)
        self.app = EntryApp(
            self.clock,
            self.driver,
            self.client,
            self.meter,
            self.frontend,
            self.memory,
        )
        count = partial(self.app.metrics.count_long_answer, "store")
        self.store.limit_listeners.append(count)
        self.store.duties.limit_listeners.append(count)
        self.app.ends_withdrawn_streams = bounds.strict_revoke
        self.probes = ConnectionProbes(self.driver, self.app.metrics.registry)
        self.servers_known = False
        self.server_row_log = RowLog("server_row_bad")
        self.config_log = RowLog("config_rejected", "ERROR")
        self.reported_ready = False
        self.app.ready_checks.append(lambda: self.servers_known)
        self.crash_reports = CrashReports(
            self.driver, self.store, self.agreed_clock, settings.node
        )
        gather_s = bounds.drain_ms / 1000 * GATHER_SHARE
        sharing = feed_sharing(bounds)
        self.feed = SharedFeed(self.store, self.agreed_clock, sharing)
        self.followers = [
            FeedFollower(
                self.feed,
                self.clock,
                OPERATOR_TABLE,
                self.apply_operator_rows,
                sharing.wait_s,
                order=operator_row_order,
                lost_grace_s=OLDER_GRACE_S,
            ),
            FeedFollower(
                self.feed,
                self.clock,
                SERVERS_TABLE,
                self.apply_server_rows,
                sharing.wait_s,
                lambda: self.feed.gather_s(gather_s),
                server_row_order,
                direct=self.feed.direct,
                shared_age_s=sharing.fresh_s,
            ),
            FeedFollower(
                self.feed,
                self.clock,
                CRASHES_TABLE,
                self.crash_reports.apply_rows,
                sharing.wait_s,
                lambda: CRASH_GATHER_S,
            ),
        ]
        self.store.failure_listeners.append(self.reissue_waits)
        self.store.epoch.listeners += [
            self.reissue_waits,
            self.crash_reports.table_restored,
        ]
        self.first_start = settings.bootstrap
        self.table_restored = anyio.Event()
        self.store.epoch.listeners.append(lambda: self.table_restored.set())
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
            self.store.epoch,
        )
        for table in (self.relay.table, self.relay.urgent_table):
            table.on_failure = self.reissue_waits
        self.measurements = MeasurementLinks(
            self.relay,
            self.clock,
            settings.node,
            settings.zone,
            self.driver.shares_measurements,
            self.count_vms,
            self.app.metrics.registry,
        )
        self.relay.measurements = self.measurements
        self.driver.connect_router = self.connect_router
        self.peer_client = BackendClient(
            header_parser=PeerHeaderParser(),
            socket_options=DEAD_PEER_OPTIONS,
            tls=tls_without_authorities(),
        )
        count = partial(self.app.metrics.count_long_answer, "vm")
        self.peer_client.limit_listeners.append(count)
        count_dropped = partial(self.app.metrics.count_dropped_connection, "vm")
        self.peer_client.drop_listeners.append(count_dropped)
        self.forwarder = RequestForwarder(
            self.driver,
            self.probes,
            self.peer_client,
            self.store,
            PeerChoice(settings.node, settings.zone, settings.region),
            self.config_version,
            self.app.metrics.registry,
        )
        self.app.forwarder = self.forwarder
        self.pool_versions = PoolVersions(
            self.agreed_clock,
            self.store,
            self.count_vms,
            self.may_lack_rows,
            self.first_start,
            lambda: self.writer.journal.key,
        )
        self.store.epoch.listeners.append(self.pool_versions.table_restored)
        [servers_follower] = (f for f in self.followers if f.table == SERVERS_TABLE)
        self.stream_versions = StreamVersions(
            self.clock,
            self.relay.urgent_table,
            self.store,
            self.pool_versions,
            self.app.metrics.registry,
            Confirmation(self.clock, servers_follower),
        )
        servers_follower.change_listeners.append(self.record_replaced_servers)
        servers_follower.gap_listeners.append(self.pool_versions.record_gap)
        self.app.stream_versions = self.stream_versions
        self.store.epoch.listeners.append(self.stream_versions.table_restored)
        epoch = self.store.epoch
        journal = Journal(
            settings.node,
            settings.zone,
            timing.window_s,
            epoch=lambda: epoch.current,
        )
        epoch.listeners.append(journal.reopen_frozen)
        self.writer = NodeWriter(
            self.relay.table,
            self.agreed_clock,
            journal,
            timing,
            self.config_version,
            partial(forwarding_load, self.driver.load_row, self.forwarder),
            entry_count=lambda: 1 if self.relay.batches_writes else self.count_vms(),
            read_recent=self.relay.table.read_recent,
        )
        self.meter.listeners.append(self.writer.count)
        self.forwarder.on_change = self.writer.flush_requested_now
        duty = UsageDuty(
            self.store,
            self.clock,
            timing,
            self.app.metrics.registry,
            REPORT_TIMEOUT_S,
            self.agreed_clock,
            self.store.epoch,
        )
        orders = ZonalDuty(
            self.store.duties,
            self.clock,
            self.order_limits,
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
            epoch=self.store.epoch,
            first_start=self.first_start,
        )
        self.add_metrics(self.app.metrics.registry)
        self.caller_server = HttpServer(
            self.serve_caller,
            settings.listen.front,
            grace_s=bounds.grace_s * REQUESTS_GRACE_SHARE - BALANCER_WAIT_S,
            bounds_buffers=self.memory.is_bounded,
        )
        self.forwarded_server = HttpServer(
            ForwardedRequests(self.app, self.probes, self.app.metrics.registry),
            Listen(settings.ip, forwarding_port(settings.port_range)),
            grace_s=self.caller_server.grace_s,
            bounds_buffers=self.memory.is_bounded,
        )
        self.readiness_server = HttpServer(
            self.serve_internal, settings.listen.ready, grace_s=0.1
        )
        self.metrics_server = HttpServer(
            self.serve_internal, Listen(settings.ip, metrics_port), grace_s=0.1
        )

    def add_metrics(self, registry: CollectorRegistry) -> None:
        """Register metrics of platform calls, table ages, zones and cold servers."""
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
        limited = Gauge(
            "godwit_rate_limited_servers",
            "Servers that state a rate: this VM takes turns at them.",
            registry=registry,
        )
        limited.set_function(self.driver.count_limited_servers)
        limited_share = Gauge(
            "godwit_rate_limited_turns_per_second",
            "Requests a second that this VM may send to the server of the lowest rate.",
            registry=registry,
        )
        limited_share.set_function(self.driver.limited_turns_per_s)
        rejection_limited = Gauge(
            "godwit_rejection_limited_servers",
            "Servers that state how many rejections a second they bear.",
            registry=registry,
        )
        rejection_limited.set_function(self.driver.count_rejection_limited_servers)
        departing = Gauge(
            "godwit_departing_servers",
            "Servers whose answers said that they are leaving: they get no requests.",
            registry=registry,
        )
        departing.set_function(self.driver.count_departures)
        resting = Gauge(
            "godwit_resting_servers",
            "Servers that asked this VM for rest: they get no requests of it.",
            registry=registry,
        )
        resting.set_function(self.driver.count_resting)
        outliers = Gauge(
            "godwit_outlier_servers",
            "Servers that this VM sends nothing, by the failures of all VMs.",
            registry=registry,
        )
        outliers.set_function(self.driver.count_outliers)
        quarantined = Gauge(
            "godwit_quarantined_fingerprints",
            "Requests, by fingerprint, that this VM refuses as they crash servers.",
            registry=registry,
        )
        quarantined.set_function(self.driver.count_quarantined)
        parts = Gauge(
            "godwit_quarantined_prompt_parts",
            "Groups of prompt parts that this VM refuses as engines crash on them.",
            registry=registry,
        )
        parts.set_function(self.driver.count_quarantined_parts)
        suspects = Gauge(
            "godwit_crash_suspects",
            "Requests, by fingerprint, that were on a server when it crashed.",
            registry=registry,
        )
        suspects.set_function(self.driver.count_suspects)
        for table in (OPERATOR_TABLE, SERVERS_TABLE):
            age.labels(table).set_function(partial(self.feed.age_s, table))
        self.add_table_metrics(registry)

    def add_table_metrics(self, registry: CollectorRegistry) -> None:
        """Register what this VM holds of each table that it follows, and what it uses."""
        epoch = Gauge(
            "godwit_table_epoch",
            "Epoch of the platform's tables that this VM knows of; rises when the store "
            "is restored from a copy.",
            registry=registry,
        )
        epoch.set_function(lambda: self.store.epoch.current)
        version = Gauge(
            "godwit_table_version",
            "Version of a table that this VM holds.",
            ["table"],
            registry=registry,
        )
        behind = Gauge(
            "godwit_table_rows_behind",
            "Rows of a table that this VM holds otherwise than it uses them.",
            ["table"],
            registry=registry,
        )
        for follower in self.followers:
            version.labels(follower.table).set_function(
                partial(self.held_version, follower.table)
            )
            behind.labels(follower.table).set_function(
                partial(self.count_rows_behind, follower)
            )

    def connect_router(self, router: Router) -> None:
        """Have the router go by the measurements of all VMs, and tell them its own."""
        picture, collector = self.measurements.picture, self.measurements.collector
        self.connect_outliers(router.shared_health.outliers)
        router.backends.speeds.view = picture
        router.room.view = picture
        collector.speeds = router.backends.speed_samples
        collector.rooms = router.room.collector.rooms
        collector.memory_left = lambda: self.memory.budget.share_left

    def connect_outliers(self, outliers: OutlierSharing) -> None:
        """Have the router go by the failures of all VMs, and tell them its own."""
        picture, collector = self.measurements.picture, self.measurements.collector
        outliers.view = picture
        outliers.vm = short_hash(self.settings.node)
        outliers.members = lambda: picture.members(self.clock.now())
        outliers.failing = lambda: picture.failing(self.clock.now())
        collector.outcomes = outliers.log.reports
        collector.is_urgent = outliers.log.pop_new_failures
        outliers.log.on_new_failure = self.measurements.wake

    def held_version(self, table: str) -> int:
        return number_of(self.feed.copy_of(table).version)

    def count_rows_behind(self, follower: FeedFollower) -> int:
        """Return the rows that arrived here and are not in use; a few while changes gather."""
        return follower.view.count_differences(self.feed.copy_of(follower.table).rows)

    def order_limits(self) -> dict[PoolName, ZonalLimits]:
        """Return the order limits by pool, once configuration and servers are known."""
        catalog = self.frontend.catalog
        return (
            catalog.order_limits if catalog is not None and self.servers_known else {}
        )

    def count_vms(self) -> int:
        """Return the number of VMs, or 0 if it is unknown."""
        if self.relay.machine.relay_available:
            return self.relay.machine.vm_count
        return self.lease.machine.vm_count

    def config_version(self) -> int:
        return self.app.config.version if self.app.config else 0

    async def start(self, tasks: TaskGroup) -> None:
        """Listen, and follow configuration and servers; ready once both are known."""
        await self.driver.start(tasks)
        await self.probes.start(tasks)
        await self.forwarded_server.start(tasks)
        self.forwarder.address = f"{self.settings.ip}:{self.forwarded_server.port}"
        await self.forwarder.start(tasks)
        for follower in self.followers:
            await follower.start(tasks)
        await self.crash_reports.start(tasks)
        await self.pool_versions.start(tasks)
        await self.stream_versions.start(tasks)
        await self.measurements.start(tasks)
        tasks.start_soon(self.start_duties, tasks)
        for server in (self.caller_server, self.readiness_server, self.metrics_server):
            await server.start(tasks)
        tasks.start_soon(keep_running, "Node.poll_settings", self.poll_settings)
        log_event("node_started", node=self.settings.node, zone=self.settings.zone)

    async def start_duties(self, tasks: TaskGroup) -> None:
        """Agree on the time of day, then start counting and reporting usage by it.

        A VM that enters a usage window early, by a clock that is ahead, cannot return
        to an earlier one. The lease uses the VM's own clocks, since only they show that
        the VM was suspended.
        """
        await keep_running("Node.agree_on_time", self.agree_on_time)
        await self.relay.start(tasks)
        await self.writer.start(tasks)
        await self.lease.start(tasks)
        tasks.start_soon(keep_running, "Node.follow_restores", self.follow_restores)

    async def follow_restores(self) -> None:
        """Agree on the time again if a restore of the store lost what was agreed."""
        while True:
            await self.table_restored.wait()
            self.table_restored = anyio.Event()
            if not await self.time_is_stored():
                await self.agree_on_time()

    async def agree_on_time(self) -> None:
        """Use the stored clock difference, after storing it if it is missing."""
        clock = self.agreed_clock
        before_s = clock.difference_s
        while not await run_steps(self.store, agree_on_time(clock, self.may_lack_rows)):
            await anyio.sleep(AGREE_INTERVAL_S)
        if clock.difference_s != before_s:
            level = "INFO" if before_s is None else "WARNING"
            log_event("time_agreed", level=level, difference_s=clock.difference_s)

    async def time_is_stored(self) -> bool:
        """Return whether the table has the clock difference that this VM uses.

        The zone's VMs share the read, since a restore makes all of them ask at once.
        """
        try:
            rows = await self.relay.table.read_recent([CLOCK_KEY])
        except PlatformError:
            return False
        row = rows.get(CLOCK_KEY)
        if row is None or not self.store.epoch.is_current(row.version):
            return False
        return self.agreed_clock.is_in_use(row.value)

    def may_lack_rows(self) -> bool:
        """Return whether a restore may have lost a row that is missing."""
        epoch = self.store.epoch
        return may_lack_rows(epoch.current, epoch.restored, self.first_start)

    async def close(self) -> None:
        """Stop within the platform's grace period, without cutting a request.

        The load balancer keeps sending for a while after this VM stops being ready, so
        new requests are still served during that wait. Their answers close the
        connection, so that the callers' next requests go to another VM.
        """
        log_event("node_stopping", node=self.settings.node)
        usage_share = REQUESTS_GRACE_SHARE + USAGE_STOP_SHARE
        usage_until = self.clock.now() + self.settings.bounds.grace_s * usage_share
        self.app.stop(BALANCER_WAIT_S + self.caller_server.grace_s)
        async with anyio.create_task_group() as closing_tasks:
            closing_tasks.start_soon(self.lease.close)
            await anyio.sleep(BALANCER_WAIT_S)
            closing_tasks.start_soon(self.close_servers)
        await self.forwarder.close()
        await self.measurements.close()
        await self.relay.close()
        # Requests may have ended long before the grace, while the store is away.
        left_s = usage_until - self.clock.now()
        await self.writer.close(max(left_s, self.writer.timing.stop_s))
        await self.crash_reports.close()
        await self.stream_versions.close()
        await self.pool_versions.close()
        for follower in self.followers:
            await follower.close()
        for server in (self.readiness_server, self.metrics_server):
            await server.close()
        await self.probes.close()
        await self.driver.close()
        await self.client.close()
        await self.peer_client.close()
        await self.store.close()
        log_event("node_stopped", node=self.settings.node)

    async def close_servers(self) -> None:
        """Close the listeners, and wait until the open requests have ended."""
        async with anyio.create_task_group() as ending_tasks:
            ending_tasks.start_soon(self.app.end_exchanges)
            async with anyio.create_task_group() as closing_tasks:
                closing_tasks.start_soon(self.caller_server.close)
                closing_tasks.start_soon(self.forwarded_server.close)
            ending_tasks.cancel_scope.cancel()

    def reissue_waits(self) -> None:
        """Reissue all calls that wait for changes."""
        for follower in self.followers:
            follower.reissue_wait()

    def apply_operator_rows(self, rows: dict[str, bytes]) -> None:
        """Apply evacuations first, since the first configuration makes the VM ready."""
        self.driver.set_evacuated_zones(read_evacuations(rows))
        self.apply_config(rows)

    def apply_config(self, rows: dict[str, bytes]) -> None:
        """Put the operators' configuration in force if it is newer."""
        content = rows.get(CONFIG_KEY)
        if content is None:
            return
        try:
            catalog = read_config(
                content,
                cold_bounds(self.settings.bounds),
                fleet_policy(self.settings.invariants),
            )
        except ConfigInvalid as error:
            self.config_log.record(CONFIG_KEY, content, error)
            return
        if catalog.config.version <= self.config_version():
            return
        log_event("config_in_force", number=catalog.config.version)
        self.frontend.apply_catalog(catalog)
        self.app.config_changed(catalog.config)
        self.crash_reports.apply_new()
        limits = catalog.limits
        self.caller_server.set_connection_limits(
            limits.max_header_bytes, limits.idle_timeout_ms / 1000
        )

    def apply_server_rows(self, rows: dict[str, bytes]) -> None:
        """Apply the rows by which backend servers register themselves in the store."""
        servers = read_servers(rows, self.server_row_log)
        known = self.driver.listed_backends
        for name in servers.keys() | known.keys():
            if servers.get(name) != known.get(name):
                server = servers.get(name)
                state = "gone" if server is None else "in"
                if server is not None and server.leaving:
                    state = "leaving"
                cold_s = server.cold_s if server is not None else None
                log_event("server_listed", server=name, state=state, cold_s=cold_s)
        self.stream_versions.update_servers(
            {BackendId(name): listed_server(item) for name, item in servers.items()}
        )
        self.servers_known = True
        self.driver.update_listed_backends(servers)

    def record_replaced_servers(self, rows: Sequence[FeedRow]) -> None:
        """Record the servers of rows that others in the same answer replace or remove."""
        last = {row.key: row.content for row in rows}
        replaced = [
            read_server(row.key, row.content, self.server_row_log)
            for row in rows
            if row.content is not None and row.content != last[row.key]
        ]
        self.stream_versions.record_replaced(
            listed_server(server) for server in replaced if server is not None
        )

    async def serve_caller(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve requests on the callers' address."""
        if scope["type"] != "http":
            return
        send = self.app.with_connection_close(send)
        try:
            await self.app.handle_request(scope, receive, send)
        except CallerGone:
            return

    async def serve_internal(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve readiness checks and metrics."""
        if scope["type"] != "http":
            return
        match scope["path"]:
            case path if path == READY_PATH:
                ready = self.app.ready
                self.log_readiness(ready)
                await send_json(send, 200 if ready else 503, {"ready": ready})
            case "/metrics":
                self.app.record_room()
                headers = [(b"content-type", CONTENT_TYPE_LATEST.encode())]
                body = generate_latest(self.app.metrics.registry)
                await send_response(send, 200, headers, body)
            case _:
                await send_json(send, 404, {"error": "not found"})

    def log_readiness(self, ready: bool) -> None:
        """Log what the load balancer is told, when that changes."""
        if ready != self.reported_ready:
            self.reported_ready = ready
            log_event("readiness_changed", ready=ready)

    async def poll_settings(self) -> None:
        """Apply the number of VMs and a changed settings file, at a fixed interval."""
        while True:
            wait_s = until_check_s(self.clock.now(), SETTINGS_POLL_INTERVAL_S)
            await anyio.sleep(wait_s)
            vms = self.count_vms()
            self.budgets.set_router_count(vms, self.clock.now())
            self.driver.set_entry_count(vms)
            self.reload()

    def reload(self) -> None:
        """Read the settings file again; an invalid one changes nothing.

        Addresses and identity stay as they were at the start; only the rule for
        withdrawn keys may change.
        """
        if self.path is None:
            return
        content = read_bytes(self.path)
        if content == self.settings_content:
            return
        self.settings_content = content
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

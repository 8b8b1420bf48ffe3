"""The driver that runs the router: clock ticks, load polls and delivery of actions.

The router is a state machine without I/O. The driver calls it with the time and each
event, and puts the actions that it returns into the mailboxes of their requests.
"""

import secrets
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from godwitmast.backends.client import BackendClient, LoadDocument
from godwitmast.background import BackgroundTasks
from godwitmast.capacity.demand import OPEN_REQUESTS_KEY
from godwitmast.capacity.fleet import EMPTY_FLEET, FleetRow, merge_backends
from godwitmast.check_times import until_check_s
from godwitmast.clock import Clock
from godwitmast.config.document import Backend, Document, NumberedConfig
from godwitmast.dispatch.connectivity import ConnectivityTable
from godwitmast.dispatch.departures import Departures
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    FailureKind,
    LoadReport,
    PoisonUpdate,
    Refuse,
    RequestSpec,
    ServerStatement,
    Start,
)
from godwitmast.dispatch.poison import (
    CrashNotice,
    Notice,
    QuarantineNotice,
    ReleaseNotice,
    ReviewNotice,
)
from godwitmast.dispatch.policy import Policy
from godwitmast.dispatch.retries import RetryBudgets
from godwitmast.dispatch.router import Router
from godwitmast.dispatch.router_count import RouterCount
from godwitmast.entry.last_servers import LastServers
from godwitmast.logs import log_event
from godwitmast.stalls import StallWatch
from godwitmast.supervision import TaskHealth, record_task_failure
from godwitmast.types import AttemptId, BackendId, PoolName, RequestId, ZoneName

TICK_S = 0.05
IDLE_TICK_S = 0.5
"""Longest time between two ticks while there are no requests."""

LOAD_POLL_INTERVAL_S = 1.0
LOAD_POLL_TIMEOUT_S = 0.8

EVICTION_REMAINING_S = 3.0
"""The platform gives 5 s notice; writing and reading the fleet row takes the rest."""

Mailbox = MemoryObjectReceiveStream[Action]


class Sent(NamedTuple):
    """When a request was sent to a server, and to which start of it."""

    at: float
    incarnation: int


class RouterDriver:
    """Runs one router, with a mailbox for each open request."""

    def __init__(
        self,
        zone: str,
        clock: Clock,
        client: BackendClient,
        budgets: RetryBudgets | None = None,
        announces_suspects: bool = True,
    ) -> None:
        self.budgets = budgets or RetryBudgets()
        self.announces_suspects = announces_suspects
        self.listed_backends: dict[str, Backend] = {}
        self.last_servers = LastServers()
        self.evacuated: frozenset[ZoneName] = frozenset()
        """Availability zones that the platform's operators evacuated."""
        self.zone = ZoneName(zone)
        self.clock = clock
        self.client = client
        self.router: Router | None = None
        self.document: Document | None = None
        self.backends: dict[str, Backend] = {}
        self.fleet = EMPTY_FLEET
        self.urls: dict[BackendId, str] = {}
        self.mailboxes: dict[RequestId, MemoryObjectSendStream[Action]] = {}
        self.request_submitted = anyio.Event()
        self.poison_updated = anyio.Event()
        self.pool_of_request: dict[RequestId, PoolName] = {}
        self.background = BackgroundTasks(self.run_ticks, self.run_load_polls)
        self.router_health = TaskHealth()
        self.cancel_callbacks: dict[AttemptId, Callable[[CancelReason], None]] = {}
        self.cancelled_early: dict[RequestId, set[AttemptId]] = {}
        self.should_poll: Callable[[BackendId], bool] = lambda backend_id: True
        self.load_listeners: list[Callable[[BackendId, LoadReport], None]] = []
        self.leaving_until: dict[BackendId, float] = {}
        self.departures = Departures()
        self.count = RouterCount()
        self.connectivity = ConnectivityTable()
        self.connect_router: Callable[[Router], None] = lambda router: None
        """Called with the router once it exists, to have it share measurements."""
        self.tick_listeners: list[Callable[[float], None]] = []
        """Called with the time after each tick of the router."""
        self.stalls = StallWatch()

    async def start(self, tasks: TaskGroup) -> None:
        self.stalls.start()
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()
        self.stalls.close()

    def set_entry_count(self, entries: int) -> None:
        """Record the number of entries, each of which has a router; 0 if unknown."""
        self.count.update(entries, self.clock.now())

    def config_changed(self, config: NumberedConfig) -> None:
        """Apply a configuration; the first one creates the router."""
        document = config.document
        self.document = document
        now = self.clock.now()
        if self.router is None:
            # With the same seed, all entries would choose the same server at once.
            seed = secrets.randbits(32)
            self.router = Router(
                document,
                self.zone,
                seed,
                self.budgets,
                self.count,
                self.announces_suspects,
            )
            self.connect_router(self.router)
        else:
            self.deliver_actions(self.router.update_config(document, now))
        self.update_backends()

    def fleet_changed(self, fleet: FleetRow) -> None:
        """Replace the servers that the capacity planner ordered."""
        self.fleet = fleet
        if self.router is not None:
            self.update_backends()

    def update_listed_backends(self, listed: dict[str, Backend]) -> None:
        """Replace the servers that registered themselves with the platform."""
        kept_before = self.last_servers.kept.keys()
        self.last_servers.update(self.listed_backends, listed, self.clock.now())
        kept = self.last_servers.kept.keys()
        if kept != kept_before:
            log_event("removed_servers_used", servers=",".join(sorted(kept)) or None)
        self.listed_backends = listed
        if self.router is not None:
            self.update_backends()

    def set_evacuated_zones(self, zones: frozenset[ZoneName]) -> None:
        """Replace the zones that the platform evacuated; their servers get no new requests.

        Zones evacuated by the configuration stay closed too.
        """
        if zones == self.evacuated:
            return
        log_event("zones_evacuated", zones=",".join(sorted(zones)) or None)
        self.evacuated = zones
        if self.router is not None:
            self.update_backends()

    @property
    def closed_zones(self) -> frozenset[ZoneName]:
        """Return the zones evacuated by the configuration or by the platform."""
        configured = self.document.evacuated if self.document else {}
        return self.evacuated | {ZoneName(zone) for zone in configured}

    def count_cold_servers(self) -> int:
        """Return the number of cold servers, to which this entry sends in turns."""
        return len(self.router.backends.cold_servers) if self.router else 0

    def cold_turns_per_s(self) -> float:
        """Return this entry's turns per second at a cold server, in the slowest pool.

        That is the pool with the lowest warm-up rate.
        """
        return self.router.backends.turns_per_s() if self.router else 0.0

    def count_quarantined(self) -> int:
        """Return the number of fingerprints whose requests are refused."""
        return len(self.router.guard.quarantined) if self.router else 0

    def count_quarantined_parts(self) -> int:
        """Return the number of groups of prompt parts that are refused."""
        return len(self.router.part_guard.quarantined) if self.router else 0

    def count_suspects(self) -> int:
        """Return the number of fingerprints that were on a server that crashed."""
        return len(self.router.guard.suspects) if self.router else 0

    def update_backends(self) -> None:
        """Pass all backend servers to the router: configured, listed and ordered ones."""
        assert self.document is not None
        now = self.clock.now()
        closed = self.closed_zones
        self.backends = merge_backends(
            {
                **self.document.backends,
                **self.last_servers.kept,
                **self.listed_backends,
            },
            self.fleet,
        )
        incarnations = {
            BackendId(name): item.incarnation for name, item in self.backends.items()
        }
        self.departures.update(incarnations, now)
        specs = [
            BackendSpec(
                BackendId(name),
                ZoneName(item.zone),
                item.pools,
                item.kind == "cheap",
                self.is_leaving(BackendId(name), item),
                now + EVICTION_REMAINING_S if self.is_evicted(name) else None,
                item.places,
                item.zone in closed,
                item.cold_s,
                item.incarnation,
                item.version,
            )
            for name, item in self.backends.items()
        ]
        self.urls = {BackendId(n): item.url for n, item in self.backends.items()}
        self.connectivity.update_servers(servers_by_pool(specs))
        self.deliver_actions(self.policy.update_backends(specs, now))

    def is_leaving(self, backend_id: BackendId, backend: Backend) -> bool:
        """Return whether the list, a peer or the server itself says that it leaves."""
        return (
            backend.leaving
            or backend_id in self.leaving_until
            or self.departures.is_leaving(backend_id, backend.incarnation)
        )

    def is_evicted(self, name: str) -> bool:
        """Return whether an ordered server is leaving without having been drained.

        Then the platform evicts it.
        """
        server = self.fleet.servers.get(name)
        return server is not None and server.leaving and server.draining_since is None

    def load_row(self) -> dict[str, Any]:
        """Return the load that this VM publishes: open requests by pool."""
        return {OPEN_REQUESTS_KEY: dict(Counter(self.pool_of_request.values()))}

    def leaving_backends(self) -> set[str]:
        """Return the backend servers marked as leaving, by any source but the peers.

        The sources are the configuration, the list of the platform and the fleet.
        """
        return {name for name, item in self.backends.items() if item.leaving}

    def mark_leaving(self, backend_id: BackendId, left_s: float) -> None:
        """Send a backend server no new requests for `left_s`: a peer says it is leaving.

        The platform's list lags by seconds and each entry reads it at its own time; the
        first entry that sees a server leaving informs the others.
        """
        known = backend_id in self.leaving_until
        self.leaving_until[backend_id] = self.clock.now() + left_s
        if not known and self.router is not None:
            self.update_backends()

    def expire_leaving(self) -> None:
        """Drop expired reports of peers.

        By then configuration, platform's list or fleet hold those that are true.
        """
        now = self.clock.now()
        kept = {name: at for name, at in self.leaving_until.items() if at > now}
        if len(kept) < len(self.leaving_until):
            self.leaving_until = kept
            self.update_backends()

    def backend_kind(self, backend_id: BackendId) -> str:
        """Return a backend server's kind, cheap or on demand, for the metrics."""
        backend = self.backends.get(backend_id)
        return backend.kind if backend else "unknown"

    def backend_address(self, backend_id: BackendId | None) -> str | None:
        """Return the host and port of a backend server, if it is known."""
        url = self.urls.get(backend_id) if backend_id is not None else None
        return urlsplit(url).netloc if url else None

    def submit(self, request: RequestSpec) -> Mailbox:
        """Submit a request; its mailbox receives Start, Refuse or both."""
        send, receive = anyio.create_memory_object_stream[Action](16)
        self.mailboxes[request.request_id] = send
        self.request_submitted.set()
        self.pool_of_request[request.request_id] = request.pool
        self.deliver_actions(self.policy.submit(request, self.clock.now()))
        return receive

    def forget(self, request_id: RequestId) -> None:
        """Drop the mailbox and the early cancels of a request that ended."""
        self.cancelled_early.pop(request_id, None)
        self.pool_of_request.pop(request_id, None)
        mailbox = self.mailboxes.pop(request_id, None)
        if mailbox is not None:
            mailbox.close()

    def record_tokens(
        self, request_id: RequestId, attempt_id: AttemptId, count: int
    ) -> None:
        now = self.clock.now()
        self.deliver_actions(
            self.policy.record_tokens(request_id, attempt_id, count, now)
        )

    def set_stream_version(self, request_id: RequestId, version: str) -> None:
        """Bind a stream to the version of a server that began it under another VM."""
        if self.router is not None:
            self.router.set_version(request_id, version)

    def record_completion(self, request_id: RequestId, attempt_id: AttemptId) -> None:
        now = self.clock.now()
        self.deliver_actions(self.policy.record_completion(request_id, attempt_id, now))

    def record_error_answer(self, request_id: RequestId, attempt_id: AttemptId) -> None:
        """Record that a server's own error was passed on to the caller."""
        now = self.clock.now()
        self.deliver_actions(
            self.policy.record_error_answer(request_id, attempt_id, now)
        )

    def record_failure(
        self, request_id: RequestId, attempt_id: AttemptId, kind: FailureKind
    ) -> None:
        now = self.clock.now()
        self.deliver_actions(
            self.policy.record_failure(request_id, attempt_id, kind, now)
        )
        self.report_crashes()

    def record_broken_connection(self, backend_id: BackendId) -> None:
        """Record a connection to a backend server that failed or broke."""
        self.connectivity.record_failure(backend_id)

    def stop(self, ends_at: float) -> None:
        """Start only requests that can be answered before a time."""
        if self.router is not None:
            self.router.stop(ends_at)

    def release_requests(self, pool: PoolName, now: float) -> None:
        """Release the requests for a pool that another entry can serve."""
        is_silent = partial(self.connectivity.pools[pool].is_silent, now=now)
        if self.router is not None:
            self.deliver_actions(self.router.release_requests(pool, is_silent, now))

    def take_back(self, request_id: RequestId) -> None:
        """Have the router serve a request that no other entry took."""
        if self.router is not None:
            now = self.clock.now()
            self.deliver_actions(self.router.take_back(request_id, now))

    def record_reachability(self, pool: PoolName, is_unreachable: bool) -> None:
        """Record that no server of a pool can be reached any more, or one can again."""
        if self.router is None:
            return
        if is_unreachable:
            self.router.record_unreachable_pool(pool, self.clock.now())
            self.report_crashes()
        else:
            self.router.record_reachable_pool(pool, self.clock.now())

    def record_lost_links(self, pool: PoolName) -> None:
        """Record that another entry reaches servers of a pool that this one cannot."""
        if self.router is not None:
            self.router.record_lost_links(pool)

    def record_lost_servers(self, pool: PoolName) -> None:
        """Record that another entry reaches no server of a pool either."""
        if self.router is not None:
            now = self.clock.now()
            self.deliver_actions(self.router.record_lost_servers(pool, now))
            self.report_crashes()

    def record_heard(self, backend_id: BackendId) -> None:
        """Record that bytes of an answer arrived from a backend server."""
        self.connectivity.record_heard(backend_id, self.clock.now())

    def oldest_attempts(self) -> dict[PoolName, float]:
        """Return when the oldest running attempt of each pool started."""
        if self.router is None:
            return {}
        return self.router.active_requests.oldest_attempts()

    def cancel_request(self, request_id: RequestId, reason: CancelReason) -> None:
        self.deliver_actions(
            self.policy.cancel_request(request_id, reason, self.clock.now())
        )

    @property
    def policy(self) -> Policy:
        assert self.router is not None, "requests are served only once ready"
        return self.router

    def deliver_actions(self, actions: list[Action]) -> None:
        """Cancel attempts, and put every other action into its request's mailbox."""
        for action in actions:
            if isinstance(action, Cancel):
                self.cancel(action)
                continue
            mailbox = self.mailboxes.get(action.request_id)
            if mailbox is not None:
                mailbox.send_nowait(action)

    def report_crashes(self) -> None:
        """Log what the router found of crashing requests, and wake who shares it."""
        if self.router is None:
            return
        for notice in self.router.guard.pop_notices():
            log_notice(notice)
        for group, crashed, left_s in self.router.part_guard.pop_notices():
            log_event(
                "prompt_parts_quarantined" if left_s else "prompt_parts_released",
                level="WARNING",
                pool=group.pool,
                parts=",".join(sorted(group.ids)),
                crashed=",".join(crashed) or None,
                left_s=left_s,
            )
        if self.router.has_poison_updates:
            self.poison_updated.set()

    def shares_measurements(self) -> bool:
        """Return whether the configuration has VMs share measurements: "auto" once a
        server stated how fast it is."""
        if self.router is None:
            return False
        uses = set(self.router.document.fleet)
        is_stated = bool(self.router.shared_health.outliers.stated)
        return "on" in uses or ("auto" in uses and is_stated)

    def count_outliers(self) -> int:
        """Return the number of servers that are out by the failures of all VMs."""
        return len(self.router.shared_health.outliers.out) if self.router else 0

    def report_outliers(self) -> None:
        """Log which servers the failures of several VMs ejected, and which are back."""
        if self.router is None:
            return
        for notice in self.router.shared_health.pop_notices():
            log_event(
                "server_ejected_by_fleet"
                if notice.is_out
                else "server_readmitted_by_fleet",
                level="WARNING" if notice.is_out else "INFO",
                backend=notice.server.backend_id,
                incarnation=notice.server.incarnation,
                vms_failing=notice.vms_failing,
                vms=notice.vms,
            )

    def report_failures(self) -> None:
        """Log and count the exceptions in the router's decisions."""
        if self.router is None:
            return
        for step, request_id, error in self.router.pop_failures():
            record_task_failure(f"Router.{step}", error, request=request_id)
            if request_id is None:
                self.router_health.record_failure(time.monotonic())

    def is_failing(self) -> bool:
        """Return whether the loops of this driver, or a step of the router in each
        tick, fail again and again.

        It is for operators, and not for readiness: what VMs share may fail on all of
        them at once, while each still serves.
        """
        now = time.monotonic()
        return self.background.is_failing() or self.router_health.is_failing(now)

    def report_group_sizes(self) -> None:
        """Log new sizes of the groups of engines for interactive requests."""
        if self.router is None:
            return
        for pool, view in self.router.backends.pools.items():
            size, view.placement.resized = view.placement.resized, None
            if size is not None:
                log_event("interactive_group_resized", pool=pool, **size._asdict())
        for pool, used in self.router.backends.speeds.pop_changes():
            log_event("placement_by_predicted_time", pool=pool, used=used)

    def report_room(self) -> None:
        """Log requests that were refused or started late by the room of all VMs."""
        if self.router is None:
            return
        for notice in self.router.room.pop_notices():
            fields = notice._asdict() | notice.room._asdict()
            del fields["room"]
            log_event(fields.pop("event"), **fields)

    async def wait_for_poison_updates(self) -> None:
        """Wait until the router has updates on crashing requests."""
        await self.poison_updated.wait()
        self.poison_updated = anyio.Event()

    def pop_poison_updates(self) -> list[PoisonUpdate]:
        return self.router.pop_poison_updates() if self.router else []

    def apply_poison_updates(self, updates: list[PoisonUpdate]) -> None:
        """Apply what another entry observed of crashing requests."""
        if self.router is not None:
            now = self.clock.now()
            self.deliver_actions(self.router.apply_poison_updates(updates, now))
            self.report_crashes()

    def cancel(self, action: Cancel) -> None:
        """Cancel an attempt, or keep it from starting.

        An attempt may be preempted while its Start is still in the mailbox. If that
        cancel were lost, the attempt would run beside the one that replaces it.
        """
        cancel = self.cancel_callbacks.get(action.attempt_id)
        if cancel is not None:
            cancel(action.reason)
        elif action.request_id in self.mailboxes:
            attempts = self.cancelled_early.setdefault(action.request_id, set())
            attempts.add(action.attempt_id)

    def is_cancelled(self, start: Start) -> bool:
        """Return whether an attempt was cancelled before it started."""
        return start.attempt_id in self.cancelled_early.get(start.request_id, ())

    async def run_ticks(self) -> None:
        while True:
            if self.mailboxes:
                wait_s = TICK_S
                due_at = time.monotonic() + wait_s
                await anyio.sleep(wait_s)
            else:
                self.request_submitted = anyio.Event()
                wait_s = until_check_s(self.clock.now(), IDLE_TICK_S)
                due_at = time.monotonic() + wait_s
                with anyio.move_on_after(wait_s):
                    await self.request_submitted.wait()
            self.stalls.record_turn(due_at)
            if self.router is not None:
                now = self.clock.now()
                if self.last_servers.has_expired(now):
                    self.update_listed_backends(self.listed_backends)
                self.deliver_actions(self.router.tick(now))
                self.report_failures()
                self.report_crashes()
                self.report_group_sizes()
                self.report_room()
                self.report_outliers()
                for listener in self.tick_listeners:
                    listener(now)

    async def run_load_polls(self) -> None:
        """Poll the load of the backend servers that are assigned to this entry."""
        while True:
            await anyio.sleep(LOAD_POLL_INTERVAL_S)
            async with anyio.create_task_group() as tasks:
                for backend_id, url in self.urls.items():
                    if self.should_poll(backend_id) and not self.is_resting(backend_id):
                        tasks.start_soon(partial(self.poll_load, backend_id, url))

    async def poll_load(self, backend_id: BackendId, url: str) -> None:
        document = await self.client.get_json(
            f"{url}/load", LoadDocument, LOAD_POLL_TIMEOUT_S
        )
        if document is None:
            return
        report = LoadReport(document.running, document.waiting, age_s=document.age_s)
        for listener in self.load_listeners:
            listener(backend_id, report)
        self.record_load(backend_id, report)

    def sent_now(self, backend_id: BackendId) -> Sent:
        """Return what tells of a request that is sent now."""
        return Sent(self.clock.now(), self.incarnation(backend_id))

    def incarnation(self, backend_id: BackendId) -> int:
        """Return which start of a server this entry's list has."""
        backend = self.backends.get(backend_id)
        return backend.incarnation if backend is not None else 0

    def record_statement(
        self, backend_id: BackendId, statement: ServerStatement, sent: Sent
    ) -> None:
        """Record what an answer states of its server; `sent` tells of the request."""
        sent_at = sent.at
        if statement.load is not None:
            self.record_load(backend_id, statement.load)
        self.record_rate_limit(backend_id, statement.requests_per_s, sent_at)
        self.record_rejection_limit(backend_id, statement.rejections_per_s, sent_at)
        if statement.is_leaving:
            self.record_departure(backend_id, sent.incarnation)
        self.record_rest(backend_id, statement.rest_s, sent_at)

    def record_rest(
        self, backend_id: BackendId, rest_s: float | None, sent_at: float
    ) -> None:
        """Record the rest that an answer asks for, or that it asks for none."""
        if self.router is None:
            return
        now = self.clock.now()
        actions = self.router.record_rest(backend_id, rest_s, sent_at, now)
        if rest_s is not None:
            log_event(
                "server_rest",
                backend=backend_id,
                rest_s=rest_s,
                resting=self.count_resting(),
                refused=sum(isinstance(action, Refuse) for action in actions),
            )
        self.deliver_actions(actions)

    def count_resting(self) -> int:
        """Return the number of servers that asked this entry for rest."""
        return len(self.router.backends.resting_servers) if self.router else 0

    def is_resting(self, backend_id: BackendId) -> bool:
        return (
            self.router is not None
            and backend_id in self.router.backends.resting_servers
        )

    def record_departure(self, backend_id: BackendId, incarnation: int) -> None:
        """Send a server no new requests: it states that it is leaving."""
        now = self.clock.now()
        if not self.departures.record_statement(backend_id, incarnation, now):
            return
        listed = self.backends.get(backend_id)
        log_event(
            "server_stated_leaving",
            backend=backend_id,
            incarnation=incarnation,
            listed_as_leaving=listed.leaving if listed is not None else None,
        )
        self.update_backends()

    def count_departures(self) -> int:
        """Return the number of servers that stated to be leaving, listed or not."""
        return len(self.departures.by_server)

    def record_rate_limit(
        self, backend_id: BackendId, per_s: float | None, sent_at: float
    ) -> None:
        """Record the rate that an answer states for all entries together, or none."""
        if self.router is None:
            return
        table = self.router.backends
        limited = table.count_rate_limited()
        actions = self.router.record_rate_limit(
            backend_id, per_s, sent_at, self.clock.now()
        )
        if limited != table.count_rate_limited():
            log_event(
                "server_rate_limit",
                backend=backend_id,
                per_s=per_s,
                routers=table.assumed_routers,
            )
        self.deliver_actions(actions)

    def count_limited_servers(self) -> int:
        """Return the number of servers that state a rate, to which this entry sends in
        turns."""
        return self.router.backends.count_rate_limited() if self.router else 0

    def record_rejection_limit(
        self, backend_id: BackendId, per_s: float | None, sent_at: float
    ) -> None:
        """Record the rejections a second that a server says it bears, or no limit."""
        if self.router is None:
            return
        table = self.router.backends
        limited = table.count_rejection_limited()
        actions = self.router.record_rejection_limit(
            backend_id, per_s, sent_at, self.clock.now()
        )
        if limited != table.count_rejection_limited():
            log_event(
                "server_rejection_limit",
                backend=backend_id,
                per_s=per_s,
                routers=table.assumed_routers,
            )
        self.deliver_actions(actions)

    def count_rejection_limited_servers(self) -> int:
        """Return the number of servers that state a limit on rejections."""
        return self.router.backends.count_rejection_limited() if self.router else 0

    def limited_turns_per_s(self) -> float:
        """Return this entry's turns per second at the server with the lowest rate."""
        return self.router.backends.limited_turns_per_s() if self.router else 0.0

    def record_load(self, backend_id: BackendId, report: LoadReport) -> None:
        """Record a server's load, from a poll, a peer or the headers of an answer."""
        if self.router is not None:
            now = self.clock.now()
            self.deliver_actions(self.router.record_load(backend_id, report, now))


def servers_by_pool(specs: list[BackendSpec]) -> dict[PoolName, list[BackendId]]:
    """Return the servers of each pool that are not leaving."""
    servers: dict[PoolName, list[BackendId]] = {}
    for spec in specs:
        for pool in spec.pools:
            members = servers.setdefault(PoolName(pool), [])
            if not spec.leaving:
                members.append(spec.backend_id)
    return servers


def log_notice(notice: Notice) -> None:
    """Log what may have crashed a server, or what is quarantined."""
    match notice:
        case CrashNotice(backend_id, fingerprints, counted):
            log_event(
                "server_crashed",
                level="WARNING",
                backend=backend_id,
                requests=",".join(fingerprints),
                counted=",".join(counted),
            )
        case QuarantineNotice(fingerprint, crashed):
            log_event(
                "request_quarantined",
                level="WARNING",
                fingerprint=fingerprint,
                crashed=",".join(crashed) or None,
            )
        case ReleaseNotice(fingerprint, crashed):
            log_event(
                "request_released",
                level="WARNING",
                fingerprint=fingerprint,
                crashed=",".join(crashed),
            )
        case ReviewNotice(backend_id, reason, fingerprints):
            log_event(
                "crash_reviewed",
                backend=backend_id,
                reason=reason.value,
                requests=",".join(fingerprints),
            )

"""Carries out the router's actions, and tells it what became of them."""

import secrets
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import urlsplit

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from godwitmast.backends.client import BackendClient
from godwitmast.background import Background
from godwitmast.capacity.demand import OPEN
from godwitmast.capacity.fleet import EMPTY, FleetRow, merge_backends
from godwitmast.clock import Clock
from godwitmast.config.document import Backend, Document, NumberedConfig
from godwitmast.dispatch.census import RouterCount
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    FailureKind,
    LoadReport,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.policy import Policy
from godwitmast.dispatch.retries import RetryBudgets
from godwitmast.dispatch.router import Router
from godwitmast.logs import log_event
from godwitmast.types import AttemptId, BackendId, PoolName, RequestId, ZoneName

TICK_S = 0.05
IDLE_TICK_S = 0.5
"""While there are no requests."""

LOAD_EVERY_S = 1.0
LOAD_TIMEOUT_S = 0.8

EVICTION_LEFT_S = 3.0
"""Of five seconds' notice, what is left when the fleet's row was written and read."""

Mailbox = MemoryObjectReceiveStream[Action]


class RouterDriver:
    """One router, the mailboxes of its requests, and its clock."""

    def __init__(
        self,
        zone: str,
        clock: Clock,
        client: BackendClient,
        budgets: RetryBudgets | None = None,
    ) -> None:
        self.budgets = budgets or RetryBudgets()
        self.listed: dict[str, Backend] = {}
        self.evacuated: frozenset[ZoneName] = frozenset()
        """The zones that the platform's operators evacuated."""
        self.zone = ZoneName(zone)
        self.clock = clock
        self.client = client
        self.router: Router | None = None
        self.document: Document | None = None
        self.backends: dict[str, Backend] = {}
        self.fleet = EMPTY
        self.urls: dict[BackendId, str] = {}
        self.mailboxes: dict[RequestId, MemoryObjectSendStream[Action]] = {}
        self.request_came = anyio.Event()
        self.open_pools: dict[RequestId, PoolName] = {}
        self.background = Background(self.run_ticks, self.run_load_polls)
        self.cancels: dict[AttemptId, Callable[[CancelReason], None]] = {}
        self.cancelled: dict[RequestId, set[AttemptId]] = {}
        self.polls: Callable[[BackendId], bool] = lambda backend_id: True
        self.load_listeners: list[Callable[[BackendId, LoadReport], None]] = []
        self.told_leaving: dict[BackendId, float] = {}
        self.count = RouterCount()

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    def count_entries(self, entries: int) -> None:
        """Record how many entries there are, each with a router; 0 if not known."""
        self.count.note(entries, self.clock.now())

    def config_changed(self, config: NumberedConfig) -> None:
        """Take a configuration: classes, teams, backend servers."""
        document = config.document
        self.document = document
        now = self.clock.now()
        if self.router is None:
            # Entries that drew alike would all choose the same server at once.
            seed = secrets.randbits(32)
            self.router = Router(document, self.zone, seed, self.budgets, self.count)
        else:
            self.carry_out(self.router.update_config(document, now))
        self.update_backends()

    def fleet_changed(self, fleet: FleetRow) -> None:
        """Take the servers that were ordered, beside the configured ones."""
        self.fleet = fleet
        if self.router is not None:
            self.update_backends()

    def backends_listed(self, listed: dict[str, Backend]) -> None:
        """Take the servers that name themselves to the platform."""
        self.listed = listed
        if self.router is not None:
            self.update_backends()

    def evacuate(self, zones: frozenset[ZoneName]) -> None:
        """Give the servers of exactly these zones no new work."""
        if zones == self.evacuated:
            return
        log_event("zones_evacuated", zones=",".join(sorted(zones)) or None)
        self.evacuated = zones
        if self.router is not None:
            self.update_backends()

    @property
    def closed_zones(self) -> frozenset[ZoneName]:
        """Return the evacuated zones, whether configured or told by the platform."""
        configured = self.document.evacuated if self.document else {}
        return self.evacuated | {ZoneName(zone) for zone in configured}

    def count_cold(self) -> int:
        """Return at how many servers this entry takes turns."""
        return len(self.router.backends.cold) if self.router else 0

    def cold_turns_per_s(self) -> float:
        """Return this entry's turns a second at a cold server of the tightest pool."""
        return self.router.backends.turns_per_s() if self.router else 0.0

    def update_backends(self) -> None:
        """Hand the router every backend server: configured, listed or ordered."""
        assert self.document is not None
        now = self.clock.now()
        closed = self.closed_zones
        self.backends = merge_backends(
            {**self.document.backends, **self.listed}, self.fleet
        )
        specs = [
            BackendSpec(
                BackendId(name),
                ZoneName(item.zone),
                item.pools,
                item.kind == "cheap",
                item.leaving or BackendId(name) in self.told_leaving,
                now + EVICTION_LEFT_S if self.is_evicted(name) else None,
                item.places,
                item.zone in closed,
                item.cold_s,
                item.incarnation,
            )
            for name, item in self.backends.items()
        ]
        self.urls = {BackendId(n): item.url for n, item in self.backends.items()}
        self.carry_out(self.policy.update_backends(specs, now))

    def is_evicted(self, name: str) -> bool:
        """Return whether a server is taken away, rather than drained in our own time."""
        server = self.fleet.servers.get(name)
        return server is not None and server.leaving and server.draining_since is None

    def load_row(self) -> dict[str, Any]:
        """Return what this VM tells the others of its load: open requests by pool."""
        return {OPEN: dict(Counter(self.open_pools.values()))}

    def leaving(self) -> set[str]:
        """Return the backend servers that configuration or fleet say are leaving."""
        return {name for name, item in self.backends.items() if item.leaving}

    def leaving_told(self, backend_id: BackendId, left_s: float) -> None:
        """Give a backend server no new work, as a peer says that it is leaving.

        The platform's list lags by seconds and is read by each entry on its own; the
        first one that sees it tells the others.
        """
        known = backend_id in self.told_leaving
        self.told_leaving[backend_id] = self.clock.now() + left_s
        if not known and self.router is not None:
            self.update_backends()

    def forget_told(self) -> None:
        """Forget what peers told long ago; it is in the configuration or wrong."""
        now = self.clock.now()
        kept = {name: at for name, at in self.told_leaving.items() if at > now}
        if len(kept) < len(self.told_leaving):
            self.told_leaving = kept
            self.update_backends()

    def kind_of(self, backend_id: BackendId) -> str:
        """Return whether a backend server is cheap or on demand, for the metrics."""
        backend = self.backends.get(backend_id)
        return backend.kind if backend else "unknown"

    def address_of(self, backend_id: BackendId | None) -> str | None:
        """Return the host and port of a backend server, if it is known."""
        url = self.urls.get(backend_id) if backend_id is not None else None
        return urlsplit(url).netloc if url else None

    def submit(self, request: RequestSpec) -> Mailbox:
        """Hand a request to the router; its mailbox gets Start, Refuse or both."""
        send, receive = anyio.create_memory_object_stream[Action](16)
        self.mailboxes[request.request_id] = send
        self.request_came.set()
        self.open_pools[request.request_id] = request.pool
        self.carry_out(self.policy.submit(request, self.clock.now()))
        return receive

    def forget(self, request_id: RequestId) -> None:
        """Drop the mailbox of a request that ended, and cancels that came early."""
        self.cancelled.pop(request_id, None)
        self.open_pools.pop(request_id, None)
        mailbox = self.mailboxes.pop(request_id, None)
        if mailbox is not None:
            mailbox.close()

    def tokens_came(
        self, request_id: RequestId, attempt_id: AttemptId, count: int
    ) -> None:
        now = self.clock.now()
        self.carry_out(self.policy.tokens_came(request_id, attempt_id, count, now))

    def finished(self, request_id: RequestId, attempt_id: AttemptId) -> None:
        now = self.clock.now()
        self.carry_out(self.policy.finished(request_id, attempt_id, now))

    def failed(
        self, request_id: RequestId, attempt_id: AttemptId, kind: FailureKind
    ) -> None:
        now = self.clock.now()
        self.carry_out(self.policy.failed(request_id, attempt_id, kind, now))

    def withdraw(self, request_id: RequestId, reason: CancelReason) -> None:
        self.carry_out(self.policy.withdraw(request_id, reason, self.clock.now()))

    @property
    def policy(self) -> Policy:
        assert self.router is not None, "requests are taken only once ready"
        return self.router

    def carry_out(self, actions: list[Action]) -> None:
        """Put each action where the task that it concerns finds it."""
        for action in actions:
            if isinstance(action, Cancel):
                self.cancel(action)
                continue
            mailbox = self.mailboxes.get(action.request_id)
            if mailbox is not None:
                mailbox.send_nowait(action)

    def cancel(self, action: Cancel) -> None:
        """End an attempt, or see to it that it does not begin.

        An attempt may be preempted while its Start is still in the mailbox. Were that
        cancel lost, the attempt would run on beside the one that takes its place.
        """
        cancel = self.cancels.get(action.attempt_id)
        if cancel is not None:
            cancel(action.reason)
        elif action.request_id in self.mailboxes:
            early = self.cancelled.setdefault(action.request_id, set())
            early.add(action.attempt_id)

    def is_cancelled(self, start: Start) -> bool:
        """Return whether an attempt was cancelled before it could begin."""
        return start.attempt_id in self.cancelled.get(start.request_id, ())

    async def run_ticks(self) -> None:
        while True:
            if self.mailboxes:
                await anyio.sleep(TICK_S)
            else:
                self.request_came = anyio.Event()
                with anyio.move_on_after(IDLE_TICK_S):
                    await self.request_came.wait()
            if self.router is not None:
                self.carry_out(self.router.tick(self.clock.now()))

    async def run_load_polls(self) -> None:
        """Ask the backend servers that fall to this entry for their load."""
        while True:
            await anyio.sleep(LOAD_EVERY_S)
            async with anyio.create_task_group() as tasks:
                for backend_id, url in self.urls.items():
                    if self.polls(backend_id):
                        tasks.start_soon(partial(self.poll_load, backend_id, url))

    async def poll_load(self, backend_id: BackendId, url: str) -> None:
        said = await self.client.get_json(f"{url}/load", LOAD_TIMEOUT_S)
        if said is None:
            return
        try:
            report = LoadReport(
                running=int(said["running"]),  # type: ignore[call-overload]
                waiting=int(said["waiting"]),  # type: ignore[call-overload]
                age_s=float(said.get("age_s", 0.0)),  # type: ignore[arg-type]
            )
        except (KeyError, TypeError, ValueError) as error:
            log_event("load_report_bad", backend=backend_id, error=repr(error))
            return
        for listener in self.load_listeners:
            listener(backend_id, report)
        self.load_reported(backend_id, report)

    def load_reported(self, backend_id: BackendId, report: LoadReport) -> None:
        """Take a server's load, whether polled, told by a peer or by an answer."""
        if self.router is not None:
            now = self.clock.now()
            self.carry_out(self.router.load_reported(backend_id, report, now))

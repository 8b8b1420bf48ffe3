"""Driver of `RelayMachine`: claims the relay row, serves followers, or follows."""

import secrets
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry, Gauge
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from godwitmast.check_times import until_check_s
from godwitmast.clock import Clock
from godwitmast.errors import PeerError, PlatformError, PlatformUnavailable
from godwitmast.http_server import bind
from godwitmast.logs import log_event
from godwitmast.platform_api.epoch import TableEpoch
from godwitmast.platform_api.group_commit import MAX_ENTRIES as PLATFORM_ENTRIES
from godwitmast.platform_api.group_commit import GroupCommit
from godwitmast.platform_api.messages import Written
from godwitmast.platform_api.port import Table
from godwitmast.platform_api.runner import take_step
from godwitmast.platform_api.steps import Step
from godwitmast.relay.codec import encode_frame
from godwitmast.relay.exchange import MeasurementLinks, is_zone_link
from godwitmast.relay.feed import SharedFeed
from godwitmast.relay.links import (
    OPTIONS,
    BoundedServerConnection,
    RelayLink,
    read_frames,
)
from godwitmast.relay.machine import HEARTBEAT_S, RelayMachine, RelayRow, Stage
from godwitmast.relay.messages import (
    Beat,
    Frame,
    Outcome,
    ReadAnswered,
    ReadAsked,
    TableChanged,
    TableTold,
    TransactAnswered,
    TransactAsked,
    VmMeasured,
)
from godwitmast.relay.table import RelayTable, SharedReads
from godwitmast.settings import Listen
from godwitmast.supervision import keep_running, record_task_failure

CHECK_EVERY_S = 0.25
MAX_FOLLOWERS = 512
LEAVE_TIMEOUT_S = 0.5
"""How long a stopping relay tries to delete its row, and to close its links."""

MAX_READ_AGE_GATHERS = 5
"""Greatest age of rows that a relay reads for its followers, in gathering times."""

MAX_ENTRIES = PLATFORM_ENTRIES - 1
"""The platform's client adds a check to each transaction."""

LARGE_FRAME_BYTES = 16 * 1024
LARGE_WAIT_S = 0.5
"""How long the others wait for a follower that does not read; a link of 10 Mbit/s
transfers 600 KB in that time."""

URGENT_GATHER_S = 0.2
"""How long a relay gathers writes that other VMs soon look for."""

CLOSE_TRY_AGAIN = 1013
"""Websocket close code for a follower of a VM that is not the relay."""


class RelayDriver:
    """One VM's relay links, which run in the task group of `start`."""

    def __init__(
        self,
        store: Table,
        clock: Clock,
        node: str,
        zone: str,
        listen: Listen,
        gather_s: float,
        feed: SharedFeed,
        vms: Callable[[], int],
        registry: CollectorRegistry | None = None,
        epoch: TableEpoch | None = None,
    ) -> None:
        self.epoch = epoch or TableEpoch(clock)
        self.store = store
        self.clock = clock
        self.zone = zone
        self.listen = listen
        self.vms = vms
        holder = f"{node}/{secrets.token_hex(4)}"
        self.machine = RelayMachine(zone, RelayRow(holder, ""))
        self.feed = feed
        self.feed.followers = lambda: len(self.links)
        self.link = RelayLink(self.apply_heartbeat, feed.apply_frame)
        self.group = GroupCommit(store.transact, gather_s, MAX_ENTRIES)
        self.shared = SharedReads(
            store, clock, MAX_READ_AGE_GATHERS * gather_s, self.epoch
        )
        self.table = RelayTable(store, clock, self)
        self.urgent_table = RelayTable(store, clock, self, URGENT_GATHER_S)
        for table in (self.table, self.urgent_table):
            table.on_answer = self.record_own_answer
        self.server: Server | None = None
        self.links: set[ServerConnection] = set()
        self.large_frame_lock = anyio.Lock()
        self.encoded: dict[str, tuple[tuple[int | None, int, float], bytes]] = {}
        self.measurements: MeasurementLinks | None = None
        self.relay_measures = False
        """Whether the relay that this VM follows merges measurements."""
        self.link_scope: anyio.CancelScope | None = None
        self.drop_reason = ""
        self.stage = Stage.LOOKING
        self.follower_gauge = Gauge(
            "godwit_relay_followers",
            "VMs that write through this one; -1 where this one is not the relay.",
            registry=registry,
        )

    @property
    def batches_writes(self) -> bool:
        """Return whether this VM's writes are batched with those of others."""
        return self.machine.serving or self.table.through_link

    async def start(self, tasks: TaskGroup) -> None:
        """Listen for followers, and read which VM is the relay."""
        self.tasks = tasks
        listener = bind(self.listen)
        listener.listen(MAX_FOLLOWERS)
        port = listener.getsockname()[1]
        own_row = self.machine.own_row
        self.machine.own_row = own_row._replace(address=f"{self.listen.host}:{port}")
        self.server = await serve(
            self.accept,
            sock=listener,
            create_connection=BoundedServerConnection,
            **OPTIONS,
        )
        await self.group.start(tasks)
        tasks.start_soon(keep_running, "RelayDriver.run", self.run)

    async def close(self) -> None:
        """Delete the relay row, so that another VM claims it, and close all links.

        A write of this VM's own that is being gathered is then sent at once, as its last
        usage waits for the outcome. Those of followers end with their links.
        """
        step = self.machine.leave()
        if step is not None:
            with anyio.move_on_after(LEAVE_TIMEOUT_S):
                await take_step(self.store, step)
        self.drop_link("stopping")
        if self.server is not None:
            self.server.close()
            with anyio.move_on_after(LEAVE_TIMEOUT_S):
                await self.server.wait_closed()
        self.group.stop_gathering()

    async def run(self) -> None:
        """Run each step when it is due, and dial or drop the link to the relay."""
        while self.machine.stage is not Stage.LEAVING:
            now = self.clock.now()
            if self.machine.is_silent(now):
                self.drop_link("silent")
            step = self.machine.step(now)
            while step is not None:
                step = await self.run_step(step)
            self.log_stage_change()
            if self.machine.address is not None and self.link_scope is None:
                self.link_scope = anyio.CancelScope()
                self.tasks.start_soon(
                    self.follow, self.machine.address, self.link_scope
                )
            await anyio.sleep(until_check_s(self.clock.now(), CHECK_EVERY_S))

    async def run_step(self, step: Step) -> Step | None:
        result = await take_step(self.store, step)
        return self.machine.apply_result(result, self.clock.now())

    def log_stage_change(self) -> None:
        """Log a change of stage; a VM that is no longer the relay closes its links."""
        stage = self.machine.stage
        if stage is self.stage:
            return
        if self.stage is Stage.SERVING:
            for socket in self.links:
                self.tasks.start_soon(socket.close)
        self.stage = stage
        if self.measurements is not None:
            self.measurements.wake()
        relay_row = self.machine.relay_row
        address = relay_row.address if relay_row else None
        log_event("relay_stage", stage=stage.value, zone=self.zone, relay=address)
        self.count_links()

    def count_links(self) -> None:
        self.follower_gauge.set(len(self.links) if self.machine.serving else -1)

    # A follower's side.

    async def follow(self, address: str, scope: anyio.CancelScope) -> None:
        """Run the link to the relay until it closes."""
        reason = ""
        try:
            with scope:
                reason = await self.link.run(address, self.link_opened)
        except Exception as error:
            record_task_failure("RelayDriver.follow", error, relay=address)
            reason = "failed"
        reason = reason or self.drop_reason
        self.link_scope = None
        if self.machine.stage is not Stage.LEAVING:
            log_event("relay_lost", level="WARNING", relay=address, reason=reason)
        self.machine.link_lost(self.clock.now())
        self.log_stage_change()

    def link_opened(self) -> None:
        self.machine.link_opened(self.clock.now())
        self.log_stage_change()

    def apply_heartbeat(self, beat: Beat) -> None:
        if beat.epoch:
            self.epoch.observe(beat.epoch)
        before = (self.relay_measures, self.machine.relay_available)
        self.relay_measures = beat.measures
        self.machine.record_heartbeat(beat.able, beat.vms, self.clock.now())
        after = (self.relay_measures, self.machine.relay_available)
        if self.measurements is not None and after != before:
            self.measurements.wake()

    def record_own_answer(self) -> None:
        """Drop the link to a relay without the platform if this VM is answered."""
        if self.machine.record_own_answer(self.clock.now()):
            self.drop_link("turned away by the platform")

    def drop_link(self, reason: str) -> None:
        if self.link_scope is not None:
            self.drop_reason = reason
            self.link_scope.cancel()

    # A relay's side.

    async def accept(self, socket: ServerConnection) -> None:
        """Serve a follower until either end closes the link."""
        if not self.machine.serving:
            await socket.close(CLOSE_TRY_AGAIN)
            return
        if self.measurements is not None and is_zone_link(socket):
            await self.measurements.serve_zone(socket)
            return
        self.links.add(socket)
        self.count_links()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_beats, socket)
                tasks.start_soon(self.send_tables, socket)
                if self.measurements is not None:
                    tasks.start_soon(self.measurements.send_reports, socket)

                async def answer_frame(frame: Frame) -> None:
                    if isinstance(frame, VmMeasured) and self.measurements is not None:
                        self.measurements.apply_vm_report(socket, frame.report)
                        return
                    tasks.start_soon(self.answer_request, socket, frame)

                await read_frames(socket, answer_frame)
                tasks.cancel_scope.cancel()
        finally:
            self.links.discard(socket)
            self.count_links()

    async def send_beats(self, socket: ServerConnection) -> None:
        while True:
            measures = self.measurements is not None and self.measurements.is_active
            beat = Beat(
                not self.group.last_failed, self.vms(), self.epoch.current, measures
            )
            await self.send_frame(socket, beat)
            await anyio.sleep(HEARTBEAT_S)

    async def send_tables(self, socket: ServerConnection) -> None:
        """Send a follower each answer of the platform, in order."""
        sent: dict[str, int] = {}
        while True:
            changed = self.feed.changed
            if self.feed.serves_followers:
                for table in self.feed.known_tables():
                    frame = self.feed.frame_for(table, sent.get(table))
                    sent[table] = frame.version
                    await self.send_table(socket, frame)
            await changed.wait()

    async def send_table(
        self, socket: ServerConnection, frame: TableTold | TableChanged
    ) -> None:
        """Send one follower a table; large frames go to one follower after the other.

        Sent to all at once, they fill the VM's link for seconds. That delays the
        heartbeats by which followers detect a dead relay, and its callers' requests.
        """
        data = self.encode_table(frame)
        if len(data) < LARGE_FRAME_BYTES:
            await self.send(socket, data)
            return
        async with self.large_frame_lock:
            with anyio.move_on_after(LARGE_WAIT_S):
                await self.send(socket, data)

    def encode_table(self, frame: TableTold | TableChanged) -> bytes:
        """Return a frame's bytes, encoded once for followers of the same version."""
        after = frame.after if isinstance(frame, TableChanged) else None
        key = (after, frame.version, frame.confirmed_at)
        known = self.encoded.get(frame.table)
        if known is None or known[0] != key:
            known = self.encoded[frame.table] = (key, encode_frame(frame))
        return known[1]

    async def send_frame(self, socket: ServerConnection, frame: Frame) -> None:
        await self.send(socket, encode_frame(frame))

    async def send(self, socket: ServerConnection, data: bytes) -> None:
        try:
            await socket.send(data)
        except ConnectionClosed:
            return

    async def answer_request(self, socket: ServerConnection, frame: Frame) -> None:
        match frame:
            case TransactAsked():
                await self.send_frame(socket, await self.transact_for(frame))
            case ReadAsked():
                await self.send_frame(socket, await self.read_for(frame))
            case _:
                error = PeerError(
                    f"unexpected frame from a follower: {type(frame).__name__}"
                )
                log_event("relay_bad_frame", level="WARNING", error=error)
                await socket.close()

    async def transact_for(self, request: TransactAsked) -> TransactAnswered:
        try:
            outcome = await self.group.transact(
                request.checks, request.writes, request.gather_s
            )
        except PlatformUnavailable:
            return TransactAnswered(request.number, Outcome.NOT_DONE)
        except PlatformError:
            return TransactAnswered(request.number, Outcome.UNKNOWN)
        written = isinstance(outcome, Written)
        outcome_kind = Outcome.WRITTEN if written else Outcome.CONFLICT
        return TransactAnswered(request.number, outcome_kind, outcome.versions)

    async def read_for(self, request: ReadAsked) -> ReadAnswered:
        try:
            rows = await self.shared.read(request.keys)
        except PlatformError:
            return ReadAnswered(request.number, False)
        return ReadAnswered(
            request.number, True, {k: (r.value, r.version) for k, r in rows.items()}
        )

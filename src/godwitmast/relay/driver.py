"""One VM's part in its zone's relay: claims the seat, serves, or follows."""

import secrets
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry, Gauge
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from godwitmast.clock import Clock
from godwitmast.errors import PeerError, PlatformError, PlatformUnavailable
from godwitmast.http_server import bind
from godwitmast.logs import log_event
from godwitmast.platform_api.group_commit import GroupCommit
from godwitmast.platform_api.messages import Written
from godwitmast.platform_api.port import Table
from godwitmast.platform_api.runner import take_step
from godwitmast.platform_api.steps import Step
from godwitmast.relay.codec import encode_frame
from godwitmast.relay.feed import SharedFeed
from godwitmast.relay.links import OPTIONS, RelayLink, read_frames
from godwitmast.relay.machine import BEAT_S, RelayMachine, Seat, Stage
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
)
from godwitmast.relay.table import RelayTable, SharedReads
from godwitmast.settings import Listen

CHECK_EVERY_S = 0.25
MAX_FOLLOWERS = 512
LEAVE_S = 0.5
"""How long a relay that stops tries to give its seat up."""

READ_AGE_GATHERS = 5
"""How old rows may be that a relay reads for all, in times of gathering."""

LARGE_BYTES = 16 * 1024
LARGE_WAIT_S = 0.5
"""How long the others wait for a follower that does not read; a link of 10 Mbit/s takes
600 KB in that time."""

TRY_AGAIN = 1013
"""Close code of a link to a VM that is not the relay."""


class RelayDriver:
    """Links of one VM with the others of its zone, in the task group of `start`."""

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
    ) -> None:
        self.store = store
        self.clock = clock
        self.zone = zone
        self.listen = listen
        self.vms = vms
        holder = f"{node}/{secrets.token_hex(4)}"
        self.machine = RelayMachine(zone, Seat(holder, ""))
        self.feed = feed
        self.feed.followers = lambda: len(self.links)
        self.link = RelayLink(self.take_beat, feed.take_frame)
        self.group = GroupCommit(store.transact, gather_s)
        self.shared = SharedReads(store, clock, READ_AGE_GATHERS * gather_s)
        self.table = RelayTable(store, clock, self, gather_s)
        self.table.on_answer = self.note_answer
        self.server: Server | None = None
        self.links: set[ServerConnection] = set()
        self.large = anyio.Lock()
        self.encoded: dict[str, tuple[tuple[int | None, int, float], bytes]] = {}
        self.dialled: anyio.CancelScope | None = None
        self.dropped_for = ""
        self.stage = Stage.LOOKING
        self.role = Gauge(
            "godwit_relay_followers",
            "VMs that write through this one; -1 where this one is not the relay.",
            registry=registry,
        )

    @property
    def shares(self) -> bool:
        """Return whether this VM's writes go together with those of others."""
        return self.machine.serving or self.table.through_link

    async def start(self, tasks: TaskGroup) -> None:
        """Listen for the zone's VMs, and look who writes for them."""
        self.tasks = tasks
        listener = bind(self.listen)
        listener.listen(MAX_FOLLOWERS)
        port = listener.getsockname()[1]
        own = self.machine.own
        self.machine.own = own._replace(address=f"{self.listen.host}:{port}")
        self.server = await serve(self.accept, sock=listener, **OPTIONS)
        await self.group.start(tasks)
        tasks.start_soon(self.run)

    async def close(self) -> None:
        """Give the seat up, so that another VM takes it at once, and end all links."""
        step = self.machine.leave()
        if step is not None:
            with anyio.move_on_after(LEAVE_S):
                await take_step(self.store, step)
        self.drop_link("stopping")
        if self.server is not None:
            self.server.close()
            with anyio.move_on_after(LEAVE_S):
                await self.server.wait_closed()

    async def run(self) -> None:
        """Take each step when it is due, and dial or drop the link to the relay."""
        while self.machine.stage is not Stage.LEAVING:
            now = self.clock.now()
            if self.machine.silent(now):
                self.drop_link("silent")
            step = self.machine.step(now)
            while step is not None:
                step = await self.take(step)
            self.note_stage()
            if self.machine.address is not None and self.dialled is None:
                self.dialled = anyio.CancelScope()
                self.tasks.start_soon(self.follow, self.machine.address, self.dialled)
            await anyio.sleep(CHECK_EVERY_S)

    async def take(self, step: Step) -> Step | None:
        result = await take_step(self.store, step)
        return self.machine.took(result, self.clock.now())

    def note_stage(self) -> None:
        """Log a change of stage, and end the links of a relay that is none any more."""
        stage = self.machine.stage
        if stage is self.stage:
            return
        if self.stage is Stage.SERVING:
            for socket in self.links:
                self.tasks.start_soon(socket.close)
        self.stage = stage
        seat = self.machine.seat
        address = seat.address if seat else None
        log_event("relay_stage", stage=stage.value, zone=self.zone, relay=address)
        self.count_links()

    def count_links(self) -> None:
        self.role.set(len(self.links) if self.machine.serving else -1)

    # A follower's side.

    async def follow(self, address: str, scope: anyio.CancelScope) -> None:
        """Keep the link to the relay while it lasts."""
        reason = ""
        with scope:
            reason = await self.link.run(address, self.link_opened)
        reason = reason or self.dropped_for
        self.dialled = None
        if self.machine.stage is not Stage.LEAVING:
            log_event("relay_lost", level="WARNING", relay=address, reason=reason)
        self.machine.link_lost(self.clock.now())
        self.note_stage()

    def link_opened(self) -> None:
        self.machine.link_opened(self.clock.now())
        self.note_stage()

    def take_beat(self, beat: Beat) -> None:
        self.machine.heard(beat.able, beat.vms, self.clock.now())

    def note_answer(self) -> None:
        """Leave a relay that the platform turns away, as it answered this VM."""
        if self.machine.answered(self.clock.now()):
            self.drop_link("turned away by the platform")

    def drop_link(self, reason: str) -> None:
        if self.dialled is not None:
            self.dropped_for = reason
            self.dialled.cancel()

    # A relay's side.

    async def accept(self, socket: ServerConnection) -> None:
        """Serve a follower until either end closes the link."""
        if not self.machine.serving:
            await socket.close(TRY_AGAIN)
            return
        self.links.add(socket)
        self.count_links()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_beats, socket)
                tasks.start_soon(self.send_tables, socket)

                async def take(frame: Frame) -> None:
                    tasks.start_soon(self.answer, socket, frame)

                await read_frames(socket, take)
                tasks.cancel_scope.cancel()
        finally:
            self.links.discard(socket)
            self.count_links()

    async def send_beats(self, socket: ServerConnection) -> None:
        while True:
            await self.tell(socket, Beat(not self.group.failing, self.vms()))
            await anyio.sleep(BEAT_S)

    async def send_tables(self, socket: ServerConnection) -> None:
        """Tell a follower each answer of the platform, in order."""
        sent: dict[str, int] = {}
        while True:
            changed = self.feed.changed
            if self.feed.shares:
                for table in self.feed.known_tables():
                    frame = self.feed.frame_for(table, sent.get(table))
                    sent[table] = frame.version
                    await self.send_table(socket, frame)
            await changed.wait()

    async def send_table(
        self, socket: ServerConnection, frame: TableTold | TableChanged
    ) -> None:
        """Tell one follower of a table; large frames go to one after the other.

        Sent to all at once they fill the VM's link for seconds, and with it the beats by
        which the others know that their relay lives, and its callers' requests.
        """
        data = self.encode_table(frame)
        if len(data) < LARGE_BYTES:
            await self.send(socket, data)
            return
        async with self.large:
            with anyio.move_on_after(LARGE_WAIT_S):
                await self.send(socket, data)

    def encode_table(self, frame: TableTold | TableChanged) -> bytes:
        """Return a frame's bytes, encoded once for all followers that are as far."""
        after = frame.after if isinstance(frame, TableChanged) else None
        key = (after, frame.version, frame.confirmed_at)
        known = self.encoded.get(frame.table)
        if known is None or known[0] != key:
            known = self.encoded[frame.table] = (key, encode_frame(frame))
        return known[1]

    async def tell(self, socket: ServerConnection, frame: Frame) -> None:
        await self.send(socket, encode_frame(frame))

    async def send(self, socket: ServerConnection, data: bytes) -> None:
        try:
            await socket.send(data)
        except ConnectionClosed:
            return

    async def answer(self, socket: ServerConnection, frame: Frame) -> None:
        match frame:
            case TransactAsked():
                await self.tell(socket, await self.transact_for(frame))
            case ReadAsked():
                await self.tell(socket, await self.read_for(frame))
            case _:
                error = PeerError(f"a follower sent {type(frame).__name__}")
                log_event("relay_bad_frame", level="WARNING", error=error)
                await socket.close()

    async def transact_for(self, asked: TransactAsked) -> TransactAnswered:
        try:
            outcome = await self.group.transact(asked.checks, asked.writes)
        except PlatformUnavailable:
            return TransactAnswered(asked.number, Outcome.NOT_DONE)
        except PlatformError:
            return TransactAnswered(asked.number, Outcome.UNKNOWN)
        written = isinstance(outcome, Written)
        kind = Outcome.WRITTEN if written else Outcome.CONFLICT
        return TransactAnswered(asked.number, kind, outcome.versions)

    async def read_for(self, asked: ReadAsked) -> ReadAnswered:
        try:
            rows = await self.shared.read(asked.keys)
        except PlatformError:
            return ReadAnswered(asked.number, False)
        return ReadAnswered(
            asked.number, True, {k: (r.value, r.version) for k, r in rows.items()}
        )

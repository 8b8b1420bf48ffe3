"""Driver of `PeerMachine`: executes its outputs over websocket links."""

import itertools
import ssl
from collections.abc import Callable

import anyio
from anyio import CancelScope
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.frames import CloseCode

from godwitmast.clock import Clock
from godwitmast.errors import PeerError
from godwitmast.http_server import bind
from godwitmast.logs import log_event, silent_logger
from godwitmast.peers.codec import MAX_FRAME_BYTES, decode_frame, encode_frame
from godwitmast.peers.config_source import ConfigSource
from godwitmast.peers.machine import MAX_LINKS, PeerMachine
from godwitmast.peers.messages import (
    Dial,
    Frame,
    HangUp,
    KnownVm,
    MembersChanged,
    Output,
    Place,
    Record,
    RecordCame,
    Send,
    Topic,
)
from godwitmast.peers.settings import PeerSettings
from godwitmast.peers.timing import Timing
from godwitmast.supervision import keep_running, run_once
from godwitmast.tls import TlsContext, peer_client_tls, peer_server_tls
from godwitmast.types import Json

TICK_S = 0.25
OUTBOX_FRAMES = 8
"""Capacity of a link's outbox: the machine sends one frame at a time, and a few more
when a link ends."""

CLOSE_TIMEOUT_S = 1.0
LEAVE_FLUSH_S = 0.5
"""How long a stopping node waits until its last frames are written."""

WEBSOCKET_LOGGER = silent_logger("godwitmast.websockets")


class PeerDriver:
    """One node's peer links, which run in the task group of `start`."""

    def __init__(
        self,
        settings: PeerSettings,
        node: str,
        zone: str,
        region: str,
        config: ConfigSource,
        clock: Clock,
        timing: Timing = Timing(),
    ) -> None:
        self.settings = settings
        self.node = node
        self.zone = zone
        self.region = region
        self.config = config
        self.clock = clock
        self.timing = timing
        self.machine: PeerMachine | None = None
        self.server: Server | None = None
        self.tls: tuple[TlsContext, TlsContext] | None = None
        if settings.tls != "off":
            self.tls = (peer_server_tls(settings.tls), peer_client_tls(settings.tls))
        self.link_ids = itertools.count(1)
        self.outboxes: dict[int, MemoryObjectSendStream[Frame]] = {}
        self.on_record: Callable[[Record], None] = lambda record: None
        self.on_members: Callable[[], None] = lambda: None
        self.partitioned_zones: frozenset[str] = frozenset()
        self.bytes_sent = 0
        self.bad_frames = 0
        self.frames_read = 0

    @property
    def address(self) -> str:
        assert self.machine is not None, "the address is known after start()"
        return self.machine.place.address

    async def start(self, tasks: TaskGroup) -> None:
        """Listen for peers and start dialling them."""
        self.tasks = tasks
        listener = bind(self.settings.listen)
        listener.listen(MAX_LINKS)
        host = self.settings.advertise or self.settings.listen.host
        place = Place(f"{host}:{listener.getsockname()[1]}", self.zone, self.region)
        now = self.clock.now()
        incarnation = int(self.clock.wall() * 1000)
        self.machine = PeerMachine(
            self.node, place, incarnation, self.config, now, timing=self.timing
        )
        self.set_known_vms([])
        for context in self.tls or ():
            tasks.start_soon(keep_running, "TlsContext.run", context.run)
        self.server = await serve(
            self.accept,
            sock=listener,
            ssl=self.tls[0].context if self.tls else None,
            max_size=MAX_FRAME_BYTES,
            max_queue=4,
            compression=None,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
            open_timeout=self.timing.dial_timeout_s,
            logger=WEBSOCKET_LOGGER,
        )
        log_event("peers_listening", address=place.address, tls=bool(self.tls))
        tasks.start_soon(keep_running, "PeerDriver.run_ticks", self.run_ticks)

    async def close(self) -> None:
        """Announce to the peers that this node leaves, then close all links."""
        if self.machine is None or self.server is None:
            return
        self.machine.leave(self.clock.now())
        self.apply_outputs()
        with anyio.move_on_after(LEAVE_FLUSH_S):
            while any(
                box.statistics().current_buffer_used for box in self.open_outboxes()
            ):
                await anyio.sleep(0.01)
            await anyio.sleep(0.05)
        self.server.close(close_connections=True)
        await self.server.wait_closed()
        for link_id in list(self.outboxes):
            self.hang_up(link_id)

    def open_outboxes(self) -> list[MemoryObjectSendStream[Frame]]:
        return list(self.outboxes.values())

    # Calls of the application.

    def set_known_vms(self, vms: list[KnownVm]) -> None:
        """Replace the platform's list of VMs; the seeds of the settings stay."""
        if self.machine is not None:
            seeds = [KnownVm(address) for address in self.settings.seeds]
            self.machine.set_known_vms(seeds + vms, self.clock.now())

    def config_changed(self) -> None:
        """Push the configuration that is now in force."""
        if self.machine is not None:
            self.machine.config_changed(self.clock.now())
            self.apply_outputs()

    def publish_record(
        self,
        topic: Topic,
        key: str,
        value: Json,
        left_s: float,
        version: int | None = None,
    ) -> None:
        """Spread a record for `left_s` seconds; see `PeerMachine.publish_record`."""
        if self.machine is not None:
            now = self.clock.now()
            self.machine.publish_record(topic, key, value, left_s, now, version)
            self.apply_outputs()

    def partition_zones(self, zones: frozenset[str]) -> None:
        """Drop every frame to and from nodes of `zones`, without closing a link."""
        self.partitioned_zones = zones
        log_event("peers_fault_hook", level="WARNING", cut=",".join(sorted(zones)))

    # Outputs of the machine.

    def apply_outputs(self) -> None:
        assert self.machine is not None, "links and ticks begin after the start"
        for output in self.machine.pop_outputs():
            self.apply_output(output)

    def apply_output(self, output: Output) -> None:
        match output:
            case Send(link_id, frame):
                box = self.outboxes.get(link_id)
                if box is not None:
                    self.enqueue_frame(box, frame)
            case Dial(address):
                self.tasks.start_soon(run_once, "PeerDriver.dial", self.dial, address)
            case HangUp(link_id, reason):
                log_event("peer_hung_up", level="DEBUG", link=link_id, reason=reason)
                self.hang_up(link_id)
            case RecordCame(record):
                self.on_record(record)
            case MembersChanged(node, state):
                log_event("peer_state", node=node, state=state.name.lower())
                self.on_members()

    def enqueue_frame(self, box: MemoryObjectSendStream[Frame], frame: Frame) -> None:
        try:
            box.send_nowait(frame)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            # Only frames beyond the one in flight end here, such as a bye to a peer
            # that does not read. The machine's send timeout will close the link.
            log_event("peer_outbox_full", level="DEBUG")

    def hang_up(self, link_id: int) -> None:
        box = self.outboxes.pop(link_id, None)
        if box is not None:
            box.close()

    async def run_ticks(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            assert self.machine is not None, "ticks begin after the start"
            self.machine.tick(self.clock.now())
            self.apply_outputs()

    # Links, one task each.

    async def accept(self, socket: ServerConnection) -> None:
        await self.run_link(socket, None)

    async def dial(self, address: str) -> None:
        """Connect to an address, and run the link until it closes."""
        context = self.tls[1].context if self.tls else None
        try:
            async with connect(
                f"{'wss' if context else 'ws'}://{address}/",
                ssl=context,
                proxy=None,
                max_size=MAX_FRAME_BYTES,
                max_queue=4,
                compression=None,
                ping_interval=None,
                open_timeout=self.timing.dial_timeout_s,
                close_timeout=CLOSE_TIMEOUT_S,
                logger=WEBSOCKET_LOGGER,
            ) as socket:
                await self.run_link(socket, address)
        except (OSError, TimeoutError, WebSocketException) as error:
            self.dial_failed(address, error)

    def dial_failed(self, address: str, error: Exception) -> None:
        assert self.machine is not None, "dials begin after the start"
        if isinstance(error, ssl.SSLError):
            log_event("peer_tls_failed", level="WARNING", address=address, error=error)
        self.machine.dial_failed(address, self.clock.now())
        self.apply_outputs()

    async def run_link(self, socket: Connection, address: str | None) -> None:
        """Read from and write to a link until either end closes it."""
        assert self.machine is not None, "links begin after the start"
        link_id = next(self.link_ids)
        send, receive = anyio.create_memory_object_stream[Frame](OUTBOX_FRAMES)
        self.outboxes[link_id] = send
        self.machine.link_opened(link_id, address, self.clock.now())
        self.apply_outputs()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self.write, link_id, socket, receive, tasks.cancel_scope
                )
                await self.read(link_id, socket)
                tasks.cancel_scope.cancel()
        finally:
            self.hang_up(link_id)
            receive.close()
            self.machine.link_closed(link_id, self.clock.now())
            self.apply_outputs()

    async def write(
        self,
        link_id: int,
        socket: Connection,
        receive: MemoryObjectReceiveStream[Frame],
        scope: CancelScope,
    ) -> None:
        """Write the link's frames one by one; close it once the outbox is closed."""
        assert self.machine is not None, "links begin after the start"
        try:
            async for frame in receive:
                if not self.is_partitioned(link_id):
                    data = encode_frame(frame)
                    await socket.send(data)
                    self.bytes_sent += len(data)
                self.machine.sent(link_id, self.clock.now())
                self.apply_outputs()
            await socket.close()
        except ConnectionClosed:
            pass
        scope.cancel()

    async def read(self, link_id: int, socket: Connection) -> None:
        """Pass the link's frames to the machine; a malformed one closes the link."""
        assert self.machine is not None, "links begin after the start"
        try:
            async for data in socket:
                await anyio.sleep(len(data) / self.settings.bytes_per_s)
                frame = decode_frame(data if isinstance(data, bytes) else b"")
                self.frames_read += 1
                if self.is_partitioned(link_id, frame):
                    continue
                self.machine.received(link_id, frame, self.clock.now())
                self.apply_outputs()
        except ConnectionClosed as closed:
            if closed.sent is not None and not closed.rcvd_then_sent:
                # The library itself closes a link on an invalid or too large websocket
                # frame, with a close code that names the reason.
                self.record_bad_frame(socket, closed)
        except PeerError as error:
            self.record_bad_frame(socket, error)
            await socket.close(CloseCode.PROTOCOL_ERROR)

    def record_bad_frame(self, socket: Connection, error: Exception) -> None:
        if (
            isinstance(error, ConnectionClosed)
            and error.sent
            and error.sent.code
            in (
                CloseCode.NORMAL_CLOSURE,
                CloseCode.GOING_AWAY,
            )
        ):
            return
        self.bad_frames += 1
        remote = socket.remote_address
        log_event("peer_bad_frame", level="WARNING", peer=remote, error=error)

    def is_partitioned(self, link_id: int, frame: Frame | None = None) -> bool:
        """Return whether the fault hook drops this link's frames."""
        if not self.partitioned_zones:
            return False
        assert self.machine is not None, "links begin after the start"
        hello = frame.hello if frame else None
        link = self.machine.links.get(link_id)
        zone = hello.place.zone if hello else link.zone if link else ""
        return zone in self.partitioned_zones

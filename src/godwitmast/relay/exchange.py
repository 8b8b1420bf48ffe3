"""Carries measurements over the relay's links, and between the relays of zones.

Load pattern: up to 60 followers of a relay, some of which read slowly or not at all.
Reports wait in a short queue for each link and are dropped when it is full: the next
ones say the same, and nobody waits for a slow link.

A relay dials the relays of the other zones, whose addresses it reads with its own row.
One link between two zones carries the reports of both.
"""

from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from prometheus_client import CollectorRegistry, Counter, Gauge
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, WebSocketException

from godwitmast.background import BackgroundTasks
from godwitmast.check_times import until_check_s
from godwitmast.clock import Clock
from godwitmast.errors import PeerError
from godwitmast.logs import log_event
from godwitmast.measurements.codec import (
    decode_vm_report,
    decode_zone_report,
    encode_report,
)
from godwitmast.measurements.collector import Collector
from godwitmast.measurements.merge import ZoneMerge
from godwitmast.measurements.messages import ZoneReport
from godwitmast.measurements.picture import FleetPicture
from godwitmast.relay.codec import encode_frame
from godwitmast.relay.links import OPTIONS, RelayLink, read_frames
from godwitmast.relay.machine import DIAL_TIMEOUT_S, RelayMachine, RelayRow
from godwitmast.relay.messages import Frame, ZoneMeasured
from godwitmast.supervision import record_task_failure

ZONE_PATH = "/zones"
"""Path of the links between relays, which carry nothing but reports."""

TICK_S = 0.02
"""Urgent events of one tick are handled together: servers that fail at once go into one
report, instead of a second one a tenth of a second later."""

IDLE_TICK_S = 0.25
"""Longest time between checks of the configuration, the role and the links."""

MIN_WAIT_S = 0.001
"""Shortest wait for a report, as a timer may end a little before its time."""

QUEUED_REPORTS = 16
"""Reports that wait for a link: two seconds of seven zones."""

REDIAL_S = 2.0
"""Time between two dials to the relay of another zone."""

SECOND_DIAL_S = 0.5

EXPIRE_S = 1.0


def is_zone_link(socket: ServerConnection) -> bool:
    """Return whether the relay of another zone opened this link."""
    return socket.request is not None and socket.request.path == ZONE_PATH


def is_zone_socket(socket: Connection) -> bool:
    """Return whether a link is one between relays, whichever of them opened it."""
    return not isinstance(socket, ServerConnection) or is_zone_link(socket)


class LinkedRelay(Protocol):
    """This VM's role in its zone, and its link to the relay."""

    machine: RelayMachine
    link: RelayLink
    relay_measures: bool


Queue = MemoryObjectSendStream[bytes]


class MeasurementLinks:
    """The measurements of one VM, and while it is the relay those of its zone.

    `is_wanted` tells whether the configuration has VMs share measurements.
    """

    def __init__(
        self,
        relay: LinkedRelay,
        clock: Clock,
        node: str,
        zone: str,
        is_wanted: Callable[[], bool],
        vms: Callable[[], int],
        registry: CollectorRegistry | None = None,
    ) -> None:
        self.relay = relay
        self.clock = clock
        self.node = node
        self.zone = zone
        self.is_wanted = is_wanted
        self.start_number = int(clock.wall() * 1000)
        self.collector = Collector(node, self.start_number)
        self.picture = FleetPicture(vms, lambda: self.collector.last_report)
        self.merge: ZoneMerge | None = None
        self.names: dict[Connection, str] = {}
        """The VM, or the zone, for which the other end of a link speaks."""
        self.queues: dict[Connection, Queue] = {}
        self.zone_links: dict[str, anyio.CancelScope] = {}
        self.dialled_at: dict[str, float] = {}
        self.expired_at = 0.0
        self.woken = anyio.Event()
        self.background = BackgroundTasks(self.run)
        relay.link.on_zone_report = self.receive_zone_report
        self.add_metrics(registry)

    def add_metrics(self, registry: CollectorRegistry | None) -> None:
        self.sent_reports = Counter(
            "godwit_measurement_reports_sent",
            "Reports of measurements sent over links.",
            ["kind"],
            registry=registry,
        )
        self.sent_bytes = Counter(
            "godwit_measurement_bytes_sent",
            "Bytes of the reports of measurements sent over links.",
            registry=registry,
        )
        self.lost_reports = Counter(
            "godwit_measurement_reports_dropped",
            "Reports not sent over a slow link, or received malformed, late or twice.",
            ["reason"],
            registry=registry,
        )
        known = Gauge(
            "godwit_measurement_vms",
            "VMs whose measurements this VM has from the zones' relays.",
            registry=registry,
        )
        known.set_function(
            lambda: len(self.picture.members(self.clock.now())) if self.is_active else 0
        )

    @property
    def is_active(self) -> bool:
        return self.is_wanted()

    async def start(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        await self.background.start(tasks)

    async def close(self) -> None:
        for scope in self.zone_links.values():
            scope.cancel()
        await self.background.close()

    async def run(self) -> None:
        """Send each report when it is due, and keep the links to other zones."""
        while True:
            # Before the exchange, so that a wake-up during it is not lost.
            self.woken = anyio.Event()
            active = self.is_active
            self.relay.machine.reads_zones = active
            if active:
                await self.exchange(self.clock.now())
            elif self.zone_links or self.merge is not None:
                self.stop_serving()
            if active:
                await self.wait_until_due()
            else:
                await anyio.sleep(until_check_s(self.clock.now(), IDLE_TICK_S))

    def wake(self) -> None:
        """Have reports that are urgent, or a change of role, handled at the next tick."""
        self.woken.set()

    async def wait_until_due(self) -> None:
        """Wait until something is due, or for the first tick after a call of `wake`."""
        now = self.clock.now()
        with anyio.move_on_after(self.next_at(now) - now):
            await self.woken.wait()
            await anyio.sleep(TICK_S - self.clock.now() % TICK_S)

    def next_at(self, now: float) -> float:
        """Return when a report is due or a check is to be made next."""
        due = [
            now + until_check_s(now, IDLE_TICK_S),
            self.expired_at + EXPIRE_S,
        ]
        if self.merge is not None:
            due += [self.collector.due_at(), self.merge.due_at()]
        elif self.relay.machine.relay_available and self.relay.relay_measures:
            due.append(self.collector.due_at())
        return max(now + MIN_WAIT_S, min(due))

    async def exchange(self, now: float) -> None:
        if now >= self.expired_at + EXPIRE_S:
            self.expired_at = now
            self.picture.expire(now)
        if self.relay.machine.serving:
            self.serve(now)
            return
        if self.merge is not None:
            self.stop_serving()
        if self.relay.machine.relay_available and self.relay.relay_measures:
            report = self.collector.due_report(now)
            if report is not None:
                data = encode_report(report)
                self.count_sent("vm", data)
                await self.relay.link.send_report(data)

    # A relay's side.

    def serve(self, now: float) -> None:
        """Merge what is due, and send it to followers and other zones."""
        if self.merge is None:
            self.start_number = max(
                self.start_number + 1, int(self.clock.wall() * 1000)
            )
            holder = self.relay.machine.own_row.holder
            self.merge = ZoneMerge(self.zone, holder, self.start_number)
            log_event("measurements_merged_here", zone=self.zone)
        own = self.collector.due_report(now)
        if own is not None:
            self.merge.apply(own, now)
        report = self.merge.due_report(now)
        if report is not None:
            self.picture.apply(report, now)
            self.pass_on(report)
        self.dial_zones(now)

    def stop_serving(self) -> None:
        """Drop what only a relay has, as another VM is the relay now."""
        self.merge = None
        self.names.clear()
        self.dialled_at.clear()
        for socket in self.queues:
            if is_zone_socket(socket):
                self.tasks.start_soon(socket.close)
        for scope in self.zone_links.values():
            scope.cancel()

    def pass_on(
        self, report: ZoneReport, is_own: bool = True, source: object = None
    ) -> None:
        """Queue a report for all followers, and an own one for the other zones.

        It is encoded once for all links.
        """
        data = encode_frame(ZoneMeasured(encode_report(report)))
        for socket, queue in self.queues.items():
            is_zone = is_zone_socket(socket)
            if socket is source or (is_zone and not is_own):
                continue
            try:
                queue.send_nowait(data)
            except anyio.WouldBlock:
                self.lost_reports.labels("slow link").inc()

    def apply_vm_report(self, socket: ServerConnection, data: bytes) -> None:
        """Merge a follower's report; a link speaks for one VM."""
        if self.merge is None:
            return
        try:
            report = decode_vm_report(data)
        except PeerError as error:
            self.reject(error, socket)
            return
        if self.names.setdefault(socket, report.vm) != report.vm:
            self.reject(PeerError(f"another VM's name: {report.vm!r:.100}"), socket)
        elif not self.merge.apply(report, self.clock.now()):
            self.lost_reports.labels("old").inc()
        elif self.merge.urgent:
            self.wake()

    def reject(self, error: PeerError, socket: Connection | None) -> None:
        peer = socket.remote_address if socket is not None else None
        self.lost_reports.labels("malformed").inc()
        log_event("measurement_rejected", level="WARNING", peer=peer, error=error)

    async def send_reports(self, socket: Connection) -> None:
        """Send a link what is known now, and then each report."""
        send, receive = anyio.create_memory_object_stream[bytes](QUEUED_REPORTS)
        self.queues[socket] = send
        try:
            await self.write_reports(socket, receive)
        except ConnectionClosed:
            return
        finally:
            self.queues.pop(socket, None)
            self.names.pop(socket, None)
            send.close()
            receive.close()

    async def write_reports(
        self, socket: Connection, queued: MemoryObjectReceiveStream[bytes]
    ) -> None:
        now = self.clock.now()
        reports = [self.merge.full_report(now)] if self.merge is not None else []
        if reports and not is_zone_socket(socket):
            known = self.picture.reports(now)
            reports += [item for item in known if item.zone != self.zone]
        for report in reports:
            frame = encode_frame(ZoneMeasured(encode_report(report)))
            await self.write(socket, frame)
        async for frame in queued:
            await self.write(socket, frame)

    async def write(self, socket: Connection, frame: bytes) -> None:
        self.count_sent("zone", frame)
        await socket.send(frame)

    def count_sent(self, kind: str, data: bytes) -> None:
        self.sent_reports.labels(kind).inc()
        self.sent_bytes.inc(len(data))

    # Reports of zones.

    def receive_zone_report(self, data: bytes) -> None:
        """Apply a report that the relay sent to this follower."""
        self.apply_zone_report(data, None)

    def apply_zone_report(self, data: bytes, socket: Connection | None) -> None:
        try:
            report = decode_zone_report(data)
        except PeerError as error:
            self.reject(error, socket)
            return
        if socket is not None and not self.may_speak_for(socket, report.zone):
            self.reject(PeerError(f"report on zone {report.zone!r:.100}"), socket)
        elif not self.picture.apply(report, self.clock.now()):
            self.lost_reports.labels("old").inc()
        elif socket is not None:
            self.pass_on(report, False, socket)

    def may_speak_for(self, socket: Connection, zone: str) -> bool:
        """Return whether a relay's link may report on a zone: on one other zone only."""
        return zone != self.zone and self.names.setdefault(socket, zone) == zone

    # Links between relays.

    def dial_zones(self, now: float) -> None:
        """Open a link to each other zone of which nothing was heard lately.

        The relay whose zone sorts first dials at once, so that not both do.
        """
        for zone, row in self.relay.machine.zones.items():
            known = self.picture.zones.get(zone)
            is_heard = known is not None and now < known.heard_at + REDIAL_S
            wait_s = 0.0 if self.zone < zone else SECOND_DIAL_S
            last = self.dialled_at.setdefault(zone, now - REDIAL_S + wait_s)
            if is_heard or now < last + REDIAL_S or zone in self.zone_links:
                continue
            self.dialled_at[zone] = now
            self.zone_links[zone] = anyio.CancelScope()
            self.tasks.start_soon(self.run_zone_link, zone, row)

    async def run_zone_link(self, zone: str, row: RelayRow) -> None:
        """Exchange reports with the relay of another zone until the link closes."""
        reason = ""
        with self.zone_links[zone]:
            try:
                async with connect(
                    f"ws://{row.address}{ZONE_PATH}",
                    proxy=None,
                    open_timeout=DIAL_TIMEOUT_S,
                    **OPTIONS,
                ) as socket:
                    log_event("zone_linked", zone=zone, relay=row.address)
                    await self.run_link(socket)
                    reason = f"closed with {socket.close_code}"
            except (OSError, TimeoutError, WebSocketException, EOFError) as error:
                reason = repr(error)
            except Exception as error:
                record_task_failure("MeasurementLinks.run_zone_link", error, zone=zone)
                reason = "failed"
        del self.zone_links[zone]
        log_event("zone_link_lost", zone=zone, relay=row.address, reason=reason)

    async def serve_zone(self, socket: ServerConnection) -> None:
        """Exchange reports with a relay that opened the link."""
        if not self.is_active:
            await socket.close()
            return
        await self.run_link(socket)

    async def run_link(self, socket: Connection) -> None:
        async def apply_frame(frame: Frame) -> None:
            if isinstance(frame, ZoneMeasured):
                self.apply_zone_report(frame.report, socket)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.send_reports, socket)
            await read_frames(socket, apply_frame)
            tasks.cancel_scope.cancel()

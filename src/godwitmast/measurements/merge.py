"""The relay's merge of its zone's VM reports into zone reports.

Load pattern: up to 60 VMs of a zone report every second, and at once when servers begin
to fail. A zone report says what changed, bounded in size and rate, so that links of
5 Mbit/s carry it to every VM; news of failing servers goes first.

VMs that were not heard from for 3 s no longer count. A report of an earlier start of a
VM, or an earlier one of the same start, is dropped.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitmast.measurements.messages import (
    MAX_AGE_S,
    MAX_POOLS,
    Digest,
    Outcomes,
    PoolRoom,
    ServerReport,
    ServerSummary,
    VmReport,
    ZoneReport,
)
from godwitmast.measurements.outcomes import add_age as age_outcomes
from godwitmast.measurements.outcomes import merge_vms
from godwitmast.measurements.packed import (
    pack_vm_speed,
    unpack_vm_speed,
    vm_speed_head,
)
from godwitmast.measurements.rooms import merge_rooms
from godwitmast.measurements.speeds import add_age as age_speed
from godwitmast.measurements.speeds import merge_speeds
from godwitmast.peers.rendezvous import short_hash

ZONE_REPORT_S = 0.5
URGENT_S = 0.1
MAX_CHANGED = 32
"""Servers in one zone report: about 3 KB, 6 KB a second and zone."""

SERVER_REPORT_S = 1.0
"""Time between two reports on one server without urgent news; VMs report as often."""

VM_SILENT_S = 3.0
"""A VM that misses two reports no longer counts."""

OUTCOMES_KEPT_S = 4.0
SPEED_KEPT_S = 30.0
"""How long one VM's outcomes and speed of a server count; the window of outcomes is as
long, and speeds lose their trust by then."""

MAX_SPEEDS = 3
"""Speeds of one server that are kept, of the VMs that reported last: their median
tolerates one that is wrong, and 850 servers take half a megabyte."""

MAX_MERGED_SERVERS = 1024
MAX_MERGED_VMS = 512


@dataclass(slots=True)
class Member:
    """The latest report of one VM, without its servers."""

    start: int
    number: int
    heard_at: float
    pools: tuple[PoolRoom, ...] = ()
    memory_left: float = 1.0


@dataclass(slots=True)
class MergedServer:
    """What the zone's VMs reported of one server, each with the time of which it is."""

    outcomes: dict[str, tuple[float, Outcomes]] = field(default_factory=dict)
    speeds: tuple[bytes, ...] = ()
    """As `pack_vm_speed` returns them, the oldest first."""
    heard_at: float = 0.0
    sent_at: float = -1.0
    sent_failing: int = 0
    is_changed: bool = False


class ZoneMerge:
    """The reports of a zone's VMs, as its relay merges them."""

    def __init__(self, zone: str, relay: str, start: int) -> None:
        self.zone = zone
        self.relay = relay
        self.start = start
        self.number = 0
        self.members: dict[str, Member] = {}
        self.servers: dict[Digest, MergedServer] = {}
        self.urgent: set[Digest] = set()
        self.failed_on: dict[Digest, dict[Digest, float]] = {}
        """Servers on which a request failed last on some VM, and when that was told."""
        self.last_at = -1.0
        self.dropped = 0
        """Reports that were late, doubled or of an earlier start."""

    def apply(self, report: VmReport, now: float) -> bool:
        """Apply a VM's report; return whether it was news."""
        known = self.members.get(report.vm)
        if known is not None:
            number = (report.start, report.number)
            if number <= (known.start, known.number):
                self.dropped += 1
                return False
            if report.start > known.start:
                self.forget(report.vm)
        elif len(self.members) >= MAX_MERGED_VMS:
            self.dropped += 1
            return False
        self.members[report.vm] = Member(
            report.start, report.number, now, report.pools, report.memory_left
        )
        for server in report.servers:
            self.apply_server(report.vm, server, now)
        return True

    def apply_server(self, vm: str, report: ServerReport, now: float) -> None:
        merged = self.servers.get(report.server)
        if merged is None:
            if len(self.servers) >= MAX_MERGED_SERVERS:
                return
            merged = self.servers[report.server] = MergedServer()
        at = now - report.age_s
        merged.heard_at, merged.is_changed = now, True
        if report.outcomes is not None:
            _, before = merged.outcomes.get(vm, (at, Outcomes()))
            self.track_request(report.server, report.outcomes, now)
            fails, failed = is_failing(report.outcomes), is_failing(before)
            if (fails and not failed) or (merged.sent_failing and not fails):
                self.urgent.add(report.server)
            merged.outcomes[vm] = (at, report.outcomes)
        if report.speed is not None:
            packed = pack_vm_speed(short_hash(vm), at, report.speed)
            merged.speeds = (*speeds_of_others(merged, vm), packed)[-MAX_SPEEDS:]

    def track_request(self, server: Digest, outcomes: Outcomes, now: float) -> None:
        """Record on which server a VM's latest failed request failed."""
        if outcomes.failed_request and is_failing(outcomes):
            self.failed_on.setdefault(outcomes.failed_request, {})[server] = now

    def is_cause(self, request: Digest) -> bool:
        """Return whether a request failed on several servers, of this zone's VMs."""
        return len(self.failed_on.get(request, ())) > 1

    def forget(self, vm: str) -> None:
        """Drop what a VM reported, as it started again or is gone."""
        self.members.pop(vm, None)
        for merged in self.servers.values():
            merged.outcomes.pop(vm, None)
            merged.speeds = speeds_of_others(merged, vm)

    def expire(self, now: float) -> None:
        """Drop VMs that were not heard from, and servers of which nothing is known."""
        for vm, member in list(self.members.items()):
            if now > member.heard_at + VM_SILENT_S:
                self.forget(vm)
        for request, servers in list(self.failed_on.items()):
            if max(servers.values()) < now - OUTCOMES_KEPT_S:
                del self.failed_on[request]
        for server, merged in list(self.servers.items()):
            # A dictionary that shrinks keeps its memory.
            limit = now - OUTCOMES_KEPT_S
            merged.outcomes = {k: v for k, v in merged.outcomes.items() if v[0] > limit}
            limit = now - SPEED_KEPT_S
            merged.speeds = tuple(
                item for item in merged.speeds if vm_speed_head(item)[1] > limit
            )
            if not merged.outcomes and not merged.speeds:
                del self.servers[server]
                self.urgent.discard(server)

    def summarize(self, server: Digest, now: float) -> ServerSummary:
        """Return what the zone's VMs measured of a server."""
        merged = self.servers[server]
        limit = now - OUTCOMES_KEPT_S
        summary = merge_vms(
            server,
            [
                age_outcomes(self.without_cause(item), now - at)
                for at, item in merged.outcomes.values()
                if at >= limit
            ],
        )
        speed = merge_speeds(
            [
                age_speed(item, now - at)
                for _, at, item in map(unpack_vm_speed, merged.speeds)
            ]
        )
        return summary._replace(speed=speed, age_s=max(0.0, now - merged.heard_at))

    def without_cause(self, outcomes: Outcomes) -> Outcomes:
        """Return outcomes without the latest failure if its request is the cause."""
        if not outcomes.failed_request or not self.is_cause(outcomes.failed_request):
            return outcomes
        return outcomes._replace(failure_age_s=MAX_AGE_S, failed_request=0)

    def due_report(self, now: float) -> ZoneReport | None:
        """Return the next report to followers and other zones, if one is due."""
        if now < self.due_at():
            return None
        self.last_at = now
        self.expire(now)
        changed = [
            name
            for name, item in self.servers.items()
            if item.is_changed and self.may_send(name, item, now)
        ]
        changed.sort(
            key=lambda name: (name not in self.urgent, self.servers[name].sent_at)
        )
        return self.make_report(changed[:MAX_CHANGED], now)

    def due_at(self) -> float:
        """Return when the next report is due."""
        return self.last_at + (URGENT_S if self.urgent else ZONE_REPORT_S)

    def may_send(self, server: Digest, merged: MergedServer, now: float) -> bool:
        """Return whether a server's news may be sent: at once if it is urgent."""
        return server in self.urgent or now >= merged.sent_at + SERVER_REPORT_S

    def make_report(self, servers: Iterable[Digest], now: float) -> ZoneReport:
        summaries = []
        for server in servers:
            summary = self.summarize(server, now)
            summaries.append(summary)
            merged = self.servers[server]
            merged.sent_at, merged.is_changed = now, False
            merged.sent_failing = summary.vms_failing
            self.urgent.discard(server)
        self.number += 1
        return self.report_of(summaries)

    def full_report(self, now: float) -> ZoneReport:
        """Return all that is known, for a VM that has just connected."""
        return self.report_of([self.summarize(server, now) for server in self.servers])

    def report_of(self, summaries: list[ServerSummary]) -> ZoneReport:
        return ZoneReport(
            self.zone,
            self.relay,
            self.start,
            self.number,
            0.0,
            len(self.members),
            tuple(summaries),
            self.pools(),
            tuple(sorted(short_hash(vm) for vm in self.members)),
        )

    def pools(self) -> tuple[PoolRoom, ...]:
        """Return the sums of the VMs' requests by pool."""
        rooms: dict[int, list[PoolRoom]] = {}
        for member in self.members.values():
            for room in member.pools:
                rooms.setdefault(room.pool, []).append(room)
        merged = (merge_rooms(pool, items) for pool, items in sorted(rooms.items()))
        return tuple(merged)[:MAX_POOLS]


def is_failing(outcomes: Outcomes) -> bool:
    """Return whether a VM's latest request failed."""
    return outcomes.failure_age_s < outcomes.success_age_s


def speeds_of_others(merged: MergedServer, vm: str) -> tuple[bytes, ...]:
    """Return the speeds that other VMs reported of a server."""
    digest = short_hash(vm)
    return tuple(item for item in merged.speeds if vm_speed_head(item)[0] != digest)

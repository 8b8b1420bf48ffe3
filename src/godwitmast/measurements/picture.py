"""What a VM knows of all zones, from the reports of their relays.

Load pattern: reports are late, lost, doubled or reordered, a relay is replaced, a zone is
cut off. Of each zone the reports of one relay count, in order; what is known of a zone
that is silent ages out.
"""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.measurements.messages import (
    MAX_AGE_S,
    Digest,
    FleetOutcomes,
    FleetRoom,
    FleetSpeed,
    PoolRoom,
    ServerSummary,
    VmReport,
    ZoneReport,
    server_digest,
)
from godwitmast.measurements.outcomes import add_age as age_outcomes
from godwitmast.measurements.outcomes import merge_zones
from godwitmast.measurements.packed import pack_summary, summary_time, unpack_summary
from godwitmast.measurements.rooms import merge_rooms, without
from godwitmast.measurements.speeds import add_age as age_speed
from godwitmast.measurements.speeds import merge_speeds
from godwitmast.peers.rendezvous import short_hash
from godwitmast.types import BackendId, PoolName

HALF_TRUST_S = 4.0
NO_TRUST_S = 30.0
"""Trust halves with each `HALF_TRUST_S` of age, and is none after `NO_TRUST_S`."""

OUTCOMES_KEPT_S = 4.0
"""Outcomes of a server count for as long as the window of which they are."""

RELAY_SILENT_S = 1.5
"""Another relay of a zone counts once the present one missed three reports."""

MAX_ZONES = 16
"""Twice as many as there are; more would be names that somebody made up."""

EARLIER_RELAYS = 8
"""Relays of a zone whose numbers are remembered, for reports that arrive late."""

MAX_WEIGHT_OF_ZONE = 1_000_000.0


@dataclass(slots=True)
class ZonePicture:
    """What is known of one zone, with the times at which it was received."""

    relay: str
    heard_at: float
    vms: int = 0
    members: tuple[Digest, ...] = ()
    pools: dict[Digest, PoolRoom] = field(default_factory=dict)
    servers: dict[Digest, bytes] = field(default_factory=dict)
    """As `pack_summary` returns them."""
    failing: set[Digest] = field(default_factory=set)
    """Servers on which the latest requests of some VM failed."""
    numbers: dict[str, tuple[int, int]] = field(default_factory=dict)


class MergedRoom(NamedTuple):
    """The other VMs' requests at a pool, and the rooms from which they were summed."""

    rooms: tuple[PoolRoom, ...]
    own: tuple[PoolRoom, ...]
    others: PoolRoom


class FleetPicture:
    """The `FleetView` of one VM.

    `vms` returns the number of VMs in all zones, 0 if it is unknown; `own_report` this
    VM's latest one, whose requests the sums of its zone contain.
    """

    def __init__(
        self,
        vms: Callable[[], int] = lambda: 0,
        own_report: Callable[[], VmReport | None] = lambda: None,
    ) -> None:
        self.vms = vms
        self.own_report = own_report
        self.zones: dict[str, ZonePicture] = {}
        self.dropped = 0
        """Reports that were late, doubled, or of a relay that was replaced."""
        self.known_members: Collection[int] = ()
        self.known_failing: Collection[int] = ()
        self.derived_at = -math.inf
        self.merged_rooms: dict[Digest, MergedRoom] = {}

    def apply(self, report: ZoneReport, now: float) -> bool:
        """Apply a zone's report; return whether it was news."""
        known = self.zones.get(report.zone)
        at = now - report.age_s
        if known is None and len(self.zones) >= MAX_ZONES:
            self.dropped += 1
            return False
        if known is None:
            known = self.zones[report.zone] = ZonePicture(report.relay, at)
        last = known.numbers.get(report.relay, (-1, -1))
        is_other = report.relay != known.relay
        is_heard = now < known.heard_at + RELAY_SILENT_S
        if (report.start, report.number) <= last or (is_other and is_heard):
            self.dropped += 1
            return False
        if is_other or (last[0] >= 0 and report.start != last[0]):
            self.replace_relay(known, report.relay)
        known.numbers.pop(report.relay, None)
        known.numbers[report.relay] = (report.start, report.number)
        if len(known.numbers) > EARLIER_RELAYS:
            del known.numbers[next(iter(known.numbers))]
        known.heard_at = max(known.heard_at, at)
        known.vms, known.members = report.vms, report.members
        known.pools = {room.pool: room for room in report.pools}
        for summary in report.servers:
            server = summary.server
            known.servers[server] = pack_summary(at - summary.age_s, summary)
            (known.failing.add if summary.vms_failing else known.failing.discard)(
                server
            )
        self.derived_at = -math.inf
        return True

    def replace_relay(self, zone: ZonePicture, relay: str) -> None:
        """Go by another relay, which counts the failures of the same VMs itself."""
        zone.relay = relay
        zone.failing.clear()
        for name, (at, summary) in unpacked(zone):
            speed_only = ServerSummary(name, speed=summary.speed)
            zone.servers[name] = pack_summary(at, speed_only)

    def expire(self, now: float) -> None:
        """Drop what is no longer trusted."""
        for name, zone in list(self.zones.items()):
            limit = now - NO_TRUST_S
            for server, item in list(zone.servers.items()):
                if summary_time(item) < limit:
                    del zone.servers[server]
                    zone.failing.discard(server)
            if zone.heard_at < limit:
                del self.zones[name]

    def reports(self, now: float) -> list[ZoneReport]:
        """Return all that is known, for a VM that has just connected."""
        return [
            ZoneReport(
                name,
                zone.relay,
                *zone.numbers[zone.relay],
                now - zone.heard_at,
                zone.vms,
                tuple(
                    summary._replace(age_s=max(0.0, zone.heard_at - at))
                    for _, (at, summary) in unpacked(zone)
                ),
                tuple(zone.pools.values()),
                zone.members,
            )
            for name, zone in self.zones.items()
            if now < zone.heard_at + NO_TRUST_S
        ]

    def derive(self, now: float) -> None:
        """Derive the VMs and the failing servers, after each report and now and then."""
        if now <= self.derived_at + RELAY_SILENT_S:
            return
        self.derived_at = now
        zones = [
            zone
            for zone in self.zones.values()
            if now < zone.heard_at + OUTCOMES_KEPT_S
        ]
        members = {member for zone in zones for member in zone.members}
        if members != self.known_members:
            self.known_members = members
        self.known_failing = {server for zone in zones for server in zone.failing}

    def members(self, now: float) -> Collection[int]:
        """Return the hashes of the names of all VMs that were heard of lately; the same
        object while they stay the same."""
        self.derive(now)
        return self.known_members

    def failing(self, now: float) -> Collection[int]:
        """Return the servers on which requests failed lately."""
        self.derive(now)
        return self.known_failing

    # FleetView

    def speed_of(
        self, backend_id: BackendId, incarnation: int, now: float
    ) -> FleetSpeed | None:
        found = self.summaries(server_digest(backend_id, incarnation), now, NO_TRUST_S)
        samples = [
            (age_s, age_speed(summary.speed, age_s))
            for age_s, summary in found
            if summary.speed is not None
        ]
        merged = merge_speeds([sample for _, sample in samples], MAX_WEIGHT_OF_ZONE)
        if merged is None:
            return None
        age_s = min(age_s for age_s, _ in samples)
        return FleetSpeed(merged, age_s, trust_at(age_s))

    def outcomes_of(
        self, backend_id: BackendId, incarnation: int, now: float
    ) -> FleetOutcomes | None:
        server = server_digest(backend_id, incarnation)
        found = self.summaries(server, now, OUTCOMES_KEPT_S)
        return merge_zones(
            [
                summary._replace(
                    age_s=age_s, outcomes=age_outcomes(summary.outcomes, age_s)
                )
                for age_s, summary in found
            ]
        )

    def room_of(self, pool: PoolName, now: float) -> FleetRoom | None:
        digest = short_hash(pool)
        zones = [
            zone
            for zone in self.zones.values()
            if now < zone.heard_at + NO_TRUST_S and digest in zone.pools
        ]
        if not zones:
            return None
        own = self.own_report()
        own_pools = own.pools if own is not None else ()
        room = self.others_room(
            digest,
            tuple(zone.pools[digest] for zone in zones),
            tuple(item for item in own_pools if item.pool == digest),
        )
        known = sum(zone.vms for zone in zones)
        age_s = max(now - zone.heard_at for zone in zones)
        share = min(1.0, known / max(1, self.vms(), known))
        return FleetRoom(room, max(0, known - (own is not None)), age_s, share)

    def others_room(
        self, pool: Digest, rooms: tuple[PoolRoom, ...], own: tuple[PoolRoom, ...]
    ) -> PoolRoom:
        """Return the sums of the zones' requests without this VM's, which change only
        with a report; decisions ask for them several times a second."""
        last = self.merged_rooms.get(pool)
        if last is not None and (last.rooms, last.own) == (rooms, own):
            return last.others
        others = merge_rooms(pool, rooms)
        for item in own:
            others = without(others, item)
        self.merged_rooms[pool] = MergedRoom(rooms, own, others)
        return others

    def summaries(
        self, server: Digest, now: float, kept_s: float
    ) -> list[tuple[float, ServerSummary]]:
        """Return what each zone reported of a server lately, with its age."""
        known = (zone.servers.get(server) for zone in self.zones.values())
        found = [
            unpack_summary(server, item)
            for item in known
            if item is not None and now < summary_time(item) + kept_s
        ]
        return [(max(0.0, now - at), summary) for at, summary in found]


def unpacked(zone: ZonePicture) -> list[tuple[Digest, tuple[float, ServerSummary]]]:
    """Return the servers of a zone with the times at which they were measured."""
    return [(name, unpack_summary(name, item)) for name, item in zone.servers.items()]


def trust_at(age_s: float) -> float:
    """Return the trust in measurements of this age, from 1 to 0."""
    if age_s >= min(NO_TRUST_S, MAX_AGE_S):
        return 0.0
    return float(0.5 ** (age_s / HALF_TRUST_S))

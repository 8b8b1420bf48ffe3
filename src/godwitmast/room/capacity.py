"""The slots of a pool, what all VMs together take of them, and how sure that is.

Load pattern: demand above capacity, while each VM sees a sixtieth of it. By its own
counts a VM cannot tell a full fleet from an empty one. By the others' counts alone, all
VMs would send to the same free slots until the next reports. So a VM takes the part of
the slots that its requests are of all VMs' requests: the parts of all VMs sum to the
slots, however old the counts are on which they agree.

What a VM is not told it takes to be as bad as an equal division among all VMs: cut off,
it uses its own part of the slots and no more.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from godwitmast.measurements.messages import FleetRoom, TierRoom

HALF_TRUST_S = 4.0
"""Others' counts of this age count half: requests end within a few seconds."""

MAX_AGE_S = 30.0
"""Others' counts of this age count nothing."""

MIN_TRUST = 0.05
"""Requests of unknown VMs are taken to be at most twenty times those of the known ones,
so that a single one that is known does not decide for a whole fleet."""

REPORT_FRESH_S = 1.0
"""A server that queues requests is taken to be full for this long; its batch changes
with the end of each of its requests."""

IDLE_SHARE = 0.1
"""While this share of the slots is idle, servers' queues are uneven rather than the
fleet full: holding requests back would leave slots idle."""

QUEUED_EACH = 1.0
"""Requests that may wait in the queue of each full server, so that none is idle from the
end of a request until the VM that hears of it sends the next."""

HEARD_SHARE = 0.5
"""Servers with this share of the slots tell how full the whole pool is."""

QUEUED_SHARE = 0.25
"""A server queues requests when those waiting exceed this share of those running. Fewer
have only arrived between two of its steps."""


class ServerSlots(NamedTuple):
    """Slots of one server, and its statement of them, if there is one."""

    slots: float
    running: int = 0
    waiting: int = 0
    age_s: float = math.inf

    @property
    def usable(self) -> float:
        """Return the slots that it can fill now.

        A server that queues requests beside free slots has no memory left for them.
        """
        is_full = self.waiting > max(1.0, QUEUED_SHARE * self.running)
        if is_full and self.age_s <= REPORT_FRESH_S:
            return min(self.slots, max(1.0, float(self.running)))
        return self.slots


class PoolSlots(NamedTuple):
    """Slots of a pool's servers in rotation: as stated, and those usable now.

    `heard` are the slots of the servers that lately stated their load, and `running` the
    requests that those run.
    """

    stated: float = 0.0
    usable: float = 0.0
    heard: float = 0.0
    running: int = 0

    def with_queued(
        self, requests: float, in_slots: float, waiting: float
    ) -> "PoolSlots":
        """Return the slots with those added that requests in queues do not take.

        Of the `requests` at the servers, `in_slots` hold slots; others are `waiting` at
        VMs. While a good part of the slots is idle, those in the queue of one server
        take no slot of another, and what waits may start. Once hardly any is idle,
        nothing is added, so that the queues empty.
        """
        idle = max(0.0, self.stated - in_slots)
        part = min(1.0, idle / max(1.0, IDLE_SHARE * self.stated))
        queued = max(0.0, requests - in_slots)
        return self._replace(usable=self.usable + part * (queued + waiting))

    def free_share(self, known_running: float) -> float:
        """Return the share of the slots that is free.

        The servers' own word goes before the VMs' once most servers gave theirs: no VM's
        report can then make the pool look full. `known_running` is by the VMs.
        """
        if not self.stated:
            return 0.0
        if self.heard >= HEARD_SHARE * self.stated:
            return max(0.0, 1 - self.running / self.heard)
        return max(0.0, 1 - known_running / self.stated)


class Use(NamedTuple):
    """Requests of a tier or of a team: all VMs' together, and this VM's own."""

    running: float = 0.0
    waiting: float = 0.0
    own_running: int = 0
    own_waiting: int = 0

    @property
    def total(self) -> float:
        return self.running + self.waiting

    @property
    def own_part(self) -> float:
        """Return this VM's part of the requests."""
        return (self.own_running + self.own_waiting) / self.total if self.total else 1.0


class FleetUse(NamedTuple):
    """Requests of all VMs at a pool by tier; `certainty` is 1 if all is known and new."""

    tiers: dict[int, Use]
    vms: int = 1
    certainty: float = 1.0

    @property
    def running(self) -> float:
        return sum(use.running for use in self.tiers.values())

    @property
    def waiting(self) -> float:
        return sum(use.waiting for use in self.tiers.values())

    def waiting_up_to(self, tier: int) -> float:
        """Return the waiting requests that are at least as urgent as a tier's."""
        return sum(use.waiting for k, use in self.tiers.items() if k <= tier)


def sum_slots(servers: Iterable[ServerSlots]) -> PoolSlots:
    """Return the slots of several servers."""
    items = list(servers)
    heard = [item for item in items if item.age_s <= REPORT_FRESH_S]
    return PoolSlots(
        sum(item.slots for item in items),
        sum(item.usable + QUEUED_EACH for item in items),
        sum(item.slots for item in heard),
        sum(item.running for item in heard),
    )


def fresh_left_s(servers: Iterable[ServerSlots]) -> float:
    """Return for how long the sum of several servers' slots does not change by age."""
    ages = [item.age_s for item in servers if item.age_s <= REPORT_FRESH_S]
    return REPORT_FRESH_S - max(ages, default=-math.inf)


def is_current(fleet: FleetRoom | None) -> bool:
    """Return whether others' counts still say anything."""
    return fleet is not None and fleet.age_s < MAX_AGE_S and fleet.trust > 0


def certainty_of(fleet: FleetRoom) -> float:
    """Return how much others' counts say, from 1 to 0."""
    age_s = max(0.0, fleet.age_s)
    return min(1.0, fleet.trust) * 0.5 ** (age_s / HALF_TRUST_S)


def certainty_of_use(fleet: FleetRoom | None, assumed_vms: int) -> float:
    """Return how much is known of all VMs' requests; a VM that is alone knows all."""
    if fleet is not None and is_current(fleet):
        return certainty_of(fleet)
    return float(assumed_vms <= 1)


def combine_use(
    own: Iterable[TierRoom], fleet: FleetRoom | None, assumed_vms: int
) -> FleetUse:
    """Return the requests of all VMs, this VM's own among them.

    VMs of which nothing is known are taken to have as many requests as the others.
    `assumed_vms` is the number of VMs by another source.
    """
    tiers: dict[int, Use] = {}
    vms = max(1, assumed_vms)
    if fleet is not None and is_current(fleet):
        factor = scale_of(fleet)
        vms = max(fleet.vms + 1, assumed_vms)
        for item in fleet.room.tiers:
            tiers[item.tier] = Use(item.running * factor, item.waiting * factor)
    for item in own:
        others = tiers.get(item.tier, Use())
        tiers[item.tier] = add_own(others, item.running, item.waiting)
    return FleetUse(tiers, vms, certainty_of_use(fleet, assumed_vms))


def scale_of(fleet: FleetRoom) -> float:
    """Return the factor from the known VMs' requests to all other VMs'."""
    return 1 / min(1.0, max(MIN_TRUST, fleet.trust))


def add_own(others: Use, running: int, waiting: int) -> Use:
    """Return the requests of all VMs, from those of the others and this VM's own."""
    total = Use(others.running + running, others.waiting + waiting)
    return total._replace(own_running=running, own_waiting=waiting)


def free_for_tier(
    slots: float, use: FleetUse, tier: int, reserved: float, least: float
) -> float:
    """Return the slots that requests of a tier of all VMs may hold together.

    More urgent requests come first, those that wait as well as those that run. Less
    urgent ones keep the slots that they hold. `least` is what the tier may hold in any
    case, so that it never starves.
    """
    urgent = sum(item.total for k, item in use.tiers.items() if k < tier)
    held = sum(item.running for k, item in use.tiers.items() if k > tier)
    return max(least, slots - urgent - reserved - held)


def own_allowance(free: float, use: Use, fleet: FleetUse) -> float:
    """Return how many requests of a tier or a team this VM may run.

    `free` is what those of all VMs may hold, and the VM gets the part of it that its
    requests are of all; where all fit, that is at least what it has. As far as others'
    counts are uncertain, it takes an equal division among all VMs instead.
    """
    known = free * use.own_part
    return fleet.certainty * known + (1 - fleet.certainty) * free / fleet.vms

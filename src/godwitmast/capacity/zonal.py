"""Planner of the number of servers of each kind per availability zone, without I/O.

It is for platforms that accept a desired number per zone and kind, choose themselves
which server to remove, and start one in seconds. (`planner` is for platforms that rent
out single servers and take minutes.)

Load: bursts that last about as long as a server takes to start, while zones of cheap
servers are reclaimed at two seconds' notice. Servers ordered at the beginning of a
burst are ready at its end, so that headroom has to run beforehand; and only cheap
servers make headroom affordable. Without a minimum of on-demand servers, the reclaim of
a zone would remove every server there, with the short streams that cannot be moved and
the prefills done for them.

A desired number has no effect when sent twice. So it needs no record before it is sent,
a lost answer is settled by the list of servers, and a new lease holder starts from that
list.
"""

import math
from collections import Counter, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.capacity.messages import OrderOutcome, ServerKind
from godwitmast.types import PoolName, ZoneName

OPEN_REQUESTS_PER_SERVER = 5.0
"""Open requests of all callers that one server is planned for. The prefill of one
prompt delays every stream on its engine, long before the batch is full."""

INITIAL_HEADROOM = 2.0
"""Ratio of the first plan to the fleet found at the start, which operators sized
without servers that may be reclaimed. It has to bear a crash and a reclaim in one
burst."""

ON_DEMAND_SHARE = 0.25
"""Share of on-demand servers. Each zone has at least one, so that a zone that is
partitioned or reclaimed still serves."""

OBSERVATION_S = 3.0
"""How long a new lease holder only reads the list. Servers that start, or that return
after an outage of the table, enter it over two heartbeats; a plan made from the first
two of five servers would remove the other three just as the first callers arrive."""

DEMAND_WINDOW_S = 30.0
"""How long the highest demand counts. Bursts follow each other at shorter intervals,
and a server that is removed loses its cached prompts."""

GROW_RATIO, SHRINK_RATIO = 1.35, 0.7
"""The plan changes only if the needed servers are above or below these multiples of it.
Open requests vary that much between two rounds, and each server that is removed and
ordered again is paid for while it starts, and has to prefill all shared prefixes
again."""

REFUSAL_BACKOFF_S = 3.0
"""How long a zone is not asked for cheap servers after it had none. Reclaimed zones
have none for some ten seconds; asking in each round would cost ten calls."""

FAILURE_BACKOFF_S = 2.0
"""How long a number is not sent again after an error or a missing answer. Each call is
paid for, and a platform API that fails stays down for seconds."""

LOST_ORDER_STARTS = 1.5
"""Number of start times after which an order counts as lost if the list does not show
it: one for the start, and half of one for the list to be updated."""

LIST_LAG_S = 2.0
"""Additional lag of the list of servers: a heartbeat, and its transmission."""


ServerCounts = Counter[tuple[ZoneName, ServerKind]]
"""Servers of a pool that are not leaving, by zone and kind."""


class ZonalLimits(NamedTuple):
    """Limits on the servers of a pool, from the operators' configuration.

    `min_per_zone` and `max_per_zone` count both kinds together; `start_s` is the time
    from an order to a serving server. `cheap_price` is the price of a cheap server
    relative to an on-demand one, and `zone_prices` are the relative prices of the
    zones.
    """

    min_per_zone: int
    max_per_zone: int
    start_s: float
    cheap_price: float
    zone_prices: dict[ZoneName, float]


class ListedServer(NamedTuple):
    """A server of the pool in the platform's list."""

    zone: ZoneName
    kind: ServerKind
    leaving: bool


class DesiredServers(NamedTuple):
    """The desired number of servers of a kind in a zone."""

    zone: ZoneName
    kind: ServerKind
    number: int


@dataclass(slots=True)
class SentCount:
    """The number that was sent last, and the time."""

    number: int
    at: float


@dataclass
class ZonalPlanner:
    """Planner for one pool; it computes a new plan each round from list and demand."""

    pool: PoolName
    limits: ZonalLimits
    planned_total: int = 0
    started_at: float | None = None
    recent_demand: deque[tuple[float, float]] = field(default_factory=deque)
    last_sent: dict[tuple[ZoneName, ServerKind], SentCount] = field(
        default_factory=dict
    )
    retry_at: dict[tuple[ZoneName, ServerKind], float] = field(default_factory=dict)
    zones: set[ZoneName] = field(default_factory=set)
    """Zones where servers of the pool were listed; it may not run in others."""

    def step(
        self,
        servers: Iterable[ListedServer],
        open_requests: float | None,
        now: float,
        evacuated_zones: Collection[ZoneName] = (),
    ) -> list[DesiredServers]:
        """Return the numbers to send now; `open_requests` may be unknown (None).

        Servers of evacuated zones get no requests, but are neither ordered nor removed:
        they are needed again as soon as their zone is back.
        """
        servers = list(servers)
        self.zones |= {s.zone for s in servers}
        # A version may have taken a zone out of the prices since.
        self.zones &= self.limits.zone_prices.keys()
        counts = Counter((s.zone, s.kind) for s in servers if not s.leaving)
        if not counts:
            # An empty list is more likely a fault of the list than an empty fleet.
            return []
        if self.started_at is None:
            self.started_at = now
        if now - self.started_at <= OBSERVATION_S:
            self.recent_demand.append((now, estimate_found_demand(counts)))
            return []
        if open_requests is not None:
            self.recent_demand.append((now, open_requests / OPEN_REQUESTS_PER_SERVER))
        while (
            self.recent_demand[0][0] < now - DEMAND_WINDOW_S
            and len(self.recent_demand) > 1
        ):
            self.recent_demand.popleft()
        self.update_total()
        is_new = now - self.started_at < DEMAND_WINDOW_S
        return [
            item
            for zone, (on_demand, cheap) in self.plan_zones(evacuated_zones).items()
            for item in self.plan_zone(zone, on_demand, cheap, counts, is_new)
            if self.is_due(item, counts, now)
        ]

    def update_total(self) -> None:
        """Follow the highest demand in the window, but only in large steps.

        The first plan is a step from zero. The fleet that a new holder finds counts as
        demand rather than as a plan, because it may be what a crash and a reclaim have
        left.
        """
        needed = self.clamp_to_limits(max(demand for _, demand in self.recent_demand))
        if (
            not SHRINK_RATIO * self.planned_total
            <= needed
            <= GROW_RATIO * self.planned_total
        ):
            self.planned_total = needed

    def clamp_to_limits(self, servers: float) -> int:
        """Round up to whole servers, within the limits of all zones."""
        zones = len(self.zones)
        wanted = math.ceil(servers)
        return min(
            max(wanted, self.limits.min_per_zone * zones),
            self.limits.max_per_zone * zones,
        )

    def plan_zones(
        self, evacuated_zones: Collection[ZoneName] = ()
    ) -> dict[ZoneName, tuple[int, int]]:
        """Return the number of on-demand and of cheap servers for each zone.

        Zones with lower prices get the remainders of the division.
        """
        prices = self.limits.zone_prices
        zones = sorted(
            self.zones - set(evacuated_zones), key=lambda zone: (prices[zone], zone)
        )
        on_demand = max(len(zones), round(ON_DEMAND_SHARE * self.planned_total))
        if self.limits.cheap_price >= 1:
            on_demand = self.planned_total
        plan = {}
        for index, zone in enumerate(zones):
            zone_total = max(1, even_share(self.planned_total, index, len(zones)))
            zone_on_demand = min(zone_total, even_share(on_demand, index, len(zones)))
            plan[zone] = (zone_on_demand, zone_total - zone_on_demand)
        return plan

    def plan_zone(
        self,
        zone: ZoneName,
        on_demand: int,
        cheap: int,
        counts: ServerCounts,
        is_new: bool,
    ) -> list[DesiredServers]:
        """Return the next numbers for one zone on the way to its plan.

        An on-demand server is removed only once the cheap ones that replace it are
        listed, so that a zone without cheap servers keeps those it has.
        """
        on_demand_now, cheap_now = counts[zone, "on_demand"], counts[zone, "cheap"]
        room = max(0, self.limits.max_per_zone - max(on_demand_now, on_demand))
        if is_new:
            # A new holder does not know which burst these servers were ordered for.
            cheap = max(cheap, cheap_now)
        cheap_target = min(cheap, room)
        if cheap_now < cheap_target:
            on_demand = max(on_demand, on_demand_now)
        return [
            DesiredServers(zone, "cheap", cheap_target),
            DesiredServers(zone, "on_demand", on_demand),
        ]

    def is_due(self, item: DesiredServers, counts: ServerCounts, now: float) -> bool:
        """Return whether a number has to be sent, or sent again."""
        if now < self.retry_at.get((item.zone, item.kind), 0.0):
            return False
        last = self.last_sent.get((item.zone, item.kind))
        if last is None or last.number != item.number:
            return counts[item.zone, item.kind] != item.number
        if counts[item.zone, item.kind] == item.number:
            return False
        return now - last.at > LOST_ORDER_STARTS * self.limits.start_s + LIST_LAG_S

    def record_outcome(
        self, item: DesiredServers, outcome: OrderOutcome, now: float
    ) -> None:
        """Record the outcome of sending a number."""
        key = (item.zone, item.kind)
        match outcome:
            case OrderOutcome.DONE:
                self.last_sent[key] = SentCount(item.number, now)
            case OrderOutcome.UNAVAILABLE:
                self.retry_at[key] = now + REFUSAL_BACKOFF_S
            case _:
                self.retry_at[key] = now + FAILURE_BACKOFF_S


def estimate_found_demand(counts: ServerCounts) -> float:
    """Return the demand, in servers, that the fleet found by a new holder implies.

    A fleet with cheap servers was planned by an earlier holder and includes headroom.
    """
    has_cheap = any(kind == "cheap" for _, kind in counts)
    return counts.total() * (1.0 if has_cheap else INITIAL_HEADROOM)


def even_share(total: int, index: int, parts: int) -> int:
    """Return one part of an evenly divided total; the first parts get the remainder."""
    return total // parts + (index < total % parts)

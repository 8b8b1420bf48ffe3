"""Plans how many servers of each kind each availability zone is to have, without I/O.

For platforms that take the number wanted of a kind in a zone, choose themselves which
server goes, and start one in seconds. (`planner` is for those that sell single servers
and take minutes.)

Load pattern: bursts that last about as long as a server takes to start, with zones of
cheap servers taken away at two seconds' notice in their midst. Servers that are ordered
when a burst shows come as it ends, so room for it has to stand ready; and room is
affordable only as cheap servers. Without a floor on demand, the reclaim of a zone takes
every server there, the quick streams that cannot be moved, and what they had read.

A number wanted is not an order that can be counted twice: sent again, it changes
nothing. So nothing is written down before it is sent, a lost answer is settled by
looking at the list of servers, and a new holder of the lease starts from that list.
"""

import math
from collections import Counter, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.capacity.messages import OrderOutcome, ServerKind
from godwitmast.types import PoolName, ZoneName

OPEN_EACH = 5.0
"""Open requests of all callers that one server is planned for. An engine that reads a
prompt holds up every stream beside it, long before its batch is full."""

START_ROOM = 2.0
"""The first plan as a part of the fleet that was found, whose operators sized it without
servers that may be taken away. A crash and a reclaim in one burst must leave enough."""

ON_DEMAND_SHARE = 0.25
"""The servers on demand, as a part of all; each zone has one at least, so that one that
is cut off or reclaimed still serves."""

OBSERVE_S = 3.0
"""For how long a new holder only watches the list. Servers that start, or that come back
after an outage of the table, enter it over two heartbeats; a plan made from the first
two of five gave the other three back as the first callers came."""

HOLD_S = 30.0
"""For how long the highest demand counts: bursts follow each other in less, and a
server that is given back takes with it what it has read."""

GROW_ABOVE, SHRINK_BELOW = 1.35, 0.7
"""Between these parts of the present plan it stays as it is. Open requests swing by that
much from one look to the next, and each server that goes and comes again is paid for
while it starts, and reads all shared parts anew."""

REFUSED_S = 3.0
"""For how long a zone that had no cheap server is not asked again. Zones that were
reclaimed stay dry for some ten seconds; asking in each round would cost ten calls."""

FAILED_S = 2.0
"""For how long a number is not sent again that met an error or no answer: each call is
paid for, and an interface that is down stays so for seconds."""

SETTLE_STARTS = 1.5
"""A number that was sent counts as lost if the list does not show it after this many
starts: one start, and half of one for the list to tell."""

LIST_LAG_S = 2.0
"""What the list of servers may be behind besides: a heartbeat and its way here."""


Have = Counter[tuple[ZoneName, ServerKind]]
"""The servers of a pool that do not leave, by zone and kind."""


class ZonalLimits(NamedTuple):
    """What may be ordered of a pool's servers, as the operators' configuration says.

    `least` and `most` are per zone, of both kinds together; `start_s` is the time from
    an order to a server that serves. A cheap server costs `cheap_price` of another one,
    and each zone's servers `zone_prices` of what they cost elsewhere.
    """

    least: int
    most: int
    start_s: float
    cheap_price: float
    zone_prices: dict[ZoneName, float]


class ListedServer(NamedTuple):
    """A server of the pool that the list shows."""

    zone: ZoneName
    kind: ServerKind
    leaving: bool


class Wanted(NamedTuple):
    """The number of servers of a kind that a zone is to have."""

    zone: ZoneName
    kind: ServerKind
    number: int


@dataclass(slots=True)
class Sent:
    """A number that was sent last, and when."""

    number: int
    at: float


@dataclass
class ZonalPlanner:
    """The plan for one pool, made anew each round from the newest list and demand."""

    pool: PoolName
    limits: ZonalLimits
    total: int = 0
    began: float | None = None
    demands: deque[tuple[float, float]] = field(default_factory=deque)
    sent: dict[tuple[ZoneName, ServerKind], Sent] = field(default_factory=dict)
    not_before: dict[tuple[ZoneName, ServerKind], float] = field(default_factory=dict)
    zones: set[ZoneName] = field(default_factory=set)
    """Where servers of the pool were seen; elsewhere it may not run at all."""

    def step(
        self,
        servers: Iterable[ListedServer],
        open_requests: float | None,
        now: float,
        closed: Collection[ZoneName] = (),
    ) -> list[Wanted]:
        """Return the numbers to send now; None tells that the demand is not known.

        Servers of `closed` zones get no work and are neither ordered nor given back:
        they are needed again as soon as their zone is.
        """
        servers = list(servers)
        self.zones |= {s.zone for s in servers} & self.limits.zone_prices.keys()
        have = Counter((s.zone, s.kind) for s in servers if not s.leaving)
        if not have:
            # A list without a server says less of the fleet than of the list.
            return []
        if self.began is None:
            self.began = now
        if now - self.began <= OBSERVE_S:
            self.demands.append((now, found_fleet(have)))
            return []
        if open_requests is not None:
            self.demands.append((now, open_requests / OPEN_EACH))
        while self.demands[0][0] < now - HOLD_S and len(self.demands) > 1:
            self.demands.popleft()
        self.resize()
        is_new = now - self.began < HOLD_S
        return [
            item
            for zone, (on_demand, cheap) in self.spread(closed).items()
            for item in self.for_zone(zone, on_demand, cheap, have, is_new)
            if self.is_due(item, have, now)
        ]

    def resize(self) -> None:
        """Follow the highest demand of late, by large steps only.

        The first plan is a step from nothing. What a new holder finds counts as demand,
        but is no plan by itself: it may be what a crash and a reclaim have left.
        """
        needed = self.within_limits(max(demand for _, demand in self.demands))
        if not SHRINK_BELOW * self.total <= needed <= GROW_ABOVE * self.total:
            self.total = needed

    def within_limits(self, servers: float) -> int:
        """Return a whole number of servers that may be ordered."""
        zones = len(self.zones)
        wanted = math.ceil(servers)
        return min(max(wanted, self.limits.least * zones), self.limits.most * zones)

    def spread(
        self, closed: Collection[ZoneName] = ()
    ) -> dict[ZoneName, tuple[int, int]]:
        """Return how many on demand and cheap each zone gets, the lowest price first."""
        prices = self.limits.zone_prices
        zones = sorted(self.zones - set(closed), key=lambda zone: (prices[zone], zone))
        on_demand = max(len(zones), round(ON_DEMAND_SHARE * self.total))
        if self.limits.cheap_price >= 1:
            on_demand = self.total
        plan = {}
        for place, zone in enumerate(zones):
            zone_total = max(1, share(self.total, place, len(zones)))
            zone_on_demand = min(zone_total, share(on_demand, place, len(zones)))
            plan[zone] = (zone_on_demand, zone_total - zone_on_demand)
        return plan

    def for_zone(
        self, zone: ZoneName, on_demand: int, cheap: int, have: Have, is_new: bool
    ) -> list[Wanted]:
        """Return the numbers for one zone on the way to its plan.

        One on demand goes only once the cheap ones that replace it serve, so that a
        zone where none is to be had keeps what it has.
        """
        on_demand_now, cheap_now = have[zone, "on_demand"], have[zone, "cheap"]
        room = max(0, self.limits.most - max(on_demand_now, on_demand))
        if is_new:
            # This holder has not seen the burst yet that these servers may be there for.
            cheap = max(cheap, cheap_now)
        cheap_first = min(cheap, room)
        if cheap_now < cheap_first:
            on_demand = max(on_demand, on_demand_now)
        return [
            Wanted(zone, "cheap", cheap_first),
            Wanted(zone, "on_demand", on_demand),
        ]

    def is_due(self, item: Wanted, have: Have, now: float) -> bool:
        """Return whether a number has to be sent, or sent again."""
        if now < self.not_before.get((item.zone, item.kind), 0.0):
            return False
        last = self.sent.get((item.zone, item.kind))
        if last is None or last.number != item.number:
            return have[item.zone, item.kind] != item.number
        if have[item.zone, item.kind] == item.number:
            return False
        return now - last.at > SETTLE_STARTS * self.limits.start_s + LIST_LAG_S

    def was_sent(self, item: Wanted, outcome: OrderOutcome, now: float) -> None:
        """Take what came of sending a number."""
        place = (item.zone, item.kind)
        match outcome:
            case OrderOutcome.DONE:
                self.sent[place] = Sent(item.number, now)
            case OrderOutcome.UNAVAILABLE:
                self.not_before[place] = now + REFUSED_S
            case _:
                self.not_before[place] = now + FAILED_S


def found_fleet(have: Have) -> float:
    """Return what the fleet that a new holder finds says of the demand.

    One with cheap servers was planned by an earlier holder, with its room.
    """
    planned = any(kind == "cheap" for _, kind in have)
    return have.total() * (1.0 if planned else START_ROOM)


def share(total: int, place: int, parts: int) -> int:
    """Return one part of a total that is divided evenly, the rest to the first ones."""
    return total // parts + (place < total % parts)

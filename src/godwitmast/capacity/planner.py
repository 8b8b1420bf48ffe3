"""Plans one pool's servers: what to order, drain and release, and when to wait.

It answers a demand that moves faster than servers start. Without it a fleet is
either sized for its peak all day, or chases each minute's noise: servers that are
ordered, started and released again cost as much as ones that serve.
"""

import math
from collections import Counter

from godwitmast.capacity.forecast import Forecast
from godwitmast.capacity.messages import (
    Decision,
    Drain,
    Order,
    Release,
    ServerKind,
    ServerState,
    ServerView,
    Undrain,
    View,
)
from godwitmast.capacity.sizing import (
    Mix,
    divide,
    emptiest_zone,
    servers_for,
    within_budget,
)
from godwitmast.config.document import CapacityIntention
from godwitmast.types import PoolName, ZoneName

HOLD_S = 600.0
"""A server goes only when the plan has not wanted it for this long: over three times
a start, so that the two halves of one burst are served by the same servers."""

DRAIN_EVERY_S = 60.0
"""One server at a time, so that a plan that is wrong is seen before the next."""

ORDER_SHARE = 0.34
"""Share of the fleet that may start at once: weights come from one store at a limited
rate, and a crowd of loads makes each of them late."""

ORDERS_AT_LEAST = 2

REFUSED_S = 300.0
"""For how long a zone that had no cheap server, or lost one, is not asked again. The
platform needs about as long to get room back; asking each round costs orders."""

STALE_S = 30.0
"""Older reports order nothing and release nothing: twice an entry's longest gap
between two reports, so that one lost write does not freeze the fleet."""

SILENT_SHARE = 0.34
"""When more than this share of the servers falls silent at once, the reports are the
likelier cause, and replacing them all would double the spend for nothing."""

COUNTED = (ServerState.ORDERED, ServerState.STARTING, ServerState.SERVING)


class Planner:
    """The plan for one pool, made anew each round from the newest view."""

    def __init__(
        self, pool: PoolName, zones: list[ZoneName], intention: CapacityIntention
    ) -> None:
        self.pool = pool
        self.zones = zones
        self.intention = intention
        self.forecast = Forecast(intention.start_s)
        self.wanted: list[tuple[float, int]] = []
        self.refused_until: dict[ZoneName, float] = {}
        self.began: float | None = None
        self.drained_at = -math.inf
        self.target = Mix(0, 0)
        self.held = Mix(0, 0)

    def update(self, zones: list[ZoneName], intention: CapacityIntention) -> None:
        """Take a new intention; what was learned of the demand is kept."""
        self.zones = zones
        self.intention = intention
        self.forecast.lead_s = intention.start_s

    def cheap_refused(self, zone: ZoneName, now: float) -> None:
        """Note that a zone had no cheap server, so that others are asked first."""
        self.refused_until[zone] = now + REFUSED_S

    def step(self, view: View) -> list[Decision]:
        """Return what is to be done now."""
        if view.age_s > STALE_S:
            return []
        for server in view.servers:
            if server.state is ServerState.LEAVING:
                self.refused_until[server.zone] = view.now + REFUSED_S
        total = self.wanted_total(view)
        if self.reports_contradict(view):
            return []
        self.wanted.append((view.now, total))
        self.wanted = [item for item in self.wanted if item[0] > view.now - HOLD_S]
        high = self.high_work(view)
        self.target = self.mix_for(total, high)
        self.held = self.mix_for(max(total for _, total in self.wanted), high)
        return [*self.order(view), *self.shrink(view), *self.release(view)]

    def mix_for(self, total: int, high_work: float) -> Mix:
        mix = divide(total, high_work, len(self.zones), self.intention)
        return within_budget(mix, self.intention)

    def wanted_total(self, view: View) -> int:
        """Return how many servers the forecast needs."""
        for demand in view.demand:
            self.forecast.observe(demand.class_name, demand.work, view.now, view.wall)
        work = sum(self.forecast.expect(d.class_name, view.wall) for d in view.demand)
        backlog = sum(d.backlog for d in view.demand)
        return servers_for(work, backlog, self.intention)

    def high_work(self, view: View) -> float:
        """Return the forecast of the tiers that a lost zone must not touch."""
        tiers = sorted({d.tier for d in view.demand})[: self.intention.high_tiers]
        return sum(
            self.forecast.expect(d.class_name, view.wall)
            for d in view.demand
            if d.tier in tiers
        )

    def reports_contradict(self, view: View) -> bool:
        """Return whether the reports are a likelier fault than the servers."""
        silent = sum(s.state is ServerState.SILENT for s in view.servers)
        return silent > max(1, SILENT_SHARE * len(view.servers))

    def order(self, view: View) -> list[Decision]:
        """Order what is missing, as fast as starts may go."""
        counts = count(view.servers)
        have = kinds(view.servers)
        missing = self.target.total - sum(have.values())
        if missing <= 0:
            return self.swap(view.now, have, counts)
        waking = [s for s in view.servers if s.state is ServerState.DRAINING][:missing]
        decisions: list[Decision] = [Undrain(s.backend_id) for s in waking]
        starting = sum(
            s.state in (ServerState.ORDERED, ServerState.STARTING) for s in view.servers
        )
        allowed = max(ORDERS_AT_LEAST, math.ceil(ORDER_SHARE * self.target.total))
        for _ in range(min(missing - len(waking), allowed - starting)):
            order = self.next_order(view.now, have, counts)
            if order is None:
                break
            decisions.append(order)
            counts[order.zone, order.kind] += 1
            have[order.kind] += 1
        return decisions

    def swap(
        self, now: float, have: Counter[str], counts: Counter[tuple[str, str]]
    ) -> list[Decision]:
        """Order a cheap server in place of one on demand that stood in for it."""
        if not self.too_dear(have) or have["cheap"] >= self.held.cheap:
            return []
        zone = self.cheap_zone(now, counts)
        if zone is None or sum(have.values()) > self.held.total:
            return []
        return [Order(self.pool, zone, "cheap", "swap_for_cheap")]

    def too_dear(self, have: Counter[str]) -> bool:
        """Return whether there are more servers on demand than the plan has."""
        floor = max(self.held.on_demand, self.intention.min_on_demand)
        return have["on_demand"] > floor

    def cheap_zone(
        self, now: float, counts: Counter[tuple[str, str]]
    ) -> ZoneName | None:
        """Return the zone to ask for a cheap server, if any is worth asking."""
        open_zones = [z for z in self.zones if self.refused_until.get(z, 0.0) <= now]
        return emptiest_zone(open_zones, "cheap", counts)

    def next_order(
        self, now: float, have: Counter[str], counts: Counter[tuple[str, str]]
    ) -> Order | None:
        """Return the next server to ask for.

        A cheap one that cannot be had in any zone becomes one on demand, for as long
        as the budget bears it: late work costs more than the difference.
        """
        if have["cheap"] < self.target.cheap:
            zone = self.cheap_zone(now, counts)
            if zone is not None:
                return Order(self.pool, zone, "cheap", "demand")
        zone = emptiest_zone(self.zones, "on_demand", counts)
        if zone is None or not self.affordable(have):
            return None
        reason = "demand" if have["on_demand"] < self.target.on_demand else "no_cheap"
        return Order(self.pool, zone, "on_demand", reason)

    def affordable(self, have: Counter[str]) -> bool:
        intention = self.intention
        if intention.budget_per_hour is None:
            return True
        spend = (have["on_demand"] + 1) * intention.on_demand_per_hour + have[
            "cheap"
        ] * intention.cheap_per_hour
        floor = have["on_demand"] < intention.min_on_demand
        return floor or spend <= intention.budget_per_hour

    def shrink(self, view: View) -> list[Decision]:
        """Drain one server that has not been wanted for a while."""
        now = view.now
        if self.began is None:
            self.began = now
        if now - self.began < HOLD_S:
            # A new lease holder has seen no burst yet that the fleet may be there for.
            return []
        serving = [s for s in view.servers if s.state is ServerState.SERVING]
        have = kinds(view.servers)
        if now - self.drained_at < DRAIN_EVERY_S or len(serving) <= self.held.total:
            return []
        dear = self.too_dear(have) or not have["cheap"]
        kind: ServerKind = "on_demand" if dear else "cheap"
        victim = pick_victim(serving, kind, count(view.servers))
        if victim is None:
            return []
        self.drained_at = now
        return [Drain(victim.backend_id, "surplus")]

    def release(self, view: View) -> list[Decision]:
        """Give back what has drained."""
        return [
            Release(s.backend_id)
            for s in view.servers
            if s.state is ServerState.DRAINING and s.running == 0
        ]


def kinds(servers: list[ServerView]) -> Counter[str]:
    """Return how many servers of each kind serve or will soon."""
    return Counter(s.kind for s in servers if s.state in COUNTED)


def count(servers: list[ServerView]) -> Counter[tuple[str, str]]:
    """Return how many servers there are by zone and kind."""
    return Counter((s.zone, s.kind) for s in servers if s.state in COUNTED)


def pick_victim(
    serving: list[ServerView], kind: ServerKind, counts: Counter[tuple[str, str]]
) -> ServerView | None:
    """Return the server of a kind to drain: from the fullest zone, the least busy."""
    return max(
        (s for s in serving if s.kind == kind and s.ordered),
        key=lambda s: (counts[s.zone, kind], -s.running, s.backend_id),
        default=None,
    )

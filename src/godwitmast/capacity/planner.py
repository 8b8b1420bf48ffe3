"""Planner for one pool: which servers to order, drain, undrain and release.

It answers demand that changes faster than servers start. Without a plan a fleet is
either sized for its peak all day, or follows each minute's noise: servers that are
ordered, started and soon released cost as much as servers that serve.
"""

import math
from collections import Counter

from godwitmast.capacity.forecast import Forecast
from godwitmast.capacity.messages import (
    Decision,
    Drain,
    Order,
    PlanInput,
    Release,
    ServerKind,
    ServerState,
    ServerView,
    Undrain,
)
from godwitmast.capacity.sizing import (
    Mix,
    cut_to_budget,
    emptiest_zone,
    servers_needed,
    split_by_kind,
)
from godwitmast.config.document import CapacityPolicy
from godwitmast.types import PoolName, ZoneName

SHRINK_DELAY_S = 600.0
"""A server is drained only if no plan within this time needed it: over three times the
start time of a server, so that the two halves of one burst are served by the same
servers."""

DRAIN_INTERVAL_S = 60.0
"""Minimum time between two drains, so that a wrong plan shows its effect before the
next server is drained."""

MAX_STARTING_SHARE = 0.34
"""Maximum share of the planned fleet that may be starting at once. Weights are loaded
from one store at a limited rate, and many loads at once make each of them late."""

MIN_STARTING = 2
"""Number of servers that may always be starting at once."""

REFUSAL_BACKOFF_S = 300.0
"""How long a zone is not asked for cheap servers after it had none or evicted one. The
platform takes about as long to regain capacity there; asking in each round would waste
orders."""

MAX_REPORT_AGE_S = 30.0
"""With older reports the fleet stays as it is. It is twice the longest interval between
two reports of an entry, so that one lost write does not freeze the fleet."""

MAX_SILENT_SHARE = 0.34
"""If more than this share of the servers is silent at once, the reports are more likely
at fault than the servers, and replacing all of them would double the spend for
nothing."""

CAPACITY_STATES = (ServerState.ORDERED, ServerState.STARTING, ServerState.SERVING)


class Planner:
    """Planner for one pool; it computes a new plan each round from the latest view."""

    def __init__(
        self, pool: PoolName, zones: list[ZoneName], policy: CapacityPolicy
    ) -> None:
        self.pool = pool
        self.zones = zones
        self.policy = policy
        self.forecast = Forecast(policy.start_s)
        self.recent_totals: list[tuple[float, int]] = []
        self.refused_until: dict[ZoneName, float] = {}
        self.started_at: float | None = None
        self.last_drain_at = -math.inf
        self.target_mix = Mix(0, 0)
        self.peak_mix = Mix(0, 0)

    def update(self, zones: list[ZoneName], policy: CapacityPolicy) -> None:
        """Apply new zones and a new policy; the forecast keeps its state."""
        self.zones = zones
        self.policy = policy
        self.forecast.lead_s = policy.start_s

    def record_cheap_refusal(self, zone: ZoneName, now: float) -> None:
        """Record that a zone had no cheap server.

        It is not asked for one again for REFUSAL_BACKOFF_S. While all zones back off,
        an on-demand server is ordered instead, within the budget.
        """
        self.refused_until[zone] = now + REFUSAL_BACKOFF_S

    def step(self, view: PlanInput) -> list[Decision]:
        """Return the decisions of this round."""
        if view.age_s > MAX_REPORT_AGE_S:
            return []
        for server in view.servers:
            if server.state is ServerState.LEAVING:
                self.refused_until[server.zone] = view.now + REFUSAL_BACKOFF_S
        total = self.forecast_total(view)
        if self.reports_are_implausible(view):
            return []
        self.recent_totals.append((view.now, total))
        self.recent_totals = [
            item for item in self.recent_totals if item[0] > view.now - SHRINK_DELAY_S
        ]
        high = self.forecast_high_tiers(view)
        self.target_mix = self.mix_for(total, high)
        self.peak_mix = self.mix_for(
            max(total for _, total in self.recent_totals), high
        )
        return [
            *self.plan_orders(view),
            *self.plan_drain(view),
            *self.plan_releases(view),
        ]

    def mix_for(self, total: int, high_work: float) -> Mix:
        mix = split_by_kind(total, high_work, len(self.zones), self.policy)
        return cut_to_budget(mix, self.policy)

    def forecast_total(self, view: PlanInput) -> int:
        """Update the forecast, and return how many servers it requires."""
        for demand in view.demand:
            self.forecast.observe(demand.class_name, demand.work, view.now, view.wall)
        work = sum(self.forecast.predict(d.class_name, view.wall) for d in view.demand)
        backlog = sum(d.backlog for d in view.demand)
        return servers_needed(work, backlog, self.policy)

    def forecast_high_tiers(self, view: PlanInput) -> float:
        """Return the forecast work of the tiers that a zone loss must not affect."""
        tiers = sorted({d.tier for d in view.demand})[: self.policy.high_tiers]
        return sum(
            self.forecast.predict(d.class_name, view.wall)
            for d in view.demand
            if d.tier in tiers
        )

    def reports_are_implausible(self, view: PlanInput) -> bool:
        """Return whether too many servers are silent for the reports to be right."""
        silent = sum(s.state is ServerState.SILENT for s in view.servers)
        return silent > max(1, MAX_SILENT_SHARE * len(view.servers))

    def plan_orders(self, view: PlanInput) -> list[Decision]:
        """Undrain or order missing servers, within the limit on starting servers."""
        by_zone_and_kind = count_by_zone_and_kind(view.servers)
        by_kind = count_by_kind(view.servers)
        missing = self.target_mix.total - sum(by_kind.values())
        if missing <= 0:
            return self.plan_swap(view.now, by_kind, by_zone_and_kind)
        to_undrain = [s for s in view.servers if s.state is ServerState.DRAINING][
            :missing
        ]
        decisions: list[Decision] = [Undrain(s.backend_id) for s in to_undrain]
        starting = sum(
            s.state in (ServerState.ORDERED, ServerState.STARTING) for s in view.servers
        )
        allowed = max(
            MIN_STARTING, math.ceil(MAX_STARTING_SHARE * self.target_mix.total)
        )
        for _ in range(min(missing - len(to_undrain), allowed - starting)):
            order = self.choose_order(view.now, by_kind, by_zone_and_kind)
            if order is None:
                break
            decisions.append(order)
            by_zone_and_kind[order.zone, order.kind] += 1
            by_kind[order.kind] += 1
        return decisions

    def plan_swap(
        self,
        now: float,
        by_kind: Counter[str],
        by_zone_and_kind: Counter[tuple[str, str]],
    ) -> list[Decision]:
        """Order a cheap server in place of an on-demand one that substitutes for it."""
        if (
            not self.has_excess_on_demand(by_kind)
            or by_kind["cheap"] >= self.peak_mix.cheap
        ):
            return []
        zone = self.choose_cheap_zone(now, by_zone_and_kind)
        if zone is None or sum(by_kind.values()) > self.peak_mix.total:
            return []
        return [Order(self.pool, zone, "cheap", "swap_for_cheap")]

    def has_excess_on_demand(self, by_kind: Counter[str]) -> bool:
        """Return whether there are more on-demand servers than the plan requires."""
        allowed = max(self.peak_mix.on_demand, self.policy.min_on_demand)
        return by_kind["on_demand"] > allowed

    def choose_cheap_zone(
        self, now: float, by_zone_and_kind: Counter[tuple[str, str]]
    ) -> ZoneName | None:
        """Return the zone to ask for a cheap server; None while all zones back off."""
        available_zones = [
            z for z in self.zones if self.refused_until.get(z, 0.0) <= now
        ]
        return emptiest_zone(available_zones, "cheap", by_zone_and_kind)

    def choose_order(
        self,
        now: float,
        by_kind: Counter[str],
        by_zone_and_kind: Counter[tuple[str, str]],
    ) -> Order | None:
        """Return the next order, or None if there is no zone or no budget for one.

        A cheap server that no zone has is replaced by an on-demand one within the
        budget, because late requests cost more than the difference in price.
        """
        if by_kind["cheap"] < self.target_mix.cheap:
            zone = self.choose_cheap_zone(now, by_zone_and_kind)
            if zone is not None:
                return Order(self.pool, zone, "cheap", "demand")
        zone = emptiest_zone(self.zones, "on_demand", by_zone_and_kind)
        if zone is None or not self.is_affordable(by_kind):
            return None
        reason = (
            "demand" if by_kind["on_demand"] < self.target_mix.on_demand else "no_cheap"
        )
        return Order(self.pool, zone, "on_demand", reason)

    def is_affordable(self, by_kind: Counter[str]) -> bool:
        policy = self.policy
        if policy.budget_per_hour is None:
            return True
        spend = (by_kind["on_demand"] + 1) * policy.on_demand_per_hour + by_kind[
            "cheap"
        ] * policy.cheap_per_hour
        below_minimum = by_kind["on_demand"] < policy.min_on_demand
        return below_minimum or spend <= policy.budget_per_hour

    def plan_drain(self, view: PlanInput) -> list[Decision]:
        """Drain one server if no plan within SHRINK_DELAY_S needed it."""
        now = view.now
        if self.started_at is None:
            self.started_at = now
        if now - self.started_at < SHRINK_DELAY_S:
            # A new lease holder does not know which burst the fleet was sized for.
            return []
        serving = [s for s in view.servers if s.state is ServerState.SERVING]
        by_kind = count_by_kind(view.servers)
        if (
            now - self.last_drain_at < DRAIN_INTERVAL_S
            or len(serving) <= self.peak_mix.total
        ):
            return []
        drain_on_demand = self.has_excess_on_demand(by_kind) or not by_kind["cheap"]
        kind: ServerKind = "on_demand" if drain_on_demand else "cheap"
        server = choose_server_to_drain(
            serving, kind, count_by_zone_and_kind(view.servers)
        )
        if server is None:
            return []
        self.last_drain_at = now
        return [Drain(server.backend_id, "surplus")]

    def plan_releases(self, view: PlanInput) -> list[Decision]:
        """Release drained servers that run no request."""
        return [
            Release(s.backend_id)
            for s in view.servers
            if s.state is ServerState.DRAINING and s.running == 0
        ]


def count_by_kind(servers: list[ServerView]) -> Counter[str]:
    """Count the servers of each kind that serve or are about to."""
    return Counter(s.kind for s in servers if s.state in CAPACITY_STATES)


def count_by_zone_and_kind(servers: list[ServerView]) -> Counter[tuple[str, str]]:
    """Count the servers that serve or are about to, by zone and kind."""
    return Counter((s.zone, s.kind) for s in servers if s.state in CAPACITY_STATES)


def choose_server_to_drain(
    serving: list[ServerView],
    kind: ServerKind,
    by_zone_and_kind: Counter[tuple[str, str]],
) -> ServerView | None:
    """Return the least busy server of a kind in the zone that has the most of them.

    Servers from the configuration were not ordered and are never drained.
    """
    return max(
        (s for s in serving if s.kind == kind and s.ordered),
        key=lambda s: (by_zone_and_kind[s.zone, kind], -s.running, s.backend_id),
        default=None,
    )

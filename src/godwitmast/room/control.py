"""Decisions by the slots of all VMs together: what may start, and how long others wait.

Load pattern: bursts of long prompts of low tiers, then of short ones of a high tier,
through sixty VMs in front of servers that all of them share. What one VM holds back,
another takes, unless all of them count the same requests. Work above capacity waits at
its VM, where it can still be reordered, in the order of tiers, then of teams by their
shares over all VMs.
"""

import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.config.document import Document, Team
from godwitmast.dispatch.messages import LoadReport, RequestSpec
from godwitmast.dispatch.other_load import MeanOtherLoad
from godwitmast.measurements.messages import FleetRoom, PoolRoom, TeamUse
from godwitmast.measurements.view import EmptyView, FleetView
from godwitmast.peers.rendezvous import short_hash
from godwitmast.room.capacity import (
    HALF_TRUST_S,
    FleetUse,
    PoolSlots,
    ServerSlots,
    Use,
    add_own,
    certainty_of_use,
    combine_use,
    free_for_tier,
    fresh_left_s,
    is_current,
    own_allowance,
    scale_of,
    sum_slots,
)
from godwitmast.room.collector import RoomCollector
from godwitmast.room.messages import ClassTimes, HoldCause, RoomNotice, RoomSummary
from godwitmast.room.reserve import Flow, arrivals_per_s, reserved_slots
from godwitmast.room.shares import TeamDemand, fair_level
from godwitmast.types import BackendId, PoolName, TeamName

REFRESH_S = 0.05
"""How long the servers' and the others' counts are reused: a tick of the entry. They
arrive each second at most, while a burst brings many decisions in a tick."""

DRAW_S = 1.0
"""How long a rounded part of a slot stays rounded the same way: about as long as a
request holds a slot. Drawn at each decision, it would soon be rounded up by every VM."""

MIN_CERTAINTY = 0.5
"""Others' counts show free slots down to this certainty, at an age of four seconds."""

FREE_SHARE = 0.5
"""Nothing is refused for lack of capacity while this share of the slots is free."""

TIME_SLACK_S = 1e-6
"""A sum that depends on ages is made anew this much early, so that rounding of times
changes no decision."""

MAX_NOTICES = 200
"""Notices kept for the log between two ticks; the metrics count all."""

DEFAULT_TEAM = Team()


@dataclass(slots=True)
class PoolState:
    """The slots and the others' requests at a pool, as of `at`.

    `level` is the number of slots per weight that the largest teams may hold, `reserved`
    the slots that a tier leaves free for more urgent ones. `basis` is what the state was
    computed from, apart from the time.
    """

    at: float
    slots: PoolSlots
    fleet: FleetRoom | None
    other_teams: dict[int, TeamUse]
    level: float = math.inf
    reserved: dict[int, float] = field(default_factory=dict)
    use: FleetUse | None = None
    use_version: int = -1
    basis: "Basis | None" = None


class Basis(NamedTuple):
    """What the counts and shares of a pool's state depend on."""

    servers: PoolSlots
    room: PoolRoom | None
    other_vms: int
    trust: float
    assumed_vms: int
    collected: int
    """Version of this VM's own counts."""
    requests_per_slot: float | None
    slots_per_running: float | None


@dataclass(slots=True)
class ServerSum:
    """The sum of servers' slots, which holds from `at` until `until` while neither the
    servers nor their reports (`reports_version`) change."""

    servers: list[tuple[BackendId, float]]
    reports_version: int
    at: float
    until: float
    slots: PoolSlots


@dataclass(slots=True)
class Draw:
    """A random number that is used for a while to round parts of slots."""

    value: float
    until: float


class RoomControl:
    """The capacity of all VMs' pools, as this VM knows it.

    `server_slots` returns the servers of a pool in rotation with their slots,
    `count_vms` the number of VMs, 0 if it is not known. `counts` counts the decisions
    by pool, class and kind.
    """

    def __init__(
        self,
        document: Document,
        server_slots: Callable[[PoolName], list[tuple[BackendId, float]]],
        count_vms: Callable[[], int],
        seed: int = 0,
    ) -> None:
        self.document = document
        self.first_tier = first_tier(document)
        self.server_slots = server_slots
        self.count_vms = count_vms
        self.random = random.Random(seed)
        self.collector = RoomCollector()
        self.view: FleetView = EmptyView()
        self.reports: dict[BackendId, tuple[LoadReport, float]] = {}
        self.reports_version = 0
        self.server_sums: dict[PoolName, ServerSum] = {}
        self.team_weights = hashed_weights(document)
        self.requests_per_slot: dict[str, MeanOtherLoad] = {}
        self.slots_per_running: dict[str, MeanOtherLoad] = {}
        self.speed_pools: set[PoolName] = set()
        self.states: dict[PoolName, PoolState] = {}
        self.draws: dict[PoolName, Draw] = {}
        self.counts: Counter[tuple[str, str, str]] = Counter()
        self.notices: deque[RoomNotice] = deque(maxlen=MAX_NOTICES)

    def update_config(self, document: Document) -> None:
        self.document = document
        self.first_tier = first_tier(document)
        self.team_weights = hashed_weights(document)
        self.states = {}

    def is_on(self, pool: PoolName) -> bool:
        """Return whether decisions at a pool are made by the room of all VMs."""
        match self.document.fleet.room_sharing:
            case "on":
                return True
            case "auto":
                return pool in self.speed_pools
            case _:
                return False

    def record_load(
        self,
        backend_id: BackendId,
        pools: Iterable[str],
        slots: float,
        report: LoadReport,
        now: float,
    ) -> None:
        """Record what a server with so many slots states of its load."""
        self.reports[backend_id] = (report, now - max(0.0, report.age_s))
        self.reports_version += 1
        at_server = report.running + report.waiting
        for pool in pools if report.running else ():
            mean = self.requests_per_slot.setdefault(pool, MeanOtherLoad(1.0))
            mean.add(at_server / report.running, now)
            mean = self.slots_per_running.setdefault(pool, MeanOtherLoad(1.0))
            mean.add(max(1.0, slots / report.running), now)
        if report.percent is not None:
            self.speed_pools.update(PoolName(pool) for pool in pools)

    def keep_reports(self, servers: Iterable[BackendId]) -> None:
        """Forget the reports of all other servers."""
        listed = set(servers)
        self.reports = {k: v for k, v in self.reports.items() if k in listed}
        self.reports_version += 1

    # Counts of this VM

    @property
    def collects(self) -> bool:
        return self.document.fleet.room_sharing != "off"

    def record_waiting(self, request: RequestSpec, tier: int, now: float) -> None:
        if self.collects:
            self.collector.record_waiting(request, tier, now)

    def record_running(self, request: RequestSpec, tier: int) -> None:
        if self.collects:
            self.collector.record_running(request, tier)

    def remove(self, request: RequestSpec) -> None:
        self.collector.remove(request.request_id)

    # The state of a pool

    def state(self, pool: PoolName, now: float) -> PoolState:
        """Return the state of a pool, computed anew each REFRESH_S."""
        state = self.states.get(pool)
        if state is None or not 0 <= now - state.at < REFRESH_S:
            state = self.states[pool] = self.compute_state(pool, now)
        return state

    def compute_state(self, pool: PoolName, now: float) -> PoolState:
        """Return the state as of now, from the last one where only time has passed."""
        fleet = self.view.room_of(pool, now)
        if not is_current(fleet):
            fleet = None
        basis = self.basis_of(pool, fleet, now)
        last = self.states.get(pool)
        if last is not None and last.use is not None and last.basis == basis:
            certainty = certainty_of_use(fleet, basis.assumed_vms)
            use = last.use._replace(certainty=certainty)
            slots, teams, version = last.slots, last.other_teams, last.use_version
            return PoolState(
                now, slots, fleet, teams, last.level, {}, use, version, basis
            )
        teams = {use.team: use for use in fleet.room.teams} if fleet else {}
        state = PoolState(now, basis.servers, fleet, teams, basis=basis)
        use = self.use_of(pool, state, now)
        in_slots = self.slots_taken(pool, use.running, state.slots.stated)
        state.slots = state.slots.with_queued(use.running, in_slots, use.waiting)
        state.level = self.team_level(pool, state, now)
        return state

    def basis_of(self, pool: PoolName, fleet: FleetRoom | None, now: float) -> Basis:
        per_slot = self.requests_per_slot.get(pool)
        per_running = self.slots_per_running.get(pool)
        return Basis(
            self.sum_servers(pool, now),
            fleet.room if fleet is not None else None,
            fleet.vms if fleet is not None else 0,
            fleet.trust if fleet is not None else 0.0,
            self.count_vms(),
            self.collector.version,
            per_slot.value if per_slot is not None else None,
            per_running.value if per_running is not None else None,
        )

    def sum_servers(self, pool: PoolName, now: float) -> PoolSlots:
        """Return the slots of a pool's servers, summed anew when one of them changes."""
        servers, version = self.server_slots(pool), self.reports_version
        last = self.server_sums.get(pool)
        if (
            last is not None
            and last.at <= now < last.until
            and last.reports_version == version
            and last.servers == servers
        ):
            return last.slots
        items = [self.slots_of(name, slots, now) for name, slots in servers]
        until = now + fresh_left_s(items) - TIME_SLACK_S
        found = ServerSum(servers, version, now, until, sum_slots(items))
        self.server_sums[pool] = found
        return found.slots

    def slot_share(self, pool: PoolName) -> float:
        """Return the share of the requests at servers that hold slots there.

        A server states its load as it answers requests, and thus in proportion to those
        that it runs. So the mean of all requests per running one, over the statements,
        is that of the pool.
        """
        mean = self.requests_per_slot.get(pool)
        return 1 / max(1.0, mean.value) if mean is not None else 1.0

    def slots_taken(self, pool: PoolName, running: float, stated: float) -> float:
        """Return how many slots are taken, by the lower of two estimates.

        One is by the requests that VMs run. It is too high for a while after VMs were
        killed, as those of which nothing is heard are taken to have as many as others.
        The other is by the servers' statements, in the way of `slot_share`.
        """
        mean = self.slots_per_running.get(pool)
        by_servers = stated / mean.value if mean is not None else stated
        return min(running * self.slot_share(pool), by_servers)

    def slots_of(self, backend_id: BackendId, slots: float, now: float) -> ServerSlots:
        report, made_at = self.reports.get(backend_id, (None, 0.0))
        if report is None:
            return ServerSlots(slots)
        return ServerSlots(slots, report.running, report.waiting, now - made_at)

    def use_of(self, pool: PoolName, state: PoolState, now: float) -> FleetUse:
        """Return the requests of all VMs at a pool, with this VM's own as of now."""
        if state.use is None or state.use_version != self.collector.version:
            own = self.collector.tiers_of(pool, now)
            state.use = combine_use(own, state.fleet, self.count_vms())
            state.use_version = self.collector.version
        return state.use

    def team_level(self, pool: PoolName, state: PoolState, now: float) -> float:
        """Return the slots per weight to which the largest teams are limited."""
        weights = self.team_weights
        counts = self.collector.pools.get(pool)
        totals = Counter[int]()
        scale = scale_of(state.fleet) if state.fleet is not None else 1.0
        demands = {
            k: scale * (u.running + u.waiting) for k, u in state.other_teams.items()
        }
        for name, count in counts.teams.items() if counts else ():
            totals[short_hash(name)] = count.total
        for digest, total in totals.items():
            demands[digest] = demands.get(digest, 0.0) + total
        use = self.use_of(pool, state, now)
        rest = max(0.0, use.running + use.waiting - sum(demands.values()))
        teams = [TeamDemand(total, weights.get(k, 1.0)) for k, total in demands.items()]
        return fair_level(state.slots.usable, teams, rest)

    def team_use(self, pool: PoolName, state: PoolState, team: TeamName) -> Use:
        """Return the requests of a team at all VMs."""
        others = state.other_teams.get(short_hash(team))
        own = self.collector.team_of(pool, team)
        if others is None or state.fleet is None:
            return add_own(Use(), own.running, own.waiting)
        scale = scale_of(state.fleet)
        use = Use(others.running * scale, others.waiting * scale)
        return add_own(use, own.running, own.waiting)

    def draw(self, pool: PoolName, now: float) -> float:
        """Return the number by which parts of slots are rounded at present."""
        draw = self.draws.get(pool)
        if draw is None or now >= draw.until:
            draw = self.draws[pool] = Draw(self.random.random(), now + DRAW_S)
        return draw.value

    def is_half_free(self, pool: PoolName, now: float) -> bool:
        """Return whether so many slots are free that nothing may be refused."""
        state = self.state(pool, now)
        if not state.slots.stated:
            return False
        known = self.collector.running_at(pool)
        if state.fleet is not None:
            known += sum(tier.running for tier in state.fleet.room.tiers)
        taken = self.slots_taken(pool, known, state.slots.stated)
        return state.slots.free_share(taken) >= FREE_SHARE

    def shows_half_free(self, pool: PoolName, use: FleetUse, now: float) -> bool:
        """Return whether half of the slots are free by counts or statements of late."""
        mean = self.slots_per_running.get(pool)
        is_stated = mean is not None and now - mean.updated_at < HALF_TRUST_S
        is_known = is_stated or use.certainty >= MIN_CERTAINTY
        return is_known and self.is_half_free(pool, now)

    # Decisions

    def reserved(
        self, pool: PoolName, tier: int, classes: list[ClassTimes], now: float
    ) -> float:
        """Return the slots that a tier leaves free for more urgent requests."""
        state = self.state(pool, now)
        reserved = state.reserved.get(tier)
        if reserved is None:
            use = self.use_of(pool, state, now)
            reserved = state.reserved[tier] = reserve_for(tier, classes, use)
        return reserved

    def tier_hold(
        self, pool: PoolName, tier: int, classes: list[ClassTimes], now: float
    ) -> HoldCause | None:
        """Return why no request of a tier may start here now, None if one may.

        Engines run the most urgent requests first, so that these need not wait here. A
        VM that knows of no other may always run one.
        """
        is_first = tier <= self.first_tier
        state = self.state(pool, now)
        if (is_first and pool in self.document.models) or not state.slots.usable:
            return None
        use = self.use_of(pool, state, now)
        mine = use.tiers.get(tier, Use())
        if self.shows_half_free(pool, use, now) or not (
            use.certainty or mine.own_running
        ):
            return None
        reserved = self.reserved(pool, tier, classes, now)
        least = least_slots(state.slots.usable, tier, classes)
        draw = self.draw(pool, now)
        free = free_for_tier(state.slots.usable, use, tier, reserved, least)
        if is_below(mine.own_running, own_allowance(free, mine, use), draw):
            return None
        free = free_for_tier(state.slots.usable, use, tier, 0.0, least)
        if reserved and is_below(
            mine.own_running, own_allowance(free, mine, use), draw
        ):
            return HoldCause.RESERVED
        return HoldCause.SLOTS

    def is_team_held(
        self, pool: PoolName, team: TeamName, tier: int, now: float
    ) -> bool:
        """Return whether a team has its share while others' requests of at least the
        same urgency wait."""
        state = self.state(pool, now)
        if math.isinf(state.level) or not state.slots.usable:
            return False
        use = self.use_of(pool, state, now)
        mine = self.team_use(pool, state, team)
        if use.waiting_up_to(tier) <= mine.waiting:
            return False
        weight = self.document.teams.get(team, DEFAULT_TEAM).weight
        allowance = own_allowance(state.level * weight, mine, use)
        return not is_below(mine.own_running, allowance, self.draw(pool, now))

    def expected_wait_s(
        self, request: RequestSpec, tier: int, classes: list[ClassTimes], now: float
    ) -> float:
        """Return how long a new request waits until all that goes before it started."""
        pool = request.pool
        state = self.state(pool, now)
        if self.is_half_free(pool, now) or not state.slots.usable:
            return 0.0
        use = self.use_of(pool, state, now)
        ahead = use.waiting_up_to(tier - 1) + self.ahead_in_tier(
            request, tier, use, now
        )
        reserved = self.reserved(pool, tier, classes, now)
        taken = sum(item.running for k, item in use.tiers.items() if k <= tier)
        over = ahead + 1 - max(0.0, state.slots.usable - taken - reserved)
        per_s = self.starts_per_s(pool, tier, classes, now)
        return max(0.0, over) / per_s if per_s else 0.0

    def ahead_in_tier(
        self, request: RequestSpec, tier: int, use: FleetUse, now: float
    ) -> float:
        """Return the requests of the same tier that start before a new one of a team.

        While the team's own are served, each other team that waits has its turns.
        """
        state = self.state(request.pool, now)
        waiting = use.tiers.get(tier, Use()).waiting
        mine = self.team_use(request.pool, state, request.team)
        counts = self.collector.pools.get(request.pool)
        teams = {k for k, other in state.other_teams.items() if other.waiting}
        teams |= (
            {short_hash(k) for k, c in counts.teams.items() if c.waiting}
            if counts
            else set()
        )
        teams.discard(short_hash(request.team))
        return min(waiting, mine.waiting + (mine.waiting + 1) * len(teams))

    def starts_per_s(
        self, pool: PoolName, tier: int, classes: list[ClassTimes], now: float
    ) -> float:
        """Return how many requests of a tier all VMs start a second, 0 if unknown."""
        hold_s = mean_hold_s([c for c in classes if c.tier == tier])
        if not hold_s:
            return 0.0
        state = self.state(pool, now)
        use = self.use_of(pool, state, now)
        urgent = sum(item.running for k, item in use.tiers.items() if k < tier)
        reserved = self.reserved(pool, tier, classes, now)
        least = max(1.0, least_slots(state.slots.usable, tier, classes))
        return max(least, state.slots.usable - urgent - reserved) / hold_s

    def returns_per_s(
        self, request: RequestSpec, tier: int, classes: list[ClassTimes], now: float
    ) -> float:
        """Return how many callers of a team this VM may have return a second.

        It is this VM's part of what all VMs start, and the team's part of that.
        """
        state = self.state(request.pool, now)
        use = self.use_of(request.pool, state, now)
        total = max(1.0, use.running + use.waiting)
        mine = self.team_use(request.pool, state, request.team)
        weight = self.document.teams.get(request.team, DEFAULT_TEAM).weight
        slots = min(mine.total, state.level * weight)
        share = min(1.0, max(slots, 1.0) / min(total, max(1.0, state.slots.usable)))
        part = mine.own_part if mine.total else 1 / use.vms
        return self.starts_per_s(request.pool, tier, classes, now) * share * part

    # Observability

    def summary(
        self, pool: PoolName, now: float, tier: int | None = None
    ) -> RoomSummary:
        """Return the state of a pool for a log line or the metrics."""
        state = self.state(pool, now)
        use = self.use_of(pool, state, now)
        reserved = max(state.reserved.values(), default=0.0)
        if tier is not None:
            reserved = state.reserved.get(tier, 0.0)
        return RoomSummary(
            state.slots.stated,
            state.slots.usable,
            round(use.running, 1),
            round(use.waiting, 1),
            round(reserved, 1),
            use.vms,
            round(use.certainty, 3),
        )

    def summaries(self, now: float) -> dict[PoolName, RoomSummary]:
        """Return the state of each pool at which the room of all VMs decides."""
        return {k: self.summary(k, now) for k in self.collector.pools if self.is_on(k)}

    def count(self, pool: PoolName, class_name: str, kind: str) -> None:
        self.counts[pool, class_name, kind] += 1

    def pop_notices(self) -> list[RoomNotice]:
        """Return and clear the notices on refused and late requests."""
        notices = list(self.notices)
        self.notices.clear()
        return notices

    def pop_counts(self) -> Counter[tuple[str, str, str]]:
        """Return and clear the counts of decisions."""
        counts, self.counts = self.counts, Counter()
        return counts


def hashed_weights(document: Document) -> dict[int, float]:
    """Return the teams' weights by the hashes of their names."""
    return {short_hash(name): team.weight for name, team in document.teams.items()}


def first_tier(document: Document) -> int:
    """Return the most urgent tier of the configuration."""
    return min((item.tier for item in document.classes.values()), default=1)


def is_below(running: int, allowance: float, draw: float) -> bool:
    """Return whether one more request may run, by an allowance with a part of a slot."""
    whole, part = divmod(max(0.0, allowance), 1.0)
    return running < whole + (draw < part)


def least_slots(slots: float, tier: int, classes: list[ClassTimes]) -> float:
    """Return the slots that a tier may hold whatever waits above it."""
    return slots * max((c.turn_share for c in classes if c.tier == tier), default=0.0)


def mean_hold_s(classes: list[ClassTimes]) -> float:
    """Return the mean time for which requests hold a slot, by arrivals; 0 if unknown."""
    known = [item for item in classes if item.hold_s]
    weight = sum(item.per_s for item in known)
    if not weight:
        return max((item.hold_s or 0.0 for item in known), default=0.0)
    return sum(item.per_s * (item.hold_s or 0.0) for item in known) / weight


def reserve_for(tier: int, classes: list[ClassTimes], use: FleetUse) -> float:
    """Return the slots that a tier leaves free for the tiers above it."""
    urgent = [item for item in classes if item.tier < tier]
    if not urgent:
        return 0.0
    hold_s = mean_hold_s(urgent)
    items = [item for k, item in use.tiers.items() if k < tier]
    others = sum(i.total - i.own_running - i.own_waiting for i in items)
    per_s = arrivals_per_s(others, hold_s, sum(item.per_s for item in urgent))
    # Those that wait are counted as urgent requests already, beside the reserve.
    flow = Flow(sum(item.total for item in items), hold_s, per_s)
    held = sum(item.running for k, item in use.tiers.items() if k >= tier)
    lower = mean_hold_s([item for item in classes if item.tier >= tier])
    wait_s = min(item.wait_s for item in urgent)
    return reserved_slots(flow, Flow(held, lower), wait_s)

"""Counts of this VM's own requests at each pool, by tier and by team, for its reports.

Load pattern: bursts in which each of some sixty VMs has one or two requests a second at
a pool. The counts change with every request, so that a decision and a report read them
without iterating over the requests.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitmast.dispatch.messages import RequestSpec
from godwitmast.measurements.messages import (
    MAX_POOLS,
    MAX_TEAMS,
    MAX_TIERS,
    PoolRoom,
    TeamUse,
    TierRoom,
)
from godwitmast.peers.rendezvous import short_hash
from godwitmast.types import PoolName, RequestId, TeamName

MAX_COUNT = 1_000_000
MAX_TOKENS = 1_000_000_000
MAX_WAIT_S = 600.0
"""Largest values that a report may hold; receivers drop reports with larger ones."""


@dataclass(slots=True)
class Counted:
    """A counted request; `tier` is the one under which it is counted."""

    request: RequestSpec
    tier: int
    is_running: bool = False


@dataclass(slots=True)
class TierCount:
    """Requests of one tier; `waiting_since` is in the order in which waits began."""

    running: int = 0
    running_tokens: int = 0
    waiting_tokens: int = 0
    waiting_since: OrderedDict[RequestId, float] = field(default_factory=OrderedDict)

    @property
    def is_empty(self) -> bool:
        return not self.running and not self.waiting_since


@dataclass(slots=True)
class TeamCount:
    """Requests of one team."""

    running: int = 0
    waiting: int = 0

    @property
    def total(self) -> int:
        return self.running + self.waiting


@dataclass(slots=True)
class PoolCounts:
    """Requests at one pool."""

    tiers: dict[int, TierCount] = field(default_factory=dict)
    teams: dict[TeamName, TeamCount] = field(default_factory=dict)

    @property
    def total(self) -> int:
        return sum(c.running + len(c.waiting_since) for c in self.tiers.values())


class RoomCollector:
    """Counts of the requests that wait or run at this VM.

    A request keeps the tier under which it was first counted, so that a change of the
    configuration cannot leave counts behind. `version` changes with each count.
    """

    def __init__(self) -> None:
        self.version = 0
        self.pools: dict[PoolName, PoolCounts] = {}
        self.counted: dict[RequestId, Counted] = {}

    def record_waiting(self, request: RequestSpec, tier: int, now: float) -> None:
        """Count a request as waiting, whatever it was before."""
        self.remove(request.request_id)
        self.version += 1
        counted = self.counted[request.request_id] = Counted(request, tier)
        tier_count, team = self.counts_of(counted)
        tier_count.waiting_since[request.request_id] = now
        tier_count.waiting_tokens += request.prompt_tokens
        team.waiting += 1

    def record_running(self, request: RequestSpec, tier: int) -> None:
        """Count a request as running, whatever it was before."""
        self.remove(request.request_id)
        self.version += 1
        counted = self.counted[request.request_id] = Counted(request, tier, True)
        tier_count, team = self.counts_of(counted)
        tier_count.running += 1
        tier_count.running_tokens += request.prompt_tokens
        team.running += 1

    def remove(self, request_id: RequestId) -> None:
        """Stop counting a request that neither waits nor runs any more."""
        counted = self.counted.pop(request_id, None)
        if counted is None:
            return
        self.version += 1
        tier, team = self.counts_of(counted)
        if counted.is_running:
            tier.running -= 1
            tier.running_tokens -= counted.request.prompt_tokens
            team.running -= 1
        else:
            del tier.waiting_since[request_id]
            tier.waiting_tokens -= counted.request.prompt_tokens
            team.waiting -= 1
        counts = self.pools[counted.request.pool]
        if tier.is_empty:
            del counts.tiers[counted.tier]
        if not team.total:
            del counts.teams[counted.request.team]

    def counts_of(self, counted: Counted) -> tuple[TierCount, TeamCount]:
        counts = self.pools.setdefault(counted.request.pool, PoolCounts())
        tier = counts.tiers.setdefault(counted.tier, TierCount())
        return tier, counts.teams.setdefault(counted.request.team, TeamCount())

    def room_of(self, pool: PoolName, now: float) -> PoolRoom:
        """Return the requests at a pool as other VMs are told of them."""
        counts = self.pools.get(pool, PoolCounts())
        most = sorted(counts.teams.items(), key=lambda item: (-item[1].total, item[0]))
        teams = tuple(
            TeamUse(
                short_hash(name),
                min(team.running, MAX_COUNT),
                min(team.waiting, MAX_COUNT),
            )
            for name, team in most[:MAX_TEAMS]
        )
        return PoolRoom(short_hash(pool), combine_last(self.tiers_of(pool, now)), teams)

    def tiers_of(self, pool: PoolName, now: float) -> list[TierRoom]:
        """Return the requests at a pool by tier, the most urgent first."""
        counts = self.pools.get(pool)
        if counts is None:
            return []
        return [tier_room(k, counts.tiers[k], now) for k in sorted(counts.tiers)]

    def running_at(self, pool: PoolName) -> int:
        """Return the number of requests that run at a pool."""
        counts = self.pools.get(pool)
        if counts is None:
            return 0
        return sum(min(tier.running, MAX_COUNT) for tier in counts.tiers.values())

    def team_of(self, pool: PoolName, team: TeamName) -> TeamCount:
        """Return the requests of a team at a pool."""
        counts = self.pools.get(pool)
        return (counts.teams.get(team) if counts else None) or TeamCount()

    def rooms(self, now: float) -> tuple[PoolRoom, ...]:
        """Return the pools with the most requests, for a report."""
        used = [(name, counts.total) for name, counts in self.pools.items()]
        used.sort(key=lambda item: (-item[1], item[0]))
        return tuple(
            self.room_of(name, now) for name, total in used[:MAX_POOLS] if total
        )


def tier_room(tier: int, count: TierCount, now: float) -> TierRoom:
    since = next(iter(count.waiting_since.values()), now)
    return TierRoom(
        tier,
        min(count.running, MAX_COUNT),
        min(count.running_tokens, MAX_TOKENS),
        min(len(count.waiting_since), MAX_COUNT),
        min(count.waiting_tokens, MAX_TOKENS),
        min(max(0.0, now - since), MAX_WAIT_S),
    )


def combine_last(tiers: list[TierRoom]) -> tuple[TierRoom, ...]:
    """Return at most MAX_TIERS tiers; the least urgent ones are counted as one.

    They are counted under the least urgent of them, so that no request counts as more
    urgent than it is.
    """
    if len(tiers) <= MAX_TIERS:
        return tuple(tiers)
    return (*tiers[: MAX_TIERS - 1], sum_tiers(tiers[-1].tier, tiers[MAX_TIERS - 1 :]))


def sum_tiers(tier: int, parts: Iterable[TierRoom]) -> TierRoom:
    """Return the sum of several counts under one tier."""
    items = list(parts)
    return TierRoom(
        tier,
        min(sum(item.running for item in items), MAX_COUNT),
        min(sum(item.running_tokens for item in items), MAX_TOKENS),
        min(sum(item.waiting for item in items), MAX_COUNT),
        min(sum(item.waiting_tokens for item in items), MAX_TOKENS),
        max((item.oldest_wait_s for item in items), default=0.0),
    )

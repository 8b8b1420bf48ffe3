"""Sums of the requests of several VMs at a pool."""

import heapq
from collections import defaultdict
from collections.abc import Iterable

from godwitmast.measurements.messages import (
    MAX_TEAMS,
    MAX_TIERS,
    PoolRoom,
    TeamUse,
    TierRoom,
)

MAX_COUNT = 1_000_000
MAX_TOKENS = 1_000_000_000
"""Largest values of the messages."""


def merge_rooms(pool: int, rooms: Iterable[PoolRoom]) -> PoolRoom:
    """Return the sums over VMs or zones, with the teams that have the most."""
    tiers: dict[int, TierRoom] = {}
    teams: dict[int, TeamUse] = {}
    for room in rooms:
        for tier in room.tiers:
            tiers[tier.tier] = add_tiers(tiers.get(tier.tier), tier)
        for team in room.teams:
            known = teams.get(team.team, TeamUse(team.team))
            teams[team.team] = TeamUse(
                team.team,
                min(MAX_COUNT, known.running + team.running),
                min(MAX_COUNT, known.waiting + team.waiting),
            )
    most = heapq.nlargest(
        MAX_TEAMS, teams.values(), key=lambda team: team.running + team.waiting
    )
    return PoolRoom(
        pool, tuple(tiers[k] for k in sorted(tiers)[:MAX_TIERS]), tuple(most)
    )


def add_tiers(one: TierRoom | None, other: TierRoom) -> TierRoom:
    if one is None:
        return other
    return TierRoom(
        one.tier,
        min(MAX_COUNT, one.running + other.running),
        min(MAX_TOKENS, one.running_tokens + other.running_tokens),
        min(MAX_COUNT, one.waiting + other.waiting),
        min(MAX_TOKENS, one.waiting_tokens + other.waiting_tokens),
        max(one.oldest_wait_s, other.oldest_wait_s),
    )


def without(room: PoolRoom, own: PoolRoom) -> PoolRoom:
    """Return sums without one VM's part; its present part may be larger than the one
    that was summed."""
    tiers = {tier.tier: tier for tier in own.tiers}
    teams: defaultdict[int, TeamUse] = defaultdict(lambda: TeamUse(0))
    teams.update({team.team: team for team in own.teams})
    return PoolRoom(
        room.pool,
        tuple(
            subtract_tier(tier, tiers.get(tier.tier, TierRoom(tier.tier)))
            for tier in room.tiers
        ),
        tuple(
            TeamUse(
                team.team,
                max(0, team.running - teams[team.team].running),
                max(0, team.waiting - teams[team.team].waiting),
            )
            for team in room.teams
        ),
    )


def subtract_tier(tier: TierRoom, own: TierRoom) -> TierRoom:
    return tier._replace(
        running=max(0, tier.running - own.running),
        running_tokens=max(0, tier.running_tokens - own.running_tokens),
        waiting=max(0, tier.waiting - own.waiting),
        waiting_tokens=max(0, tier.waiting_tokens - own.waiting_tokens),
    )

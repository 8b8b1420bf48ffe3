"""Number of servers for a forecast, and their split by kind and zone."""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from godwitmast.capacity.messages import ServerKind
from godwitmast.config.document import CapacityPolicy
from godwitmast.types import ZoneName

PLANNED_UTILISATION = 0.70
"""Share of a server's full batch that a plan uses. At a full batch the time between
tokens is at its target without headroom, and a second's noise makes requests queue."""

HIGH_TIER_UTILISATION = 0.90
"""The same for the high tiers alone after the loss of a zone. It may be higher, because
they have priority, and only lower tiers lose by it."""

BACKLOG_CLEAR_S = 60.0
"""Time within which the backlog is to be cleared. A shorter one would order servers for
a queue that the running servers clear before the new ones have started."""


class Mix(NamedTuple):
    """Number of servers of each kind."""

    on_demand: int
    cheap: int

    @property
    def total(self) -> int:
        return self.on_demand + self.cheap


def servers_needed(work: float, backlog: float, policy: CapacityPolicy) -> int:
    """Return how many servers the work needs, within the policy's bounds."""
    needed = math.ceil((work + backlog / BACKLOG_CLEAR_S) / PLANNED_UTILISATION - 1e-9)
    return min(max(needed, policy.min_servers), policy.max_servers)


def split_by_kind(
    total: int, high_work: float, zones: int, policy: CapacityPolicy
) -> Mix:
    """Split servers by kind, with as many cheap ones as a zone loss permits.

    All cheap servers of a zone can be evicted at once, even at a peak. Without a
    minimum of other servers, the high tiers would then queue for as long as a server
    takes to start. So the remaining servers must carry the forecast of the high tiers
    before any replacement has started.
    """
    cheap = round(total * policy.cheap_share)
    while cheap > 0:
        survivors = total - math.ceil(cheap / max(1, zones))
        if survivors * HIGH_TIER_UTILISATION >= high_work:
            break
        cheap -= 1
    return Mix(total - cheap, cheap)


def cut_to_budget(mix: Mix, policy: CapacityPolicy) -> Mix:
    """Return the mix reduced to the budget.

    On-demand servers are removed first, down to `min_on_demand`, then cheap ones. The
    total never goes below `min_servers`.
    """
    if policy.budget_per_hour is None:
        return mix
    on_demand, cheap = mix
    while on_demand + cheap > policy.min_servers:
        spend = hourly_price(Mix(on_demand, cheap), policy)
        if spend <= policy.budget_per_hour:
            break
        if on_demand > policy.min_on_demand:
            on_demand -= 1
        elif cheap:
            cheap -= 1
        else:
            break
    return Mix(on_demand, cheap)


def hourly_price(mix: Mix, policy: CapacityPolicy) -> float:
    """Return the price of the mix per hour."""
    return mix.on_demand * policy.on_demand_per_hour + mix.cheap * policy.cheap_per_hour


def emptiest_zone(
    zones: Iterable[ZoneName], kind: ServerKind, counts: Counter[tuple[str, str]]
) -> ZoneName | None:
    """Return the zone with the fewest servers of a kind; ties go to the emptiest."""
    return min(
        zones,
        key=lambda zone: (
            counts[zone, kind],
            counts[zone, "on_demand"] + counts[zone, "cheap"],
            zone,
        ),
        default=None,
    )

"""How many servers a forecast needs, and how they divide by kind and zone."""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from godwitmast.capacity.messages import ServerKind
from godwitmast.config.document import CapacityIntention
from godwitmast.types import ZoneName

USE = 0.70
"""Share of a server's whole batch that a plan counts on. At a full batch the time
between tokens is at its target with nothing left, and a second's noise queues."""

HIGH_USE = 0.90
"""The same for the higher tiers after a zone was lost: they go before all else, so
what is left of the servers' time is the lower tiers' loss."""

CATCH_UP_S = 60.0
"""Waiting work is to be gone within this; shorter would order servers for a queue
that the running ones clear before the new ones have started."""


class Mix(NamedTuple):
    """How many servers of each kind."""

    on_demand: int
    cheap: int

    @property
    def total(self) -> int:
        return self.on_demand + self.cheap


def servers_for(work: float, backlog: float, intention: CapacityIntention) -> int:
    """Return how many servers the work needs, within the intention's bounds."""
    wanted = math.ceil((work + backlog / CATCH_UP_S) / USE - 1e-9)
    return min(max(wanted, intention.min_servers), intention.max_servers)


def divide(
    total: int, high_work: float, zones: int, intention: CapacityIntention
) -> Mix:
    """Return the most cheap servers that the intention and a lost zone allow.

    The load: a whole zone of cheap servers goes at once at a peak. Without the floor
    its symptom is that the top tiers queue for as long as a start takes. It is enough
    because the survivors can carry the high tiers' forecast before any new one starts.
    """
    cheap = round(total * intention.cheap_share)
    while cheap > 0:
        survivors = total - math.ceil(cheap / max(1, zones))
        if survivors * HIGH_USE >= high_work:
            break
        cheap -= 1
    return Mix(total - cheap, cheap)


def within_budget(mix: Mix, intention: CapacityIntention) -> Mix:
    """Return the mix cut to the budget, on-demand first, never below the minimum."""
    if intention.budget_per_hour is None:
        return mix
    on_demand, cheap = mix
    while on_demand + cheap > intention.min_servers:
        spend = price(Mix(on_demand, cheap), intention)
        if spend <= intention.budget_per_hour:
            break
        if on_demand > intention.min_on_demand:
            on_demand -= 1
        elif cheap:
            cheap -= 1
        else:
            break
    return Mix(on_demand, cheap)


def price(mix: Mix, intention: CapacityIntention) -> float:
    """Return what the mix costs in an hour."""
    return (
        mix.on_demand * intention.on_demand_per_hour
        + mix.cheap * intention.cheap_per_hour
    )


def emptiest_zone(
    zones: Iterable[ZoneName], kind: ServerKind, counts: Counter[tuple[str, str]]
) -> ZoneName | None:
    """Return the zone with the fewest servers of a kind, then the fewest at all."""
    return min(
        zones,
        key=lambda zone: (
            counts[zone, kind],
            counts[zone, "on_demand"] + counts[zone, "cheap"],
            zone,
        ),
        default=None,
    )

"""Shares of teams in the slots of a pool, over all VMs together.

Load pattern: one team sends six times its usual rate, through sixty VMs. At any one VM
it has a request every few seconds and looks like all others. So shares are computed from
the teams' requests at all VMs: those that want less than their share get what they want,
and the others divide the rest by weight (max-min fairness, Bertsekas and Gallager, "Data
Networks", 1992).
"""

import math
from collections.abc import Iterable
from typing import NamedTuple


class TeamDemand(NamedTuple):
    """The slots that a team could use, and its weight."""

    slots: float
    weight: float


def fair_level(slots: float, teams: Iterable[TeamDemand], rest: float = 0.0) -> float:
    """Return the slots per weight to which the largest teams are limited.

    `rest` is what all other teams use, which have fewer requests than those given; they
    get it first. The level is infinite if there are slots for all.
    """
    left = max(0.0, slots - rest)
    ordered = sorted(teams, key=lambda team: team.slots / team.weight)
    weight = sum(team.weight for team in ordered)
    for team in ordered:
        if team.slots * weight > left * team.weight:
            return left / weight
        left -= team.slots
        weight -= team.weight
    return math.inf

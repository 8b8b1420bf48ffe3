"""A choice among servers that many VMs make at the same time with the same view.

Load pattern: a burst of prompts with the same prefix, or a server that states that it
has become fast again, seen by 62 or 195 VMs at once. If each chose the best server it
would get all requests until the next reports.

So a VM reckons with the requests of the same kind that the other VMs place before their
view changes. Water is poured over the servers' costs until these requests are placed: a
server gets as many as bring it to the common level. The VM draws a server by these
numbers, so that all VMs together place about as many there as fit. A VM that is alone,
or a kind that is rare, takes the best server.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple


class Share(NamedTuple):
    """A server's cost, and by how much each further request raises it, in seconds."""

    cost_s: float
    step_s: float


def draw(shares: Sequence[Share], unseen: float, rng: random.Random) -> int:
    """Return the index of a server, of those that `unseen` other requests would also
    go to."""
    order = sorted(range(len(shares)), key=lambda index: shares[index].cost_s)
    filled = fill(shares, order, unseen)
    best = order[0]
    if len(filled) == 1:
        return best
    total = sum(filled.values())
    left = rng.random() * total
    for index, count in filled.items():
        left -= count
        if left <= 0:
            return index
    return best


def fill(
    shares: Sequence[Share], order: Sequence[int], requests: float
) -> dict[int, float]:
    """Return how many of the requests each server gets, cheapest first."""
    if requests <= 0:
        return {order[0]: 0.0}
    per_s = cost_per_s = 0.0
    members: list[int] = []
    for index in order:
        share = shares[index]
        if members and (requests + cost_per_s) / per_s <= share.cost_s:
            break
        members.append(index)
        per_s += 1 / share.step_s
        cost_per_s += share.cost_s / share.step_s
    level_s = (requests + cost_per_s) / per_s
    return {
        index: (level_s - shares[index].cost_s) / shares[index].step_s
        for index in members
    }

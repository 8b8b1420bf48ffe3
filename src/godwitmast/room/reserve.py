"""Slots kept free for urgent requests that have not arrived yet.

Load pattern: a burst of long, less urgent prompts fills all slots, and as it ends a burst
of short, most urgent ones begins. Where slots soon become free nothing needs to be kept.
Where the others hold theirs for longer than an urgent request can wait, the urgent ones
need the slots that their arrivals will occupy before enough others end.
"""

from math import sqrt
from typing import NamedTuple

SPREAD_MARGIN = 2.0
"""Standard deviations above the mean number of urgent requests. That number is nearly
Poisson distributed (M/G/infinity), and exceeds the mean by two in one moment of forty."""


class Flow(NamedTuple):
    """Requests of one or more tiers of all VMs.

    `hold_s` is the mean time for which one holds a slot, `per_s` their arrivals.
    """

    running: float = 0.0
    hold_s: float = 0.0
    per_s: float = 0.0


def arrivals_per_s(others: float, hold_s: float, own_per_s: float) -> float:
    """Return the arrivals at all VMs, from the `others`' requests and this VM's arrivals.

    Reports hold numbers of requests and no rates; by Little's law their arrivals are
    that number over the time each takes. Requests that wait count as well, so that the
    estimate errs towards more while urgent ones wait.
    """
    return own_per_s + (others / hold_s if hold_s > 0 else 0.0)


def reserved_slots(urgent: Flow, less_urgent: Flow, wait_s: float) -> float:
    """Return how many slots less urgent requests leave free for urgent ones.

    `wait_s` is how long an urgent request can wait: what less urgent ones free in that
    time need not be kept.
    """
    mean = urgent.per_s * urgent.hold_s
    needed = mean + SPREAD_MARGIN * sqrt(mean) - urgent.running
    freed = 0.0
    if less_urgent.hold_s > 0:
        freed = max(0.0, wait_s) * less_urgent.running / less_urgent.hold_s
    return max(0.0, needed - freed)

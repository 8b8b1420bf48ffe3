"""When a process makes its periodic checks: those that fall together share a wake-up.

Load pattern: an idle process with some ten periodic checks. Waking up costs far more than
a check that finds nothing to do.
"""

import random

CHECK_GRID_S = 0.25
"""Checks are made at multiples of this time, which is the shortest of their periods."""

PHASE_S = random.random()
"""Differs from process to process, so that those of a machine don't wake up together."""

MIN_WAIT_S = 1e-6
"""A timer may end this much before its time."""


def until_check_s(now: float, period_s: float, phase_s: float | None = None) -> float:
    """Return the time until the next check of a period: at most the period, and less by
    up to CHECK_GRID_S."""
    if period_s < CHECK_GRID_S:
        return period_s
    phase_s = PHASE_S if phase_s is None else phase_s
    wait_s = period_s - (now + period_s - phase_s) % CHECK_GRID_S
    return wait_s if wait_s > MIN_WAIT_S else wait_s + CHECK_GRID_S

"""Which requests a VM still sends to servers while it stops.

Load pattern: a VM is stopped in traffic. Callers whose uploads began before, or that are
on kept connections, have requests whole late in its grace, and others wait in the queue.
Passed on without a look at the time, they would be cut at its end, payments among them
of which nobody could tell then whether they ran. Refused as not run, another VM serves
them at once.
"""

import math

from godwitmast.admission.deadlines import ServiceTimes

UNKNOWN_WORK_S = 5.0
"""Assumed duration of work of which none was measured here."""

ANSWER_MARGIN_S = 0.25
"""Time that an answer needs from its server to its caller, on a busy VM."""

LONG_WORK_FACTOR = 1.25
"""An answer may take longer than 95 of 100 of its kind did, by this factor."""


def work_s(times: ServiceTimes, deadline: float | None, now: float) -> float:
    """Return how long an attempt that starts now may take."""
    known = times.long_hold.value
    expected_s = UNKNOWN_WORK_S if known is None else known * LONG_WORK_FACTOR
    left_s = math.inf if deadline is None else deadline - now
    return min(expected_s, left_s)


def is_too_late(
    times: ServiceTimes, deadline: float | None, ends_at: float, now: float
) -> bool:
    """Return whether an attempt that starts now may outlast a VM that stops."""
    return now + work_s(times, deadline, now) + ANSWER_MARGIN_S > ends_at

"""Which waiting request is let go when the queue is full.

The load is a flood that outgrows memory: targets bound most queues, but a class with
a target of minutes lets thousands wait. If the newest is turned away, whoever fills
the queue first keeps everyone else out, and a flood of drafts turns questions away.
Here the lowest tier gives way, and in it the team with the longest queue for its
weight: longest queue drop (Suter et al., "Buffer Management Schemes for Supporting TCP
in Gigabit Routers with Per-flow Queueing", 1999), which leaves a team that keeps to
its share alone. Of that team the newest goes: it has waited least.
"""

from collections.abc import Iterable

from godwitmast.admission.class_queue import ClassQueue
from godwitmast.types import RequestId

MAX_WAITING = 10_000
"""Requests that one entry keeps waiting: at 1 KB of state and a body of some 10 KB each
about 100 MB, and at 3,000 requests a second over 350 entries, minutes of arrivals."""


def find_shed(queues: Iterable[ClassQueue]) -> tuple[ClassQueue, RequestId]:
    """Return the waiting request that goes first, and its queue.

    Within its tier, a request that ran goes only after all that did not: it has cost
    work already, and cannot be refused as not run.
    """
    waiting = [queue for queue in queues if queue.waiting]
    lowest = max(queue.tier for queue in waiting)
    tier = [queue for queue in waiting if queue.tier == lowest]
    unstarted = [queue for queue in tier if queue.fair.size]
    if unstarted:
        worst = max(unstarted, key=lambda queue: queue.fair.furthest_over().backlog)
        return worst, next(reversed(worst.fair.furthest_over().waiting))
    return tier[0], next(reversed(tier[0].resumed))

"""Load shedding: which waiting request is refused when the queue is full.

It bounds memory in a flood. Targets bound most queues, but a class with a target of
minutes can have thousands of requests waiting. If the newest request were refused,
whoever filled the queue first would keep all others out, and a flood of requests of a
low tier would cause those of a high tier to be refused. So the lowest tier is shed
first, and in it the team with the most waiting requests per weight: longest queue drop
(Suter et al., "Buffer Management Schemes for Supporting TCP in Gigabit Routers with
Per-flow Queueing", 1999), which does not affect a team within its share. That team's
newest request is refused, as it has waited least.
"""

from collections.abc import Iterable

from godwitmast.admission.class_queue import ClassQueue
from godwitmast.types import RequestId

MAX_WAITING = 10_000
"""Maximum number of waiting requests of one entry: with 1 KB of state and a body of
some 10 KB each about 100 MB, and minutes of arrivals at 3,000 requests a second over
350 entries."""


def choose_request_to_shed(
    queues: Iterable[ClassQueue],
) -> tuple[ClassQueue, RequestId]:
    """Return the queue and the id of the waiting request to refuse.

    Within its tier, a request that already ran is chosen only if there is no other:
    work was spent on it, and it cannot be refused as not run.
    """
    waiting = [queue for queue in queues if queue.waiting]
    lowest = max(queue.tier for queue in waiting)
    tier = [queue for queue in waiting if queue.tier == lowest]
    unstarted = [queue for queue in tier if queue.fair.size]
    if unstarted:
        worst = max(
            unstarted, key=lambda queue: queue.fair.find_longest_backlog().backlog
        )
        return worst, next(reversed(worst.fair.find_longest_backlog().waiting))
    return tier[0], next(reversed(tier[0].resumed))

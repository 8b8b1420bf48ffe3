"""Who is interrupted so that a higher tier meets its target.

The load is quick questions that arrive while long drafts hold every place. Places come
free only as fast as drafts end, so that questions wait for tens of seconds and miss a
target of one, although the work that holds them up has minutes to spare. The draft
that began to answer last is cancelled and goes on later from its last token; what is
lost is the reading of its prompt again. A draft without a token yet may still wait
inside its engine: to cancel it would free no place in the batch.

Only a request whose wait is about to end in a refusal interrupts another, and only one
of a lower tier. Without a bound, one draft could be interrupted by every question of an
evening and read its prompt a hundred times without an end.

Entries share servers and do not see each other's queues. One whose places have all gone
to lower tiers of the others has nobody to interrupt; its urgent request goes to a full
server then, as engines serve the highest priority first. Where places come free soon,
requests that engines put before all others go there at once. Others go only to engines
with a fixed number of places, where they take one of a less urgent request or wait; an
engine without would run them beside the rest and slow all of them. What engines put last
stays: it could only wait there.
"""

from typing import NamedTuple

from godwitmast.admission.class_queue import ClassQueue, Job
from godwitmast.admission.pool_queues import PoolQueues
from godwitmast.dispatch.messages import RequestSpec
from godwitmast.types import RequestId

MAX_PREEMPTIONS = 2
"""How often one request is interrupted at most. Each time costs one more reading of its
prompt and answer so far; after the second it runs to its end."""

URGENT_SHARE = 0.6
"""The last part of its wait in which a request may interrupt others. Before it, a place
may still come free by itself."""

MIN_URGENT_S = 0.15
"""Three ticks of the entry, so that the last moment cannot fall between two of them."""

MAX_URGENT_S = 0.5
"""A place of a busy pool comes free within this, so that a request with a minute to
spare need not interrupt anyone seconds before its time."""

SOON_HOLD_S = 6.0
"""Where requests hold their places no longer than this, a full engine of eight frees one
each 0.8 s. One that engines put first does best to wait there from the start, before
the lower tiers of all entries: it interrupts fewer, whose prompts are read again."""


class Preemption(NamedTuple):
    """`victim` gives its place to `request`; it waits already, to be resumed.

    Without a victim here, `request` is to go to a full server, where its priority
    brings it before the lower tiers of other entries.
    """

    victim: RequestSpec | None
    request: RequestSpec


def urgent_at(arrived: float, latest_start: float) -> float:
    """Return from when on a request may interrupt others."""
    share = URGENT_SHARE * (latest_start - arrived)
    return latest_start - min(MAX_URGENT_S, max(MIN_URGENT_S, share))


def most_urgent(queue: ClassQueue) -> RequestId | None:
    """Return the request of a class that has to start first."""
    return queue.urgency[0][1] if queue.urgency else None


def find_victim(pool: PoolQueues, urgent: ClassQueue) -> Job | None:
    """Return who gives way to a class: the lowest tier first, then the last begun.

    The last begun has the least to read again, and the most still to do. What engines
    put before that class is spared: sent on, it would take a place back there.
    """
    for queue in reversed(pool.by_tier):
        if queue.tier <= urgent.tier:
            return None
        spared = queue.order_in_engines < urgent.order_in_engines
        if queue.preemptible and not spared:
            return next(reversed(queue.preemptible.values()))
    return None


def frees_soon(pool: PoolQueues) -> bool:
    """Return whether a full server of the pool frees a place within a moment."""
    hold_s = pool.mean_hold_s()
    return hold_s is not None and hold_s <= SOON_HOLD_S


def may_be_preempted(job: Job) -> bool:
    """Return whether a running request may be interrupted at all.

    One that may not be repeated runs once; one whose answer comes in one piece would
    start from nothing, and its work so far would be wasted. One that the guard against
    starvation started keeps its place.
    """
    request = job.request
    return (
        not job.guarded
        and request.idempotent
        and request.resumable
        and job.preemptions < MAX_PREEMPTIONS
    )

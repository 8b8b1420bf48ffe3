"""Preemption of running requests, so that a higher tier meets its target.

It answers short requests of a high tier that arrive while long answers of a low tier
occupy every place. Places become free only as fast as long answers end, so that the
short requests wait for tens of seconds and miss a target of one second, although the
long answers have minutes to spare. The long answer that sent its first token last is
cancelled and later resumed after its last token; the cost is a second prefill of its
prompt. A request without a token yet may still wait inside its engine, where cancelling
it would free no place in the batch.

Only a request that would otherwise soon be refused may interrupt another, and only one
of a lower tier. The number of preemptions per request is bounded: otherwise one long
answer could be interrupted by every short request of several hours, with a hundred
prefills and no result.

Entries share servers without seeing each other's queues. An entry may have no victim
because all places are held by lower tiers of other entries. It then sends its urgent
request to a full server, because engines run the highest priority first. If places
become free soon, requests that engines run first go to a full server right away. Other
requests go only to engines with a fixed number of places, where they displace a less
urgent request or wait; an engine without that bound would run them beside the rest and
slow all of them. Requests that engines run last stay queued at the entry: in a full
engine they could only wait.
"""

from typing import NamedTuple

from godwitmast.admission.class_queue import ClassQueue, Job
from godwitmast.admission.pool_queues import PoolQueues
from godwitmast.dispatch.messages import RequestSpec
from godwitmast.types import RequestId

MAX_PREEMPTIONS = 2
"""How often one request may be preempted. Each preemption costs another prefill of its
prompt and the answer so far; after the second one the request runs to its end."""

URGENT_SHARE = 0.6
"""The last part of its wait in which a request may interrupt others. Before that, a
place may still become free without a preemption."""

MIN_URGENT_S = 0.15
"""Three ticks of the entry, so that at least one tick falls before the latest start."""

MAX_URGENT_S = 0.5
"""A place of a busy pool becomes free within this time, so that a request with a wait
of a minute does not interrupt others seconds before its latest start."""

SHORT_HOLD_S = 6.0
"""If the mean service time is at most this, a full engine of eight frees a place every
0.8 s. A request that engines run first then does best to wait in the engine from the
start, ahead of the lower tiers of all entries: fewer requests are preempted and
prefilled again."""


class Preemption(NamedTuple):
    """A request to start, and the running request that is cancelled for it.

    The victim is already queued again. Without a victim, `request` goes to a full
    server, where its priority puts it ahead of lower tiers of other entries.
    """

    victim: RequestSpec | None
    request: RequestSpec


def urgent_at(arrived: float, latest_start: float) -> float:
    """Return the time from which a request may interrupt others."""
    share = URGENT_SHARE * (latest_start - arrived)
    return latest_start - min(MAX_URGENT_S, max(MIN_URGENT_S, share))


def most_urgent(queue: ClassQueue) -> RequestId | None:
    """Return the waiting request of a class with the earliest latest start."""
    return queue.urgency[0][1] if queue.urgency else None


def find_victim(pool: PoolQueues, urgent: ClassQueue) -> Job | None:
    """Return the request to preempt for a class, from the lowest tier that has one.

    Of that tier's requests it is the one that sent its first token last: it has the
    least to prefill again and the most still to generate. Requests that engines run
    before that class are spared: once resumed, they would displace that class in an
    engine again.
    """
    for queue in reversed(pool.by_tier):
        if queue.tier <= urgent.tier:
            return None
        spared = queue.effective_engine_priority < urgent.effective_engine_priority
        if queue.preemptible and not spared:
            return next(reversed(queue.preemptible.values()))
    return None


def frees_place_soon(pool: PoolQueues) -> bool:
    """Return whether a full server of the pool soon frees a place."""
    hold_s = pool.mean_hold_s()
    return hold_s is not None and hold_s <= SHORT_HOLD_S


def may_be_preempted(job: Job) -> bool:
    """Return whether a running request may be preempted at all.

    A request that is not idempotent must run only once. One that is not resumable,
    because its answer is sent in one piece, would start over and waste its work so far.
    One started by the starvation guard keeps its place.
    """
    request = job.request
    return (
        not job.started_by_guard
        and request.idempotent
        and request.resumable
        and job.preemptions < MAX_PREEMPTIONS
    )

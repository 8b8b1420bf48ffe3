"""Which class of a pool goes next: strict by tier, but for a guard against starvation.

The load is a burst of a high tier that outlasts every lower tier's patience: an evening
of taproom questions over a long draft. By strict priority the draft never starts. Here
each class that waits earns its `turn_share` of a turn with each dispatch, and goes next
once it has earned a whole one, so that the higher tiers lose that share of the turns
and no more. A class that got no turn for AGED_S goes next as well: on a pool that
starts a request every few seconds, a fiftieth of the turns comes too late.

The guard only orders what waits. It sheds nothing and preempts nothing. What it starts
is not preempted either, or the turn would be taken back as soon as it was given.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

AGED_S = 20.0
"""Seconds without a turn after which a class goes next. No class may be at zero in any
60 s, and its request has to be served within them too: a third for the wait, the rest
for the answer."""


@dataclass(slots=True)
class Turns:
    """What a class has earned, and when it last got a turn."""

    credit: float = 0.0
    last: float = 0.0


class Waiting(Protocol):
    """A class with work waiting, as the guard sees it."""

    @property
    def tier(self) -> int: ...

    @property
    def turn_share(self) -> float: ...

    @property
    def hold_s(self) -> float | None: ...

    @property
    def turns(self) -> Turns: ...


W = TypeVar("W", bound=Waiting)


class Turn(NamedTuple, Generic[W]):
    """The class that goes next; `guarded` if before a higher tier that waits."""

    queue: W
    guarded: bool


def choose_class(waiting: Iterable[W], now: float) -> Turn[W]:
    """Return the class that goes next, and count the turn.

    Among classes of the highest tier the one that waited longest for a turn goes, so
    that none of them needs the guard.
    """
    queues = list(waiting)
    best = min(queues, key=lambda queue: (queue.tier, queue.turns.last))
    for queue in queues:
        queue.turns.credit += queue.turn_share
    owed = [queue for queue in queues if queue.tier > best.tier and is_owed(queue, now)]
    if owed:
        lower = min(owed, key=lambda queue: queue.turns.last)
        lower.turns.credit -= cost_in_turns(lower, best)
        lower.turns.last = now
        return Turn(lower, True)
    best.turns.credit = min(best.turns.credit, 0.0)
    best.turns.last = now
    return Turn(best, False)


def is_owed(queue: Waiting, now: float) -> bool:
    return queue.turns.credit >= 1.0 or now - queue.turns.last >= AGED_S


def cost_in_turns(lower: Waiting, higher: Waiting) -> float:
    """Return how many turns of the higher class a turn of the lower one takes.

    A draft holds its place as long as ten questions do. Counted as one turn, a tenth
    of the turns was more than half of the places.
    """
    if not lower.hold_s or not higher.hold_s:
        return 1.0
    return max(1.0, lower.hold_s / higher.hold_s)


def began_to_wait(turns: Turns, now: float) -> None:
    """Note that a class has work waiting again.

    It starts with no credit and no age, so that an idle class cannot save up turns and
    then hold up the higher tiers in one go.
    """
    turns.credit = min(turns.credit, 0.0)
    turns.last = now

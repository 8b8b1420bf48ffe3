"""Choice of a pool's next class: strict priority by tier, with a starvation guard.

The guard answers a burst of a high tier that outlasts the targets of every lower one,
such as hours of short requests of a high tier while a long answer of a low tier waits:
under strict priority the long answer never starts. Each waiting class earns
`turn_share` of a turn with each dispatch, and starts a request once it has a whole
turn, so that the higher tiers lose that share of the turns and no more. A class without
a turn for AGING_THRESHOLD_S goes next as well: on a pool that starts a request every
few seconds, a fiftieth of the turns is too seldom.

The guard only orders waiting requests; it neither sheds nor preempts. A request that it
started is not preempted either, because that would undo the turn at once.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

AGING_THRESHOLD_S = 20.0
"""Seconds without a turn after which a class goes next. No class may be without an
answer in any 60 s, and that includes serving its request: a third is for the wait, the
rest for the answer."""


@dataclass(slots=True)
class TurnCredit:
    """A class's earned share of a turn; `last` is the time of its last turn."""

    credit: float = 0.0
    last: float = 0.0


class WaitingClass(Protocol):
    """A class with requests waiting, as the starvation guard sees it."""

    @property
    def tier(self) -> int: ...

    @property
    def turn_share(self) -> float: ...

    @property
    def hold_s(self) -> float | None:
        """Mean time for which a request occupies a place; None if not measured."""
        ...

    @property
    def turns(self) -> TurnCredit: ...


W = TypeVar("W", bound=WaitingClass)


class Turn(NamedTuple, Generic[W]):
    """The class that goes next.

    `started_by_guard` is true if the starvation guard put it ahead of a higher tier
    that waits.
    """

    queue: W
    started_by_guard: bool


def choose_class(waiting: Iterable[W], now: float) -> Turn[W]:
    """Return the class that goes next, and count the turn.

    Within the highest tier, the class with the longest time since its last turn goes,
    so that none of them depends on the guard.
    """
    queues = list(waiting)
    best = min(queues, key=lambda queue: (queue.tier, queue.turns.last))
    for queue in queues:
        queue.turns.credit += queue.turn_share
    owed = [
        queue for queue in queues if queue.tier > best.tier and is_owed_turn(queue, now)
    ]
    if owed:
        lower = min(owed, key=lambda queue: queue.turns.last)
        lower.turns.credit -= cost_in_turns(lower, best)
        lower.turns.last = now
        return Turn(lower, True)
    best.turns.credit = min(best.turns.credit, 0.0)
    best.turns.last = now
    return Turn(best, False)


def is_owed_turn(queue: WaitingClass, now: float) -> bool:
    return queue.turns.credit >= 1.0 or now - queue.turns.last >= AGING_THRESHOLD_S


def cost_in_turns(lower: WaitingClass, higher: WaitingClass) -> float:
    """Return how many turns of the higher class a turn of the lower one costs.

    A long answer of a low tier occupies its place as long as ten short requests of a
    high tier. Counted as one turn each, a tenth of the turns would be more than half of
    the places.
    """
    if not lower.hold_s or not higher.hold_s:
        return 1.0
    return max(1.0, lower.hold_s / higher.hold_s)


def reset_turns(turns: TurnCredit, now: float) -> None:
    """Clear earned credit and age of a class that starts to wait again.

    Otherwise an idle class could accumulate turns, and then block the higher tiers for
    all of them in a row.
    """
    turns.credit = min(turns.credit, 0.0)
    turns.last = now

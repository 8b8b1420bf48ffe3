"""The classes of one pool, and what a new request finds ahead of it there."""

from dataclasses import dataclass, field

from godwitmast.admission.class_queue import ClassQueue
from godwitmast.admission.turns import AGED_S
from godwitmast.types import ClassName, TeamName


@dataclass(slots=True)
class PoolQueues:
    """The class queues of one pool, the highest tier first.

    Its methods look at each class, never at each team or request: there are as many
    classes as operators write down.
    """

    classes: dict[ClassName, ClassQueue] = field(default_factory=dict)
    by_tier: list[ClassQueue] = field(default_factory=list)
    waiting: int = 0

    def add_class(self, queue: ClassQueue) -> None:
        self.classes[queue.name] = queue
        self.sort()

    def sort(self) -> None:
        """Put the classes in order again after their tiers changed."""
        self.by_tier = sorted(self.classes.values(), key=lambda q: (q.tier, q.name))

    def mean_hold_s(self) -> float | None:
        """Return how long requests hold a place, over what runs.

        It is None if nothing that was timed runs now: that says nothing of the places
        that there are.
        """
        known = [q for q in self.by_tier if q.hold_s and q.running]
        if not known:
            return None
        places = sum(q.running for q in known)
        return sum(q.running * (q.hold_s or 0.0) for q in known) / places

    def class_rate(self, queue: ClassQueue, now: float) -> float | None:
        """Return how many requests of a class the pool can start in a second.

        That is Little's law over the places that the class can have: all but what
        higher tiers use, and what lower ones hold and may not be interrupted in; of
        those last, as many as come free. It is never less than the guard gives.
        """
        mean_s = self.mean_hold_s()
        if mean_s is None:
            return None
        hold_s = queue.hold_s or mean_s
        places = float(sum(q.running for q in self.by_tier))
        least = max(1 / AGED_S, queue.turn_share * places / hold_s)
        freed = 0.0
        guarded = 0.0
        for other in self.by_tier:
            other_hold_s = other.hold_s or mean_s
            if other.tier < queue.tier:
                places -= other.started.read(now) * other_hold_s
            elif other.tier > queue.tier:
                kept = other.running - len(other.preemptible)
                places -= kept
                freed += kept / other_hold_s
                guarded += other.turn_share if other.waiting else 0.0
        return max(least, (1 - guarded) * (max(0.0, places) / hold_s + freed))

    def wait_s(
        self, queue: ClassQueue, team: TeamName, weight: float, now: float
    ) -> float:
        """Return how long a new request of a team would wait in a class.

        What may be preempted for it counts as free at once. An unmeasured pool is
        taken to be free: it fills, and is then measured.
        """
        rate = self.class_rate(queue, now)
        mean_s = self.mean_hold_s()
        if rate is None or mean_s is None:
            return 0.0
        hold_s = queue.hold_s or mean_s
        ahead = len(queue.resumed) + queue.fair.requests_before(team, weight)
        for other in self.by_tier:
            if other.tier > queue.tier:
                ahead -= len(other.preemptible)
            elif other is not queue:
                ahead += other.waiting * (other.hold_s or mean_s) / hold_s
        return max(0.0, ahead) / rate

"""The classes of one pool, and what a new request finds ahead of it there."""

from dataclasses import dataclass, field

from godwitmast.admission.class_queue import ClassQueue
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

    def start_rate(self) -> float | None:
        """Return how many places a second the pool frees; None if not measured."""
        rate = 0.0
        for queue in self.by_tier:
            if queue.running and queue.times.hold.value:
                rate += queue.running / queue.times.hold.value
        return rate or None

    def class_rate(self, queue: ClassQueue, now: float) -> float | None:
        """Return how many requests of a class the pool starts in a second.

        That is what higher tiers leave, less what the guard gives to lower ones, but
        never less than the guard gives this one.
        """
        rate = self.start_rate()
        if rate is None:
            return None
        higher = sum(q.started.read(now) for q in self.by_tier if q.tier < queue.tier)
        lower = sum(
            q.turn_share for q in self.by_tier if q.tier > queue.tier and q.waiting
        )
        return max(
            (rate - higher) * (1 - lower), rate * queue.turn_share, rate * RATE_FLOOR
        )

    def wait_s(
        self, queue: ClassQueue, team: TeamName, weight: float, now: float
    ) -> float:
        """Return how long a new request of a team would wait in a class.

        What may be preempted for it counts as free at once. An unmeasured pool is
        taken to be free: it fills, and is then measured.
        """
        rate = self.class_rate(queue, now)
        if rate is None:
            return 0.0
        ahead = len(queue.resumed) + queue.fair.requests_before(team, weight)
        for other in self.by_tier:
            if other is queue:
                continue
            if other.tier <= queue.tier:
                ahead += other.waiting
            else:
                ahead -= len(other.preemptible)
        return max(0.0, ahead) / rate


RATE_FLOOR = 0.01
"""The least share of a pool's rate that a class without a turn share is taken to get.
AGED_S gives it a turn now and then; a rate of zero would make every wait endless."""

"""Class queues of one pool, and the wait that a new request can expect there."""

from dataclasses import dataclass, field

from godwitmast.admission.class_queue import ClassQueue
from godwitmast.admission.turns import AGING_THRESHOLD_S
from godwitmast.types import ClassName, PoolName, TeamName


@dataclass(slots=True)
class PoolQueues:
    """Class queues of one pool, sorted by tier, the highest first.

    Methods iterate over classes, of which there are as many as the configuration lists,
    and never over teams or requests.
    """

    name: PoolName
    classes: dict[ClassName, ClassQueue] = field(default_factory=dict)
    by_tier: list[ClassQueue] = field(default_factory=list)
    waiting: int = 0

    def add_class(self, queue: ClassQueue) -> None:
        self.classes[queue.name] = queue
        self.sort()

    def sort(self) -> None:
        """Sort the classes again after their tiers changed."""
        self.by_tier = sorted(self.classes.values(), key=lambda q: (q.tier, q.name))

    def mean_hold_s(self) -> float | None:
        """Return the mean service time in seconds, weighted by running requests.

        None if no class with a known service time has a request running: without one,
        the number of places is unknown.
        """
        known = [q for q in self.by_tier if q.hold_s and q.running]
        if not known:
            return None
        places = sum(q.running for q in known)
        return sum(q.running * (q.hold_s or 0.0) for q in known) / places

    def class_rate(self, queue: ClassQueue, now: float) -> float | None:
        """Return how many requests of a class the pool can start per second.

        This is Little's law over the places available to the class: all places, less
        those that higher tiers use, less those that lower tiers hold without being
        preemptible. The latter count at the rate at which they become free. The result
        is never below the rate that the starvation guard grants.
        """
        mean_s = self.mean_hold_s()
        if mean_s is None:
            return None
        hold_s = queue.hold_s or mean_s
        places = float(sum(q.running for q in self.by_tier))
        min_rate = max(1 / AGING_THRESHOLD_S, queue.turn_share * places / hold_s)
        freed_per_s = 0.0
        guard_share = 0.0
        for other in self.by_tier:
            other_hold_s = other.hold_s or mean_s
            if other.tier < queue.tier:
                places -= other.start_rate.read(now) * other_hold_s
            elif other.tier > queue.tier:
                kept = other.running - len(other.preemptible)
                places -= kept
                freed_per_s += kept / other_hold_s
                guard_share += other.turn_share if other.waiting else 0.0
        return max(
            min_rate, (1 - guard_share) * (max(0.0, places) / hold_s + freed_per_s)
        )

    def wait_s(
        self, queue: ClassQueue, team: TeamName, weight: float, now: float
    ) -> float:
        """Return the expected wait in seconds of a new request of a team in a class.

        Preemptible requests of lower tiers count as free places. A pool without any
        estimate is assumed to have room: it then fills up, and its times become known.
        """
        rate = self.class_rate(queue, now)
        mean_s = self.mean_hold_s()
        if rate is None or mean_s is None:
            return 0.0
        hold_s = queue.hold_s or mean_s
        ahead = len(queue.resumed) + queue.fair.estimate_requests_ahead(team, weight)
        for other in self.by_tier:
            if other.tier > queue.tier:
                ahead -= len(other.preemptible)
            elif other is not queue:
                ahead += other.waiting * (other.hold_s or mean_s) / hold_s
        return max(0.0, ahead) / rate

"""Which waiting requests may start by the slots of all VMs, and who is refused.

Load pattern: bursts above capacity through many VMs, which each fill servers that all of
them share. The class that goes next is chosen as ever; here are left out the classes
and teams that already have what all VMs together leave to them.
"""

from godwitmast.admission.class_queue import ClassQueue, Job
from godwitmast.admission.deadlines import latest_start
from godwitmast.admission.pool_queues import PoolQueues
from godwitmast.admission.returns import Returns
from godwitmast.config.document import Document, RequestClass
from godwitmast.room.control import RoomControl
from godwitmast.room.messages import ClassTimes, HoldCause, RoomNotice
from godwitmast.types import PoolName, RequestId

LATE_START_S = 0.25
"""A start after a longer wait is logged with its cause: the most urgent targets for a
first token are about that long."""

DEFAULT_WAIT_S = 1.0
"""Wait that is assumed for classes without a target for the first token or the whole
answer."""


class RoomGate:
    """The decisions of admission that depend on the slots of all VMs."""

    def __init__(self, document: Document, room: RoomControl) -> None:
        self.room = room
        self.returns = Returns()
        self.update_config(document)

    def update_config(self, document: Document) -> None:
        self.room.update_config(document)

    def is_on(self, pool: PoolName) -> bool:
        return self.room.is_on(pool)

    def next_job(
        self,
        pool: PoolQueues,
        queue: ClassQueue,
        jobs: dict[RequestId, Job],
        now: float,
    ) -> Job | None:
        """Return the request of a class that starts next, None if none may start.

        A request that is about to miss its latest start goes first, else those that ran
        before, else the teams in the order of fair shares without those that have their
        share. While half of the slots are free, a request is not held until it misses
        its caller's deadline.
        """
        urgent = jobs[queue.urgency[0][1]]
        is_urgent = urgent.urgent_at <= now
        times = class_times(pool, now)
        cause = self.room.tier_hold(queue.pool, queue.tier, times, now)
        if cause is not None:
            if self.is_last_chance(urgent, queue, now):
                return urgent
            self.record_held(urgent, queue, cause)
            return None
        if is_urgent and (urgent.has_run or not self.is_team_held(urgent, queue, now)):
            return urgent
        if queue.resumed:
            return next(iter(queue.resumed.values()))
        for request in queue.fair.heads():
            job = jobs[request.request_id]
            if not self.is_team_held(job, queue, now):
                return job
        return None

    def is_team_held(self, job: Job, queue: ClassQueue, now: float) -> bool:
        """Return whether a request waits as its team has its share."""
        request = job.request
        held = self.room.is_team_held(queue.pool, request.team, queue.tier, now)
        if held and self.is_last_chance(job, queue, now):
            return False
        if held:
            self.record_held(job, queue, HoldCause.TEAM)
        return held

    def is_last_chance(self, job: Job, queue: ClassQueue, now: float) -> bool:
        """Return whether a request has to start now, as it may not be refused."""
        is_final = job.start_deadline.by_caller or job.request.deadline is None
        is_due = is_final and job.urgent_at <= now
        return is_due and self.room.is_half_free(queue.pool, now)

    def record_held(self, job: Job, queue: ClassQueue, cause: HoldCause) -> None:
        """Count a request once for each cause that holds it."""
        if job.held_by is not cause:
            job.held_by = cause
            self.room.count(queue.pool, queue.name, f"held_{cause.value}")

    def wait_s(
        self, job: Job, pool: PoolQueues, queue: ClassQueue, now: float
    ) -> float:
        """Return the expected wait of a new request.

        Who returns when told waits without being refused again; who returns earlier has
        to wait until then, unless nobody waits.
        """
        request = job.request
        wait_s = self.room.expected_wait_s(
            request, queue.tier, class_times(pool, now), now
        )
        told = self.returns.find(request, now)
        if told is None or wait_s <= 0:
            return wait_s
        if self.returns.is_early(request, now):
            self.room.count(queue.pool, queue.name, "returned_early")
            deadline = job.request.deadline or job.start_deadline.latest_start
            return deadline - now + told.at - now
        job.returned = True
        self.room.count(queue.pool, queue.name, "returned")
        return 0.0

    def retry_after_s(
        self, job: Job, pool: PoolQueues, queue: ClassQueue, weight: float, now: float
    ) -> float:
        """Return the Retry-After of a refused request, and keep and report it."""
        request = job.request
        times = class_times(pool, now)
        wait_s = self.room.expected_wait_s(request, queue.tier, times, now)
        per_s = self.room.returns_per_s(request, queue.tier, times, now)
        team = queue.fair.team(request.team, weight)
        after_s = self.returns.next_after(request, team, per_s, wait_s, now)
        self.room.count(queue.pool, queue.name, "refused")
        self.report("request_refused", job, queue, wait_s, after_s, now)
        return after_s

    def record_start(self, job: Job, queue: ClassQueue, now: float) -> None:
        """Report a request that started late; its caller need not return again."""
        self.returns.forget(job.request)
        waited_s = now - job.request.arrived
        if job.held_by is not None and waited_s >= LATE_START_S:
            self.room.count(queue.pool, queue.name, "started_late")
            self.report("request_started_late", job, queue, waited_s, None, now)

    def report(
        self,
        event: str,
        job: Job,
        queue: ClassQueue,
        wait_s: float,
        retry_after_s: float | None,
        now: float,
    ) -> None:
        request = job.request
        self.room.notices.append(
            RoomNotice(
                event,
                request.request_id,
                queue.pool,
                request.team,
                queue.name,
                job.held_by.value if job.held_by is not None else None,
                round(wait_s, 3),
                round(retry_after_s, 3) if retry_after_s is not None else None,
                self.room.summary(queue.pool, now, queue.tier),
            )
        )


def class_times(pool: PoolQueues, now: float) -> list[ClassTimes]:
    """Return what was measured of each class of a pool."""
    return [
        ClassTimes(
            queue.tier,
            queue.hold_s,
            wait_of(queue.target, queue),
            queue.arrival_rate.read(now),
            queue.turn_share,
        )
        for queue in pool.by_tier
    ]


def wait_of(target: RequestClass, queue: ClassQueue) -> float:
    """Return how long a request of a class may wait and still meet its target."""
    times = queue.service_times
    if target.first_token_s is not None:
        return latest_start(0.0, target.first_token_s, times.first_token_s())
    if target.completion_s is not None:
        return latest_start(0.0, target.completion_s, times.hold.value or 0.0)
    return DEFAULT_WAIT_S

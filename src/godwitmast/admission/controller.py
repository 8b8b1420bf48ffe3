"""Admission control of one entry: queues, starts, preempts and refuses requests.

It combines the rules of the other modules of this package. No operation iterates over
all teams or all requests: each costs O(classes) plus the logarithm of the number of
waiting requests.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from godwitmast.admission.answer_lengths import AnswerLengths
from godwitmast.admission.class_queue import ClassQueue, Job
from godwitmast.admission.deadlines import (
    RESUMED_WAIT_S,
    StartDeadline,
    find_start_deadline,
    latest_start,
)
from godwitmast.admission.fairness import PROMPT_WEIGHT
from godwitmast.admission.limits import TeamLimits
from godwitmast.admission.pool_queues import PoolQueues
from godwitmast.admission.preemption import (
    Preemption,
    find_victim,
    frees_place_soon,
    may_be_preempted,
    most_urgent,
    urgent_at,
)
from godwitmast.admission.returns import MIN_RETRY_AFTER_S, next_retry_after
from godwitmast.admission.room_gate import RoomGate
from godwitmast.admission.service_reports import (
    ServiceCounter,
    ServiceKey,
    ServiceReport,
)
from godwitmast.admission.shedding import MAX_WAITING, choose_request_to_shed
from godwitmast.admission.turns import choose_class
from godwitmast.config.document import Document, Team
from godwitmast.dispatch.messages import NotRun, RefusalCode, Refuse, RequestSpec
from godwitmast.room.control import RoomControl
from godwitmast.types import ClassName, PoolName, RequestId, TeamName

SETTLE_THRESHOLD_TOKENS = 64
"""A running answer is charged again once it exceeds its charge by this many tokens.
Charged token by token, a stream would move its team in the sorted order 30 times a
second."""

DEFAULT_START_RATE_PER_S = 1.0
"""Assumed start rate of a pool that has not completed an answer yet."""


class EngineOrderRange(NamedTuple):
    """Values of `effective_engine_priority` of the most and least urgent classes."""

    first: int
    last: int


DEFAULT_TEAM = Team()
"""For requests whose team was removed from the configuration while they were open."""


class Admission:
    """Requests of this entry that wait or run, and the order in which they start.

    `waiting` counts the waiting requests of all pools.
    """

    def __init__(
        self,
        document: Document,
        seed: int = 0,
        max_waiting: int = MAX_WAITING,
        room: RoomControl | None = None,
    ) -> None:
        self.document = document
        self.engine_order_range = find_engine_order_range(document)
        self.max_waiting = max_waiting
        self.random = random.Random(seed)
        self.jobs: dict[RequestId, Job] = {}
        self.pools: dict[str, PoolQueues] = {}
        self.limits = TeamLimits()
        self.lengths = AnswerLengths()
        self.service_counter = ServiceCounter()
        self.waiting = 0
        self.room = room or RoomControl(document, lambda pool: [], lambda: 0)
        self.gate = RoomGate(document, self.room)

    def update_config(self, document: Document) -> None:
        """Apply a new configuration; waiting requests keep position and deadline."""
        self.document = document
        self.engine_order_range = find_engine_order_range(document)
        self.gate.update_config(document)
        for pool in self.pools.values():
            for queue in pool.by_tier:
                queue.target = document.classes.get(queue.name, queue.target)
            pool.sort()

    def offer(self, request: RequestSpec, now: float) -> list[Refuse]:
        """Queue the request, or refuse it; return the refusals that follow.

        The refused requests are either the new one or waiting ones that were shed for
        it. They are removed from the queues here. An empty list means that the request
        was queued.
        """
        team = self.team_config(request.team)
        queue = self.queue_for(request)
        wait_s = self.limits.wait_s(
            request.team, team, queue.service_times.hold.value, now
        )
        if wait_s > 0:
            retry_after_s = self.limits.next_retry_after(
                request.team, team, wait_s, now
            )
            return [build_refusal(request, RefusalCode.TEAM_LIMIT, retry_after_s)]
        queue.arrival_rate.add(now)
        job = self.make_job(request, queue, now)
        late_s = self.lateness_s(job, queue, now)
        if late_s > 0:
            return [self.make_refusal(job, queue, late_s, now)]
        self.jobs[request.request_id] = job
        self.limits.record_admitted(request.team, team, now)
        key = ServiceKey(request.team, request.class_name, request.pool)
        self.service_counter.add(key, 1, 0.0)
        queue.add(job, team.weight, now)
        self.room.record_waiting(request, queue.tier, now)
        self.adjust_waiting(queue, 1)
        return self.shed(now)

    def make_job(self, request: RequestSpec, queue: ClassQueue, now: float) -> Job:
        tokens = self.lengths.estimate_tokens(
            request.team, request.class_name, request.max_tokens
        )
        start_deadline = find_start_deadline(
            request, queue.target, queue.service_times, tokens, now
        )
        charged_tokens = tokens + PROMPT_WEIGHT * request.prompt_tokens
        return Job(
            request,
            start_deadline,
            charged_tokens,
            urgent_at(now, start_deadline.latest_start),
        )

    def lateness_s(self, job: Job, queue: ClassQueue, now: float) -> float:
        """Return how many seconds too late a new request would start; 0 if in time."""
        request = job.request
        if request.deadline is not None and request.deadline <= now:
            return MIN_RETRY_AFTER_S
        pool = self.pools[request.pool]
        if self.gate.is_on(request.pool):
            wait_s = self.gate.wait_s(job, pool, queue, now)
        else:
            weight = self.team_config(request.team).weight
            wait_s = pool.wait_s(queue, request.team, weight, now)
        if wait_s <= 0:
            return 0.0
        latest = job.start_deadline.latest_start
        if self.gate.is_on(request.pool):
            latest = last_start(job, queue, now)
        return max(0.0, now + wait_s - latest)

    def shed(self, now: float) -> list[Refuse]:
        """Refuse one waiting request if the queues exceed `max_waiting`."""
        if self.waiting <= self.max_waiting:
            return []
        queues = (q for pool in self.pools.values() for q in pool.by_tier)
        queue, request_id = choose_request_to_shed(queues)
        return [self.refuse_waiting(self.jobs[request_id], now)]

    def refuse_expired(self, now: float) -> list[Refuse]:
        """Refuse waiting requests that are past their latest start."""
        refusals = []
        for pool in self.pools.values():
            for queue in pool.by_tier:
                while queue.urgency and queue.urgency[0][0] <= now:
                    job = self.jobs[queue.urgency[0][1]]
                    if self.may_wait_on(job, queue, now):
                        self.extend_wait(job, queue, now)
                    else:
                        refusals.append(self.refuse_waiting(job, now))
        return refusals

    def may_wait_on(self, job: Job, queue: ClassQueue, now: float) -> bool:
        """Return whether a request that misses its target may wait until its deadline."""
        if not self.gate.is_on(queue.pool) or job.start_deadline.by_caller:
            return False
        deadline = job.request.deadline
        return deadline is not None and deadline > now

    def extend_wait(self, job: Job, queue: ClassQueue, now: float) -> None:
        """Let a request that misses its target start as long as its caller waits.

        It goes behind the requests of its team that can still meet theirs.
        """
        request = job.request
        queue.urgency.remove(job.latest_start_key)
        latest = last_start(job, queue, now)
        job.start_deadline = StartDeadline(latest, by_caller=True)
        job.urgent_at = urgent_at(now, latest)
        queue.urgency.add(job.latest_start_key)
        if request.request_id not in queue.resumed:
            queue.fair.move_to_end(request)

    def refuse_waiting(self, job: Job, now: float) -> Refuse:
        """Remove a waiting request and return its refusal."""
        queue = self.queue_for(job.request)
        self.remove(job.request)
        self.record_end(job.request, now, completed=False)
        return self.make_refusal(job, queue, 0.0, now)

    def make_refusal(
        self, job: Job, queue: ClassQueue, late_s: float, now: float
    ) -> Refuse:
        """Return the refusal of a request that will not be run."""
        request = job.request
        code = (
            RefusalCode.DEADLINE if job.start_deadline.by_caller else RefusalCode.SHED
        )
        weight = self.team_config(request.team).weight
        if self.gate.is_on(request.pool):
            pool = self.pools[request.pool]
            after_s = self.gate.retry_after_s(job, pool, queue, weight, now)
            return build_refusal(request, code, after_s)
        team_queue = queue.fair.team(request.team, weight)
        rate = (
            self.pools[request.pool].class_rate(queue, now) or DEFAULT_START_RATE_PER_S
        )
        share = weight / max(weight, queue.fair.active_weight)
        retry_after_s = next_retry_after(
            team_queue, rate * share, late_s, now, self.random
        )
        return build_refusal(request, code, retry_after_s)

    def pop_next(self, pool_name: str, now: float) -> RequestSpec | None:
        """Remove and return the request of a pool that starts next."""
        pool = self.pools.get(pool_name)
        if pool is None or not pool.waiting:
            return None
        if self.gate.is_on(pool.name):
            return self.pop_by_room(pool, now)
        queue, started_by_guard = choose_class(
            (q for q in pool.by_tier if q.waiting), now
        )
        job = self.jobs[queue.peek()]
        job.started_by_guard = job.started_by_guard or started_by_guard
        return self.start_next(queue, now)

    def pop_by_room(self, pool: PoolQueues, now: float) -> RequestSpec | None:
        """Remove and return the request that starts next by the slots of all VMs."""
        next_jobs = {
            queue.name: job
            for queue in pool.by_tier
            if queue.waiting
            and (job := self.gate.next_job(pool, queue, self.jobs, now))
        }
        if not next_jobs:
            return None
        queue, started_by_guard = choose_class(
            (queue for queue in pool.by_tier if queue.name in next_jobs), now
        )
        job = next_jobs[queue.name]
        job.started_by_guard = job.started_by_guard or started_by_guard
        return self.start_by_room(job, queue, now)

    def start_by_room(self, job: Job, queue: ClassQueue, now: float) -> RequestSpec:
        """Remove and return a waiting request that the room of all VMs lets start."""
        if job.request.request_id not in queue.resumed:
            queue.fair.advance_virtual_time()
        return self.start(job, queue, now)

    def start_next(self, queue: ClassQueue, now: float) -> RequestSpec:
        """Remove and return a class's next request, in the order of fair shares."""
        job = self.jobs[queue.peek()]
        if not queue.resumed:
            queue.fair.advance_virtual_time()
        return self.start(job, queue, now)

    def preempt(
        self,
        pool_name: str,
        now: float,
        may_overcommit: bool = False,
        engine_queues_excess: bool = False,
    ) -> Preemption | None:
        """Return a request that is about to miss its latest start, and its victim.

        The victim is queued again, ahead of the requests of its class that never ran.
        With `may_overcommit` the caller has a server that takes one request above its
        limit. A request that engines run first is then returned without a victim, if
        places become free soon or if there is no victim. With `engine_queues_excess`
        that server has a fixed number of places, so that one more request does not slow
        those that run there; any request but those that engines run last may then go
        without a victim.
        """
        pool = self.pools.get(pool_name)
        if pool is None or not pool.waiting:
            return None
        for queue in pool.by_tier:
            request_id = most_urgent(queue)
            if request_id is None:
                continue
            job = self.jobs[request_id]
            by_room = self.gate.is_on(pool.name)
            if by_room:
                allowed = self.gate.next_job(pool, queue, self.jobs, now)
                if allowed is None:
                    continue
                job = allowed
            is_first = queue.effective_engine_priority <= self.engine_order_range.first
            is_last = queue.effective_engine_priority >= self.engine_order_range.last
            if may_overcommit and is_first and frees_place_soon(pool):
                if by_room:
                    return Preemption(None, self.start_by_room(job, queue, now))
                return Preemption(None, self.start_next(queue, now))
            if job.urgent_at > now:
                continue
            victim = find_victim(pool, queue)
            if victim is not None:
                victim.preemptions += 1
                self.requeue(victim.request, now)
                return Preemption(victim.request, self.start(job, queue, now))
            may_go_alone = is_first or (engine_queues_excess and not is_last)
            if may_overcommit and may_go_alone:
                return Preemption(None, self.start(job, queue, now))
        return None

    def start(self, job: Job, queue: ClassQueue, now: float) -> RequestSpec:
        """Remove a waiting request from its queue and count it as running."""
        request = job.request
        self.remove(request)
        if self.gate.is_on(queue.pool):
            self.gate.record_start(job, queue, now)
        if not job.is_charged:
            job.is_charged = True
            self.charge(job, queue, job.charged_tokens, now)
        job.starts += 1
        job.started_at = now
        job.first_token_at = None
        queue.running += 1
        queue.start_rate.add(now)
        self.room.record_running(request, queue.tier)
        return request

    def undo_start(self, request: RequestSpec) -> None:
        """Count a request that no server accepted as not started.

        The caller queues it again by `requeue`, as a request that did not run.
        """
        job = self.jobs[request.request_id]
        job.starts -= 1
        self.mark_stopped(job, self.queue_for(request))

    def requeue(self, request: RequestSpec, now: float) -> None:
        """Queue a request again whose attempt was cancelled or failed.

        It goes ahead of the requests of its class that never ran. If it never ran
        either, it keeps its latest start.
        """
        job = self.jobs[request.request_id]
        queue = self.queue_for(request)
        self.mark_stopped(job, queue)
        if job.has_run and request.deadline is not None:
            job.start_deadline = StartDeadline(request.deadline, by_caller=True)
        elif job.has_run:
            job.start_deadline = StartDeadline(now + RESUMED_WAIT_S)
        job.urgent_at = urgent_at(now, job.start_deadline.latest_start)
        queue.add_resumed(job, now)
        self.room.record_waiting(request, queue.tier, now)
        self.adjust_waiting(queue, 1)

    def mark_awaiting_retry(self, request: RequestSpec) -> None:
        """Count a request as not running while its caller delays the retry.

        It must not be chosen as a victim meanwhile, because it occupies no place.
        """
        self.mark_stopped(self.jobs[request.request_id], self.queue_for(request))

    def remove(self, request: RequestSpec) -> None:
        """Remove a waiting request from its queue."""
        queue = self.queue_for(request)
        queue.remove(self.jobs[request.request_id])
        self.room.remove(request)
        self.adjust_waiting(queue, -1)

    def record_tokens(
        self, request: RequestSpec, count: int, now: float, may_move: bool = True
    ) -> None:
        """Count tokens of a running answer.

        `may_move` says whether the request may continue on another server. A request
        that may not is never preempted, as it could not be resumed.
        """
        job = self.jobs[request.request_id]
        queue = self.queue_for(request)
        if job.first_token_at is None and job.started_at is not None:
            job.first_token_at = now
            queue.service_times.first_token.add(now - job.started_at)
            is_model = request.pool in self.document.models
            if may_move and is_model and may_be_preempted(job):
                queue.preemptible[request.request_id] = job
        job.tokens += count
        excess_tokens = self.used_tokens(job) - job.charged_tokens
        if excess_tokens >= SETTLE_THRESHOLD_TOKENS:
            self.charge(job, queue, excess_tokens, now)
            job.charged_tokens += excess_tokens

    def record_end(self, request: RequestSpec, now: float, completed: bool) -> None:
        """Remove a request that is not waiting; `completed` if its answer was."""
        job = self.jobs.pop(request.request_id)
        queue = self.queue_for(request)
        self.limits.record_ended(request.team)
        if completed:
            self.update_estimates(job, queue, now)
        self.mark_stopped(job, queue)
        if job.is_charged:
            self.charge(job, queue, self.used_tokens(job) - job.charged_tokens, now)

    def update_estimates(self, job: Job, queue: ClassQueue, now: float) -> None:
        """Add the times and the length of a completed answer to the estimates."""
        request = job.request
        self.lengths.add(request.team, request.class_name, job.tokens)
        if job.starts > 1 or job.started_at is None:
            return
        first_token_s = None
        if job.first_token_at is not None:
            first_token_s = job.first_token_at - job.started_at
        queue.service_times.record_answer(
            now - job.started_at, first_token_s, job.tokens
        )

    def mark_stopped(self, job: Job, queue: ClassQueue) -> None:
        """Count a request as no longer running."""
        if job.started_at is None:
            return
        job.started_at = None
        self.room.remove(job.request)
        queue.running -= 1
        queue.preemptible.pop(job.request.request_id, None)

    def charge(self, job: Job, queue: ClassQueue, tokens: float, now: float) -> None:
        """Charge tokens to the team's fair share and limit; report them to peers."""
        request = job.request
        queue.fair.charge(request.team, tokens)
        self.limits.charge_tokens(
            request.team, self.team_config(request.team), tokens, now
        )
        key = ServiceKey(request.team, request.class_name, request.pool)
        self.service_counter.add(key, 0, tokens)

    def used_tokens(self, job: Job) -> float:
        """Return the tokens that a request has used so far, prompt included."""
        return job.tokens + PROMPT_WEIGHT * job.request.prompt_tokens

    def pop_service_reports(self) -> list[ServiceReport]:
        """Return and reset what this entry served since the last call."""
        return self.service_counter.pop_reports()

    def apply_peer_service(self, report: ServiceReport, now: float) -> None:
        """Charge what another entry served to the team's fair share and limits."""
        key = report.key
        if key.class_name not in self.document.classes:
            return
        team = self.team_config(key.team)
        queue = self.find_queue(key.pool, key.class_name)
        queue.fair.charge_remote(key.team, report.tokens, team.weight)
        self.limits.charge_requests(key.team, team, report.requests, now)
        self.limits.charge_tokens(key.team, team, report.tokens, now)

    def waiting_pools(self) -> Iterable[str]:
        return [name for name, pool in self.pools.items() if pool.waiting]

    def team_config(self, name: TeamName) -> Team:
        return self.document.teams.get(name, DEFAULT_TEAM)

    def queue_for(self, request: RequestSpec) -> ClassQueue:
        return self.find_queue(request.pool, request.class_name)

    def find_queue(self, pool_name: PoolName, class_name: ClassName) -> ClassQueue:
        """Return the queue of a class on a pool; create it on first use."""
        pool = self.pools.get(pool_name)
        if pool is None:
            pool = self.pools[pool_name] = PoolQueues(pool_name)
        queue = pool.classes.get(class_name)
        if queue is None:
            target = self.document.classes[class_name]
            queue = ClassQueue(class_name, pool_name, target)
            pool.add_class(queue)
        return queue

    def adjust_waiting(self, queue: ClassQueue, change: int) -> None:
        self.pools[queue.pool].waiting += change
        self.waiting += change


def last_start(job: Job, queue: ClassQueue, now: float) -> float:
    """Return the latest start with which the caller still gets a whole answer.

    Without a deadline of the caller, it is the one that meets the targets.
    """
    deadline = job.request.deadline
    if deadline is None or job.start_deadline.by_caller:
        return job.start_deadline.latest_start
    tokens = job.charged_tokens - PROMPT_WEIGHT * job.request.prompt_tokens
    return latest_start(now, deadline - now, queue.service_times.answer_s(tokens))


def find_engine_order_range(document: Document) -> EngineOrderRange:
    """Return the smallest and largest `effective_engine_priority` of all classes."""
    orders = [item.effective_engine_priority for item in document.classes.values()]
    return EngineOrderRange(min(orders, default=1), max(orders, default=1))


def build_refusal(
    request: RequestSpec, code: RefusalCode, retry_after_s: float
) -> Refuse:
    """Return a refusal marked as not run.

    The caller corrects `not_run` if an earlier attempt of the request may have run.
    """
    return Refuse(request.request_id, code, NotRun.TRUE, retry_after_s)

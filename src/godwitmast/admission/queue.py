"""Admission: who is let in, who waits, who is turned away and who gives way.

This joins the decisions of the modules beside it. No step looks at all teams or at all
requests: each costs the number of classes, and the logarithm of what waits.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from godwitmast.admission.class_queue import ClassQueue, Job
from godwitmast.admission.deadlines import RESUMED_WAIT_S, Slack, find_slack
from godwitmast.admission.fairness import PROMPT_WEIGHT
from godwitmast.admission.lengths import AnswerLengths
from godwitmast.admission.limits import TeamLimits
from godwitmast.admission.pool_queues import PoolQueues
from godwitmast.admission.preemption import (
    Preemption,
    find_victim,
    frees_soon,
    may_be_preempted,
    most_urgent,
    urgent_at,
)
from godwitmast.admission.returns import MIN_RETRY_S, next_return
from godwitmast.admission.service import ServiceCounter, ServiceKey, ServiceReport
from godwitmast.admission.shedding import MAX_WAITING, find_shed
from godwitmast.admission.turns import choose_class
from godwitmast.config.document import Document, Team
from godwitmast.dispatch.messages import NotRun, RefusalCode, Refuse, RequestSpec
from godwitmast.types import ClassName, PoolName, RequestId, TeamName

SETTLE_TOKENS = 64
"""Tokens past its estimate after which a running answer is charged for more. At one
token each, a stream would move its team in the order 30 times a second."""

UNMEASURED_RATE = 1.0
"""Requests a second that a pool is taken to start before any answer was timed."""


class EngineOrders(NamedTuple):
    """The most and the least urgent number that engines order requests by."""

    first: int
    last: int


NO_TEAM = Team()
"""For requests that outlive their team's entry in the configuration."""


class Admission:
    """What waits, and in which order it goes."""

    def __init__(
        self, document: Document, seed: int = 0, max_waiting: int = MAX_WAITING
    ) -> None:
        self.document = document
        self.engine_orders = find_engine_orders(document)
        self.max_waiting = max_waiting
        self.random = random.Random(seed)
        self.jobs: dict[RequestId, Job] = {}
        self.pools: dict[str, PoolQueues] = {}
        self.limits = TeamLimits()
        self.lengths = AnswerLengths()
        self.served = ServiceCounter()
        self.waiting = 0

    def update_config(self, document: Document) -> None:
        """Take a configuration; what waits keeps its place and its deadline."""
        self.document = document
        self.engine_orders = find_engine_orders(document)
        for pool in self.pools.values():
            for queue in pool.by_tier:
                queue.target = document.classes.get(queue.name, queue.target)
            pool.sort()

    def offer(self, request: RequestSpec, now: float) -> list[Refuse]:
        """Let the request in, or not; return who is refused.

        That is the request itself, or requests that waited and give way to it, which
        are forgotten here. An empty list means that it waits.
        """
        team = self.team(request.team)
        queue = self.queue(request)
        wait = self.limits.wait(request.team, team, queue.times.hold.value, now)
        if wait > 0:
            after = self.limits.next_return(request.team, team, wait, now)
            return [refuse(request, RefusalCode.TEAM_LIMIT, after)]
        job = self.make_job(request, queue, now)
        late_s = self.lateness(job, queue, now)
        if late_s > 0:
            return [self.give_up(job, queue, late_s, now)]
        self.jobs[request.request_id] = job
        self.limits.opened(request.team, team, now)
        key = ServiceKey(request.team, request.class_name, request.pool)
        self.served.add(key, 1, 0.0)
        queue.add(job, team.weight, now)
        self.count_waiting(queue, 1)
        return self.shed(now)

    def make_job(self, request: RequestSpec, queue: ClassQueue, now: float) -> Job:
        tokens = self.lengths.guess(
            request.team, request.class_name, request.max_tokens
        )
        slack = find_slack(request, queue.target, queue.times, tokens, now)
        charged = tokens + PROMPT_WEIGHT * request.prompt_tokens
        return Job(request, slack, charged, urgent_at(now, slack.latest_start))

    def lateness(self, job: Job, queue: ClassQueue, now: float) -> float:
        """Return by how much a new request would start too late; 0 if it would not."""
        request = job.request
        if request.deadline is not None and request.deadline <= now:
            return MIN_RETRY_S
        weight = self.team(request.team).weight
        wait_s = self.pools[request.pool].wait_s(queue, request.team, weight, now)
        if wait_s <= 0:
            return 0.0
        return max(0.0, now + wait_s - job.slack.latest_start)

    def shed(self, now: float) -> list[Refuse]:
        """Refuse what no longer fits, after a request was queued."""
        if self.waiting <= self.max_waiting:
            return []
        queues = (q for pool in self.pools.values() for q in pool.by_tier)
        queue, request_id = find_shed(queues)
        return [self.turn_away(self.jobs[request_id], now)]

    def expire(self, now: float) -> list[Refuse]:
        """Refuse what waits and has become too late to start."""
        refusals = []
        for pool in self.pools.values():
            for queue in pool.by_tier:
                while queue.urgency and queue.urgency[0][0] <= now:
                    job = self.jobs[queue.urgency[0][1]]
                    refusals.append(self.turn_away(job, now))
        return refusals

    def turn_away(self, job: Job, now: float) -> Refuse:
        """Forget a waiting request and return its refusal."""
        queue = self.queue(job.request)
        self.remove(job.request)
        self.ended(job.request, now, whole=False)
        return self.give_up(job, queue, 0.0, now)

    def give_up(self, job: Job, queue: ClassQueue, late_s: float, now: float) -> Refuse:
        """Return the refusal of a request that will not be run."""
        request = job.request
        code = RefusalCode.DEADLINE if job.slack.own_deadline else RefusalCode.SHED
        weight = self.team(request.team).weight
        team = queue.fair.team(request.team, weight)
        rate = self.pools[request.pool].class_rate(queue, now) or UNMEASURED_RATE
        share = weight / max(weight, queue.fair.active_weight)
        after = next_return(team, rate * share, late_s, now, self.random)
        return refuse(request, code, after)

    def next(self, pool_name: str, now: float) -> RequestSpec | None:
        """Take the request of a pool that goes next."""
        pool = self.pools.get(pool_name)
        if pool is None or not pool.waiting:
            return None
        queue, guarded = choose_class((q for q in pool.by_tier if q.waiting), now)
        job = self.jobs[queue.peek()]
        job.guarded = job.guarded or guarded
        return self.start_next(queue, now)

    def start_next(self, queue: ClassQueue, now: float) -> RequestSpec:
        """Take out the request of a class whose team's turn it is."""
        job = self.jobs[queue.peek()]
        if not queue.resumed:
            queue.fair.advance()
        return self.start(job, queue, now)

    def preempt(
        self,
        pool_name: str,
        now: float,
        may_overcommit: bool = False,
        excess_waits: bool = False,
    ) -> Preemption | None:
        """Take a request that is about to be too late, and who gives way to it.

        The one that gives way waits again, before those of its class that never ran.
        Where the caller has a server that takes one more than its limit, a request that
        engines put first comes alone if places come free soon, or if nobody can give way.
        With `excess_waits` that server has a fixed number of places, so that one more
        does not slow what runs there: then any but those that engines put last does.
        """
        pool = self.pools.get(pool_name)
        if pool is None or not pool.waiting:
            return None
        for queue in pool.by_tier:
            request_id = most_urgent(queue)
            if request_id is None:
                continue
            job = self.jobs[request_id]
            is_first = queue.order_in_engines <= self.engine_orders.first
            is_last = queue.order_in_engines >= self.engine_orders.last
            if may_overcommit and is_first and frees_soon(pool):
                return Preemption(None, self.start_next(queue, now))
            if job.urgent_at > now:
                continue
            victim = find_victim(pool, queue)
            if victim is not None:
                victim.preemptions += 1
                self.put_back(victim.request, now)
                return Preemption(victim.request, self.start(job, queue, now))
            may_go_alone = is_first or (excess_waits and not is_last)
            if may_overcommit and may_go_alone:
                return Preemption(None, self.start(job, queue, now))
        return None

    def start(self, job: Job, queue: ClassQueue, now: float) -> RequestSpec:
        """Take a waiting request out to be run."""
        request = job.request
        self.remove(request)
        if not job.is_charged:
            job.is_charged = True
            self.charge(job, queue, job.charged, now)
        job.starts += 1
        job.started_at = now
        job.first_token_at = None
        queue.running += 1
        queue.started.add(now)
        return request

    def unplaced(self, request: RequestSpec) -> None:
        """Note that no server took a request that was to be started.

        It comes back by `put_back`, as one that did not run.
        """
        job = self.jobs[request.request_id]
        job.starts -= 1
        self.stop(job, self.queue(request))

    def put_back(self, request: RequestSpec, now: float) -> None:
        """Queue a request again whose attempt was cancelled or failed.

        It goes before those of its class that never ran. One that never ran either
        keeps the last moment for its start.
        """
        job = self.jobs[request.request_id]
        queue = self.queue(request)
        self.stop(job, queue)
        if job.has_run and request.deadline is not None:
            job.slack = Slack(request.deadline, own_deadline=True)
        elif job.has_run:
            job.slack = Slack(now + RESUMED_WAIT_S)
        job.urgent_at = urgent_at(now, job.slack.latest_start)
        queue.add_resumed(job, now)
        self.count_waiting(queue, 1)

    def hold(self, request: RequestSpec) -> None:
        """Count out a request that runs no more and waits outside for its retry.

        It must not be chosen to give way to another: it has no place to give.
        """
        self.stop(self.jobs[request.request_id], self.queue(request))

    def remove(self, request: RequestSpec) -> None:
        """Take a request out of those that wait."""
        queue = self.queue(request)
        queue.remove(self.jobs[request.request_id])
        self.count_waiting(queue, -1)

    def tokens_came(
        self, request: RequestSpec, count: int, now: float, may_move: bool = True
    ) -> None:
        """Count tokens of a running answer.

        `may_move` tells whether the request may run on another server after this one:
        what may not keeps its place, as it could never be resumed.
        """
        job = self.jobs[request.request_id]
        queue = self.queue(request)
        if job.first_token_at is None and job.started_at is not None:
            job.first_token_at = now
            queue.times.first_token.add(now - job.started_at)
            is_model = request.pool in self.document.models
            if may_move and is_model and may_be_preempted(job):
                queue.preemptible[request.request_id] = job
        job.tokens += count
        over = self.used(job) - job.charged
        if over >= SETTLE_TOKENS:
            self.charge(job, queue, over, now)
            job.charged += over

    def ended(self, request: RequestSpec, now: float, whole: bool) -> None:
        """Forget a request that is not waiting; `whole` if its answer was."""
        job = self.jobs.pop(request.request_id)
        queue = self.queue(request)
        self.limits.closed(request.team)
        if whole:
            self.learn(job, queue, now)
        self.stop(job, queue)
        if job.is_charged:
            self.charge(job, queue, self.used(job) - job.charged, now)

    def learn(self, job: Job, queue: ClassQueue, now: float) -> None:
        """Take the times and the length of a whole answer into the estimates."""
        request = job.request
        self.lengths.add(request.team, request.class_name, job.tokens)
        if job.starts > 1 or job.started_at is None:
            return
        first_token_s = None
        if job.first_token_at is not None:
            first_token_s = job.first_token_at - job.started_at
        queue.times.finished(now - job.started_at, first_token_s, job.tokens)

    def stop(self, job: Job, queue: ClassQueue) -> None:
        """Count out a request that ran."""
        if job.started_at is None:
            return
        job.started_at = None
        queue.running -= 1
        queue.preemptible.pop(job.request.request_id, None)

    def charge(self, job: Job, queue: ClassQueue, tokens: float, now: float) -> None:
        """Count tokens for the request's team: its share, its limit, and peers'."""
        request = job.request
        queue.fair.charge(request.team, tokens)
        self.limits.use_tokens(request.team, self.team(request.team), tokens, now)
        key = ServiceKey(request.team, request.class_name, request.pool)
        self.served.add(key, 0, tokens)

    def used(self, job: Job) -> float:
        """Return what a request has used so far, in tokens."""
        return job.tokens + PROMPT_WEIGHT * job.request.prompt_tokens

    def take_service(self) -> list[ServiceReport]:
        """Return what was served here since the last call, for the other entries."""
        return self.served.take()

    def peer_service(self, report: ServiceReport, now: float) -> None:
        """Count what another entry served, in shares and in limits."""
        key = report.key
        if key.class_name not in self.document.classes:
            return
        team = self.team(key.team)
        queue = self.find_queue(key.pool, key.class_name)
        queue.fair.charge_elsewhere(key.team, report.tokens, team.weight)
        self.limits.use_requests(key.team, team, report.requests, now)
        self.limits.use_tokens(key.team, team, report.tokens, now)

    def waiting_pools(self) -> Iterable[str]:
        return [name for name, pool in self.pools.items() if pool.waiting]

    def team(self, name: TeamName) -> Team:
        return self.document.teams.get(name, NO_TEAM)

    def queue(self, request: RequestSpec) -> ClassQueue:
        return self.find_queue(request.pool, request.class_name)

    def find_queue(self, pool_name: PoolName, class_name: ClassName) -> ClassQueue:
        """Return the queue of a class on a pool, made when first asked for."""
        pool = self.pools.get(pool_name)
        if pool is None:
            pool = self.pools[pool_name] = PoolQueues()
        queue = pool.classes.get(class_name)
        if queue is None:
            target = self.document.classes[class_name]
            queue = ClassQueue(class_name, pool_name, target)
            pool.add_class(queue)
        return queue

    def count_waiting(self, queue: ClassQueue, change: int) -> None:
        self.pools[queue.pool].waiting += change
        self.waiting += change


def find_engine_orders(document: Document) -> EngineOrders:
    """Return the first and the last of what engines order the classes' requests by."""
    orders = [item.order_in_engines for item in document.classes.values()]
    return EngineOrders(min(orders, default=1), max(orders, default=1))


def refuse(request: RequestSpec, code: RefusalCode, after_s: float) -> Refuse:
    """Return a refusal; who turns away what ran before corrects `not_run`."""
    return Refuse(request.request_id, code, NotRun.TRUE, after_s)

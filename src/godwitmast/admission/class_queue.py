"""Queue, running count and service times of one class on one pool."""

from collections import OrderedDict
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from godwitmast.admission.deadlines import ServiceTimes, StartDeadline
from godwitmast.admission.estimates import DecayingRate
from godwitmast.admission.fairness import FairQueue
from godwitmast.admission.turns import TurnCredit, reset_turns
from godwitmast.config.document import RequestClass
from godwitmast.dispatch.messages import RequestSpec
from godwitmast.room.messages import HoldCause
from godwitmast.types import ClassName, PoolName, RequestId


@dataclass(slots=True)
class Job:
    """A queued or running request, with its charge and its state.

    `started_by_guard` is true once the starvation guard has started the request; it is
    then no longer preempted. `held_by` is why it last did not start while it waited,
    `returned` says that its caller was refused before and came back when told.
    """

    request: RequestSpec
    start_deadline: StartDeadline
    charged_tokens: float
    urgent_at: float
    started_at: float | None = None
    first_token_at: float | None = None
    tokens: int = 0
    starts: int = 0
    preemptions: int = 0
    is_charged: bool = False
    started_by_guard: bool = False
    held_by: HoldCause | None = None
    returned: bool = False

    @property
    def has_run(self) -> bool:
        return self.starts > 0

    @property
    def latest_start_key(self) -> tuple[float, RequestId]:
        return (self.start_deadline.latest_start, self.request.request_id)


@dataclass(slots=True)
class ClassQueue:
    """Waiting and running requests of one class on one pool.

    `resumed` holds waiting requests that ran before; they start first. `preemptible`
    holds running requests that may be preempted, in the order of their first tokens.
    `fair` holds the waiting requests that never ran, in the order of fair shares.
    `urgency` sorts all waiting requests by their latest start.
    """

    name: ClassName
    pool: PoolName
    target: RequestClass
    fair: FairQueue = field(default_factory=FairQueue)
    resumed: OrderedDict[RequestId, Job] = field(default_factory=OrderedDict)
    preemptible: OrderedDict[RequestId, Job] = field(default_factory=OrderedDict)
    urgency: SortedList = field(default_factory=SortedList)
    running: int = 0
    service_times: ServiceTimes = field(default_factory=ServiceTimes)
    start_rate: DecayingRate = field(default_factory=DecayingRate)
    arrival_rate: DecayingRate = field(default_factory=DecayingRate)
    turns: TurnCredit = field(default_factory=TurnCredit)

    @property
    def tier(self) -> int:
        return self.target.tier

    @property
    def effective_engine_priority(self) -> int:
        return self.target.effective_engine_priority

    @property
    def turn_share(self) -> float:
        return self.target.turn_share

    @property
    def hold_s(self) -> float | None:
        """Mean time for which a request occupies a place; None if not measured."""
        return self.service_times.hold.value

    @property
    def waiting(self) -> int:
        return self.fair.size + len(self.resumed)

    def add(self, job: Job, weight: float, now: float) -> None:
        """Queue a request that never ran."""
        self.reset_turns_if_empty(now)
        self.fair.add(job.request, weight, first=job.returned)
        self.urgency.add(job.latest_start_key)

    def add_resumed(self, job: Job, now: float) -> None:
        """Queue a request that ran before, ahead of those that never ran."""
        self.reset_turns_if_empty(now)
        self.resumed[job.request.request_id] = job
        self.urgency.add(job.latest_start_key)

    def reset_turns_if_empty(self, now: float) -> None:
        if not self.waiting:
            reset_turns(self.turns, now)

    def peek(self) -> RequestId:
        """Return the request of this class that starts next."""
        if self.resumed:
            return next(iter(self.resumed))
        return self.fair.peek().request_id

    def remove(self, job: Job) -> None:
        """Remove a waiting request."""
        self.urgency.remove(job.latest_start_key)
        if self.resumed.pop(job.request.request_id, None) is None:
            self.fair.remove(job.request)

"""One class on one pool: what waits, what runs, and what was measured of it."""

from collections import OrderedDict
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from godwitmast.admission.deadlines import ServiceTimes, Slack
from godwitmast.admission.estimates import DecayingRate
from godwitmast.admission.fairness import FairQueue
from godwitmast.admission.turns import Turns, began_to_wait
from godwitmast.config.document import RequestClass
from godwitmast.dispatch.messages import RequestSpec
from godwitmast.types import ClassName, PoolName, RequestId


@dataclass(slots=True)
class Job:
    """A request that was let in and has not ended."""

    request: RequestSpec
    slack: Slack
    charged: float
    urgent_at: float
    started_at: float | None = None
    first_token_at: float | None = None
    tokens: int = 0
    starts: int = 0
    preemptions: int = 0
    is_charged: bool = False
    guarded: bool = False

    @property
    def has_run(self) -> bool:
        return self.starts > 0

    @property
    def expiry(self) -> tuple[float, RequestId]:
        return (self.slack.latest_start, self.request.request_id)


@dataclass(slots=True)
class ClassQueue:
    """The requests of one class on one pool.

    `resumed` holds those that ran before and go first; `preemptible` those that run
    and may be interrupted, in the order of their starts.
    """

    name: ClassName
    pool: PoolName
    target: RequestClass
    fair: FairQueue = field(default_factory=FairQueue)
    resumed: OrderedDict[RequestId, Job] = field(default_factory=OrderedDict)
    preemptible: OrderedDict[RequestId, Job] = field(default_factory=OrderedDict)
    urgency: SortedList = field(default_factory=SortedList)
    running: int = 0
    times: ServiceTimes = field(default_factory=ServiceTimes)
    started: DecayingRate = field(default_factory=DecayingRate)
    turns: Turns = field(default_factory=Turns)

    @property
    def tier(self) -> int:
        return self.target.tier

    @property
    def order_in_engines(self) -> int:
        return self.target.order_in_engines

    @property
    def turn_share(self) -> float:
        return self.target.turn_share

    @property
    def hold_s(self) -> float | None:
        return self.times.hold.value

    @property
    def waiting(self) -> int:
        return self.fair.size + len(self.resumed)

    def add(self, job: Job, weight: float, now: float) -> None:
        """Queue a request that never ran."""
        self.note_waiting(now)
        self.fair.add(job.request, weight)
        self.urgency.add(job.expiry)

    def add_resumed(self, job: Job, now: float) -> None:
        """Queue a request that ran, before all that did not."""
        self.note_waiting(now)
        self.resumed[job.request.request_id] = job
        self.urgency.add(job.expiry)

    def note_waiting(self, now: float) -> None:
        if not self.waiting:
            began_to_wait(self.turns, now)

    def peek(self) -> RequestId:
        """Return the request that goes next in this class."""
        if self.resumed:
            return next(iter(self.resumed))
        return self.fair.peek().request_id

    def remove(self, job: Job) -> None:
        """Forget a request that waits."""
        self.urgency.remove(job.expiry)
        if self.resumed.pop(job.request.request_id, None) is None:
            self.fair.remove(job.request)

"""When a waiting request is too late to start, and how long it would have to wait.

The load is demand past capacity. A queue that lets all in makes each wait longer, until
every answer is late and all the work is wasted: throughput stays, goodput goes. A
request that cannot meet its target any more is refused at once, while its caller can
still do something else, and never started late.

Both times come from what was measured here: the time to the first token, the time for
each token, and the answer lengths of the class. The wait is the work ahead at the rate
at which the pool frees places (Little's law: requests that run, over how long each of
them runs), less what higher tiers take of it.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.admission.estimates import RunningMean, RunningQuantile
from godwitmast.config.document import RequestClass
from godwitmast.dispatch.messages import RequestSpec

FIRST_TOKEN_QUANTILE = 0.9
"""Of the requests started at the last moment, nine in ten still get their first token
in time. The goal of a class is 95 in 100, and not all start at the last moment."""

MIN_WAIT_SHARE = 0.25
"""The share of its target that a request may always wait. Where servers have become
slower than the target itself, nothing could start in time, nothing would run, and the
times that say so would never be measured again."""

DEFAULT_WAIT_S = 60.0
"""How long a request of a class without a target for its start or end waits at most."""

RESUMED_WAIT_S = 300.0
"""How long a request without a deadline of its own waits to be resumed or tried again.
It is past its target then, but its caller holds half an answer; the guard's turns go
to such requests first, so that this ends waits only where nothing runs at all."""


class Slack(NamedTuple):
    """The last moment to start a request, and whether its caller set that."""

    latest_start: float
    own_deadline: bool = False


@dataclass(slots=True)
class ServiceTimes:
    """How long requests of a class take on a pool once they were sent."""

    first_token: RunningQuantile = field(
        default_factory=lambda: RunningQuantile(FIRST_TOKEN_QUANTILE)
    )
    per_token: RunningMean = field(default_factory=RunningMean)
    hold: RunningMean = field(default_factory=RunningMean)

    def finished(self, hold_s: float, first_token_s: float | None, tokens: int) -> None:
        """Note a whole answer that ran in one piece."""
        self.hold.add(hold_s)
        if first_token_s is not None and tokens > 1:
            self.per_token.add((hold_s - first_token_s) / (tokens - 1))

    def first_token_s(self) -> float:
        return self.first_token.value or 0.0

    def answer_s(self, tokens: float) -> float:
        """Return how long an answer of so many tokens takes."""
        if self.per_token.value is None:
            return self.hold.value or 0.0
        return self.first_token_s() + tokens * self.per_token.value


def find_slack(
    request: RequestSpec,
    target: RequestClass,
    times: ServiceTimes,
    tokens: float,
    now: float,
) -> Slack:
    """Return when the request has to start to meet its class's targets and deadline."""
    starts = []
    if target.first_token_s is not None:
        starts.append(
            latest_start(request.arrived, target.first_token_s, times.first_token_s())
        )
    if target.completion_s is not None:
        starts.append(
            latest_start(request.arrived, target.completion_s, times.answer_s(tokens))
        )
    by_target = min(starts, default=request.arrived + DEFAULT_WAIT_S)
    if request.deadline is None:
        return Slack(by_target)
    remaining = request.deadline - now
    by_deadline = latest_start(now, remaining, times.answer_s(tokens))
    if by_deadline < by_target:
        return Slack(by_deadline, own_deadline=True)
    return Slack(by_target)


def latest_start(start: float, target_s: float, service_s: float) -> float:
    return start + max(target_s - service_s, MIN_WAIT_SHARE * target_s)

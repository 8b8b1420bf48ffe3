"""Latest start of a waiting request, and the service times that it is computed from.

It answers demand past capacity. A queue that admits everything makes each wait longer,
until every answer is late: throughput stays, but goodput drops to nothing. A request
that can no longer meet its target is therefore refused at once, while its caller can
still react, and is never started late.

The estimates come from earlier requests: time to the first token and time per token of
the class on the pool, and answer lengths of the team and class. The wait is the work
ahead divided by the rate at which the pool frees places (Little's law: running requests
over their mean service time), less what higher tiers use of it.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.admission.estimates import RunningMean, RunningQuantile
from godwitmast.config.document import RequestClass
from godwitmast.dispatch.messages import RequestSpec

FIRST_TOKEN_QUANTILE = 0.9
"""Of the requests started at their latest start, nine in ten still get their first
token in time. The goal of a class is 95 in 100, and not all requests start that
late."""

LONG_HOLD_QUANTILE = 0.95
"""A VM that stops asks how long an answer may take, and not how long a usual one does."""

MIN_WAIT_SHARE = 0.25
"""The share of its target that a request may always wait. If servers became slower than
the target itself, nothing could start in time, and with nothing running the service
times would never be updated again."""

DEFAULT_WAIT_S = 60.0
"""Maximum wait of a request whose class has no target for first token or completion."""

RESUMED_WAIT_S = 300.0
"""Maximum wait for a resume or a retry of a request without a deadline of its own. It
is past its target by then, but its caller has received part of the answer. Turns of the
starvation guard go to such requests first, so that this limit is reached only where
nothing runs at all."""


class StartDeadline(NamedTuple):
    """Latest start of a request; `by_caller` if the caller's own deadline set it."""

    latest_start: float
    by_caller: bool = False


@dataclass(slots=True)
class ServiceTimes:
    """Service times of a class on a pool, measured from the start of the attempt."""

    first_token: RunningQuantile = field(
        default_factory=lambda: RunningQuantile(FIRST_TOKEN_QUANTILE)
    )
    per_token: RunningMean = field(default_factory=RunningMean)
    hold: RunningMean = field(default_factory=RunningMean)
    long_hold: RunningQuantile = field(
        default_factory=lambda: RunningQuantile(LONG_HOLD_QUANTILE, stays_in_range=True)
    )

    def record_answer(
        self, hold_s: float, first_token_s: float | None, tokens: int
    ) -> None:
        """Add a completed answer that ran in one attempt."""
        self.hold.add(hold_s)
        self.long_hold.add(hold_s)
        if first_token_s is not None and tokens > 1:
            self.per_token.add((hold_s - first_token_s) / (tokens - 1))

    def first_token_s(self) -> float:
        return self.first_token.value or 0.0

    def answer_s(self, tokens: float) -> float:
        """Return the estimated duration, in seconds, of an answer of so many tokens."""
        if self.per_token.value is None:
            return self.hold.value or 0.0
        return self.first_token_s() + tokens * self.per_token.value


def find_start_deadline(
    request: RequestSpec,
    target: RequestClass,
    times: ServiceTimes,
    tokens: float,
    now: float,
) -> StartDeadline:
    """Return the latest start that meets the class's targets and the deadline.

    It may be too late for them, because it is never less than MIN_WAIT_SHARE of the
    target after arrival, or of the remaining deadline after `now`.
    """
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
        return StartDeadline(by_target)
    remaining = request.deadline - now
    by_deadline = latest_start(now, remaining, times.answer_s(tokens))
    if by_deadline < by_target:
        return StartDeadline(by_deadline, by_caller=True)
    return StartDeadline(by_target)


def latest_start(start: float, target_s: float, service_s: float) -> float:
    return start + max(target_s - service_s, MIN_WAIT_SHARE * target_s)

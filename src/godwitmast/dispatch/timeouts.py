"""Detection of attempts that hang, in time to run them elsewhere.

Load pattern: an engine that hangs with its connections open, while its last load report
looks normal. Without a time-out a stream there waits until its caller gives up; with a
fixed one, either interactive classes wait far too long or long prompts are cut off
again and again while they are prefilled.

So the time-out follows the usual times of the pool (see `pace`), within bounds, and it
applies to the server: a token of any stream on it shows that all of them are being
processed, as an engine steps them together. A time-out for each stream by itself would
move healthy ones that wait behind some prompts. Each move spends from the retry budget,
so that a period in which everything is slow does not cause many retries at once.
"""

import heapq

from godwitmast.dispatch.active_requests import ActiveRequest
from godwitmast.dispatch.pace import PoolPace
from godwitmast.types import AttemptId

FIRST_TOKEN_BOUNDS_S = (0.5, 10.0)
GAP_BOUNDS_S = (0.4, 5.0)
"""Below the lower bounds, one long prompt in a batch step looks like a hang; above the
upper ones, the attempt is too late for any class with a useful target."""

PATIENCE_SHARE = 0.5
"""Where it is known how long callers wait, the first token is awaited for this share of
that time: early enough for another server, late enough that a period of high load is
not taken for a hang."""

GAP_FACTOR = 10.0
"""The usual time of ten tokens without a token: a step that prefills a chunk of a long
prompt takes three to four times the usual one."""

MAX_STREAM_SILENCE_S = 10.0
"""How long a stream may get no token while others on its server do."""

NON_STREAMING_FACTOR = 3.0
"""An answer that does not stream may take this many times the usual time of all its
tokens."""


def silence_limit_s(active: ActiveRequest, pace: PoolPace) -> float | None:
    """Return how long the attempt may continue without a token from its server.

    For an answer that does not stream it is the time from the attempt's start.

    None if nothing has been measured in the pool.
    """
    if pace.median_gap_s is None and pace.first_token_s is None:
        return None
    first_token_s = clamp(pace.late_first_token_s or 0.0, FIRST_TOKEN_BOUNDS_S)
    if active.request_class.patience_s is not None:
        first_token_s = max(
            first_token_s, PATIENCE_SHARE * active.request_class.patience_s
        )
    gap_s = pace.median_gap_s or 0.0
    if not active.request.streams:
        return first_token_s + NON_STREAMING_FACTOR * gap_s * active.request.max_tokens
    if active.first_token_at is None:
        return first_token_s
    return clamp(GAP_FACTOR * gap_s, GAP_BOUNDS_S)


def hang_deadline(
    active: ActiveRequest, server_last_token_at: float, limit_s: float
) -> float:
    """Return when the attempt counts as hung if no further token arrives."""
    if not active.request.streams:
        return active.started_at + limit_s
    last_token_at = max(active.last_token_at, server_last_token_at)
    return min(last_token_at + limit_s, active.last_token_at + MAX_STREAM_SILENCE_S)


def clamp(value: float, bounds: tuple[float, float]) -> float:
    return min(max(value, bounds[0]), bounds[1])


class CheckQueue:
    """Attempts by the time of their next check.

    Tokens do not move an attempt in the heap: when its time comes it is checked, and
    added again if tokens have arrived since. That costs one check per time-out rather
    than one heap operation per token.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, AttemptId, ActiveRequest]] = []

    def add(self, active: ActiveRequest, at: float) -> None:
        assert active.attempt_id is not None
        heapq.heappush(self.heap, (at, active.attempt_id, active))

    def pop_due(self, now: float) -> list[ActiveRequest]:
        """Remove and return the attempts that are due for a check and still run."""
        due = []
        while self.heap and self.heap[0][0] <= now:
            _, attempt_id, active = heapq.heappop(self.heap)
            if active.attempt_id == attempt_id:
                due.append(active)
        return due

"""Notices attempts that hang, in time to run them elsewhere.

Load pattern: an engine that hangs, with its connections open and its old load report
looking fine. Without a time-out a stream there waits until its caller gives up; with a
fixed one, either quick classes wait far too long or slow prompts are cut while they
are being read, over and over.

So the patience follows what is usual in the pool (see `pace`), within bounds, and it is
with the server: a token of any stream on it is a sign of life for all of them, as an
engine steps them together. A time-out for each stream by itself moves healthy ones that
wait behind some prompts. Each move draws on the retry budget, so that a spell in which everything is slow does not turn
into a storm of moves.
"""

import heapq

from godwitmast.dispatch.flights import Flight
from godwitmast.dispatch.pace import PoolPace
from godwitmast.types import AttemptId

FIRST_TOKEN_BOUNDS_S = (0.5, 10.0)
GAP_BOUNDS_S = (0.4, 5.0)
"""Below these, one long prompt in a batch step looks like a hang; above them, the
attempt is lost for any class with a target worth the name."""

PATIENCE_SHARE = 0.5
"""Where it is known when callers leave, a first token is waited for half as long: early
enough for another server, late enough that a busy spell is not taken for a hang."""

GAP_FACTOR = 10.0
"""Ten tokens' time without a token: a step that reads a chunk of a long prompt takes
three to four times the usual one."""

STUCK_S = 10.0
"""How long a stream may get nothing while others on its server get tokens."""

WHOLE_FACTOR = 3.0
"""An answer that does not stream may take this many times what all its tokens would
usually take."""


def patience_s(flight: Flight, pace: PoolPace) -> float | None:
    """Return how long the attempt may go on from its server's last sign of life."""
    if pace.median_gap_s is None and pace.first_token_s is None:
        return None
    first = clamp(pace.late_first_token_s or 0.0, FIRST_TOKEN_BOUNDS_S)
    if flight.target.patience_s is not None:
        first = max(first, PATIENCE_SHARE * flight.target.patience_s)
    gap = pace.median_gap_s or 0.0
    if not flight.request.streams:
        return first + WHOLE_FACTOR * gap * flight.request.max_tokens
    if flight.first_token_at is None:
        return first
    return clamp(GAP_FACTOR * gap, GAP_BOUNDS_S)


def hangs_at(flight: Flight, server_token_at: float, patience: float) -> float:
    """Return when the attempt has to be given up, as far as is known now."""
    if not flight.request.streams:
        return flight.started_at + patience
    last = max(flight.last_token_at, server_token_at)
    return min(last + patience, flight.last_token_at + STUCK_S)


def clamp(value: float, bounds: tuple[float, float]) -> float:
    return min(max(value, bounds[0]), bounds[1])


class Watch:
    """Attempts by when they are to be looked at next.

    Tokens do not move an attempt in the heap: when its time comes it is looked at, and
    put back if it has given a sign of life since. That costs one look for each
    patience's time, not one for each token.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, AttemptId, Flight]] = []

    def add(self, flight: Flight, at: float) -> None:
        assert flight.attempt_id is not None
        heapq.heappush(self.heap, (at, flight.attempt_id, flight))

    def take_due(self, now: float) -> list[Flight]:
        """Return the attempts to look at that still run."""
        due = []
        while self.heap and self.heap[0][0] <= now:
            _, attempt_id, flight = heapq.heappop(self.heap)
            if flight.attempt_id == attempt_id:
                due.append(flight)
        return due

"""Inter-token gaps and first-token times of servers, and the usual ones of their pool.

Load pattern: a straggler, an engine that runs at a tenth of its speed while its delayed
load report looks normal. Unless it is compared with its peers it keeps its share of the
traffic, and each stream on it is late. An absolute bound would not do: under high load
all servers of a pool are slow, and ejecting them would make it worse.
"""

from dataclasses import dataclass

WINDOW_S = 0.5
WINDOW_TOKENS = 16
"""A window ends after this time with this many tokens: some twenty steps of a healthy
engine, so that one long prompt does not determine the mean, and two steps of a
straggler."""

MAX_WINDOW_S = 1.0
"""The window of a nearly idle or very slow server ends after this time, with at least
four tokens."""

MEDIAN_STEP = 0.05
"""Relative change of the pool's median by one window. The estimate needs no list of
samples: Ma, Muthukrishnan and Sandler, "Frugal Streaming", 2013."""

MEAN_WEIGHT = 0.05
DEVIATION_FACTOR = 4.0
"""Mean plus four mean deviations, as in TCP's retransmission time-out (RFC 6298)."""


@dataclass(slots=True)
class GapWindow:
    """The mean inter-token gap of one server, window by window."""

    started_at: float = 0.0
    total_s: float = 0.0
    tokens: int = 0
    max_load: float = 0.0

    def add(self, gap_s: float, tokens: int, load: float, now: float) -> float | None:
        """Add tokens that arrived `gap_s` after the previous one.

        Return the mean gap in seconds of a full window, or None while it is not full.
        """
        if not self.tokens:
            self.started_at = now - gap_s
        self.total_s += gap_s
        self.tokens += tokens
        self.max_load = max(self.max_load, load)
        age_s = now - self.started_at
        is_full = age_s >= WINDOW_S and self.tokens >= WINDOW_TOKENS
        if is_full or (age_s >= MAX_WINDOW_S and self.tokens >= 4):
            return self.total_s / self.tokens
        return None

    def reset(self, load: float) -> None:
        self.total_s = 0.0
        self.tokens = 0
        self.max_load = load


@dataclass(slots=True)
class PoolPace:
    """The usual inter-token gap and first-token time of a pool's servers."""

    median_gap_s: float | None = None
    first_token_s: float | None = None
    first_token_deviation_s: float = 0.0

    def add_window(self, gap_s: float) -> None:
        if self.median_gap_s is None:
            self.median_gap_s = gap_s
        elif gap_s > self.median_gap_s:
            self.median_gap_s *= 1 + MEDIAN_STEP
        else:
            self.median_gap_s /= 1 + MEDIAN_STEP

    def add_first_token(self, waited_s: float) -> None:
        if self.first_token_s is None:
            self.first_token_s = waited_s
            self.first_token_deviation_s = waited_s / 2
            return
        error = waited_s - self.first_token_s
        self.first_token_s += MEAN_WEIGHT * error
        self.first_token_deviation_s += MEAN_WEIGHT * (
            abs(error) - self.first_token_deviation_s
        )

    @property
    def late_first_token_s(self) -> float | None:
        """Return the time after which a first token is unusually late."""
        if self.first_token_s is None:
            return None
        return self.first_token_s + DEVIATION_FACTOR * self.first_token_deviation_s

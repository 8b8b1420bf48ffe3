"""Measures how fast servers give tokens, and what is usual in their pool.

Load pattern: a straggler, an engine that works on at a tenth of its speed while its
load report lags and looks fine. Without a comparison with its peers it keeps its part
of the traffic, and each stream on it is late. An absolute bound would not do: when the
whole pool is busy all servers are slow, and to eject them would make it worse.
"""

from dataclasses import dataclass

WINDOW_S = 0.5
WINDOW_TOKENS = 16
"""A window ends after this time with this many tokens: some twenty steps of a healthy
engine, enough that one long prompt does not decide it, and two of a straggler."""

MAX_WINDOW_S = 1.0
"""A nearly idle or very slow server's window ends here, with at least four tokens."""

MEDIAN_STEP = 0.05
"""How far one window moves the pool's median. The estimate needs no list of samples:
Ma, Muthukrishnan and Sandler, "Frugal Streaming", 2013."""

MEAN_WEIGHT = 0.05
DEVIATION_FACTOR = 4.0
"""Mean plus four mean deviations, as TCP's retransmission time-out (RFC 6298)."""


@dataclass(slots=True)
class GapWindow:
    """The time between tokens on one server, window by window."""

    began: float = 0.0
    total_s: float = 0.0
    tokens: int = 0
    most_used: float = 0.0

    def add(self, gap_s: float, tokens: int, used: float, now: float) -> float | None:
        """Take tokens that came `gap_s` after the one before; return a full window's
        mean time between tokens."""
        if not self.tokens:
            self.began = now - gap_s
        self.total_s += gap_s
        self.tokens += tokens
        self.most_used = max(self.most_used, used)
        age = now - self.began
        full = age >= WINDOW_S and self.tokens >= WINDOW_TOKENS
        if full or (age >= MAX_WINDOW_S and self.tokens >= 4):
            return self.total_s / self.tokens
        return None

    def restart(self, used: float) -> None:
        self.total_s = 0.0
        self.tokens = 0
        self.most_used = used


@dataclass(slots=True)
class PoolPace:
    """What is usual among the servers of a pool."""

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
        """Return what is unusually long to wait for a first token."""
        if self.first_token_s is None:
            return None
        return self.first_token_s + DEVIATION_FACTOR * self.first_token_deviation_s

"""A learned limit on the requests that a backend server runs within its targets.

Load pattern: a burst, or long prompts among short ones. An engine accepts whatever it
is sent; above some number of sequences each of its steps takes too long, and every
stream on it exceeds its inter-token gap at the same time. Requests that wait inside an
engine can no longer be reordered or moved, so that a burst of long answers of a low
tier would run before the next short request of a high tier.

The limit counts all requests on the server: our own, and other entries' according to
its load report. It follows the measured inter-token gap, window by window:

- Above the target with the limit in use, it is multiplied by target over measured (a
  gradient, as in Netflix's concurrency-limits), but by no less than `MIN_CUT_FACTOR`.
  With the limit not in use, a slow window is caused by long prompts rather than by too
  many requests, and lowers the limit by a tenth at most, never below the current load.
- Below the target, with the limit in use, it rises by one (additive increase). Entries
  that share a server converge to equal shares this way: Chiu and Jain, "Analysis of the
  Increase and Decrease Algorithms", 1989.
- If the engine reports twice in a row that a good part of its requests wait inside it,
  or first tokens are late, the limit is lowered by a tenth each time. One report is not
  enough: a request that arrived between two batch steps waits for some milliseconds in
  any engine.
"""

import math
from dataclasses import dataclass

START_LIMIT = 8.0
"""Limit before anything is measured: the batch of a small engine. A larger engine gains
one per window, so some four a second."""

READMISSION_LIMIT = 4.0
"""Limit of a server that is readmitted, as the cause of its ejection may persist."""

MIN_LIMIT = 2.0
MAX_LIMIT = 512.0

TARGET_SHARE = 0.9
"""Share of the target that is aimed at, since requests vary around their mean."""

RISE_SHARE = 0.95
"""Below this share of the aim the limit rises; between that and the aim it does not
change."""

MIN_CUT_FACTOR = 0.7
DECAY_FACTOR = 0.9
WAITING_SHARE = 0.25
IN_USE_SHARE = 0.8
"""If less than this share of the limit is in use, a measurement shows nothing about a
higher limit."""

MIN_AIM_FACTOR = 1.5
"""Smallest aim as a multiple of the idle server's gap. A target that the server cannot
meet even when idle would otherwise lower the limit to `MIN_LIMIT` for no gain."""

DEFAULT_AIM_FACTOR = 3.0
"""Aim as a multiple of the idle gap if no class sets a target."""

LATENCY_AIM_FACTOR = 2.0
"""For plain services: highest acceptable latency as a multiple of the idle one."""

LATENCY_STEP = 0.05
"""An answer without tokens raises the limit by this much, where a window of many tokens
raises it by 1."""

IDLE_MAX_REQUESTS = 2.0
"""A server with at most this many requests shows its idle gap. Using the best gap at
any load instead let the aim drift up with the load, to twice the target."""

IDLE_WEIGHT = 0.1


@dataclass(slots=True)
class ServerLimit:
    """The number of requests that one server runs within its targets."""

    value: float = START_LIMIT
    idle_pace_s: float | None = None
    """Mean inter-token gap, or latency, of the idle server."""
    had_waiting: bool = False
    """Whether many requests waited inside the engine at its last report."""
    fixed: bool = False
    """The server reported how many requests it runs at a time, so that nothing is
    learned."""

    def record_gap(self, gap_s: float, load: float, target_s: float | None) -> None:
        """Adjust to a window's mean inter-token gap, measured with `load` requests."""
        if self.fixed:
            return
        self.update_idle_pace(gap_s, load)
        idle_pace_s = self.idle_pace_s or 0.0
        if target_s is not None:
            aim = max(target_s * TARGET_SHARE, idle_pace_s * MIN_AIM_FACTOR)
        else:
            aim = idle_pace_s * DEFAULT_AIM_FACTOR or math.inf
        self.adjust(gap_s, aim, load)

    def record_latency(self, latency_s: float, load: float) -> None:
        """Adjust to the latency of an answer without tokens."""
        if self.fixed:
            return
        self.update_idle_pace(latency_s, load)
        aim = (self.idle_pace_s or math.inf) * LATENCY_AIM_FACTOR
        self.adjust(latency_s, aim, load, LATENCY_STEP)

    def update_idle_pace(self, seconds: float, load: float) -> None:
        """Update the gap or latency of the idle server with a measurement.

        A smaller value is taken over at any load once an idle one is known.
        """
        if self.idle_pace_s is None or seconds < self.idle_pace_s:
            if self.idle_pace_s is not None or load <= IDLE_MAX_REQUESTS:
                self.idle_pace_s = seconds
        elif load <= IDLE_MAX_REQUESTS:
            self.idle_pace_s += IDLE_WEIGHT * (seconds - self.idle_pace_s)

    def adjust(
        self, measured: float, aim: float, load: float, step: float = 1.0
    ) -> None:
        in_use = load >= self.value * IN_USE_SHARE
        if measured > aim and in_use:
            self.value = max(
                MIN_LIMIT, self.value * max(MIN_CUT_FACTOR, aim / measured)
            )
        elif measured > aim:
            self.value = max(MIN_LIMIT, load, self.value * DECAY_FACTOR)
        elif measured < aim * RISE_SHARE and in_use:
            self.value = min(MAX_LIMIT, self.value + step)

    def record_report(self, running: int, waiting: int) -> None:
        """Record how many requests the engine runs, and how many wait inside it."""
        if self.fixed:
            return
        has_waiting = waiting > max(1.0, running * WAITING_SHARE)
        if has_waiting and self.had_waiting:
            self.value = max(MIN_LIMIT, min(self.value, max(running, self.decayed)))
        self.had_waiting = has_waiting

    def record_late_first_token(self, load: float) -> None:
        """Lower the limit because first tokens are late with `load` requests on the
        server.

        An engine whose batch is full keeps its inter-token gap, however many requests
        wait inside it: only late first tokens show that the limit exceeds the batch.
        """
        if not self.fixed:
            self.value = max(MIN_LIMIT, min(self.value, load * DECAY_FACTOR))

    @property
    def decayed(self) -> float:
        return self.value * DECAY_FACTOR

    def reset(self) -> None:
        """Set the limit to READMISSION_LIMIT on readmission, unless it is fixed."""
        if not self.fixed:
            self.value = READMISSION_LIMIT

"""Learns how much work a backend server serves at speed.

Load pattern: a burst, or long prompts among short ones. An engine takes whatever it is
sent; past some number of sequences each of its steps takes too long, and every stream
on it misses its time between tokens at once. Work that waits in an engine cannot be
reordered or moved any more, so a burst of drafts would stand before the next question.

The limit counts all work on the server: our own, and what other entries have there by
its report. It follows the measured time between tokens, window by window:

- Above the target with the limit in use, it is scaled by target over measured (a
  gradient, as in Netflix's concurrency-limits), by `MAX_CUT` at most. With the limit
  not in use, a slow window comes from long prompts rather than from too many requests,
  and takes a tenth off at most, never below what is there.
- Below the target, with the limit in use, it rises by one (additive increase). Entries
  that share a server this way converge to like shares: Chiu and Jain, "Analysis of the
  Increase and Decrease Algorithms", 1989.
- Where the engine says twice in a row that a good part of its requests wait inside it,
  or first tokens come late, a tenth is taken off each time. One report is not enough:
  a request that came between two batch steps waits for some milliseconds in any engine.
"""

import math
from dataclasses import dataclass

START_LIMIT = 8.0
"""What a server is trusted with before anything was measured: the batch of a small
engine. A larger engine gains one a window, so some four a second."""

SLOW_START_LIMIT = 4.0
"""What a server is trusted with on its return, as whatever made it leave may last."""

MIN_LIMIT = 2.0
MAX_LIMIT = 512.0

TARGET_SHARE = 0.9
"""The part of the target that is aimed at: requests vary around their mean."""

RISE_SHARE = 0.95
"""Below this part of the aim the limit rises. Between the two it rests."""

MAX_CUT = 0.7
DECAY = 0.9
WAITING_SHARE = 0.25
IN_USE_SHARE = 0.8
"""A limit that is not used this far says nothing of what lies beyond it."""

BASE_FACTOR = 1.5
"""Never aim below this many times the pace of the idle server. A target that it cannot
meet even then would else bring the limit to its least, and gain nothing."""

DEFAULT_FACTOR = 3.0
"""The aim as a multiple of the idle pace, where no class names a target."""

LATENCY_FACTOR = 2.0
"""For plain services: the latency, as a multiple of the idle one, that is too much."""

LATENCY_STEP = 0.05
"""A plain answer moves the limit by this, where a window of many tokens moves it by 1."""

IDLE_USED = 2.0
"""A server with so few requests shows its idle pace. Taking the best pace at any load
for it let the aim drift up with the load, to twice the target."""

IDLE_WEIGHT = 0.1


@dataclass(slots=True)
class ServerLimit:
    """The number of requests that one server serves at speed."""

    value: float = START_LIMIT
    base_s: float | None = None
    waited: bool = False
    fixed: bool = False
    """The server said how many it runs at a time, so that nothing is to be learned."""

    def paced(self, gap_s: float, used: float, target_s: float | None) -> None:
        """Take a window's mean time between tokens, with `used` requests there."""
        if self.fixed:
            return
        self.note_base(gap_s, used)
        base_s = self.base_s or 0.0
        if target_s is not None:
            aim = max(target_s * TARGET_SHARE, base_s * BASE_FACTOR)
        else:
            aim = base_s * DEFAULT_FACTOR or math.inf
        self.move(gap_s, aim, used)

    def answered(self, latency_s: float, used: float) -> None:
        """Take the latency of an answer from a server without tokens."""
        if self.fixed:
            return
        self.note_base(latency_s, used)
        aim = (self.base_s or math.inf) * LATENCY_FACTOR
        self.move(latency_s, aim, used, LATENCY_STEP)

    def note_base(self, seconds: float, used: float) -> None:
        """Follow the pace of the idle server, and any better one."""
        if self.base_s is None or seconds < self.base_s:
            if self.base_s is not None or used <= IDLE_USED:
                self.base_s = seconds
        elif used <= IDLE_USED:
            self.base_s += IDLE_WEIGHT * (seconds - self.base_s)

    def move(self, measured: float, aim: float, used: float, step: float = 1.0) -> None:
        in_use = used >= self.value * IN_USE_SHARE
        if measured > aim and in_use:
            self.value = max(MIN_LIMIT, self.value * max(MAX_CUT, aim / measured))
        elif measured > aim:
            self.value = max(MIN_LIMIT, used, self.value * DECAY)
        elif measured < aim * RISE_SHARE and in_use:
            self.value = min(MAX_LIMIT, self.value + step)

    def reported(self, running: int, waiting: int) -> None:
        """Take how many requests the engine runs, and how many wait inside it."""
        if self.fixed:
            return
        waits = waiting > max(1.0, running * WAITING_SHARE)
        if waits and self.waited:
            self.value = max(MIN_LIMIT, min(self.value, max(running, self.decayed)))
        self.waited = waits

    def late(self, used: float) -> None:
        """Take that first tokens come late with `used` requests on the server.

        An engine whose batch is full keeps its time between tokens, whatever waits
        inside it: only this tells that the limit lies above the batch.
        """
        if not self.fixed:
            self.value = max(MIN_LIMIT, min(self.value, used * DECAY))

    @property
    def decayed(self) -> float:
        return self.value * DECAY

    def restart(self) -> None:
        """Begin again, carefully, for a server that was away."""
        if not self.fixed:
            self.value = SLOW_START_LIMIT

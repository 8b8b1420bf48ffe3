"""Logs an event loop that is late, and a thread that logs where it stands still."""

import math
import sys
import threading
import time
import traceback

from godwitmast.logs import log_event

CHECK_S = 1.0

STALL_S = 3.0
"""A loop that made no turn for this long answers nobody: readiness is asked each second."""

LATE_S = 0.25
"""Lateness of a turn that is logged: all answers, and the ends of requests whose callers
have left, are late by as much."""

LATE_INTERVAL_S = 1.0
"""Shortest time between two such lines."""


class StallWatch:
    """Logs the stack of the thread that starts it, once it made no turn for `STALL_S`.

    A process whose event loop stands still can't serve its metrics. The processor time
    that it used meanwhile tells one that computes from one that was suspended.
    """

    def __init__(self, stall_s: float = STALL_S, check_s: float = CHECK_S) -> None:
        self.stall_s = stall_s
        self.check_s = check_s
        self.thread_id = 0
        self.turned_at = 0.0
        self.turned_cpu_s = 0.0
        self.is_stalled = False
        self.told_late_at = -math.inf
        self.closed = threading.Event()
        self.thread: threading.Thread | None = None

    def start(self) -> None:
        self.thread_id = threading.get_ident()
        self.record_turn()
        self.thread = threading.Thread(target=self.run, name="stalls", daemon=True)
        self.thread.start()

    def close(self) -> None:
        self.closed.set()
        if self.thread is not None:
            self.thread.join()

    def record_turn(self, due_at: float | None = None) -> None:
        """Record that the event loop runs; `due_at` is when it should have come here."""
        if due_at is not None:
            self.record_lateness(time.monotonic() - due_at)
        if self.is_stalled:
            self.is_stalled = False
            stalled_s = round(time.monotonic() - self.turned_at, 3)
            log_event("event_loop_goes_on", level="WARNING", stalled_s=stalled_s)
        self.turned_at = time.monotonic()
        self.turned_cpu_s = time.process_time()

    def record_lateness(self, late_s: float) -> None:
        now = time.monotonic()
        if late_s < LATE_S or now < self.told_late_at + LATE_INTERVAL_S:
            return
        self.told_late_at = now
        log_event(
            "event_loop_late",
            level="WARNING",
            late_s=round(late_s, 3),
            cpu_s=round(time.process_time() - self.turned_cpu_s, 3),
        )

    def run(self) -> None:
        while not self.closed.wait(self.check_s):
            stalled_s = time.monotonic() - self.turned_at
            if stalled_s > self.stall_s and not self.is_stalled:
                self.is_stalled = True
                self.report(stalled_s)

    def report(self, stalled_s: float) -> None:
        frame = sys._current_frames().get(self.thread_id)
        log_event(
            "event_loop_stalled",
            level="ERROR",
            stalled_s=round(stalled_s, 3),
            cpu_s=round(time.process_time() - self.turned_cpu_s, 3),
            trace="".join(traceback.format_stack(frame)) if frame else None,
        )

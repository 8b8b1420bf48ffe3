"""A thread that logs where the event loop stands still."""

import sys
import threading
import time
import traceback

from godwitmast.logs import log_event

CHECK_S = 1.0

STALL_S = 3.0
"""A loop that made no turn for this long answers nobody: readiness is asked each second."""


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

    def record_turn(self) -> None:
        """Record that the event loop runs."""
        if self.is_stalled:
            self.is_stalled = False
            stalled_s = round(time.monotonic() - self.turned_at, 3)
            log_event("event_loop_goes_on", level="WARNING", stalled_s=stalled_s)
        self.turned_at = time.monotonic()
        self.turned_cpu_s = time.process_time()

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

"""Log of a process's calls under a lease that may still arrive at the platform."""

import math
from collections import Counter


class CallLog:
    """Open calls and those without an answer, by the fencing token that they carry.

    A call without an answer may arrive for `late_s` after the process gave it up.
    """

    def __init__(self, late_s: float) -> None:
        self.late_s = late_s
        self.open: Counter[int] = Counter()
        self.late_until: dict[int, float] = {}

    @property
    def open_count(self) -> int:
        return self.open.total()

    def begin(self, fence: int) -> None:
        self.open[fence] += 1

    def end(self, fence: int, settled: bool, now: float) -> None:
        """End a call, which is settled if it can no longer arrive."""
        self.open[fence] -= 1
        if not settled:
            self.late_until[fence] = now + self.late_s

    def arrive_until(self, other_than: int | None = None) -> float:
        """Return until when calls with any other token may arrive.

        It is infinite while one of them is open.
        """
        if any(count for fence, count in self.open.items() if fence != other_than):
            return math.inf
        late = (
            until for fence, until in self.late_until.items() if fence != other_than
        )
        return max(late, default=-math.inf)

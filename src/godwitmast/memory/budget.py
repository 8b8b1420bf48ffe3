"""The budget of bytes that one entry VM may hold for its callers and servers.

Load pattern: hundreds of callers read their answers slowly, or not at all, while the
servers have sent them; or callers send large bodies faster than servers take them. Without
a bound the operating system kills the process, and with it every request on the VM.

Holders acquire bytes before they keep them, and release them afterwards. Without a limit
everything is granted, and memory is never short.
"""

from collections import Counter
from enum import Enum

MEGABYTE = 1_000_000

PROCESS_BYTES = 48 * MEGABYTE
"""Resident memory of a VM that holds nothing: 42 MB were measured, the rest is reserve."""

USABLE_SHARE = 0.75
"""Share of the VM's memory that the process may reach; the kernel has the rest."""

BYTES_PER_HELD_BYTE = 2.0
"""Resident bytes for each byte held. 1.33 were measured with answers of 3 MB; connections
and fragmentation of the heap take the rest."""

MIN_LIMIT = 8 * MEGABYTE
"""Two of the largest bodies that the users' platform allows: less would serve nothing."""

READ_AHEAD_SHARE = 0.75
"""Share of the limit that answers to slow callers may take. The rest is for everything
that must not wait for them."""

SHORT_SHARE = 0.7
OVER_SHARE = 0.5
"""Shares of the limit at which memory becomes short, and no longer is. Between them lies a
fifth of the limit, so that single answers don't switch it back and forth."""

EXHAUSTED_SHARE = 0.95
"""Share of the limit at which a VM isn't ready any more, until it is below `SHORT_SHARE`:
then it refuses even small, urgent requests."""

FREE_SHARE_OF_FIRST_TIER = 0.25
FREE_SHARE_OF_NEXT_TIER = 0.5
"""While memory is short, a request of the first tier may take this share of the bytes that
are free, and each tier this share of what the tier before it may take."""

MIN_REQUEST_BYTES = 16 * 1024
"""What a request takes at least: the buffer of its caller's connection."""

MAX_TIER = 16
"""Tiers beyond this one are treated like it."""


class Holder(Enum):
    """What bytes are held for."""

    REQUEST = "request"
    """Bodies of requests, which wait or are kept for another attempt."""
    ANSWER = "answer"
    """Answers on their way from a server to a caller."""
    CLAIM = "claim"
    """Answers kept for claims."""


def limit_of(memory_mb: float | None) -> int | None:
    """Return the limit for a VM with this much memory; None if it isn't known."""
    if memory_mb is None:
        return None
    usable = memory_mb * MEGABYTE * USABLE_SHARE - PROCESS_BYTES
    return max(MIN_LIMIT, int(usable / BYTES_PER_HELD_BYTE))


class MemoryBudget:
    """Counts held bytes by holder, and says when memory is short."""

    def __init__(self, limit: int | None = None) -> None:
        self.limit = limit
        self.held: Counter[Holder] = Counter()
        self.total = 0
        self.peak = 0
        self.is_short = False
        self.is_exhausted = False
        """Nothing more should be sent to this VM."""
        self.times_short = 0

    def acquire(self, holder: Holder, count: int) -> bool:
        """Hold `count` more bytes; return False, and hold none, if they aren't free."""
        if not self.has_room(holder, count):
            return False
        self.charge(holder, count)
        return True

    def has_room(self, holder: Holder, count: int = 1) -> bool:
        """Return whether a holder may acquire `count` more bytes."""
        return self.limit is None or self.total + count <= self.bound_of(holder)

    def bound_of(self, holder: Holder) -> float:
        """Return the total up to which this holder may acquire bytes."""
        assert self.limit is not None
        return self.limit * (READ_AHEAD_SHARE if holder is Holder.ANSWER else 1.0)

    def charge(self, holder: Holder, count: int) -> None:
        """Count bytes that are held already, or that are bounded otherwise."""
        self.held[holder] += count
        self.total += count
        self.peak = max(self.peak, self.total)
        self.update_short()

    def release(self, holder: Holder, count: int) -> None:
        assert 0 <= count <= self.held[holder], "only what was acquired is released"
        self.held[holder] -= count
        self.total -= count
        self.update_short()

    def update_short(self) -> None:
        if self.limit is None:
            return
        if self.total >= EXHAUSTED_SHARE * self.limit:
            self.is_exhausted = True
        elif self.total < SHORT_SHARE * self.limit:
            self.is_exhausted = False
        if not self.is_short and self.total >= SHORT_SHARE * self.limit:
            self.is_short = True
            self.times_short += 1
        elif self.is_short and self.total < OVER_SHARE * self.limit:
            self.is_short = False

    @property
    def free(self) -> int:
        """Return the bytes that are free; only a budget with a limit has them."""
        assert self.limit is not None
        return max(0, self.limit - self.total)

    @property
    def share_left(self) -> float:
        """Return the share of the limit that is free, 1 without a limit."""
        return 1.0 if self.limit is None else self.free / self.limit

    def admits(self, size: int, tier: int) -> bool:
        """Return whether a request of this size and tier is taken now; tier 1 is first.

        While memory is short, large requests that aren't urgent are refused first: what a
        request may take is a share of the bytes that are free, and falls with its tier.
        """
        if not self.is_short:
            return True
        steps = min(max(tier, 1), MAX_TIER) - 1
        share = FREE_SHARE_OF_FIRST_TIER * FREE_SHARE_OF_NEXT_TIER**steps
        return max(size, MIN_REQUEST_BYTES) <= self.free * share

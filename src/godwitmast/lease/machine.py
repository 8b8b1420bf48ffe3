"""A lease in the platform's table that needs no trusted clock, without I/O.

Two rows: `lease/NAME` with holder and fencing token changes only when the lease
changes hands, so that a holder's other writes can check its version; and
`lease/NAME/beat` is what the holder renews.
"""

import math
from dataclasses import dataclass, replace
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import Failure, Read, Result, Rows, Step, Transact
from godwitmast.types import Json

CANDIDATES = 8
"""How many contenders watch a lease closely, on average. All of 67 VMs took 28 calls a
second for it, and only one can win. Each contender draws for itself, so that with one
draw in 3,000 there is none; the others' seldom looks then take its place."""

SLOW_WATCHES = 8
"""How many times as long the others wait between two looks. They matter only once every
candidate is gone, which the loss of a zone may bring about in a small system."""

NOBODY = ""
"""The holder of a lease that was given up."""


class LeaseTiming(NamedTuple):
    """How long a lease lasts; `guard_s` must exceed the time-out of any order.

    `guard_s` also covers how much faster a challenger's clock may run than the
    holder's: at the defaults, by a third. A new holder is in place at most
    `watch_s + ttl_s + guard_s` after the old one's last renewal.
    """

    ttl_s: float = 9.0
    guard_s: float = 3.0
    renew_s: float = 3.0
    watch_s: float = 6.0


class Guard(Protocol):
    """What the work under a lease asks before each order that it gives."""

    def fence_if_held(self, now: float, wall: float) -> int | None:
        """Return the fencing token if the lease is held at this moment.

        Ask in the last step before an order leaves, and give the order a time-out
        shorter than the lease's `guard_s`.
        """

    @property
    def checks(self) -> dict[str, int]:
        """Return what a transaction checks so that no deposed holder writes it."""


@dataclass(frozen=True, slots=True)
class Tenure:
    """A lease that was held, from before the last proven renewal was sent."""

    fence: int
    lease_version: int
    beat_version: int
    sent_now: float
    sent_wall: float


@dataclass(frozen=True, slots=True)
class Unproven:
    """A renewal or takeover whose answer has not come."""

    fence: int
    beat: int
    sent_now: float
    sent_wall: float


class Watched(NamedTuple):
    """The rows as last seen; a change of any part restarts the watch."""

    lease_version: int
    beat_version: int
    fence: int
    holder: str


class LeaseMachine:
    """One process's part in one lease.

    `step` returns the next table step when one is due, `took` takes its result, and
    at most one step is out at a time. `holder` must be new at each process start: a
    process that lost its memory is a stranger to its own lease.
    """

    def __init__(
        self, name: str, holder: str, timing: LeaseTiming = LeaseTiming()
    ) -> None:
        self.name = name
        self.holder = holder
        self.timing = timing
        self.lease_key = f"lease/{name}"
        self.beat_key = f"lease/{name}/beat"
        self.tenure: Tenure | None = None
        self.unproven: Unproven | None = None
        self.watched: Watched | None = None
        self.watched_since = 0.0
        self.out: Step | None = None
        self.next_at = 0.0
        self.leaving = False
        self.beats = 0
        # How many contend, as the holder last told, 0 if it is not known; and this
        # one's lot among them.
        self.vms = 0
        self.draw = xxh3_64_intdigest(holder.encode()) / 2**64
        self.looked_at = -math.inf

    def fence_if_held(self, now: float, wall: float) -> int | None:
        """Return the fencing token if the lease is held at this moment.

        A process that is paused past its lease, or a VM that is suspended so that
        its monotonic clock stands still, would go on giving orders beside its
        successor. So both clocks are asked each time, and either one can say no; a
        wall clock that went back proves nothing and says no as well.
        """
        tenure = self.tenure
        if tenure is None or self.leaving:
            return None
        if now >= tenure.sent_now + self.timing.ttl_s:
            return None
        if not 0 <= wall - tenure.sent_wall < self.timing.ttl_s:
            return None
        return tenure.fence

    @property
    def released(self) -> bool:
        """Return whether nothing is left to do after `give_up`."""
        idle = self.out is None and self.unproven is None
        return self.leaving and idle and self.tenure is None

    @property
    def checks(self) -> dict[str, int]:
        """Return the check that fails once another process has taken the lease."""
        return {self.lease_key: self.tenure.lease_version if self.tenure else -1}

    def give_up(self) -> None:
        """Hold no longer; the next step tells the others, so that they need not wait.

        Call it only once no order is on its way.
        """
        self.leaving = True
        self.next_at = 0.0

    def step(self, now: float, wall: float) -> Step | None:
        """Return the step to take now, if one is due."""
        if self.out is not None or now < self.next_at:
            return None
        self.out = self.choose_step(now, wall)
        return self.out

    def choose_step(self, now: float, wall: float) -> Step | None:
        if self.unproven is not None:
            return Read([self.lease_key, self.beat_key])
        if self.leaving:
            return self.release()
        if self.tenure is not None:
            return self.renew(self.tenure, now, wall)
        if self.watched is not None and self.may_take(self.watched, now):
            if not self.is_candidate and now > self.looked_at + self.timing.ttl_s:
                # Seen long ago, so that it has surely moved on.
                return Read([self.lease_key, self.beat_key])
            return self.take_over(self.watched, now, wall)
        return Read([self.lease_key, self.beat_key])

    def may_take(self, watched: Watched, now: float) -> bool:
        """Return whether the holder has certainly stopped counting on its lease.

        The holder counts from before it sent the renewal that we saw afterwards, so
        its time is over before ours is, whatever the clocks say.
        """
        if watched.holder == NOBODY:
            return True
        return now >= self.watched_since + self.timing.ttl_s + self.timing.guard_s

    def try_beat(self, fence: int, now: float, wall: float) -> Json:
        """Return the beat row of a renewal or takeover, and remember when it left.

        No two tries share a number. Were a renewal of unknown outcome followed by one
        of the same number, the first one's late arrival would pass for the second,
        and the holder would count from too late a moment.
        """
        self.beats += 1
        self.unproven = Unproven(fence, self.beats, now, wall)
        return {"fence": fence, "beat": self.beats, "crowd": self.vms}

    def take_over(self, watched: Watched, now: float, wall: float) -> Step:
        fence = watched.fence + 1
        beat = self.try_beat(fence, now, wall)
        return Transact(
            {
                self.lease_key: watched.lease_version,
                self.beat_key: watched.beat_version,
            },
            {
                self.lease_key: {"holder": self.holder, "fence": fence},
                self.beat_key: beat,
            },
        )

    def renew(self, tenure: Tenure, now: float, wall: float) -> Step:
        beat = self.try_beat(tenure.fence, now, wall)
        return Transact(
            {
                self.lease_key: tenure.lease_version,
                self.beat_key: tenure.beat_version,
            },
            {self.beat_key: beat},
        )

    def release(self) -> Step | None:
        tenure = self.tenure
        self.tenure = None
        if tenure is None:
            self.next_at = float("inf")
            return None
        return Transact(
            {self.lease_key: tenure.lease_version},
            {self.lease_key: {"holder": NOBODY, "fence": tenure.fence}},
        )

    @property
    def watch_s(self) -> float:
        """Return how long to wait between two looks at somebody else's lease.

        Load pattern: dozens of VMs contend for a lease that one of them holds for days.
        Each look is a call that is paid for, and finds nothing. So as many as are needed
        look often, by a draw of their own, and all others seldom.
        """
        return self.timing.watch_s * (1 if self.is_candidate else SLOW_WATCHES)

    @property
    def is_candidate(self) -> bool:
        return self.draw * max(1, self.vms) < CANDIDATES

    @property
    def is_involved(self) -> bool:
        """Return whether it holds the lease, may hold it, or watches it closely."""
        busy = self.out is not None or self.unproven is not None or self.leaving
        return busy or self.tenure is not None or self.is_candidate

    def took(self, result: Result, now: float) -> None:
        """Take the result of the step that is out."""
        step, self.out = self.out, None
        match step, result:
            case Transact(), Written():
                self.written(result, now)
            case Transact(), Conflict() | Failure.NOT_DONE:
                self.refused(result, now)
            case Read(), Rows():
                self.observe(result, now)
            case _:
                # A lost answer is no renewal until a read proves that it was one.
                self.next_at = now + self.retry_s

    @property
    def retry_s(self) -> float:
        return self.timing.renew_s / 4

    def written(self, result: Written, now: float) -> None:
        unproven, self.unproven = self.unproven, None
        if unproven is None:
            return
        lease_version = result.versions.get(self.lease_key)
        if lease_version is None:
            assert self.tenure is not None, "a renewal belongs to a tenure"
            lease_version = self.tenure.lease_version
        self.hold(unproven, lease_version, result.versions[self.beat_key], now)

    def hold(
        self, proven: Unproven, lease_version: int, beat_version: int, now: float
    ) -> None:
        self.tenure = Tenure(
            proven.fence,
            lease_version,
            beat_version,
            proven.sent_now,
            proven.sent_wall,
        )
        self.watched = None
        self.next_at = max(now, proven.sent_now + self.timing.renew_s)

    def refused(self, result: Result, now: float) -> None:
        """Nothing was written: the rows have moved on, or the table is away."""
        if isinstance(result, Conflict):
            # What is in the way may be our own delayed write, so read before judging.
            self.next_at = now
            if self.tenure is None:
                self.unproven = None
                self.watched = None
            return
        self.unproven = None
        self.next_at = now + self.retry_s

    def observe(self, rows: Rows, now: float) -> None:
        """Take the rows as they are: ours, proven ours, or another's to be watched."""
        lease = rows.value(self.lease_key) or {"holder": NOBODY, "fence": 0}
        beat = rows.value(self.beat_key) or {"fence": 0, "beat": 0}
        lease_version = rows.version(self.lease_key)
        beat_version = rows.version(self.beat_key)
        self.looked_at = now
        unproven, self.unproven = self.unproven, None
        if unproven is not None and lease["holder"] == self.holder:
            if (beat["fence"], beat["beat"]) == (unproven.fence, unproven.beat):
                self.hold(unproven, lease_version, beat_version, now)
                return
            if self.tenure is not None and lease_version == self.tenure.lease_version:
                # Still ours, by the older renewal. The newer one may yet arrive; it
                # then changes the beat's version, and the next renewal notices.
                self.tenure = replace(self.tenure, beat_version=beat_version)
                self.next_at = now
                return
        self.tenure = None
        # A new holder has not counted yet; what was known before is nearer the truth.
        self.vms = beat.get("crowd", 0) or self.vms
        seen = Watched(lease_version, beat_version, lease["fence"], lease["holder"])
        look = now + self.watch_s
        if seen != self.watched:
            self.watched, self.watched_since = seen, now
            if seen.holder != NOBODY:
                self.next_at = look
                return
        wait = self.timing.ttl_s + self.timing.guard_s
        free = self.watched_since + (0.0 if seen.holder == NOBODY else wait)
        # Taken over right then, without another read: the compare-and-set looks.
        self.next_at = max(now, min(look, free))

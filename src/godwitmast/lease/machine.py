"""State machine of a lease in the platform's table that needs no synchronised clocks.

A lease has two rows. `lease/NAME` names the holder and the fencing token, and is
written only when the holder changes, so that the holder's other transactions can check
its version. `lease/NAME/beat` is the heartbeat that the holder renews.

A restore of the table takes both rows back. Whoever held the lease then, perhaps by rows
that are lost and unaware of the restore, still counts on its time. So all others wait
as long as for a holder that they have just seen, also if the rows name none, and
fencing tokens start above those of the epoch before.

A holder makes calls to a platform that does not check fencing tokens. A call without an
answer may arrive when another process holds the lease, so each holder begins its first
call only when those of the last one have arrived or no longer can. Nor may a holder
call again within the lease time if another one called in between.
"""

import math
from dataclasses import dataclass, replace
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

from godwitmast.lease.call_log import CallLog
from godwitmast.platform_api.epoch import may_lack_rows
from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import Failure, Read, Result, Rows, Step, Transact
from godwitmast.types import Json

TARGET_CANDIDATES = 8
"""How many contenders poll a lease often, on average. When all of 67 VMs did, polling
took 28 calls a second, and only one contender can win. Each decides by its own hash, so
that once in 3,000 times there is no candidate; the others' rare reads then suffice."""

SLOW_WATCH_FACTOR = 8
"""By how much longer than a candidate the others wait between two reads. Their reads
matter only when every candidate has failed, which the loss of a zone may cause in a
small system."""

FENCE_BITS = 20
"""Bits of a fencing token below its epoch: the changes of holder in one epoch."""

RECLAIM_SHARE = 0.8
"""Share of a challenger's wait within which a holder, though its time is over, may claim
its lease after a restore. No other can have taken it in the lost transactions by then,
also if clocks differ in rate by a fifth."""

NO_HOLDER = ""
"""Value of `holder` in the row of a lease that was released."""


class LeaseTiming(NamedTuple):
    """Time constants of a lease; `guard_s` must exceed the time-out of any order.

    A holder counts on its lease for `ttl_s` after a renewal, a challenger waits for
    `ttl_s + guard_s`. The difference also covers a challenger's clock that runs faster
    than the holder's: at the defaults, by a third. A new holder takes over at most
    `watch_s + ttl_s + guard_s` after the old one's last renewal.

    `late_s` is the assumed bound from the writing of a call to its arrival: twice the
    time for which the kernel sends unacknowledged bytes again, to leave the platform as
    much for performing it.
    """

    ttl_s: float = 9.0
    guard_s: float = 3.0
    renew_s: float = 3.0
    watch_s: float = 6.0
    late_s: float = 6.0


class Guard(Protocol):
    """Checks that work under a lease makes before each order."""

    def fence_if_held(self, now: float, wall: float) -> int | None:
        """Return the fencing token if the lease is held at this moment, else None."""

    def fence_for_call(
        self, now: float, wall: float, predecessor_settled: bool = False
    ) -> int | None:
        """Return the fencing token if a call may begin now, else None.

        It may not while an earlier call with a lower token may still arrive. With
        `predecessor_settled`, a holder whose lease lapsed is known to have left none.
        """

    def begin_call(
        self, now: float, wall: float, predecessor_settled: bool = False
    ) -> int | None:
        """Begin a call if it may, and return its token; `end_call` must follow.

        Its time-out must be shorter than the lease's `guard_s`. Check `fence_if_held`
        again right before it is written.
        """

    def end_call(self, fence: int, settled: bool, now: float) -> None:
        """End a call, which is settled if it can no longer arrive."""

    def calls_settled(self, now: float) -> bool:
        """Return whether no call of this process may still arrive."""

    @property
    def checks(self) -> dict[str, int]:
        """Return the row versions that make a deposed holder's transaction fail."""

    @property
    def reclaimed(self) -> bool:
        """Return whether it was held before a restore of the table, and since."""

    @property
    def held_lease(self) -> "HeldLease | None":
        """Return the lease with its last confirmed renewal, perhaps a lapsed one."""


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A held lease, whose time counts from when its last confirmed renewal was sent."""

    fence: int
    lease_version: int
    beat_version: int
    sent_now: float
    sent_wall: float
    epoch: int
    reclaimed: bool


@dataclass(frozen=True, slots=True)
class PendingRenewal:
    """A renewal or takeover whose outcome is not known yet."""

    fence: int
    beat: int
    sent_now: float
    sent_wall: float
    reclaims: bool


class ObservedRows(NamedTuple):
    """The rows as last read; a change of any field restarts the wait for a takeover.

    `epoch` is the one in which the lease was last taken or released, None if unknown.
    `calls_s` is how long calls could still arrive when the lease was released, and
    `return_wait_s` how long the holder before that one had to wait until its next call.
    """

    lease_version: int
    beat_version: int
    fence: int
    holder: str
    epoch: int | None
    calls_s: float = 0.0
    return_wait_s: float = 0.0


def read_seconds(lease: Json, name: str, longest_s: float) -> float:
    """Return for how long to wait after a release, by a field of the lease's row.

    A row of an earlier version lacks the field. The longest time counts then, and in
    place of a value that is not valid.
    """
    value = lease.get(name)
    if isinstance(value, int | float) and not isinstance(value, bool):
        return float(value) if 0 <= value <= longest_s else longest_s
    return longest_s


class LeaseMachine:
    """One process that contends for one lease or holds it.

    `step` returns the next table step when one is due, `took` applies its result, and
    at most one step is in flight at a time. `holder` must be unique to each process
    start, since a restarted process does not know what its predecessor sent.
    `first_start` tells that the process belongs to the first start of the whole system,
    so that nobody held the lease before.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        timing: LeaseTiming = LeaseTiming(),
        first_start: bool = False,
    ) -> None:
        self.name = name
        self.holder = holder
        self.timing = timing
        self.first_start = first_start
        self.lease_key = f"lease/{name}"
        self.beat_key = f"lease/{name}/beat"
        self.held_lease: HeldLease | None = None
        self.pending_renewal: PendingRenewal | None = None
        self.observed: ObservedRows | None = None
        self.observed_since = 0.0
        self.pending_step: Step | None = None
        self.next_at = 0.0
        self.releasing = False
        self.beat_count = 0
        # The number of contenders, as the holder last wrote it to the field "crowd" of
        # the heartbeat row, 0 if unknown; and this one's hash in [0, 1), which decides
        # whether it is a candidate.
        self.vm_count = 0
        self.hash_fraction = xxh3_64_intdigest(holder.encode()) / 2**64
        self.read_at = -math.inf
        self.epoch = 0
        self.restored = False
        self.calls = CallLog(timing.late_s)
        self.calls_stopped = False
        # Calls of earlier holders may arrive until then. The second time is a bound for a
        # holder whose lease lapsed, and may have left none.
        self.calls_from = -math.inf
        self.calls_from_after_lapse = -math.inf
        # The last holder before this process may not call again until then, if this
        # process has called.
        self.return_from = -math.inf
        self.has_called = False

    def fence_if_held(self, now: float, wall: float) -> int | None:
        """Return the fencing token if the lease is held at this moment, else None.

        A process that is paused past its lease, or a VM that is suspended so that its
        monotonic clock stops, would otherwise send orders beside its successor. So
        the lease must be valid by both clocks. A wall clock that was set back is no
        evidence of that, and makes the lease invalid.
        """
        held_lease = self.held_lease
        if held_lease is None or self.releasing:
            return None
        if now >= held_lease.sent_now + self.timing.ttl_s:
            return None
        if not 0 <= wall - held_lease.sent_wall < self.timing.ttl_s:
            return None
        return held_lease.fence

    def fence_for_call(
        self, now: float, wall: float, predecessor_settled: bool = False
    ) -> int | None:
        """Return the fencing token if a call may begin now, else None."""
        fence = self.fence_if_held(now, wall)
        if fence is None or self.calls_stopped:
            return None
        if now < self.calls_from or now < self.calls.arrive_until(other_than=fence):
            return None
        if now < self.calls_from_after_lapse and not predecessor_settled:
            return None
        return fence

    def begin_call(
        self, now: float, wall: float, predecessor_settled: bool = False
    ) -> int | None:
        """Begin a call if it may, and return its token."""
        fence = self.fence_for_call(now, wall, predecessor_settled)
        if fence is not None:
            self.calls.begin(fence)
            self.has_called = True
        return fence

    def end_call(self, fence: int, settled: bool, now: float) -> None:
        """End a call, which is settled if it can no longer arrive."""
        self.calls.end(fence, settled, now)

    def calls_settled(self, now: float) -> bool:
        """Return whether no call of this process may still arrive."""
        return self.calls.arrive_until() <= now

    def stop_calls(self) -> None:
        """Begin no more calls, but hold the lease until those that are open have ended."""
        self.calls_stopped = True

    @property
    def released(self) -> bool:
        """Return whether nothing is left to be written after `give_up`."""
        idle = self.pending_step is None and self.pending_renewal is None
        return self.releasing and idle and self.held_lease is None

    @property
    def checks(self) -> dict[str, int]:
        """Return the row version that changes once another process takes the lease."""
        return {
            self.lease_key: self.held_lease.lease_version if self.held_lease else -1
        }

    @property
    def reclaimed(self) -> bool:
        """Return whether it was held before a restore of the table, and since."""
        return self.held_lease is not None and self.held_lease.reclaimed

    def give_up(self) -> None:
        """Stop holding the lease; the next step releases it, so that nobody waits.

        Call it only when no call is open.
        """
        self.releasing = True
        self.next_at = 0.0

    def observe_epoch(
        self, epoch: int, restored: bool, now: float, wall: float
    ) -> None:
        """Apply the table's epoch, and whether this process saw it rise.

        Call it before each step and each result. What was read, and any renewal without
        an outcome, is of no use after a restore. The holder claims its lease again.
        """
        if epoch <= self.epoch:
            return
        self.epoch, self.restored = epoch, restored
        self.observed = None
        self.pending_renewal = None
        # No row of the restored table proves which calls an earlier holder made.
        self.calls_from = max(self.calls_from, self.calls_from_after_lapse)
        if self.held_lease is not None and not self.may_reclaim(
            self.held_lease, now, wall
        ):
            self.held_lease = None
        if self.held_lease is not None:
            self.next_at = now

    def may_reclaim(self, held_lease: HeldLease, now: float, wall: float) -> bool:
        """Return whether no other can have taken the lease before a restore."""
        limit_s = RECLAIM_SHARE * (self.timing.ttl_s + self.timing.guard_s)
        wall_s = wall - held_lease.sent_wall
        return now < held_lease.sent_now + limit_s and 0 <= wall_s < limit_s

    @property
    def reclaims(self) -> bool:
        """Return whether it held the lease before a restore, and claims it again."""
        return self.held_lease is not None and self.held_lease.epoch != self.epoch

    def step(self, now: float, wall: float) -> Step | None:
        """Return the step to take now, if one is due."""
        if self.pending_step is not None or now < self.next_at:
            return None
        self.pending_step = self.choose_step(now, wall)
        return self.pending_step

    def choose_step(self, now: float, wall: float) -> Step | None:
        if self.pending_renewal is not None:
            return Read([self.lease_key, self.beat_key])
        if self.releasing:
            return self.release(now)
        if self.reclaims:
            if self.observed is None:
                return Read([self.lease_key, self.beat_key])
            return self.take_over(self.observed, now, wall)
        if self.held_lease is not None:
            return self.renew(self.held_lease, now, wall)
        if self.observed is not None and self.may_take_over(self.observed, now):
            if not self.is_candidate and now > self.read_at + self.timing.ttl_s:
                # The rows were read too long ago for the compare-and-set to succeed.
                return Read([self.lease_key, self.beat_key])
            return self.take_over(self.observed, now, wall)
        return Read([self.lease_key, self.beat_key])

    def may_take_over(self, observed: ObservedRows, now: float) -> bool:
        """Return whether the holder has certainly stopped counting on its lease.

        The holder counts from when it sent the renewal, and this process from when it
        first read it, which is later. So the holder's time ends first, whatever the
        two clocks show.
        """
        if self.is_vacant(observed):
            return True
        return now >= self.observed_since + self.timing.ttl_s + self.timing.guard_s

    def is_vacant(self, observed: ObservedRows) -> bool:
        """Return whether nobody holds the lease: released, and not before a restore."""
        return observed.holder == NO_HOLDER and observed.epoch == self.epoch

    def begin_renewal(self, fence: int, now: float, wall: float) -> Json:
        """Return the heartbeat row of a renewal or takeover, and record its send time.

        Each attempt has its own number. If a renewal of unknown outcome were repeated
        under the same number, a late write of the first would be taken for the second,
        and the holder would count its time from too late a moment.
        """
        self.beat_count += 1
        reclaims = self.reclaims or self.reclaimed
        self.pending_renewal = PendingRenewal(
            fence, self.beat_count, now, wall, reclaims
        )
        return {"fence": fence, "beat": self.beat_count, "crowd": self.vm_count}

    def take_over(self, observed: ObservedRows, now: float, wall: float) -> Step:
        fence = max(observed.fence, self.epoch << FENCE_BITS) + 1
        if not self.reclaims:
            self.wait_for_calls_of(observed)
        beat = self.begin_renewal(fence, now, wall)
        return Transact(
            {
                self.lease_key: observed.lease_version,
                self.beat_key: observed.beat_version,
            },
            {
                self.lease_key: self.lease_row(self.holder, fence),
                self.beat_key: beat,
            },
        )

    def renew(self, held_lease: HeldLease, now: float, wall: float) -> Step:
        beat = self.begin_renewal(held_lease.fence, now, wall)
        return Transact(
            {
                self.lease_key: held_lease.lease_version,
                self.beat_key: held_lease.beat_version,
            },
            {self.beat_key: beat},
        )

    def wait_for_calls_of(self, observed: ObservedRows) -> None:
        """Set from when on calls may begin, by how the last holder's lease ended."""
        self.calls_from = self.calls_from_after_lapse = self.return_from = -math.inf
        self.has_called = False
        if self.is_vacant(observed):
            wait_s = max(observed.calls_s, observed.return_wait_s)
            self.calls_from = self.observed_since + wait_s
            if observed.fence:
                last_call_by = self.observed_since + observed.calls_s
                self.return_from = last_call_by + self.timing.ttl_s
            return
        until = self.observed_since + self.timing.ttl_s + self.timing.late_s
        if observed.epoch == self.epoch:
            self.calls_from_after_lapse = until
        else:
            self.calls_from = until

    def calls_arrive_for_s(self, now: float) -> float:
        """Return how long calls of this or earlier holders may still arrive."""
        until = max(
            self.calls.arrive_until(), self.calls_from, self.calls_from_after_lapse
        )
        return min(max(0.0, until - now), self.timing.late_s)

    def return_wait_s(self, now: float) -> float:
        """Return for how long the last holder before this process may not call.

        It may be the next one, and would act before and after this one within the lease
        time. After a lapse it couldn't be back that soon.
        """
        if not self.has_called:
            return 0.0
        return min(max(0.0, self.return_from - now), self.timing.ttl_s)

    def release(self, now: float) -> Step | None:
        held_lease = self.held_lease
        self.held_lease = None
        if held_lease is None:
            self.next_at = float("inf")
            return None
        return Transact(
            {self.lease_key: held_lease.lease_version},
            {
                self.lease_key: {
                    **self.lease_row(NO_HOLDER, held_lease.fence),
                    "calls_s": self.calls_arrive_for_s(now),
                    "return_wait_s": self.return_wait_s(now),
                }
            },
        )

    def lease_row(self, holder: str, fence: int) -> Json:
        return {"holder": holder, "fence": fence, "epoch": self.epoch}

    @property
    def watch_s(self) -> float:
        """Return the seconds between two reads of a lease that another process holds.

        Load pattern: dozens of VMs contend for a lease that one of them holds for days.
        Each read is a paid call and finds nothing new. So only a few candidates, chosen
        by their own hash, read often, and all others rarely.
        """
        return self.timing.watch_s * (1 if self.is_candidate else SLOW_WATCH_FACTOR)

    @property
    def is_candidate(self) -> bool:
        return self.hash_fraction * max(1, self.vm_count) < TARGET_CANDIDATES

    @property
    def is_active(self) -> bool:
        """Return whether it holds the lease, may hold it, or is a candidate."""
        busy = (
            self.pending_step is not None
            or self.pending_renewal is not None
            or self.releasing
        )
        return busy or self.held_lease is not None or self.is_candidate

    def took(self, result: Result, now: float) -> None:
        """Apply the result of the step in flight."""
        step, self.pending_step = self.pending_step, None
        match step, result:
            case Transact(), Written():
                self.apply_written(result, now)
            case Transact(), Conflict() | Failure.NOT_DONE:
                self.apply_refusal(result, now)
            case Read(), Rows():
                self.apply_rows(result, now)
            case _:
                # After a lost answer, a read must confirm that the renewal was written.
                self.next_at = now + self.retry_s

    @property
    def retry_s(self) -> float:
        return self.timing.renew_s / 4

    def apply_written(self, result: Written, now: float) -> None:
        pending_renewal, self.pending_renewal = self.pending_renewal, None
        if pending_renewal is None:
            return
        lease_version = result.versions.get(self.lease_key)
        if lease_version is None:
            assert self.held_lease is not None, "a renewal belongs to a held lease"
            lease_version = self.held_lease.lease_version
        self.confirm(
            pending_renewal, lease_version, result.versions[self.beat_key], now
        )

    def confirm(
        self, proven: PendingRenewal, lease_version: int, beat_version: int, now: float
    ) -> None:
        self.held_lease = HeldLease(
            proven.fence,
            lease_version,
            beat_version,
            proven.sent_now,
            proven.sent_wall,
            self.epoch,
            proven.reclaims,
        )
        self.observed = None
        self.next_at = max(now, proven.sent_now + self.timing.renew_s)

    def apply_refusal(self, result: Result, now: float) -> None:
        """Handle a step that wrote nothing: a row has changed, or the table is down."""
        if isinstance(result, Conflict):
            # The conflicting write may be this process's own delayed one: read first.
            self.next_at = now
            if self.held_lease is None:
                self.pending_renewal = None
                self.observed = None
            return
        self.pending_renewal = None
        self.next_at = now + self.retry_s

    @property
    def missing_row(self) -> Json:
        """Return a row for a lease without one, which a restore may have lost.

        It is then waited for, as if another process held it.
        """
        lost = may_lack_rows(self.epoch, self.restored, self.first_start)
        return {
            "holder": NO_HOLDER,
            "fence": 0,
            "epoch": None if lost else self.epoch,
            "calls_s": 0.0,
            "return_wait_s": 0.0,
        }

    def apply_rows(self, rows: Rows, now: float) -> None:
        """Apply the rows that were read.

        They confirm the pending renewal, show that an older one still holds, or belong
        to another process, whose lease is then observed.
        """
        lease = rows.value(self.lease_key) or self.missing_row
        beat = rows.value(self.beat_key) or {"fence": 0, "beat": 0}
        lease_version = rows.version(self.lease_key)
        beat_version = rows.version(self.beat_key)
        self.read_at = now
        pending_renewal, self.pending_renewal = self.pending_renewal, None
        if pending_renewal is not None and lease["holder"] == self.holder:
            if (beat["fence"], beat["beat"]) == (
                pending_renewal.fence,
                pending_renewal.beat,
            ):
                self.confirm(pending_renewal, lease_version, beat_version, now)
                return
            if (
                self.held_lease is not None
                and lease_version == self.held_lease.lease_version
            ):
                # The lease is still held, by the older renewal. The newer one may be
                # written late; it changes the heartbeat's version, so that the next
                # renewal conflicts.
                self.held_lease = replace(self.held_lease, beat_version=beat_version)
                self.next_at = now
                return
        seen = ObservedRows(
            lease_version,
            beat_version,
            lease["fence"],
            lease["holder"],
            lease.get("epoch", 0),
            read_seconds(lease, "calls_s", self.timing.late_s),
            read_seconds(lease, "return_wait_s", self.timing.ttl_s),
        )
        if self.reclaims and seen.epoch != self.epoch:
            self.observed, self.observed_since, self.next_at = seen, now, now
            return
        self.held_lease = None
        # A new holder has not counted the VMs yet; the earlier count is a better one.
        self.vm_count = beat.get("crowd", 0) or self.vm_count
        next_read_at = now + self.watch_s
        if seen != self.observed:
            self.observed, self.observed_since = seen, now
            if not self.is_vacant(seen):
                self.next_at = next_read_at
                return
        wait_s = self.timing.ttl_s + self.timing.guard_s
        free_at = self.observed_since + (0.0 if self.is_vacant(seen) else wait_s)
        # The takeover needs no further read, since its compare-and-set checks the rows.
        self.next_at = max(now, min(next_read_at, free_at))

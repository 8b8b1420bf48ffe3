"""Calls under a lease to a platform, from the check of the lease to the outcome."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple, Self

from godwitmast.clock import Clock
from godwitmast.errors import LeaseLost, PlatformUnavailable
from godwitmast.lease.machine import Guard
from godwitmast.platform_api.epoch import number_of
from godwitmast.types import Json


class SentUnder(NamedTuple):
    """When a call was sent, and the renewal of the lease that was the last one then."""

    wall: float
    renewal: int
    renewal_age_s: float
    epoch: int


class DutyCall:
    """A call that was allowed by the lease, and how it was sent.

    It is settled once it was answered, or if it was not written. One that was written
    and is then cancelled or times out may still arrive.
    """

    def __init__(self, guard: Guard, clock: Clock, fence: int) -> None:
        self.guard = guard
        self.clock = clock
        self.fence = fence
        self.begun_at = clock.now()
        self.written = False
        self.sent: SentUnder | None = None
        self.settled = False

    @classmethod
    def begin(
        cls, guard: Guard, clock: Clock, predecessor_settled: bool = False
    ) -> Self | None:
        """Begin a call if the lease allows it now, else return None.

        The call must be made in the context of `settling`.
        """
        fence = guard.begin_call(clock.now(), clock.wall(), predecessor_settled)
        return cls(guard, clock, fence) if fence is not None else None

    def before_write(self) -> None:
        """Check the lease again, right before bytes of the call are written.

        Between the first check and this one the call waits for its turn and for a
        connection, and the process may have been suspended beyond its lease.
        """
        now, wall = self.clock.now(), self.clock.wall()
        if self.guard.fence_if_held(now, wall) != self.fence:
            raise LeaseLost("not written, as the lease is over")
        self.written = True
        lease = self.guard.held_lease
        if self.sent is None and lease is not None:
            age_s = now - lease.sent_now
            self.sent = SentUnder(wall, lease.beat_version, age_s, lease.epoch)

    @contextmanager
    def settling(self) -> Iterator[None]:
        """End the call with this context, and record whether it was settled."""
        try:
            yield
            self.settled = True
        except PlatformUnavailable:
            self.settled = True
            raise
        except BaseException:
            self.settled = not self.written
            raise
        finally:
            self.guard.end_call(self.fence, self.settled, self.clock.now())

    def log_fields(self) -> Json:
        """Return log fields that tell a late call of one holder from two holders."""
        fields: Json = {
            "fence": self.fence,
            "settled": self.settled,
            "took_s": round(self.clock.now() - self.begun_at, 3),
        }
        if self.sent is not None:
            fields |= {
                "sent_at": f"{self.sent.wall:.3f}",
                "renewal": number_of(self.sent.renewal),
                "renewal_age_s": round(self.sent.renewal_age_s, 3),
                "epoch": self.sent.epoch,
            }
        return fields

"""Desired numbers are sent by one lease holder at a time, for any platform answer."""

from dataclasses import dataclass, field

import anyio
import pytest
from prometheus_client import CollectorRegistry

from fakes import FakeGuard
from godwitmast.capacity.demand import OPEN_REQUESTS_KEY
from godwitmast.capacity.messages import OrderOutcome
from godwitmast.capacity.zonal import (
    FAILURE_BACKOFF_S,
    OBSERVATION_S,
    DesiredServers,
    ZonalLimits,
)
from godwitmast.capacity.zonal_duty import ZonalDuty, sum_open_requests
from godwitmast.clock import ManualClock
from godwitmast.config.document import Backend
from godwitmast.errors import PlatformError, PlatformOutcomeUnknown, PlatformUnavailable
from godwitmast.platform_api.port import WriteHook
from godwitmast.types import PoolName, ZoneName

pytestmark = pytest.mark.anyio

POOL = PoolName("lm")
LIMITS = ZonalLimits(1, 4, 4.0, 0.22, {ZoneName("a"): 1.0})


@dataclass
class FakePlatform:
    """Accepts numbers, fails or hangs, as the test configures."""

    fails: PlatformError | None = None
    hangs: bool = False
    orders: list[tuple[DesiredServers, int]] = field(default_factory=list)

    async def order_servers(
        self,
        pool: PoolName,
        wanted: DesiredServers,
        fence: int,
        before_write: WriteHook,
    ) -> OrderOutcome:
        self.orders.append((wanted, fence))
        if self.hangs:
            await anyio.sleep_forever()
        if self.fails is not None:
            raise self.fails
        return OrderOutcome.DONE


class DutyHarness:
    """A duty with a platform, a clock and a lease, run round by round."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.clock = ManualClock()
        self.lease = FakeGuard(1, fence=7)
        servers = {
            name: Backend(f"http://{name}", "a", frozenset([POOL]))
            for name in ("e1", "e2")
        }
        self.duty = ZonalDuty(
            self.platform,
            self.clock,
            lambda: {POOL: LIMITS},
            lambda: servers,
            lambda pool: 0.0,
            CollectorRegistry(),
            order_timeout_s=0.01,
        )

    async def round(self, after_s: float) -> list[tuple[DesiredServers, int]]:
        """Run one round; return the numbers sent in it."""
        self.clock.advance(after_s)
        self.platform.orders.clear()
        for planner in self.duty.update_planners():
            await self.duty.run_round(planner, self.lease)
        return list(self.platform.orders)


@pytest.fixture
async def harness() -> DutyHarness:
    """Return a duty that has read the list for the observation period."""
    harness = DutyHarness()
    assert await harness.round(0.0) == []
    return harness


CHEAP = DesiredServers(ZoneName("a"), "cheap", 2)


async def test_holder_sends_the_number_with_its_fence(harness: DutyHarness) -> None:
    assert await harness.round(OBSERVATION_S + 0.1) == [(CHEAP, 7)]
    assert await harness.round(0.5) == []


async def test_deposed_holder_sends_no_number(harness: DutyHarness) -> None:
    """The process is paused beyond its lease, and resumes when a plan is due.

    A successor may send orders by then, so the lease is checked directly before each
    order.
    """
    harness.lease.fence = None
    assert await harness.round(OBSERVATION_S + 0.1) == []


@pytest.mark.parametrize(
    "error", [PlatformUnavailable("away"), PlatformOutcomeUnknown("no answer")]
)
async def test_number_that_may_not_have_arrived_is_sent_again(
    harness: DutyHarness, error: PlatformError
) -> None:
    harness.platform.fails = error
    assert await harness.round(OBSERVATION_S + 0.1) == [(CHEAP, 7)]
    harness.platform.fails = None
    assert await harness.round(0.5) == []
    assert await harness.round(FAILURE_BACKOFF_S) == [(CHEAP, 7)]
    assert await harness.round(0.5) == []


async def test_order_without_an_answer_times_out_before_the_lease_can_change_hands(
    harness: DutyHarness,
) -> None:
    harness.platform.hangs = True
    with anyio.fail_after(5):
        await harness.round(OBSERVATION_S + 0.1)
    harness.platform.hangs = False
    assert await harness.round(FAILURE_BACKOFF_S) == [(CHEAP, 7)]


async def test_pool_without_limits_is_no_longer_ordered(
    harness: DutyHarness,
) -> None:
    harness.duty.limits = dict
    assert await harness.round(OBSERVATION_S + 0.1) == []


def test_demand_sums_the_reports_of_entries_and_is_unknown_without_any() -> None:
    assert (
        sum_open_requests(
            [{OPEN_REQUESTS_KEY: {"lm": 3}}, {OPEN_REQUESTS_KEY: {"app": 1}}, {}], POOL
        )
        == 3
    )
    assert sum_open_requests([{}], POOL) is None
    assert sum_open_requests([], POOL) is None

"""Numbers of servers are sent by one holder at a time, whatever the platform answers."""

from dataclasses import dataclass, field

import anyio
import pytest
from prometheus_client import CollectorRegistry

from fakes import FakeGuard
from godwitmast.capacity.demand import OPEN
from godwitmast.capacity.messages import OrderOutcome
from godwitmast.capacity.zonal import (
    FAILURE_BACKOFF_S,
    OBSERVATION_S,
    Wanted,
    ZonalLimits,
)
from godwitmast.capacity.zonal_duty import ZonalDuty, open_requests
from godwitmast.clock import ManualClock
from godwitmast.config.document import Backend
from godwitmast.errors import PlatformError, PlatformOutcomeUnknown, PlatformUnavailable
from godwitmast.types import PoolName, ZoneName

pytestmark = pytest.mark.anyio

POOL = PoolName("lm")
LIMITS = ZonalLimits(1, 4, 4.0, 0.22, {ZoneName("a"): 1.0})


@dataclass
class Platform:
    """Takes numbers, or fails as it is told."""

    fails: PlatformError | None = None
    hangs: bool = False
    taken: list[tuple[Wanted, int]] = field(default_factory=list)

    async def order_servers(
        self, pool: PoolName, wanted: Wanted, fence: int
    ) -> OrderOutcome:
        self.taken.append((wanted, fence))
        if self.hangs:
            await anyio.sleep_forever()
        if self.fails is not None:
            raise self.fails
        return OrderOutcome.DONE


class Orders:
    """A duty with its platform, clock and lease, played round by round."""

    def __init__(self) -> None:
        self.platform = Platform()
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

    async def round(self, after_s: float) -> list[tuple[Wanted, int]]:
        """Play one round, and return what was sent in it."""
        self.clock.advance(after_s)
        self.platform.taken.clear()
        for planner in self.duty.update_planners():
            await self.duty.run_round(planner, self.lease)
        return list(self.platform.taken)


@pytest.fixture
async def orders() -> Orders:
    """Return a duty that has watched the list for long enough to plan."""
    orders = Orders()
    assert await orders.round(0.0) == []
    return orders


CHEAP = Wanted(ZoneName("a"), "cheap", 2)


async def test_holder_sends_the_number_with_its_fence(orders: Orders) -> None:
    assert await orders.round(OBSERVATION_S + 0.1) == [(CHEAP, 7)]
    assert await orders.round(0.5) == []


async def test_deposed_holder_sends_no_number(orders: Orders) -> None:
    """The process is paused past its lease, and its plan is due as it wakes up.

    A successor gives orders by then. The lease is asked in the last step before each.
    """
    orders.lease.fence = None
    assert await orders.round(OBSERVATION_S + 0.1) == []


@pytest.mark.parametrize(
    "error", [PlatformUnavailable("away"), PlatformOutcomeUnknown("no answer")]
)
async def test_number_that_may_not_have_arrived_is_sent_again(
    orders: Orders, error: PlatformError
) -> None:
    orders.platform.fails = error
    assert await orders.round(OBSERVATION_S + 0.1) == [(CHEAP, 7)]
    orders.platform.fails = None
    assert await orders.round(0.5) == []
    assert await orders.round(FAILURE_BACKOFF_S) == [(CHEAP, 7)]
    assert await orders.round(0.5) == []


async def test_order_without_an_answer_ends_before_the_lease_can_pass_on(
    orders: Orders,
) -> None:
    orders.platform.hangs = True
    with anyio.fail_after(5):
        await orders.round(OBSERVATION_S + 0.1)
    orders.platform.hangs = False
    assert await orders.round(FAILURE_BACKOFF_S) == [(CHEAP, 7)]


async def test_pool_that_may_no_longer_be_ordered_is_left_alone(
    orders: Orders,
) -> None:
    orders.duty.limits = dict
    assert await orders.round(OBSERVATION_S + 0.1) == []


def test_demand_adds_up_what_entries_said_and_is_unknown_without_them() -> None:
    assert open_requests([{OPEN: {"lm": 3}}, {OPEN: {"app": 1}}, {}], POOL) == 3
    assert open_requests([{}], POOL) is None
    assert open_requests([], POOL) is None

"""An idle VM uses almost no processor time."""

from collections import Counter

import anyio
import pytest

from fleet import Fleet
from godwitmast.entry import driver
from godwitmast.platform_api.feed import FeedFollower
from running import running

pytestmark = pytest.mark.anyio


async def test_router_without_requests_is_ticked_seldom(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against idle VMs that tick their routers twenty times a second each."""
    monkeypatch.setattr(driver, "IDLE_TICK_S", 60.0)
    ticks: Counter[str] = Counter()
    async with running(Fleet()) as fleet:
        router = fleet.node.driver.policy
        tick = router.tick

        def counted(now: float) -> object:
            ticks["all"] += 1
            return tick(now)

        monkeypatch.setattr(router, "tick", counted)
        await anyio.sleep(10 * driver.TICK_S)
        assert ticks["all"] <= 1


async def test_expired_rows_are_removed_although_the_task_was_asleep(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The task that removes rows after a grace sleeps until an outage makes some missing."""
    monkeypatch.setattr("godwitmast.platform_api.feed.RETURN_GRACE_S", 0.2)
    monkeypatch.setattr("godwitmast.platform_api.feed.MAX_WAIT_S", 0.3)
    async with running(Fleet()) as fleet:
        servers: FeedFollower = fleet.node.followers[1]
        fleet.store.faults.refusal_status = 503
        await fleet.wait_until(lambda: servers.view.unreachable_since is not None)
        for replica in fleet.replicas:
            fleet.store.remove_server(replica.server_id)
        fleet.store.faults.refusal_status = None
        await fleet.wait_until(lambda: not fleet.node.driver.listed_backends)

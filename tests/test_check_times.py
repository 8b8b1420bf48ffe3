"""An idle VM makes its periodic checks together."""

import asyncio
from collections import Counter
from itertools import pairwise
from random import Random
from typing import Any

import anyio
import pytest

from fleet import Fleet
from godwitmast.check_times import CHECK_GRID_S, until_check_s
from godwitmast.entry import driver as entry_driver
from godwitmast.lease import driver as lease_driver
from godwitmast.platform import daemon
from godwitmast.relay import driver as relay_driver
from godwitmast.relay import exchange
from running import running
from virtual_time import run_virtually

PERIODS_S = (0.25, 0.25, 0.5, 0.5, 1.0)
LONG_S = 10.0
APART_S = 0.001
"""The event loop's own timers end together within this time."""


@pytest.mark.parametrize("period_s", [0.02, 0.25, 0.4, 0.5, 1.0, 60.0])
def test_no_check_is_later_than_its_period(period_s: float) -> None:
    """Guards against a check that the grid delays, or one that makes a loop spin."""
    draw = Random(1)
    for _ in range(10_000):
        now, phase_s = draw.uniform(0, 1e6), draw.random()
        wait_s = until_check_s(now, period_s, phase_s)
        assert max(0.0, period_s - CHECK_GRID_S) < wait_s <= period_s + 1e-6
        assert until_check_s(now + wait_s, period_s, phase_s) > 0.0


def test_checks_of_one_process_share_wake_ups() -> None:
    """Guards against a wake-up of its own for each of the periodic checks of a VM."""
    times: list[float] = []

    async def check(period_s: float, after_s: float) -> None:
        loop = asyncio.get_running_loop()
        await anyio.sleep(after_s)
        while loop.time() < LONG_S:
            await anyio.sleep(until_check_s(loop.time(), period_s))
            times.append(loop.time())

    async def work() -> None:
        async with anyio.create_task_group() as tasks:
            for number, period_s in enumerate(PERIODS_S):
                tasks.start_soon(check, period_s, 0.037 * number)

    run_virtually(work)
    wakes = 1 + sum(after - at > APART_S for at, after in pairwise(times))
    assert len(times) >= LONG_S * sum(1 / period_s for period_s in PERIODS_S)
    assert wakes <= (times[-1] - times[0]) / CHECK_GRID_S + 1.5


@pytest.mark.anyio
async def test_checks_of_a_vm_are_made_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check of an idle VM that has a timer of its own again."""
    asked: Counter[str] = Counter()

    def count(module: Any) -> None:
        def counted(now: float, period_s: float) -> float:
            asked[module.__name__] += 1
            return until_check_s(now, period_s)

        monkeypatch.setattr(module, "until_check_s", counted)

    modules = (entry_driver, lease_driver, daemon, relay_driver, exchange)
    for module in modules:
        count(module)
    async with running(Fleet(settings={"invariants": ["pressure"]})) as fleet:
        await fleet.add_vm("front-2")
        await fleet.wait_until(lambda: len(asked) == len(modules))

"""The platform client: rate budget, circuit breaker and group commit."""

import random
from typing import Any

import anyio
import httpx
import pytest

from godwitmast.errors import PlatformOutcomeUnknown, PlatformUnavailable
from godwitmast.platform_api.client import PlatformClient
from godwitmast.platform_api.group_commit import GroupCommit
from godwitmast.platform_api.limits import (
    FAILURES_TO_OPEN,
    CircuitBreaker,
    Priority,
    RateBudget,
)
from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.settings import PlatformSettings
from godwitmast.standins.platform import StandinPlatform
from godwitmast.standins.settings import PlatformStandinSettings
from godwitmast.standins.table import Table
from running import running
from test_foreign_rows import UNREADABLE

pytestmark = pytest.mark.anyio


def test_bulk_leaves_a_reserve_to_control() -> None:
    budget = RateBudget(20.0)
    taken = 0
    while not budget.take_or_delay(1, Priority.BULK, 100.0):
        taken += 1
    assert taken == 15
    assert budget.take_or_delay(1, Priority.BULK, 100.0) > 0
    assert budget.take_or_delay(3, Priority.CONTROL, 100.0) == 0
    assert budget.take_or_delay(1, Priority.BULK, 101.0) == 0


def test_rate_holds_over_time() -> None:
    budget = RateBudget(10.0)
    now, taken = 0.0, 0
    while now < 60.0:
        delay = budget.take_or_delay(1, Priority.CONTROL, now)
        taken += not delay
        now += max(delay, 0.001)
    assert taken <= 10 + 10 * 60 + 1


def test_open_breaker_allows_one_probe_at_a_time() -> None:
    breaker = CircuitBreaker(random.Random(1))
    for _ in range(FAILURES_TO_OPEN):
        assert breaker.allow_call(0.0)
        breaker.record_failure(0.0)
    assert not breaker.allow_call(0.1)
    assert breaker.allow_call(1.0)
    assert not breaker.allow_call(1.0)
    breaker.record_failure(1.0)
    breaker.end_call()
    assert not breaker.allow_call(1.2)
    assert breaker.allow_call(6.0)
    breaker.record_success()
    breaker.end_call()
    assert breaker.allow_call(6.0)
    assert breaker.allow_call(6.0)


async def test_unreachable_platform_is_not_called_every_time() -> None:
    platform = StandinPlatform(PlatformStandinSettings())
    async with running(platform):
        settings = PlatformSettings(platform.server.url)
        async with PlatformClient(settings, "node") as client:
            platform.faults.outage = True
            for _ in range(100):
                with pytest.raises(PlatformUnavailable):
                    await client.read(["a"])
            assert sum(platform.requests.values()) <= FAILURES_TO_OPEN + 1
            platform.faults.outage = False
            with anyio.fail_after(5):
                while client.breaker.is_open:
                    try:
                        await client.read(["a"])
                    except PlatformUnavailable:
                        await anyio.sleep(0.02)


async def test_group_commit_returns_each_transaction_its_own_outcome() -> None:
    """Twenty claims are submitted at once, two of them for rows that already exist.

    They are sent in a few transactions; only those two get a conflict.
    """
    table = Table()
    table.transact({}, {"claim/3": 1, "claim/4": 1})

    async def send(checks: dict, writes: dict) -> Written | Conflict:
        await anyio.sleep(0.01)
        written, versions = table.transact(checks, writes)
        return Written(versions) if written else Conflict(versions)

    group = GroupCommit(send)
    outcomes: dict[int, object] = {}

    async def claim(number: int) -> None:
        key = f"claim/{number}"
        outcomes[number] = await group.transact({key: 0}, {key: number})

    async with anyio.create_task_group() as tasks:
        await group.start(tasks)
        async with anyio.create_task_group() as claims:
            for number in range(20):
                claims.start_soon(claim, number)
        tasks.cancel_scope.cancel()
    lost = [n for n, outcome in outcomes.items() if isinstance(outcome, Conflict)]
    assert sorted(lost) == [3, 4]
    assert group.sent <= 3
    assert {n: table.rows[f"claim/{n}"].value for n in range(20)} == {
        n: 1 if n in (3, 4) else n for n in range(20)
    }


async def test_group_commit_passes_on_an_unknown_outcome() -> None:
    async def send(checks: dict, writes: dict) -> Written:
        raise PlatformOutcomeUnknown("lost")

    group = GroupCommit(send)
    async with anyio.create_task_group() as tasks:
        await group.start(tasks)
        with pytest.raises(PlatformOutcomeUnknown):
            await group.transact({"a": 0}, {"a": 1})
        tasks.cancel_scope.cancel()


async def test_call_that_waits_while_its_client_is_closed_was_not_sent() -> None:
    """Guards against a call that ends its process, as the library refuses it."""
    platform = StandinPlatform(PlatformStandinSettings())
    async with running(platform):
        client = PlatformClient(PlatformSettings(platform.server.url), "vm-1")
        wait_for_budget = client.wait_for_budget

        async def close_meanwhile(*args: Any) -> None:
            await wait_for_budget(*args)
            await client.close()

        client.wait_for_budget = close_meanwhile
        with pytest.raises(PlatformUnavailable):
            await client.vms()


@pytest.mark.parametrize(
    "body",
    [*UNREADABLE.values(), b"{}", b'{"rows": 7}', b'{"rows": {"a": [1]}, "more": 1}'],
)
async def test_unreadable_answer_is_an_unknown_outcome(body: bytes) -> None:
    """Guards against bytes of the platform that end a process, or count as no rows."""
    client = PlatformClient(PlatformSettings("http://platform", 1.0), "entry-1")
    await client.http.aclose()
    transport = httpx.MockTransport(lambda request: httpx.Response(200, content=body))
    client.http = httpx.AsyncClient(transport=transport, base_url="http://platform")
    calls = (client.read(["a"]), client.scan("a"), client.transact({}, {"a": 1}))
    for call in (*calls, client.fleet(), client.vms()):
        with pytest.raises(PlatformOutcomeUnknown):
            await call
    await client.close()

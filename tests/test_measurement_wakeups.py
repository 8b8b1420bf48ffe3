"""When the exchange of measurements wakes up, in virtual time and without links."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import pairwise
from typing import Any, cast

import anyio
import pytest

from fleet import Fleet
from godwitmast.measurements.codec import decode_vm_report, encode_report
from godwitmast.measurements.messages import (
    Outcomes,
    ServerReport,
    VmReport,
    server_digest,
)
from godwitmast.outliers.log import Failed, OutcomeLog, Start
from godwitmast.relay.exchange import MeasurementLinks
from godwitmast.relay.machine import RelayMachine, RelayRow, Stage
from godwitmast.types import BackendId
from running import running
from virtual_time import run_virtually

TICK_S = 0.02
"""An urgent report left within this time when the exchange woke up at each tick."""

IDLE_S = 0.25
SLACK_S = 1e-6
QUIET_S = 10.0
SERVERS = [Start(BackendId(f"e{number}"), 1) for number in range(4)]
PHASES_S = (0.0, 0.003, 0.0101, 0.0199, 0.07, 0.2, 0.2501, 0.43, 0.777, 0.95, 0.999)


class LoopClock:
    """The event loop's own, virtual, clock."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()


class StubLink:
    """A link that records each report with its time, and may be slow."""

    def __init__(self) -> None:
        self.sent: list[tuple[float, VmReport]] = []
        self.delay_s = 0.0

    async def send_report(self, data: bytes) -> None:
        self.sent.append((LoopClock().now(), decode_vm_report(data)))
        await anyio.sleep(self.delay_s)


class StubRelay:
    """A VM's role, which a test sets."""

    def __init__(self, stage: Stage) -> None:
        self.machine = RelayMachine("a", RelayRow("vm-1/1", "127.0.0.1:1"))
        self.machine.stage = stage
        self.machine.relay_can_write = True
        self.relay_measures = True
        self.link = StubLink()


class Exchange:
    """A VM's exchange of measurements, and when it woke up and sent zone reports."""

    def __init__(self, stage: Stage) -> None:
        self.relay = StubRelay(stage)
        self.shares = True
        self.links = MeasurementLinks(
            cast(Any, self.relay), LoopClock(), "vm-1", "a", lambda: self.shares, int
        )
        self.log = OutcomeLog()
        self.log.on_new_failure = self.links.wake
        self.links.collector.outcomes = self.log.reports
        self.links.collector.is_urgent = self.log.pop_new_failures
        self.wakes: list[float] = []
        self.zone_reports: list[float] = []
        exchange, pass_on = self.links.exchange, self.links.pass_on

        async def counted(now: float) -> None:
            self.wakes.append(now)
            await exchange(now)

        def recorded(*args: Any) -> None:
            self.zone_reports.append(LoopClock().now())
            pass_on(*args)

        self.links.exchange = counted  # type: ignore[method-assign]
        self.links.pass_on = recorded  # type: ignore[method-assign]

    def fail(self, server: Start) -> None:
        now = LoopClock().now()
        self.log.record_failure(server, Failed(f"r-{server}", now), now)

    def told_at(self, server: Start) -> float | None:
        """Return when this VM first sent its relay a failure of a server."""
        at = [
            at
            for at, report in self.relay.link.sent
            for item in report.servers
            if item.server == digest(server)
        ]
        return min(at, default=None)

    def receive_failure(self) -> None:
        """Have a follower report a failure."""
        failed = Outcomes(0, 1, 1, failure_age_s=0.0)
        report = VmReport("vm-2", 1, 1, (ServerReport(7, 0.0, None, failed),))
        self.links.apply_vm_report(cast(Any, object()), encode_report(report))


def digest(server: Start) -> int:
    return server_digest(*server)


def play(stage: Stage, act: Callable[[Exchange], Awaitable[None]]) -> Exchange:
    """Run a VM's exchange in virtual time while `act` does something to it."""
    made: list[Exchange] = []

    async def work() -> None:
        exchange = Exchange(stage)
        made.append(exchange)
        async with anyio.create_task_group() as tasks:
            await exchange.links.start(tasks)
            await act(exchange)
            await exchange.links.close()

    run_virtually(work)
    return made[0]


@pytest.mark.parametrize(("stage", "most"), [(Stage.FOLLOWING, 6), (Stage.SERVING, 9)])
def test_a_quiet_vm_wakes_up_for_what_is_due_only(stage: Stage, most: int) -> None:
    """Guards against a check every 20 ms, which took 1.2 % of a core."""

    async def act(exchange: Exchange) -> None:
        await anyio.sleep(QUIET_S)

    exchange = play(stage, act)
    assert len(exchange.wakes) <= most * QUIET_S
    assert max(b - a for a, b in pairwise(exchange.wakes)) <= (IDLE_S + SLACK_S)


@pytest.mark.parametrize(
    ("stage", "period_s"), [(Stage.FOLLOWING, 1.0), (Stage.SERVING, 0.5)]
)
def test_reports_keep_their_period(stage: Stage, period_s: float) -> None:
    """Guards against reports that wait for the next check, or leave too early."""

    async def act(exchange: Exchange) -> None:
        await anyio.sleep(QUIET_S)

    exchange = play(stage, act)
    times = [at for at, _ in exchange.relay.link.sent] or exchange.zone_reports
    gaps = [b - a for a, b in pairwise(times)]
    assert len(gaps) >= QUIET_S / period_s - 2
    assert all(period_s - SLACK_S <= gap <= period_s + TICK_S for gap in gaps)


@pytest.mark.parametrize("after_s", PHASES_S)
def test_a_new_failure_leaves_within_a_tick(after_s: float) -> None:
    """Guards against a failure that waits for the next report or check."""

    async def act(exchange: Exchange) -> None:
        await anyio.sleep(2.5)
        before = max(at for at, _ in exchange.relay.link.sent)
        await anyio.sleep(before + 1.0 + after_s - LoopClock().now())
        last = max(at for at, _ in exchange.relay.link.sent)
        failed_at = LoopClock().now()
        exchange.fail(SERVERS[0])
        await anyio.sleep(0.5)
        told_at = exchange.told_at(SERVERS[0])
        assert told_at is not None
        assert told_at <= max(failed_at, last + 0.1) + TICK_S + SLACK_S

    play(Stage.FOLLOWING, act)


def test_servers_that_fail_at_once_are_in_one_report() -> None:
    """Guards against a report on the first of them that has the others wait for the
    next, a tenth of a second later."""

    async def act(exchange: Exchange) -> None:
        await anyio.sleep(2.503)
        for server in SERVERS:
            exchange.fail(server)
            await anyio.sleep(0.001)
        await anyio.sleep(0.3)
        assert len({exchange.told_at(server) for server in SERVERS}) == 1

    play(Stage.FOLLOWING, act)


def test_a_failure_during_the_sending_of_a_report_is_not_lost() -> None:
    """Guards against a wake-up that is cleared after the exchange that it came in."""

    async def act(exchange: Exchange) -> None:
        exchange.relay.link.delay_s = 0.15
        await anyio.sleep(2.5)
        while len(exchange.relay.link.sent) < 4:
            await anyio.sleep(0.001)
        ends_at = exchange.relay.link.sent[-1][0] + 0.15
        exchange.fail(SERVERS[0])
        await anyio.sleep(0.5)
        told_at = exchange.told_at(SERVERS[0])
        assert told_at is not None and told_at <= ends_at + TICK_S + SLACK_S

    play(Stage.FOLLOWING, act)


@pytest.mark.parametrize("after_s", PHASES_S)
def test_a_follower_s_new_failure_leaves_the_relay_within_a_tick(
    after_s: float,
) -> None:
    """Guards against a relay that keeps a failure until its next report."""

    async def act(exchange: Exchange) -> None:
        await anyio.sleep(2.0 + after_s)
        last, received_at = exchange.zone_reports[-1], LoopClock().now()
        count = len(exchange.zone_reports)
        exchange.receive_failure()
        await anyio.sleep(0.45)
        told_at = exchange.zone_reports[count]
        assert told_at <= max(received_at, last + 0.1) + TICK_S + SLACK_S

    play(Stage.SERVING, act)


@pytest.mark.parametrize("after_s", PHASES_S)
def test_changes_are_acted_on_within_the_idle_time(after_s: float) -> None:
    """Guards against a change of role or configuration that waits for a report."""

    async def act(exchange: Exchange) -> None:
        links, machine = exchange.links, exchange.relay.machine
        await anyio.sleep(2.0 + after_s)
        machine.stage = Stage.SERVING
        await anyio.sleep(IDLE_S + SLACK_S)
        assert links.merge is not None
        machine.stage = Stage.FOLLOWING
        await anyio.sleep(IDLE_S + SLACK_S)
        assert links.merge is None
        exchange.shares = False
        await anyio.sleep(IDLE_S + SLACK_S)
        assert not machine.reads_zones
        exchange.shares = True
        await anyio.sleep(IDLE_S + SLACK_S)
        assert machine.reads_zones

    play(Stage.FOLLOWING, act)


def test_a_vm_without_a_relay_does_not_spin() -> None:
    """Guards against a report that is due and can't be sent, and a loop without end."""

    async def act(exchange: Exchange) -> None:
        await anyio.sleep(2.0)
        exchange.relay.relay_measures = False
        exchange.wakes.clear()
        await anyio.sleep(QUIET_S)
        assert len(exchange.wakes) <= 6 * QUIET_S

    play(Stage.FOLLOWING, act)


@pytest.mark.anyio
async def test_failures_and_changes_of_role_wake_the_exchange_of_a_vm() -> None:
    """Guards against parts that work alone and are not wired together in a VM."""
    async with running(Fleet(settings={"invariants": ["pressure"]})) as fleet:
        node = await fleet.add_vm("front-2")
        await fleet.wait_until(lambda: node.driver.router is not None)
        router, links = node.driver.router, node.measurements
        assert router is not None
        links.woken = anyio.Event()
        log = router.shared_health.outliers.log
        log.record_failure(SERVERS[0], Failed("r", 1.0), 1.0)
        assert links.woken.is_set()
        links.woken = anyio.Event()
        node.relay.stage = Stage.LEAVING
        node.relay.log_stage_change()
        assert links.woken.is_set()

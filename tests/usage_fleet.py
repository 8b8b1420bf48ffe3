"""VMs that count, write and report usage on a store that can be restored, in virtual time."""

import asyncio
import random
from collections import defaultdict
from itertools import count
from typing import Any

import anyio
from anyio.abc import TaskGroup

from fakes import Backup, Fate, RestoredPlatform
from godwitmast.errors import PlatformOutcomeUnknown, PlatformUnavailable
from godwitmast.lease.driver import LeaseDriver
from godwitmast.lease.machine import LeaseMachine
from godwitmast.platform.daemon import lease_timing, usage_timing
from godwitmast.platform.settings import BoundsTable
from godwitmast.platform_api.epoch import TableEpoch
from godwitmast.platform_api.messages import Conflict, Row, TransactOutcome, Written
from godwitmast.platform_api.port import WriteHook
from godwitmast.platform_api.steps import (
    Failure,
    GetObject,
    ObjectRead,
    PutObject,
    Read,
    Result,
    Rows,
    Scan,
    Step,
    Transact,
)
from godwitmast.types import Json
from godwitmast.usage.duty import UsageDuty
from godwitmast.usage.journal import Journal
from godwitmast.usage.meter import UsageKey, UsageSum
from godwitmast.usage.windows import UsageTiming
from godwitmast.usage.writer import NodeWriter
from table_fleet import LoopClock
from virtual_time import run_virtually

CALL_S = 0.004
"""Time that a call takes to the store, and its answer back."""

KEY = UsageKey("arima", "question", "lm")


class VmClock(LoopClock):
    """The time of the event loop; the time of day doesn't begin at zero."""

    def wall(self) -> float:
        return 1000.0 + self.now()


class Store(RestoredPlatform):
    """The store and the usage intake; `reports` holds the counts sent for each window."""

    def __init__(self) -> None:
        super().__init__()
        self.reports: defaultdict[int, set[int]] = defaultdict(set)
        self.late = 0
        self.fences: list[int] = []
        """Fencing tokens of the reports in the order in which they arrived."""
        self.report_delays: list[float] = []
        """For how long each of the next reports is late; those after it aren't."""

    def report(self, report: Json) -> None:
        """Count requests that began in the window itself, as the platform's client does."""
        self.fences.append(report["fence"])
        total = sum(row[3] for row in report["figures"])
        late = sum(row[3] for row in report["late"])
        self.reports[report["start"]].add(total - late)
        self.late += late


class SlowTable:
    """The store as one VM calls it; each call takes `delay_s` longer while it is slow."""

    def __init__(self, store: Store, clock: LoopClock, epoch: TableEpoch) -> None:
        self.store = store
        self.cut_off = False
        self.calls = 0
        self.epoch = epoch
        self.clock = clock
        self.delay_s = 0.0
        epoch.observe(store.epoch)

    async def take(self, step: Step) -> Any:
        await anyio.sleep(CALL_S + self.delay_s)
        self.calls += 1
        if self.cut_off:
            raise PlatformUnavailable("cut off")
        known = self.epoch.current
        result: Result = self.store.take_of(step, known, Fate.ANSWERED)
        epoch = self.store.epoch
        await anyio.sleep(CALL_S + self.delay_s)
        if result is Failure.NOT_DONE:
            raise PlatformUnavailable("away")
        if epoch < self.epoch.current:
            raise PlatformOutcomeUnknown("answered before a restore")
        self.epoch.observe(epoch)
        if result is Failure.UNKNOWN:
            raise PlatformOutcomeUnknown("restored meanwhile")
        return result

    async def read(self, keys: list[str]) -> dict[str, Row]:
        rows: Rows = await self.take(Read(keys))
        return rows.rows

    async def scan(self, prefix: str, after: str = "") -> dict[str, Row]:
        rows: Rows = await self.take(Scan(prefix, after))
        return rows.rows

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        outcome: Written | Conflict = await self.take(Transact(checks, writes))
        return outcome

    async def get_object(self, name: str) -> bytes | None:
        found: ObjectRead = await self.take(GetObject(name))
        return found.content

    async def put_object(self, name: str, content: bytes) -> None:
        await self.take(PutObject(name, content))

    async def report_usage(self, report: Json, before_write: WriteHook) -> None:
        """Send a report, which arrives also if its caller gives it up."""
        await anyio.sleep(CALL_S + self.delay_s)
        before_write()
        delays = self.store.report_delays
        late_s = delays.pop(0) if delays else 0.0
        asyncio.get_running_loop().call_later(late_s, self.store.report, report)
        await anyio.sleep(CALL_S + self.delay_s + late_s)


class Vm:
    """What one VM runs to count and report usage."""

    def __init__(self, name: str, store: Store, bounds: BoundsTable) -> None:
        clock = VmClock()
        self.clock = clock
        self.epoch = TableEpoch(clock)
        self.table = SlowTable(store, clock, self.epoch)
        timing: UsageTiming = usage_timing(bounds)
        runs = count()
        self.journal = Journal(
            name,
            "z1",
            timing.window_s,
            lambda: f"run{next(runs)}",
            lambda: self.epoch.current,
        )
        self.epoch.listeners.append(self.journal.reopen_frozen)
        self.writer = NodeWriter(
            self.table, clock, self.journal, timing, lambda: 1, dict
        )
        duty = UsageDuty(self.table, clock, timing, None, 1.5, epoch=self.epoch)
        self.lease = LeaseDriver(
            self.table, clock, duty, name, lease_timing(bounds), epoch=self.epoch
        )
        # The driver's own holder has a random part.
        self.lease.machine = LeaseMachine(
            duty.name, name, lease_timing(bounds), first_start=True
        )
        self.counted = 0
        self.killed = anyio.CancelScope()

    async def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.run)

    async def run(self) -> None:
        with self.killed:
            async with anyio.create_task_group() as tasks:
                await self.writer.start(tasks)
                await self.lease.start(tasks)
                await anyio.sleep_forever()

    async def count_requests(self, gap_s: float, until: float) -> None:
        """Count a request every `gap_s` seconds until a time."""
        while self.clock.now() < until:
            self.writer.count(KEY, UsageSum(1, 10, 5))
            self.counted += 1
            await anyio.sleep(gap_s)


class UsageFleet:
    """VMs on one store, and the restores of it."""

    def __init__(self, vm_count: int, seed: int) -> None:
        random.seed(seed)
        self.bounds = BoundsTable(drain_ms=2000, grace_s=8, config_deadline_ms=2000)
        self.store = Store()
        self.vms = [
            Vm(f"front-{number}", self.store, self.bounds) for number in range(vm_count)
        ]

    @property
    def counted(self) -> int:
        return sum(vm.counted for vm in self.vms)

    @property
    def reported(self) -> int:
        return sum(max(counts) for counts in self.store.reports.values())

    @property
    def reported_twice(self) -> dict[int, set[int]]:
        reports = self.store.reports
        return {window: counts for window, counts in reports.items() if len(counts) > 1}

    @property
    def holder(self) -> Vm | None:
        return next((vm for vm in self.vms if vm.lease.held), None)

    async def restore(self, backup: Backup, away_s: float) -> None:
        """Have the store away for a while, and come back from a copy."""
        self.store.away = True
        await anyio.sleep(away_s)
        self.store.restore(backup)
        self.store.away = False

    async def play(
        self,
        restores: int,
        lost_s: float,
        away_s: float,
        slow: dict[int, float],
        slow_s: float,
    ) -> None:
        """Count requests over restores; VMs are slow from each restore on for a while.

        `slow` holds the additional delay of each call of a VM, by its number.
        """
        window_s = self.bounds.window_s
        end = 6 * window_s + restores * 4 * window_s
        async with anyio.create_task_group() as tasks:
            for number, vm in enumerate(self.vms):
                await vm.start(tasks)
                tasks.start_soon(vm.count_requests, 0.17 + number / 100, float(end))
            await anyio.sleep(3.3 * window_s)
            for _ in range(restores):
                backup = self.store.backup()
                await anyio.sleep(lost_s)
                for number, delay_s in slow.items():
                    self.vms[number].table.delay_s = delay_s
                await self.restore(backup, away_s)
                await anyio.sleep(slow_s)
                for vm in self.vms:
                    vm.table.delay_s = 0.0
                await anyio.sleep(2.5 * window_s)
            await anyio.sleep(max(0.0, end - LoopClock().now()) + 6 * window_s)
            tasks.cancel_scope.cancel()


def play_restores(
    vm_count: int,
    restores: int,
    seed: int = 1,
    lost_s: float = 4.0,
    away_s: float = 0.5,
    slow: dict[int, float] | None = None,
    slow_s: float = 3.0,
) -> UsageFleet:
    """Return a fleet after the restores, played in virtual time."""
    fleets: list[UsageFleet] = []

    async def work() -> None:
        fleet = UsageFleet(vm_count, seed)
        fleets.append(fleet)
        await fleet.play(restores, lost_s, away_s, slow or {}, slow_s)

    run_virtually(work)
    return fleets[0]

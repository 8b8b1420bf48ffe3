"""Calls under a lease that may arrive late: rows of other writers, and marks that are late."""

import math
from typing import Any

import anyio
import pytest

from fakes import FakePlatform, Fate, RestoredPlatform
from godwitmast.lease.machine import LeaseMachine, LeaseTiming
from godwitmast.platform_api.steps import Failure, Result, Step, Transact
from godwitmast.usage.rows import (
    HEAD_KEY,
    REPORTED_KEY,
    FrozenWindow,
    UsageHead,
)
from godwitmast.usage.windows import next_report, write_window
from usage_fleet import SlowTable, Store, UsageFleet, VmClock
from virtual_time import run_virtually

TIMING = LeaseTiming(ttl_s=3.0, guard_s=2.0, renew_s=1.0, watch_s=0.5, late_s=6.0)
LEASE_KEY = "lease/duties"
WINDOW_S = 5


def play(platform: FakePlatform, machine: LeaseMachine, now: float) -> None:
    """Run the steps that a contender has due, if any."""
    while (step := machine.step(now, now)) is not None:
        machine.took(platform.take(step), now)


def contender(platform: FakePlatform, name: str, now: float) -> LeaseMachine:
    machine = LeaseMachine("duties", name, TIMING)
    play(platform, machine, now)
    return machine


def wait_for_lease(platform: FakePlatform, machine: LeaseMachine, now: float) -> float:
    while machine.fence_if_held(now, now) is None:
        now = round(now + 0.1, 6)
        play(platform, machine, now)
    return now


def freeze(platform: FakePlatform, lease: dict[str, int], start: int) -> None:
    """Freeze a window without figures, as the holder of a lease does."""
    window = FrozenWindow(start, start + WINDOW_S, [], [])
    head = platform.table.read([HEAD_KEY]).get(HEAD_KEY)
    checks = {**lease, HEAD_KEY: head.version if head else 0}
    assert platform.run(write_window(checks, window, UsageHead(start, {}))) is not None


def release_with(platform: FakePlatform, changes: dict[str, Any]) -> None:
    """Write the row of a released lease, with some fields changed or (None) missing."""
    old = contender(platform, "old", 100.0)
    old.end_call(old.begin_call(100.0, 100.0), settled=False, now=100.0)
    old.give_up()
    play(platform, old, 100.0)
    row = platform.table.rows[LEASE_KEY]
    value = {k: v for k, v in {**row.value, **changes}.items() if v is not None}
    platform.table.transact({}, {LEASE_KEY: value})


def test_release_by_a_version_without_the_field_may_have_left_calls() -> None:
    """Guards against a rolling upgrade in which the first new holder calls at once.

    A process of the version before cancels its call and releases the lease without
    `calls_s`.
    """
    platform = FakePlatform()
    release_with(platform, {"calls_s": None})
    new = contender(platform, "new", 100.0)
    assert new.fence_if_held(100.0, 100.0) == 2
    assert new.begin_call(100.0, 100.0) is None


@pytest.mark.parametrize("calls_s", ["6", [], math.nan, -1.0, 1e9, True])
def test_invalid_time_for_late_calls_counts_as_the_longest(calls_s: Any) -> None:
    """Guards against a row that ends the lease's driver, allows calls at once, or ends
    all calls of this holder."""
    platform = FakePlatform()
    release_with(platform, {"calls_s": calls_s})
    new = contender(platform, "new", 100.0)
    assert new.fence_if_held(100.0, 100.0) == 2
    assert new.begin_call(100.0, 100.0) is None
    now = 100.0
    while now < 100.0 + TIMING.late_s:
        now += 0.5
        play(platform, new, now)
    assert new.begin_call(now, now) == 2


def test_process_that_starts_after_a_restore_does_not_take_a_lost_lease_at_once() -> (
    None
):
    """Guards against two holders after a restore to before the first lease.

    The new process saw no epoch but the present one; the holder doesn't know of it.
    """
    platform = RestoredPlatform()
    backup = platform.backup()

    def play_epoch(machine: LeaseMachine, epoch: int, now: float) -> None:
        machine.observe_epoch(epoch, False, now, now)
        while (step := machine.step(now, now)) is not None:
            machine.took(platform.take_of(step, epoch, Fate.ANSWERED), now)

    old = LeaseMachine("duties", "old", TIMING, first_start=True)
    new = LeaseMachine("duties", "new", TIMING)
    play_epoch(old, 1, 100.0)
    assert old.fence_if_held(100.0, 100.0) is not None
    platform.restore(backup)
    play_epoch(new, 2, 100.1)
    first = new.begin_call(100.2, 100.2)
    later = old.begin_call(100.3, 100.3)
    assert first is None or later is None, f"{first}, then {later}"
    now = 100.1
    while new.fence_if_held(now, now) is None:
        now = round(now + 0.1, 6)
        play_epoch(new, 2, now)
    wait_s = TIMING.ttl_s + TIMING.guard_s
    assert 100.1 + wait_s <= now <= 100.1 + wait_s + 0.2


@pytest.mark.parametrize(
    ("epoch", "first_start", "at_once"),
    [(0, False, True), (1, True, True), (7, True, True), (1, False, False)],
)
def test_first_start_of_the_system_takes_a_lease_at_once(
    epoch: int, first_start: bool, at_once: bool
) -> None:
    """Guards against a first start that waits for a holder whom there never was."""
    platform = RestoredPlatform(epoch=epoch)
    machine = LeaseMachine("duties", "a", TIMING, first_start)
    machine.observe_epoch(epoch, False, 100.0, 100.0)
    while (step := machine.step(100.0, 100.0)) is not None:
        machine.took(platform.take_of(step, epoch, Fate.ANSWERED), 100.0)
    assert (machine.begin_call(100.0, 100.0) is not None) == at_once


def test_process_of_the_first_start_that_sees_a_restore_waits_for_a_lost_lease() -> (
    None
):
    """Guards against a process that takes a missing row for a free lease by its settings."""
    platform = RestoredPlatform(epoch=2)
    machine = LeaseMachine("duties", "a", TIMING, first_start=True)
    machine.observe_epoch(1, False, 100.0, 100.0)
    machine.observe_epoch(2, True, 100.1, 100.1)
    while (step := machine.step(100.1, 100.1)) is not None:
        machine.took(platform.take_of(step, 2, Fate.ANSWERED), 100.1)
    assert machine.fence_if_held(100.1, 100.1) is None


def test_mark_of_a_version_without_the_field_proves_nothing() -> None:
    """Guards against a rolling upgrade in which an old holder's mark counts as a proof.

    The version before marks a window after a second report of it was answered, while
    the first may still arrive, and writes no `settled`.
    """
    platform = FakePlatform()
    old = contender(platform, "old", 100.0)
    freeze(platform, old.checks, 0)
    platform.table.transact({}, {REPORTED_KEY: {"start": 0, "digest": ""}})
    freeze(platform, old.checks, WINDOW_S)
    due = platform.run(next_report(WINDOW_S))
    assert due.window.start == WINDOW_S and not due.marked_settled


class StoreWithLateMark(Store):
    """A store that takes one mark of a reported window late, without an answer."""

    def __init__(self) -> None:
        super().__init__()
        self.holds_next_mark = False
        self.held: list[tuple[Step, int]] = []

    def take_of(self, step: Step, known_epoch: int, fate: Fate) -> Result:
        is_mark = isinstance(step, Transact) and REPORTED_KEY in step.writes
        if is_mark and self.holds_next_mark:
            self.holds_next_mark = False
            self.held.append((step, known_epoch))
            return Failure.UNKNOWN
        return super().take_of(step, known_epoch, fate)

    def take_held(self) -> Result:
        step, known_epoch = self.held.pop()
        return super().take_of(step, known_epoch, Fate.ANSWERED)


@pytest.mark.parametrize("windows", [2, 4, 6, 8, 10, 12])
def test_report_that_is_repeated_before_its_late_mark_arrives_before_the_next_holders(
    windows: int,
) -> None:
    """Guards against a successor that calls while a repeated report is on the way.

    The mark after the first report has no answer and isn't in the table yet when the
    holder reads it again. If the holder then sends the window once more, the mark takes
    effect and tells nothing of that report. The holder is refused by the store. Its counts are still written, through a relay. So the next holder can freeze the
    next window as soon as it takes over. When it does depends on when it reads the lease,
    which has another phase in each window.
    """
    store = StoreWithLateMark()

    async def play() -> None:
        fleet = UsageFleet(6, 1)
        for vm in fleet.vms:
            vm.table.store = store
            own = SlowTable(store, vm.clock, vm.epoch)
            vm.lease.platform = vm.lease.duty.platform = own
        async with anyio.create_task_group() as tasks:
            for vm in fleet.vms:
                await vm.start(tasks)
                tasks.start_soon(vm.count_requests, 0.17, 90.0)
            await anyio.sleep(windows * fleet.bounds.window_s)
            store.holds_next_mark = True
            while not store.held:
                await anyio.sleep(0.01)
            holder = fleet.holder
            store.report_delays = [5.9]
            while store.report_delays:
                await anyio.sleep(0.01)
            store.take_held()
            holder.lease.platform.cut_off = True
            await anyio.sleep(4.0 * fleet.bounds.window_s)
            tasks.cancel_scope.cancel()

    run_virtually(play)
    assert len(set(store.fences)) > 1
    assert store.fences == sorted(store.fences)


class SteppedClock(VmClock):
    """A VM's clock, whose time of day is set forward by `step_s`."""

    step_s = 0.0

    def wall(self) -> float:
        return super().wall() + self.step_s


def test_report_that_was_answered_is_not_repeated_after_a_clock_step() -> None:
    """Guards against a second report whose first one's mark, written late, calls settled.

    The mark has no answer and isn't in the table yet. The holder's clock is set forward
    for a moment, so that its duty ends and begins again under the same token.
    """
    store = StoreWithLateMark()

    async def play() -> None:
        fleet = UsageFleet(2, 1)
        clocks = {vm: SteppedClock() for vm in fleet.vms}
        for vm, clock in clocks.items():
            vm.table.store = store
            own = SlowTable(store, vm.clock, vm.epoch)
            vm.lease.platform = vm.lease.duty.platform = own
            vm.lease.clock = vm.lease.duty.clock = clock
        async with anyio.create_task_group() as tasks:
            for vm in fleet.vms:
                await vm.start(tasks)
            await anyio.sleep(3.0 * fleet.bounds.window_s)
            store.holds_next_mark = True
            while not store.held:
                await anyio.sleep(0.01)
            holder = fleet.holder
            reported = list(store.fences)
            clocks[holder].step_s = 10.0
            while holder.lease.duty_scope is not None:
                await anyio.sleep(0.01)
            clocks[holder].step_s = 0.0
            while not holder.lease.held:
                await anyio.sleep(0.01)
            await anyio.sleep(0.5 * fleet.bounds.window_s)
            assert store.fences == reported
            tasks.cancel_scope.cancel()

    run_virtually(play)

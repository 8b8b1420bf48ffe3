"""Usage reports that arrive late while their holder stops, dies or loses the store."""

from collections.abc import Callable
from typing import NamedTuple

import anyio
import pytest

from godwitmast.lease.machine import LeaseMachine
from godwitmast.usage.rows import REPORTED_KEY
from table_fleet import LoopClock
from usage_fleet import UsageFleet, Vm
from virtual_time import run_virtually

CUT_OFF_S = 9.0


class LeaseWithoutLateCalls(LeaseMachine):
    """Makes calls as soon as the lease is held, as before the rules on late calls.

    It records none, so that a holder that stops cancels them and releases at once.
    """

    def begin_call(self, now, wall, predecessor_settled=False) -> int | None:
        return self.fence_if_held(now, wall)

    def end_call(self, fence, settled, now) -> None:
        pass


class Played(NamedTuple):
    """A fleet after its holders were replaced, and the seconds each one took."""

    fleet: UsageFleet
    gaps_s: list[float]

    @property
    def table_calls(self) -> int:
        return sum(vm.table.calls for vm in self.fleet.vms)


async def stop(vm: Vm, ended_at: list[float]) -> None:
    """Close the lease and write the last counts, as a VM that stops does."""
    await vm.lease.close()
    ended_at.append(LoopClock().now())
    await vm.writer.close()
    vm.killed.cancel()


async def kill(vm: Vm, ended_at: list[float]) -> None:
    ended_at.append(LoopClock().now())
    vm.killed.cancel()


async def cut_off(vm: Vm, ended_at: list[float]) -> None:
    ended_at.append(LoopClock().now())
    vm.table.cut_off = True
    await anyio.sleep(CUT_OFF_S)
    vm.table.cut_off = False


async def replace_holders(
    fleet: UsageFleet, end: Callable, late_s: float, times: int
) -> list[float]:
    """End each holder while a report of it is late; return the gaps between holders.

    A gap begins with the release, the kill or the loss of the store.
    """
    gaps_s = []
    for _ in range(times):
        await anyio.sleep(2.0 * fleet.bounds.window_s)
        before = len(fleet.store.fences)
        fleet.store.report_delays = [late_s]
        while fleet.store.report_delays:
            await anyio.sleep(0.01)
        holder = fleet.holder
        assert holder is not None and len(fleet.store.fences) >= before
        ended_at: list[float] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(end, holder, ended_at)
            while fleet.holder in (None, holder):
                await anyio.sleep(0.01)
            gaps_s.append(LoopClock().now() - ended_at[0])
    return gaps_s


def play(
    vm_count: int,
    end: Callable,
    late_s: float,
    seed: int,
    machine: type[LeaseMachine] = LeaseMachine,
) -> Played:
    """Return a fleet whose holders were replaced; one VM counts on till the end."""
    played: list[Played] = []

    async def work() -> None:
        fleet = UsageFleet(vm_count, seed)
        for vm in fleet.vms:
            old = vm.lease.machine
            vm.lease.machine = machine(
                old.name, f"{old.holder}/{seed}", old.timing, old.first_start
            )
        times = min(2, vm_count - 1)
        async with anyio.create_task_group() as tasks:
            for vm in fleet.vms:
                await vm.start(tasks)
            async with anyio.create_task_group() as counting:
                for vm in fleet.vms:
                    counting.start_soon(count_while_running, vm)
                gaps_s = await replace_holders(fleet, end, late_s, times)
                await anyio.sleep(2 * fleet.bounds.window_s)
                counting.cancel_scope.cancel()
            await anyio.sleep(8 * fleet.bounds.window_s)
            played.append(Played(fleet, gaps_s))
            tasks.cancel_scope.cancel()

    run_virtually(work)
    return played[0]


async def count_while_running(vm: Vm) -> None:
    """Count requests until the VM is gone; one that stops gets no more by then."""
    while not (vm.killed.cancel_called or vm.lease.machine.calls_stopped):
        await vm.count_requests(0.2, vm.clock.now() + 0.2)


ENDS = [stop, kill, cut_off]


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("late_s", [0.3, 1.4, 3.0, 4.5])
@pytest.mark.parametrize("vm_count", [2, 6])
def test_no_report_arrives_after_one_of_a_later_holder(
    vm_count: int, late_s: float, end: Callable
) -> None:
    """Guards against a late report of a holder after its successor's first one."""
    for seed in (1, 2):
        check(play(vm_count, end, late_s, seed), end)


@pytest.mark.parametrize("end", ENDS)
def test_no_report_of_a_large_fleet_arrives_after_one_of_a_later_holder(
    end: Callable,
) -> None:
    """Guards against the same among 60 VMs, of which few read the lease often."""
    check(play(60, end, 4.5, 1), end)


def check(played: Played, end: Callable) -> None:
    fleet = played.fleet
    assert fleet.store.fences == sorted(fleet.store.fences)
    assert fleet.reported_twice == {}
    if end is not kill:
        assert fleet.reported + fleet.store.late == fleet.counted


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("late_s", [0.3, 4.5])
def test_late_reports_delay_no_takeover_and_add_no_call_to_the_table(
    late_s: float, end: Callable
) -> None:
    """Guards against holders that wait for late calls before they hold the lease."""
    now = play(6, end, late_s, 1)
    before = play(6, end, late_s, 1, LeaseWithoutLateCalls)
    if end is stop:
        # A released lease is taken with the next read, whose phase differs.
        watch_s = now.fleet.vms[0].lease.machine.timing.watch_s
        assert max(now.gaps_s) <= watch_s + 0.1
    else:
        assert now.gaps_s == pytest.approx(before.gaps_s, abs=0.1)
    # Another VM may take a released lease, and so other VMs write their counts on.
    more = 2 * len(now.gaps_s) if end is stop else 0
    assert now.table_calls <= before.table_calls + more


def test_fleet_without_the_rules_shows_late_reports() -> None:
    """Guards against a fleet that can't show the fault which it is searched for."""
    played = play(6, kill, 5.8, 1, LeaseWithoutLateCalls)
    assert played.fleet.store.fences != sorted(played.fleet.store.fences)


def test_mark_tells_that_an_earlier_report_of_the_window_may_arrive() -> None:
    """Guards against a successor that takes a second report's answer for the first's.

    A report times out and is sent again, answered and marked. Its holder dies, and the
    next one reports at once, as each window is marked; then the first report arrives.
    It may do so also when the next window is marked, a window later.
    """
    marks: list[dict] = []

    async def work() -> None:
        fleet = UsageFleet(2, 1)
        async with anyio.create_task_group() as tasks:
            for vm in fleet.vms:
                await vm.start(tasks)
            await anyio.sleep(3.0 * fleet.bounds.window_s)
            fleet.store.report_delays = [5.5]
            for _ in range(1500):
                await anyio.sleep(0.01)
                mark = fleet.store.table.rows[REPORTED_KEY].value
                if mark not in marks:
                    marks.append(mark)
            tasks.cancel_scope.cancel()

    run_virtually(work)
    assert [mark.get("settled", True) for mark in marks[:4]] == [
        True,
        False,
        False,
        True,
    ]

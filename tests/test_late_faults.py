"""Usage reports under way while VMs stand still, are refused, or have their clocks set."""

import math
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from itertools import pairwise
from typing import NamedTuple

import anyio
import pytest

from fakes import Fate
from godwitmast.lease.calls import DutyCall
from godwitmast.lease.machine import LeaseMachine
from godwitmast.platform.daemon import REPORT_TIMEOUT_S
from godwitmast.platform_api.steps import Result, Step, Transact
from godwitmast.types import Json
from test_late_reports import LeaseWithoutLateCalls
from test_lease_model import LeaseCountedFromTheAnswer
from usage_fleet import Store, UsageFleet, Vm, VmClock
from virtual_time import run_virtually

REFUSED_S = 7.0
"""Longer than it takes until a lease that isn't renewed is taken over."""

STEPS_S = [-6.0, -2.0, 2.0, 6.0]
STILL_S = [0.5, 2.0, 4.0, 8.0, 12.0]
"""After the longest one, a successor's reports wait no more for those of a lapsed holder."""

LATEST_S = 5.8
ENDS_WITHIN_S = 300.0
"""Limit, in virtual time, for a play that hangs; the longest one takes 131 s."""

current_vm: ContextVar["FaultyVm | None"] = ContextVar("current_vm", default=None)
real_sleep = anyio.sleep


class Arrival(NamedTuple):
    """A report that the platform got."""

    at: float
    vm: str
    fence: int


class SteppedClock(VmClock):
    """A VM's own clock, whose time of day may be set."""

    step_s = 0.0

    def wall(self) -> float:
        return super().wall() + self.step_s


class FaultyVm:
    """One VM of a fleet and its faults."""

    def __init__(self, vm: Vm, arrivals: list[Arrival]) -> None:
        self.vm = vm
        self.arrivals = arrivals
        self.still_until = 0.0
        self.is_held_up = False
        """Whether its reports wait for their turn before they are written."""
        self.clock = SteppedClock()
        self.on_report = anyio.Event()
        """Set when a report was allowed by the lease and isn't written yet."""
        self.on_renewal = anyio.Event()
        """Set when a renewal has taken effect and its answer isn't read yet."""
        self.beat_key = vm.lease.machine.beat_key
        vm.lease.clock = vm.lease.duty.clock = self.clock
        vm.table.store = RecordingStore(vm.table.store, self)
        self.send = vm.table.report_usage
        vm.table.report_usage = self.report_usage

    async def run(self) -> None:
        current_vm.set(self)
        await self.vm.run()

    def stand_still(self, seconds: float) -> None:
        self.still_until = self.vm.clock.now() + seconds

    async def report_usage(self, report: Json, before_write: Callable) -> None:
        self.on_report.set()
        self.on_report = anyio.Event()
        # Whoever waits for this moment goes first.
        await real_sleep(0)
        while self.is_held_up:
            await anyio.sleep(0.001)
        await self.send(report, before_write)


class RecordingStore:
    """The store as one VM reaches it, which records the VM's reports."""

    def __init__(self, store: Store, sender: FaultyVm) -> None:
        self.store = store
        self.sender = sender

    def __getattr__(self, name: str):
        return getattr(self.store, name)

    def take_of(self, step: Step, known_epoch: int, fate: Fate) -> Result:
        result = self.store.take_of(step, known_epoch, fate)
        if isinstance(step, Transact) and self.sender.beat_key in step.writes:
            self.sender.on_renewal.set()
            self.sender.on_renewal = anyio.Event()
        return result

    def report(self, report: Json) -> None:
        sender = self.sender
        sender.arrivals.append(
            Arrival(sender.clock.now(), sender.vm.journal.node, report["fence"])
        )
        self.store.report(report)


async def sleep_of_vm(delay: float) -> None:
    """Sleep as in an event loop that may stand still: no task of the VM runs on then."""
    await real_sleep(delay)
    vm = current_vm.get()
    while vm is not None and vm.clock.now() < vm.still_until:
        await real_sleep(vm.still_until - vm.clock.now())


class FaultyFleet:
    """VMs with faults, and the reports that arrived of them."""

    def __init__(self, vm_count: int, machine: type[LeaseMachine]) -> None:
        self.fleet = UsageFleet(vm_count, 1)
        self.arrivals: list[Arrival] = []
        for vm in self.fleet.vms:
            old = vm.lease.machine
            vm.lease.machine = machine(
                old.name, old.holder, old.timing, old.first_start
            )
        self.vms = [FaultyVm(vm, self.arrivals) for vm in self.fleet.vms]

    async def holder(self) -> FaultyVm:
        """Return the VM that holds the lease, once one does."""
        while (vm := self.fleet.holder) is None:
            await real_sleep(0.01)
        return next(faulty for faulty in self.vms if faulty.vm is vm)

    def stop_time_outs(self, still_s: float) -> None:
        """Have no report time out while its VM stands still: no timer runs there either.

        A report that is about to be written goes first when the VM runs on.
        """
        for vm in self.vms:
            vm.vm.lease.duty.report_timeout_s = REPORT_TIMEOUT_S + still_s

    async def refuse(self, vms: list[FaultyVm]) -> None:
        for vm in vms:
            vm.vm.table.cut_off = True
        await real_sleep(REFUSED_S)
        for vm in vms:
            vm.vm.table.cut_off = False

    async def play(self, fault: "Fault") -> None:
        """Count requests while three such faults are played, and wait for all reports."""
        window_s = self.fleet.bounds.window_s
        async with anyio.create_task_group() as tasks:
            for vm in self.vms:
                tasks.start_soon(vm.run)
            async with anyio.create_task_group() as counting:
                for vm in self.vms:
                    counting.start_soon(vm.vm.count_requests, 0.2, math.inf)
                for _ in range(3):
                    await real_sleep(2.0 * window_s)
                    await fault(self)
                await real_sleep(3.0 * window_s)
                counting.cancel_scope.cancel()
            await real_sleep(8.0 * window_s)
            tasks.cancel_scope.cancel()

    def check(self) -> None:
        fences = [arrival.fence for arrival in self.arrivals]
        assert fences == sorted(fences)
        senders = {(arrival.fence, arrival.vm) for arrival in self.arrivals}
        assert len(senders) == len(set(fences))
        assert self.fleet.reported_twice == {}
        self.check_turns()

    def check_turns(self) -> None:
        """Check that no VM called before and after another within the lease time."""
        ttl_s = self.fleet.vms[0].lease.machine.timing.ttl_s
        turns = [self.arrivals[:1]]
        for earlier, later in pairwise(self.arrivals):
            if later.vm != earlier.vm:
                turns.append([])
            turns[-1].append(later)
        for before, _, after in zip(turns, turns[1:], turns[2:], strict=False):
            if before[-1].vm == after[0].vm:
                assert after[0].at - before[-1].at >= ttl_s


Fault = Callable[[FaultyFleet], Awaitable[None]]


async def wait_for_report(fleet: FaultyFleet) -> FaultyVm:
    """Return the holder once it is about to write a report."""
    holder = await fleet.holder()
    await holder.on_report.wait()
    return holder


def still_before_a_report(still_s: float) -> Fault:
    async def play(fleet: FaultyFleet) -> None:
        fleet.stop_time_outs(still_s)
        holder = await wait_for_report(fleet)
        holder.stand_still(still_s)

    return play


def still_after_a_report(still_s: float) -> Fault:
    async def play(fleet: FaultyFleet) -> None:
        fleet.fleet.store.report_delays = [4.5]
        holder = await wait_for_report(fleet)
        while fleet.fleet.store.report_delays:
            await real_sleep(0.001)
        holder.stand_still(still_s)

    return play


def still_at_a_renewal(still_s: float) -> Fault:
    """Have the holder stand still with a renewal's answer to read and a call to write."""

    async def play(fleet: FaultyFleet) -> None:
        fleet.stop_time_outs(still_s)
        holder = await wait_for_report(fleet)
        holder.is_held_up = True
        await holder.on_renewal.wait()
        holder.stand_still(still_s)
        holder.is_held_up = False

    return play


def refused(late_s: float) -> Fault:
    """Have the holder and half of the VMs refused, and then the others."""

    async def play(fleet: FaultyFleet) -> None:
        fleet.fleet.store.report_delays = [late_s]
        holder = await wait_for_report(fleet)
        others = [vm for vm in fleet.vms if vm is not holder]
        half = [holder, *others[: len(others) // 2]]
        await fleet.refuse(half)
        await fleet.refuse([vm for vm in fleet.vms if vm not in half])

    return play


def clock_set(step_s: float, kept_s: float) -> Fault:
    """Set the holder's time of day while its report is on the way."""

    async def play(fleet: FaultyFleet) -> None:
        fleet.fleet.store.report_delays = [4.5]
        holder = await wait_for_report(fleet)
        while fleet.fleet.store.report_delays:
            await real_sleep(0.001)
        holder.clock.step_s += step_s
        await real_sleep(kept_s)
        holder.clock.step_s -= step_s

    return play


def play_faults(
    fault: Fault, vm_count: int, machine: type[LeaseMachine] = LeaseMachine
) -> FaultyFleet:
    """Return a fleet after three such faults, in which no VM stopped."""
    played: list[FaultyFleet] = []

    async def work() -> None:
        fleet = FaultyFleet(vm_count, machine)
        with anyio.fail_after(ENDS_WITHIN_S):
            await fleet.play(fault)
        played.append(fleet)

    run_virtually(work)
    return played[0]


FAULTS = [
    *(still_before_a_report(still_s) for still_s in STILL_S),
    *(still_after_a_report(still_s) for still_s in STILL_S),
    *(still_at_a_renewal(still_s) for still_s in STILL_S),
    *(refused(late_s) for late_s in (0.0, 3.0, LATEST_S)),
    *(clock_set(step_s, kept_s) for step_s in STEPS_S for kept_s in (0.3, 4.0)),
]


@pytest.mark.parametrize("fault", range(len(FAULTS)))
@pytest.mark.parametrize("vm_count", [2, 6])
def test_reports_of_vms_with_faults_arrive_in_the_order_of_their_tokens(
    monkeypatch: pytest.MonkeyPatch, vm_count: int, fault: int
) -> None:
    """Guards against two holders while VMs stand still, are refused or have clocks set."""
    monkeypatch.setattr(anyio, "sleep", sleep_of_vm)
    played = play_faults(FAULTS[fault], vm_count)
    played.check()
    fleet = played.fleet
    assert fleet.reported + fleet.store.late == fleet.counted


@pytest.mark.parametrize(
    ("fault", "broken"),
    [
        (refused(LATEST_S), LeaseWithoutLateCalls),
        (still_at_a_renewal(STILL_S[-1]), LeaseCountedFromTheAnswer),
    ],
)
def test_faults_show_a_broken_lease(
    monkeypatch: pytest.MonkeyPatch, fault: Fault, broken: type[LeaseMachine]
) -> None:
    """Guards against faults that can't show what they are played for."""
    monkeypatch.setattr(anyio, "sleep", sleep_of_vm)
    with pytest.raises(AssertionError):
        play_faults(fault, 2, broken).check()


def test_faults_show_a_report_that_is_written_unchecked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that stands still at a moment that harms nothing."""
    monkeypatch.setattr(anyio, "sleep", sleep_of_vm)
    monkeypatch.setattr(DutyCall, "before_write", lambda call: None)
    with pytest.raises(AssertionError):
        play_faults(still_before_a_report(STILL_S[-1]), 2).check()

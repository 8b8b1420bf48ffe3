"""Driver of `LeaseMachine`: contends for a lease, and runs a duty while it is held."""

import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from godwitmast.check_times import until_check_s
from godwitmast.clock import Clock
from godwitmast.lease.machine import Guard, LeaseMachine, LeaseTiming
from godwitmast.logs import log_event
from godwitmast.platform_api.epoch import TableEpoch
from godwitmast.platform_api.port import Table
from godwitmast.platform_api.runner import take_step
from godwitmast.supervision import keep_running

POLL_S = 0.1
IDLE_POLL_S = 0.5
"""Poll interval without the lease, unless a step is due sooner."""

RELEASE_TIMEOUT_S = 3.0


class Duty(Protocol):
    """Work that one process at a time does, under a lease of the duty's name."""

    name: str

    async def run(self, guard: Guard) -> None:
        """Work until cancelled; called each time that the lease is gained.

        Make each order as a `DutyCall`, and add `guard.checks` to the checks of each
        transaction. Cancellation alone does not protect: a paused process is cancelled
        only after it resumes, and a cancelled call may still arrive.
        """


@dataclass
class DutyGroup:
    """Several duties under one lease, which share its renewals and reads."""

    name: str
    duties: Sequence[Duty]

    async def run(self, guard: Guard) -> None:
        async with anyio.create_task_group() as tasks:
            for duty in self.duties:
                run = partial(duty.run, guard)
                tasks.start_soon(keep_running, f"duty {duty.name}", run)


class LeaseDriver:
    """One lease and its duty.

    While `candidates_only` returns true, this process contends only if it is a candidate, since
    the candidates poll the lease more often than it would.
    """

    def __init__(
        self,
        platform: Table,
        clock: Clock,
        duty: Duty,
        node: str,
        timing: LeaseTiming = LeaseTiming(),
        count_vms: Callable[[], int] = lambda: 0,
        candidates_only: Callable[[], bool] = lambda: False,
        epoch: TableEpoch | None = None,
        first_start: bool = False,
    ) -> None:
        self.epoch = epoch or TableEpoch(clock)
        self.platform = platform
        self.clock = clock
        self.duty = duty
        self.count_vms = count_vms
        self.candidates_only = candidates_only
        holder = f"{node}/{secrets.token_hex(4)}"
        self.machine = LeaseMachine(duty.name, holder, timing, first_start)
        self.duty_scope: anyio.CancelScope | None = None
        self.duty_ended = anyio.Event()
        self.duty_ended.set()

    @property
    def held(self) -> bool:
        clock = self.clock
        return self.machine.fence_if_held(clock.now(), clock.wall()) is not None

    async def start(self, tasks: TaskGroup) -> None:
        run = partial(self.run, tasks)
        tasks.start_soon(keep_running, "LeaseDriver.run", run)

    async def run(self, tasks: TaskGroup) -> None:
        """Run each step when it is due; start and cancel the duty with the lease."""
        machine = self.machine
        while not machine.released:
            self.observe_epoch()
            self.start_or_stop_duty(tasks)
            if self.held:
                machine.vm_count = self.count_vms() or machine.vm_count
            if self.candidates_only() and not machine.is_active:
                await anyio.sleep(until_check_s(self.clock.now(), IDLE_POLL_S))
                continue
            step = machine.step(self.clock.now(), self.clock.wall())
            if step is None:
                await anyio.sleep(self.poll_wait_s())
                continue
            result = await take_step(self.platform, step)
            self.observe_epoch()
            machine.took(result, self.clock.now())

    def observe_epoch(self) -> None:
        epoch, clock = self.epoch, self.clock
        self.machine.observe_epoch(
            epoch.current, epoch.restored, clock.now(), clock.wall()
        )

    def poll_wait_s(self) -> float:
        """Return the seconds until the next poll, few while a lease may expire."""
        if self.held or self.duty_scope is not None:
            return POLL_S
        now = self.clock.now()
        due_s = self.machine.next_at - now
        return min(until_check_s(now, IDLE_POLL_S), max(POLL_S / 10, due_s))

    def start_or_stop_duty(self, tasks: TaskGroup) -> None:
        if self.held and self.duty_scope is None:
            self.duty_scope = anyio.CancelScope()
            self.duty_ended = anyio.Event()
            tasks.start_soon(self.run_duty, self.duty_scope)
        elif not self.held and self.duty_scope is not None:
            self.duty_scope.cancel()

    async def run_duty(self, scope: anyio.CancelScope) -> None:
        name = self.duty.name
        lease = self.machine.held_lease
        fence, epoch = (lease.fence, lease.epoch) if lease else (None, None)
        calls_wait_s = self.machine.calls_arrive_for_s(self.clock.now())
        log_event(
            "lease_gained",
            lease=name,
            fence=fence,
            epoch=epoch,
            calls_wait_s=round(calls_wait_s, 3),
        )
        try:
            with scope:
                # Ending with its process, it would end one holder after the other.
                run = partial(self.duty.run, self.machine)
                await keep_running(f"duty {name}", run)
        finally:
            log_event("lease_duty_ended", lease=name, fence=fence)
            self.duty_scope = None
            self.duty_ended.set()

    async def close(self) -> None:
        """End the duty, then release the lease, so that another takes it at once.

        Calls of the duty are not cancelled: another process would then have to wait
        until they can no longer arrive.
        """
        self.machine.stop_calls()
        with anyio.move_on_after(self.machine.timing.guard_s):
            while self.machine.calls.open_count:
                await anyio.sleep(POLL_S / 10)
        if self.duty_scope is not None:
            self.duty_scope.cancel()
        await self.duty_ended.wait()
        calls_s = self.machine.calls_arrive_for_s(self.clock.now())
        log_event(
            "lease_given_up", lease=self.duty.name, calls_arrive_for_s=round(calls_s, 3)
        )
        self.machine.give_up()
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            while not self.machine.released:
                await anyio.sleep(POLL_S / 10)

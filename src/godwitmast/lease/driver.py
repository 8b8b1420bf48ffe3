"""Contends for a lease over HTTP, and runs a duty for as long as it is held."""

import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from godwitmast.clock import Clock
from godwitmast.lease.machine import Guard, LeaseMachine, LeaseTiming
from godwitmast.logs import log_event
from godwitmast.platform_api.port import Table
from godwitmast.platform_api.runner import take_step

POLL_S = 0.1
POLL_IDLE_S = 0.5
"""Of one that neither holds the lease nor has a step that is due sooner."""

RELEASE_TIMEOUT_S = 3.0


class Duty(Protocol):
    """Work that one process at a time does, under a lease of its own name."""

    name: str

    async def run(self, guard: Guard) -> None:
        """Work until cancelled; called anew each time that the lease is gained.

        Ask `guard.fence_if_held` in the last step before each order, and put
        `guard.checks` among the checks of each transaction. Being cancelled is the
        rule, not the protection: a paused process is not cancelled until it wakes.
        """


@dataclass
class DutyGroup:
    """Several duties under one lease: one renewal and one watch pay for all of them."""

    name: str
    duties: Sequence[Duty]

    async def run(self, guard: Guard) -> None:
        async with anyio.create_task_group() as tasks:
            for duty in self.duties:
                tasks.start_soon(duty.run, guard)


class LeaseDriver:
    """One lease and its duty.

    While `spared` says so, this process contends only if it is a candidate: others
    watch the lease more closely than it would.
    """

    def __init__(
        self,
        platform: Table,
        clock: Clock,
        duty: Duty,
        node: str,
        timing: LeaseTiming = LeaseTiming(),
        count_vms: Callable[[], int] = lambda: 0,
        spared: Callable[[], bool] = lambda: False,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.duty = duty
        self.count_vms = count_vms
        self.spared = spared
        holder = f"{node}/{secrets.token_hex(4)}"
        self.machine = LeaseMachine(duty.name, holder, timing)
        self.work: anyio.CancelScope | None = None
        self.idle = anyio.Event()
        self.idle.set()

    @property
    def held(self) -> bool:
        clock = self.clock
        return self.machine.fence_if_held(clock.now(), clock.wall()) is not None

    async def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.run, tasks)

    async def run(self, tasks: TaskGroup) -> None:
        """Take each step when it is due; start and end the duty with the lease."""
        machine = self.machine
        while not machine.released:
            self.start_or_stop_duty(tasks)
            if self.held:
                machine.vms = self.count_vms() or machine.vms
            if self.spared() and not machine.is_involved:
                await anyio.sleep(POLL_IDLE_S)
                continue
            step = machine.step(self.clock.now(), self.clock.wall())
            if step is None:
                await anyio.sleep(self.pause_s())
                continue
            result = await take_step(self.platform, step)
            machine.took(result, self.clock.now())

    def pause_s(self) -> float:
        """Return how long nothing is to be done; a lease that is held can run out."""
        if self.held or self.work is not None:
            return POLL_S
        due_s = self.machine.next_at - self.clock.now()
        return min(POLL_IDLE_S, max(POLL_S / 10, due_s))

    def start_or_stop_duty(self, tasks: TaskGroup) -> None:
        if self.held and self.work is None:
            self.work = anyio.CancelScope()
            self.idle = anyio.Event()
            tasks.start_soon(self.run_duty, self.work)
        elif not self.held and self.work is not None:
            self.work.cancel()

    async def run_duty(self, scope: anyio.CancelScope) -> None:
        name = self.duty.name
        fence = self.machine.tenure.fence if self.machine.tenure else None
        log_event("lease_gained", lease=name, fence=fence)
        try:
            with scope:
                await self.duty.run(self.machine)
        finally:
            log_event("lease_duty_ended", lease=name, fence=fence)
            self.work = None
            self.idle.set()

    async def close(self) -> None:
        """End the duty, then let the next holder in at once."""
        if self.work is not None:
            self.work.cancel()
        await self.idle.wait()
        self.machine.give_up()
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            while not self.machine.released:
                await anyio.sleep(POLL_S / 10)

"""How long VMs stay behind a followed table, while VMs, links and relays fail."""

import random
from enum import Enum

import pytest

from godwitmast.platform.settings import BoundsTable
from godwitmast.platform_api.feed import long_poll_s
from lockstep import lockstep
from table_fleet import Fleet, Vm

BOUND_S = 2.0
"""Time in which a change must be in use."""

CONTACT_S = 3.0
"""This long after a VM's last fault the bound holds for it again."""

BOUNDS = BoundsTable(
    drain_ms=BOUND_S * 1000,
    grace_s=8,
    config_deadline_ms=BOUND_S * 1000,
    contact_ms=CONTACT_S * 1000,
)
LENGTH_S = 60.0
CHECK_S = 0.05


class Fault(Enum):
    """What fails again and again."""

    NOTHING = "nothing"
    SUSPENDED = "suspended"
    """VMs stand still."""
    CALLS_LOST = "calls_lost"
    """VMs' calls of the store, and its answers, are lost on their way."""
    STORE_SILENT = "store_silent"
    """The store answers no call that is open at any moment of its outage."""
    RELAYS_REPLACED = "relays_replaced"
    """Another VM becomes its zone's relay."""
    STORE_RESTORED = "store_restored"
    """The store is silent for a moment and comes back without its latest changes."""
    ALL = "all"


class Play:
    """A fleet with faults, and by how much its VMs were behind too long."""

    def __init__(self, fleet: Fleet, fault: Fault, seed: int) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.fault = fault
        self.random = random.Random(seed)
        self.faulty_until: dict[Vm, float] = {vm: 5.0 for vm in fleet.vms}
        self.late: list[str] = []
        self.change_later()
        self.fail_later()
        self.world.at(5.0, self.check)

    def change_later(self) -> None:
        self.world.at(self.world.now + self.random.uniform(0.2, 14.0), self.change)

    def change(self) -> None:
        self.fleet.store.change()
        self.change_later()

    def fail_later(self) -> None:
        self.world.at(self.world.now + self.random.uniform(1.0, 4.0), self.fail)

    def fail(self) -> None:
        faults = list(Fault)[1:-1]
        fault = self.random.choice(faults) if self.fault is Fault.ALL else self.fault
        for_s = self.random.choice([0.05, 0.3, 1.0, 1.8, 2.5])
        vms = [vm for vm in self.fleet.vms if self.random.random() < 0.5]
        match fault:
            case Fault.SUSPENDED:
                for vm in vms:
                    self.mark_faulty(vm, for_s)
                    vm.process.suspend(for_s)
            case Fault.CALLS_LOST:
                for vm in vms:
                    self.lose_calls(vm, for_s)
            case Fault.STORE_SILENT:
                self.fleet.store.drop_calls()
                for vm in self.fleet.vms:
                    self.lose_calls(vm, for_s)
            case Fault.STORE_RESTORED:
                self.fleet.store.drop_calls()
                for vm in self.fleet.vms:
                    self.lose_calls(vm, for_s)
                self.world.at(self.world.now + for_s, self.restore)
            case Fault.RELAYS_REPLACED:
                self.fleet.replace_relay(self.random)
        self.fail_later()

    def restore(self) -> None:
        store = self.fleet.store
        store.restore(max(0, store.version - self.random.randrange(4)))

    def lose_calls(self, vm: Vm, for_s: float) -> None:
        self.mark_faulty(vm, for_s)
        vm.loses_until = max(vm.loses_until, self.world.now + for_s)

    def mark_faulty(self, vm: Vm, for_s: float) -> None:
        self.faulty_until[vm] = max(self.faulty_until[vm], self.world.now + for_s)

    def check(self) -> None:
        now = self.world.now
        due = self.fleet.store.version_at(now - BOUND_S)
        for number, vm in enumerate(self.fleet.vms):
            calm = now >= self.faulty_until[vm] + CONTACT_S
            if calm and vm.is_behind(due):
                self.late.append(f"{now:.2f} s: VM {number} lacks rows of {due}")
        self.world.at(now + CHECK_S, self.check)


def play(seed: int, vm_count: int, fault: Fault) -> list[str]:
    """Return when VMs were behind for too long, or went back to an older version."""
    random.seed(seed)
    with lockstep() as world:
        fleet = Fleet(world, vm_count, BOUNDS)
        played = Play(fleet, fault, seed)
        world.run(LENGTH_S)
        for vm in fleet.vms:
            played.late += [f"a VM went back from {item}" for item in vm.went_back]
    return played.late


@pytest.mark.parametrize("suspended_s", [0.3, 1.8])
def test_change_that_arrives_as_a_wait_ends_is_not_lost(suspended_s: float) -> None:
    """Guards against a follower that takes a version as reached without its rows."""
    with lockstep() as world:
        fleet = Fleet(world, Fleet.ZONE_VMS, BOUNDS)
        followers = fleet.vms[1:]
        world.at(5.0, fleet.store.change)
        world.run(5.0 + long_poll_s(CONTACT_S) - suspended_s / 2)
        for vm in followers:
            vm.process.suspend(suspended_s)
        world.at(world.now + 0.1, fleet.store.change)
        world.run(world.now + suspended_s + 0.1)
        assert not any(vm.is_behind(2) for vm in followers)


@pytest.mark.parametrize("vm_count", [1, 6, 60])
def test_call_that_the_store_never_answers_is_noticed_in_time(vm_count: int) -> None:
    """Guards against VMs that learn nothing until the time-out of a long poll."""
    with lockstep() as world:
        fleet = Fleet(world, vm_count, BOUNDS)
        world.at(5.0, fleet.store.drop_calls)
        world.at(6.0, fleet.store.change)
        world.run(5.0 + CONTACT_S)
        assert not any(vm.is_behind(1) for vm in fleet.vms)


@pytest.mark.parametrize("vm_count", [1, 6, 60])
def test_change_is_in_use_in_time_without_faults(vm_count: int) -> None:
    assert play(1, vm_count, Fault.NOTHING) == []


@pytest.mark.parametrize("fault", list(Fault)[1:], ids=lambda fault: fault.value)
@pytest.mark.parametrize(("vm_count", "seeds"), [(1, 20), (6, 8), (60, 3)])
def test_change_is_in_use_in_time_after_faults(
    vm_count: int, seeds: int, fault: Fault
) -> None:
    """Guards against VMs that go on by rows that changed seconds ago."""
    late = {seed: play(seed, vm_count, fault) for seed in range(seeds)}
    assert {seed: found[:2] for seed, found in late.items() if found} == {}


def test_change_is_in_use_in_time_in_a_fleet_of_300_after_faults() -> None:
    assert play(1, 300, Fault.ALL)[:2] == []

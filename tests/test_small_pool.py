"""Requests that crash all servers of a small service within a moment."""

import pytest

from godwitmast.dispatch.poison import LEARNING_S
from small_pool import SERVERS, SmallPool

VMS = 8
MAX_LATE_RUNS = 3
"""By the users' rule on requests that crash three servers."""

END_S = 30.0
CONFIGURE_EVERY_S = 4.0


def play(seed: int, count: int, crash_s: float, every_s: float) -> SmallPool:
    """Send several requests that crash their servers, each to three VMs at first.

    Configurations with other teams come meanwhile, and a VM starts.
    """
    pool = SmallPool(VMS, seed)
    pool.send_others(0.3, END_S)
    pool.run(2.0)
    for number in range(count):
        for vm in pool.random.sample(pool.vms, 3):
            pool.send(f"deadly-{number}", crash_s, vm)
        pool.send_regularly(f"deadly-{number}", every_s, END_S - 2.0, crash_s)
    for version in range(2, int(END_S / CONFIGURE_EVERY_S)):
        after_s = CONFIGURE_EVERY_S * (version - 1)
        pool.schedule(after_s, pool.configure, version)
    pool.run(END_S / 2)
    pool.add_vm()
    pool.run(END_S)
    return pool


@pytest.mark.parametrize(
    ("count", "crash_s", "every_s"),
    [(1, 0.05, 0.25), (4, 0.05, 0.25), (4, 2.0, 0.25), (8, 0.05, 1.0), (8, 2.0, 0.25)],
)
def test_requests_that_end_a_whole_service_are_refused_by_all_vms(
    count: int, crash_s: float, every_s: float
) -> None:
    """Guards against crashes of all servers of a pool that pass for lost links."""
    pool = play(3, count, crash_s, every_s)
    late = [pool.late_runs(f"deadly-{number}") for number in range(count)]
    assert max(late) <= MAX_LATE_RUNS
    assert not pool.outcomes["other", "quarantined"]


def play_lookups(pool: SmallPool, until: float) -> None:
    """Send requests of many callers that are alike, and others that are not."""
    pool.send_others(0.3, until)
    for _ in range(3):
        pool.send_regularly("lookup", 0.1, until, None)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("apart_s", [0.0, 0.2, 0.4])
def test_no_request_is_refused_as_a_service_loses_all_servers_again_and_again(
    seed: int, apart_s: float
) -> None:
    """Guards against common lookups that are taken for the cause of outages."""
    pool = SmallPool(VMS, seed)
    play_lookups(pool, END_S)
    for outage in range(3):
        at = LEARNING_S + 3.0 + 6.0 * outage
        for number, server in enumerate(pool.servers):
            pool.schedule(at + number * apart_s, pool.crash, server)
    pool.run(END_S)
    assert pool.outcomes["other", "answered"] > 0.5 * pool.outcomes.total()
    assert not pool.outcomes["other", "quarantined"]


@pytest.mark.parametrize("seed", range(4))
def test_lost_links_of_some_vms_leave_no_suspects(seed: int) -> None:
    """Guards against lost links that count as crashes of servers."""
    pool = SmallPool(VMS, seed)
    play_lookups(pool, END_S)
    for at in (8.0, 14.0):
        pool.schedule(at, pool.cut, {0, 3, 5})
        pool.schedule(at + 3.0, pool.cut, set())
    pool.run(END_S)
    assert not pool.rows
    assert not any(vm.router.guard.suspects for vm in pool.vms)


@pytest.mark.parametrize("vms", [3, 60])
def test_one_request_that_ends_a_service_is_refused_whatever_the_number_of_vms(
    vms: int,
) -> None:
    """Guards against a bound that holds for a few VMs alone."""
    pool = SmallPool(vms, 1)
    pool.send_others(0.3, 25.0)
    pool.run(LEARNING_S + 3.0)
    for vm in pool.vms[:SERVERS]:
        pool.send("deadly", 0.05, vm)
    pool.send_regularly("deadly", 0.25, 24.0, 0.05)
    pool.run(25.0)
    assert pool.late_runs("deadly") <= MAX_LATE_RUNS
    assert not pool.outcomes["other", "quarantined"]

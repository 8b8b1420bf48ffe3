"""The common time of day of all VMs while single clocks jump."""

import time
from collections import Counter
from typing import Any

import anyio
import httpx
import msgspec
import pytest

from fakes import FakePlatform, Fate
from fleet import Fleet, settings_of
from godwitmast.clock import SystemClock
from godwitmast.platform.settings import PlatformFile
from godwitmast.platform.store import OWN_TABLE, StoreClient
from godwitmast.platform_api.messages import Written
from godwitmast.platform_api.runner import run_steps
from godwitmast.platform_api.steps import Failure, Rows
from godwitmast.platform_api.time_agreement import (
    CLOCK_KEY,
    REPLACE_S,
    SETTLE_S,
    AgreedClock,
    agree_on_time,
)
from godwitmast.settings import check_settings
from godwitmast.standins.store import StoreStandin
from godwitmast.usage.journal import Journal
from godwitmast.usage.meter import UsageKey, UsageSum
from godwitmast.usage.windows import UsageTiming
from godwitmast.usage.writer import NodeWriter
from running import running
from test_restored_store import RestoredFleet


class JumpyClock:
    """A VM's clocks; its time of day is off by `jump` seconds."""

    def __init__(self, jump: float = 0.0) -> None:
        self.seconds = 0.0
        self.jump = jump

    def now(self) -> float:
        return self.seconds

    def wall(self) -> float:
        return 1_700_000_000.0 + self.seconds + self.jump


def agreed(platform: FakePlatform, own: JumpyClock) -> AgreedClock:
    clock = AgreedClock(own)
    clock.update_store_time(own.seconds + 50.0)
    assert platform.run(agree_on_time(clock))
    return clock


def test_jump_of_the_time_of_day_moves_nothing() -> None:
    own = JumpyClock()
    clock = agreed(FakePlatform(), own)
    before = clock.wall()
    own.jump = 2_400.0
    own.seconds += 3.0
    assert clock.wall() == before + 3.0


def test_vm_that_starts_with_a_wrong_clock_takes_the_agreed_one() -> None:
    platform = FakePlatform()
    right, wrong = JumpyClock(), JumpyClock(-2_400.0)
    assert agreed(platform, right).wall() == agreed(platform, wrong).wall()


def test_suspended_vm_is_right_again_with_the_next_answer() -> None:
    """A VM is suspended for 30 s, and its monotonic clock stops meanwhile."""
    own = JumpyClock()
    clock = agreed(FakePlatform(), own)
    before = clock.wall()
    clock.update_store_time(own.seconds + 50.0 + 30.0)
    assert clock.wall() == before + 30.0


def test_answer_that_was_overtaken_does_not_set_the_clock_back() -> None:
    own = JumpyClock()
    clock = agreed(FakePlatform(), own)
    before = clock.wall()
    clock.update_store_time(own.seconds + 49.0)
    assert clock.wall() == before


def test_two_first_vms_agree_though_both_write() -> None:
    platform = FakePlatform()
    first, second = AgreedClock(JumpyClock()), AgreedClock(JumpyClock(7.0))
    for clock in (first, second):
        clock.update_store_time(50.0)
    steps = agree_on_time(second)
    read = platform.take(next(steps))
    assert isinstance(read, Rows)
    write = steps.send(read)
    assert platform.run(agree_on_time(first))
    step = steps.send(platform.take(write))
    with pytest.raises(StopIteration) as stop:
        steps.send(platform.take(step))
    assert stop.value.value
    assert first.difference_s == second.difference_s


@pytest.mark.parametrize("fate", [Fate.REFUSED, Fate.LOST, Fate.ANSWER_LOST])
def test_lost_answer_is_settled_by_reading_again(fate: Fate) -> None:
    platform = FakePlatform()
    clock = AgreedClock(JumpyClock())
    clock.update_store_time(50.0)
    steps = agree_on_time(clock)
    write = steps.send(platform.take(next(steps)))
    with pytest.raises(StopIteration) as stop:
        result = platform.take(write, fate)
        assert isinstance(result, Failure | Written)
        steps.send(result)
    assert not stop.value.value
    assert platform.run(agree_on_time(clock))
    assert (
        clock.difference_s
        == platform.table.read(["clock"])["clock"].value["difference_s"]
    )


@pytest.mark.anyio
async def test_usage_windows_stay_true_while_the_holders_clock_jumps(
    http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The time of day of the VM that reports usage jumps forty minutes ahead.

    By that clock hundreds of empty windows would be due at once, and the true windows
    would later count as already reported. Windows must still follow one by one.
    """
    async with running(Fleet()) as fleet:
        await fleet.wait_until(lambda: fleet.store.reports)
        last = fleet.store.reports[-1].window
        true_time = time.time
        monkeypatch.setattr(time, "time", lambda: true_time() + 2_400.0)
        await fleet.request(http, "/peek/1")
        reports = fleet.store.reports
        await fleet.wait_until(lambda: any(report.counts for report in reports))
        windows = [report.window for report in reports]
        assert windows[-1] < last + 60
        assert windows == sorted(windows)
        # A report whose holder lost its lease before it was recorded is repeated.
        figures = {(report.window, repr(report.counts)) for report in reports}
        assert len(figures) == len(set(windows))


@pytest.mark.anyio
@pytest.mark.parametrize("back_after_s", [None, 0.0, 2.5, 4.0, 30.0])
async def test_vm_that_starts_before_a_restore_is_recorded_takes_the_agreed_clock(
    back_after_s: float | None,
) -> None:
    """Guards against VMs with two times of day: the table lost the clock's row, and a VM
    that starts writes one of its own before another one writes the old one again.

    The other one returns first (None), in time to replace the new row, or too late.
    """
    async with running(StoreStandin(epoch=1)) as store:
        settings = check_settings(
            settings_of(store.server.port), PlatformFile, "settings"
        )
        backup = store.backup()
        own = JumpyClock(), JumpyClock(-2_400.0)
        clocks = AgreedClock(own[0]), AgreedClock(own[1])
        known, started = (
            StoreClient(settings, clock.update_store_time, clock) for clock in clocks
        )

        async def agree(who: int) -> bool:
            """Agree as a VM does when it starts or learns of a restore."""
            may_be_lost = lambda: who == 1  # noqa: E731
            steps = agree_on_time(clocks[who], may_be_lost)
            return await run_steps((known, started)[who], steps)

        def pass_time(seconds: float) -> None:
            for clock in own:
                clock.seconds += seconds

        assert await agree(0)
        store.restore(backup)
        if back_after_s is None:
            assert await agree(0)
            assert await agree(1)
        else:
            assert not await agree(1)
            pass_time(back_after_s)
            await known.read([CLOCK_KEY])
            await known.transact({}, {"x": 1})
            await agree(0)
            pass_time(SETTLE_S)
            assert await agree(1)
            assert await agree(0)
        difference_s = clocks[0].wall() - clocks[1].wall()
        by_known_clock = abs(clocks[0].wall() - own[0].wall()) < 1.0
        await known.close()
        await started.close()
    assert abs(difference_s) < 1.0
    assert by_known_clock == (back_after_s is None or back_after_s < REPLACE_S)


@pytest.mark.parametrize("proposed_s", ["1", [], None, True])
def test_invalid_time_of_a_proposed_difference_counts_as_long_ago(
    proposed_s: Any,
) -> None:
    """Guards against a row that keeps all VMs from agreeing."""
    platform = FakePlatform()
    row = {"difference_s": 5.0, "proposed_s": proposed_s}
    platform.table.transact({}, {CLOCK_KEY: row})
    assert agreed(platform, JumpyClock()).difference_s == 5.0


def test_own_difference_after_a_possible_restore_is_not_used_before_it_is_settled() -> (
    None
):
    """Guards against usage that a VM counts by a time of day that is then replaced."""
    platform = FakePlatform()
    own = JumpyClock()
    clock = AgreedClock(own)
    clock.update_store_time(50.0)
    while own.seconds < SETTLE_S:
        assert not platform.run(agree_on_time(clock, lambda: True))
        own.seconds += 0.5
    assert platform.run(agree_on_time(clock, lambda: True))


@pytest.mark.anyio
async def test_usage_from_before_the_agreement_is_in_its_true_window() -> None:
    """Guards against usage that is never reported, as a VM counts it by its own clock,
    which is ahead, until it knows the common time."""
    platform = FakePlatform()
    right, ahead = JumpyClock(), JumpyClock(2_400.0)
    true_time, clock = agreed(platform, right), AgreedClock(ahead)
    journal = Journal("front-1", "z1", 5)
    timing = UsageTiming(window_s=5, flush_s=1.0)
    writer = NodeWriter(None, clock, journal, timing, lambda: 1, dict)
    key = UsageKey("arima", "question", "lm")
    counted: Counter[int] = Counter()
    for _ in range(20):
        writer.count(key, UsageSum(1))
        counted[int(true_time.wall() // 5) * 5] += 1
        right.seconds += 0.5
        ahead.seconds += 0.5
    clock.update_store_time(ahead.seconds + 50.0)
    assert platform.run(agree_on_time(clock))
    async with anyio.create_task_group() as tasks:
        await writer.start(tasks)
        tasks.cancel_scope.cancel()
    found = {at: sums[key].requests for at, sums in journal.segments.items()}
    assert found == counted


@pytest.mark.anyio
async def test_usage_of_a_vm_that_stops_before_the_agreement_is_in_its_true_window(
    http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against usage that a VM writes by its own clock, which is off, as it stops
    while another VM's proposal is not in use yet."""
    async with running(RestoredFleet()) as fleet:
        key = (OWN_TABLE, CLOCK_KEY)
        await fleet.wait_until(lambda: key in fleet.store.rows)
        clock = fleet.node.agreed_clock
        await fleet.wait_until(lambda: clock.difference_s is not None)
        difference_s = clock.difference_s
        row = {"difference_s": difference_s, "proposed_s": fleet.store.seconds()}
        fleet.store.put(*key, msgspec.json.encode(row))
        monkeypatch.setattr(SystemClock, "wall", lambda self: time.time() - 2_400.0)
        started = await fleet.add_vm("front-2")
        before = time.time()
        assert (await fleet.request(http, "/peek/1", node=started)).status_code == 200
        await started.close()
        fleet.added.remove(started)
        assert started.agreed_clock.difference_s is None
        segments = started.writer.journal.segments
    sums = [item for window in segments.values() for item in window.values()]
    assert sum(item.requests for item in sums) == 1
    # The beginning and the end of a request may be in two windows.
    assert all(abs(window - before) < 5.0 for window in segments)


@pytest.mark.anyio
async def test_vms_replace_a_time_of_day_that_another_one_proposes_after_a_restore(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against VMs that don't read the clock's row again after a restore, and a VM
    that starts by its own clock, which is off."""
    async with running(RestoredFleet()) as fleet:
        key = (OWN_TABLE, CLOCK_KEY)
        await fleet.wait_until(lambda: key in fleet.store.rows)
        clock = fleet.node.agreed_clock
        await fleet.wait_until(lambda: clock.difference_s is not None)
        before = clock.difference_s
        assert before is not None
        backup = fleet.store.backup()
        del backup.rows[key]
        fleet.come_back(backup)
        row = {"difference_s": before - 2_400.0, "proposed_s": fleet.store.seconds()}
        fleet.store.put(*key, msgspec.json.encode(row))
        monkeypatch.setattr(SystemClock, "wall", lambda self: time.time() - 2_400.0)
        started = await fleet.add_vm("front-2")
        await fleet.wait_until(lambda: started.agreed_clock.difference_s is not None)
        differences = [node.agreed_clock.difference_s for node in fleet.nodes]
    assert differences == [before, before]

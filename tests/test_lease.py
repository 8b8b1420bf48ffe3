"""Leases and intents, step by step on an in-memory table."""

import pytest

from fakes import FakePlatform, Fate
from godwitmast.lease.intents import (
    Intent,
    RecordOutcome,
    read_intents,
    record_intent,
    settle_intent,
)
from godwitmast.lease.machine import SLOW_WATCH_FACTOR, LeaseMachine, LeaseTiming

TIMING = LeaseTiming()


def play(platform: FakePlatform, machine: LeaseMachine, now: float, fate: Fate) -> None:
    """Run the step that a contender has due, if any."""
    step = machine.step(now, now)
    if step is not None:
        machine.took(platform.take(step, fate), now)


def hold(platform: FakePlatform, name: str, now: float) -> LeaseMachine:
    """Return a contender that has gained the lease at `now`."""
    machine = LeaseMachine("orders", name, TIMING)
    for _ in range(3):
        play(platform, machine, now, Fate.ANSWERED)
    assert machine.fence_if_held(now, now) is not None
    return machine


def test_dead_holder_is_replaced_within_two_lease_times() -> None:
    platform = FakePlatform()
    hold(platform, "a", 100.0)
    challenger = LeaseMachine("orders", "b", TIMING)
    now = 100.0
    while challenger.fence_if_held(now, now) is None:
        play(platform, challenger, now, Fate.ANSWERED)
        now += 0.1
    assert TIMING.ttl_s < now - 100.0 <= 2 * TIMING.ttl_s
    assert challenger.fence_if_held(now, now) == 2


def test_lease_that_was_released_is_taken_at_once() -> None:
    platform = FakePlatform()
    first = hold(platform, "a", 100.0)
    first.give_up()
    assert first.fence_if_held(100.0, 100.0) is None
    while not first.released:
        play(platform, first, 100.0, Fate.ANSWERED)
    assert hold(platform, "b", 100.1).held_lease.fence == 2


def test_renewal_whose_answer_is_lost_counts_only_after_a_read() -> None:
    platform = FakePlatform()
    machine = hold(platform, "a", 100.0)
    play(platform, machine, 103.0, Fate.ANSWER_LOST)
    assert machine.held_lease.sent_now == 100.0
    play(platform, machine, 104.0, Fate.ANSWERED)
    assert machine.held_lease.sent_now == 103.0
    assert machine.fence_if_held(111.9, 111.9) == 1
    assert machine.fence_if_held(112.0, 112.0) is None


def test_deposed_holder_cannot_write_an_intent_and_the_next_one_finds_it() -> None:
    """A holder writes an intent, the answer is lost, and another process takes over.

    The successor finds the intent without an outcome and settles it under its id. The
    deposed holder, which has not noticed, can write neither intent nor outcome.
    """
    platform = FakePlatform()
    old = hold(platform, "a", 100.0)
    intent = Intent("order-1", 1, {"zone": "a"})
    write = record_intent("orders", old, intent)
    step = next(write)
    read = write.send(platform.take(step, Fate.ANSWER_LOST))
    with pytest.raises(StopIteration) as ended:
        write.send(platform.take(read))
    assert ended.value.value is RecordOutcome.WRITTEN
    late = 100.0 + TIMING.ttl_s + TIMING.guard_s
    new = LeaseMachine("orders", "b", TIMING)
    play(platform, new, 100.0, Fate.ANSWERED)
    play(platform, new, late + 0.1, Fate.ANSWERED)
    assert new.fence_if_held(late + 0.1, late + 0.1) == 2
    assert platform.run(read_intents("orders")) == [intent]
    other = Intent("order-2", 1, {"zone": "b"})
    assert platform.run(record_intent("orders", old, other)) is RecordOutcome.DEPOSED
    assert platform.run(settle_intent("orders", old, intent, {"id": "x"})) is False
    assert platform.run(settle_intent("orders", new, intent, {"id": "y"})) is True
    again = record_intent("orders", new, intent)
    assert platform.run(again) is RecordOutcome.EXISTS


def count_looks(vm_count: int, seconds: float) -> tuple[int, int]:
    """Return how often contenders read a live holder's lease, and how many of them are
    candidates."""
    platform = FakePlatform()
    holder = hold(platform, "holder", 100.0)
    holder.vm_count = vm_count
    contenders = [LeaseMachine("orders", f"c{n}", TIMING) for n in range(vm_count - 1)]
    calls = 0
    for tenth in range(int(seconds * 10)):
        now = 100.0 + tenth / 10
        play(platform, holder, now, Fate.ANSWERED)
        for machine in contenders:
            before = machine.pending_step, machine.next_at
            play(platform, machine, now, Fate.ANSWERED)
            calls += (machine.pending_step, machine.next_at) != before
            assert machine.fence_if_held(now, now) is None
    candidates = sum(machine.watch_s == TIMING.watch_s for machine in contenders)
    return calls, candidates


def test_reads_of_a_held_lease_hardly_grow_with_the_contenders() -> None:
    """Seven times as many VMs contend for a lease that its holder keeps renewing."""
    few, few_candidates = count_looks(9, 300)
    many, many_candidates = count_looks(67, 300)
    assert few_candidates >= 6
    assert 4 <= many_candidates <= 16
    assert many < 3.5 * few


def test_lease_is_taken_over_when_every_candidate_has_failed() -> None:
    """A zone is lost with the holder and all candidates."""
    platform = FakePlatform()
    holder = hold(platform, "holder", 100.0)
    holder.vm_count = 10_000
    play(platform, holder, 103.0, Fate.ANSWERED)
    non_candidate = LeaseMachine("orders", "one of many", TIMING)
    now = 103.0
    while non_candidate.fence_if_held(now, now) is None:
        play(platform, non_candidate, now, Fate.ANSWERED)
        now += 0.1
        assert now < 103.0 + 3 * SLOW_WATCH_FACTOR * TIMING.watch_s
    assert non_candidate.watch_s == SLOW_WATCH_FACTOR * TIMING.watch_s
    assert non_candidate.fence_if_held(now, now) == 2


def test_new_holder_that_has_not_counted_yet_keeps_the_previous_count() -> None:
    """A takeover wrote that there is one VM where there were hundreds.

    Each VM then became a candidate, and used the whole allowance of retries.
    """
    platform = FakePlatform()
    machines = [LeaseMachine("duties", name, TIMING) for name in ("a", "b")]
    for machine in machines:
        machine.vm_count = 195
    now = 0.0
    while not any(machine.held_lease for machine in machines):
        now += 0.5
        for machine in machines:
            step = machine.step(now, now)
            if step is not None:
                machine.took(platform.take(step), now)
    beat = platform.table.rows["lease/duties/beat"].value
    assert beat["crowd"] == 195
    newcomer = LeaseMachine("duties", "c", TIMING)
    step = newcomer.step(now, now)
    assert step is not None
    newcomer.took(platform.take(step), now)
    assert newcomer.vm_count == 195

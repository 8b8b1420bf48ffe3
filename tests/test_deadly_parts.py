"""Prompt parts that crash each engine that begins to write an answer on them."""

import pytest

from engine_pool import SHARED, EnginePool
from godwitmast.dispatch.messages import Clearance, Quarantine
from godwitmast.dispatch.part_crashes import (
    CRASHES_OF_FAMILIAR,
    CRASHES_TO_QUARANTINE,
    FAMILIAR_QUARANTINE_S,
    MAX_ID_LENGTH,
    SETTLE_S,
    PartGroup,
    PartGuard,
    decode_group,
    encode_group,
)
from godwitmast.dispatch.placement import PromptPart
from godwitmast.dispatch.poison import QUARANTINE_S
from godwitmast.types import BackendId, PoolName

MAX_LATE_RUNS = 3
"""By the users' rule on parts that crash five engines."""

MIN_SERVED_SHARE = 0.95
END_S = 25.0
SOUND_EVERY_S = 0.2
DEADLY_EVERY_S = 0.2

DEADLY_PROMPTS = {
    "first": ["deadly-0", "middle"],
    "middle": [SHARED.part_id, "deadly-0"],
    "between": [SHARED.part_id, "deadly-0", "middle"],
}


def play(
    vms: int,
    seed: int,
    prompts: list[list[str]],
    every_s: float = DEADLY_EVERY_S,
    start_s: float = 4.0,
) -> EnginePool:
    """Send sound prompts all the time, and deadly ones from some moment on."""
    pool = EnginePool(vms, seed)
    pool.deadly = {name for parts in prompts for name in parts if "deadly" in name}
    pool.send_prompts([SHARED.part_id, "middle"], SOUND_EVERY_S, END_S - 3.0)
    pool.run(start_s)
    for parts in prompts:
        pool.send_prompts(parts, every_s, END_S - 3.0)
    pool.run(END_S)
    return pool


@pytest.mark.parametrize("place", list(DEADLY_PROMPTS))
@pytest.mark.parametrize("vms", [1, 3, 60])
def test_prompts_with_a_part_that_crashes_engines_are_refused(
    vms: int, place: str
) -> None:
    """Guards against requests that share nothing but the part on which engines crash."""
    pool = play(vms, 1, [DEADLY_PROMPTS[place]])
    assert pool.late_part_runs("deadly-0") <= MAX_LATE_RUNS
    assert pool.quarantined_parts() == {frozenset(["deadly-0"])}
    assert pool.served_share() > MIN_SERVED_SHARE


@pytest.mark.parametrize("vms", [1, 8])
def test_two_parts_that_crash_engines_at_once_are_both_found(vms: int) -> None:
    """Guards against crashes of one part that hide those of another."""
    prompts = [[SHARED.part_id, "deadly-0"], [SHARED.part_id, "middle", "deadly-1"]]
    pool = play(vms, 2, prompts, every_s=0.4)
    for name in ("deadly-0", "deadly-1"):
        assert pool.late_part_runs(name) <= MAX_LATE_RUNS
    parts = {frozenset([name]) for name in ("deadly-0", "deadly-1")}
    assert pool.quarantined_parts() == parts
    assert pool.served_share() > MIN_SERVED_SHARE


@pytest.mark.parametrize("vms", [1, 8, 60])
@pytest.mark.parametrize("together", [1, 3, 10])
def test_crashes_with_other_causes_quarantine_no_part(vms: int, together: int) -> None:
    """Guards against a part that all requests share and that is on each lost engine."""
    pool = EnginePool(vms, 3)
    pool.send_prompts([SHARED.part_id, "middle"], SOUND_EVERY_S, END_S)
    pool.send_prompts([SHARED.part_id, "rare"], 3.0, END_S)
    pool.run(3.0)
    for number in range(12):
        servers = pool.random.sample(pool.servers, together)
        for server in servers:
            pool.schedule(0.7 * number, pool.crash_if_up, server)
    pool.run(END_S)
    assert not pool.quarantined_parts()


def test_vm_that_starts_later_refuses_the_part_too() -> None:
    pool = play(3, 4, [DEADLY_PROMPTS["middle"]])
    pool.add_vm()
    assert pool.vms[-1].router.part_guard.quarantined


LM = PoolName("lm")
SOUND = (PromptPart("shared", 800), PromptPart("own", 10))
DEADLY = (PromptPart("shared", 800), PromptPart("deadly", 400), PromptPart("own", 10))


def crash_often(guard: PartGuard, count: int, start: float, *ids: str) -> float:
    """Crash engines on prompts with some parts; return when that has settled."""
    for number in range(count):
        backend_id = BackendId(f"e{number}")
        guard.record_crash(LM, backend_id, [frozenset(ids)], start + number)
    return start + count - 1 + SETTLE_S


def group_of(*ids: str) -> PartGroup:
    return PartGroup(LM, frozenset(ids))


def test_parts_in_the_same_crashes_are_refused_only_together() -> None:
    """Guards against sound prompts that share the other parts of a deadly one."""
    guard = PartGuard()
    now = crash_often(guard, CRASHES_TO_QUARANTINE, 0.0, "shared", "deadly")
    assert guard.find_causes(now) == [group_of("shared", "deadly")]
    assert guard.quarantine_left_s(LM, DEADLY, now) == QUARANTINE_S
    assert guard.quarantine_left_s(LM, SOUND, now) is None
    assert guard.quarantine_left_s(PoolName("other"), DEADLY, now) is None
    guard.record_survival(LM, SOUND, now + 1.0)
    assert guard.quarantined.keys() == {group_of("deadly")}


def test_part_that_survived_lately_takes_more_crashes() -> None:
    guard = PartGuard()
    guard.record_survival(LM, SOUND, 0.0)
    now = crash_often(guard, CRASHES_OF_FAMILIAR - 1, 1.0, "shared")
    assert guard.find_causes(now) == []
    now = crash_often(guard, CRASHES_OF_FAMILIAR, 10.0, "shared")
    assert guard.find_causes(now) == [group_of("shared")]
    assert guard.quarantine_left_s(LM, SOUND, now) == FAMILIAR_QUARANTINE_S


def test_survival_between_crashes_clears_a_part() -> None:
    guard = PartGuard()
    crash_often(guard, CRASHES_TO_QUARANTINE - 1, 0.0, "shared")
    guard.record_survival(LM, SOUND, 5.0)
    now = crash_often(guard, CRASHES_TO_QUARANTINE - 1, 10.0, "shared")
    assert guard.find_causes(now) == []


def test_part_is_tried_again_and_its_first_crash_ends_that() -> None:
    """Guards against parts that are refused for ever, and against five more crashes."""
    guard = PartGuard()
    now = crash_often(guard, CRASHES_TO_QUARANTINE, 0.0, "deadly")
    guard.find_causes(now)
    now += QUARANTINE_S
    guard.expire(now)
    assert guard.quarantine_left_s(LM, DEADLY, now) is None
    crash_often(guard, 1, now + 1.0, "shared", "deadly")
    assert guard.quarantined.keys() == {group_of("deadly")}


def test_crash_with_a_known_cause_counts_against_no_other_part() -> None:
    first, second = PartGuard(), PartGuard()
    now = crash_often(first, CRASHES_TO_QUARANTINE, 0.0, "deadly")
    first.find_causes(now)
    crash_often(first, 3, now, "deadly", "rare")
    crash_often(second, 3, now, "rare")
    second.apply_updates(first.pop_updates(), now + 2.0)
    assert not first.suspects
    assert not second.suspects


def test_other_entrys_quarantine_is_narrowed_by_what_survives_here() -> None:
    """Guards against a sound part that is refused as one entry saw no survival."""
    guard = PartGuard()
    fingerprint = encode_group(group_of("shared", "deadly"))
    guard.apply_updates([Quarantine(fingerprint, QUARANTINE_S)], 10.0)
    guard.record_survival(LM, SOUND, 11.0)
    assert guard.quarantined.keys() == {group_of("deadly")}
    assert Clearance(encode_group(group_of("shared")), 0.0) in guard.pop_updates()


def test_new_parts_of_callers_do_not_fill_the_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against prompts of several new parts, of which one is forgotten each time."""
    monkeypatch.setattr("godwitmast.dispatch.part_crashes.MAX_SURVIVALS", 10)
    guard = PartGuard()
    for number in range(20):
        ids = [f"{number}-{part}" for part in range(3)]
        guard.record_survival(LM, [PromptPart(name, 1) for name in ids], float(number))
    assert len(guard.survived_at) == 10


def test_parts_with_long_ids_are_not_tracked() -> None:
    guard = PartGuard()
    prompt = (PromptPart("x" * (MAX_ID_LENGTH + 1), 1), PromptPart("own", 1))
    guard.record_survival(LM, prompt, 0.0)
    assert not guard.survived_at


@pytest.mark.parametrize("text", ["f00", "prompt-parts:", "prompt-parts:[1]"])
def test_fingerprint_that_names_no_parts_is_ignored(text: str) -> None:
    assert decode_group(text) is None
    assert PartGuard().apply_updates([Quarantine(text, 1.0)], 0.0) == []

"""Drawn crashes, survivals and quarantines of prompt parts, with a bound on steps."""

import random

import pytest

from godwitmast.dispatch.messages import Clearance, Crash, Quarantine, Suspicion
from godwitmast.dispatch.part_crashes import (
    SETTLE_S,
    PartGroup,
    PartGuard,
    encode_group,
)
from godwitmast.dispatch.placement import PromptPart
from godwitmast.dispatch.poison import CRASH_DEDUP_S
from godwitmast.types import BackendId, PoolName

LM = PoolName("lm")
PARTS = ("common", "digest", "draft")
SERVERS = tuple(BackendId(f"e{number}") for number in range(2))
OFFSETS_S = (0.0, 0.1, CRASH_DEDUP_S - 0.07, CRASH_DEDUP_S, CRASH_DEDUP_S + 0.06)
"""When crashes of one round come: some are the same only pairwise."""

ROUNDS = 12
SEEDS = range(300)


class CountingGuard(PartGuard):
    """Fails if one tick looks for causes more often than there are suspects."""

    def __init__(self) -> None:
        super().__init__()
        self.looks = 0

    def find_cause(self, *args):
        self.looks += 1
        assert self.looks <= len(PARTS) + 1, "the search for causes goes on for good"
        return super().find_cause(*args)

    def find_causes(self, now: float) -> list[PartGroup]:
        self.looks = 0
        return super().find_causes(now)


def group_of(*ids: str) -> PartGroup:
    return PartGroup(LM, frozenset(ids))


def survive(guard: PartGuard, part_id: str, now: float) -> None:
    guard.record_survival(LM, (PromptPart(part_id, 800), PromptPart("own", 9)), now)


def test_crashes_that_are_the_same_only_pairwise_end_the_search() -> None:
    """Guards against a VM that hangs after a server lost the answers of three prompts:
    the first and the last crash are too far apart to be one, the middle one is both."""
    guard = CountingGuard()
    survive(guard, "common", -1.0)
    for start in (0.0, 7.0, 14.0):
        for part_id, wait_s in zip(PARTS, (0.0, 1.93, 2.06), strict=True):
            at = start + wait_s
            guard.record_crash(LM, SERVERS[0], [frozenset([part_id])], at)
    causes = guard.find_causes(14.0 + 2.06 + SETTLE_S)
    assert causes
    assert guard.find_causes(14.0 + 2.06 + SETTLE_S) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_search_for_causes_ends_after_any_sequence(seed: int) -> None:
    """Guards against an event loop that one order of crashes occupies for good."""
    rng = random.Random(seed)
    guard = CountingGuard()
    for part_id in rng.sample(PARTS, rng.choice([0, 1, 1, 2])):
        survive(guard, part_id, -1.0)
    noise = rng.choice([0.0, 0.0, 0.02, 0.1])
    now = 0.0
    offsets = draw_offsets(rng)
    for _ in range(ROUNDS):
        if rng.random() < noise:
            offsets = draw_offsets(rng)
        for at, part_id in sorted((now + offsets[name], name) for name in PARTS):
            crash(guard, rng, part_id, at, noise)
        if rng.random() < 0.3:
            guard.find_causes(now + rng.choice(OFFSETS_S) + SETTLE_S)
        now += rng.choice([2.2, SETTLE_S + 2.2, 7.0])
        if rng.random() < 2 * noise:
            change(guard, rng, now)
        guard.find_causes(now)
        if rng.random() < 0.1:
            guard.expire(now)


def draw_offsets(rng: random.Random) -> dict[str, float]:
    """Return how long after the start of a round a server crashes on each part."""
    offsets = [OFFSETS_S[0], rng.choice(OFFSETS_S), OFFSETS_S[-1]]
    rng.shuffle(offsets)
    return dict(zip(PARTS, offsets, strict=True))


def crash(
    guard: PartGuard, rng: random.Random, part_id: str, at: float, noise: float
) -> None:
    """Let a server crash on a part, seen here or reported by another VM."""
    server = SERVERS[rng.random() < noise]
    if rng.random() >= noise:
        ids = {part_id, *rng.sample(PARTS, rng.random() < noise)}
        guard.record_crash(LM, server, [frozenset(ids)], at)
    else:
        update = Suspicion(encode_group(group_of(part_id)), (Crash(server, 0.13),))
        guard.apply_updates([update], at)


def change(guard: PartGuard, rng: random.Random, now: float) -> None:
    """Let something else happen to the parts, here or at another VM."""
    ids = rng.sample(PARTS, rng.choice([1, 2, 3]))
    match rng.choice(["survival", "clearance", "quarantine", "withdrawal"]):
        case "survival":
            survive(guard, ids[0], now)
        case "clearance":
            guard.apply_updates([Clearance(encode_group(group_of(ids[0])), 1.0)], now)
        case "quarantine":
            guard.apply_updates([Quarantine(encode_group(group_of(*ids)), 5.0)], now)
        case "withdrawal":
            guard.withdraw_crash(SERVERS[0], now - rng.choice([2.2, 3.0, 4.0]))

"""Placement of short and long prompts, and how much of them is prefilled again."""

from dataclasses import dataclass

import pytest

from godwitmast.dispatch.placement import PoolLoad, Prompt, PromptPart, PromptPlacement
from godwitmast.types import BackendId, ClassName, ZoneName

ZONE = ZoneName("a")
NAMES = [BackendId(f"e{number}") for number in range(6)]


@dataclass
class Engine:
    """An engine with the properties that placement needs."""

    backend_id: BackendId
    zone: ZoneName = ZONE
    running: float = 0.0

    def load(self, now: float) -> float:
        return self.running


def question(number: int) -> Prompt:
    parts = (
        PromptPart("tone", 210),
        PromptPart(f"s{number}", 140),
        PromptPart(f"q{number}", 1110),
    )
    return Prompt(ClassName("question"), 1460, parts)


def summary(subject: int, number: int) -> Prompt:
    parts = (PromptPart(f"subject{subject}", 13_300), PromptPart(f"n{number}", 3_720))
    return Prompt(ClassName("summary"), 17_020, parts)


class Pool:
    """Several routers that share engines and do not communicate."""

    def __init__(self, routers: int = 3, names: list[BackendId] = NAMES) -> None:
        self.engines = {name: Engine(name) for name in names}
        self.routers = [PromptPlacement() for _ in range(routers)]

    def place(self, router: int, prompt: Prompt, now: float) -> BackendId:
        placement = self.routers[router]
        placement.record_arrival(prompt, now)
        engines = list(self.engines.values())
        chosen = placement.choose(prompt, list(self.engines), engines, ZONE, now)
        assert chosen is not None
        placement.record_prefill(chosen, placement.record_start(chosen, prompt, now))
        return chosen


@pytest.fixture
def pool() -> Pool:
    return Pool()


def play_mix(pool: Pool, seconds: int = 60) -> dict[str, set[BackendId]]:
    """Play two questions and two summaries a second at each router.

    Return the engines that each class used after the first five seconds.
    """
    used: dict[str, set[BackendId]] = {"question": set(), "summary": set()}
    for second in range(seconds):
        for router in range(len(pool.routers)):
            for half in (0, 1):
                number = second * 10 + router * 2 + half
                now = second + half / 2
                for prompt in (question(number), summary(number % 40, number)):
                    chosen = pool.place(router, prompt, now)
                    if second >= 5:
                        used[prompt.class_name].add(chosen)
    return used


def test_interactive_and_long_prompts_never_share_an_engine(pool: Pool) -> None:
    """Questions arrive steadily among long summaries, at routers that do not
    communicate.

    An engine that serves both prefills the long prompts between the questions' tokens,
    and each question there pauses for longer than its class allows.
    """
    used = play_mix(pool)
    assert not used["question"] & used["summary"]
    assert len(used["summary"]) >= 4


def test_all_routers_send_a_shared_prefix_to_the_same_engine(pool: Pool) -> None:
    play_mix(pool, 10)
    for subject in range(20):
        chosen = {pool.place(r, summary(subject, r), 20.0) for r in range(3)}
        assert len(chosen) == 1


def test_prefix_moves_only_if_its_engine_was_removed(pool: Pool) -> None:
    play_mix(pool, 10)
    before = {s: pool.place(0, summary(s, 0), 20.0) for s in range(40)}
    removed = before[0]
    del pool.engines[removed]
    for placement in pool.routers:
        placement.sent_at.clear()
    after = {s: pool.place(0, summary(s, 1), 21.0) for s in range(40)}
    order = set(pool.routers[0].group_for(summary(0, 0), NAMES))
    moved = [s for s in before if before[s] != after[s]]
    still = [s for s in moved if before[s] != removed and before[s] in order]
    # The interactive group may grow by one engine of the other group.
    assert len(still) <= 40 / 5 + 4


def test_busy_preferred_engine_is_passed_over_when_a_repeated_prefill_is_faster() -> (
    None
):
    pool = Pool(1)
    prompt = summary(1, 1)
    preferred = pool.place(0, prompt, 0.0)
    placement = pool.routers[0]
    placement.pending_tokens[preferred] = 13_300 * 2 + 5_000.0
    assert pool.place(0, summary(1, 2), 0.1) != preferred
    del placement.pending_tokens[preferred]
    assert pool.place(0, summary(1, 3), 0.2) == preferred


def test_pool_with_one_kind_of_prompt_uses_all_engines() -> None:
    pool = Pool(1)
    used = set()
    for number in range(600):
        used.add(pool.place(0, question(number), number / 2))
    assert used == set(NAMES)


def test_one_engine_takes_everything() -> None:
    pool = Pool(1, NAMES[:1])
    assert pool.place(0, question(1), 0.0) == pool.place(0, summary(1, 1), 0.1)


def test_prompt_goes_to_the_least_loaded_where_nothing_is_shared(pool: Pool) -> None:
    alone = Prompt(ClassName("x"), 5_000, (PromptPart("a1", 5_000),))
    first = pool.place(0, alone, 0.0)
    pool.engines[first].running = 8
    other = Prompt(ClassName("x"), 5_000, (PromptPart("a2", 5_000),))
    assert pool.place(0, other, 0.1) != first


def test_number_of_tracked_parts_is_bounded() -> None:
    pool = Pool(1)
    for number in range(3_000):
        pool.place(0, question(number), number / 100)
    assert len(pool.routers[0].sent_at) <= 4096


def test_interactive_streams_run_on_engines_that_are_not_reclaimed() -> None:
    """Cheap engines come and go under a steady mix of questions and summaries.

    Questions cannot be moved, so that the reclaim of an engine cut those that ran
    there; and engines that changed groups ran long prompts beside questions each time.
    """
    pool = Pool()
    stay = set(NAMES[:2])
    for router in pool.routers:
        router.cheap = set(NAMES[2:])
    used = play_mix(pool)
    assert used["question"] <= stay
    for name in NAMES[4:]:
        del pool.engines[name]
    used = play_mix(pool)
    assert used["question"] <= stay


def test_burst_of_questions_overflows_to_the_same_engine_on_all_routers() -> None:
    """Half as many questions again arrive as their engine was sized for.

    Sixty run on it, and each new one's first token takes a second there, while the
    other engines run a few requests each. The group grows only within seconds.
    """
    pool = Pool()
    play_mix(pool)
    [interactive] = pool.routers[0].group_for(question(0), NAMES)
    for engine in pool.engines.values():
        engine.running = 3
    pool.engines[interactive].running = 15
    assert {pool.place(router, question(1), 60.0) for router in range(3)} == {
        interactive
    }
    pool.engines[interactive].running = 60
    used = {pool.place(router, question(2), 60.0) for router in range(3)}
    assert len(used) == 1
    assert interactive not in used


def subject_sources(
    placement: PromptPlacement, members: list[BackendId], now: float
) -> int:
    """Send one summary of each of 40 subjects; return how many may copy their
    prefix."""
    copied = 0
    for subject in range(40):
        prompt = summary(subject, subject)
        engines = [Engine(name) for name in members]
        chosen = placement.choose(prompt, members, engines, ZONE, now)
        assert chosen is not None
        source = placement.copy_source(prompt, chosen, members, now)
        assert source != chosen
        copied += source is not None
        placement.record_prefill(chosen, placement.record_start(chosen, prompt, now))
    return copied


def test_prompt_that_skips_its_busy_preferred_engine_copies_its_prefix_from_there() -> (
    None
):
    """A burst fills the engine that has a prefix cached. Another engine would have to
    prefill its 13,300 tokens again, and copies them in a seventh of that time."""
    placement = PromptPlacement()
    prompt = summary(1, 1)
    engines = {name: Engine(name) for name in NAMES}
    preferred = placement.choose(prompt, NAMES, list(engines.values()), ZONE, 1.0)
    assert preferred is not None
    placement.record_prefill(preferred, placement.record_start(preferred, prompt, 1.0))
    engines[preferred].running = 1000.0
    other = placement.choose(summary(1, 2), NAMES, list(engines.values()), ZONE, 2.0)
    assert other is not None and other != preferred
    assert placement.copy_source(summary(1, 2), other, NAMES, 2.0) == preferred
    assert placement.copy_source(summary(1, 2), preferred, NAMES, 2.0) is None


def test_new_engine_copies_prefixes_from_their_previous_engines() -> None:
    """A server starts, ranks first for a sixth of the prefixes, and has none of them
    cached."""
    placement = PromptPlacement()
    assert subject_sources(placement, NAMES[:-1], 100.0) == 0
    assert subject_sources(placement, NAMES, 201.0) > 2
    assert subject_sources(placement, NAMES, 300.0) == 0


def test_short_shared_part_is_prefilled_rather_than_copied() -> None:
    placement = PromptPlacement()
    parts = (PromptPart("tone", 100), PromptPart("own", 900))
    prompt = Prompt(ClassName("question"), 1000, parts)
    assert placement.copy_source(prompt, NAMES[0], NAMES, 1.0) is None


def mark(number: int) -> Prompt:
    parts = (PromptPart("sheet", 300), PromptPart(f"m{number}", 1_500))
    return Prompt(ClassName("mark"), 1_800, parts)


def test_short_prompts_with_longer_allowed_gaps_avoid_the_strictest_streams() -> None:
    """Marks arrive in clusters. Each is prefilled quickly, but four in a row delay the
    questions' streams on their engine by more than those allow, and not each other's.
    """
    placement = PromptPlacement()
    for number in range(40):
        placement.record_arrival(question(number), number / 10, 0.15)
        placement.record_arrival(mark(number), number / 10, 0.25)
        placement.record_arrival(summary(number, number), number / 10, 0.6)
    assert placement.is_interactive(question(1))
    assert not placement.is_interactive(mark(1))
    assert not set(placement.group_for(question(1), NAMES)) & set(
        placement.group_for(mark(1), NAMES)
    )


def equal_shares_of_places() -> PromptPlacement:
    """Return a placement that has seen questions and summaries hold places as long."""
    placement = PromptPlacement()
    for number in range(200):
        now = number / 20
        placement.record_arrival(question(number), now, 0.15)
        placement.record_arrival(summary(number, number), now, 0.6)
        placement.record_end(question(number), 2.0, now)
        placement.record_end(summary(number, number), 2.0, now)
    return placement


def test_short_prompts_with_long_answers_get_engines_by_their_place_seconds() -> None:
    """Questions are a tenth of the tokens, and half of the place-seconds.

    Sized by tokens alone, their one engine of 32 places had no room for forty of them,
    and the rest paused beside long prompts. In a burst to twice as many the group grows
    at once.
    """
    placement = equal_shares_of_places()
    names = [BackendId(f"e{number}") for number in range(12)]
    calm = placement.group_for(question(1), names, PoolLoad(80.0, 32.0))
    burst = placement.group_for(question(1), names, PoolLoad(160.0, 32.0))
    assert len(calm) == 2
    assert len(burst) == 4
    assert set(calm) <= set(burst)


def test_long_prompts_keep_their_share_of_the_engines_in_a_full_pool() -> None:
    """Guards against questions that take the engines of long prompts under high load."""
    placement = equal_shares_of_places()
    names = [BackendId(f"e{number}") for number in range(12)]
    full = placement.group_for(question(1), names, PoolLoad(12 * 32.0, 32.0))
    assert len(full) == 6

"""Where prompts go, and what is read again, when long ones come among short ones."""

from dataclasses import dataclass

import pytest

from godwitmast.dispatch.placement import Part, Placement, Prompt, Running
from godwitmast.types import BackendId, ClassName, ZoneName

ZONE = ZoneName("a")
NAMES = [BackendId(f"e{number}") for number in range(6)]


@dataclass
class Engine:
    """An engine as placement sees it."""

    backend_id: BackendId
    zone: ZoneName = ZONE
    running: float = 0.0

    def load(self, now: float) -> float:
        return self.running


def question(number: int) -> Prompt:
    parts = (Part("tone", 210), Part(f"s{number}", 140), Part(f"q{number}", 1110))
    return Prompt(ClassName("question"), 1460, parts)


def summary(subject: int, number: int) -> Prompt:
    parts = (Part(f"subject{subject}", 13_300), Part(f"n{number}", 3_720))
    return Prompt(ClassName("summary"), 17_020, parts)


class Pool:
    """Several routers that share engines and never talk."""

    def __init__(self, routers: int = 3, names: list[BackendId] = NAMES) -> None:
        self.engines = {name: Engine(name) for name in names}
        self.routers = [Placement() for _ in range(routers)]

    def place(self, router: int, prompt: Prompt, now: float) -> BackendId:
        placement = self.routers[router]
        placement.arrived(prompt, now)
        engines = list(self.engines.values())
        chosen = placement.choose(prompt, list(self.engines), engines, ZONE, now)
        assert chosen is not None
        placement.was_read(chosen, placement.started(chosen, prompt, now))
        return chosen


@pytest.fixture
def pool() -> Pool:
    return Pool()


def replay(pool: Pool, seconds: int = 60) -> dict[str, set[BackendId]]:
    """Play two questions and two summaries a second at each router."""
    went: dict[str, set[BackendId]] = {"question": set(), "summary": set()}
    for second in range(seconds):
        for router in range(len(pool.routers)):
            for half in (0, 1):
                number = second * 10 + router * 2 + half
                now = second + half / 2
                for prompt in (question(number), summary(number % 40, number)):
                    chosen = pool.place(router, prompt, now)
                    if second >= 5:
                        went[prompt.class_name].add(chosen)
    return went


def test_quick_prompts_and_long_ones_never_share_an_engine(pool: Pool) -> None:
    """Questions come all the time among long summaries, at routers that do not talk.

    An engine that takes both reads the long prompts between the questions' tokens, and
    each question there pauses for longer than its callers bear.
    """
    went = replay(pool)
    assert not went["question"] & went["summary"]
    assert len(went["summary"]) >= 4


def test_all_routers_send_a_shared_opening_to_the_same_engine(pool: Pool) -> None:
    replay(pool, 10)
    for subject in range(20):
        chosen = {pool.place(r, summary(subject, r), 20.0) for r in range(3)}
        assert len(chosen) == 1


def test_opening_moves_only_where_its_engine_left(pool: Pool) -> None:
    replay(pool, 10)
    before = {s: pool.place(0, summary(s, 0), 20.0) for s in range(40)}
    gone = before[0]
    del pool.engines[gone]
    for placement in pool.routers:
        placement.sent.clear()
    after = {s: pool.place(0, summary(s, 1), 21.0) for s in range(40)}
    order = set(pool.routers[0].group(summary(0, 0), NAMES))
    moved = [s for s in before if before[s] != after[s]]
    still = [s for s in moved if before[s] != gone and before[s] in order]
    # The border may take one engine of the rest for the quick group.
    assert len(still) <= 40 / 5 + 4


def test_busy_home_gives_way_when_reading_again_is_quicker() -> None:
    pool = Pool(1)
    prompt = summary(1, 1)
    home = pool.place(0, prompt, 0.0)
    placement = pool.routers[0]
    placement.unread[home] = 13_300 * 2 + 5_000.0
    assert pool.place(0, summary(1, 2), 0.1) != home
    del placement.unread[home]
    assert pool.place(0, summary(1, 3), 0.2) == home


def test_pool_with_one_kind_of_prompt_uses_all_engines() -> None:
    pool = Pool(1)
    went = set()
    for number in range(600):
        went.add(pool.place(0, question(number), number / 2))
    assert went == set(NAMES)


def test_one_engine_takes_everything() -> None:
    pool = Pool(1, NAMES[:1])
    assert pool.place(0, question(1), 0.0) == pool.place(0, summary(1, 1), 0.1)


def test_prompt_goes_to_the_least_loaded_where_nothing_is_shared(pool: Pool) -> None:
    alone = Prompt(ClassName("x"), 5_000, (Part("a1", 5_000),))
    first = pool.place(0, alone, 0.0)
    pool.engines[first].running = 8
    other = Prompt(ClassName("x"), 5_000, (Part("a2", 5_000),))
    assert pool.place(0, other, 0.1) != first


def test_what_is_remembered_of_parts_is_bounded() -> None:
    pool = Pool(1)
    for number in range(3_000):
        pool.place(0, question(number), number / 100)
    assert len(pool.routers[0].sent) <= 4096


def test_quick_streams_go_where_no_engine_is_taken_away() -> None:
    """Cheap engines come and go under a steady mix of questions and summaries.

    Questions cannot be moved, so a reclaim cut those that ran there; and engines that
    changed from one group to the other had long prompts beside questions each time.
    """
    pool = Pool()
    stay = set(NAMES[:2])
    for router in pool.routers:
        router.cheap = set(NAMES[2:])
    went = replay(pool)
    assert went["question"] <= stay
    for name in NAMES[4:]:
        del pool.engines[name]
    went = replay(pool)
    assert went["question"] <= stay


def test_burst_of_questions_overflows_to_one_engine_that_all_agree_on() -> None:
    """Questions come half as often again as their engine was sized for.

    Sixty run on it, and each new one's first token takes a second there, while the
    others run a few requests each. The border between the groups follows in seconds.
    """
    pool = Pool()
    replay(pool)
    [quick] = pool.routers[0].group(question(0), NAMES)
    for engine in pool.engines.values():
        engine.running = 3
    pool.engines[quick].running = 15
    assert {pool.place(router, question(1), 60.0) for router in range(3)} == {quick}
    pool.engines[quick].running = 60
    went = {pool.place(router, question(2), 60.0) for router in range(3)}
    assert len(went) == 1
    assert quick not in went


def subject_sources(placement: Placement, members: list[BackendId], now: float) -> int:
    """Send one summary of each of 40 subjects; return how many may copy its opening."""
    copied = 0
    for subject in range(40):
        prompt = summary(subject, subject)
        engines = [Engine(name) for name in members]
        chosen = placement.choose(prompt, members, engines, ZONE, now)
        assert chosen is not None
        source = placement.source(prompt, chosen, members, now)
        assert source != chosen
        copied += source is not None
        placement.was_read(chosen, placement.started(chosen, prompt, now))
    return copied


def test_prompt_that_passes_its_busy_home_copies_its_opening_from_there() -> None:
    """A burst fills the engine that has read an opening; another one, which would read
    13,300 tokens again, copies them in a seventh of that time."""
    placement = Placement()
    prompt = summary(1, 1)
    engines = {name: Engine(name) for name in NAMES}
    home = placement.choose(prompt, NAMES, list(engines.values()), ZONE, 1.0)
    assert home is not None
    placement.was_read(home, placement.started(home, prompt, 1.0))
    engines[home].running = 1000.0
    other = placement.choose(summary(1, 2), NAMES, list(engines.values()), ZONE, 2.0)
    assert other is not None and other != home
    assert placement.source(summary(1, 2), other, NAMES, 2.0) == home
    assert placement.source(summary(1, 2), home, NAMES, 2.0) is None


def test_engine_that_joined_copies_from_where_the_openings_were() -> None:
    """A server starts and ranks first for a sixth of the openings, and holds none."""
    placement = Placement()
    assert subject_sources(placement, NAMES[:-1], 100.0) == 0
    assert subject_sources(placement, NAMES, 201.0) > 2
    assert subject_sources(placement, NAMES, 300.0) == 0


def test_little_is_read_sooner_than_copied() -> None:
    placement = Placement()
    parts = (Part("tone", 100), Part("own", 900))
    prompt = Prompt(ClassName("question"), 1000, parts)
    assert placement.source(prompt, NAMES[0], NAMES, 1.0) is None


def mark(number: int) -> Prompt:
    parts = (Part("sheet", 300), Part(f"m{number}", 1_500))
    return Prompt(ClassName("mark"), 1_800, parts)


def test_short_prompts_that_bear_longer_pauses_leave_the_tightest_streams_alone() -> (
    None
):
    """Marks come in clumps. Each is read in a moment, but four in a row hold up the
    questions' streams on their engine for longer than those bear, and not each other."""
    placement = Placement()
    for number in range(40):
        placement.arrived(question(number), number / 10, 0.15)
        placement.arrived(mark(number), number / 10, 0.25)
        placement.arrived(summary(number, number), number / 10, 0.6)
    assert placement.is_quick(question(1))
    assert not placement.is_quick(mark(1))
    assert not set(placement.group(question(1), NAMES)) & set(
        placement.group(mark(1), NAMES)
    )


def test_long_answers_to_short_prompts_get_engines_by_the_places_they_hold() -> None:
    """Questions are a tenth of the tokens, and half of what is held at any time.

    Sized by tokens alone, their one engine of 32 places had no room for forty of them,
    and the rest paused beside long prompts. In a burst to twice as many the group
    follows at once.
    """
    placement = Placement()
    for number in range(200):
        now = number / 20
        placement.arrived(question(number), now, 0.15)
        placement.arrived(summary(number, number), now, 0.6)
        placement.ended(question(number), 2.0, now)
        placement.ended(summary(number, number), 2.0, now)
    names = [BackendId(f"e{number}") for number in range(12)]
    calm = placement.group(question(1), names, Running(80.0, 32.0))
    burst = placement.group(question(1), names, Running(160.0, 32.0))
    assert len(calm) == 2
    assert len(burst) == 4
    assert set(calm) <= set(burst)

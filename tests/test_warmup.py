"""What all routers together send to a server that is cold."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from godwitmast.config.document import Document
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.census import RouterCount
from godwitmast.dispatch.messages import (
    BackendSpec,
    FailureKind,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.router import Router
from godwitmast.dispatch.warmup import (
    EXCESS_CHANCE,
    LONGEST_S,
    RESTART_NEWS_S,
    TURN_S,
    Warmup,
    WarmupLimit,
    excess_chance,
    safe_rate,
)
from godwitmast.types import BackendId, RequestId, ZoneName

LIMIT = WarmupLimit(per_s=7.0, most=15.5, start_s=3.0)
POOL = "lm"
STEP_S = 0.05


def busiest_second(times: list[float]) -> int:
    """Return the most of `times` in any span of one second."""
    times = sorted(times)
    first = most = 0
    for place, at in enumerate(times):
        while times[first] < at - 1.0:
            first += 1
        most = max(most, place - first + 1)
    return most


@dataclass
class Crowd:
    """Routers that always have a request for the one cold server.

    They hear of its start at unlike times, and some restart meanwhile.
    """

    routers: int
    seed: int
    counted: int | None = None
    restarts: bool = False
    lag_s: float = 1.5
    sent: list[float] = field(default_factory=list)

    def play(self, advance: Callable[..., None] = Warmup.advance) -> None:
        draw = random.Random(self.seed)
        period_s = RouterCount(self.counted or self.routers).most / safe_rate(LIMIT)
        warmups = [Warmup() for _ in range(self.routers)]
        heard = [draw.uniform(0.0, self.lag_s) for _ in warmups]
        ticks = [draw.uniform(0.0, STEP_S) for _ in warmups]
        for step in range(int(LIMIT.start_s / STEP_S)):
            for number, warmup in enumerate(warmups):
                now = step * STEP_S + ticks[number]
                if now < heard[number]:
                    continue
                if self.restarts and draw.random() < STEP_S:
                    warmup = warmups[number] = Warmup()
                if not warmup.is_cold(now):
                    warmup.told(LIMIT.start_s, now)
                advance(warmup, period_s, now, draw)
                if warmup.may_send(now):
                    warmup.sent(period_s, now)
                    self.sent.append(now)


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("routers", [3, 65, 300])
def test_cold_server_gets_no_more_than_it_bears_in_any_second(
    routers: int, restarts: bool
) -> None:
    """Each of hundreds of routers sends the emptiest server its next request at once."""
    for seed in range(100):
        crowd = Crowd(routers, seed, restarts=restarts)
        crowd.play()
        assert busiest_second(crowd.sent) <= LIMIT.most


def test_check_of_the_bound_catches_turns_that_begin_at_once() -> None:
    def at_once(
        warmup: Warmup, period_s: float, now: float, draw: random.Random
    ) -> None:
        if warmup.turn_at == float("inf"):
            warmup.turn_at = now

    crowd = Crowd(65, 0)
    crowd.play(at_once)
    assert busiest_second(crowd.sent) > LIMIT.most


@pytest.mark.parametrize("routers", [3, 65, 300])
def test_cold_server_is_used_at_a_good_part_of_what_it_bears(routers: int) -> None:
    """A zone of cold servers would come back into service more slowly than it may."""
    total = 0
    for seed in range(50):
        crowd = Crowd(routers, seed, lag_s=0.0)
        crowd.play()
        total += len(crowd.sent)
    assert total / 50 / LIMIT.start_s >= 0.25 * LIMIT.per_s


def test_rate_keeps_the_chance_of_an_excess_small() -> None:
    rate = safe_rate(LIMIT)
    assert 0 < rate <= LIMIT.per_s
    assert excess_chance(rate * (1 + TURN_S), LIMIT.most) <= EXCESS_CHANCE
    wide = LIMIT._replace(most=100.0)
    assert safe_rate(wide) == wide.per_s


def test_server_that_says_it_is_cold_for_hours_is_not_believed() -> None:
    warmup = Warmup()
    warmup.told(1e9, 0.0)
    assert not warmup.is_cold(LONGEST_S)
    warmup.told(-5.0, 0.0)
    assert not warmup.is_cold(0.0)


# The router.


@pytest.fixture(scope="module")
def document() -> Document:
    cold = {"per_s": 7.0, "most": 15.5, "start_s": 3.0}
    return parse_document(
        {
            "classes": {
                "question": {"tier": 1, "first_token_s": 1.0},
                "draft": {"tier": 2, "first_token_s": 1.0},
            },
            "teams": {"arima": {}},
            "models": {POOL: {"cold_start": cold}},
        }
    )


def server(name: str, **changes: object) -> BackendSpec:
    spec = BackendSpec(
        BackendId(name), ZoneName("a"), frozenset([POOL]), places=64, cold_s=0.0
    )
    return spec._replace(**changes)  # type: ignore[arg-type]


def request(number: int, now: float) -> RequestSpec:
    return RequestSpec(
        RequestId(f"r{number}"),
        "arima",  # type: ignore[arg-type]
        "draft",  # type: ignore[arg-type]
        POOL,  # type: ignore[arg-type]
        now,
        prompt_tokens=100,
        max_tokens=10,
    )


def make_routers(document: Document, count: int) -> list[Router]:
    routers = []
    for seed in range(count):
        router = Router(document, ZoneName("a"), seed, count=RouterCount(count, 0.0))
        router.update_backends([server("warm")], 0.0)
        routers.append(router)
    return routers


def starts_on(
    routers: list[Router], name: str, begin: float, seconds: float, per_s: float
) -> list[float]:
    """Let each router take `per_s` requests a second; return when some went to `name`."""
    draw = random.Random(1)
    number, starts = 0, []
    for step in range(int(seconds / STEP_S)):
        now = begin + step * STEP_S
        for router in routers:
            actions = router.tick(now)
            if draw.random() < per_s * STEP_S:
                number += 1
                actions += router.submit(request(number, now), now)
            for action in actions:
                if isinstance(action, Start) and action.backend_id == name:
                    starts.append(now)
    return starts


def test_new_empty_server_is_not_sent_everything_in_its_first_seconds(
    document: Document,
) -> None:
    """Hundreds of routers learn of one new server in the same half second."""
    routers = make_routers(document, 200)
    for router in routers:
        router.update_backends([server("warm"), server("new", cold_s=3.0)], 1.0)
    starts = starts_on(routers, "new", 1.0, 3.0, per_s=2.0)
    assert starts
    assert busiest_second(starts) <= LIMIT.most


def test_zone_that_is_given_back_is_taken_for_cold(document: Document) -> None:
    """Its servers' own rows tell later that they are cold than the operators' row goes."""
    routers = make_routers(document, 200)
    away = server("back", evacuated=True)
    for router in routers:
        router.update_backends([server("warm"), away], 0.5)
    assert not starts_on(routers, "back", 0.5, 0.5, per_s=2.0)
    for router in routers:
        router.update_backends([server("warm"), server("back")], 1.0)
    starts = starts_on(routers, "back", 1.0, LIMIT.start_s, per_s=2.0)
    assert busiest_second(starts) <= LIMIT.most
    later = starts_on(routers, "back", 1.0 + LIMIT.start_s, 2.0, per_s=2.0)
    assert len(later) > 100


def test_server_that_took_no_connection_is_probed_by_few_at_a_time(
    document: Document,
) -> None:
    """It crashed, each router saw so, and it is back under its id with no word of it."""
    routers = make_routers(document, 200)
    for router in routers:
        router.update_backends([server("warm"), server("crashed")], 0.5)
        router.backends.unreachable(BackendId("crashed"), 0.5)
    starts = starts_on(routers, "crashed", 0.5, RESTART_NEWS_S, per_s=2.0)
    assert busiest_second(starts) <= LIMIT.most


def test_router_that_does_not_know_of_the_others_waits_for_a_warm_server(
    document: Document,
) -> None:
    router = Router(document, ZoneName("a"))
    router.update_backends([server("cold", cold_s=3.0)], 0.0)
    assert not starts_on([router], "cold", 0.0, 0.9, per_s=10.0)


def test_server_whose_pool_names_no_bound_is_used_at_once(document: Document) -> None:
    router = Router(
        parse_document(
            {
                "classes": {"draft": {"tier": 2, "first_token_s": 1.0}},
                "teams": {"arima": {}},
                "models": {POOL: {}},
            }
        ),
        ZoneName("a"),
    )
    router.update_backends([server("cold", cold_s=3.0)], 0.0)
    [start] = router.submit(request(1, 0.0), 0.0)
    assert isinstance(start, Start)


def test_retry_waits_for_a_turn_as_well(document: Document) -> None:
    """The one warm server fails, and all that failed there goes to the cold one."""
    routers = make_routers(document, 200)
    starts: list[float] = []
    for number, router in enumerate(routers):
        specs = [server("warm"), server("cold", cold_s=3.0)]
        router.update_backends(specs, 0.0)
        [start] = [
            action
            for action in router.submit(request(number, 0.0), 0.0)
            if isinstance(action, Start)
        ]
        router.failed(start.request_id, start.attempt_id, FailureKind.CONNECT, 0.01)
    for step in range(1, 60):
        now = step * STEP_S
        starts += [
            now
            for router in routers
            for action in router.tick(now)
            if isinstance(action, Start) and action.backend_id == "cold"
        ]
    assert starts
    assert busiest_second(starts) <= LIMIT.most

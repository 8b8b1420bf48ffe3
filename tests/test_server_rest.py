"""Backend servers that ask for rest as they turn requests away."""

import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
import httpx
import pytest

from fleet import Fleet
from godwitmast.backends.client import EngineHeaderParser, parse_rest
from godwitmast.config.document import Document
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    FailureKind,
    NotRun,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.rest import Rest
from godwitmast.dispatch.router import Router
from godwitmast.dispatch.router_count import RouterCount
from godwitmast.types import BackendId, ClassName, RequestId, TeamName, ZoneName
from running import running

POOL = "app"
PLACES = 8
TICK_S = 0.05
SLOW_TICK_S = 0.25
REST_S = 3.0
FIRST, SECOND = BackendId("s1"), BackendId("s2")


@pytest.fixture
def document() -> Document:
    return parse_document(
        {
            "classes": {
                "urgent": {"tier": 1, "completion_s": 0.4},
                "usual": {"tier": 2, "completion_s": 1.0},
                "patient": {"tier": 3, "completion_s": 60.0},
            },
            "teams": {"arima": {}},
            "services": {POOL: {}},
        }
    )


def server(backend_id: BackendId, incarnation: int = 0) -> BackendSpec:
    pools = frozenset([POOL])
    return BackendSpec(
        backend_id, ZoneName("z1"), pools, places=PLACES, incarnation=incarnation
    )


@pytest.fixture
def router(document: Document) -> Router:
    router = Router(document, ZoneName("z1"), router_count=RouterCount(1))
    router.update_backends([server(FIRST), server(SECOND)], 0.0)
    return router


def request(
    number: int, now: float, class_name: str = "usual", wait_s: float = 2.0
) -> RequestSpec:
    return RequestSpec(
        RequestId(f"r{number}"),
        TeamName("arima"),
        ClassName(class_name),
        POOL,  # type: ignore[arg-type]
        now,
        deadline=now + wait_s,
        fingerprint=f"f{number}",
        streams=False,
        attempts=3,
    )


def starts(actions: list[Action]) -> list[BackendId]:
    return [action.backend_id for action in actions if isinstance(action, Start)]


def refusals(actions: list[Action]) -> list[Refuse]:
    return [action for action in actions if isinstance(action, Refuse)]


@pytest.mark.parametrize("class_name", ["urgent", "usual"])
def test_nothing_starts_on_a_resting_server(router: Router, class_name: str) -> None:
    """Guards against a way to a resting server: a tier, a probe, a retry, a full pool."""
    router.record_rest(FIRST, REST_S, 0.0, 0.0)
    chosen: list[BackendId] = []
    for step in range(1, int(REST_S / TICK_S)):
        now = step * TICK_S
        actions = router.tick(now)
        if step % 7 == 0:
            router.backends.record_connection_failure(SECOND, now)
        for number in range(step * 4, step * 4 + 4):
            actions += router.submit(request(number, now, class_name), now)
        for action in actions:
            if not isinstance(action, Start):
                continue
            chosen.append(action.backend_id)
            kind = random.Random(step).choice([FailureKind.REFUSED, FailureKind.ERROR])
            more = router.record_failure(
                action.request_id, action.attempt_id, kind, now
            )
            chosen += starts(more)
    assert chosen
    assert set(chosen) == {SECOND}


def test_server_gets_one_request_after_its_rest_until_that_is_answered(
    router: Router,
) -> None:
    """Guards against a queue that is sent to a server the moment its rest ends."""
    router.update_backends([server(FIRST)], 0.0)
    router.record_rest(FIRST, REST_S, 0.0, 0.0)
    for number in range(5):
        waiting = request(number, 2.0, "patient", wait_s=30.0)
        assert not starts(router.submit(waiting, 2.0))
    returned = REST_S + 1.0
    assert starts(router.tick(returned)) == [FIRST]
    assert not starts(router.tick(returned + 0.1))
    answered = router.record_rest(FIRST, None, returned, returned + 0.1)
    assert starts(answered) == [FIRST] * 4


def test_answer_to_an_earlier_request_does_not_end_the_return() -> None:
    """Guards against an answer that was under way as the rest was asked for."""
    rest = Rest()
    rest.record_statement(REST_S, 0.0, 10.0, random.Random(1))
    rest.record_start()
    rest.record_answer(sent_at=9.9)
    assert rest.is_returning
    assert not rest.may_send(14.0)
    rest.record_answer(sent_at=13.5)
    assert rest.may_send(14.0)


@pytest.mark.parametrize(("second_s", "until"), [(1.0, 13.0), (5.0, 16.0)])
def test_longest_rest_that_was_asked_for_holds(second_s: float, until: float) -> None:
    """Guards against a second statement that shortens the first."""
    rest = Rest()
    rng = random.Random(1)
    rest.record_statement(REST_S, 0.0, 10.0, rng)
    rest.record_statement(second_s, 0.0, 11.0, rng)
    assert not rest.may_send(until - 0.01)
    assert rest.may_send(until)


def test_server_that_started_again_does_not_rest(router: Router) -> None:
    router.update_backends([server(FIRST)], 0.0)
    router.record_rest(FIRST, 86_400.0, 0.0, 0.0)
    assert refusals(router.submit(request(1, 1.0), 1.0))
    router.update_backends([server(FIRST, incarnation=2)], 2.0)
    assert starts(router.submit(request(2, 2.0), 2.0)) == [FIRST]


def test_requests_that_cannot_wait_until_a_server_has_rested_are_refused_at_once(
    router: Router,
) -> None:
    """Guards against callers held until their deadline while all servers rest."""
    router.update_backends([server(FIRST)], 0.0)
    router.backends.record_connection_failure(FIRST, 0.0)
    for number, wait_s in ((1, 2.0), (2, 10.0)):
        waiting = request(number, 0.0, "patient", wait_s)
        assert not starts(router.submit(waiting, 0.0))
    router.backends.readmit_unreachable(POOL, 0.0)  # type: ignore[arg-type]
    actions = router.record_rest(FIRST, REST_S, 0.0, 0.1)
    [refusal] = refusals(actions)
    assert (refusal.request_id, refusal.not_run) == ("r1", NotRun.TRUE)
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s >= REST_S
    [late] = refusals(router.submit(request(3, 1.0, wait_s=1.0), 1.0))
    assert (late.not_run, late.retry_after_s is not None) == (NotRun.TRUE, True)
    assert starts(router.tick(5.0)) == [FIRST]


def test_requests_wait_for_an_ejected_server_while_the_others_rest(
    router: Router,
) -> None:
    """Guards against refusing what a server that is about to be probed would serve."""
    router.backends.record_connection_failure(SECOND, 0.0)
    router.record_rest(FIRST, REST_S, 0.0, 0.0)
    assert not router.submit(request(1, 0.1, "patient"), 0.1)
    assert starts(router.tick(1.0)) == [SECOND]


def test_request_turned_away_by_the_last_server_is_refused_with_its_rest(
    router: Router,
) -> None:
    router.update_backends([server(FIRST)], 0.0)
    [start] = router.submit(request(1, 0.0, wait_s=2.0), 0.0)
    assert isinstance(start, Start)
    router.record_rest(FIRST, REST_S, 0.0, 0.1)
    actions = router.record_failure(
        start.request_id, start.attempt_id, FailureKind.REFUSED, 0.1
    )
    [refusal] = refusals(actions)
    assert refusal.not_run is NotRun.TRUE
    assert (refusal.retry_after_s or 0.0) >= REST_S - 0.1


def test_endless_rest_tells_callers_a_bounded_time(router: Router) -> None:
    router.update_backends([server(FIRST)], 0.0)
    router.record_rest(FIRST, 1e300, 0.0, 0.0)
    [refusal] = refusals(router.submit(request(1, 1.0), 1.0))
    assert (refusal.retry_after_s or 0.0) <= 60.0


@pytest.mark.parametrize(
    ("status", "value", "rest_s"),
    [
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (503, "86400", 86_400.0),
        (503, None, None),
        (503, "0", None),
        (503, "-1", None),
        (503, "soon", None),
        (503, "nan", None),
        (503, "inf", None),
        (503, "Fri, 04 Dec 2026 00:00:00 GMT", None),
        (429, "3", None),
        (200, "3", None),
    ],
)
def test_rest_is_read_of_rejections_with_a_usable_time(
    status: int, value: str | None, rest_s: float | None
) -> None:
    headers = {} if value is None else {"Retry-After": value}
    assert parse_rest(httpx.Response(status, headers=headers)) == rest_s


def test_503_of_a_plain_service_itself_asks_for_no_rest() -> None:
    """Guards against a service that is closed as it has one caller wait."""
    headers = {"Retry-After": "3"}
    parser = EngineHeaderParser()
    assert parser.parse_statement(httpx.Response(503, headers=headers)).rest_s is None
    headers |= {"Engine-Not-Run": "true", "Engine-Leaving": "true"}
    statement = parser.parse_statement(httpx.Response(503, headers=headers))
    assert (statement.rest_s, statement.is_leaving) == (3.0, True)


@dataclass
class RestingServer:
    """A server that asks all routers at once for rest, and counts who returns when."""

    routers: int
    seed: int
    sent: list[list[float]] = field(default_factory=list)

    def simulate(self, document: Document) -> None:
        """Have each router offer a request with each tick, from the rest on."""
        for number in range(self.routers):
            count = RouterCount(self.routers)
            router = Router(document, ZoneName("z1"), self.seed + number, None, count)
            router.update_backends([server(FIRST)], 0.0)
            router.record_rest(FIRST, REST_S, 0.0, 0.0)
            times: list[float] = []
            for step in range(int((REST_S + 32.0) / SLOW_TICK_S)):
                now = step * SLOW_TICK_S
                actions = router.tick(now)
                actions += router.submit(request(step, now, wait_s=100.0), now)
                times += [now for _ in starts(actions)]
            self.sent.append(times)


@pytest.mark.parametrize("routers", [1, 8, 60, 300])
def test_routers_do_not_return_all_at_once_after_a_rest(
    document: Document, routers: int
) -> None:
    """Guards against a server that is overloaded again the moment its rest ends."""
    resting = RestingServer(routers, seed=1)
    resting.simulate(document)
    firsts = sorted(times[0] for times in resting.sent)
    assert firsts[0] >= REST_S
    most = max(sum(at <= first < at + 1.0 for first in firsts) for at in firsts)
    assert most <= max(3 * PLACES, 2 * routers / 30)
    assert firsts[-1] <= REST_S + 31.0
    assert all(len(times) == 1 for times in resting.sent)


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/pay/1", "/peek/1", "/chat/1"])
async def test_server_that_asked_for_rest_gets_no_request(
    fleet: Fleet, http: httpx.AsyncClient, path: str
) -> None:
    """Guards against waiting times of the router's own in place of the server's."""
    resting = (fleet.engines if path == "/chat/1" else fleet.plain)[0]
    resting.faults.sheds, resting.faults.retry_after = True, "30"
    while not resting.shed:
        await fleet.request(http, path, "POST")
    answers = [await fleet.request(http, path, "POST") for _ in range(20)]
    assert [answer.status_code for answer in answers] == [200] * 20
    assert resting.shed == 1


@pytest.mark.anyio
async def test_server_is_used_again_after_its_rest(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    resting = fleet.plain[0]
    resting.faults.sheds, resting.faults.retry_after = True, "0.5"
    while not resting.shed:
        await fleet.request(http, "/pay/1", "POST")
    resting.faults.sheds = False
    with anyio.fail_after(30):
        while len(resting.served) < 5:
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(fleet.request, http, "/pay/1", "POST")


@pytest.mark.anyio
async def test_callers_are_told_when_a_pool_that_rests_is_back(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against callers that come back too early, again and again."""
    for replica in fleet.plain:
        replica.faults.sheds, replica.faults.retry_after = True, "30"
    await fleet.request(http, "/peek/1")
    await fleet.wait_until(lambda: fleet.node.driver.count_resting() == 2)
    before = sum(replica.shed for replica in fleet.plain)
    answer = await fleet.request(http, "/peek/1")
    assert (answer.status_code, answer.headers["godwit-not-run"]) == (503, "true")
    assert float(answer.headers["retry-after"]) > 20
    assert sum(replica.shed for replica in fleet.plain) == before

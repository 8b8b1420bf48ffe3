"""Which requests are still sent to servers while a VM stops, in virtual time."""

from itertools import permutations

import pytest

from godwitmast.admission.deadlines import ServiceTimes
from godwitmast.admission.grace import (
    LONG_WORK_FACTOR,
    UNKNOWN_WORK_S,
    is_too_late,
    work_s,
)
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    FailureKind,
    NotRun,
    RefusalCode,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.router import STOPPING_RETRY_S, Router
from godwitmast.types import (
    BackendId,
    ClassName,
    PoolName,
    RequestId,
    TeamName,
    ZoneName,
)

DOCUMENT = parse_document(
    {
        "classes": {"calls": {"tier": 1, "completion_s": 9.0}},
        "teams": {"arima": {}},
        "services": {"app": {}},
    }
)
ENDS_AT = 20.0


@pytest.fixture
def router() -> Router:
    router = Router(DOCUMENT, ZoneName("a"))
    specs = [
        BackendSpec(BackendId(name), ZoneName("a"), frozenset(["app"]), places=1)
        for name in ("p1", "p2")
    ]
    router.update_backends(specs, 0.0)
    return router


def submit(router: Router, name: str, now: float, **changes: object) -> list[Action]:
    request = RequestSpec(
        RequestId(name),
        TeamName("arima"),
        ClassName("calls"),
        PoolName("app"),
        now,
        deadline=now + 9.0,
        streams=False,
    )
    return router.submit(request._replace(**changes), now)


def serve(router: Router, count: int, work_s: float) -> float:
    """Have the router see answers that took so long; return when they are over."""
    now = 0.0
    for number in range(count):
        [start] = submit(router, f"served{number}", now)
        assert isinstance(start, Start)
        now += work_s
        router.record_completion(start.request_id, start.attempt_id, now)
    return now


def refusal(actions: list[Action]) -> Refuse:
    [action] = actions
    assert isinstance(action, Refuse) and action.code is RefusalCode.STOPPING
    return action


def test_work_that_fits_is_started_and_longer_work_refused(router: Router) -> None:
    """Guards against calls that are sent late in the grace, and cut at its end."""
    serve(router, 10, 1.0)
    router.stop(ENDS_AT)
    [start] = submit(router, "early", ENDS_AT - 3.0)
    assert isinstance(start, Start)
    late = refusal(submit(router, "late", ENDS_AT - 1.0))
    assert (late.not_run, late.retry_after_s) == (NotRun.TRUE, STOPPING_RETRY_S)
    assert "late" not in router.active_requests.by_id


@pytest.mark.parametrize("seconds", permutations([2.5, 2.5001, 2.5002, 2.5003]))
def test_work_of_nearly_equal_length_that_fits_is_started(
    router: Router, seconds: tuple[float, ...]
) -> None:
    """Guards against refusals of calls for which there is time enough."""
    for answer_s in seconds:
        serve(router, 1, answer_s)
    router.stop(ENDS_AT)
    [start] = submit(router, "late", ENDS_AT - 2.5003 * LONG_WORK_FACTOR - 0.5)
    assert isinstance(start, Start)


def test_waiting_calls_are_refused_once_a_place_is_free_too_late(
    router: Router,
) -> None:
    serve(router, 10, 1.0)
    router.stop(ENDS_AT)
    starts = [submit(router, name, ENDS_AT - 2.5)[0] for name in ("a", "b")]
    assert submit(router, "waits", ENDS_AT - 2.4) == []
    [first, _] = starts
    assert isinstance(first, Start)
    actions = router.record_completion(
        first.request_id, first.attempt_id, ENDS_AT - 1.0
    )
    assert refusal(actions).not_run is NotRun.TRUE


def test_retry_that_comes_too_late_makes_no_promise(router: Router) -> None:
    """Guards against a second run at the end of the grace, and a false "not run"."""
    serve(router, 10, 1.0)
    router.stop(ENDS_AT)
    [start] = submit(router, "fails", ENDS_AT - 3.0)
    assert isinstance(start, Start)
    ids = (start.request_id, start.attempt_id)
    actions = router.record_failure(*ids, FailureKind.ERROR, ENDS_AT - 0.6)
    actions += router.tick(ENDS_AT - 0.2)
    assert refusal(actions).not_run is NotRun.UNKNOWN


def test_unknown_work_is_assumed_to_be_long_but_no_longer_than_its_caller_waits() -> (
    None
):
    times = ServiceTimes()
    assert work_s(times, None, 0.0) == UNKNOWN_WORK_S
    assert work_s(times, 0.5, 0.0) == 0.5
    assert is_too_late(times, None, UNKNOWN_WORK_S, 0.0)
    assert not is_too_late(times, 0.5, UNKNOWN_WORK_S, 0.0)


def test_tail_of_the_work_decides_not_its_mean() -> None:
    """Guards against cutting the one call of ten that takes a second."""
    times = ServiceTimes()
    for number in range(200):
        times.record_answer(1.0 if number % 10 == 0 else 0.05, None, 0)
    assert times.hold.value is not None and times.hold.value < 0.3
    assert work_s(times, None, 0.0) > 0.5

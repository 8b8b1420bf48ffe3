"""The bound on the servers that may run one request, however its attempts end."""

import pytest

from godwitmast.config.document import Document, Model, RequestClass, Team
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    FailureKind,
    RefusalCode,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.router import Router
from godwitmast.types import (
    BackendId,
    ClassName,
    PoolName,
    RequestId,
    TeamName,
    ZoneName,
)

CLASSES = {
    "chat": RequestClass(1, first_token_s=0.5, patience_s=2.4),
    "draft": RequestClass(2, completion_s=60.0),
}
DOCUMENT = Document(CLASSES, {"t": Team()}, models={"lm": Model()})


@pytest.fixture
def router() -> Router:
    """A router with four servers."""
    router = Router(DOCUMENT, ZoneName("a"))
    servers = [
        BackendSpec(BackendId(f"s{n}"), ZoneName("a"), frozenset(["lm"]), places=8)
        for n in range(4)
    ]
    router.update_backends(servers, 0.0)
    return router


def request(
    name: str, class_name: str = "chat", at: float = 0.0, attempts: int | None = None
) -> RequestSpec:
    return RequestSpec(
        RequestId(name),
        TeamName("t"),
        ClassName(class_name),
        PoolName("lm"),
        at,
        attempts=attempts,
    )


def started(router: Router, spec: RequestSpec) -> Start:
    [start] = router.submit(spec, spec.arrived)
    assert isinstance(start, Start)
    return start


def submit(router: Router, attempts: int | None) -> Start:
    return started(router, request("r", attempts=attempts))


def next_start(router: Router, now: float) -> Start | Refuse:
    """Tick until the request is started again, or refused."""
    while True:
        now += 0.05
        actions = router.tick(now)
        for action in actions:
            if isinstance(action, Start | Refuse):
                return action


def test_moves_count_as_runs_like_failures_do(router: Router) -> None:
    """A stream breaks, and the server that continued it is then found slow.

    Its route allows two servers. When only failures were counted, the move to a third
    one was allowed, and a fourth and fifth followed.
    """
    first = submit(router, attempts=2)
    router.record_failure(first.request_id, first.attempt_id, FailureKind.CUT, 0.1)
    second = next_start(router, 0.1)
    assert isinstance(second, Start) and second.backend_id != first.backend_id
    assert not router.move_streams_off(second.backend_id, CancelReason.SLOW, 1.0)
    [refusal] = router.record_failure("r", second.attempt_id, FailureKind.CUT, 1.2)
    assert isinstance(refusal, Refuse)
    assert refusal.code is RefusalCode.BACKEND_FAILED


def test_attempt_that_did_not_run_does_not_count(router: Router) -> None:
    start = submit(router, attempts=1)
    for now in (0.1, 0.3):
        router.record_failure("r", start.attempt_id, FailureKind.REFUSED, now)
        again = next_start(router, now)
        assert isinstance(again, Start)
        start = again
    [refusal] = router.record_failure("r", start.attempt_id, FailureKind.CUT, 0.6)
    assert isinstance(refusal, Refuse)


def test_first_token_is_awaited_for_half_of_the_callers_patience(
    router: Router,
) -> None:
    """First tokens are late on all servers of a busy pool, and nothing hangs.

    With a time-out of half a second every such prompt was moved and prefilled again,
    which increased the load of the pool.
    """
    for number in range(20):
        for start in router.submit(request(f"w{number}"), 0.0):
            assert isinstance(start, Start)
            router.record_tokens(start.request_id, start.attempt_id, 1, 0.05)
            router.record_completion(start.request_id, start.attempt_id, 0.06)
    start = submit(router, attempts=2)
    for tenth in range(1, 12):
        assert not router.tick(tenth / 10)
    moved = [a for tenth in range(12, 16) for a in router.tick(tenth / 10)]
    assert any(getattr(a, "reason", None) is CancelReason.SLOW for a in moved)
    assert start.backend_id not in [a.backend_id for a in moved if isinstance(a, Start)]


def occupy(router: Router, attempts: int | None) -> Start:
    """Fill the one place of the one server with a draft that has begun to answer."""
    server = BackendSpec(BackendId("s0"), ZoneName("a"), frozenset(["lm"]), places=1)
    router.update_backends([server], 0.0)
    start = started(router, request("d", "draft", attempts=attempts))
    router.record_tokens(start.request_id, start.attempt_id, 1, 0.1)
    return start


def preempted_by_chats(router: Router) -> list[Cancel]:
    """Let chats wait for a place until they are refused; return the cancelled
    attempts."""
    actions: list[Action] = []
    for number in range(3):
        actions += router.submit(request(f"c{number}", at=0.2), 0.2)
    for tick in range(5, 20):
        actions += router.tick(tick / 20)
    return [item for item in actions if isinstance(item, Cancel)]


def test_request_on_its_last_allowed_server_is_not_preempted(
    router: Router,
) -> None:
    """A burst of chats arrives while a draft runs on its last allowed server.

    It was preempted for a chat and queued again, and a further server ran it: more than
    its route allows. Its caller may pay for each of them.
    """
    occupy(router, attempts=1)
    assert not preempted_by_chats(router)


def test_request_that_may_run_again_is_preempted(router: Router) -> None:
    occupy(router, attempts=2)
    [cancel] = preempted_by_chats(router)
    assert cancel.reason is CancelReason.PREEMPTED

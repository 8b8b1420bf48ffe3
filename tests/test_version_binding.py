"""The router's ways of going on with a stream, with servers of several software versions."""

import pytest

from godwitmast.config.document import Document
from godwitmast.config.parsing import parse_document
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
from godwitmast.types import BackendId, RequestId, ZoneName

POOL = "lm"
VERSIONS = {"a1": "v1", "a2": "v1", "b1": "v2", "b2": "v2", "b3": "v2", "b4": "v2"}


@pytest.fixture
def document() -> Document:
    return parse_document(
        {
            "classes": {
                "question": {"tier": 1, "first_token_s": 0.5},
                "draft": {"tier": 2, "first_token_s": 2.0},
            },
            "teams": {"arima": {}},
            "models": {POOL: {}},
        }
    )


def server(name: str, **changes: object) -> BackendSpec:
    spec = BackendSpec(
        BackendId(name), ZoneName("a"), frozenset([POOL]), version=VERSIONS[name]
    )
    return spec._replace(**changes)  # type: ignore[arg-type]


@pytest.fixture
def router(document: Document) -> Router:
    router = Router(document, ZoneName("a"), seed=5)
    router.update_backends([server(name) for name in VERSIONS], 0.0)
    return router


def request(number: int, **changes: object) -> RequestSpec:
    spec = RequestSpec(
        RequestId(f"r{number}"),
        "arima",  # type: ignore[arg-type]
        "draft",  # type: ignore[arg-type]
        POOL,  # type: ignore[arg-type]
        0.0,
        deadline=60.0,
        fingerprint=f"f{number}",
    )
    return spec._replace(**changes)  # type: ignore[arg-type]


def begin(router: Router, version: str, at: float = 0.1) -> Start:
    """Begin streams until one runs on a server of the version; return its start."""
    for number in range(100):
        [start] = router.submit(request(number), 0.0)
        assert isinstance(start, Start)
        if VERSIONS[start.backend_id] == version:
            router.record_tokens(start.request_id, start.attempt_id, 1, at)
            return start
        reason = CancelReason.CALLER_GONE
        router.cancel_request(start.request_id, reason, 0.0)
    raise AssertionError("no server of the version was chosen")


def next_action(router: Router, request_id: RequestId, now: float) -> Action:
    """Tick until the request starts again or is refused."""
    while now < 50.0:
        now += 0.05
        for action in router.tick(now):
            is_own = action.request_id == request_id
            if is_own and isinstance(action, Start | Refuse):
                return action
    raise AssertionError("neither started nor refused")


@pytest.mark.parametrize("kind", list(FailureKind))
@pytest.mark.parametrize("version", ["v1", "v2"])
def test_failed_attempt_is_followed_by_one_at_the_same_version(
    router: Router, kind: FailureKind, version: str
) -> None:
    """Guards against a retry that writes the rest of a stream in another version."""
    start = begin(router, version)
    router.record_failure(start.request_id, start.attempt_id, kind, 0.2)
    again = next_action(router, start.request_id, 0.2)
    assert isinstance(again, Start)
    assert VERSIONS[again.backend_id] == version
    assert again.resume_from == 1


def test_slow_server_loses_its_streams_to_its_own_version(router: Router) -> None:
    """Guards against streams of a straggler that go on at another version."""
    start = begin(router, "v1")
    active = router.active_requests.by_id[start.request_id]
    cancel = router.move_attempt(active, CancelReason.SLOW, 5.0)
    assert isinstance(cancel, Cancel)
    again = next_action(router, start.request_id, 5.0)
    assert isinstance(again, Start)
    assert VERSIONS[again.backend_id] == "v1"
    assert again.backend_id != start.backend_id


def test_stream_is_not_moved_off_the_last_server_of_its_version(router: Router) -> None:
    """Guards against a stream that is cut as nobody else can go on with it."""
    start = begin(router, "v1")
    left = [name for name in VERSIONS if name not in ("a1", "a2")]
    own = [str(start.backend_id)]
    listed = [server(name) for name in left + own]
    router.update_backends(listed, 0.2)
    assert router.move_streams_off(start.backend_id, CancelReason.SLOW, 0.3) == []
    evicted = [spec._replace(leaving=True, removal_at=3.0) for spec in listed[-1:]]
    router.update_backends([*listed[:-1], *evicted], 0.4)
    for step in range(40):
        actions = router.tick(0.5 + step * 0.05)
        assert not any(isinstance(action, Cancel) for action in actions)


def test_stream_is_refused_at_once_when_the_last_server_of_its_version_fails(
    router: Router,
) -> None:
    """Guards against callers that wait for a version of which no server is left."""
    start = begin(router, "v1")
    others = [server(name) for name, version in VERSIONS.items() if version == "v2"]
    router.update_backends(others, 0.2)
    cut = FailureKind.CUT
    actions = router.record_failure(start.request_id, start.attempt_id, cut, 0.3)
    assert [a.code for a in actions if isinstance(a, Refuse)] == [
        RefusalCode.BACKEND_FAILED
    ]


def test_server_that_started_again_leaves_the_version_of_its_stream_unknown(
    router: Router,
) -> None:
    """Guards against a stream that began under the successor at the same id."""
    [start] = router.submit(request(1), 0.0)
    assert isinstance(start, Start)
    name = str(start.backend_id)
    rest = [server(other) for other in VERSIONS if other != name]
    router.update_backends([*rest, server(name, incarnation=9, version="v3")], 0.1)
    router.record_tokens(start.request_id, start.attempt_id, 1, 0.2)
    cut = FailureKind.CUT
    actions = router.record_failure(start.request_id, start.attempt_id, cut, 0.3)
    assert any(isinstance(action, Refuse) for action in actions)


@pytest.mark.parametrize("stated", ["", "v1"])
def test_streams_go_on_anywhere_where_all_servers_have_one_version(
    document: Document, stated: str
) -> None:
    """Guards against refusals where no server states a version, or all the same."""
    router = Router(document, ZoneName("a"), seed=5)
    specs = [server(name, version=stated) for name in VERSIONS]
    router.update_backends(specs, 0.0)
    seen = set()
    for number in range(12):
        [start] = router.submit(request(number), 0.0)
        assert isinstance(start, Start)
        router.record_tokens(start.request_id, start.attempt_id, 1, 0.1)
        cut = FailureKind.CUT
        router.record_failure(start.request_id, start.attempt_id, cut, 0.2)
        again = next_action(router, start.request_id, 0.2)
        assert isinstance(again, Start)
        seen.add(again.backend_id)
        router.cancel_request(again.request_id, CancelReason.CALLER_GONE, 0.3)
        router.update_backends([], 0.4)
        router.update_backends(specs, 0.5)
    assert len(seen) > 1


def test_request_bound_to_a_version_without_servers_is_refused_as_not_run(
    router: Router,
) -> None:
    """Guards against a caller's own resumption that waits for servers that left."""
    [refusal] = router.submit(request(1, version="v0"), 0.0)
    assert isinstance(refusal, Refuse)
    assert refusal.not_run.value == "true"
    assert refusal.retry_after_s


@pytest.mark.parametrize("stated", ["", "v1"])
def test_cut_stream_waits_while_no_server_of_its_pool_is_listed(
    document: Document, stated: str
) -> None:
    """Guards against streams that are given up as a list is empty for a moment."""
    router = Router(document, ZoneName("a"), seed=5)
    specs = [server(name, version=stated) for name in VERSIONS]
    router.update_backends(specs, 0.0)
    [start] = router.submit(request(1), 0.0)
    assert isinstance(start, Start)
    router.record_tokens(start.request_id, start.attempt_id, 1, 0.1)
    router.update_backends([], 0.2)
    cut = FailureKind.CUT
    assert router.record_failure(start.request_id, start.attempt_id, cut, 0.3) == []
    for step in range(20):
        assert router.tick(0.35 + step * 0.05) == []
    actions = router.update_backends(specs, 1.5)
    again = next((a for a in actions if isinstance(a, Start)), None)
    assert again or isinstance(next_action(router, start.request_id, 1.5), Start)

"""The order of requests in engines and queues according to the operators'
configuration."""

from itertools import count

import pytest
from msgspec import json

from fleet import HOST, config_of, route
from godwitmast.admission.controller import Admission
from godwitmast.dispatch.messages import BackendSpec, Refuse, RequestSpec, Start
from godwitmast.dispatch.router import Router
from godwitmast.entry.frontend import Incoming, Prepared
from godwitmast.entry.request_parsing import RequestHead
from godwitmast.keys.authorizer import Caller
from godwitmast.platform.catalog import Ranks, engine_priority, read_config
from godwitmast.platform.frontend import RouteFrontend
from godwitmast.platform.wire import REQUEST_PRIORITY
from godwitmast.standins.engine_model import EngineModel, EngineSpeed, Sequence
from godwitmast.types import BackendId, ZoneName

CHAT, DRAFT, DIGEST = 0, 1, 2
"""Three kinds of request by their route's priority."""

TOKENS = {CHAT: (1_460, 80), DRAFT: (9_190, 30), DIGEST: (17_020, 60)}
"""Prompt and answer tokens of each kind."""

TEAMS = {"gold": 0, "many": 1}


def frontend_for(**teams: int) -> RouteFrontend:
    """Return a frontend with three streaming routes and teams with these priorities."""
    routes = [
        route(f"r{kind}", f"/{kind}/", "streaming", "lm", priority=kind, resumable=True)
        for kind in TOKENS
    ]
    tenants = [
        {"name": name, "apiKeys": [f"key-of-{name}"], "priority": priority}
        for name, priority in teams.items()
    ]
    frontend = RouteFrontend()
    config = config_of(1, routes=routes, tenants=tenants)
    frontend.apply_catalog(read_config(json.encode(config)))
    return frontend


def prepare(frontend: RouteFrontend, kind: int, team: str) -> Prepared:
    """Return a request of a kind as the frontend prepares it."""
    key = f"key-of-{team}"
    path = f"/{kind}/x"
    head = RequestHead("POST", path, path, "", [], key, None, 60.0, None, "a", HOST)
    caller = frontend.authenticate(head, 0.0)
    assert isinstance(caller, Caller)
    prepared = frontend.prepare(Incoming(head, caller, b"", 0.0))
    assert isinstance(prepared, Prepared)
    return prepared


def priority_sent(frontend: RouteFrontend, kind: int, team: str) -> int:
    """Return the priority that is sent to an engine with a request."""
    headers = dict(prepare(frontend, kind, team).outbound.headers)  # type: ignore[attr-defined]
    return int(headers[REQUEST_PRIORITY])


def test_engine_preempts_no_request_while_it_runs_a_less_urgent_kind() -> None:
    """Guards against summaries of one team that keep running while questions of all
    others are preempted."""
    frontend = frontend_for(**TEAMS)
    engine = EngineModel(EngineSpeed(max_batch=16, preempts=True))
    kinds: dict[str, int] = {}
    numbers = count(1)

    def submit(kind: int, team: str) -> None:
        name = f"{team}-{next(numbers)}"
        kinds[name] = kind
        priority = priority_sent(frontend, kind, team)
        engine.submit(Sequence(name, *TOKENS[kind], priority=priority))

    for step in range(600):
        if step % 12 == 0:
            submit(CHAT, "many")
        if step % 40 == 0:
            submit(DRAFT, "many")
        if step % 60 == 0:
            submit(DIGEST, "many")
        if step % 25 == 0:
            submit(DIGEST, "gold")
        if step % 18 == 0:
            submit(CHAT, "gold")
        engine.step()
    assert len(engine.preempted) >= 10, "the load must overfill the engine"
    spared = [
        victim.sequence_id
        for victim in engine.preempted
        if any(kinds[other] > kinds[victim.sequence_id] for other in victim.others)
    ]
    assert not spared


@pytest.mark.parametrize(
    "changed",
    [{"many": 1}, {"gold": 0, "many": 2}, {"gold": 3, "many": 7}, {"many": 0}],
)
def test_change_of_teams_keeps_the_order_of_kinds_in_engines(
    changed: dict[str, int],
) -> None:
    """Guards against VMs on two configurations that order an engine's requests
    differently."""
    before, after = frontend_for(**TEAMS), frontend_for(**changed)
    for kind in (CHAT, DRAFT):
        held = priority_sent(before, kind + 1, "many")
        assert priority_sent(after, kind, "many") < held
        held = priority_sent(after, kind + 1, "many")
        assert priority_sent(before, kind, "many") < held


def test_non_streaming_request_is_sent_with_its_priority() -> None:
    """Guards against requests that an engine runs at its default priority."""
    routes = [route("r", "/0/", "idempotent", "lm", priority=0)]
    tenants = [{"name": "many", "apiKeys": ["key-of-many"], "priority": 1}]
    frontend = RouteFrontend()
    config = config_of(1, routes=routes, tenants=tenants)
    frontend.apply_catalog(read_config(json.encode(config)))
    assert priority_sent(frontend, CHAT, "many") == 0


def test_engine_priority_is_clamped_to_its_range() -> None:
    assert [engine_priority(p) for p in (-1, 0, 5, 9, 10, 99)] == [0, 0, 5, 9, 9, 9]


def find_preempted(
    frontend: RouteFrontend, running: list[str], waiting: str
) -> RequestSpec | None:
    """Return which of the running requests is preempted for a waiting one, if any is.

    Each is named by its team and kind, such as "many-1".
    """
    admission = Admission(frontend.document)
    for name in [*running, waiting]:
        team, _, kind = name.partition("-")
        request = prepare(frontend, int(kind), team).spec
        assert admission.offer(request, 0.0) == []
        if name is not waiting:
            assert admission.pop_next(request.pool, 0.0) == request
            admission.record_tokens(request, 1, 0.0)
    for tick in range(100):
        preemption = admission.preempt(request.pool, tick * 0.05)
        if preemption is not None:
            return preemption.victim
    return None


@pytest.mark.parametrize(
    ("running", "waiting", "victim"),
    [
        (["many-1"], "gold-2", None),
        (["many-0", "many-1"], "gold-2", None),
        (["many-1", "many-2"], "gold-2", "many-2"),
        (["many-1"], "gold-1", "many-1"),
        (["many-1", "gold-2"], "gold-0", "many-1"),
        (["many-2"], "many-1", "many-2"),
        (["gold-2"], "many-0", None),
    ],
)
def test_request_is_preempted_for_no_less_urgent_kind(
    running: list[str], waiting: str, victim: str | None
) -> None:
    """Guards against drafts that are preempted for the summaries of another team."""
    frontend = frontend_for(**TEAMS)
    found = find_preempted(frontend, running, waiting)
    if victim is None:
        assert found is None
    else:
        assert found is not None
        team, _, kind = victim.partition("-")
        assert found.fingerprint == prepare(frontend, int(kind), team).spec.fingerprint


@pytest.mark.parametrize("team", ["gold", "many"])
@pytest.mark.parametrize(
    ("kind", "excess_waits", "goes"),
    [
        (CHAT, True, True),
        (CHAT, False, True),
        (DRAFT, True, True),
        (DRAFT, False, False),
        (DIGEST, True, False),
        (DIGEST, False, False),
    ],
)
def test_all_but_the_last_kind_of_every_team_may_be_sent_to_a_full_engine(
    kind: int, team: str, excess_waits: bool, goes: bool
) -> None:
    """Guards against requests that are refused while other VMs' summaries occupy
    engines."""
    frontend = frontend_for(**TEAMS)
    admission = Admission(frontend.document)
    request = prepare(frontend, kind, team).spec
    assert admission.offer(request, 0.0) == []
    found = [
        admission.preempt(request.pool, tick * 0.05, True, excess_waits)
        for tick in range(100)
    ]
    alone = [preemption for preemption in found if preemption is not None]
    assert [preemption.request for preemption in alone] == [request] * goes


def test_draft_is_sent_to_a_full_engine_only_when_it_would_be_refused() -> None:
    """Guards against engines overfilled by requests that could still wait."""
    frontend = frontend_for(**TEAMS)
    admission = Admission(frontend.document)
    request = prepare(frontend, DRAFT, "many").spec
    assert admission.offer(request, 0.0) == []
    urgent_at = admission.jobs[request.request_id].urgent_at
    assert urgent_at > 0.1
    assert admission.preempt(request.pool, urgent_at - 0.01, True, True) is None
    assert admission.preempt(request.pool, urgent_at, True, True) is not None


def test_draft_preempts_a_summary_of_its_own_vm_before_it_overfills_an_engine() -> None:
    """Guards against preemption inside engines when this VM could have freed a place
    itself."""
    frontend = frontend_for(**TEAMS)
    admission = Admission(frontend.document)
    running = prepare(frontend, DIGEST, "many").spec
    assert admission.offer(running, 0.0) == []
    assert admission.pop_next(running.pool, 0.0) == running
    admission.record_tokens(running, 1, 0.0)
    waiting = prepare(frontend, DRAFT, "many").spec
    assert admission.offer(waiting, 0.0) == []
    urgent_at = admission.jobs[waiting.request_id].urgent_at
    preemption = admission.preempt(waiting.pool, urgent_at, True, True)
    assert preemption is not None
    assert preemption == (running, waiting)


def test_kinds_stay_apart_in_queues_however_many_priorities_there_are() -> None:
    """Guards against classes of different urgency that share one queue."""
    ranks = Ranks(set(range(3)), set(range(7)))
    pairs = [(team, kind) for team in range(7) for kind in range(3)]
    order = [ranks.of(kind, team) for team, kind in pairs]
    assert order == sorted(order)
    assert len(set(order)) == len(pairs)


@pytest.mark.parametrize(
    ("kind", "sent"), [(CHAT, True), (DRAFT, True), (DIGEST, False)]
)
def test_request_reaches_a_full_engine_before_the_router_refuses_it(
    kind: int, sent: bool
) -> None:
    """Guards against drafts refused by VMs that run nothing that they could preempt."""
    frontend = frontend_for(**TEAMS)
    router = Router(frontend.document, ZoneName("a"), seed=1)
    pools = frozenset(["lm"])
    engines = [
        BackendSpec(BackendId(f"engine-{n}"), ZoneName("a"), pools, places=1)
        for n in range(2)
    ]
    router.update_backends(engines, 0.0)
    for _ in engines:
        running = prepare(frontend, CHAT, "many").spec
        router.submit(running, 0.0)
        assert router.active_requests.by_id[running.request_id].backend_id is not None
    waiting = prepare(frontend, kind, "many").spec
    assert router.submit(waiting, 0.1) == []
    actions = [action for tick in range(2, 400) for action in router.tick(tick * 0.05)]
    mine = [
        type(action) for action in actions if action.request_id == waiting.request_id
    ]
    assert mine[0] is (Start if sent else Refuse)

"""Servers whose entry leaves the list and comes back while requests run there."""

import random

import pytest

from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.backends import RETAINED_S
from godwitmast.dispatch.health import ERRORS_TO_EJECT, Condition
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    FailureKind,
    LoadReport,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.placement import PromptPart
from godwitmast.dispatch.router import Router
from godwitmast.outliers.log import Start as OutlierStart
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
        "classes": {"calls": {"tier": 1, "completion_s": 60.0}},
        "teams": {"arima": {}},
        "services": {"app": {}},
        "models": {"lm": {}},
    }
)
P1 = BackendSpec(BackendId("p1"), ZoneName("a"), frozenset(["app"]), places=8)
E1 = BackendSpec(BackendId("e1"), ZoneName("a"), frozenset(["lm"]), places=8)
PROMPT = (PromptPart("shared", 200), PromptPart("own", 100))
SERVERS_OF_APP = [P1, P1._replace(backend_id=BackendId("p2"))]
SEEDS = range(60)
EVENTS = 200


class OneVm:
    """A router and the attempts that run on its servers."""

    def __init__(self, specs: list[BackendSpec]) -> None:
        self.router = Router(DOCUMENT, ZoneName("a"))
        self.running: dict[RequestId, Start] = {}
        self.count = 0
        self.act(self.router.update_backends(specs, 0.0))

    def act(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Start():
                    self.running[action.request_id] = action
                case Refuse():
                    self.running.pop(action.request_id, None)

    def submit(self, now: float, parts: tuple[PromptPart, ...] = ()) -> None:
        """Submit a request to a plain service, or to an engine if it has a prompt."""
        self.count += 1
        request = RequestSpec(
            RequestId(f"r{self.count}"),
            TeamName("arima"),
            ClassName("calls"),
            PoolName("lm" if parts else "app"),
            now,
            prompt_tokens=sum(part.tokens for part in parts),
            parts=parts,
            deadline=now + 30.0,
            idempotent=False,
            streams=False,
        )
        self.act(self.router.submit(request, now))

    def complete(self, request_id: RequestId, now: float) -> None:
        start = self.running.pop(request_id)
        self.act(self.router.record_completion(request_id, start.attempt_id, now))

    def fail(self, request_id: str, now: float) -> None:
        """Break off an attempt's connection."""
        start = self.running.pop(RequestId(request_id))
        ids = (start.request_id, start.attempt_id)
        self.act(self.router.record_failure(*ids, FailureKind.CUT, now))

    def in_flight(self, backend_id: str) -> int:
        return self.router.backends.states[BackendId(backend_id)].in_flight

    def check_counts(self) -> None:
        """Compare each count of requests with the requests that are counted."""
        table = self.router.backends
        for backend_id, state in {**table.states, **table.unlisted}.items():
            starts = [s for s in self.running.values() if s.backend_id == backend_id]
            assert state.in_flight == len(starts)
            assert state.cells or backend_id in table.unlisted or state.spec.closed
        for view in table.pools.values():
            for cell in view.cells.values():
                counts = [state.in_flight for state in cell.members.values()]
                assert cell.in_flight == sum(counts)


@pytest.mark.parametrize("incarnation", [0, 1])
def test_requests_of_before_an_entry_expired_end_on_the_same_server(
    incarnation: int,
) -> None:
    """Guards against counts below zero after an entry that expired came back: a load
    report of an idle server then divides by zero, in place of each answer."""
    vm = OneVm([P1])
    for _ in range(3):
        vm.submit(0.0)
    vm.act(vm.router.update_backends([], 1.0))
    vm.act(vm.router.update_backends([P1._replace(incarnation=incarnation)], 2.0))
    assert vm.in_flight("p1") == 3
    for request_id in list(vm.running):
        vm.complete(request_id, 3.0)
    assert vm.in_flight("p1") == 0
    vm.submit(4.0)
    vm.act(vm.router.record_load(P1.backend_id, LoadReport(0, 0), 4.1))
    vm.complete(RequestId("r4"), 4.1)
    assert vm.in_flight("p1") == 0
    vm.check_counts()


def test_server_that_left_for_good_is_forgotten() -> None:
    """Guards against a table that grows with each server that is replaced."""
    vm = OneVm([P1])
    vm.submit(0.0)
    vm.submit(0.0)
    vm.act(vm.router.update_backends([], 1.0))
    vm.complete(RequestId("r1"), 2.0)
    vm.act(vm.router.tick(1.0 + RETAINED_S))
    assert list(vm.router.backends.unlisted) == ["p1"]
    vm.complete(RequestId("r2"), 1.0 + RETAINED_S)
    vm.act(vm.router.tick(1.0 + RETAINED_S))
    assert vm.router.backends.unlisted == {}


@pytest.mark.parametrize("away_s", [0.6, 20.0])
def test_server_that_failed_is_still_ejected_when_its_entry_returns(
    away_s: float,
) -> None:
    """Guards against a failing server that gets its share of payments anew each time its
    entry expires and comes back."""
    vm = OneVm(SERVERS_OF_APP)
    table = vm.router.backends
    for _ in range(ERRORS_TO_EJECT):
        table.record_error(BackendId("p1"), 0.0)
    vm.act(vm.router.update_backends(SERVERS_OF_APP[1:], 1.0))
    now = 1.0 + away_s
    vm.act(vm.router.update_backends(SERVERS_OF_APP, now))
    state = table.states[BackendId("p1")]
    assert state.health.condition is Condition.DOWN
    assert state in table.ejected
    again = [P1._replace(incarnation=1), *SERVERS_OF_APP[1:]]
    vm.act(vm.router.update_backends(again, now + 1.0))
    assert table.states[BackendId("p1")].health.is_in_rotation()


def test_server_that_could_not_be_reached_is_tried_when_its_entry_returns() -> None:
    """Guards against servers that stay ejected after a partition, although their entry
    tells that they run."""
    vm = OneVm(SERVERS_OF_APP)
    table = vm.router.backends
    table.record_unreachable(BackendId("p1"), 0.0)
    assert not table.states[BackendId("p1")].health.is_in_rotation()
    vm.act(vm.router.update_backends(SERVERS_OF_APP[1:], 1.0))
    vm.act(vm.router.update_backends(SERVERS_OF_APP, 2.0))
    assert table.states[BackendId("p1")].health.is_in_rotation()
    assert not table.ejected


def test_server_that_several_vms_ejected_is_out_when_its_entry_returns() -> None:
    """Guards against a server that fails on several VMs, and that each of them tries
    again as soon as its entry returns."""
    vm = OneVm(SERVERS_OF_APP)
    table, shared = vm.router.backends, vm.router.shared_health
    shared.set_use("on")
    server = OutlierStart(BackendId("p1"), 0)
    shared.eject(table.states[server.backend_id], server, 0.0)
    vm.act(vm.router.update_backends(SERVERS_OF_APP[1:], 0.1))
    shared.review(0.2)
    vm.act(vm.router.update_backends(SERVERS_OF_APP, 0.3))
    shared.review(0.4)
    assert server in shared.outliers.out
    assert not table.states[server.backend_id].health.is_in_rotation()
    vm.act(vm.router.update_backends([], 1.0))
    vm.act(vm.router.tick(1.0 + RETAINED_S))
    shared.review(2.0 + RETAINED_S)
    assert not shared.outliers.out


def test_rest_and_limits_hold_when_the_entry_of_a_server_returns() -> None:
    """Guards against requests to an overloaded server that asked for rest, or stated a
    rate, before its entry expired and came back."""
    vm = OneVm(SERVERS_OF_APP)
    table = vm.router.backends
    table.record_rest(BackendId("p1"), 10.0, 0.0, 0.0)
    table.record_rate_limit(BackendId("p1"), 0.5, 0.0, 0.0)
    vm.act(vm.router.update_backends(SERVERS_OF_APP[1:], 1.0))
    vm.act(vm.router.update_backends(SERVERS_OF_APP, 2.0))
    state = table.states[BackendId("p1")]
    assert state.rest.left_s(2.0) >= 8.0
    assert table.resting_servers == table.limited_servers == {"p1": state}


def test_ejected_server_that_left_is_not_probed_any_more() -> None:
    """Guards against ejected servers that are kept although they left the list."""
    vm = OneVm([P1, P1._replace(backend_id=BackendId("p2"))])
    vm.submit(0.0)
    [request_id] = vm.running
    vm.fail(request_id, 0.5)
    table = vm.router.backends
    [ejected] = table.ejected
    assert ejected.health.condition is Condition.DOWN
    vm.act(vm.router.update_backends([], 1.0))
    assert table.ejected == []


def test_ejected_server_that_returns_is_probed() -> None:
    """Guards against an ejected server that came back and is never tried again."""
    vm = OneVm([P1])
    vm.submit(0.0)
    vm.submit(0.0)
    vm.fail("r1", 0.5)
    vm.act(vm.router.update_backends([], 1.0))
    vm.act(vm.router.update_backends([P1], 2.0))
    vm.fail("r2", 2.5)
    [state] = vm.router.backends.ejected
    assert state.health.condition is Condition.DOWN
    vm.submit(3.0)
    for tick in range(200):
        vm.act(vm.router.tick(3.0 + 0.1 * tick))
    assert "r3" in vm.running


def test_what_is_known_of_a_pool_holds_when_all_its_entries_return() -> None:
    """Guards against prompts that are placed as if nothing had been sent before, and long
    ones beside short ones, after all entries of a pool expired in an outage."""
    vm = OneVm([E1])
    table = vm.router.backends
    vm.submit(0.0, PROMPT)
    view = table.pools["lm"]
    placement, pace = view.placement, view.pace
    assert placement.pending_tokens == {"e1": 300.0}
    vm.act(vm.router.update_backends([], 1.0))
    vm.complete(RequestId("r1"), 1.5)
    assert placement.pending_tokens == {}
    vm.act(vm.router.update_backends([E1], 2.0))
    view = table.pools["lm"]
    assert view.placement is placement and view.pace is pace
    assert view.placement.holds_part(E1.backend_id, PROMPT[0], 2.0)
    assert view.server_count == 1 and not table.unlisted_pools
    vm.act(vm.router.update_backends([], 3.0))
    vm.act(vm.router.tick(3.0 + RETAINED_S))
    assert not table.unlisted_pools


@pytest.mark.parametrize("seed", SEEDS)
def test_counts_hold_whatever_entries_come_and_go(seed: int) -> None:
    """Guards against counts about an entry that outlive it, in drawn sequences."""
    rng = random.Random(seed)
    specs = [P1._replace(backend_id=BackendId(f"p{n}")) for n in range(3)]
    vm = OneVm(specs)
    now = 0.0
    for _ in range(EVENTS):
        match rng.choice(["submit"] * 5 + ["end"] * 4 + ["list"] * 2 + ["load"]):
            case "submit":
                vm.submit(now)
            case "end" if vm.running:
                request_id = rng.choice(sorted(vm.running))
                if rng.random() < 0.7:
                    vm.complete(request_id, now)
                else:
                    start = vm.running.pop(request_id)
                    kind = rng.choice(list(FailureKind))
                    vm.act(
                        vm.router.record_failure(
                            request_id, start.attempt_id, kind, now
                        )
                    )
            case "list":
                listed = [
                    spec._replace(
                        incarnation=rng.choice([0, 0, 1]), leaving=rng.random() < 0.2
                    )
                    for spec in specs
                    if rng.random() < 0.6
                ]
                vm.act(vm.router.update_backends(listed, now))
            case "load":
                report = LoadReport(rng.randint(0, 2), 0, age_s=rng.choice([0.0, 1.0]))
                vm.act(vm.router.record_load(rng.choice(specs).backend_id, report, now))
        now += rng.choice([0.0, 0.05, 0.5])
        vm.act(vm.router.tick(now))
        vm.check_counts()
    assert not vm.router.failures

"""Versions that remove parts of the configuration while requests wait and run."""

import random
from typing import Any

import pytest

from godwitmast.config.document import Document
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.backends import RETAINED_S
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    FailureKind,
    LoadReport,
    NotRun,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.placement import PromptPart
from godwitmast.dispatch.router import Router
from godwitmast.types import BackendId, ClassName, PoolName, RequestId, TeamName
from godwitmast.types import ZoneName as Zone

SECTIONS: dict[str, Any] = {
    "classes": {
        "question": {"tier": 1, "first_token_s": 0.5},
        "draft": {"tier": 3, "completion_s": 60.0},
        "lookup": {"tier": 2, "completion_s": 2.0},
    },
    "teams": {"arima": {"weight": 2.0}, "couva": {"concurrency": 3}},
    "models": {"lm": {}, "lm-2": {}},
    "services": {"app": {}},
}
POOL_OF_CLASS = {"question": "lm", "draft": "lm-2", "lookup": "app"}
POLICIES = [{}, {"time_placement": "on"}, {"room_sharing": "on"}]
DEADLINE_S = 8.0
EVENTS = 250
SEEDS = range(60)


class OneVm:
    """A router with its requests, and what became of each."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.policy = self.rng.choice(POLICIES)
        self.router = Router(self.draw_version(whole=True), Zone("a"), seed)
        self.running: dict[RequestId, Start] = {}
        self.started: set[RequestId] = set()
        self.open: dict[RequestId, RequestSpec] = {}
        self.count = 0
        self.draw_servers(4)

    def draw_version(self, whole: bool = False) -> Document:
        """Return a version with all parts, or without some or all of a section."""
        document = {}
        for name, section in SECTIONS.items():
            kept = self.rng.choice([0.0, 0.5, 1.0, 1.0])
            document[name] = {
                key: item
                for key, item in section.items()
                if whole or self.rng.random() < kept
            }
        return parse_document({**document, "fleet": self.policy})

    def draw_servers(self, most: int) -> None:
        specs = [
            BackendSpec(
                BackendId(f"{pool}-{number}"),
                Zone(self.rng.choice("ab")),
                frozenset([pool]),
                leaving=self.rng.random() < 0.1,
                places=self.rng.choice([None, 1, 2]),
                evacuated=self.rng.random() < 0.1,
                incarnation=self.rng.choice([0, 0, 1]),
                version=self.rng.choice(["v1", "v1", "v2"]),
            )
            for pool in ("lm", "lm-2", "app")
            for number in range(self.rng.randint(0, most))
        ]
        self.act(self.router.update_backends(specs, self.now))

    def submit(self) -> None:
        self.count += 1
        name = self.rng.choice(list(SECTIONS["classes"]))
        request = RequestSpec(
            RequestId(f"r{self.count}"),
            TeamName(self.rng.choice(["arima", "couva", "unknown"])),
            ClassName(name),
            PoolName(POOL_OF_CLASS[name]),
            self.now,
            1000,
            200,
            self.now + self.rng.uniform(0.2, DEADLINE_S),
            self.rng.random() < 0.7,
            f"f{self.rng.randint(0, 9)}",
            resumable=self.rng.random() < 0.5,
            streams=name != "lookup",
            attempts=self.rng.choice([None, 1, 2]),
            parts=(PromptPart("shared", 900), PromptPart(f"own{self.count}", 100)),
            version=self.rng.choice([None, None, "v1", "v3"]),
        )
        self.open[request.request_id] = request
        self.act(self.router.submit(request, self.now))

    def act(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Start(request_id=request_id):
                    assert request_id in self.open and request_id not in self.running
                    self.running[request_id] = action
                    self.started.add(request_id)
                case Cancel(request_id=request_id):
                    # A failed attempt may itself be what a quarantine cancels.
                    self.running.pop(request_id, None)
                case Refuse(request_id=request_id, not_run=not_run):
                    del self.open[request_id]
                    assert request_id not in self.started or not_run is NotRun.UNKNOWN

    def end_attempt(self) -> None:
        """End one attempt: with an answer, a failure, or as its caller leaves."""
        if not self.running:
            return
        request_id = self.rng.choice(sorted(self.running))
        start = self.running.pop(request_id)
        ids = (request_id, start.attempt_id)
        match self.rng.choice(["answer", "answer", "failure", "caller"]):
            case "answer":
                del self.open[request_id]
                self.act(self.router.record_completion(*ids, self.now))
            case "failure":
                kind = self.rng.choice([k for k in FailureKind if k.value != "connect"])
                self.started.discard(request_id) if kind is FailureKind.REFUSED else 0
                self.act(self.router.record_failure(*ids, kind, self.now))
            case "caller":
                del self.open[request_id]
                self.running[request_id] = start
                reason = CancelReason.CALLER_GONE
                self.act(self.router.cancel_request(request_id, reason, self.now))

    def step(self) -> None:
        match self.rng.choice(
            ["submit"] * 8
            + ["end"] * 4
            + ["tokens"] * 4
            + ["version", "servers", "load"]
        ):
            case "submit":
                self.submit()
            case "end":
                self.end_attempt()
            case "tokens" if self.running:
                start = self.rng.choice(list(self.running.values()))
                ids = (start.request_id, start.attempt_id)
                self.act(self.router.record_tokens(*ids, 3, self.now))
            case "version":
                self.act(self.router.update_config(self.draw_version(), self.now))
            case "servers":
                self.draw_servers(3)
            case "load":
                server = BackendId(f"{self.rng.choice(['lm', 'app'])}-0")
                report = LoadReport(self.rng.randint(0, 3), self.rng.randint(0, 1))
                self.act(self.router.record_load(server, report, self.now))
        self.now += self.rng.choice([0.0, 0.01, 0.05, 0.3])
        if self.rng.random() < 0.5:
            self.act(self.router.tick(self.now))


@pytest.mark.parametrize("seed", SEEDS)
def test_versions_that_remove_parts_leave_each_request_an_end(seed: int) -> None:
    """Guards against a VM that ends, or forgets a request, as a version removes routes,
    teams, models or services."""
    vm = OneVm(seed)
    for _ in range(EVENTS):
        vm.step()
    while vm.running:
        vm.end_attempt()
    for _ in range(60):
        vm.now += 0.5
        vm.act(vm.router.tick(vm.now))
        while vm.running:
            vm.end_attempt()
    assert vm.open == {}
    assert not vm.router.failures
    table = vm.router.backends
    states = [*table.states.values(), *table.unlisted.values()]
    assert not any(state.in_flight for state in states)
    vm.act(vm.router.tick(vm.now + RETAINED_S))
    assert not table.unlisted


def test_version_without_routes_keeps_what_waits_and_runs() -> None:
    """Guards against processes that end with all their streams as a version removes all
    routes while a request waits for a place."""
    document = parse_document({**SECTIONS, "services": {}})
    router = Router(document, Zone("a"))
    server = BackendSpec(BackendId("e1"), Zone("a"), frozenset(["lm"]), places=1)
    router.update_backends([server], 0.0)
    specs = [
        RequestSpec(
            RequestId(name),
            TeamName("arima"),
            ClassName("draft"),
            PoolName("lm"),
            0.0,
            100,
            100,
            idempotent=True,
        )
        for name in ("runs", "waits")
    ]
    [start] = [action for spec in specs for action in router.submit(spec, 0.0)]
    assert isinstance(start, Start)
    empty = parse_document({"classes": {}, "teams": {}})
    actions = router.update_config(empty, 1.0) + router.tick(1.1)
    actions += router.record_completion(start.request_id, start.attempt_id, 1.2)
    assert [type(action) for action in actions] == [Start]

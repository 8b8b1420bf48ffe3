"""Servers of which some answers, or all, are malformed, in virtual time.

Load pattern: each answer of a server is followed by bytes that the next request on its
connection takes for its own answer, while the server is idle and answers all others.
"""

import random
from collections import Counter
from collections.abc import Callable
from itertools import cycle
from typing import TypeAlias

import pytest

from event_heap import EventHeap
from failing_engines import EXPLANATION, KINDS, FailingEngines
from godwitmast.config.document import (
    Document,
    FleetPolicy,
    RequestClass,
    Service,
    Team,
    Use,
)
from godwitmast.dispatch.health import Condition
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    FailureKind,
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

DOCUMENT = Document(
    {"calls": RequestClass(1, completion_s=3.0)},
    {"t": Team()},
    services={"app": Service()},
)
CALLERS = 3
ANSWER_S = 0.005
PAUSE_S = 0.01
TICK_S = 0.05
SEED = 1

Answers: TypeAlias = Callable[[random.Random], FailureKind | None]
"""Returns how a server's answer to one more request fails, if it does."""


class Callers(EventHeap):
    """Callers that each send one request after another to a service's servers."""

    def __init__(self, answers: dict[str, Answers], attempts: int = 2) -> None:
        super().__init__(SEED)
        self.answers = answers
        self.attempts = attempts
        self.router = Router(DOCUMENT, ZoneName("a"))
        specs = [
            BackendSpec(BackendId(name), ZoneName("a"), frozenset(["app"]), places=8)
            for name in answers
        ]
        self.router.update_backends(specs, 0.0)
        self.sent: Counter[str] = Counter()
        self.arrived: dict[RequestId, float] = {}
        self.waited_s: dict[RequestId, float] = {}
        self.outcomes: Counter[str] = Counter()

    def play(self, until: float) -> None:
        for _ in range(CALLERS):
            self.send()
        self.tick()
        self.run(until)

    def tick(self) -> None:
        self.execute(self.router.tick(self.now))
        self.schedule(TICK_S, self.tick)

    def send(self) -> None:
        request_id = RequestId(f"r{next(self.numbers)}")
        self.arrived[request_id] = self.now
        request = RequestSpec(
            request_id,
            TeamName("t"),
            ClassName("calls"),
            PoolName("app"),
            self.now,
            deadline=self.now + 3.0,
            streams=False,
            attempts=self.attempts,
        )
        self.execute(self.router.submit(request, self.now))

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Start():
                    waited_s = self.now - self.arrived[action.request_id]
                    self.waited_s.setdefault(action.request_id, waited_s)
                    self.sent[action.backend_id] += 1
                    self.schedule(ANSWER_S, self.answer, action)
                case Refuse():
                    self.end(action.request_id, "refused")

    def answer(self, start: Start) -> None:
        ids = (start.request_id, start.attempt_id)
        kind = self.answers[start.backend_id](self.random)
        if kind is None:
            self.execute(self.router.record_completion(*ids, self.now))
            self.end(start.request_id, "answered")
        else:
            self.execute(self.router.record_failure(*ids, kind, self.now))

    def end(self, request_id: RequestId, outcome: str) -> None:
        self.outcomes[outcome] += 1
        self.waited_s.setdefault(request_id, self.now - self.arrived[request_id])
        self.schedule(PAUSE_S, self.send)

    def out(self) -> set[str]:
        states = self.router.backends.states.values()
        return {s.backend_id for s in states if not s.health.is_in_rotation()}


def sound(rng: random.Random) -> FailureKind | None:
    return None


def garbage(rng: random.Random) -> FailureKind | None:
    return FailureKind.MALFORMED


def stuttering(rng: random.Random) -> FailureKind | None:
    return FailureKind.MALFORMED if rng.random() < 1 / 3 else None


@pytest.mark.parametrize("answers", [stuttering, garbage])
def test_last_server_gets_requests_though_some_answers_are_malformed(
    answers: Answers,
) -> None:
    """Guards against requests that wait while the only server lives and is idle."""
    callers = Callers({"s1": answers})
    callers.play(10.0)
    assert max(callers.waited_s.values()) <= TICK_S
    if answers is stuttering:
        assert callers.outcomes["answered"] >= 0.6 * callers.outcomes.total()


def test_servers_of_a_pool_that_all_stutter_are_not_out_together() -> None:
    """Guards against malformed answers that empty a pool one server after the other."""
    callers = Callers(dict.fromkeys(["s1", "s2", "s3"], garbage))
    callers.play(10.0)
    assert max(callers.waited_s.values()) <= TICK_S


def test_server_that_sends_only_garbage_gets_few_requests() -> None:
    """Guards against a server without sound answers that goes on getting its share."""
    callers = Callers({"s1": garbage, "s2": sound, "s3": sound, "s4": sound})
    callers.play(20.0)
    assert callers.sent["s1"] <= 0.01 * callers.sent.total()
    assert callers.outcomes["refused"] <= 0.001 * callers.outcomes.total()


def test_requests_that_got_a_malformed_answer_run_again() -> None:
    """Guards against a request that is refused though another attempt is left."""
    callers = Callers({"s1": stuttering, "s2": sound})
    callers.play(10.0)
    assert callers.outcomes["answered"] >= 0.95 * callers.outcomes.total()


def test_malformed_answers_among_sound_ones_take_no_server_out() -> None:
    """Guards against a live server whose own failures and malformed answers add up."""
    turn = cycle(
        [
            FailureKind.MALFORMED,
            FailureKind.ERROR,
            FailureKind.MALFORMED,
            FailureKind.MALFORMED,
            None,
        ]
    )
    callers = Callers({"s1": lambda rng: next(turn), "s2": sound})
    callers.schedule(0.0, assert_none_out, callers)
    callers.play(10.0)
    assert callers.sent["s1"] > 0.3 * callers.sent.total()


def assert_none_out(callers: Callers) -> None:
    assert not callers.out()
    callers.schedule(ANSWER_S, assert_none_out, callers)


def test_requests_in_flight_do_not_lengthen_an_ejection() -> None:
    """Guards against a doubled time out for each malformed answer to a request that was
    sent before."""
    router = Callers({"s1": garbage, "s2": sound}).router
    state = router.backends.states[BackendId("s1")]
    for _ in range(3):
        state.health.record_malformed(started_at=0.0)
    router.backends.eject(state, Condition.DOWN, 1.0)
    until = state.health.ejected_until
    assert not state.health.record_malformed(started_at=0.9)
    assert state.health.record_malformed(started_at=until)


@pytest.mark.parametrize("vms", [9, 62])
def test_fleet_sends_little_to_an_engine_of_garbage(vms: int) -> None:
    """Guards against each of many VMs going on with an engine without sound answers."""
    pool = FailingEngines(vms, 1, FleetPolicy(outlier_sharing="on"))
    pool.failure = FailureKind.MALFORMED
    for kind in KINDS:
        pool.start_load(kind, 14.0)
    pool.schedule(2.0, pool.set_failing, ["e1"], True)
    pool.run(14.0)
    others = [engine.sent for name, engine in pool.engines.items() if name != "e1"]
    mean = sum(others) / len(others)
    assert pool.engines[BackendId("e1")].errors <= 0.4 * mean


@pytest.mark.parametrize("sharing", ["on", "off"])
def test_engine_that_breaks_each_answer_gets_no_more_than_one_that_fails(
    sharing: Use,
) -> None:
    """Guards against an engine that begins each answer, is malformed further on, and goes
    on getting requests."""
    broken = play_broken_answers(sharing, FailureKind.MALFORMED)
    failed = play_broken_answers(sharing, FailureKind.ERROR)
    assert broken.engines[BackendId("e1")].errors > 0
    assert (
        broken.engines[BackendId("e1")].errors <= failed.engines[BackendId("e1")].errors
    )
    assert all(call.outcome in ("answered", "open") for call in broken.calls)


def play_broken_answers(sharing: Use, kind: FailureKind) -> FailingEngines:
    """Play 40 s, from the third of which one engine fails after each first token."""
    pool = FailingEngines(3, 1, FleetPolicy(outlier_sharing=sharing), engines=12)
    pool.failure = kind
    pool.fails_after_first = True
    pool.start_load(EXPLANATION, 40.0)
    pool.schedule(2.0, pool.set_failing, ["e1"], True)
    pool.run(40.0)
    return pool


def test_malformed_answers_of_a_live_engine_eject_it_on_no_vm() -> None:
    """Guards against a stuttering engine that all VMs together take for a dead one."""
    pool = FailingEngines(62, 1, FleetPolicy(outlier_sharing="on"))
    pool.failure = FailureKind.MALFORMED
    for kind in KINDS:
        pool.start_load(kind, 14.0)
    pool.failing_share["e1"] = 0.3
    pool.run(14.0)
    assert not pool.ejected()

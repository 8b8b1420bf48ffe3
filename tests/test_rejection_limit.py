"""Servers that fall over when they have to reject too many requests in a second."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    FailureKind,
    LoadReport,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.router import Router
from godwitmast.dispatch.router_count import RouterCount
from godwitmast.types import BackendId, RequestId, ZoneName

POOL = "app"
SERVERS = 3
PLACES = 6
WORK_S = 0.09
LINK_S = 0.001
TICK_S = 0.05
DOWN_S = 3.0
DEADLINE_S = 2.0
TOLD_AT_S = 2.0
"""From here on servers say that they are brittle, in each of their answers."""

BRITTLE_AT_S = 5.0
"""From here on they are: fewer wait, and too many rejections make them fall over."""

RUN_S = 15.0
ALLOWED_FALLS = 2 + SERVERS // 10


@dataclass
class BrittleServer:
    """A server with some places and a short queue."""

    name: BackendId
    per_s: float
    running: dict[int, float] = field(default_factory=dict)
    waiting: deque[int] = field(default_factory=deque)
    rejected: deque[float] = field(default_factory=deque)
    down_until: float = 0.0
    falls: int = 0

    def queue_places(self, now: float) -> int:
        return 1 if now >= BRITTLE_AT_S else PLACES

    def record_rejection(self, now: float) -> bool:
        """Count a rejection; return whether the server falls over."""
        self.rejected.append(now)
        while self.rejected[0] < now - 1.0:
            self.rejected.popleft()
        if now < BRITTLE_AT_S or len(self.rejected) <= self.per_s:
            return False
        self.falls += 1
        self.down_until = now + DOWN_S
        self.rejected.clear()
        return True


@dataclass
class BrittleFleet:
    """Routers before brittle servers, under a load that comes and goes."""

    routers: int
    per_s: float
    load: float
    seed: int
    told: bool = True
    outcomes: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.servers = {
            BackendId(f"s{n}"): BrittleServer(BackendId(f"s{n}"), self.per_s)
            for n in range(SERVERS)
        }
        document = parse_document(
            {
                "classes": {"lookup": {"tier": 1, "first_token_s": 0.4}},
                "teams": {"arima": {}},
                "services": {POOL: {}},
            }
        )
        specs = [
            BackendSpec(name, ZoneName("a"), frozenset([POOL]), places=PLACES)
            for name in self.servers
        ]
        self.entries = []
        for number in range(self.routers):
            count = RouterCount(self.routers)
            router = Router(document, ZoneName("a"), number, router_count=count)
            router.update_backends(specs, 0.0)
            self.entries.append(router)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = itertools.count()
        self.attempts: dict[int, tuple[Router, Start, float]] = {}

    def at(self, time: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time, next(self.numbers), event))

    def rate(self, now: float) -> float:
        """Return requests a second: the load, and half of it in between."""
        capacity = SERVERS * PLACES / WORK_S
        return capacity * self.load * (1.0 if int(now / 2.5) % 2 else 0.5)

    def simulate(self) -> None:
        for router in self.entries:
            self.at(
                self.random.random() * TICK_S, lambda now, r=router: self.tick(r, now)
            )
        self.at(0.0, self.arrive)
        while self.events and self.events[0][0] < RUN_S:
            now, _, event = heapq.heappop(self.events)
            event(now)

    def tick(self, router: Router, now: float) -> None:
        self.apply(router, router.tick(now), now)
        self.at(now + TICK_S, lambda at: self.tick(router, at))

    def arrive(self, now: float) -> None:
        router = self.random.choice(self.entries)
        request = RequestSpec(
            RequestId(f"r{next(self.numbers)}"),
            "arima",  # type: ignore[arg-type]
            "lookup",  # type: ignore[arg-type]
            POOL,  # type: ignore[arg-type]
            now,
            deadline=now + DEADLINE_S,
            streams=False,
            attempts=3,
        )
        self.apply(router, router.submit(request, now), now)
        self.at(now + self.random.expovariate(self.rate(now)), self.arrive)

    def apply(self, router: Router, actions: list[Action], now: float) -> None:
        for action in actions:
            match action:
                case Start():
                    number = next(self.numbers)
                    self.attempts[number] = (router, action, now)
                    self.at(now + LINK_S, lambda at, n=number: self.reach(n, at))
                case Cancel():
                    raise AssertionError("lookups are not cancelled here")
                case _:
                    self.outcomes["refused"] += 1

    def reach(self, number: int, now: float) -> None:
        """A request reaches its server, which runs, queues or rejects it."""
        router, start, _ = self.attempts[number]
        server = self.servers[start.backend_id]
        if now < server.down_until:
            self.fail(number, FailureKind.CONNECT, now)
        elif len(server.running) < PLACES:
            self.run(server, number, now)
        elif len(server.waiting) < server.queue_places(now):
            server.waiting.append(number)
        else:
            self.tell(server, number, now)
            falls = server.record_rejection(now)
            self.fail(number, FailureKind.REFUSED, now)
            if falls:
                self.fall(server, now)

    def run(self, server: BrittleServer, number: int, now: float) -> None:
        server.running[number] = now
        self.at(
            now + WORK_S * self.random.uniform(0.7, 1.3),
            lambda at: self.complete(server, number, at),
        )

    def complete(self, server: BrittleServer, number: int, now: float) -> None:
        if server.running.pop(number, None) is None:
            return
        if server.waiting:
            self.run(server, server.waiting.popleft(), now)
        self.tell(server, number, now)
        router, start, _ = self.attempts.pop(number)
        self.outcomes["answered"] += 1
        ids = (start.request_id, start.attempt_id)
        self.apply(router, router.record_completion(*ids, now), now)

    def tell(self, server: BrittleServer, number: int, now: float) -> None:
        """Apply the headers of an answer to the router that gets it."""
        router, _, sent_at = self.attempts[number]
        load = LoadReport(len(server.running), len(server.waiting))
        self.apply(router, router.record_load(server.name, load, now), now)
        per_s = server.per_s if now >= TOLD_AT_S else None
        if self.told:
            actions = router.record_rejection_limit(server.name, per_s, sent_at, now)
            self.apply(router, actions, now)

    def fail(self, number: int, kind: FailureKind, now: float) -> None:
        router, start, _ = self.attempts.pop(number)
        ids = (start.request_id, start.attempt_id)
        self.apply(router, router.record_failure(*ids, kind, now), now)

    def fall(self, server: BrittleServer, now: float) -> None:
        numbers = [*server.running, *server.waiting]
        server.running.clear()
        server.waiting.clear()
        for number in numbers:
            self.fail(number, FailureKind.CUT, now)

    @property
    def falls(self) -> int:
        return sum(server.falls for server in self.servers.values())


@pytest.mark.parametrize("load", [0.7, 1.5])
@pytest.mark.parametrize("per_s", [3, 10])
@pytest.mark.parametrize("routers", [1, 8, 60])
def test_brittle_servers_rarely_fall_over(
    routers: int, per_s: int, load: float
) -> None:
    """Guards against routers that together have a server reject too many requests."""
    for seed in range(2):
        fleet = BrittleFleet(routers, per_s, load, seed)
        fleet.simulate()
        assert fleet.falls <= ALLOWED_FALLS, (seed, fleet.outcomes)


@pytest.mark.parametrize("routers", [8, 60])
def test_callers_are_served_more_than_by_routers_that_ignore_the_limit(
    routers: int,
) -> None:
    """Guards against a limit that costs more than the falls that it prevents."""
    answered = {}
    for told in (True, False):
        fleet = BrittleFleet(routers, 5, 1.5, 1, told)
        fleet.simulate()
        answered[told] = fleet.outcomes["answered"]
    assert answered[True] > answered[False]


def test_check_of_falls_detects_routers_that_ignore_the_limit() -> None:
    fleet = BrittleFleet(8, 3, 1.5, 1, told=False)
    fleet.simulate()
    assert fleet.falls > ALLOWED_FALLS


def test_only_router_of_all_uses_all_places() -> None:
    """Guards against spare places that no other router could take."""
    answered = {}
    for told in (True, False):
        fleet = BrittleFleet(1, 5, 1.5, 1, told)
        fleet.simulate()
        answered[told] = fleet.outcomes["answered"]
    assert answered[True] == answered[False]

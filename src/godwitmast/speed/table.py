"""The speed models of all pools, and which of them decide, by the configuration.

`dispatch.backends` reports here what it measures, and asks for the server of a request
where the configuration has it placed by predicted time.
"""

import math
import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

from godwitmast.config.document import Document, FleetPolicy, Model, RequestClass
from godwitmast.dispatch.messages import BackendSpec, LoadReport, RequestSpec
from godwitmast.measurements.messages import SpeedSample
from godwitmast.measurements.view import EmptyView, FleetView
from godwitmast.speed.placement import Forecast, Situation, TimePlacement
from godwitmast.speed.prediction import OTHER_ZONE_S, Targets
from godwitmast.types import BackendId, ZoneName


class PlainServer(Protocol):
    """The properties of a server of a plain service that a choice needs."""

    spec: BackendSpec

    def utilisation(self, now: float) -> float:
        """Return the share of the server's limit that is in use."""


PlainServerT = TypeVar("PlainServerT", bound=PlainServer)


class SpeedTable:
    """What one VM knows of the speed of servers, by pool."""

    def __init__(self, zone: ZoneName, seed: int = 0) -> None:
        self.zone = zone
        self.random = random.Random(seed)
        self.policy = FleetPolicy()
        self.classes: dict[str, RequestClass] = {}
        self.models: dict[str, Model] = {}
        self.strictest = Targets()
        self.view: FleetView = EmptyView()
        self.pools: dict[str, TimePlacement] = {}
        self.announced: set[str] = set()

    def update_config(self, document: Document) -> None:
        """Apply a configuration; what was learned is kept."""
        self.policy = document.fleet
        self.classes, self.models = document.classes, document.models
        named = [
            Targets(item.first_token_s, item.between_tokens_s)
            for item in document.classes.values()
        ]
        self.strictest = min(
            named, key=lambda item: item.gap_s or math.inf, default=Targets()
        )

    def update(self, specs: list[BackendSpec]) -> None:
        """Forget the servers that are not listed any more."""
        listed = {spec.backend_id for spec in specs}
        for pool in self.pools.values():
            pool.speed.keep(listed)

    def is_used(self, pool: str) -> bool:
        """Return whether the pool's requests are placed by predicted time."""
        match self.policy.time_placement:
            case "on":
                return True
            case "auto":
                known = self.pools.get(pool)
                return known is not None and known.speed.has_statement
            case "off":
                return False

    def pop_changes(self) -> list[tuple[str, bool]]:
        """Return the pools for which predicted time has come into use, or out of it,
        since the last call."""
        used = {name for name in self.pools if self.is_used(name)}
        changed = sorted(used ^ self.announced)
        self.announced = used
        return [(name, name in used) for name in changed]

    def pool(self, name: str) -> TimePlacement:
        known = self.pools.get(name)
        if known is None:
            known = self.pools[name] = TimePlacement(rng=self.random)
        return known

    def choose(
        self, request: RequestSpec, situation: Situation, now: float
    ) -> BackendId | None:
        """Return the engine for a prompt whose parts are known."""
        item = self.classes.get(request.class_name)
        targets = Targets(item.first_token_s, item.between_tokens_s) if item else None
        pool = self.pool(request.pool)
        pool.strictest = self.strictest
        return pool.choose(request, targets or Targets(), situation, self.view, now)

    def forecast_of(
        self, request: RequestSpec, backend_id: BackendId
    ) -> Forecast | None:
        """Return what was predicted for a request, if it was placed by that."""
        pool = self.pools.get(request.pool)
        if pool is None or not self.is_used(request.pool):
            return None
        return pool.forecast_of(request.request_id, backend_id)

    def may_copy(self, pool: str) -> bool:
        """Return whether the pool's engines copy prefixes from each other."""
        model = self.models.get(pool)
        return model is not None and model.fetches

    def fastest(
        self, pool: str, servers: Sequence[PlainServerT], now: float
    ) -> PlainServerT | None:
        """Return the server on which a request without a prompt is predicted to take
        the least time."""
        return min(
            servers, key=lambda item: self.service_s(pool, item, now), default=None
        )

    def service_s(self, pool: str, server: PlainServer, now: float) -> float:
        """Return the predicted time of a request without a prompt on a server; another
        zone costs a little."""
        speed = self.pool(pool).speed
        spec = server.spec
        slowness = speed.slowness(spec.backend_id, spec.incarnation, self.view, now)
        zone_s = 0.0 if spec.zone == self.zone else OTHER_ZONE_S
        queueing = 1 + server.utilisation(now)
        return slowness * speed.usual_service_s * queueing + zone_s

    def record_load(self, spec: BackendSpec, report: LoadReport, now: float) -> None:
        """Record what a server states of its speed."""
        if report.percent is None or self.policy.time_placement == "off":
            return
        for name in spec.pools:
            speed = self.pool(name).speed
            server = speed.server(spec.backend_id, spec.incarnation)
            speed.record_statement(server, report.percent, now - report.age_s)

    def record_first_token(
        self, spec: BackendSpec, request: RequestSpec, waited_s: float, now: float
    ) -> None:
        if self.is_used(request.pool):
            pool = self.pool(request.pool)
            pool.speed.server(spec.backend_id, spec.incarnation)
            pool.record_first_token(request, spec.backend_id, waited_s, now)

    def record_gap(
        self, spec: BackendSpec, pool: str, gap_s: float, count: int, now: float
    ) -> None:
        if self.is_used(pool):
            known = self.pool(pool)
            known.speed.server(spec.backend_id, spec.incarnation)
            known.record_gap(spec.backend_id, gap_s, count, now)

    def record_service(
        self, spec: BackendSpec, latency_s: float | None, now: float
    ) -> None:
        """Record an answer of a plain service."""
        if latency_s is None:
            return
        for name in filter(self.is_used, spec.pools):
            speed = self.pool(name).speed
            server = speed.server(spec.backend_id, spec.incarnation)
            speed.record_service(server, latency_s, now)

    def samples(self, now: float) -> dict[BackendId, SpeedSample]:
        """Return this VM's measurements of each server that it measured lately."""
        return {
            backend_id: sample
            for pool in self.pools.values()
            for backend_id, sample in pool.speed.samples(now).items()
        }

"""The backend servers as dispatch knows them, and the choice among them."""

import random
from dataclasses import dataclass

from godwitmast.dispatch.messages import BackendSpec, LoadReport, RequestSpec
from godwitmast.types import BackendId, ZoneName

START_LIMIT = 16
"""Requests in flight that a server is trusted with before anything was measured."""


@dataclass(slots=True)
class BackendState:
    """One backend server with what this router has on it."""

    spec: BackendSpec
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0


class BackendTable:
    """The backend servers by pool, with room and choice."""

    def __init__(self, zone: ZoneName, seed: int = 0) -> None:
        self.zone = zone
        self.random = random.Random(seed)
        self.states: dict[BackendId, BackendState] = {}
        self.pools: dict[str, list[BackendState]] = {}

    def update(self, specs: list[BackendSpec]) -> None:
        """Take the list of servers; what is known of those that stay is kept."""
        old = self.states
        self.states = {}
        self.pools = {}
        for spec in specs:
            state = old.get(spec.backend_id) or BackendState(spec)
            state.spec = spec
            self.states[spec.backend_id] = state
            if not spec.leaving:
                for pool in spec.pools:
                    self.pools.setdefault(pool, []).append(state)

    def has_room(self, pool: str, now: float) -> bool:
        """Return whether some server can take one more request for `pool`."""
        return any(state.in_flight < START_LIMIT for state in self.pools.get(pool, []))

    def choose(
        self, request: RequestSpec, avoid: set[BackendId], now: float
    ) -> BackendId:
        """Return the least loaded server, own availability zone first."""
        states = [
            state for state in self.pools[request.pool] if state.in_flight < START_LIMIT
        ]
        fresh = [state for state in states if state.spec.backend_id not in avoid]
        best = min(
            fresh or states,
            key=lambda state: (
                state.spec.zone != self.zone,
                state.in_flight,
                self.random.random(),
            ),
        )
        return best.spec.backend_id

    def started(self, backend_id: BackendId) -> None:
        self.states[backend_id].in_flight += 1

    def ended(self, backend_id: BackendId) -> None:
        state = self.states.get(backend_id)
        if state is not None:
            state.in_flight -= 1

    def load_reported(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> None:
        state = self.states.get(backend_id)
        if state is not None:
            state.report = report
            state.reported_at = now - report.age_s

"""The baselines that the capacity plan is measured against."""

import math
from dataclasses import dataclass, field

from godwitmast.capacity.messages import (
    Decision,
    Drain,
    Order,
    PlanInput,
    Release,
    ServerState,
)
from godwitmast.capacity.planner import CAPACITY_STATES
from godwitmast.config.document import CapacityPolicy
from godwitmast.types import PoolName, ZoneName

TOLERANCE = 0.1
STABLE_S = 300.0
"""The usual horizontal scaler's tolerance and its wait before it scales down."""


class FixedFleet:
    """Servers on demand, as many as the peak needs, for ever."""

    def step(self, view: PlanInput) -> list[Decision]:
        return []

    def record_cheap_refusal(self, zone: ZoneName, now: float) -> None:
        """A fixed fleet orders nothing, so nothing is refused it."""


@dataclass
class TargetUtilisation:
    """Keeps the mean utilisation at a target, on demand, with no forecast.

    This is the rule of Kubernetes' HorizontalPodAutoscaler: desired = ceil(current x
    seen / target), a tolerance, and the highest wish of the last five minutes.
    """

    pool: PoolName
    zones: list[ZoneName]
    intention: CapacityPolicy
    target: float = 0.6
    wishes: list[tuple[float, int]] = field(default_factory=list)

    def step(self, view: PlanInput) -> list[Decision]:
        serving = sum(s.state is ServerState.SERVING for s in view.servers)
        have = [s for s in view.servers if s.state in CAPACITY_STATES]
        work = sum(d.work for d in view.demand)
        seen = min(1.0, work / max(1, serving))
        ratio = seen / self.target
        wish = serving if abs(ratio - 1) <= TOLERANCE else math.ceil(serving * ratio)
        wish = min(max(wish, self.intention.min_servers), self.intention.max_servers)
        self.wishes.append((view.now, wish))
        self.wishes = [item for item in self.wishes if item[0] > view.now - STABLE_S]
        held = max(item[1] for item in self.wishes)
        decisions: list[Decision] = [
            Release(s.backend_id)
            for s in view.servers
            if s.state is ServerState.DRAINING and s.running == 0
        ]
        for number in range(len(have), wish):
            zone = self.zones[number % len(self.zones)]
            decisions.append(Order(self.pool, zone, "on_demand", "utilisation"))
        for server in have[held:]:
            if server.state is ServerState.SERVING:
                decisions.append(Drain(server.backend_id, "utilisation"))
        return decisions

    def record_cheap_refusal(self, zone: ZoneName, now: float) -> None:
        """It never asks for a cheap server."""

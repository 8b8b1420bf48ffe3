"""Baseline scalers that the capacity plan is compared with."""

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
"""Defaults of Kubernetes' HorizontalPodAutoscaler: tolerance, and window before it
scales down."""


class FixedFleet:
    """A constant number of on-demand servers, enough for the peak."""

    def step(self, view: PlanInput) -> list[Decision]:
        return []

    def record_cheap_refusal(self, zone: ZoneName, now: float) -> None:
        """Do nothing: a fixed fleet orders no servers."""


@dataclass
class TargetUtilisation:
    """Scales on-demand servers to a target of mean utilisation, without a forecast.

    This is the rule of Kubernetes' HorizontalPodAutoscaler: desired = ceil(current x
    utilisation / target), with a tolerance, and the highest desired number of the last
    five minutes.
    """

    pool: PoolName
    zones: list[ZoneName]
    policy: CapacityPolicy
    target: float = 0.6
    desired_counts: list[tuple[float, int]] = field(default_factory=list)

    def step(self, view: PlanInput) -> list[Decision]:
        serving = sum(s.state is ServerState.SERVING for s in view.servers)
        servers = [s for s in view.servers if s.state in CAPACITY_STATES]
        work = sum(d.work for d in view.demand)
        utilisation = min(1.0, work / max(1, serving))
        ratio = utilisation / self.target
        desired = serving if abs(ratio - 1) <= TOLERANCE else math.ceil(serving * ratio)
        desired = min(max(desired, self.policy.min_servers), self.policy.max_servers)
        self.desired_counts.append((view.now, desired))
        self.desired_counts = [
            item for item in self.desired_counts if item[0] > view.now - STABLE_S
        ]
        highest = max(item[1] for item in self.desired_counts)
        decisions: list[Decision] = [
            Release(s.backend_id)
            for s in view.servers
            if s.state is ServerState.DRAINING and s.running == 0
        ]
        for number in range(len(servers), desired):
            zone = self.zones[number % len(self.zones)]
            decisions.append(Order(self.pool, zone, "on_demand", "utilisation"))
        for server in servers[highest:]:
            if server.state is ServerState.SERVING:
                decisions.append(Drain(server.backend_id, "utilisation"))
        return decisions

    def record_cheap_refusal(self, zone: ZoneName, now: float) -> None:
        """Do nothing: this scaler orders no cheap servers."""

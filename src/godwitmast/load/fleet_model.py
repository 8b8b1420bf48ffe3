"""A fleet simulated over a day or a week, with requests as amounts of work in queues.

Simulating a day token by token takes too long for many seeds, so a step is one second,
and the requests of a class that arrive in the same second are queued as one cohort.
The model has queues, tiers, server starts, evictions and prices; `godwit-load play`
simulates single engines and streams.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from godwitmast.capacity.messages import (
    ClassDemand,
    Decision,
    Drain,
    Order,
    PlanInput,
    Release,
    ServerKind,
    ServerState,
    ServerView,
    Undrain,
)
from godwitmast.config.document import CapacityPolicy
from godwitmast.load.mixes import ClassMix, Mix
from godwitmast.types import BackendId, ClassName, ZoneName

PLAN_INTERVAL_S = 10
REPORT_LAG_S = 10
"""A plan is made from the demand of the ten seconds before the last ten."""

EVICTION_NOTICE_S = 10
ZONE_OUTAGE_S = 1200
"""Time for which a zone that lost its cheap servers refuses orders for them."""

EVICTIONS_PER_HOUR = 0.02
"""Rate at which each cheap server is evicted by itself."""

TURN_SHARE = 0.02
"""Share of the capacity that each class with waiting requests is guaranteed."""

MAX_BATCH = 32
DECODE_STEP_S = 0.0228
"""Duration of a decode step of a full batch, from the engine model's defaults."""

UNTARGETED_MAX_WAIT_S = 60.0
"""Longest wait of a request whose class has no target that bounds it."""


class Scaler(Protocol):
    """The capacity plan, or a baseline that scales the fleet in its place."""

    def step(self, view: PlanInput) -> list[Decision]: ...

    def record_cheap_refusal(self, zone: ZoneName, now: float) -> None: ...


@dataclass(slots=True)
class Server:
    """A server of the model; times are in seconds, which are the model's steps."""

    backend_id: BackendId
    zone: ZoneName
    kind: ServerKind
    ready_at: float
    draining_until: float | None = None
    leaves_at: float | None = None
    ordered_at: float = 0.0


@dataclass(slots=True)
class Cohort:
    """Requests of a class that arrived in the same second; `work` is server-seconds."""

    arrived: int
    count: float
    work: float


@dataclass
class ClassSums:
    """A class's queue and the totals of its requests."""

    mix: ClassMix
    mean_work_s: float
    work_deviation_s: float
    queue: deque[Cohort] = field(default_factory=deque)
    offered: float = 0.0
    met: float = 0.0
    refused: float = 0.0
    offered_by_minute: dict[int, float] = field(default_factory=dict)
    met_by_minute: dict[int, float] = field(default_factory=dict)

    @property
    def attainment(self) -> float:
        return self.met / self.offered if self.offered else 1.0

    @property
    def max_wait_s(self) -> float:
        """Return the longest queue wait with which a request meets its targets."""
        mix = self.mix
        prefill_s = mix.prompt.mean / 12_000
        first = math.inf if mix.first_token_s is None else mix.first_token_s - prefill_s
        whole_s = mix.answer.mean * DECODE_STEP_S + prefill_s
        total = math.inf if mix.completion_s is None else mix.completion_s - whole_s
        return min(first, total)


class FleetResult(NamedTuple):
    """Totals of a simulated day or week."""

    attainment: dict[str, float]
    spend: float
    met: float
    server_hours: float
    ordered: int
    released: int
    evicted: int
    harmed: float
    cheap_work: float
    zone_loss: dict[str, float]

    @property
    def spend_per_1000_met(self) -> float:
        return self.spend / self.met * 1000


class FleetModel:
    """A fleet of servers under one traffic mix and one seed."""

    def __init__(
        self,
        mix: Mix,
        seed: int,
        policy: CapacityPolicy,
        start: list[tuple[ZoneName, ServerKind]],
        zone_loss_at: int | None = None,
    ) -> None:
        self.mix = mix
        self.load_random = random.Random(f"{mix.name}/{seed}")
        self.fault_random = random.Random(f"faults/{mix.name}/{seed}")
        self.policy = policy
        self.bursts = mix.draw_bursts(self.load_random)
        self.classes = [self.make_class_sums(item) for item in mix.classes]
        self.zone_loss_at = zone_loss_at
        self.lost_zone = ""
        self.servers_added = 0
        self.servers: list[Server] = []
        for zone, kind in start:
            self.add_server(zone, kind, 0, 0)
        self.outage_until: dict[str, int] = {}
        self.arrived_work: deque[dict[str, float]] = deque(maxlen=REPORT_LAG_S * 2)
        self.spend = self.server_seconds = self.work = self.cheap_work = 0.0
        self.ordered = self.released = self.evicted = 0
        self.utilisation = 0.0
        self.minutes_after_evictions: set[int] = set()

    def make_class_sums(self, item: ClassMix) -> ClassSums:
        prompt_rate = self.policy.prompt_tokens_per_s
        answer_rate = self.policy.output_tokens_per_s
        mean_work_s = item.prompt.mean / prompt_rate + item.answer.mean / answer_rate
        work_deviation_s = math.hypot(
            item.prompt.deviation / prompt_rate, item.answer.deviation / answer_rate
        )
        return ClassSums(item, mean_work_s, work_deviation_s)

    def add_server(
        self, zone: ZoneName, kind: ServerKind, now: int, start_s: float
    ) -> None:
        self.servers_added += 1
        name = BackendId(f"s{self.servers_added}")
        self.servers.append(Server(name, zone, kind, now + start_s, ordered_at=now))

    def run(self, scaler: Scaler, progress: Callable[[], None] | None = None) -> None:
        """Simulate the whole duration of the mix."""
        for now in range(int(self.mix.duration_s)):
            self.add_arrivals(now)
            self.evict_servers(now)
            self.serve(now)
            self.refuse_late(now)
            self.charge_servers(now)
            if now % PLAN_INTERVAL_S == 0 and len(self.arrived_work) >= REPORT_LAG_S:
                for decision in scaler.step(self.make_plan_input(now)):
                    self.apply_decision(decision, now, scaler)

    def burst_factor(self, now: int) -> float:
        """Return the factor of the current bursts; each declines linearly to 1."""
        factor = 1.0
        for start, size in self.bursts:
            age = (now - start) / self.mix.burst_s
            if 0 <= age < 1:
                factor = max(factor, 1 + (size - 1) * (1 - age))
        return factor

    def add_arrivals(self, now: int) -> None:
        rate = self.mix.rate(now) * self.burst_factor(now)
        work_by_class = {}
        for sums in self.classes:
            count = draw_poisson(rate * sums.mix.share, self.load_random)
            noise = (
                self.load_random.gauss(0, 1) * math.sqrt(count) * sums.work_deviation_s
            )
            work = max(0.2 * count * sums.mean_work_s, count * sums.mean_work_s + noise)
            work_by_class[sums.mix.name] = work
            if count:
                sums.queue.append(Cohort(now, count, work))
                sums.offered += count
                add_to_minute(sums.offered_by_minute, now, count)
        self.arrived_work.append(work_by_class)

    def serving(self, now: int) -> list[Server]:
        return [s for s in self.servers if s.ready_at <= now]

    def serve(self, now: int) -> None:
        """Spend one second of every active server on the queues, by tier.

        Each class with waiting requests first gets its turn share.
        """
        active = [
            s
            for s in self.servers
            if s.ready_at <= now and s.draining_until is None and s.leaves_at is None
        ]
        capacity_left = float(len(active))
        capacity = capacity_left
        for sums in self.classes:
            if sums.queue:
                capacity_left -= self.serve_class(
                    sums, now, min(capacity_left, TURN_SHARE * capacity)
                )
        for sums in self.classes:
            if sums.queue and capacity_left > 0:
                capacity_left -= self.serve_class(sums, now, capacity_left)
        done = capacity - capacity_left
        self.utilisation = done / capacity if capacity else 0.0
        self.work += done
        if active:
            cheap = sum(s.kind == "cheap" for s in active)
            self.cheap_work += done * cheap / len(active)

    def serve_class(self, sums: ClassSums, now: int, time: float) -> float:
        """Spend up to `time` server-seconds on a class; return those used."""
        used = 0.0
        queue = sums.queue
        while queue and used < time:
            cohort = queue[0]
            part = min(1.0, (time - used) / cohort.work) if cohort.work else 1.0
            served = cohort.count * part
            # The wait is the longest of any request in the cohort: from the start of
            # the second of its arrival to the end of the second that serves it.
            waited = 0 if cohort.arrived == now else now - cohort.arrived + 1
            if waited <= sums.max_wait_s:
                sums.met += served
                add_to_minute(sums.met_by_minute, cohort.arrived, served)
            used += cohort.work * part
            if part == 1.0:
                queue.popleft()
            else:
                cohort.count -= served
                cohort.work -= cohort.work * part
        return used

    def refuse_late(self, now: int) -> None:
        """Refuse the requests that can no longer meet their targets."""
        for sums in self.classes:
            limit = sums.max_wait_s
            if math.isinf(limit):
                limit = UNTARGETED_MAX_WAIT_S
            while sums.queue and now - sums.queue[0].arrived + 2 > max(limit, 2.0):
                sums.refused += sums.queue.popleft().count

    def evict_servers(self, now: int) -> None:
        """Evict cheap servers: at random, and those of one zone at `zone_loss_at`."""
        self.servers = [s for s in self.servers if not self.has_left(s, now)]
        if now == self.zone_loss_at:
            cheap = [s for s in self.servers if s.kind == "cheap"]
            zones = [s.zone for s in cheap]
            if zones:
                self.lost_zone = max(sorted(set(zones)), key=zones.count)
                self.outage_until[self.lost_zone] = now + ZONE_OUTAGE_S
                for server in cheap:
                    if server.zone == self.lost_zone:
                        self.give_notice(server, now)
        for server in self.servers:
            if server.kind == "cheap" and server.leaves_at is None:
                chance = EVICTIONS_PER_HOUR / 3600
                if self.fault_random.random() < chance:
                    self.give_notice(server, now)

    def give_notice(self, server: Server, now: int) -> None:
        """Start an eviction; the server's running requests are resumed on others.

        Their prompts and the answers so far are prefilled again as work of their own
        classes. The number of running requests follows from the fleet's utilisation.
        """
        server.leaves_at = now + EVICTION_NOTICE_S
        self.evicted += 1
        self.minutes_after_evictions |= {now // 60, now // 60 + 1}
        if server.ready_at > now:
            return
        running = MAX_BATCH * min(1.0, self.utilisation)
        total_work_s = sum(c.mix.share * c.mean_work_s for c in self.classes)
        for sums in self.classes:
            mix = sums.mix
            streams = running * mix.share * sums.mean_work_s / total_work_s
            tokens = streams * (mix.prompt.mean + mix.answer.mean / 2)
            work = tokens / self.policy.prompt_tokens_per_s
            sums.queue.appendleft(Cohort(now, 0.0, work))

    def has_left(self, server: Server, now: int) -> bool:
        return server.leaves_at is not None and server.leaves_at <= now

    def charge_servers(self, now: int) -> None:
        """Add the price of a second of each server, from its order until it leaves."""
        for server in self.servers:
            cheap = server.kind == "cheap"
            rate = (
                self.policy.cheap_per_hour if cheap else self.policy.on_demand_per_hour
            )
            self.spend += rate / 3600
        self.server_seconds += len(self.servers)

    def make_plan_input(self, now: int) -> PlanInput:
        """Return the entries' and the platform's reports that a plan has at `now`."""
        reported = list(self.arrived_work)[:REPORT_LAG_S]
        demand = [
            ClassDemand(
                ClassName(sums.mix.name),
                sums.mix.tier,
                sum(second[sums.mix.name] for second in reported) / len(reported),
                sum(cohort.work for cohort in sums.queue),
            )
            for sums in self.classes
        ]
        servers = [
            ServerView(
                s.backend_id, s.zone, s.kind, state_of(s, now), running_count(s, now)
            )
            for s in self.servers
        ]
        return PlanInput(float(now), demand, servers, REPORT_LAG_S, float(now))

    def apply_decision(self, decision: Decision, now: int, scaler: Scaler) -> None:
        match decision:
            case Order():
                if (
                    decision.kind == "cheap"
                    and self.outage_until.get(decision.zone, 0) > now
                ):
                    scaler.record_cheap_refusal(decision.zone, float(now))
                    return
                self.ordered += 1
                self.add_server(decision.zone, decision.kind, now, self.policy.start_s)
            case Drain():
                longest = max(c.answer.mean for c in self.mix.classes) * DECODE_STEP_S
                self.find_server(decision.backend_id).draining_until = now + 2 * longest
            case Undrain():
                self.find_server(decision.backend_id).draining_until = None
            case Release():
                self.released += 1
                self.servers.remove(self.find_server(decision.backend_id))

    def find_server(self, backend_id: BackendId) -> Server:
        return next(s for s in self.servers if s.backend_id == backend_id)

    def result(self) -> FleetResult:
        return FleetResult(
            attainment={s.mix.name: s.attainment for s in self.classes},
            spend=self.spend,
            met=sum(s.met for s in self.classes),
            server_hours=self.server_seconds / 3600,
            ordered=self.ordered,
            released=self.released,
            evicted=self.evicted,
            harmed=self.missed_after_evictions(),
            cheap_work=self.cheap_work / self.work if self.work else 0.0,
            zone_loss=self.zone_loss_points(),
        )

    def missed_after_evictions(self) -> float:
        """Return the requests that missed their targets around evictions.

        They are those of each eviction's minute and of the next.
        """
        return sum(
            sums.offered_by_minute.get(m, 0.0) - sums.met_by_minute.get(m, 0.0)
            for sums in self.classes
            for m in self.minutes_after_evictions
        )

    def zone_loss_points(self) -> dict[str, float]:
        """Return the drop of attainment by class after a zone's loss, in points.

        The minute of the loss and the next are compared with the five before.
        """
        if self.zone_loss_at is None:
            return {}
        minute = self.zone_loss_at // 60
        losses = {}
        for sums in self.classes:
            before = attainment_in(sums, range(minute - 5, minute))
            after = attainment_in(sums, range(minute, minute + 2))
            losses[sums.mix.name] = 100 * (before - after)
        return losses


def state_of(server: Server, now: int) -> ServerState:
    if server.leaves_at is not None:
        return ServerState.LEAVING
    if server.draining_until is not None:
        return ServerState.DRAINING
    return ServerState.SERVING if server.ready_at <= now else ServerState.STARTING


def running_count(server: Server, now: int) -> int:
    """Return 0 for a server that has finished draining, and 1 for any other."""
    drained = server.draining_until is not None and server.draining_until <= now
    return 0 if drained else 1


def attainment_in(sums: ClassSums, minutes: range) -> float:
    offered = sum(sums.offered_by_minute.get(m, 0.0) for m in minutes)
    met = sum(sums.met_by_minute.get(m, 0.0) for m in minutes)
    return met / offered if offered else 1.0


def add_to_minute(sums: dict[int, float], second: int, count: float) -> None:
    sums[second // 60] = sums.get(second // 60, 0.0) + count


def draw_poisson(mean: float, source: random.Random) -> int:
    """Draw from a Poisson distribution; means above 20 use the normal approximation."""
    if mean > 20:
        return max(0, round(source.gauss(mean, math.sqrt(mean))))
    threshold = math.exp(-mean)
    count = 0
    product = source.random()
    while product > threshold:
        count += 1
        product *= source.random()
    return count

"""A day of a fleet in virtual time: requests as work that waits and is served.

Token by token a day is too long to play for many seeds, so a step is one second and
requests of a class that came in the same second wait together. It knows queues,
tiers, starts, evictions and prices; single engines and streams are the scenario
player's (`godwit-load play`).
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

PLAN_EVERY_S = 10
REPORT_LAG_S = 10
"""A plan sees the demand of the ten seconds before the last ten."""

NOTICE_S = 10
ZONE_AWAY_S = 1200
"""How long a zone that lost its cheap servers has none to give."""

EVICTIONS_PER_HOUR = 0.02
"""Single evictions of a cheap server in an hour."""

TURN_SHARE = 0.02
BATCH = 32
STEP_S = 0.0228
"""A decode step of a full batch, from the engine model's defaults."""

UNTARGETED_WAIT_S = 60.0


class Scaler(Protocol):
    """What decides about the fleet in the model."""

    def step(self, view: PlanInput) -> list[Decision]: ...

    def record_cheap_refusal(self, zone: ZoneName, now: float) -> None: ...


@dataclass(slots=True)
class Server:
    """A server of the model; times are steps."""

    backend_id: BackendId
    zone: ZoneName
    kind: ServerKind
    ready_at: float
    draining_until: float | None = None
    leaves_at: float | None = None
    ordered_at: float = 0.0


@dataclass(slots=True)
class Cohort:
    """Requests of a class that came in the same second."""

    arrived: int
    count: float
    work: float


@dataclass
class ClassSums:
    """What became of a class's requests."""

    mix: ClassMix
    unit: float
    spread: float
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
    def most_wait_s(self) -> float:
        """Return how long a request may wait and still meet its targets."""
        mix = self.mix
        read = mix.prompt.mean / 12_000
        first = math.inf if mix.first_token_s is None else mix.first_token_s - read
        whole = mix.answer.mean * STEP_S + read
        total = math.inf if mix.completion_s is None else mix.completion_s - whole
        return min(first, total)


class FleetResult(NamedTuple):
    """What a day or a week came to."""

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
    """One fleet under one mix, one seed and one scaler."""

    def __init__(
        self,
        mix: Mix,
        seed: int,
        intention: CapacityPolicy,
        start: list[tuple[ZoneName, ServerKind]],
        zone_loss_at: int | None = None,
    ) -> None:
        self.mix = mix
        self.source = random.Random(f"{mix.name}/{seed}")
        self.faults = random.Random(f"faults/{mix.name}/{seed}")
        self.intention = intention
        self.bursts = mix.draw_bursts(self.source)
        self.classes = [self.make_sums(item) for item in mix.classes]
        self.zone_loss_at = zone_loss_at
        self.lost_zone = ""
        self.numbers = 0
        self.servers: list[Server] = []
        for zone, kind in start:
            self.add_server(zone, kind, 0, 0)
        self.away: dict[str, int] = {}
        self.arrived_work: deque[dict[str, float]] = deque(maxlen=REPORT_LAG_S * 2)
        self.spend = self.seconds = self.work = self.cheap_work = 0.0
        self.ordered = self.released = self.evicted = 0
        self.busy = 0.0
        self.evicted_minutes: set[int] = set()

    def make_sums(self, item: ClassMix) -> ClassSums:
        prompt_rate = self.intention.prompt_tokens_per_s
        answer_rate = self.intention.output_tokens_per_s
        unit = item.prompt.mean / prompt_rate + item.answer.mean / answer_rate
        spread = math.hypot(
            item.prompt.deviation / prompt_rate, item.answer.deviation / answer_rate
        )
        return ClassSums(item, unit, spread)

    def add_server(
        self, zone: ZoneName, kind: ServerKind, now: int, start_s: float
    ) -> None:
        self.numbers += 1
        name = BackendId(f"s{self.numbers}")
        self.servers.append(Server(name, zone, kind, now + start_s, ordered_at=now))

    def run(self, scaler: Scaler, progress: Callable[[], None] | None = None) -> None:
        """Play the whole mix."""
        for now in range(int(self.mix.duration_s)):
            self.arrive(now)
            self.evict(now)
            self.serve(now)
            self.refuse(now)
            self.pay(now)
            if now % PLAN_EVERY_S == 0 and len(self.arrived_work) >= REPORT_LAG_S:
                for decision in scaler.step(self.view(now)):
                    self.carry_out(decision, now, scaler)

    def burst(self, now: int) -> float:
        """Return the factor of the bursts that run; each dies away in a line."""
        factor = 1.0
        for start, size in self.bursts:
            age = (now - start) / self.mix.burst_s
            if 0 <= age < 1:
                factor = max(factor, 1 + (size - 1) * (1 - age))
        return factor

    def arrive(self, now: int) -> None:
        rate = self.mix.rate(now) * self.burst(now)
        came = {}
        for sums in self.classes:
            count = poisson(rate * sums.mix.share, self.source)
            noise = self.source.gauss(0, 1) * math.sqrt(count) * sums.spread
            work = max(0.2 * count * sums.unit, count * sums.unit + noise)
            came[sums.mix.name] = work
            if count:
                sums.queue.append(Cohort(now, count, work))
                sums.offered += count
                note(sums.offered_by_minute, now, count)
        self.arrived_work.append(came)

    def serving(self, now: int) -> list[Server]:
        return [s for s in self.servers if s.ready_at <= now]

    def serve(self, now: int) -> None:
        """Give a second of every serving server to the queues, by tier."""
        active = [
            s
            for s in self.servers
            if s.ready_at <= now and s.draining_until is None and s.leaves_at is None
        ]
        left = float(len(active))
        total = left
        for sums in self.classes:
            if sums.queue:
                left -= self.serve_class(sums, now, min(left, TURN_SHARE * total))
        for sums in self.classes:
            if sums.queue and left > 0:
                left -= self.serve_class(sums, now, left)
        done = total - left
        self.busy = done / total if total else 0.0
        self.work += done
        if active:
            cheap = sum(s.kind == "cheap" for s in active)
            self.cheap_work += done * cheap / len(active)

    def serve_class(self, sums: ClassSums, now: int, time: float) -> float:
        """Spend up to `time` server-seconds on a class; return how much was used."""
        used = 0.0
        queue = sums.queue
        while queue and used < time:
            cohort = queue[0]
            part = min(1.0, (time - used) / cohort.work) if cohort.work else 1.0
            served = cohort.count * part
            # A cohort that waits is counted from the start of its second to the end
            # of the second that serves it, which is the longest that any of it waited.
            waited = 0 if cohort.arrived == now else now - cohort.arrived + 1
            if waited <= sums.most_wait_s:
                sums.met += served
                note(sums.met_by_minute, cohort.arrived, served)
            used += cohort.work * part
            if part == 1.0:
                queue.popleft()
            else:
                cohort.count -= served
                cohort.work -= cohort.work * part
        return used

    def refuse(self, now: int) -> None:
        """Refuse at once what cannot meet its targets any more."""
        for sums in self.classes:
            limit = sums.most_wait_s
            if math.isinf(limit):
                limit = UNTARGETED_WAIT_S
            while sums.queue and now - sums.queue[0].arrived + 2 > max(limit, 2.0):
                sums.refused += sums.queue.popleft().count

    def evict(self, now: int) -> None:
        """Take cheap servers away: one now and then, and a whole zone on command."""
        self.servers = [s for s in self.servers if not self.gone(s, now)]
        if now == self.zone_loss_at:
            cheap = [s for s in self.servers if s.kind == "cheap"]
            zones = [s.zone for s in cheap]
            if zones:
                self.lost_zone = max(sorted(set(zones)), key=zones.count)
                self.away[self.lost_zone] = now + ZONE_AWAY_S
                for server in cheap:
                    if server.zone == self.lost_zone:
                        self.give_notice(server, now)
        for server in self.servers:
            if server.kind == "cheap" and server.leaves_at is None:
                chance = EVICTIONS_PER_HOUR / 3600
                if self.faults.random() < chance:
                    self.give_notice(server, now)

    def give_notice(self, server: Server, now: int) -> None:
        """Start an eviction; what runs there is resumed elsewhere.

        Its prompts and what was answered so far are read again, in each class's own
        turn. How many run follows from how busy the servers are.
        """
        server.leaves_at = now + NOTICE_S
        self.evicted += 1
        self.evicted_minutes |= {now // 60, now // 60 + 1}
        if server.ready_at > now:
            return
        running = BATCH * min(1.0, self.busy)
        units = sum(c.mix.share * c.unit for c in self.classes)
        for sums in self.classes:
            mix = sums.mix
            streams = running * mix.share * sums.unit / units
            tokens = streams * (mix.prompt.mean + mix.answer.mean / 2)
            again = tokens / self.intention.prompt_tokens_per_s
            sums.queue.appendleft(Cohort(now, 0.0, again))

    def gone(self, server: Server, now: int) -> bool:
        return server.leaves_at is not None and server.leaves_at <= now

    def pay(self, now: int) -> None:
        """Pay for each server from its order on, and let the drained ones be empty."""
        for server in self.servers:
            cheap = server.kind == "cheap"
            rate = (
                self.intention.cheap_per_hour
                if cheap
                else self.intention.on_demand_per_hour
            )
            self.spend += rate / 3600
        self.seconds += len(self.servers)

    def view(self, now: int) -> PlanInput:
        """Return what the entries' and the platform's reports say by now."""
        seen = list(self.arrived_work)[:REPORT_LAG_S]
        demand = [
            ClassDemand(
                ClassName(sums.mix.name),
                sums.mix.tier,
                sum(second[sums.mix.name] for second in seen) / len(seen),
                sum(cohort.work for cohort in sums.queue),
            )
            for sums in self.classes
        ]
        servers = [
            ServerView(s.backend_id, s.zone, s.kind, state_of(s, now), running(s, now))
            for s in self.servers
        ]
        return PlanInput(float(now), demand, servers, REPORT_LAG_S, float(now))

    def carry_out(self, decision: Decision, now: int, scaler: Scaler) -> None:
        match decision:
            case Order():
                if decision.kind == "cheap" and self.away.get(decision.zone, 0) > now:
                    scaler.record_cheap_refusal(decision.zone, float(now))
                    return
                self.ordered += 1
                self.add_server(
                    decision.zone, decision.kind, now, self.intention.start_s
                )
            case Drain():
                longest = max(c.answer.mean for c in self.mix.classes) * STEP_S
                self.find(decision.backend_id).draining_until = now + 2 * longest
            case Undrain():
                self.find(decision.backend_id).draining_until = None
            case Release():
                self.released += 1
                self.servers.remove(self.find(decision.backend_id))

    def find(self, backend_id: BackendId) -> Server:
        return next(s for s in self.servers if s.backend_id == backend_id)

    def result(self) -> FleetResult:
        return FleetResult(
            attainment={s.mix.name: s.attainment for s in self.classes},
            spend=self.spend,
            met=sum(s.met for s in self.classes),
            server_hours=self.seconds / 3600,
            ordered=self.ordered,
            released=self.released,
            evicted=self.evicted,
            harmed=self.harmed(),
            cheap_work=self.cheap_work / self.work if self.work else 0.0,
            zone_loss=self.loss_around_zone(),
        )

    def harmed(self) -> float:
        """Return the requests that missed in the minutes after any eviction."""
        return sum(
            sums.offered_by_minute.get(m, 0.0) - sums.met_by_minute.get(m, 0.0)
            for sums in self.classes
            for m in self.evicted_minutes
        )

    def loss_around_zone(self) -> dict[str, float]:
        """Return the points of attainment lost in the minute after a zone's loss."""
        if self.zone_loss_at is None:
            return {}
        minute = self.zone_loss_at // 60
        losses = {}
        for sums in self.classes:
            before = share(sums, range(minute - 5, minute))
            after = share(sums, range(minute, minute + 2))
            losses[sums.mix.name] = 100 * (before - after)
        return losses


def state_of(server: Server, now: int) -> ServerState:
    if server.leaves_at is not None:
        return ServerState.LEAVING
    if server.draining_until is not None:
        return ServerState.DRAINING
    return ServerState.SERVING if server.ready_at <= now else ServerState.STARTING


def running(server: Server, now: int) -> int:
    """Return how much still runs there: a drained server has nothing left."""
    drained = server.draining_until is not None and server.draining_until <= now
    return 0 if drained else 1


def share(sums: ClassSums, minutes: range) -> float:
    offered = sum(sums.offered_by_minute.get(m, 0.0) for m in minutes)
    met = sum(sums.met_by_minute.get(m, 0.0) for m in minutes)
    return met / offered if offered else 1.0


def note(sums: dict[int, float], second: int, count: float) -> None:
    sums[second // 60] = sums.get(second // 60, 0.0) + count


def poisson(mean: float, source: random.Random) -> int:
    """Return a draw; above 20 the normal distribution is near enough."""
    if mean > 20:
        return max(0, round(source.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count = 0
    product = source.random()
    while product > limit:
        count += 1
        product *= source.random()
    return count

"""A discrete-event simulation of a scenario: policies, model engines and callers.

It models only what surrounds the decisions and is no cluster simulator: entries
exchange updates on poison suspects and nothing else, and each link has a fixed delay.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from godwitmast.config.document import Document
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    FailureKind,
    LoadReport,
    NotRun,
    Placement,
    PoisonUpdate,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.policy import Policy
from godwitmast.dispatch.router import Router
from godwitmast.load.baselines import FifoLeastOutstanding, StrictRoundRobin
from godwitmast.load.scenario import (
    MODEL,
    Crash,
    EngineSpec,
    Evict,
    Fault,
    Phase,
    Poison,
    Scenario,
    Source,
    Straggle,
    WithdrawKey,
    requests_per_s,
)
from godwitmast.load.score import BUCKET_S, LogicalRequest, Score
from godwitmast.standins.engine_model import EngineModel, Sequence, TokenEvent
from godwitmast.types import AttemptId, BackendId, RequestId, ZoneName

LINK_DELAY_S = 0.001
TICK_S = 0.05
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 1.0
LIST_DELAY_S = 1.0
"""Time from an eviction notice to the entries' updated list of backend servers."""

PEER_DELAY_S = 0.1
"""Delay between two entries, including a few forwarding entries on the path."""

POISON_CRASH_DELAY_S = 0.1
POISON_DOWNTIME_S = 10.0
LENGTH_SIGMA = 0.6
"""Sigma of the log-normal lengths: the 99th percentile is four times the median."""

FIRST_TOKEN_TIMEOUT_FACTOR = 8.0
COMPLETION_TIMEOUT_FACTOR = 1.5
"""Callers disconnect after these multiples of their class's targets."""

POLICIES = ("godwit", "fifo", "strict")


@dataclass
class Engine:
    """A model engine with its faults; each crash starts a new `epoch`."""

    spec: EngineSpec
    model: EngineModel
    up: bool = True
    removed: bool = False
    leaving: bool = False
    gone_at: float | None = None
    stepping: bool = False
    report_lag_s: float = REPORT_LAG_S
    reports: list[tuple[float, LoadReport]] = field(default_factory=list)
    epoch: int = 0


@dataclass(slots=True)
class Attempt:
    """An attempt of a request that runs on an engine."""

    entry: int
    attempt_id: AttemptId
    request_id: RequestId
    engine: Engine
    request: LogicalRequest


def make_policy(
    name: str, document: Document, zone: str, seed: int, announces: bool = True
) -> Policy:
    """Return the policy of this command-line name; ValueError if there is none."""
    match name:
        case "godwit":
            return Router(document, ZoneName(zone), seed, announces_suspects=announces)
        case "fifo":
            return FifoLeastOutstanding(document)
        case "strict":
            return StrictRoundRobin(document)
        case _:
            raise ValueError(f"policy {name!r} is not one of {', '.join(POLICIES)}")


def make_document(scenario: Scenario) -> Document:
    """Return a configuration with the scenario's classes and teams."""
    return parse_document(
        {
            "classes": scenario.classes,
            "teams": {name: {"weight": w} for name, w in scenario.teams.items()},
            "models": {MODEL: {}},
        }
    )


class Simulation:
    """A virtual clock and a heap of events, with policies, engines and requests."""

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.event_numbers = itertools.count()
        # Arrivals have their own generator, so that every policy receives the same
        # requests whatever it decides.
        self.arrival_random = random.Random(seed)
        self.random = random.Random(seed + 1_000_003)
        self.document = make_document(scenario)
        self.score = Score(scenario)
        self.engines = {
            spec.name: Engine(spec, EngineModel(scenario.speed))
            for spec in scenario.engines
        }
        zones = scenario.zones
        self.policies = [
            make_policy(
                policy,
                self.document,
                zones[n % len(zones)],
                seed * 100 + n,
                announces=scenario.table_delay_s is None,
            )
            for n in range(scenario.entries)
        ]
        self.requests: dict[RequestId, LogicalRequest] = {}
        self.attempts: dict[tuple[int, AttemptId], Attempt] = {}
        self.cancelled: set[tuple[int, AttemptId]] = set()
        self.started: set[RequestId] = set()
        self.withdrawn_teams: set[str] = set()
        self.request_numbers = itertools.count(1)
        self.open_requests: dict[str, int] = dict.fromkeys(scenario.classes, 0)

    def schedule(self, when: float, event: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.events, (when, next(self.event_numbers), event, args))

    def run(self) -> Score:
        """Run the scenario to its end and return its score."""
        self.update_backends()
        for number in range(len(self.policies)):
            self.schedule(TICK_S * (1 + number / len(self.policies)), self.tick, number)
        for engine in self.engines.values():
            self.schedule(0.0, self.report_load, engine)
        for source in self.scenario.sources:
            self.schedule_arrival(source)
        for fault in self.scenario.faults:
            self.schedule(fault.at_s, self.inject_fault, fault)
        self.schedule(BUCKET_S, self.record_open_requests)
        end = self.scenario.run_s + self.scenario.drain_s
        while self.events and self.events[0][0] <= end:
            self.now, _, event, args = heapq.heappop(self.events)
            event(*args)
        self.score.generated_tokens = sum(
            engine.model.generated_total for engine in self.engines.values()
        )
        return self.score

    # Callers

    def schedule_arrival(self, source: Source) -> None:
        """Schedule the source's next request, by thinning arrivals of its peak rate."""
        total_share = sum(item.share for item in self.scenario.sources)
        mean_rate = requests_per_s(self.scenario) * source.share / total_share
        peak_factor = max([1.0, *(p.factor for p in self.scenario.phases)])
        when = self.now
        while True:
            when += self.arrival_random.expovariate(mean_rate * peak_factor)
            if when >= self.scenario.run_s:
                return
            factor = rate_factor(self.scenario.phases, source.class_name, when)
            if self.arrival_random.random() * peak_factor < factor:
                break
        self.schedule(
            when, self.handle_arrival, source, self.draw_request(source, when)
        )

    def draw_request(self, source: Source, when: float) -> LogicalRequest:
        draw = self.arrival_random
        prefix = ""
        if source.prefixes:
            # Zipf-like: most requests have one of the first few prefixes.
            rank = int(source.prefixes ** draw.random())
            prefix = f"{source.class_name}-{rank}"
        prompt = draw_length(draw, source.prompt_tokens) + source.prefix_tokens
        return LogicalRequest(
            next(self.request_numbers),
            source.team,
            source.class_name,
            when,
            prompt,
            draw_length(draw, source.answer_tokens),
            prefix,
            source.prefix_tokens,
            self.caller_timeout_s(source.class_name),
            entry=draw.randrange(len(self.policies)),
        )

    def caller_timeout_s(self, class_name: str) -> float:
        targets = self.document.classes[class_name]
        limits = []
        if targets.first_token_s:
            limits.append(targets.first_token_s * FIRST_TOKEN_TIMEOUT_FACTOR)
        if targets.completion_s:
            limits.append(targets.completion_s * COMPLETION_TIMEOUT_FACTOR)
        return min(limits, default=60.0)

    def handle_arrival(self, source: Source, request: LogicalRequest) -> None:
        self.score.requests.append(request)
        self.open_requests[request.class_name] += 1
        self.submit(request)
        self.schedule_arrival(source)

    def submit(self, request: LogicalRequest) -> None:
        """Submit a request to its entry, each time under a new request id."""
        if request.team in self.withdrawn_teams:
            self.record_end(request, "withdrawn")
            return
        request.sends += 1
        request_id = RequestId(f"{request.number}.{request.sends}")
        self.requests[request_id] = request
        spec = RequestSpec(
            request_id,
            request.team,  # type: ignore[arg-type]
            request.class_name,  # type: ignore[arg-type]
            MODEL,  # type: ignore[arg-type]
            self.now,
            request.prompt_tokens,
            max_tokens=1024,
            fingerprint=(
                f"poison-{request.team}" if request.poison else f"need-{request.number}"
            ),
            prefix=request.prefix,
        )
        self.schedule(self.now + request.caller_timeout_s, self.time_out, request_id)
        self.execute(request.entry, self.policies[request.entry].submit(spec, self.now))

    def time_out(self, request_id: RequestId) -> None:
        """Cancel a request whose caller timeout has passed.

        Callers without a completion target stay once their answer has begun.
        """
        request = self.requests.get(request_id)
        if request is None or request.outcome:
            return
        begun = request.first_token_at is not None
        if begun and not self.document.classes[request.class_name].completion_s:
            return
        self.cancel_request(request_id, "gave up", CancelReason.CALLER_GONE)

    def cancel_request(
        self, request_id: RequestId, outcome: str, reason: CancelReason
    ) -> None:
        request = self.requests.pop(request_id)
        self.record_end(request, outcome)
        actions = self.policies[request.entry].cancel_request(
            request_id, reason, self.now
        )
        self.execute(request.entry, actions)

    def record_end(self, request: LogicalRequest, outcome: str) -> None:
        self.open_requests[request.class_name] -= (
            not request.outcome and not request.poison
        )
        self.score.record_end(request, outcome, self.now)

    # Policies

    def tick(self, number: int) -> None:
        policy = self.policies[number]
        self.execute(number, policy.tick(self.now))
        if isinstance(policy, Router):
            self.publish_poison_updates(number, policy)
        self.schedule(self.now + TICK_S, self.tick, number)

    def publish_poison_updates(self, number: int, router: Router) -> None:
        """Send this entry's updates on poison suspects to the other entries.

        Through a table they arrive later, and those on running suspects do not at all.
        """
        updates = router.pop_poison_updates()
        delay_s = PEER_DELAY_S
        if self.scenario.table_delay_s is not None:
            delay_s = self.scenario.table_delay_s
            updates = [item for item in updates if not isinstance(item, Placement)]
        for other in range(len(self.policies)):
            if updates and other != number:
                self.schedule(
                    self.now + delay_s, self.apply_poison_updates, other, updates
                )

    def apply_poison_updates(self, number: int, updates: list[PoisonUpdate]) -> None:
        router = self.policies[number]
        assert isinstance(router, Router)
        self.execute(number, router.apply_poison_updates(updates, self.now))

    def execute(self, entry: int, actions: list[Action]) -> None:
        """Execute the actions that a policy returned."""
        for action in actions:
            match action:
                case Start():
                    self.started.add(action.request_id)
                    self.schedule(
                        self.now + LINK_DELAY_S, self.start_attempt, entry, action
                    )
                case Cancel():
                    attempt = self.attempts.pop((entry, action.attempt_id), None)
                    if attempt:
                        attempt.engine.model.cancel(sequence_id(attempt))
                    else:
                        self.cancelled.add((entry, action.attempt_id))
                case Refuse():
                    self.handle_refusal(entry, action)

    def handle_refusal(self, entry: int, refusal: Refuse) -> None:
        """Schedule the caller's resend of a refused request, or end the request."""
        request = self.requests.pop(refusal.request_id, None)
        if request is None:
            return
        score = self.score
        code = refusal.code.value
        score.refusals[code] = score.refusals.get(code, 0) + 1
        if not request.poison:
            score.innocent_refusals[code] = score.innocent_refusals.get(code, 0) + 1
        ran = refusal.request_id in self.started and request.tokens > 0
        score.not_run_but_ran += refusal.not_run is NotRun.TRUE and ran
        resend = self.scenario.resend
        if request.sends > resend.tries or request.tokens or request.poison:
            self.record_end(request, "failed" if request.tokens else "refused")
            return
        wait = resend.wait_s
        if resend.heed_retry_after:
            wait = refusal.retry_after_s or resend.wait_s
        request.entry = self.random.randrange(len(self.policies))
        self.schedule(self.now + wait, self.submit, request)

    def update_backends(self) -> None:
        """Give every entry the list of engines."""
        specs = [
            BackendSpec(
                BackendId(engine.spec.name),
                ZoneName(engine.spec.zone),
                frozenset([MODEL]),
                engine.spec.cheap,
                engine.leaving,
                engine.gone_at,
            )
            for engine in self.engines.values()
            if not engine.removed
        ]
        for number, policy in enumerate(self.policies):
            self.execute(number, policy.update_backends(specs, self.now))

    # Engines

    def start_attempt(self, entry: int, start: Start) -> None:
        """Submit an attempt to its engine, unless a cancel arrived first."""
        request = self.requests.get(start.request_id)
        if request is None or (entry, start.attempt_id) in self.cancelled:
            return
        engine = self.engines[start.backend_id]
        if not engine.up:
            self.report_failure(
                entry, start.request_id, start.attempt_id, FailureKind.CONNECT
            )
            return
        attempt = Attempt(entry, start.attempt_id, start.request_id, engine, request)
        self.attempts[entry, start.attempt_id] = attempt
        tier = self.document.classes[request.class_name].tier
        engine.model.submit(
            Sequence(
                sequence_id(attempt),
                request.prompt_tokens,
                request.answer_tokens,
                tier,
                request.prefix,
                request.prefix_tokens,
                start.resume_from,
            )
        )
        if request.poison:
            self.schedule(
                self.now + POISON_CRASH_DELAY_S,
                self.crash_from_poison,
                engine,
                engine.epoch,
            )
        self.start_step(engine)

    def start_step(self, engine: Engine) -> None:
        if not engine.stepping and engine.up and engine.model.busy:
            engine.stepping = True
            step = engine.model.step()
            self.schedule(
                self.now + step.duration_s,
                self.finish_step,
                engine,
                engine.epoch,
                step.events,
            )

    def finish_step(self, engine: Engine, epoch: int, events: list[TokenEvent]) -> None:
        """Deliver the tokens of a step to the entries, and start the next step."""
        if epoch != engine.epoch:
            return
        engine.stepping = False
        for event in events:
            entry, attempt_id = event.sequence_id.split("/")
            attempt = self.attempts.get((int(entry), AttemptId(int(attempt_id))))
            if attempt is not None:
                self.deliver_token(attempt, event)
        self.start_step(engine)

    def deliver_token(self, attempt: Attempt, event: TokenEvent) -> None:
        request = attempt.request
        policy = self.policies[attempt.entry]
        if event.position != request.tokens + 1:
            raise AssertionError(f"token {event.position} after {request.tokens}")
        request.tokens += 1
        request.last_token_at = self.now
        if request.first_token_at is None:
            request.first_token_at = self.now
        self.score.record_token(request, self.now)
        ids = (attempt.request_id, attempt.attempt_id)
        actions = policy.record_tokens(*ids, 1, self.now)
        if event.last:
            del self.attempts[attempt.entry, attempt.attempt_id]
            del self.requests[attempt.request_id]
            self.record_end(request, "answered")
            actions = actions + policy.record_completion(*ids, self.now)
        self.execute(attempt.entry, actions)

    def report_failure(
        self,
        entry: int,
        request_id: RequestId,
        attempt_id: AttemptId,
        kind: FailureKind,
    ) -> None:
        policy = self.policies[entry]
        self.execute(
            entry, policy.record_failure(request_id, attempt_id, kind, self.now)
        )

    def report_load(self, engine: Engine) -> None:
        """Report an engine's load to every entry, as it was `report_lag_s` ago."""
        self.schedule(self.now + REPORT_INTERVAL_S, self.report_load, engine)
        if not engine.up:
            return
        model = engine.model
        fresh = LoadReport(len(model.running), len(model.waiting))
        engine.reports.append((self.now, fresh))
        due = self.now - engine.report_lag_s
        old = [item for item in engine.reports if item[0] <= due]
        if not old:
            return
        created_at, report = old[-1]
        engine.reports = [item for item in engine.reports if item[0] >= created_at]
        report = report._replace(age_s=self.now - created_at)
        backend_id = BackendId(engine.spec.name)
        for number, policy in enumerate(self.policies):
            self.execute(number, policy.record_load(backend_id, report, self.now))

    def record_open_requests(self) -> None:
        """Record each class's open requests at the end of a bucket."""
        bucket = int(self.now / BUCKET_S) - 1
        for name, count in self.open_requests.items():
            self.score.open_by_bucket[name, bucket] = count
        self.schedule(self.now + BUCKET_S, self.record_open_requests)

    # Faults

    def inject_fault(self, fault: Fault) -> None:
        match fault:
            case Straggle():
                engine = self.engines[fault.engine]
                engine.model.rates = engine.model.rates._replace(speed=fault.speed)
                engine.report_lag_s = fault.report_lag_s
            case Crash():
                self.crash_engine(self.engines[fault.engine], fault.down_s)
            case Evict():
                self.evict_zone(fault)
            case Poison():
                self.send_poison(fault, 0)
            case WithdrawKey():
                self.withdraw_key(fault.team)

    def crash_engine(self, engine: Engine, down_s: float | None) -> None:
        """Discard an engine's work; it restarts after `down_s`, or never if None."""
        engine.up = False
        engine.stepping = False
        engine.epoch += 1
        engine.model.clear()
        lost = [a for a in self.attempts.values() if a.engine is engine]
        for attempt in lost:
            del self.attempts[attempt.entry, attempt.attempt_id]
        for attempt in lost:
            ids = (attempt.request_id, attempt.attempt_id)
            self.report_failure(attempt.entry, *ids, FailureKind.CUT)
        if down_s is not None:
            self.schedule(self.now + down_s, self.restart_engine, engine)

    def restart_engine(self, engine: Engine) -> None:
        engine.up = True

    def evict_zone(self, fault: Evict) -> None:
        """Give notice to a zone's cheap engines, and to the entries with a delay."""
        self.schedule(self.now + LIST_DELAY_S, self.update_backends)
        for engine in self.engines.values():
            if engine.spec.cheap and engine.spec.zone == fault.zone:
                engine.leaving = True
                engine.gone_at = self.now + fault.notice_s
                self.schedule(self.now + fault.notice_s, self.remove_engine, engine)

    def remove_engine(self, engine: Engine) -> None:
        engine.removed = True
        self.crash_engine(engine, None)
        self.update_backends()

    def send_poison(self, fault: Poison, sent: int) -> None:
        request = LogicalRequest(
            next(self.request_numbers),
            fault.team,
            fault.class_name,
            self.now,
            100,
            1000,
            caller_timeout_s=30.0,
            poison=True,
            entry=self.random.randrange(len(self.policies)),
        )
        self.score.requests.append(request)
        self.submit(request)
        if sent + 1 < fault.times:
            self.schedule(self.now + fault.every_s, self.send_poison, fault, sent + 1)

    def crash_from_poison(self, engine: Engine, epoch: int) -> None:
        """Crash an engine that received a poison request, unless it crashed since."""
        if epoch == engine.epoch and engine.up:
            self.score.poison_crashes += 1
            self.crash_engine(engine, POISON_DOWNTIME_S)

    def withdraw_key(self, team: str) -> None:
        self.withdrawn_teams.add(team)
        for request_id, request in list(self.requests.items()):
            if request.team == team:
                self.cancel_request(request_id, "withdrawn", CancelReason.KEY_WITHDRAWN)


def sequence_id(attempt: Attempt) -> str:
    return f"{attempt.entry}/{attempt.attempt_id}"


def draw_length(draw: random.Random, mean: float) -> int:
    """Draw a log-normal length of this mean."""
    mu = math.log(mean) - LENGTH_SIGMA**2 / 2
    return max(1, round(draw.lognormvariate(mu, LENGTH_SIGMA)))


def rate_factor(phases: tuple[Phase, ...], class_name: str, when: float) -> float:
    """Return the factor by which phases raise a class's request rate at `when`."""
    factors = [
        phase.factor
        for phase in phases
        if phase.begin_s <= when < phase.end_s and phase.class_name in ("", class_name)
    ]
    return math.prod(factors)

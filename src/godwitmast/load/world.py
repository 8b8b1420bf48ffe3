"""Plays a scenario in virtual time: policies, modelled engines and callers.

It is a small model of what surrounds the decisions, not a cluster simulator: entries
tell each other of suspects and nothing else, and links take a fixed time.
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
from godwitmast.load.score import BUCKET_S, Need, Score
from godwitmast.standins.engine_model import EngineModel, Sequence, TokenEvent
from godwitmast.types import AttemptId, BackendId, RequestId, ZoneName

LINK_S = 0.001
TICK_S = 0.05
REPORT_EVERY_S = 1.0
REPORT_LAG_S = 1.0
LIST_LAG_S = 1.0
"""How long after an eviction notice the entries hear of it."""

PEER_S = 0.1
"""From one entry to another, by way of a few between them."""

POISON_FUSE_S = 0.1
POISON_DOWN_S = 10.0
SPREAD = 0.6
"""Sigma of the log-normal lengths: the longest in a hundred is four times the median."""

PATIENCE_OF_FIRST_TOKEN = 8.0
PATIENCE_OF_COMPLETION = 1.5
"""Callers hang up at this many times their targets."""

POLICIES = ("godwit", "fifo", "strict")


@dataclass
class Engine:
    """A modelled engine with its faults."""

    spec: EngineSpec
    model: EngineModel
    up: bool = True
    gone: bool = False
    leaving: bool = False
    gone_at: float | None = None
    stepping: bool = False
    report_lag_s: float = REPORT_LAG_S
    reports: list[tuple[float, LoadReport]] = field(default_factory=list)
    epoch: int = 0


@dataclass(slots=True)
class Attempt:
    """An attempt that runs on an engine."""

    entry: int
    attempt_id: AttemptId
    request_id: RequestId
    engine: Engine
    need: Need


def make_policy(name: str, document: Document, zone: str, seed: int) -> Policy:
    """Return a policy by the name that the command line gives it."""
    match name:
        case "godwit":
            return Router(document, ZoneName(zone), seed)
        case "fifo":
            return FifoLeastOutstanding(document)
        case "strict":
            return StrictRoundRobin(document)
        case _:
            raise ValueError(f"policy {name!r} is not one of {', '.join(POLICIES)}")


def make_document(scenario: Scenario) -> Document:
    """Return the configuration that the scenario's classes and teams make."""
    return parse_document(
        {
            "classes": scenario.classes,
            "teams": {name: {"weight": w} for name, w in scenario.teams.items()},
            "models": {MODEL: {}},
        }
    )


class World:
    """One play: a clock, a heap of events, and what they act on."""

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        # Arrivals draw from a generator of their own, so that every policy meets the
        # same requests whatever it does with them.
        self.arrivals = random.Random(seed)
        self.random = random.Random(seed + 1_000_003)
        self.document = make_document(scenario)
        self.score = Score(scenario)
        self.engines = {
            spec.name: Engine(spec, EngineModel(scenario.speed))
            for spec in scenario.engines
        }
        zones = scenario.zones
        self.policies = [
            make_policy(policy, self.document, zones[n % len(zones)], seed * 100 + n)
            for n in range(scenario.entries)
        ]
        self.requests: dict[RequestId, Need] = {}
        self.attempts: dict[tuple[int, AttemptId], Attempt] = {}
        self.cancelled: set[tuple[int, AttemptId]] = set()
        self.started: set[RequestId] = set()
        self.withdrawn_teams: set[str] = set()
        self.numbers = itertools.count(1)
        self.open_needs: dict[str, int] = dict.fromkeys(scenario.classes, 0)

    def at(self, when: float, event: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.heap, (when, next(self.order), event, args))

    def play(self) -> Score:
        """Run the scenario to its end and return its score."""
        self.list_backends()
        for number in range(len(self.policies)):
            self.at(TICK_S * (1 + number / len(self.policies)), self.tick, number)
        for engine in self.engines.values():
            self.at(0.0, self.report, engine)
        for source in self.scenario.sources:
            self.next_arrival(source)
        for fault in self.scenario.faults:
            self.at(fault.at_s, self.strike, fault)
        self.at(BUCKET_S, self.note_waiting)
        end = self.scenario.run_s + self.scenario.drain_s
        while self.heap and self.heap[0][0] <= end:
            self.now, _, event, args = heapq.heappop(self.heap)
            event(*args)
        self.score.generated_tokens = sum(
            engine.model.generated_total for engine in self.engines.values()
        )
        return self.score

    # Callers

    def next_arrival(self, source: Source) -> None:
        """Schedule the source's next request, by thinning against its highest rate."""
        whole = sum(item.share for item in self.scenario.sources)
        base = requests_per_s(self.scenario) * source.share / whole
        highest = max([1.0, *(p.factor for p in self.scenario.phases)])
        when = self.now
        while True:
            when += self.arrivals.expovariate(base * highest)
            if when >= self.scenario.run_s:
                return
            factor = rate_factor(self.scenario.phases, source.class_name, when)
            if self.arrivals.random() * highest < factor:
                break
        self.at(when, self.arrive, source, self.draw_need(source, when))

    def draw_need(self, source: Source, when: float) -> Need:
        draw = self.arrivals
        prefix = ""
        if source.prefixes:
            # Zipf-like: the first few prefixes take most of the requests.
            rank = int(source.prefixes ** draw.random())
            prefix = f"{source.class_name}-{rank}"
        prompt = length(draw, source.prompt_tokens) + source.prefix_tokens
        return Need(
            next(self.numbers),
            source.team,
            source.class_name,
            when,
            prompt,
            length(draw, source.answer_tokens),
            prefix,
            source.prefix_tokens,
            self.patience(source.class_name),
            entry=draw.randrange(len(self.policies)),
        )

    def patience(self, class_name: str) -> float:
        targets = self.document.classes[class_name]
        limits = []
        if targets.first_token_s:
            limits.append(targets.first_token_s * PATIENCE_OF_FIRST_TOKEN)
        if targets.completion_s:
            limits.append(targets.completion_s * PATIENCE_OF_COMPLETION)
        return min(limits, default=60.0)

    def arrive(self, source: Source, need: Need) -> None:
        self.score.needs.append(need)
        self.open_needs[need.class_name] += 1
        self.send(need)
        self.next_arrival(source)

    def send(self, need: Need) -> None:
        """Send a need to its entry, as a new request."""
        if need.team in self.withdrawn_teams:
            self.end(need, "withdrawn")
            return
        need.sends += 1
        request_id = RequestId(f"{need.number}.{need.sends}")
        self.requests[request_id] = need
        spec = RequestSpec(
            request_id,
            need.team,  # type: ignore[arg-type]
            need.class_name,  # type: ignore[arg-type]
            MODEL,  # type: ignore[arg-type]
            self.now,
            need.prompt_tokens,
            max_tokens=1024,
            fingerprint="poison" if need.poison else f"need-{need.number}",
            prefix=need.prefix,
        )
        self.at(self.now + need.patience_s, self.lose_patience, request_id)
        self.act(need.entry, self.policies[need.entry].submit(spec, self.now))

    def lose_patience(self, request_id: RequestId) -> None:
        """Hang up on an answer that has not begun by now."""
        need = self.requests.get(request_id)
        if need is None or need.outcome:
            return
        begun = need.first_token_at is not None
        if begun and not self.document.classes[need.class_name].completion_s:
            return
        self.hang_up(request_id, "gave up", CancelReason.CALLER_GONE)

    def hang_up(
        self, request_id: RequestId, outcome: str, reason: CancelReason
    ) -> None:
        need = self.requests.pop(request_id)
        self.end(need, outcome)
        actions = self.policies[need.entry].cancel_request(request_id, reason, self.now)
        self.act(need.entry, actions)

    def end(self, need: Need, outcome: str) -> None:
        self.open_needs[need.class_name] -= not need.outcome and not need.poison
        self.score.end(need, outcome, self.now)

    # Policies

    def tick(self, number: int) -> None:
        policy = self.policies[number]
        self.act(number, policy.tick(self.now))
        if isinstance(policy, Router):
            self.spread(number, policy)
        self.at(self.now + TICK_S, self.tick, number)

    def spread(self, number: int, router: Router) -> None:
        """Tell the other entries of suspects, as the peers' links do."""
        news = router.pop_poison_updates()
        for other in range(len(self.policies)):
            if news and other != number:
                self.at(self.now + PEER_S, self.hear, other, news)

    def hear(self, number: int, news: list[PoisonUpdate]) -> None:
        router = self.policies[number]
        assert isinstance(router, Router)
        self.act(number, router.apply_poison_updates(news, self.now))

    def act(self, entry: int, actions: list[Action]) -> None:
        """Carry out what a policy said."""
        for action in actions:
            match action:
                case Start():
                    self.started.add(action.request_id)
                    self.at(self.now + LINK_S, self.start, entry, action)
                case Cancel():
                    attempt = self.attempts.pop((entry, action.attempt_id), None)
                    if attempt:
                        attempt.engine.model.cancel(sequence_id(attempt))
                    else:
                        self.cancelled.add((entry, action.attempt_id))
                case Refuse():
                    self.refused(entry, action)

    def refused(self, entry: int, refusal: Refuse) -> None:
        """Let the caller of a refused request come back, or end its need."""
        need = self.requests.pop(refusal.request_id, None)
        if need is None:
            return
        score = self.score
        code = refusal.code.value
        score.refusals[code] = score.refusals.get(code, 0) + 1
        if not need.poison:
            score.innocent_refusals[code] = score.innocent_refusals.get(code, 0) + 1
        ran = refusal.request_id in self.started and need.tokens > 0
        score.not_run_but_ran += refusal.not_run is NotRun.TRUE and ran
        resend = self.scenario.resend
        if need.sends > resend.tries or need.tokens or need.poison:
            self.end(need, "failed" if need.tokens else "refused")
            return
        wait = resend.wait_s
        if resend.heed_retry_after:
            wait = refusal.retry_after_s or resend.wait_s
        need.entry = self.random.randrange(len(self.policies))
        self.at(self.now + wait, self.send, need)

    def list_backends(self) -> None:
        """Tell every entry which engines there are."""
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
            if not engine.gone
        ]
        for number, policy in enumerate(self.policies):
            self.act(number, policy.update_backends(specs, self.now))

    # Engines

    def start(self, entry: int, start: Start) -> None:
        """Hand an attempt to its engine, unless a cancel has overtaken it."""
        need = self.requests.get(start.request_id)
        if need is None or (entry, start.attempt_id) in self.cancelled:
            return
        engine = self.engines[start.backend_id]
        if not engine.up:
            self.fail(entry, start.request_id, start.attempt_id, FailureKind.CONNECT)
            return
        attempt = Attempt(entry, start.attempt_id, start.request_id, engine, need)
        self.attempts[entry, start.attempt_id] = attempt
        tier = self.document.classes[need.class_name].tier
        engine.model.submit(
            Sequence(
                sequence_id(attempt),
                need.prompt_tokens,
                need.answer_tokens,
                tier,
                need.prefix,
                need.prefix_tokens,
                start.resume_from,
            )
        )
        if need.poison:
            self.at(self.now + POISON_FUSE_S, self.explode, engine, engine.epoch)
        self.wake(engine)

    def wake(self, engine: Engine) -> None:
        if not engine.stepping and engine.up and engine.model.busy:
            engine.stepping = True
            step = engine.model.step()
            self.at(
                self.now + step.duration_s,
                self.stepped,
                engine,
                engine.epoch,
                step.events,
            )

    def stepped(self, engine: Engine, epoch: int, events: list[TokenEvent]) -> None:
        """Give the tokens of a step to the entries, and begin the next step."""
        if epoch != engine.epoch:
            return
        engine.stepping = False
        for event in events:
            entry, attempt_id = event.sequence_id.split("/")
            attempt = self.attempts.get((int(entry), AttemptId(int(attempt_id))))
            if attempt is not None:
                self.token(attempt, event)
        self.wake(engine)

    def token(self, attempt: Attempt, event: TokenEvent) -> None:
        need = attempt.need
        policy = self.policies[attempt.entry]
        if event.position != need.tokens + 1:
            raise AssertionError(f"token {event.position} after {need.tokens}")
        need.tokens += 1
        need.last_token_at = self.now
        if need.first_token_at is None:
            need.first_token_at = self.now
        self.score.token(need, self.now)
        ids = (attempt.request_id, attempt.attempt_id)
        actions = policy.record_tokens(*ids, 1, self.now)
        if event.last:
            del self.attempts[attempt.entry, attempt.attempt_id]
            del self.requests[attempt.request_id]
            self.end(need, "answered")
            actions = actions + policy.record_completion(*ids, self.now)
        self.act(attempt.entry, actions)

    def fail(
        self,
        entry: int,
        request_id: RequestId,
        attempt_id: AttemptId,
        kind: FailureKind,
    ) -> None:
        policy = self.policies[entry]
        self.act(entry, policy.record_failure(request_id, attempt_id, kind, self.now))

    def report(self, engine: Engine) -> None:
        """Let an engine report its load, as it was a while ago, to every entry."""
        self.at(self.now + REPORT_EVERY_S, self.report, engine)
        if not engine.up:
            return
        model = engine.model
        fresh = LoadReport(len(model.running), len(model.waiting))
        engine.reports.append((self.now, fresh))
        due = self.now - engine.report_lag_s
        old = [item for item in engine.reports if item[0] <= due]
        if not old:
            return
        made, report = old[-1]
        engine.reports = [item for item in engine.reports if item[0] >= made]
        report = report._replace(age_s=self.now - made)
        backend_id = BackendId(engine.spec.name)
        for number, policy in enumerate(self.policies):
            self.act(number, policy.record_load(backend_id, report, self.now))

    def note_waiting(self) -> None:
        """Note which classes had work open through the last bucket."""
        bucket = int(self.now / BUCKET_S) - 1
        for name, count in self.open_needs.items():
            self.score.waiting_at[name, bucket] = count
        self.at(self.now + BUCKET_S, self.note_waiting)

    # Faults

    def strike(self, fault: Fault) -> None:
        match fault:
            case Straggle():
                engine = self.engines[fault.engine]
                engine.model.rates = engine.model.rates._replace(speed=fault.speed)
                engine.report_lag_s = fault.report_lag_s
            case Crash():
                self.crash(self.engines[fault.engine], fault.down_s)
            case Evict():
                self.evict(fault)
            case Poison():
                self.send_poison(fault, 0)
            case WithdrawKey():
                self.withdraw_key(fault.team)

    def crash(self, engine: Engine, down_s: float | None) -> None:
        """Lose an engine's work; without `down_s` it does not come back."""
        engine.up = False
        engine.stepping = False
        engine.epoch += 1
        engine.model.clear()
        lost = [a for a in self.attempts.values() if a.engine is engine]
        for attempt in lost:
            del self.attempts[attempt.entry, attempt.attempt_id]
        for attempt in lost:
            ids = (attempt.request_id, attempt.attempt_id)
            self.fail(attempt.entry, *ids, FailureKind.CUT)
        if down_s is not None:
            self.at(self.now + down_s, self.come_back, engine)

    def come_back(self, engine: Engine) -> None:
        engine.up = True

    def evict(self, fault: Evict) -> None:
        """Give notice to a zone's cheap engines; the entries hear of it late."""
        self.at(self.now + LIST_LAG_S, self.list_backends)
        for engine in self.engines.values():
            if engine.spec.cheap and engine.spec.zone == fault.zone:
                engine.leaving = True
                engine.gone_at = self.now + fault.notice_s
                self.at(self.now + fault.notice_s, self.vanish, engine)

    def vanish(self, engine: Engine) -> None:
        engine.gone = True
        self.crash(engine, None)
        self.list_backends()

    def send_poison(self, fault: Poison, sent: int) -> None:
        need = Need(
            next(self.numbers),
            fault.team,
            fault.class_name,
            self.now,
            100,
            1000,
            patience_s=30.0,
            poison=True,
            entry=self.random.randrange(len(self.policies)),
        )
        self.score.needs.append(need)
        self.send(need)
        if sent + 1 < fault.times:
            self.at(self.now + fault.every_s, self.send_poison, fault, sent + 1)

    def explode(self, engine: Engine, epoch: int) -> None:
        """Crash an engine that a poison request still runs on."""
        if epoch == engine.epoch and engine.up:
            self.score.poison_crashes += 1
            self.crash(engine, POISON_DOWN_S)

    def withdraw_key(self, team: str) -> None:
        self.withdrawn_teams.add(team)
        for request_id, need in list(self.requests.items()):
            if need.team == team:
                self.hang_up(request_id, "withdrawn", CancelReason.KEY_WITHDRAWN)


def sequence_id(attempt: Attempt) -> str:
    return f"{attempt.entry}/{attempt.attempt_id}"


def length(draw: random.Random, mean: float) -> int:
    """Return a log-normal length of this mean."""
    middle = math.log(mean) - SPREAD**2 / 2
    return max(1, round(draw.lognormvariate(middle, SPREAD)))


def rate_factor(phases: tuple[Phase, ...], class_name: str, when: float) -> float:
    """Return how many times more often than usual a class comes at `when`."""
    factors = [
        phase.factor
        for phase in phases
        if phase.begin_s <= when < phase.end_s and phase.class_name in ("", class_name)
    ]
    return math.prod(factors)

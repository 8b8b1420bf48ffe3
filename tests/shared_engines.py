"""Many routers before the same engines, with short prompts beside long ones, in virtual
time. A router hears of an engine's load only with the first events of its own requests.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from event_heap import EventHeap
from godwitmast.config.document import Document
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    LoadReport,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.placement import PromptPart
from godwitmast.dispatch.router import Router
from godwitmast.dispatch.router_count import RouterCount
from godwitmast.standins.engine_model import EngineModel, EngineSpeed, Sequence
from godwitmast.types import BackendId, RequestId, ZoneName

POOL = "lm"
ZONES = 3
PLACES = 16
TICK_S = 0.05
LINK_S = 0.002

ENGINE = EngineSpeed(
    step_s=0.031,
    sequence_s=0.0005,
    prompt_tokens_per_s=66_000.0,
    chunk_tokens=4096,
    max_batch=PLACES,
)
"""A step generates an event of eight tokens."""


class Kind(NamedTuple):
    """A kind of request; `parts` are the tokens of the shared and of its own part."""

    name: str
    per_s: float
    parts: tuple[int, int]
    events: int
    first_s: float
    patience_s: float


KINDS = (
    Kind("question", 70.0, (198, 628), 36, 0.519, 2.076),
    Kind("mark", 70.0, (568, 1800), 3, 1.222, 3.0),
    Kind("review", 40.0, (5382, 6610), 48, 2.045, 8.18),
)

DOCUMENT: Document = parse_document(
    {
        "classes": {
            "question": {"tier": 1, "first_token_s": 0.519, "between_tokens_s": 0.2},
            "mark": {"tier": 2, "first_token_s": 1.222, "between_tokens_s": 0.3},
            "review": {"tier": 3, "first_token_s": 2.045, "between_tokens_s": 0.8},
        },
        "teams": {"arima": {}},
        "models": {POOL: {}},
    }
)


@dataclass
class Call:
    """A request of a caller."""

    kind: Kind
    arrived: float
    router: int
    first_at: float | None = None
    outcome: str = ""
    engine: BackendId | None = None

    @property
    def is_in_time(self) -> bool:
        return self.first_at is not None and (
            self.first_at - self.arrived <= self.kind.first_s
        )


@dataclass
class Engine:
    """An engine with the attempts that it runs."""

    spec: BackendSpec
    model: EngineModel = field(default_factory=lambda: EngineModel(ENGINE))
    attempts: dict[str, tuple[int, Start]] = field(default_factory=dict)
    is_stepping: bool = False


class SharedEngines(EventHeap):
    """Routers, engines and callers on a heap of events."""

    def __init__(self, routers: int, engines: int, seed: int, cheap: int = 0) -> None:
        super().__init__(seed)
        self.engines: dict[BackendId, Engine] = {}
        for number in range(engines):
            backend_id = BackendId(f"e{self.random.randrange(1 << 40):x}")
            zone = ZoneName(f"z{number % ZONES}")
            spec = BackendSpec(backend_id, zone, frozenset([POOL]), places=PLACES)
            is_cheap = number >= engines - cheap
            self.engines[backend_id] = Engine(spec._replace(cheap=is_cheap))
        self.routers = []
        for number in range(routers):
            count = RouterCount()
            count.update(routers, 0.0)
            zone = ZoneName(f"z{number % ZONES}")
            seed = self.random.randrange(1 << 30)
            self.routers.append(Router(DOCUMENT, zone, seed, router_count=count))
            self.schedule(self.random.random() * TICK_S, self.tick, number)
        self.calls: list[Call] = []
        self.open: dict[RequestId, Call] = {}
        self.list_engines()

    def list_engines(self) -> None:
        specs = [engine.spec for engine in self.engines.values()]
        for number, router in enumerate(self.routers):
            self.execute(number, router.update_backends(specs, self.now))

    def leave(self, backend_ids: Iterable[BackendId]) -> None:
        """Let engines leave: they end what they run, and get nothing new."""
        for backend_id in backend_ids:
            engine = self.engines[backend_id]
            engine.spec = engine.spec._replace(leaving=True)
        self.list_engines()

    @property
    def staying(self) -> list[BackendId]:
        return [k for k, item in self.engines.items() if not item.spec.leaving]

    # Callers

    def start_load(self, until: float, factor: float = 1.0) -> None:
        for kind in KINDS:
            self.send_next(kind, kind.per_s * factor, until)

    def send_next(self, kind: Kind, per_s: float, until: float) -> None:
        if self.now >= until:
            return
        self.send(kind)
        wait_s = self.random.expovariate(per_s)
        self.schedule(wait_s, self.send_next, kind, per_s, until)

    def send(self, kind: Kind) -> None:
        number = self.random.randrange(len(self.routers))
        request_id = RequestId(f"r{next(self.numbers)}")
        call = Call(kind, self.now, number)
        self.calls.append(call)
        self.open[request_id] = call
        shared, own = kind.parts
        subject = f"{kind.name}-{self.random.randrange(40)}"
        spec = RequestSpec(
            request_id,
            "arima",  # type: ignore[arg-type]
            kind.name,  # type: ignore[arg-type]
            POOL,  # type: ignore[arg-type]
            self.now,
            shared + own,
            kind.events,
            self.now + 6 * kind.patience_s,
            parts=(PromptPart(subject, shared), PromptPart(str(request_id), own)),
        )
        self.schedule(kind.patience_s, self.give_up, request_id)
        self.execute(number, self.routers[number].submit(spec, self.now))

    def give_up(self, request_id: RequestId) -> None:
        call = self.open.get(request_id)
        if call is None or call.first_at is not None:
            return
        del self.open[request_id]
        call.outcome = "gave up"
        router = self.routers[call.router]
        reason = CancelReason.CALLER_GONE
        self.execute(call.router, router.cancel_request(request_id, reason, self.now))

    # Routers

    def tick(self, number: int) -> None:
        self.execute(number, self.routers[number].tick(self.now))
        self.schedule(TICK_S, self.tick, number)

    def execute(self, number: int, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Start():
                    self.schedule(LINK_S, self.start, number, action)
                case Cancel():
                    key = f"{number}/{action.attempt_id}"
                    for engine in self.engines.values():
                        if engine.attempts.pop(key, None):
                            engine.model.cancel(key)
                case Refuse():
                    call = self.open.pop(action.request_id, None)
                    if call is not None:
                        call.outcome = "refused"

    # Engines

    def start(self, number: int, start: Start) -> None:
        call = self.open.get(start.request_id)
        active = self.routers[number].active_requests.get(start.request_id)
        if call is None or active is None or active.attempt_id != start.attempt_id:
            return
        engine = self.engines[start.backend_id]
        call.engine = start.backend_id
        key = f"{number}/{start.attempt_id}"
        engine.attempts[key] = (number, start)
        shared, own = call.kind.parts
        tier = DOCUMENT.classes[call.kind.name].tier
        subject = active.request.parts[0].part_id
        engine.model.submit(
            Sequence(
                key,
                shared + own,
                call.kind.events,
                tier,
                subject,
                shared,
                active.tokens,
            )
        )
        self.step(engine)

    def step(self, engine: Engine) -> None:
        if not engine.is_stepping and engine.model.busy:
            engine.is_stepping = True
            step = engine.model.step()
            self.schedule(step.duration_s, self.end_step, engine, step.events)

    def end_step(self, engine: Engine, events: list[Any]) -> None:
        engine.is_stepping = False
        for event in events:
            if event.sequence_id in engine.attempts:
                self.deliver(engine, event)
        self.step(engine)

    def deliver(self, engine: Engine, event: Any) -> None:
        number, start = engine.attempts[event.sequence_id]
        router = self.routers[number]
        call = self.open[start.request_id]
        ids = (start.request_id, start.attempt_id)
        active = router.active_requests.get(start.request_id)
        assert active is not None
        if active.first_token_at is None:
            model = engine.model
            report = LoadReport(len(model.running), len(model.waiting))
            loaded = router.record_load(start.backend_id, report, self.now)
            self.execute(number, loaded)
        call.first_at = call.first_at or self.now
        self.execute(number, router.record_tokens(*ids, 1, self.now))
        if event.last:
            del engine.attempts[event.sequence_id]
            del self.open[start.request_id]
            call.outcome = "answered"
            self.execute(number, router.record_completion(*ids, self.now))

    # Results

    def arrived(self, kind: str, begin: float, end: float) -> list[Call]:
        return [
            c for c in self.calls if c.kind.name == kind and begin <= c.arrived < end
        ]

    def share_in_time(self, kind: str, begin: float, end: float) -> float:
        calls = self.arrived(kind, begin, end)
        return sum(call.is_in_time for call in calls) / len(calls)

    def unserved(self, kind: str, begin: float, end: float) -> int:
        return sum(c.first_at is None for c in self.arrived(kind, begin, end))

    def engines_of(self, kind: str, begin: float, end: float) -> Counter[BackendId]:
        calls = self.arrived(kind, begin, end)
        return Counter(call.engine for call in calls if call.engine is not None)

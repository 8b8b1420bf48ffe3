"""Policies to compare with: what a plain proxy does, and plain strict priority."""

import itertools
from collections import deque
from dataclasses import dataclass, field

from godwitmast.config.document import Document
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    FailureKind,
    LoadReport,
    NotRun,
    RefusalCode,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.types import AttemptId, BackendId, RequestId

QUEUE_LIMIT = 1000
"""A plain proxy's queue is long, but it has an end."""

IN_FLIGHT_LIMIT = 16
"""Twice the model engine's batch: enough to keep it busy."""

MAX_ATTEMPTS = 3


@dataclass(slots=True)
class Held:
    """A request that the baseline has taken."""

    request: RequestSpec
    attempt_id: AttemptId | None = None
    backend_id: BackendId | None = None
    attempts: int = 0
    tokens: int = 0


@dataclass
class Baseline:
    """What both baselines share: queue, in-flight counts, retry on failure."""

    document: Document
    backends: dict[BackendId, BackendSpec] = field(default_factory=dict)
    in_flight: dict[BackendId, int] = field(default_factory=dict)
    held: dict[RequestId, Held] = field(default_factory=dict)
    queue: deque[RequestId] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.attempt_ids = itertools.count(1)

    def update_config(self, document: Document, now: float) -> list[Action]:
        self.document = document
        return []

    def update_backends(self, backends: list[BackendSpec], now: float) -> list[Action]:
        self.backends = {b.backend_id: b for b in backends if not b.leaving}
        for backend in backends:
            self.in_flight.setdefault(backend.backend_id, 0)
        return self.pump()

    def submit(self, request: RequestSpec, now: float) -> list[Action]:
        if len(self.queue) >= QUEUE_LIMIT:
            refusal = Refuse(request.request_id, RefusalCode.SHED, NotRun.TRUE, 1.0)
            return [refusal]
        self.held[request.request_id] = Held(request)
        self.queue.append(request.request_id)
        return self.pump()

    def record_tokens(
        self, request_id: RequestId, attempt_id: AttemptId, count: int, now: float
    ) -> list[Action]:
        self.held[request_id].tokens += count
        return []

    def record_completion(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]:
        self.release(self.held.pop(request_id))
        return self.pump()

    def record_failure(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        kind: FailureKind,
        now: float,
    ) -> list[Action]:
        """Retry what has not begun to answer; a plain proxy does not resume."""
        held = self.held[request_id]
        self.release(held)
        if held.attempts >= MAX_ATTEMPTS or held.tokens:
            del self.held[request_id]
            refusal = Refuse(request_id, RefusalCode.BACKEND_FAILED, NotRun.UNKNOWN)
            return [refusal, *self.pump()]
        self.queue.appendleft(request_id)
        return self.pump()

    def cancel_request(
        self, request_id: RequestId, reason: CancelReason, now: float
    ) -> list[Action]:
        held = self.held.pop(request_id, None)
        if held is None:
            return []
        if held.attempt_id is None:
            self.queue.remove(request_id)
            return []
        cancel = Cancel(request_id, held.attempt_id, reason)
        self.release(held)
        return [cancel, *self.pump()]

    def record_load(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> list[Action]:
        return []

    def tick(self, now: float) -> list[Action]:
        return []

    def release(self, held: Held) -> None:
        if held.backend_id is not None:
            self.in_flight[held.backend_id] -= 1
        held.attempt_id = held.backend_id = None

    def pump(self) -> list[Action]:
        actions: list[Action] = []
        while self.queue:
            free = [b for b in self.backends if self.in_flight[b] < IN_FLIGHT_LIMIT]
            if not free:
                break
            held = self.held[self.take_next()]
            backend_id = self.choose(free)
            held.attempt_id = AttemptId(next(self.attempt_ids))
            held.backend_id = backend_id
            held.attempts += 1
            self.in_flight[backend_id] += 1
            actions.append(
                Start(held.request.request_id, held.attempt_id, backend_id, 0)
            )
        return actions

    def take_next(self) -> RequestId:
        raise NotImplementedError

    def choose(self, free: list[BackendId]) -> BackendId:
        raise NotImplementedError


class FifoLeastOutstanding(Baseline):
    """First come, first served, to the server with the fewest requests."""

    def take_next(self) -> RequestId:
        return self.queue.popleft()

    def choose(self, free: list[BackendId]) -> BackendId:
        return min(free, key=lambda backend_id: self.in_flight[backend_id])


class StrictRoundRobin(Baseline):
    """The highest tier first, always, to one server after the other."""

    turn = 0

    def take_next(self) -> RequestId:
        best = min(
            self.queue,
            key=lambda i: self.document.classes[self.held[i].request.class_name].tier,
        )
        self.queue.remove(best)
        return best

    def choose(self, free: list[BackendId]) -> BackendId:
        self.turn += 1
        return free[self.turn % len(free)]

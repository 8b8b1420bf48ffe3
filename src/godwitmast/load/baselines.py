"""Baseline policies for comparison: a plain proxy, and strict priority."""

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
"""The queue of a plain proxy is long but bounded."""

IN_FLIGHT_LIMIT = 16
"""Twice the model engine's batch, which is enough to keep it busy."""

MAX_ATTEMPTS = 3


@dataclass(slots=True)
class ActiveRequest:
    """An accepted request that has not ended, waiting or running."""

    request: RequestSpec
    attempt_id: AttemptId | None = None
    backend_id: BackendId | None = None
    attempts: int = 0
    tokens: int = 0


@dataclass
class Baseline:
    """Base class of the baselines: queue, in-flight counts and retry on failure."""

    document: Document
    backends: dict[BackendId, BackendSpec] = field(default_factory=dict)
    in_flight: dict[BackendId, int] = field(default_factory=dict)
    active_requests: dict[RequestId, ActiveRequest] = field(default_factory=dict)
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
        return self.start_waiting()

    def submit(self, request: RequestSpec, now: float) -> list[Action]:
        if len(self.queue) >= QUEUE_LIMIT:
            refusal = Refuse(request.request_id, RefusalCode.SHED, NotRun.TRUE, 1.0)
            return [refusal]
        self.active_requests[request.request_id] = ActiveRequest(request)
        self.queue.append(request.request_id)
        return self.start_waiting()

    def record_tokens(
        self, request_id: RequestId, attempt_id: AttemptId, count: int, now: float
    ) -> list[Action]:
        self.active_requests[request_id].tokens += count
        return []

    def record_completion(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]:
        self.release(self.active_requests.pop(request_id))
        return self.start_waiting()

    def record_error_answer(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]:
        return self.record_completion(request_id, attempt_id, now)

    def record_failure(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        kind: FailureKind,
        now: float,
    ) -> list[Action]:
        """Retry a request without tokens; a plain proxy does not resume streams.

        Refuse it after `MAX_ATTEMPTS` attempts.
        """
        active = self.active_requests[request_id]
        self.release(active)
        if active.attempts >= MAX_ATTEMPTS or active.tokens:
            del self.active_requests[request_id]
            refusal = Refuse(request_id, RefusalCode.BACKEND_FAILED, NotRun.UNKNOWN)
            return [refusal, *self.start_waiting()]
        self.queue.appendleft(request_id)
        return self.start_waiting()

    def cancel_request(
        self, request_id: RequestId, reason: CancelReason, now: float
    ) -> list[Action]:
        active = self.active_requests.pop(request_id, None)
        if active is None:
            return []
        if active.attempt_id is None:
            self.queue.remove(request_id)
            return []
        cancel = Cancel(request_id, active.attempt_id, reason)
        self.release(active)
        return [cancel, *self.start_waiting()]

    def record_load(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> list[Action]:
        return []

    def tick(self, now: float) -> list[Action]:
        return []

    def release(self, active: ActiveRequest) -> None:
        if active.backend_id is not None:
            self.in_flight[active.backend_id] -= 1
        active.attempt_id = active.backend_id = None

    def start_waiting(self) -> list[Action]:
        actions: list[Action] = []
        while self.queue:
            free = [b for b in self.backends if self.in_flight[b] < IN_FLIGHT_LIMIT]
            if not free:
                break
            active = self.active_requests[self.pop_next()]
            backend_id = self.choose_backend(free)
            active.attempt_id = AttemptId(next(self.attempt_ids))
            active.backend_id = backend_id
            active.attempts += 1
            self.in_flight[backend_id] += 1
            actions.append(
                Start(active.request.request_id, active.attempt_id, backend_id, 0)
            )
        return actions

    def pop_next(self) -> RequestId:
        raise NotImplementedError

    def choose_backend(self, free: list[BackendId]) -> BackendId:
        raise NotImplementedError


class FifoLeastOutstanding(Baseline):
    """First in, first out, on the server with the fewest requests in flight."""

    def pop_next(self) -> RequestId:
        return self.queue.popleft()

    def choose_backend(self, free: list[BackendId]) -> BackendId:
        return min(free, key=lambda backend_id: self.in_flight[backend_id])


class StrictRoundRobin(Baseline):
    """Strict priority by tier, with the servers in round-robin order."""

    starts = 0

    def pop_next(self) -> RequestId:
        best = min(
            self.queue,
            key=lambda i: (
                self.document.classes[self.active_requests[i].request.class_name].tier
            ),
        )
        self.queue.remove(best)
        return best

    def choose_backend(self, free: list[BackendId]) -> BackendId:
        self.starts += 1
        return free[self.starts % len(free)]

"""The admitted requests that have not ended, by id and by the server on which they
run."""

import math
from dataclasses import dataclass, field

from godwitmast.config.document import RequestClass
from godwitmast.dispatch.messages import RequestSpec
from godwitmast.types import AttemptId, BackendId, PoolName, RequestId


@dataclass(slots=True)
class ActiveRequest:
    """An admitted request that has not ended.

    `tokens` are those that its caller has; the times are of the present attempt.
    """

    request: RequestSpec
    request_class: RequestClass
    attempt_id: AttemptId | None = None
    backend_id: BackendId | None = None
    failures: int = 0
    unsent_failures: int = 0
    tokens: int = 0
    may_have_run: bool = False
    run_count: int = 0
    """Servers that may have run it, the present one among them."""
    avoid: set[BackendId] = field(default_factory=set)
    started_at: float = 0.0
    first_token_at: float | None = None
    last_token_at: float = 0.0
    has_survived: bool = False
    """It has been writing for longer than what crashes an engine does."""
    pending_tokens: float = 0.0
    """Tokens of the prompt that the present server has still to prefill."""
    version: str | None = None
    """Software version of the server that began its stream, to which it is bound."""
    started_at_incarnation: int = 0
    """Start of the present server, as it was listed when the attempt started."""

    @property
    def may_move(self) -> bool:
        """Return whether the attempt may be ended and run again elsewhere.

        A non-idempotent request may not: it may have been sent, and may have run.
        """
        running = self.request.idempotent and self.attempt_id is not None
        return running and self.may_run_again

    @property
    def may_run_again(self) -> bool:
        """Return whether its route allows another server to run it."""
        return self.attempts_left is None or self.attempts_left > 0

    @property
    def attempts_left(self) -> int | None:
        """Return how many more servers may run it, None if that is not bounded."""
        most = self.request.attempts
        return None if most is None else most - self.run_count


class ActiveRequests:
    """All active requests."""

    def __init__(self) -> None:
        self.by_id: dict[RequestId, ActiveRequest] = {}
        self.by_server: dict[BackendId, dict[RequestId, ActiveRequest]] = {}
        self.last_attempt_id = 0

    def add(self, active: ActiveRequest) -> None:
        self.by_id[active.request.request_id] = active

    def get(self, request_id: RequestId) -> ActiveRequest | None:
        return self.by_id.get(request_id)

    def remove(self, active: ActiveRequest) -> None:
        del self.by_id[active.request.request_id]

    def find_attempt(
        self, request_id: RequestId, attempt_id: AttemptId
    ) -> ActiveRequest | None:
        """Return the request if `attempt_id` is its current attempt.

        A cancelled attempt may still report; its report must not end or continue the
        attempt that replaced it.
        """
        active = self.by_id.get(request_id)
        if active is None or active.attempt_id != attempt_id:
            return None
        return active

    def start_attempt(
        self, active: ActiveRequest, backend_id: BackendId, now: float
    ) -> AttemptId:
        """Start a new attempt on a server."""
        self.last_attempt_id += 1
        active.attempt_id = AttemptId(self.last_attempt_id)
        active.backend_id = backend_id
        active.started_at = active.last_token_at = now
        active.first_token_at = None
        active.has_survived = False
        active.run_count += 1
        self.by_server.setdefault(backend_id, {})[active.request.request_id] = active
        return active.attempt_id

    def end_attempt(self, active: ActiveRequest) -> BackendId | None:
        """End the request's attempt; return the server that it ran on."""
        backend_id = active.backend_id
        if backend_id is not None:
            server_requests = self.by_server[backend_id]
            del server_requests[active.request.request_id]
            if not server_requests:
                del self.by_server[backend_id]
        active.attempt_id = active.backend_id = None
        return backend_id

    def on_server(self, backend_id: BackendId) -> list[ActiveRequest]:
        """Return the requests that run on a server, oldest attempt first."""
        return list(self.by_server.get(backend_id, {}).values())

    def oldest_attempts(self) -> dict[PoolName, float]:
        """Return when the oldest running attempt of each pool started."""
        oldest: dict[PoolName, float] = {}
        for requests in self.by_server.values():
            for active in requests.values():
                pool = active.request.pool
                oldest[pool] = min(active.started_at, oldest.get(pool, math.inf))
        return oldest

"""The interface of a routing policy to the entry and the scenario player.

The product's policy is `dispatch.router.Router`; the player also plays baselines.
"""

from typing import Protocol

from godwitmast.config.document import Document
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    CancelReason,
    FailureKind,
    LoadReport,
    RequestSpec,
)
from godwitmast.types import AttemptId, BackendId, RequestId


class Policy(Protocol):
    """The methods that the entry and the scenario player call on a routing policy."""

    def update_config(self, document: Document, now: float) -> list[Action]: ...

    def update_backends(
        self, backends: list[BackendSpec], now: float
    ) -> list[Action]: ...

    def submit(self, request: RequestSpec, now: float) -> list[Action]: ...

    def record_tokens(
        self, request_id: RequestId, attempt_id: AttemptId, count: int, now: float
    ) -> list[Action]: ...

    def record_completion(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]: ...

    def record_error_answer(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]: ...

    def record_failure(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        kind: FailureKind,
        now: float,
    ) -> list[Action]: ...

    def cancel_request(
        self, request_id: RequestId, reason: CancelReason, now: float
    ) -> list[Action]: ...

    def record_load(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> list[Action]: ...

    def tick(self, now: float) -> list[Action]: ...

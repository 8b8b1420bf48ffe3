"""The router: admission and dispatch together, driven by `now` and by events.

The entry and the scenario player drive the same object. Every method returns the
actions that its event led to; the caller carries them out in order.
"""

from dataclasses import dataclass, field
from typing import Protocol

from godwitmast.admission.queue import Admission
from godwitmast.config.document import Document
from godwitmast.dispatch.backends import BackendTable
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
from godwitmast.types import AttemptId, BackendId, RequestId, ZoneName

MAX_ATTEMPTS = 3
"""A request that failed on this many servers is more likely the cause than they."""


class Policy(Protocol):
    """What the entry and the scenario player need of a routing policy."""

    def update_config(self, document: Document, now: float) -> list[Action]: ...

    def update_backends(
        self, backends: list[BackendSpec], now: float
    ) -> list[Action]: ...

    def submit(self, request: RequestSpec, now: float) -> list[Action]: ...

    def tokens_came(
        self, request_id: RequestId, attempt_id: AttemptId, count: int, now: float
    ) -> list[Action]: ...

    def finished(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]: ...

    def failed(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        kind: FailureKind,
        now: float,
    ) -> list[Action]: ...

    def withdraw(
        self, request_id: RequestId, reason: CancelReason, now: float
    ) -> list[Action]: ...

    def load_reported(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> list[Action]: ...

    def tick(self, now: float) -> list[Action]: ...


@dataclass(slots=True)
class Flight:
    """A request that was let in and has not ended."""

    request: RequestSpec
    attempt_id: AttemptId | None = None
    backend_id: BackendId | None = None
    attempts: int = 0
    tokens: int = 0
    may_have_run: bool = False
    avoid: set[BackendId] = field(default_factory=set)


class Router:
    """The policy that the product runs."""

    def __init__(self, document: Document, zone: ZoneName, seed: int = 0) -> None:
        self.admission = Admission(document, seed)
        self.backends = BackendTable(zone, seed)
        self.flights: dict[RequestId, Flight] = {}
        self.last_attempt = 0

    def update_config(self, document: Document, now: float) -> list[Action]:
        self.admission.update_config(document)
        return self.pump(now)

    def update_backends(self, backends: list[BackendSpec], now: float) -> list[Action]:
        self.backends.update(backends)
        return self.pump(now)

    def submit(self, request: RequestSpec, now: float) -> list[Action]:
        """Let the request in, or refuse it."""
        self.flights[request.request_id] = Flight(request)
        refusals = self.forget_refused(self.admission.offer(request, now))
        return [*refusals, *self.pump(now)]

    def tokens_came(
        self, request_id: RequestId, attempt_id: AttemptId, count: int, now: float
    ) -> list[Action]:
        """Note tokens that were passed on to the caller."""
        flight = self.owner(request_id, attempt_id)
        if flight:
            flight.tokens += count
            self.admission.tokens_came(flight.request, count, now)
        return []

    def finished(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]:
        """Note that an attempt gave its whole answer."""
        flight = self.owner(request_id, attempt_id)
        if flight is None:
            return []
        self.release(flight)
        self.end(flight, now, whole=True)
        return self.pump(now)

    def failed(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        kind: FailureKind,
        now: float,
    ) -> list[Action]:
        """Retry a failed attempt elsewhere where that is safe, or give up."""
        flight = self.owner(request_id, attempt_id)
        if flight is None:
            return []
        if flight.backend_id:
            flight.avoid.add(flight.backend_id)
        self.release(flight)
        if kind not in (FailureKind.CONNECT, FailureKind.REFUSED):
            flight.may_have_run = True
        unsafe = flight.may_have_run and not flight.request.idempotent
        if unsafe or flight.attempts >= MAX_ATTEMPTS:
            self.end(flight, now)
            not_run = NotRun.UNKNOWN if flight.may_have_run else NotRun.TRUE
            refusal = Refuse(request_id, RefusalCode.BACKEND_FAILED, not_run)
            return [refusal, *self.pump(now)]
        self.admission.put_back(flight.request, now)
        return self.pump(now)

    def withdraw(
        self, request_id: RequestId, reason: CancelReason, now: float
    ) -> list[Action]:
        """End a request whose caller went away or lost its key."""
        flight = self.flights.get(request_id)
        if flight is None:
            return []
        actions: list[Action] = []
        if flight.attempt_id is None:
            self.admission.remove(flight.request)
        else:
            actions.append(Cancel(request_id, flight.attempt_id, reason))
            self.release(flight)
        self.end(flight, now)
        return [*actions, *self.pump(now)]

    def load_reported(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> list[Action]:
        self.backends.load_reported(backend_id, report, now)
        return self.pump(now)

    def tick(self, now: float) -> list[Action]:
        """Refuse what waited too long, and start what can be started."""
        refusals = self.forget_refused(self.admission.expire(now))
        return [*refusals, *self.pump(now)]

    def forget_refused(self, refusals: list[Refuse]) -> list[Action]:
        """Forget requests that admission turned away, and tell what may have run."""
        actions: list[Action] = []
        for refusal in refusals:
            flight = self.flights.pop(refusal.request_id)
            if flight.may_have_run:
                refusal = refusal_of_started(refusal)
            actions.append(refusal)
        return actions

    def pump(self, now: float) -> list[Action]:
        """Start waiting requests while there is room for them."""
        actions: list[Action] = []
        for pool in self.admission.waiting_pools():
            while self.backends.has_room(pool, now):
                request = self.admission.next(pool, now)
                if request is None:
                    break
                actions.append(self.start(self.flights[request.request_id], now))
            actions += self.preempt(pool, now)
        return actions

    def preempt(self, pool: str, now: float) -> list[Action]:
        """Interrupt lower tiers for requests that would otherwise be too late.

        The attempt that is cancelled may have run, so that a later refusal of its
        request does not claim otherwise.
        """
        actions: list[Action] = []
        while preemption := self.admission.preempt(pool, now):
            victim = self.flights[preemption.victim.request_id]
            assert victim.attempt_id is not None, "only what runs is interrupted"
            actions.append(
                Cancel(
                    victim.request.request_id,
                    victim.attempt_id,
                    CancelReason.PREEMPTED,
                )
            )
            victim.may_have_run = True
            self.release(victim)
            actions.append(self.start(self.flights[preemption.request.request_id], now))
        return actions

    def start(self, flight: Flight, now: float) -> Start:
        """Place a request that admission handed over."""
        request = flight.request
        backend_id = self.backends.choose(request, flight.avoid, now)
        self.last_attempt += 1
        flight.attempt_id = AttemptId(self.last_attempt)
        flight.backend_id = backend_id
        flight.attempts += 1
        self.backends.started(backend_id)
        return Start(request.request_id, flight.attempt_id, backend_id, flight.tokens)

    def owner(self, request_id: RequestId, attempt_id: AttemptId) -> Flight | None:
        """Return the request if `attempt_id` still owns its caller's stream.

        An attempt that was cancelled may still report; what it says must not end or
        feed the attempt that took its place.
        """
        flight = self.flights.get(request_id)
        if flight is None or flight.attempt_id != attempt_id:
            return None
        return flight

    def release(self, flight: Flight) -> None:
        """Free the server that an attempt held."""
        if flight.backend_id is not None:
            self.backends.ended(flight.backend_id)
        flight.attempt_id = None
        flight.backend_id = None

    def end(self, flight: Flight, now: float, whole: bool = False) -> None:
        del self.flights[flight.request.request_id]
        self.admission.ended(flight.request, now, whole)


def refusal_of_started(refusal: Refuse) -> Refuse:
    """Return the refusal without its claim that nothing ran."""
    return Refuse(
        refusal.request_id, refusal.code, NotRun.UNKNOWN, refusal.retry_after_s
    )

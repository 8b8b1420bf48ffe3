"""The requests that were let in, by their ids and by the servers they run on."""

from dataclasses import dataclass, field

from godwitmast.config.document import RequestClass
from godwitmast.dispatch.messages import RequestSpec
from godwitmast.types import AttemptId, BackendId, RequestId


@dataclass(slots=True)
class Flight:
    """A request that was let in and has not ended.

    `tokens` are those that its caller has; the times are of the present attempt.
    """

    request: RequestSpec
    target: RequestClass
    attempt_id: AttemptId | None = None
    backend_id: BackendId | None = None
    failures: int = 0
    unsent: int = 0
    tokens: int = 0
    may_have_run: bool = False
    runs: int = 0
    """Servers that may have run it, the present one among them."""
    avoid: set[BackendId] = field(default_factory=set)
    started_at: float = 0.0
    first_token_at: float | None = None
    last_token_at: float = 0.0
    unread: float = 0.0
    """Tokens of the prompt that the present server has still to read."""

    @property
    def may_move(self) -> bool:
        """Return whether the attempt may be ended and run again elsewhere.

        A non-idempotent call may not: its bytes may have left, and may have run.
        """
        running = self.request.idempotent and self.attempt_id is not None
        return running and self.may_run_again

    @property
    def may_run_again(self) -> bool:
        """Return whether its route allows another server to run it."""
        most = self.request.attempts
        return most is None or self.runs < most


class FlightBook:
    """All flights."""

    def __init__(self) -> None:
        self.flights: dict[RequestId, Flight] = {}
        self.aboard: dict[BackendId, dict[RequestId, Flight]] = {}
        self.last_attempt = 0

    def add(self, flight: Flight) -> None:
        self.flights[flight.request.request_id] = flight

    def get(self, request_id: RequestId) -> Flight | None:
        return self.flights.get(request_id)

    def remove(self, flight: Flight) -> None:
        del self.flights[flight.request.request_id]

    def owner(self, request_id: RequestId, attempt_id: AttemptId) -> Flight | None:
        """Return the request if `attempt_id` still owns its caller's stream.

        An attempt that was cancelled may still report; what it says must not end or
        feed the attempt that took its place.
        """
        flight = self.flights.get(request_id)
        if flight is None or flight.attempt_id != attempt_id:
            return None
        return flight

    def board(self, flight: Flight, backend_id: BackendId, now: float) -> AttemptId:
        """Begin a new attempt on a server."""
        self.last_attempt += 1
        flight.attempt_id = AttemptId(self.last_attempt)
        flight.backend_id = backend_id
        flight.started_at = flight.last_token_at = now
        flight.first_token_at = None
        flight.runs += 1
        self.aboard.setdefault(backend_id, {})[flight.request.request_id] = flight
        return flight.attempt_id

    def leave(self, flight: Flight) -> BackendId | None:
        """End the flight's attempt; return the server that it was on."""
        backend_id = flight.backend_id
        if backend_id is not None:
            aboard = self.aboard[backend_id]
            del aboard[flight.request.request_id]
            if not aboard:
                del self.aboard[backend_id]
        flight.attempt_id = flight.backend_id = None
        return backend_id

    def on(self, backend_id: BackendId) -> list[Flight]:
        """Return the flights on a server, oldest attempt first."""
        return list(self.aboard.get(backend_id, {}).values())

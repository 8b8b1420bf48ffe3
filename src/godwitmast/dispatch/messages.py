"""What goes into the router and what comes out of it."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from godwitmast.dispatch.placement import Part, Prompt
from godwitmast.types import (
    AttemptId,
    BackendId,
    ClassName,
    PoolName,
    RequestId,
    TeamName,
    ZoneName,
)


class RequestSpec(NamedTuple):
    """A request as the decisions see it.

    `arrived` and `deadline` are on the router's clock. `fingerprint` is the same for
    the same team and body; `prefix` is the same for prompts that open alike. An answer
    `streams` if the caller takes it token by token, and is `resumable` if another
    attempt can go on where one ended. `attempts` is how many servers may run it at
    most, if that is bounded.
    """

    request_id: RequestId
    team: TeamName
    class_name: ClassName
    pool: PoolName
    arrived: float
    prompt_tokens: int = 0
    max_tokens: int = 1024
    deadline: float | None = None
    idempotent: bool = True
    fingerprint: str = ""
    prefix: str = ""
    resumable: bool = True
    streams: bool = True
    attempts: int | None = None
    parts: tuple[Part, ...] = ()

    @property
    def prompt(self) -> Prompt:
        return Prompt(self.class_name, self.prompt_tokens, self.parts)


class BackendSpec(NamedTuple):
    """A backend server as the decisions see it.

    A server that is leaving or `evacuated` gets no new work; `gone_at`, on the router's
    clock, is when the platform takes it away, if it said so. `places` is how many
    requests it runs at a time, if that is known. `cold_s` is how much longer it said
    that it has to warm up, None if servers here do not say; another `incarnation` is
    another start of the server.
    """

    backend_id: BackendId
    zone: ZoneName
    pools: frozenset[str]
    cheap: bool = False
    leaving: bool = False
    gone_at: float | None = None
    places: int | None = None
    evacuated: bool = False
    cold_s: float | None = None
    incarnation: int = 0

    @property
    def closed(self) -> bool:
        """Return whether the server gets no new work."""
        return self.leaving or self.evacuated


class LoadReport(NamedTuple):
    """What a backend server said of itself; `age_s` is how old that already was."""

    running: int
    waiting: int
    tokens_per_s: float = 0.0
    age_s: float = 0.0


class NotRun(Enum):
    """Whether a refused request certainly reached no backend server."""

    TRUE = "true"
    UNKNOWN = "unknown"


class RefusalCode(Enum):
    """Why a request gets no answer; the value is the public error code."""

    TEAM_LIMIT = "team_limit"
    SHED = "shed"
    NO_BACKEND = "no_backend"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    BACKEND_FAILED = "backend_failed"
    STOPPING = "stopping"


class FailureKind(Enum):
    """How an attempt failed, which decides whether it may be retried."""

    CONNECT = "connect"
    """No byte of the request left."""
    REFUSED = "refused"
    """The backend server said that it did not run the request."""
    CUT = "cut"
    """The connection broke after the request may have been read."""
    TIMEOUT = "timeout"
    """Nothing came for too long."""
    ERROR = "error"
    """The backend server answered with an error of its own."""


class CancelReason(Enum):
    """Why the router ends an attempt."""

    PREEMPTED = "preempted"
    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    LOST_RACE = "lost_race"
    KEY_WITHDRAWN = "key_withdrawn"
    EVICTED = "evicted"
    SLOW = "slow"
    """The server hangs, or is far slower than its peers."""
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to a backend server, from the token after `resume_from`.

    The server is to copy what it lacks of the prompt from `fetch_from`, if that is set.
    """

    request_id: RequestId
    attempt_id: AttemptId
    backend_id: BackendId
    resume_from: int = 0
    fetch_from: BackendId | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller at once that it gets no answer, or no more of one."""

    request_id: RequestId
    code: RefusalCode
    not_run: NotRun
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """End an attempt; the request itself may go on with another one."""

    request_id: RequestId
    attempt_id: AttemptId
    reason: CancelReason


Action = Start | Refuse | Cancel


class Crash(NamedTuple):
    """A server crashed `age_s` ago, while the suspect ran on it."""

    backend_id: BackendId
    age_s: float


class Suspicion(NamedTuple):
    """A request, by its fingerprint, was in flight on servers that crashed."""

    fingerprint: str
    crashes: tuple[Crash, ...]


class Placement(NamedTuple):
    """A suspect runs on a server, which no other suspect may join for `left_s`.

    `left_s` of 0 says that the suspect is off that server.
    """

    fingerprint: str
    backend_id: BackendId
    left_s: float


class Quarantine(NamedTuple):
    """Requests of a fingerprint are refused for `left_s` more seconds."""

    fingerprint: str
    left_s: float


class Clearance(NamedTuple):
    """A suspect gave its whole answer `age_s` ago, so it crashes no server."""

    fingerprint: str
    age_s: float


PoisonNews = Suspicion | Placement | Quarantine | Clearance
"""What entries tell each other about requests that may crash servers.

Times are ages and remaining seconds, since entries share no clock. Every message may
come twice, late or out of order; to import one again changes nothing.
"""

"""Inputs and actions of the router, and the updates on suspects that entries
exchange."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from godwitmast.bounds import AgeSeconds
from godwitmast.dispatch.placement import Prompt, PromptPart
from godwitmast.types import (
    AttemptId,
    BackendId,
    ClassName,
    PoolName,
    RequestId,
    TeamName,
    ZoneName,
)

UNKNOWN_VERSION = "?"
"""Software version of a stream that began while its server may have been started again.
No server states it."""


class RequestSpec(NamedTuple):
    """The properties of a request that routing decisions depend on.

    `arrived` and `deadline` are on the router's clock. `fingerprint` is the same for
    the same team and body; `prefix` is the same for prompts with the same prefix. An
    answer `streams` if the caller receives it token by token, and is `resumable` if
    another attempt can continue where one ended. `attempts` is the largest number of
    servers that may run it, if that is bounded. `may_forward` says that another entry
    can serve it instead. `version` is the software version to which it is bound, as it
    takes up a stream that such a server began.
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
    parts: tuple[PromptPart, ...] = ()
    may_forward: bool = False
    version: str | None = None

    @property
    def prompt(self) -> Prompt:
        return Prompt(self.class_name, self.prompt_tokens, self.parts)


class BackendSpec(NamedTuple):
    """The properties of a backend server that routing decisions depend on.

    A server that is leaving or `evacuated` gets no new requests; `removal_at`, on the
    router's clock, is when the platform takes it away, if that is known. `places` is
    how many requests it runs at a time, if that is known. `cold_s` is the remaining
    warm-up time that it reported, None if servers of its pool do not report it; another
    `incarnation` is another start of the server. A stream can only go on at a server of
    the same `version` of the software, which is empty if it is not stated.
    """

    backend_id: BackendId
    zone: ZoneName
    pools: frozenset[str]
    cheap: bool = False
    leaving: bool = False
    removal_at: float | None = None
    places: int | None = None
    evacuated: bool = False
    cold_s: float | None = None
    incarnation: int = 0
    version: str = ""

    @property
    def closed(self) -> bool:
        """Return whether the server gets no new requests."""
        return self.leaving or self.evacuated


MAX_SERVER_REQUESTS = 65_535
"""Requests that one server can have, running or waiting; a report of more is no report."""


class LoadReport(NamedTuple):
    """A backend server's report of its load; `age_s` is its age on arrival.

    `percent` is how long work takes there at the moment, 100 being as usual; None if the
    server doesn't state it.
    """

    running: int
    waiting: int
    tokens_per_s: float = 0.0
    age_s: float = 0.0
    percent: int | None = None


class ServerStatement(NamedTuple):
    """What a backend server states of itself in the headers of one answer.

    `requests_per_s` is what it takes from all routers together, `rejections_per_s` how
    many rejections it bears; None if it states no limit. `rest_s` is for how long it
    wants no more requests of this router.
    """

    load: LoadReport | None = None
    requests_per_s: float | None = None
    rejections_per_s: float | None = None
    is_leaving: bool = False
    rest_s: float | None = None


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
    INTERNAL = "internal"
    """A decision on it raised an exception."""


class DecisionFailure(NamedTuple):
    """An exception in one step of the router, or in its decision on one request."""

    step: str
    request_id: RequestId | None
    error: Exception


class FailureKind(Enum):
    """How an attempt failed, which determines whether it may be retried."""

    CONNECT = "connect"
    """No byte of the request was sent."""
    REFUSED = "refused"
    """The backend server reported that it did not run the request."""
    CUT = "cut"
    """The connection broke after the request may have been read."""
    MALFORMED = "malformed"
    """Bytes arrived that are no answer to the request, which may have run."""
    TIMEOUT = "timeout"
    """Nothing arrived within the time-out."""
    ERROR = "error"
    """The backend server answered with an error of its own."""


class CancelReason(Enum):
    """Why the router cancels an attempt."""

    PREEMPTED = "preempted"
    CALLER_GONE = "caller_gone"
    CALLER_SLOW = "caller_slow"
    """Memory was short, and the caller was among the slowest that held the most."""
    DEADLINE = "deadline"
    LOST_RACE = "lost_race"
    STOPPING = "stopping"
    """The grace of a VM that stops is over."""
    FAILED = "failed"
    """Serving it raised an exception."""
    KEY_WITHDRAWN = "key_withdrawn"
    EVICTED = "evicted"
    SLOW = "slow"
    """The server hangs, or is far slower than its peers."""
    QUARANTINED = "quarantined"
    UNREACHABLE = "unreachable"
    """No server can be reached from this entry."""


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to a backend server, to be answered from the token after
    `resume_from`.

    The server is to copy missing parts of the prompt from `fetch_from`, if that is set.
    """

    request_id: RequestId
    attempt_id: AttemptId
    backend_id: BackendId
    resume_from: int = 0
    fetch_from: BackendId | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request: its caller gets no answer, or no more of one."""

    request_id: RequestId
    code: RefusalCode
    not_run: NotRun
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; its request may continue with another one."""

    request_id: RequestId
    attempt_id: AttemptId
    reason: CancelReason


@dataclass(frozen=True, slots=True)
class Release:
    """Have another entry serve the request; the router waits for what comes of it.

    `attempts` is how many servers may still run it, if that is bounded.
    """

    request_id: RequestId
    attempts: int | None = None


Action = Start | Refuse | Cancel | Release


class Crash(NamedTuple):
    """A crash of a server `age_s` seconds ago, while the suspect ran on it.

    `sole` says that no other suspect is a likely cause of it, `doubtful` that so many
    servers crashed at once that an outage is a likely one. Both are set if the request
    was on several servers of a pool that lost all of them.
    """

    backend_id: BackendId
    age_s: AgeSeconds
    sole: bool = True
    doubtful: bool = False


class Suspicion(NamedTuple):
    """A request, by its fingerprint, that was in flight on servers when they
    crashed."""

    fingerprint: str
    crashes: tuple[Crash, ...]


class Placement(NamedTuple):
    """A suspect runs on a server, which no other suspect may use for `left_s` seconds.

    With `left_s` = 0 the suspect no longer runs on that server.
    """

    fingerprint: str
    backend_id: BackendId
    left_s: float


class Quarantine(NamedTuple):
    """Requests with a fingerprint are refused for `left_s` more seconds."""

    fingerprint: str
    left_s: float


class Clearance(NamedTuple):
    """A suspect completed `age_s` seconds ago, so that it crashes no server."""

    fingerprint: str
    age_s: AgeSeconds


PoisonUpdate = Suspicion | Placement | Quarantine | Clearance
"""Updates that entries exchange about requests that may crash servers.

Times are ages and remaining seconds, since entries have no common clock. Every message
may arrive twice, late or out of order; applying one again changes nothing.
"""

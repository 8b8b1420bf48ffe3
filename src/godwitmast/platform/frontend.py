"""The caller-facing API of the users' platform: request parsing and error answers."""

import itertools
import random
from dataclasses import dataclass, field

import httpx
import msgspec

from godwitmast.backends.client import make_load, parse_rate, parse_rest
from godwitmast.backends.transport import is_first_exchange
from godwitmast.config.document import Document, NumberedConfig
from godwitmast.decoding import parse_whole_number
from godwitmast.dispatch.messages import (
    LoadReport,
    NotRun,
    RefusalCode,
    Refuse,
    RequestSpec,
    ServerStatement,
)
from godwitmast.dispatch.placement import PromptPart
from godwitmast.entry.events import EventIdReader
from godwitmast.entry.frontend import Incoming, Prepared, Reply
from godwitmast.entry.outbound import (
    AttemptRequest,
    ErrorPolicy,
    Headers,
    RawHeaders,
    StreamReader,
    forwarded_headers,
)
from godwitmast.entry.refusals import (
    MESSAGE_OF_REFUSAL,
    NOT_RUN_HEADER,
    ErrorAnswer,
    answer_denial,
    send_response,
)
from godwitmast.entry.request_parsing import (
    Limits,
    RequestHead,
    carries_key,
    fingerprint,
)
from godwitmast.entry.stream_versions import StreamIdentity
from godwitmast.http_server import Scope, Send
from godwitmast.keys.authorizer import Caller, Denial, authenticate
from godwitmast.platform.catalog import Catalog, engine_priority, with_rank
from godwitmast.platform.wire import (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    KV_FETCH,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    PROMPT_PREFIX,
    REQUEST_PRIORITY,
    RESUMES,
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
    SET_BY_ROUTER,
    TENANT,
    TOKEN_USAGE,
    WireLimits,
)
from godwitmast.routes.table import Route
from godwitmast.types import BackendId, RequestId, TeamName, TokenCount

BODY_TIMEOUT_S = 10.0

MAX_PERCENT = 10_000
"""Enough for a body of 100 kB from a slow phone at 80 kbit/s."""

RETRY_AFTER_S = 1.0
"""Retry-After without a better estimate: by then a failed server is no longer chosen,
and the backlog of a burst has begun to shrink."""

CONNECTION_HEADERS = frozenset(
    [
        "authorization",
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
"""The caller's key, and headers that apply to a single connection."""

UNKNOWN_ROUTE = ErrorAnswer(404, "unknown_route", "No route has this host and path.")


@dataclass
class RoutedRequest:
    """A request of a route, as it is sent to backend servers."""

    method: str
    path: str
    headers: Headers
    content: bytes
    attempt_id: str
    deadline: float
    streams: bool
    error_policy: ErrorPolicy
    reports_load: bool = True
    reads_body: bool = False
    key: str | None = None
    """The caller's key, which only another VM may get."""
    events: EventIdReader = field(default_factory=EventIdReader)

    @property
    def reader(self) -> StreamReader:
        return self.events

    @property
    def answer_id(self) -> str:
        return self.attempt_id

    def build_attempt(
        self, backend_id: BackendId, now: float, source: str | None = None
    ) -> AttemptRequest:
        """Return the request with its remaining time, for one server only."""
        left_ms = max(1, int((self.deadline - now) * 1000))
        headers = [
            *self.headers,
            (DEADLINE_MS, str(left_ms)),
            (EXPECT_INSTANCE, backend_id),
        ]
        if source is not None:
            headers.append((KV_FETCH, source))
        return AttemptRequest(self.resumed(headers), self.content)

    def build_forwarded(self, now: float) -> AttemptRequest:
        """Return the request as its caller sent it, with its remaining time."""
        left_ms = max(1, int((self.deadline - now) * 1000))
        headers = [pair for pair in self.headers if pair[0] not in SET_BY_ROUTER]
        headers.append((DEADLINE_MS, str(left_ms)))
        if self.key is not None:
            headers.append(("authorization", f"Bearer {self.key}"))
        return AttemptRequest(self.resumed(headers), self.content)

    def resumed(self, headers: Headers) -> Headers:
        """Return headers that ask for the events after the last one delivered."""
        if self.events.last_id is None:
            return headers
        others = [pair for pair in headers if pair[0] != LAST_EVENT_ID]
        return [*others, (LAST_EVENT_ID, self.events.last_id)]

    def belongs_to_request(self, answer: httpx.Response) -> bool:
        """Return whether an answer belongs to this request, not an earlier one.

        A rejection without an id counts as this one's, as some servers send none there,
        if no earlier request was sent on its connection: else it may belong to that one,
        and this one may run.
        """
        is_own = is_rejection(answer) and is_first_exchange(answer)
        default = self.attempt_id if is_own else None
        return answer.headers.get(ATTEMPT_ID, default) == self.attempt_id

    def found_id(self, answer: httpx.Response) -> str | None:
        return answer.headers.get(ATTEMPT_ID, "")

    def stream_headers(self, answer: httpx.Response) -> RawHeaders:
        return forwarded_headers(answer)

    def whole_headers(self, answer: httpx.Response) -> RawHeaders:
        return forwarded_headers(answer)

    def usage(self, body: bytes) -> TokenCount | None:
        return None

    def is_truncated(self, body: bytes) -> bool:
        return False


class ReplicaHeaderParser:
    """Parser for the response headers of the platform's backend servers."""

    id_header = ATTEMPT_ID

    def reports_not_run(self, answer: httpx.Response) -> bool:
        """Return whether the server did not run the request, and never will.

        With status 421 it reports that it is not the server that was meant: the address
        was reused, or the server was restarted.
        """
        return is_rejection(answer)

    def parse_statement(self, answer: httpx.Response) -> ServerStatement:
        headers = answer.headers
        return ServerStatement(
            read_load(headers.get(SERVER_LOAD, "")),
            parse_rate(headers.get(SERVER_LIMIT)),
            parse_rate(headers.get(SERVER_BRITTLE)),
            headers.get(SERVER_LEAVING) == "1",
            parse_rest(answer),
        )


class RouteFrontend:
    """The API for callers with a key, with requests routed by host and path."""

    def __init__(self) -> None:
        self.catalog: Catalog | None = None
        self.request_numbers = itertools.count(1)

    def apply_catalog(self, catalog: Catalog) -> None:
        """Store a configuration; `config_changed` is then called with its document."""
        self.catalog = catalog

    def config_changed(self, config: NumberedConfig) -> None:
        assert self.catalog is not None and self.catalog.config is config

    @property
    def current_catalog(self) -> Catalog:
        assert self.catalog is not None, (
            "requests are accepted only once the node is ready"
        )
        return self.catalog

    @property
    def document(self) -> Document:
        return self.current_catalog.config.document

    def limits(self) -> Limits:
        limits = self.catalog.limits if self.catalog else WireLimits()
        return Limits(limits.max_body_bytes, BODY_TIMEOUT_S)

    def open(self, scope: Scope) -> RequestHead | ErrorAnswer:
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        ]
        size = sum(len(name) + len(value) + 4 for name, value in pairs)
        if size > self.current_catalog.limits.max_header_bytes:
            return ErrorAnswer(431, "head_too_large", "The headers are too long.")
        by_name = dict(pairs)
        if not by_name.get(ATTEMPT_ID):
            message = f"{ATTEMPT_ID} is missing: no answer could be told to be its own."
            return ErrorAnswer(400, "no_attempt_id", message)
        key = read_bearer(by_name.get("authorization", ""))
        deadline_s = read_deadline(by_name.get(DEADLINE_MS))
        if deadline_s is None:
            message = f"{DEADLINE_MS} must be milliseconds, above 0."
            return ErrorAnswer(400, "bad_deadline", message)
        return RequestHead(
            scope["method"],
            scope["path"],
            scope["raw_path"].decode("latin-1"),
            scope["query_string"].decode("latin-1"),
            forwarded_request_headers(pairs, key),
            key,
            None,
            deadline_s,
            None,
            by_name.get(ATTEMPT_ID),
            by_name.get("host", ""),
        )

    def find_route(self, head: RequestHead) -> Route | None:
        return self.current_catalog.routes.match(head.host, head.raw_path)

    def authenticate(
        self, head: RequestHead, offline_s: float
    ) -> Caller | ErrorAnswer | None:
        """Return the caller; an offline zone keeps accepting the keys it knows."""
        route = self.find_route(head)
        if route is None:
            return UNKNOWN_ROUTE
        if route.public:
            return None
        caller = authenticate(self.document, head.key, 0.0)
        return answer_denial(caller) if isinstance(caller, Denial) else caller

    def prepare(self, incoming: Incoming) -> Prepared | Reply | ErrorAnswer:
        head, caller = incoming.head, incoming.caller
        route = self.find_route(head)
        if route is None:
            return UNKNOWN_ROUTE
        team = caller.team_name if caller else ""
        rank = self.current_catalog.ranks.of(
            route.priority, self.current_catalog.team_priorities.get(team)
        )
        allowed_s = min(route.timeout_s, head.deadline_s or route.timeout_s)
        answer_deadline = incoming.arrived + allowed_s
        headers = list(head.headers)
        if caller:
            headers.append((TENANT, team))
        spec = self.make_spec(incoming, route, team, rank, answer_deadline)
        if spec.pool in self.document.models:
            headers.append((REQUEST_PRIORITY, str(engine_priority(route.priority))))
        retries = spec.idempotent and route.attempts > 1
        query = f"?{head.query}" if head.query else ""
        outbound = RoutedRequest(
            head.method,
            head.raw_path + query,
            headers,
            incoming.body,
            head.request_id or "",
            answer_deadline,
            route.streams,
            ErrorPolicy.RETRY_OR_ANSWER if retries else ErrorPolicy.ANSWER,
            key=head.key,
        )
        stream = read_stream(head) if route.resumable else None
        return Prepared(spec, outbound, answer_deadline=answer_deadline, stream=stream)

    def make_spec(
        self,
        incoming: Incoming,
        route: Route,
        team: str,
        rank: int,
        answer_deadline: float,
    ) -> RequestSpec:
        """Return the properties by which the request is queued and placed."""
        head = incoming.head
        by_name = dict(head.headers)
        prompt, output = read_tokens(by_name.get(TOKEN_USAGE, ""))
        return RequestSpec(
            RequestId(f"{head.request_id}/{next(self.request_numbers)}"),
            TeamName(team),
            with_rank(route.class_name, rank),
            route.choose_pool(random.random()),
            incoming.arrived,
            prompt,
            output,
            answer_deadline,
            route.idempotent,
            fingerprint(team, head.raw_path, incoming.body),
            "",
            route.resumable,
            route.streams,
            route.attempts,
            read_parts(by_name.get(PROMPT_PREFIX, "")),
            may_forward=True,
        )

    def answer_refusal(self, refusal: Refuse) -> ErrorAnswer:
        """Return the caller's error; status 503 or 429 promises that nothing was run."""
        not_run = refusal.not_run is NotRun.TRUE
        if refusal.code is RefusalCode.TEAM_LIMIT:
            status = 429
        elif not_run:
            status = 503
        else:
            status = 504 if refusal.code is RefusalCode.DEADLINE else 502
        retry_after_s = refusal.retry_after_s
        if not_run and retry_after_s is None:
            retry_after_s = RETRY_AFTER_S
        message = MESSAGE_OF_REFUSAL[refusal.code]
        code = refusal.code.value
        return ErrorAnswer(status, code, message, refusal.not_run, retry_after_s)

    async def send_error(self, send: Send, answer: ErrorAnswer, began: bool) -> None:
        """Send an error, unless the answer's stream has already begun.

        The connection of such a stream is closed in the middle of the body, so that the
        caller cannot mistake it for a complete answer.
        """
        if began:
            return
        headers = [
            (b"content-type", b"application/json"),
            (NOT_RUN_HEADER, answer.not_run.value.encode()),
        ]
        if answer.retry_after_s is not None:
            headers.append((b"retry-after", f"{answer.retry_after_s:.3f}".encode()))
        body = {"error": {"code": answer.code, "message": answer.message}}
        await send_response(send, answer.status, headers, msgspec.json.encode(body))


def is_rejection(answer: httpx.Response) -> bool:
    return NOT_EXECUTED in answer.headers or answer.status_code == 421


def read_stream(head: RequestHead) -> StreamIdentity:
    """Return the caller's attempt at a stream, and which attempt began it.

    Another VM that forwards a stream that has begun names no attempt but this one.
    """
    by_name = dict(head.headers)
    attempt_id = head.request_id or ""
    if LAST_EVENT_ID not in by_name:
        return StreamIdentity(attempt_id)
    return StreamIdentity(attempt_id, by_name.get(RESUMES) or attempt_id)


def read_load(text: str) -> LoadReport | None:
    """Return running and waiting requests, and how long work takes in percent.

    The third number is the batch size; servers that share no machine send no fourth.
    """
    numbers = [parse_whole_number(part) for part in text.split(",")]
    load = make_load(numbers[0], numbers[1]) if len(numbers) > 1 else None
    if load is None:
        return None
    percent = numbers[3] if len(numbers) == 4 else None
    usable = percent is not None and 0 < percent <= MAX_PERCENT
    return load._replace(percent=percent if usable else None)


def read_bearer(header: str) -> str | None:
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" and token.strip() else None


def read_deadline(text: str | None) -> float | None:
    """Return the seconds that a caller waits, or None if not a number above 0."""
    if text is None:
        return float("inf")
    try:
        seconds = float(text) / 1000
    except ValueError:
        return None
    return seconds if seconds > 0 else None


def forwarded_request_headers(pairs: Headers, key: str | None) -> Headers:
    """Return the caller's headers that are forwarded to a backend server."""
    connection = dict(pairs).get("connection", "")
    hop_headers = {item.strip().lower() for item in connection.split(",")}
    return [
        (name, value)
        for name, value in pairs
        if name not in SET_BY_ROUTER
        and name not in hop_headers
        and not carries_key(name, value, key, CONNECTION_HEADERS)
    ]


def read_tokens(text: str) -> tuple[int, int]:
    """Return the prompt tokens, and the limit on the answer's tokens."""
    prompt, _, output = text.partition(",")
    tokens = parse_whole_number(prompt), parse_whole_number(output)
    return (0, 0) if tokens[0] is None or tokens[1] is None else (tokens[0], tokens[1])


def read_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; none if any of them cannot be read."""
    parts = []
    for item in text.split(","):
        part_id, _, text_of_tokens = item.strip().partition(":")
        tokens = parse_whole_number(text_of_tokens)
        if not part_id or tokens is None:
            return ()
        parts.append(PromptPart(part_id, tokens))
    return tuple(parts)

"""What callers of the platform send, and what they are told."""

import itertools
import random
from dataclasses import dataclass, field

import httpx
import msgspec

from godwitmast.config.document import Document, NumberedConfig
from godwitmast.dispatch.messages import (
    LoadReport,
    NotRun,
    RefusalCode,
    Refuse,
    RequestSpec,
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
    SERVER_LOAD,
    SET_BY_ROUTER,
    TENANT,
    TOKEN_USAGE,
    WireLimits,
)
from godwitmast.routes.table import Route
from godwitmast.types import BackendId, RequestId, TeamName, TokenCount

BODY_TIMEOUT_S = 10.0
"""A caller on a slow phone sends a body of 100 kB in this at 80 kbit/s."""

RETRY_AFTER_S = 1.0
"""When to come back where nothing better is known: a server that failed is out of the
choice by then, and a burst has begun to drain."""

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
"""The caller's key, and headers that concern one connection only."""

UNKNOWN_ROUTE = ErrorAnswer(404, "unknown_route", "No route has this host and path.")


@dataclass
class RoutedRequest:
    """A request of a route, as backend servers get it."""

    method: str
    path: str
    headers: Headers
    content: bytes
    attempt_id: str
    deadline: float
    streams: bool
    error_policy: ErrorPolicy
    reports_load: bool = True
    events: EventIdReader = field(default_factory=EventIdReader)

    @property
    def reader(self) -> StreamReader:
        return self.events

    def build_attempt(
        self, backend_id: BackendId, now: float, source: str | None = None
    ) -> AttemptRequest:
        """Return the request with what is left of its time, for that server only."""
        left_ms = max(1, int((self.deadline - now) * 1000))
        headers = [
            *self.headers,
            (DEADLINE_MS, str(left_ms)),
            (EXPECT_INSTANCE, backend_id),
        ]
        if source is not None:
            headers.append((KV_FETCH, source))
        if self.events.last_id is not None:
            headers = [pair for pair in headers if pair[0] != LAST_EVENT_ID]
            headers.append((LAST_EVENT_ID, self.events.last_id))
        return AttemptRequest(headers, self.content)

    def belongs_to_request(self, answer: httpx.Response) -> bool:
        """Return whether a server answers this request and no earlier one."""
        return answer.headers.get(ATTEMPT_ID) == self.attempt_id

    def stream_headers(self, answer: httpx.Response) -> RawHeaders:
        return forwarded_headers(answer)

    def whole_headers(self, answer: httpx.Response) -> RawHeaders:
        return forwarded_headers(answer)

    def usage(self, body: bytes) -> TokenCount | None:
        return None


class ReplicaHeaderParser:
    """What the platform's backend servers say in the head of an answer."""

    def reports_not_run(self, answer: httpx.Response) -> bool:
        """Return whether the server did not run the request, and never will.

        A server at a reused address, or a new start of the one that was meant, says so
        by its status.
        """
        return NOT_EXECUTED in answer.headers or answer.status_code == 421

    def parse_load(self, answer: httpx.Response) -> LoadReport | None:
        """Return running and waiting requests; the number of places comes third."""
        parts = answer.headers.get(SERVER_LOAD, "").split(",")
        if len(parts) < 2 or not (parts[0].isdecimal() and parts[1].isdecimal()):
            return None
        return LoadReport(int(parts[0]), int(parts[1]))


class RouteFront:
    """Requests that are routed by host and path, for callers with a key."""

    def __init__(self) -> None:
        self.catalog: Catalog | None = None
        self.numbers = itertools.count(1)

    def take_catalog(self, catalog: Catalog) -> None:
        """Take a configuration; the product's part is told apart from it."""
        self.catalog = catalog

    def config_changed(self, config: NumberedConfig) -> None:
        assert self.catalog is not None and self.catalog.config is config

    @property
    def known(self) -> Catalog:
        assert self.catalog is not None, "requests are taken only once ready"
        return self.catalog

    @property
    def document(self) -> Document:
        return self.known.config.document

    def limits(self) -> Limits:
        limits = self.catalog.limits if self.catalog else WireLimits()
        return Limits(limits.max_body_bytes, BODY_TIMEOUT_S)

    def open(self, scope: Scope) -> RequestHead | ErrorAnswer:
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        ]
        size = sum(len(name) + len(value) + 4 for name, value in pairs)
        if size > self.known.limits.max_header_bytes:
            return ErrorAnswer(431, "head_too_large", "The headers are too long.")
        named = dict(pairs)
        if not named.get(ATTEMPT_ID):
            message = f"{ATTEMPT_ID} is missing: no answer could be told to be its own."
            return ErrorAnswer(400, "no_attempt_id", message)
        key = read_bearer(named.get("authorization", ""))
        deadline_s = read_deadline(named.get(DEADLINE_MS))
        if deadline_s is None:
            message = f"{DEADLINE_MS} must be milliseconds, above 0."
            return ErrorAnswer(400, "bad_deadline", message)
        return RequestHead(
            scope["method"],
            scope["path"],
            scope["raw_path"].decode("latin-1"),
            scope["query_string"].decode("latin-1"),
            kept_headers(pairs, key),
            key,
            None,
            deadline_s,
            None,
            named.get(ATTEMPT_ID),
            named.get("host", ""),
        )

    def find_route(self, head: RequestHead) -> Route | None:
        return self.known.routes.match(head.host, head.raw_path)

    def authenticate(
        self, head: RequestHead, offline_s: float
    ) -> Caller | ErrorAnswer | None:
        """Return who calls; a zone that is cut off goes on with the keys it has."""
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
        rank = self.known.ranks.of(route.priority, self.known.priorities.get(team))
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
        )
        return Prepared(spec, outbound, answer_deadline=answer_deadline)

    def make_spec(
        self,
        incoming: Incoming,
        route: Route,
        team: str,
        rank: int,
        answer_deadline: float,
    ) -> RequestSpec:
        """Return the request as the decisions see it."""
        head = incoming.head
        named = dict(head.headers)
        prompt, output = read_tokens(named.get(TOKEN_USAGE, ""))
        return RequestSpec(
            RequestId(f"{head.request_id}/{next(self.numbers)}"),
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
            read_parts(named.get(PROMPT_PREFIX, "")),
        )

    def answer_refusal(self, refusal: Refuse) -> ErrorAnswer:
        """Return what a caller is told; a status of 503 or 429 promises "not run"."""
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
        """Send an error; a stream that began just ends without its end.

        Its connection closes in the middle of the body, so that it cannot be taken for
        whole.
        """
        if began:
            return
        headers = [(b"content-type", b"application/json")]
        if answer.retry_after_s is not None:
            headers.append((b"retry-after", f"{answer.retry_after_s:.3f}".encode()))
        body = {"error": {"code": answer.code, "message": answer.message}}
        await send_response(send, answer.status, headers, msgspec.json.encode(body))


def read_bearer(header: str) -> str | None:
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" and token.strip() else None


def read_deadline(text: str | None) -> float | None:
    """Return the seconds that a caller will wait; None for no number above 0."""
    if text is None:
        return float("inf")
    try:
        seconds = float(text) / 1000
    except ValueError:
        return None
    return seconds if seconds > 0 else None


def kept_headers(pairs: Headers, key: str | None) -> Headers:
    """Return the headers that a backend server gets from the caller."""
    named = dict(pairs).get("connection", "")
    hop = {item.strip().lower() for item in named.split(",")}
    return [
        (name, value)
        for name, value in pairs
        if name not in SET_BY_ROUTER
        and name not in hop
        and not carries_key(name, value, key, CONNECTION_HEADERS)
    ]


def read_tokens(text: str) -> tuple[int, int]:
    """Return the tokens of the prompt, and the most of the answer."""
    prompt, _, output = text.partition(",")
    if prompt.isdecimal() and output.isdecimal():
        return int(prompt), int(output)
    return 0, 0


def read_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; none if any of them cannot be read."""
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        if not part_id or not tokens.isdecimal():
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)

"""An HTTP client for backend servers that classifies every failure."""

import ssl
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from functools import lru_cache
from typing import Annotated, Protocol, TypeVar

import httpx
import msgspec

from godwitmast.backends.answer_limits import (
    AnswerTooLong,
    BodiesInProgress,
    read_decoded,
)
from godwitmast.backends.connection_use import ConnectionUse
from godwitmast.backends.transport import (
    ANSWER_ID,
    SINGLE_USE,
    BoundedTransport,
    SocketOptions,
    connection_use,
)
from godwitmast.config.document import AnswerLimits
from godwitmast.decoding import decode_json, parse_number, parse_whole_number
from godwitmast.dispatch.messages import (
    MAX_SERVER_REQUESTS,
    FailureKind,
    LoadReport,
    ServerStatement,
)
from godwitmast.errors import Undecodable
from godwitmast.logs import log_event

T = TypeVar("T")

CONNECT_TIMEOUT_S = 0.3
"""A reachable backend server accepts within milliseconds, one in another region within
a tenth of a second, and one behind a network partition never. The rest of an
interactive class's target is for another server."""

READ_TIMEOUT_S = 120.0

SEND_TIMEOUT_S = 2.0
SEND_BYTES_PER_S = 250_000.0
"""A server that has not taken a request within this time, plus its length at this rate, is
slow: the slowest links carry 2.5 times as much, and buffers take a small body at once."""

MAX_URLS = 1024
"""URLs of servers that are kept parsed."""

NOT_RUN_HEADER = "engine-not-run"
LOAD_HEADER = "engine-load"
RATE_LIMIT_HEADER = "engine-rate-limit"
REJECTION_LIMIT_HEADER = "engine-rejection-limit"
LEAVING_HEADER = "engine-leaving"


MAX_RATE_PER_S = 1_000_000.0
"""A server that states a higher rate has no limit that matters."""

MAX_REST_S = 86_400.0
"""A server that asks for a longer rest is asked again after a day."""

MAX_REPORT_AGE_S = 86_400.0

ServerRequests = Annotated[int, msgspec.Meta(ge=0, le=MAX_SERVER_REQUESTS)]


class LoadDocument(msgspec.Struct):
    """What a backend server serves at `/load`; `age_s` is the age of its numbers."""

    running: ServerRequests
    waiting: ServerRequests
    age_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_REPORT_AGE_S)] = 0.0


class AttemptFailed(Exception):
    """An attempt ended without a complete answer."""

    def __init__(self, kind: FailureKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.use: ConnectionUse | None = None
        """The exchange in which it failed; None if no connection was opened."""
        self.answer: httpx.Response | None = None
        """The answer that was received, whole or not, of which the headers are known."""


class BackendHeaderParser(Protocol):
    """Parses what backend servers report in response headers."""

    @property
    def id_header(self) -> str:
        """Return the header by which an answer names its request, or none."""

    def reports_not_run(self, answer: httpx.Response) -> bool:
        """Return whether the server reported that it did not run the request, and will
        not."""

    def parse_statement(self, answer: httpx.Response) -> ServerStatement:
        """Return what the server states of itself."""


class EngineHeaderParser:
    """Parses the response headers of this project's own backend server interface."""

    id_header = ""

    def reports_not_run(self, answer: httpx.Response) -> bool:
        return NOT_RUN_HEADER in answer.headers

    def parse_statement(self, answer: httpx.Response) -> ServerStatement:
        headers = answer.headers
        return ServerStatement(
            parse_load(answer),
            parse_rate(headers.get(RATE_LIMIT_HEADER)),
            parse_rate(headers.get(REJECTION_LIMIT_HEADER)),
            LEAVING_HEADER in headers,
            # A plain service's own 503 may concern one request, not its server.
            parse_rest(answer) if self.reports_not_run(answer) else None,
        )


class BackendClient:
    """An HTTP connection pool for backend servers."""

    def __init__(
        self,
        read_timeout_s: float = READ_TIMEOUT_S,
        header_parser: BackendHeaderParser | None = None,
        socket_options: SocketOptions = (),
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.header_parser = header_parser or EngineHeaderParser()
        self.limits = AnswerLimits()
        self.bodies = BodiesInProgress()
        self.limit_listeners: list[Callable[[AnswerTooLong], None]] = []
        self.transport = BoundedTransport(
            self.limits.head_bytes,
            httpx.Limits(max_connections=None, max_keepalive_connections=512),
            tls or httpx.create_ssl_context(trust_env=False),
            socket_options,
            self.header_parser.id_header,
        )
        self.drop_listeners = self.transport.network.drop_listeners
        self.http = httpx.AsyncClient(
            timeout=httpx.Timeout(read_timeout_s, connect=CONNECT_TIMEOUT_S),
            transport=self.transport,
            trust_env=False,
            follow_redirects=False,
        )

    async def close(self) -> None:
        await self.http.aclose()

    def set_limits(self, limits: AnswerLimits) -> None:
        """Replace the limits; the one for heads also applies to answers being read."""
        self.limits = limits
        self.transport.network.head_bytes = limits.head_bytes

    def report_limit(self, server: str, error: AnswerTooLong) -> None:
        """Report an answer that exceeded a limit."""
        log_event(
            "answer_limit_exceeded",
            level="WARNING",
            server=server,
            limit=error.part.value,
            allowed=error.allowed,
            bytes=error.found,
        )
        for listener in self.limit_listeners:
            listener(error)

    @asynccontextmanager
    async def exchange(
        self,
        method: str,
        server: str,
        target: str,
        headers: list[tuple[str, str]],
        content: bytes,
        on_head: Callable[[httpx.Response], None] = lambda answer: None,
        belongs: Callable[[httpx.Response], bool] = lambda answer: True,
        answer_id: str = "",
    ) -> AsyncIterator[httpx.Response]:
        """Send a request and yield the response once its headers have arrived.

        `on_head` gets every response, also one that fails the attempt. `belongs` tells
        whether a response belongs to this request, or to an earlier one with another
        `answer_id`: no connection carries two requests with the same one.

        Raise AttemptFailed on any failure. Only the given headers are sent, besides
        those of the connection, and the target is sent unchanged: the library's URL
        class would resolve its dot segments and quote its characters, so that the
        server would run another request than the caller's.
        """
        url = parse_url(server)
        base = url.raw_path.rstrip(b"/")
        request = httpx.Request(
            method,
            url,
            headers=[(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers],
            content=content,
            extensions={
                "timeout": {
                    **self.http.timeout.as_dict(),
                    "write": send_timeout_s(len(content)),
                },
                "target": base + target.encode("latin-1"),
                ANSWER_ID: answer_id,
            },
        )
        use: ConnectionUse | None = None
        answer: httpx.Response | None = None
        try:
            with self.classified_failures(server):
                answer = await self.http.send(request, stream=True)
                use = connection_use(request)
                try:
                    on_head(answer)
                    # Before anything that it says of its request is used.
                    if not belongs(answer):
                        # The answer to this request may follow it, and the next request
                        # on the connection would read that one.
                        await answer.extensions["network_stream"].aclose()
                        detail = "the answer belongs to another request"
                        raise AttemptFailed(FailureKind.MALFORMED, detail)
                    if self.header_parser.reports_not_run(answer):
                        detail = f"status {answer.status_code}"
                        raise AttemptFailed(FailureKind.REFUSED, detail)
                    yield answer
                finally:
                    await answer.aclose()
        except AttemptFailed as failure:
            # Once an answer was read, its connection may already carry another request.
            failure.use = use or connection_use(request)
            failure.answer = answer
            raise

    @contextmanager
    def classified_failures(self, server: str) -> Iterator[None]:
        """Raise the failures of an exchange as AttemptFailed."""
        try:
            yield
        except AnswerTooLong as error:
            self.report_limit(server, error)
            raise AttemptFailed(FailureKind.ERROR, str(error)) from None
        except httpx.HTTPError as error:
            raise AttemptFailed(failure_kind(error), repr(error)) from None

    async def get_json(self, url: str, shape: type[T], timeout_s: float) -> T | None:
        """Return the JSON document that a backend server serves at `url`, or None if it
        serves none that is a valid `shape`.

        It bears no id: only a connection of its own tells it from a late answer.
        """
        if self.http.is_closed:
            # A poll may come due while its entry closes, which is no error.
            return None
        try:
            async with self.http.stream(
                "GET", url, timeout=timeout_s, extensions={SINGLE_USE: True}
            ) as answer:
                body = await read_decoded(answer, self.limits.body_bytes, self.bodies)
            return decode_json(body, shape) if answer.status_code == 200 else None
        except AnswerTooLong as error:
            self.report_limit(url, error)
            return None
        except Undecodable as error:
            log_event("document_bad", level="WARNING", url=url, error=str(error))
            return None
        except httpx.HTTPError:
            return None


@lru_cache(maxsize=MAX_URLS)
def parse_url(server: str) -> httpx.URL:
    """Return a server's URL; parsing it takes as long as building the request."""
    return httpx.URL(server)


def send_timeout_s(body_bytes: int) -> float:
    """Return how long a server may take to read a request with a body of this length."""
    return SEND_TIMEOUT_S + body_bytes / SEND_BYTES_PER_S


def parse_load(answer: httpx.Response) -> LoadReport | None:
    """Return the load report of the header `Engine-Load: 3;1`, if there is one.

    The numbers are the requests that the server runs and those that wait inside it,
    just now. Load that is sent with answers costs no request of its own, and is newest
    where it matters most: on the servers that get the requests.
    """
    running, _, waiting = answer.headers.get(LOAD_HEADER, "").partition(";")
    return make_load(parse_whole_number(running), parse_whole_number(waiting))


def make_load(running: int | None, waiting: int | None) -> LoadReport | None:
    """Return the load report with two numbers, None if one is missing or too large."""
    if running is None or waiting is None:
        return None
    if max(running, waiting) > MAX_SERVER_REQUESTS:
        return None
    return LoadReport(running, waiting)


def parse_rest(answer: httpx.Response) -> float | None:
    """Return the seconds for which a server that is overloaded wants no requests."""
    if answer.status_code != 503:
        return None
    return parse_number(answer.headers.get("retry-after"), MAX_REST_S) or None


def parse_rate(text: str | None) -> float | None:
    """Return how many a second a server states, None if it states nothing usable."""
    return parse_number(text, MAX_RATE_PER_S)


def failure_kind(error: httpx.HTTPError) -> FailureKind:
    """Return how an exchange failed, which tells whether the request may have run."""
    match error:
        case httpx.ConnectError() | httpx.ConnectTimeout() | httpx.PoolTimeout():
            return FailureKind.CONNECT
        case httpx.TimeoutException():
            # Also one of sending: a server that reads slowly has not crashed.
            return FailureKind.TIMEOUT
        case httpx.RemoteProtocolError():
            # A server that crashes ends its connection, which is a ReadError.
            return FailureKind.MALFORMED
        case httpx.LocalProtocolError():
            return FailureKind.ERROR
        case _:
            return FailureKind.CUT

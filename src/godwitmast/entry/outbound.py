"""Requests to backend servers, and how their answers are read."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, Protocol

import httpx
import msgspec

from godwitmast.decoding import decode_json
from godwitmast.entry.events import CompletionReader, read_usage
from godwitmast.errors import Undecodable
from godwitmast.forwarding.terms import NONCE_HEADER, SERVED_BY_HEADER
from godwitmast.types import BackendId, TokenCount

Headers = list[tuple[str, str]]
RawHeaders = list[tuple[bytes, bytes]]

CONNECTION_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "transfer-encoding",
        NONCE_HEADER.decode(),
        SERVED_BY_HEADER.decode(),
    ]
)
"""Headers of an answer that apply to a single connection."""

EVENT_STREAM = "text/event-stream"
EVENT_STREAM_HEADERS: RawHeaders = [
    (b"content-type", EVENT_STREAM.encode()),
    (b"cache-control", b"no-cache"),
]


class ErrorPolicy(Enum):
    """How an answer with status 500 or above is handled."""

    ANSWER = "answer"
    """It is forwarded to the caller."""
    RETRY = "retry"
    """It fails the attempt, which another server may retry; never forwarded."""
    RETRY_OR_ANSWER = "retry_or_answer"
    """It fails the attempt, and is forwarded if no other attempt succeeds."""


class AttemptRequest(NamedTuple):
    """Headers and body of one attempt."""

    headers: Headers
    content: bytes


class WholeAnswer(NamedTuple):
    """A backend server's answer that was read to its end."""

    status: int
    headers: RawHeaders
    body: bytes


class StreamReader(Protocol):
    """Splits a stream into events; a later attempt resumes after the last of them."""

    done: bool
    usage: TokenCount | None

    @property
    def partial_event(self) -> bytearray:
        """Return the bytes after the last complete event."""

    @property
    def delivered(self) -> int:
        """Return the number of events or tokens sent to the caller."""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that they complete."""

    def end(self) -> bytes:
        """Handle the end of the answer's HTTP framing; return the remaining bytes.

        `done` then tells whether the stream is complete.
        """

    def discard_partial_event(self) -> None:
        """Drop an incomplete event, before another attempt resumes the stream."""


class Outbound(Protocol):
    """A request as it is sent to backend servers, for all its attempts."""

    method: str
    path: str
    streams: bool
    error_policy: ErrorPolicy
    reports_load: bool
    reads_body: bool
    """Whether the content of a whole answer is read here, as for its usage."""

    @property
    def reader(self) -> StreamReader:
        """Return the reader of the answer's stream, which all attempts share."""

    @property
    def answer_id(self) -> str:
        """Return the id that answers to this request bear, or none if they bear none."""

    def build_attempt(
        self, backend_id: BackendId, now: float, source: str | None = None
    ) -> AttemptRequest:
        """Return what an attempt that starts now sends to a server.

        `source` is the address of another server from which it may copy cached parts
        of the prompt.
        """

    def build_forwarded(self, now: float) -> AttemptRequest:
        """Return what is sent to another VM that is to serve the request now."""

    def belongs_to_request(self, answer: httpx.Response) -> bool:
        """Return whether an answer belongs to this request."""

    def found_id(self, answer: httpx.Response) -> str | None:
        """Return the id of a request that an answer names; empty if it names none.

        None if answers of this interface have no ids.
        """

    def stream_headers(self, answer: httpx.Response) -> RawHeaders:
        """Return the headers of a streamed answer to the caller."""

    def whole_headers(self, answer: httpx.Response) -> RawHeaders:
        """Return the headers of an answer that is forwarded whole."""

    def usage(self, body: bytes) -> TokenCount | None:
        """Return the usage that the server reported in a whole answer, or None."""

    def is_truncated(self, body: bytes) -> bool:
        """Return whether the content shows that a successful answer was broken off."""


def is_event_stream(answer: httpx.Response) -> bool:
    """Return whether the answer's type is that of an event stream, or is not given."""
    media_type = answer.headers.get("content-type", EVENT_STREAM).partition(";")[0]
    return media_type.strip().lower() == EVENT_STREAM


def forwarded_headers(
    answer: httpx.Response, dropped: Sequence[str] = ()
) -> RawHeaders:
    """Return an answer's headers without those of the connection and `dropped`."""
    return [
        (name, value)
        for name, value in answer.headers.raw
        if (text := name.decode("latin-1").lower()) not in CONNECTION_HEADERS
        and text not in dropped
    ]


@dataclass
class PlainOutbound:
    """A request that is forwarded unchanged, with an answer that isn't streamed."""

    method: str
    path: str
    headers: Headers
    content: bytes
    load_header: str = ""
    streams: bool = False
    error_policy: ErrorPolicy = ErrorPolicy.ANSWER
    reports_load: bool = False
    reads_body: bool = False
    reader: StreamReader = field(default_factory=CompletionReader)
    answer_id: str = ""

    def build_attempt(
        self, backend_id: BackendId, now: float, source: str | None = None
    ) -> AttemptRequest:
        return AttemptRequest(self.headers, self.content)

    def build_forwarded(self, now: float) -> AttemptRequest:
        raise NotImplementedError("requests of this API are not forwarded")

    def belongs_to_request(self, answer: httpx.Response) -> bool:
        return True

    def found_id(self, answer: httpx.Response) -> str | None:
        return None

    def stream_headers(self, answer: httpx.Response) -> RawHeaders:
        return EVENT_STREAM_HEADERS

    def whole_headers(self, answer: httpx.Response) -> RawHeaders:
        return forwarded_headers(answer, (self.load_header,))

    def usage(self, body: bytes) -> TokenCount | None:
        return None

    def is_truncated(self, body: bytes) -> bool:
        return False


@dataclass
class ModelOutbound(PlainOutbound):
    """A completion, which another engine can resume."""

    body: dict[str, Any] = field(default_factory=dict)
    error_policy: ErrorPolicy = ErrorPolicy.RETRY
    reports_load: bool = True
    reads_body: bool = True
    reader: CompletionReader = field(default_factory=CompletionReader)

    def build_attempt(
        self, backend_id: BackendId, now: float, source: str | None = None
    ) -> AttemptRequest:
        """Return the call, resumed after the tokens that were sent to the caller.

        They are counted here because the router's count can be one token behind, if it
        moved the stream while a token was being forwarded.
        """
        token_texts = self.reader.token_texts
        if not token_texts:
            return AttemptRequest(self.headers, self.content)
        resume = {"tokens": len(token_texts), "text": "".join(token_texts)}
        content = msgspec.json.encode({**self.body, "resume": resume})
        return AttemptRequest(self.headers, content)

    def usage(self, body: bytes) -> TokenCount | None:
        return read_usage(body)

    def is_truncated(self, body: bytes) -> bool:
        """Return whether a completion, which is a JSON document, cannot be decoded."""
        try:
            decode_json(body, object)
        except Undecodable:
            return True
        return False

"""What is sent to a backend server, and how its answer is read."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, Protocol

import httpx
import msgspec

from godwitmast.entry.events import EventReader, usage_of_answer
from godwitmast.types import BackendId, TokenCount

Headers = list[tuple[str, str]]
RawHeaders = list[tuple[bytes, bytes]]

HOP_HEADERS = frozenset(
    ["connection", "content-length", "date", "keep-alive", "transfer-encoding"]
)
"""Headers of an answer that concern one connection only."""

EVENT_STREAM: RawHeaders = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-cache"),
]


class ErrorPolicy(Enum):
    """What a backend server's status of 500 or above is."""

    ANSWER = "answer"
    """The caller's to read."""
    RETRY = "retry"
    """A failure that another server can make good, and nothing else."""
    RETRY_OR_ANSWER = "retry_or_answer"
    """A failure that another server can make good; else the caller's to read."""


class Sending(NamedTuple):
    """One attempt's head and body."""

    headers: Headers
    content: bytes


class WholeAnswer(NamedTuple):
    """An answer of a backend server that was read to its end."""

    status: int
    headers: RawHeaders
    body: bytes


class StreamReader(Protocol):
    """Splits a stream into whole events; an attempt that takes over goes on there."""

    done: bool
    usage: TokenCount | None

    @property
    def given(self) -> int:
        """Return how many events or tokens were given to the caller."""

    def feed(self, data: bytes) -> bytes:
        """Take bytes off the wire; return the whole events that they complete."""

    def end(self) -> bytes:
        """Take that the answer ended as its framing says; return what is left."""

    def restart(self) -> None:
        """Drop half an event, before another attempt goes on with the stream."""


class Outbound(Protocol):
    """A request as backend servers get it."""

    method: str
    path: str
    streams: bool
    errors: ErrorPolicy
    reports_load: bool

    @property
    def reader(self) -> StreamReader:
        """Return what reads the answer's stream, across attempts."""

    def attempt(
        self, backend_id: BackendId, now: float, source: str | None = None
    ) -> Sending:
        """Return what an attempt that starts now sends to a server.

        `source` is the address of another one that it may copy parts of the prompt from.
        """

    def is_ours(self, answer: httpx.Response) -> bool:
        """Return whether an answer belongs to this request."""

    def stream_head(self, answer: httpx.Response) -> RawHeaders:
        """Return the headers that open the caller's stream."""

    def whole_head(self, answer: httpx.Response) -> RawHeaders:
        """Return the headers of an answer that is passed on whole."""

    def usage(self, body: bytes) -> TokenCount | None:
        """Return the server's own count in a whole answer, if it gave one."""


def passed_headers(answer: httpx.Response, dropped: Sequence[str] = ()) -> RawHeaders:
    """Return an answer's headers but for those of the connection and `dropped`."""
    return [
        (name, value)
        for name, value in answer.headers.raw
        if (text := name.decode("latin-1").lower()) not in HOP_HEADERS
        and text not in dropped
    ]


@dataclass
class PlainOutbound:
    """A request that goes out as it came, with an answer in one piece."""

    method: str
    path: str
    headers: Headers
    content: bytes
    load_header: str = ""
    streams: bool = False
    errors: ErrorPolicy = ErrorPolicy.ANSWER
    reports_load: bool = False
    reader: StreamReader = field(default_factory=EventReader)

    def attempt(
        self, backend_id: BackendId, now: float, source: str | None = None
    ) -> Sending:
        return Sending(self.headers, self.content)

    def is_ours(self, answer: httpx.Response) -> bool:
        return True

    def stream_head(self, answer: httpx.Response) -> RawHeaders:
        return EVENT_STREAM

    def whole_head(self, answer: httpx.Response) -> RawHeaders:
        return passed_headers(answer, (self.load_header,))

    def usage(self, body: bytes) -> TokenCount | None:
        return None


@dataclass
class ModelOutbound(PlainOutbound):
    """A completion, which another engine can go on with."""

    body: dict[str, Any] = field(default_factory=dict)
    errors: ErrorPolicy = ErrorPolicy.RETRY
    reports_load: bool = True
    reader: EventReader = field(default_factory=EventReader)

    def attempt(
        self, backend_id: BackendId, now: float, source: str | None = None
    ) -> Sending:
        """Return the call, going on after the tokens that the caller was given.

        The router's count can be a token behind, when it moved a stream while a token
        was being passed on.
        """
        texts = self.reader.texts
        if not texts:
            return Sending(self.headers, self.content)
        resume = {"tokens": len(texts), "text": "".join(texts)}
        content = msgspec.json.encode({**self.body, "resume": resume})
        return Sending(self.headers, content)

    def usage(self, body: bytes) -> TokenCount | None:
        return usage_of_answer(body)

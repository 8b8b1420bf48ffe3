"""The interface between the entry and one caller-facing API.

An implementation parses and authenticates requests, turns them into requests to backend
servers, and formats refusals and errors.
"""

from typing import NamedTuple, Protocol

from godwitmast.claims.keeper import ClaimedCall
from godwitmast.config.document import NumberedConfig
from godwitmast.dispatch.messages import Refuse, RequestSpec
from godwitmast.entry.outbound import Outbound
from godwitmast.entry.refusals import ErrorAnswer
from godwitmast.entry.request_parsing import Limits, RequestHead
from godwitmast.entry.stream_versions import StreamIdentity
from godwitmast.http_server import Scope, Send
from godwitmast.keys.authorizer import Caller


class Incoming(NamedTuple):
    """A request whose head and body were read; `caller` is None on a public route."""

    head: RequestHead
    caller: Caller | None
    body: bytes
    arrived: float


class Prepared(NamedTuple):
    """A request to send to a backend server."""

    spec: RequestSpec
    outbound: Outbound
    claimed: ClaimedCall | None = None
    answer_deadline: float | None = None
    stream: StreamIdentity | None = None
    """Set if the answer is a stream that may be taken up again."""


class Reply(NamedTuple):
    """The entry's own answer to a request; no backend server is involved."""

    status: int
    body: object


class Frontend(Protocol):
    """One caller-facing API: the entry's own, or that of a platform."""

    def config_changed(self, config: NumberedConfig) -> None:
        """Apply the configuration that is now in force."""

    def limits(self) -> Limits:
        """Return the current limits on a request."""

    def open(self, scope: Scope) -> RequestHead | ErrorAnswer:
        """Return the head of a request, or the error to answer with."""

    def authenticate(
        self, head: RequestHead, offline_s: float
    ) -> Caller | ErrorAnswer | None:
        """Return the caller, or None where no key is required."""

    def prepare(self, incoming: Incoming) -> Prepared | Reply | ErrorAnswer:
        """Return the request for a backend server, a reply, or an error."""

    def answer_refusal(self, refusal: Refuse) -> ErrorAnswer:
        """Return the error answer for a refusal by the router."""

    async def send_error(self, send: Send, answer: ErrorAnswer, began: bool) -> None:
        """Send an error; `began`: whether the head of a stream was already sent."""
